//! Tests of the memory limit for bodies.

use std::{net::Ipv4Addr, time::Duration};

use inlet::memory::{MemoryBudget, Reservation, SMALL_BODY, Usage, choose_released};

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

/// Returns the usage of a client at an address; `stalled` is in milliseconds.
fn usage(address: u8, used: usize, wanted: usize, stalled: Option<u64>) -> Usage {
    Usage {
        address: Ipv4Addr::new(10, 0, 0, address).into(),
        used,
        wanted,
        stalled: stalled.map(Duration::from_millis),
        is_released: false,
    }
}

/// Clients that stopped release their memory before others do, the longest stop
/// first, and no more of them than others need.
#[test]
fn stalled_first() {
    let clients = [
        usage(1, 40, 0, Some(600)),
        usage(1, 40, 0, Some(100)),
        usage(1, 20, 0, Some(900)),
        usage(1, 0, 30, None),
    ];
    assert_eq!(choose_released(100, &clients), [2, 0]);
    let one = [&clients[..3], &[usage(1, 0, 10, None)]].concat();
    assert_eq!(choose_released(100, &one), [2]);
    assert_eq!(choose_released(100, &clients[..3]), [0; 0]);
}

/// What a client is about to release is not taken from another one as well.
#[test]
fn released_once() {
    let leaving = Usage {
        is_released: true,
        ..usage(1, 40, 0, Some(900))
    };
    let clients = [leaving, usage(1, 40, 0, Some(600)), usage(1, 0, 40, None)];
    assert_eq!(choose_released(100, &clients), [0; 0]);
}

/// A client address with more than its share gives way to one with less, and never
/// below its share; where all callers share an address, only stopped ones give way.
#[test]
fn address_shares() {
    let crowd = [usage(1, 40, 0, Some(20)), usage(1, 40, 0, Some(10))];
    let other = [&crowd[..], &[usage(2, 0, 20, None)]].concat();
    assert_eq!(choose_released(100, &other), [0]);
    let same = [&crowd[..], &[usage(1, 0, 20, None)]].concat();
    assert_eq!(choose_released(100, &same), [0; 0]);
    let greedy = [&crowd[..], &[usage(2, 40, 20, None)]].concat();
    assert_eq!(choose_released(100, &greedy), [0; 0]);
}

/// Large bodies never use the part of the budget that is left to small ones.
#[test]
fn large_bodies() {
    let budget = MemoryBudget::new(8 * SMALL_BODY);
    let mut large = Reservation::for_request(&budget, None);
    large.grow(7 * SMALL_BODY).expect_err("a part is left");
    large.grow(6 * SMALL_BODY).expect("its part suffices");
    let mut other = Reservation::for_request(&budget, None);
    other.grow(SMALL_BODY + 1).expect_err("it is large");
    other.grow(SMALL_BODY).expect("it is small");
    large.shrink(6 * SMALL_BODY);
    drop(large);
    other.grow(1).expect("memory is free again");
}

/// A body that waits for memory gets that of a client which stopped.
#[tokio::test]
async fn waits_for_stalled() {
    let budget = MemoryBudget::new(100);
    let stopped = budget.register(Ipv4Addr::LOCALHOST.into());
    let mut held = Reservation::for_request(&budget, Some(stopped.client().clone()));
    held.grow(80).expect("the budget suffices");
    stopped.client().set_reading(true);
    let client = stopped.client().clone();
    tokio::spawn(async move {
        client.released().await;
        drop(held);
    });
    let other = budget.register(Ipv4Addr::LOCALHOST.into());
    let mut waiting = Reservation::for_request(&budget, Some(other.client().clone()));
    let grown = waiting.grow_patiently(80).await;
    grown.expect("the stopped client releases its memory");
    assert_eq!((budget.used(), budget.released()), (80, 1));
}
