//! When a router fetches a snapshot from a peer.

use base::time::Mono;
use edge::lag::Lag;

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

/// A version of 1,900 rules was fetched by 28 routers from the first that had
/// it, over a link of 10 Mbit/s, while the table was sending it to all.
#[test]
fn table_first() {
    let mut lag = Lag::default();
    assert!(!lag.is_due(at(0), true, true, 0.0));
    assert!(!lag.is_due(at(200), true, true, 0.0));
    assert!(
        !lag.is_due(at(400), false, true, 0.0),
        "the table delivered it"
    );
    assert!(!lag.is_due(at(5_000), true, true, 0.0), "a later version");
    assert!(lag.is_due(at(5_900), true, true, 0.0));
    assert!(
        !lag.is_due(at(6_000), true, true, 0.0),
        "one fetch at a time"
    );
    assert!(lag.is_due(at(6_500), true, true, 0.0));
}

#[test]
fn table_away() {
    let mut lag = Lag::default();
    assert!(!lag.is_due(at(0), true, false, 0.0));
    assert!(lag.is_due(at(200), true, false, 0.0));
}

/// Many routers that are behind at once do not fetch at the same moment.
#[test]
fn spread_out() {
    let mut first = Lag::default();
    let mut last = Lag::default();
    assert!(!first.is_due(at(0), true, false, 0.0));
    assert!(!last.is_due(at(0), true, false, 1.0));
    assert!(first.is_due(at(200), true, false, 1.0));
    assert!(!last.is_due(at(200), true, false, 0.0));
    assert!(last.is_due(at(700), true, false, 0.0));
}
