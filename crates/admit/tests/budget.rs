//! Tests that retries do not multiply the load when all requests are refused.

use admit::budget::{RetryBudget, RetryBudgets};
use base::id;

#[test]
fn retry_ratio() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_request();
        retries += u32::from(budget.try_retry());
    }
    assert!((1_000..=1_010).contains(&retries), "{retries} retries");
}

#[test]
fn saved_retries() {
    let mut budget = RetryBudget::new();
    for _ in 0..10_000 {
        budget.record_request();
    }
    let burst = (0..100).filter(|_| budget.try_retry()).count();
    assert_eq!(burst, 10);
    for _ in 0..9 {
        budget.record_request();
        assert!(!budget.try_retry());
    }
    budget.record_request();
    assert!(budget.try_retry());
}

#[test]
fn separate_teams() {
    let mut budgets = RetryBudgets::new();
    let team = |name: &str| name.parse::<id::TeamId>().unwrap();
    let (surging, quiet) = (team("surging"), team("quiet"));
    let mut retries = 0;
    for _ in 0..1_000 {
        budgets.record_request(&surging);
        retries += u32::from(budgets.try_retry(&surging));
    }
    assert!((100..=110).contains(&retries), "{retries} retries");
    budgets.record_request(&quiet);
    assert!(budgets.try_retry(&quiet));
}
