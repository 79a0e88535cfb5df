//! Tests the limit on the retries of all routers together.

use admit::fleet_retries::{FleetRetryBudget, RetryLimit};
use base::{id::ServiceId, span::Span, time::Mono};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    allowance: 58,
    window: Span::from_secs(10),
};

/// Six routers whose targets refuse all requests stay within the limit in every
/// window, although their shares of the traffic differ.
#[test]
fn fleet_limit() {
    let service: ServiceId = "s".parse().expect("an id");
    let mut routers: Vec<_> = (0..6).map(|_| FleetRetryBudget::new(LIMIT)).collect();
    let mut events: Vec<(u64, bool)> = Vec::new();
    for step in 0..4_000_u64 {
        let now = Mono(step * 10_000);
        let router = &mut routers[(step * step % 11 % 6) as usize];
        router.record_request(now, &service);
        events.push((now.0, false));
        for _ in 0..3 {
            if router.try_retry(now, &service, 6) {
                events.push((now.0, true));
            }
        }
    }
    let window = LIMIT.window.as_micros();
    for (start, _) in events.iter().step_by(50) {
        let inside = events
            .iter()
            .filter(|(at, _)| (*start..start + window).contains(at));
        let (retries, requests): (Vec<_>, Vec<_>) =
            inside.copied().partition(|(_, is_retry)| *is_retry);
        let max_retries = LIMIT.ratio * requests.len() as f64 + f64::from(LIMIT.allowance);
        assert!(
            retries.len() as f64 <= max_retries,
            "{} of {max_retries}",
            retries.len()
        );
    }
}

#[test]
fn small_traffic() {
    let service: ServiceId = "s".parse().expect("an id");
    let mut budget = FleetRetryBudget::new(LIMIT);
    budget.record_request(Mono(0), &service);
    assert!(budget.try_retry(Mono(1), &service, 6));
    let other: ServiceId = "other".parse().expect("an id");
    assert!(budget.try_retry(Mono(1), &other, 6));
}

#[test]
fn window_slides() {
    let service: ServiceId = "s".parse().expect("an id");
    let mut budget = FleetRetryBudget::new(LIMIT);
    let retries = (0..100)
        .filter(|_| budget.try_retry(Mono(0), &service, 1))
        .count();
    assert_eq!(retries, 29);
    assert!(!budget.try_retry(Mono(9_000_000), &service, 1));
    assert!(budget.try_retry(Mono(11_000_000), &service, 1));
}

/// Hedged requests leave retries for failures, and stay within their fraction.
#[test]
fn hedge_limit() {
    let service: ServiceId = "s".parse().expect("an id");
    let mut budget = FleetRetryBudget::new(LIMIT);
    for _ in 0..200 {
        budget.record_request(Mono(0), &service);
    }
    let count = |budget: &mut FleetRetryBudget, fraction| {
        let hedges = (0..100).filter(|_| budget.try_hedge(Mono(1), &service, 6, fraction));
        hedges.count()
    };
    assert_eq!(count(&mut budget.clone(), 0.02), 4);
    assert_eq!(count(&mut budget.clone(), 0.1), 16);
    let mut failing = budget.clone();
    let retries = |budget: &mut FleetRetryBudget| {
        let retries = (0..100).filter(|_| budget.try_retry(Mono(1), &service, 6));
        retries.count()
    };
    assert_eq!(retries(&mut failing), 32);
    assert_eq!(count(&mut failing, 0.1), 0);
    count(&mut budget, 0.1);
    assert_eq!(retries(&mut budget), 16);
}
