//! Tests of the memory limit for bodies.

use inlet::memory::{MemoryBudget, Reservation};

/// Bodies within their own limits must not exceed the budget together.
#[test]
fn shared_limit() {
    let budget = MemoryBudget::new(100);
    let mut first = Reservation::new(&budget);
    let mut second = Reservation::new(&budget);
    first.grow(60).expect("the budget suffices");
    second.grow(40).expect("the budget suffices");
    let error = second.grow(1).expect_err("the budget is used up");
    assert_eq!(error.to_string(), "bodies already take 100 of 100 bytes");
    drop(first);
    second.grow(60).expect("the first body is dropped");
    assert_eq!(budget.used(), 100);
    drop(second);
    assert_eq!(budget.used(), 0);
}

/// A body counts until its last clone is dropped.
#[test]
fn released_on_drop() {
    let budget = MemoryBudget::new(100);
    let mut reservation = Reservation::new(&budget);
    reservation.grow(3).expect("the budget suffices");
    let body = reservation.into_bytes(b"abc".to_vec());
    let copy = body.slice(1..);
    drop(body);
    assert_eq!((&copy[..], budget.used()), (&b"bc"[..], 3));
    drop(copy);
    assert_eq!(budget.used(), 0);
}
