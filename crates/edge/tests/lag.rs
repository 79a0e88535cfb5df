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
    assert!(!lag.is_due(at(0), true, true));
    assert!(!lag.is_due(at(200), true, true));
    assert!(!lag.is_due(at(400), false, true), "the table delivered it");
    assert!(!lag.is_due(at(5_000), true, true), "a later version");
    assert!(lag.is_due(at(5_900), true, true));
    assert!(!lag.is_due(at(6_000), true, true), "one fetch at a time");
    assert!(lag.is_due(at(6_500), true, true));
}

#[test]
fn table_away() {
    let mut lag = Lag::default();
    assert!(!lag.is_due(at(0), true, false));
    assert!(lag.is_due(at(200), true, false));
}
