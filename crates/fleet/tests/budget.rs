//! Token bucket of the control traffic.

mod common;

use base::{rate, span, time};
use common::at;
use fleet::budget;

#[test]
fn debt_repaid() {
    // Guards against received bytes that are not charged.
    let mut budget = budget::Budget::new(at(0), rate::ByteRate(1000), 2000);
    budget.charge(at(0), 5000);
    assert_eq!(budget.available(at(0)), -3000);
    assert_eq!(budget.wait(at(0), 1000), span::Span::from_secs(4));
    assert_eq!(budget.available(at(3)), 0);
    assert_eq!(budget.available(at(99)), 2000);
}

#[test]
fn join_once() {
    // Guards against a join allowance that refills.
    let mut budget = budget::Budget::joining(at(0));
    let most = i64::try_from(budget::JOIN_ALLOWANCE + budget::BURST).expect("it is small");
    assert_eq!(budget.available(at(5)), most);
    budget.charge(at(5), budget::JOIN_ALLOWANCE);
    assert_eq!(
        budget.available(at(500)),
        i64::try_from(budget::BURST).expect("small")
    );
}

#[test]
fn clock_jump() {
    // Guards against tokens for a period that was already counted, when the
    // clock goes back.
    let mut budget = budget::Budget::new(at(10), rate::ByteRate(1000), 2000);
    budget.charge(at(10), 2000);
    assert_eq!(budget.available(time::Mono(0)), 0);
    assert_eq!(budget.available(at(11)), 1000);
}

#[test]
fn join_ends() {
    // Guards against a join allowance that a process keeps for a later burst.
    let mut budget = budget::Budget::joining(at(0));
    let burst = i64::try_from(budget::BURST).expect("small");
    assert!(budget.available(at(29)) > burst);
    assert_eq!(budget.available(at(30)), burst);
}
