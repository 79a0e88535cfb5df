//! The times after which refused callers return.

use admit::returns::{Backlog, Returns};
use base::{id::ServiceId, span::Span, time::Mono};

fn service() -> ServiceId {
    "plain".parse().expect("an id")
}

/// Returns a router that has completed 100 requests per second until `now`.
fn busy(now: Mono) -> Returns {
    let mut returns = Returns::default();
    for index in 0..1_000 {
        returns.record_completion(Mono(now.0 - 10_000_000 + index * 10_000), &service());
    }
    returns
}

const NOW: Mono = Mono(20_000_000);
const REMAINING: Span = Span::from_millis(9_000);

fn backlog(requests: f64) -> Backlog {
    Backlog {
        requests,
        routers: 1,
    }
}

/// Without completions the rate is not known, and a time made from it would be wrong.
#[test]
fn unknown_rate() {
    let mut returns = Returns::default();
    let after = returns.assign(NOW, &service(), backlog(100.0), REMAINING, 0.5);
    assert_eq!(after, None);
    for _ in 0..3 {
        returns.record_completion(NOW, &service());
    }
    let after = returns.assign(NOW, &service(), backlog(100.0), REMAINING, 0.5);
    assert_eq!(after, None);
    // Completions of the past do not count.
    let late = NOW + Span::from_secs(60);
    let after = busy(NOW).assign(late, &service(), backlog(100.0), REMAINING, 0.5);
    assert_eq!(after, None);
}

/// Callers return after the backlog, in any second no more than the part of the
/// completions that is left for them, and within a third of the time they have left.
#[test]
fn spread_returns() {
    let mut returns = busy(NOW);
    let mut times = Vec::new();
    for index in 0..20 {
        let random = f64::from(index) / 20.0;
        let after = returns.assign(NOW, &service(), backlog(20.0), REMAINING, random);
        times.push(after.expect("a time").as_micros());
    }
    times.sort_unstable();
    // 20 requests at about 100 per second, four times as long because of new ones.
    assert!(times[0] > 500_000, "{times:?}");
    assert!(times.iter().all(|time| *time <= 3_000_000), "{times:?}");
    for (index, time) in times.iter().enumerate() {
        let within = |other: &&u64| **other >= *time && **other < time + 1_000_000;
        let count = times[index..].iter().filter(within).count();
        assert!(count <= 17, "{count} callers in one second: {times:?}");
    }
}

/// More callers than fit, and a backlog that lasts longer than they wait: they return
/// in the last part of the time that they follow, spread evenly.
#[test]
fn too_many() {
    let mut returns = busy(NOW);
    let assign = |index: u32| {
        let random = f64::from(index % 10) / 10.0;
        let after = returns.assign(NOW, &service(), backlog(10_000.0), REMAINING, random);
        after.expect("a time").as_micros()
    };
    let times: Vec<u64> = (0..300).map(assign).collect();
    assert!(times.iter().all(|time| *time <= 3_000_000));
    assert!(times.iter().all(|time| *time >= 1_700_000));
    let early = times.iter().filter(|time| **time < 2_375_000).count();
    assert!((120..=180).contains(&early), "{early}");
}

/// A caller that has nearly no time left gets a time that it can follow, and the
/// ledger does not keep slots that have passed.
#[test]
fn short_time() {
    let mut returns = busy(NOW);
    for millis in [0, 1, 30, 100] {
        let remaining = Span::from_millis(millis);
        let after = returns.assign(NOW, &service(), backlog(50.0), remaining, 0.9);
        let limit = Span::from_micros(remaining.as_micros() / 3);
        assert!(after.expect("a time") <= limit, "{millis}");
    }
    let later = NOW + Span::from_secs(1);
    returns.record_completion(later, &service());
    let after = returns.assign(later, &service(), backlog(0.0), REMAINING, 0.0);
    assert_eq!(after, Some(Span::ZERO));
}
