//! Tests of retries: they must spread out and must not multiply the load on a
//! failing service.

use base::span::Span;
use store::{backoff, budget};

#[test]
fn growing_delays() {
    let backoff = backoff::Backoff {
        base: Span::from_millis(50),
        limit: Span::from_secs(1),
    };
    let longest: Vec<u64> = (0..6)
        .map(|attempt| backoff.delay(attempt, 1.0).as_millis())
        .collect();
    assert_eq!(longest, [50, 100, 200, 400, 800, 1000]);
    assert_eq!(backoff.delay(99, 1.0), Span::from_secs(1));
}

#[test]
fn full_jitter() {
    let backoff = backoff::Backoff {
        base: Span::from_millis(100),
        limit: Span::from_secs(1),
    };
    assert_eq!(backoff.delay(0, 0.0), Span::ZERO);
    assert_eq!(backoff.delay(0, 0.25), Span::from_millis(25));
    assert_eq!(
        backoff::jitter(Span::from_secs(1), 0.5),
        Span::from_millis(1500)
    );
}

#[test]
fn bounded_retries() {
    let mut budget = budget::RetryBudget::default();
    let retries = (0..1000)
        .filter(|_| {
            budget.record_call();
            budget.take()
        })
        .count();
    assert!((100..=110).contains(&retries), "{retries} of 1000 calls");
}
