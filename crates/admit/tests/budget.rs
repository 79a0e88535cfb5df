//! Guards against retries that multiply the load when everything is refused.

use admit::budget::RetryBudget;

#[test]
fn tenth_of_requests() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.request();
        retries += u32::from(budget.retry());
    }
    assert!((1_000..=1_010).contains(&retries), "{retries} retries");
}

#[test]
fn saved_retries() {
    let mut budget = RetryBudget::new();
    for _ in 0..10_000 {
        budget.request();
    }
    let burst = (0..100).filter(|_| budget.retry()).count();
    assert_eq!(burst, 10);
    for _ in 0..9 {
        budget.request();
        assert!(!budget.retry());
    }
    budget.request();
    assert!(budget.retry());
}
