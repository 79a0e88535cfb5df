//! Guards the bounds of a ledger's memory, and that a forgotten id neither
//! runs later nor is reported as not-run.

mod common;

use base::{id, span::Span};
use common::{Session, keyed};
use once::{
    action::{Action, Cause},
    claim,
    epoch::Epoch,
    event::{Class, Link, Offer},
    ledger::{Limits, State},
    refusal::Refusal,
};

const EPOCH: Span = Span::from_secs(60);

fn run_late(session: &mut Session, request: u128, epoch: Epoch) -> Vec<Action> {
    let now = session.now;
    let offer = Offer {
        id: id::RequestId(request),
        link: Link(9),
        incarnation: id::Incarnation(1),
        epoch,
        class: Class::Once,
        remaining: Span::from_secs(30),
    };
    session.ledger.offer(now, offer)
}

fn refusal(actions: &[Action]) -> Option<&Refusal> {
    match actions {
        [Action::Refuse { why, .. }] => Some(why),
        _ => None,
    }
}

#[test]
fn late_original() {
    let mut session = Session::new();
    session.settle(1, 1, 0);
    let sent = session.ledger.epoch();
    let late = run_late(&mut session, 1, sent);
    assert_eq!(refusal(&late), Some(&Refusal::Tombstone));
    session.wait(EPOCH);
    let late = run_late(&mut session, 1, sent);
    assert_eq!(refusal(&late), Some(&Refusal::Tombstone));
    session.wait(EPOCH);
    assert!(session.ledger.is_empty(), "the tombstone is forgotten");
    let late = run_late(&mut session, 1, sent);
    assert_eq!(refusal(&late), Some(&Refusal::Stale));
}

#[test]
fn late_settle() {
    let mut session = Session::new();
    let sent = session.ledger.epoch();
    session.offer(1, 1, Class::Once);
    session.admit(1);
    session.complete(1, None);
    session.wait(EPOCH);
    session.wait(EPOCH);
    assert!(session.ledger.is_empty(), "the entry is forgotten");
    let actions = session.settle_from(1, 2, 0, sent);
    let expected = Action::Break {
        id: id::RequestId(1),
        link: Link(2),
        cause: Cause::Forgotten,
    };
    assert_eq!(actions, [expected]);
}

/// A router that does not know the incarnation or the epoch must ask again.
#[test]
fn unknown_epoch() {
    let mut session = Session::new();
    let actions = run_late(&mut session, 1, Epoch(0));
    assert_eq!(refusal(&actions), Some(&Refusal::Stale));
    assert!(session.ledger.is_empty());
}

/// More requests than one epoch may hold end it early.
#[test]
fn finished_bound() {
    let mut session = Session::with(Limits {
        finished: 10,
        ..Limits::default()
    });
    for request in 1..1_000 {
        session.offer(request, 1, Class::Once);
        session.admit(request);
        session.complete(request, None);
        assert!(session.ledger.len() <= 20);
    }
    for request in 1_000..2_000 {
        session.settle(request, 1, 0);
        assert!(session.ledger.len() <= 20);
    }
    for request in 2_000..3_000 {
        session.cancel(request);
        assert!(session.ledger.len() <= 20);
    }
}

#[test]
fn live_bound() {
    let mut session = Session::with(Limits {
        live: 2,
        ..Limits::default()
    });
    session.offer(1, 1, Class::Once);
    session.offer(2, 2, Class::Once);
    let actions = session.offer(3, 3, Class::Once);
    assert_eq!(refusal(&actions), Some(&Refusal::Bound));
    session.cancel(1);
    let actions = session.offer(4, 4, Class::Once);
    assert_eq!(actions, [Action::Admit(id::RequestId(4))]);
}

/// An epoch never ends a request that is not finished.
#[test]
fn live_kept() {
    let mut session = Session::new();
    session.offer(1, 1, Class::Once);
    session.admit(1);
    for _ in 0..5 {
        session.wait(EPOCH);
    }
    assert_eq!(
        session.ledger.state(id::RequestId(1)),
        Some(State::Dispatched)
    );
}

#[test]
fn retained_bound() {
    let mut session = Session::with(Limits {
        retained: 250,
        ..Limits::default()
    });
    for request in 1..=3 {
        session.offer(request, request as u64, Class::Once);
        session.admit(request);
        session.lose(request, request as u64);
    }
    session.complete(1, None);
    session.complete(2, None);
    let actions = session.complete(3, None);
    assert!(actions.contains(&Action::Forget(id::RequestId(1))));
    let gone = session.settle(1, 7, 0);
    assert!(matches!(
        gone[..],
        [Action::Break {
            cause: Cause::Gone,
            ..
        }]
    ));
    let kept = session.settle(2, 8, 0);
    assert!(matches!(kept[..], [Action::Attach { offset: 0, .. }]));
}

/// A dispatched claim stays known until its end is recorded, because its row
/// would otherwise look like one that was never dispatched.
#[test]
fn unrecorded_kept() {
    let mut session = Session::with(Limits {
        unrecorded: 1,
        ..Limits::default()
    });
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.complete(1, Some("order 7"));
    session.table("die-7", 11, claim::Answer::Unavailable);
    for _ in 0..5 {
        session.wait(EPOCH);
        session.table("die-7", 11, claim::Answer::Unavailable);
    }
    let again = session.offer(2, 2, keyed("die-7", 12));
    assert!(matches!(again[..], [Action::Replay { .. }]));
    let other = session.offer(3, 3, keyed("die-8", 13));
    assert_eq!(refusal(&other), Some(&Refusal::Table));
}

/// Claims that may have left a row are bounded too; those whose write was
/// never sent leave nothing behind.
#[test]
fn strays_bound() {
    let mut session = Session::with(Limits {
        unrecorded: 3,
        ..Limits::default()
    });
    for request in 1..=5 {
        let text = format!("die-{request}");
        session.offer(request, 1, keyed(&text, request));
        session.admit(request);
        session.table(&text, request, claim::Answer::Unavailable);
    }
    assert!(session.ledger.drained());
    for request in 11..=13 {
        let text = format!("die-{request}");
        session.offer(request, 1, keyed(&text, request));
        session.admit(request);
        session.table(&text, request, claim::Answer::Unanswered);
        session.table(&text, request, claim::Answer::Unavailable);
    }
    let actions = session.offer(14, 1, keyed("die-14", 14));
    assert_eq!(refusal(&actions), Some(&Refusal::Table));
}

#[test]
fn orphan_queued() {
    let mut session = Session::new();
    session.offer(1, 1, Class::Once);
    session.lose(1, 1);
    session.wait(Span::from_secs(9));
    assert_eq!(session.ledger.state(id::RequestId(1)), Some(State::Queued));
    assert_eq!(
        session.ledger.next_expiry(),
        base::time::Mono(0) + Span::from_secs(10)
    );
    session.wait(Span::from_secs(1));
    assert_eq!(
        session.ledger.state(id::RequestId(1)),
        Some(State::Tombstone)
    );
}

/// Only a repeatable request is stopped at the target for want of a router.
#[test]
fn orphan_running() {
    let mut session = Session::new();
    for (request, class) in [(1, Class::Repeatable), (2, Class::Once)] {
        session.offer(request, request as u64, class);
        session.admit(request);
        session.lose(request, request as u64);
    }
    session.offer(3, 3, keyed("die-7", 11));
    session.admit(3);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.lose(3, 3);
    session.wait(Span::from_secs(20));
    let state = |request| session.ledger.state(id::RequestId(request));
    assert_eq!(state(1), Some(State::Broken(Cause::Cancelled)));
    assert_eq!(state(2), Some(State::Dispatched));
    assert_eq!(state(3), Some(State::Dispatched));
}

/// The late end of an old stream must not orphan a reattached request.
#[test]
fn old_link() {
    let mut session = Session::new();
    session.offer(1, 1, Class::Repeatable);
    session.admit(1);
    session.settle(1, 2, 0);
    session.lose(1, 1);
    session.wait(Span::from_secs(20));
    assert_eq!(
        session.ledger.state(id::RequestId(1)),
        Some(State::Dispatched)
    );
}

#[test]
fn other_incarnation() {
    let mut session = Session::new();
    let now = session.now;
    let settle = once::event::Settle {
        id: id::RequestId(1),
        link: Link(1),
        incarnation: id::Incarnation(0),
        epoch: Epoch::FIRST,
        offset: 0,
    };
    let actions = session.ledger.settle(now, settle);
    let unknown = matches!(
        actions[..],
        [Action::Break {
            cause: Cause::Incarnation,
            ..
        }]
    );
    assert!(unknown);
}
