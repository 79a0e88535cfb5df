//! Targets that leave, lapse and come back.

use std::collections::BTreeSet;

use base::{span::Span, time::Mono};
use edge::leaving::{Leave, Listed};
use platform::{rows::Position, target::Target};

fn target(id: &str, leaving: bool) -> Target {
    Target {
        id: id.parse().expect("an id"),
        address: ([127, 0, 0, 1], 80).into(),
        service: "s".parse().expect("an id"),
        centre: "c".parse().expect("an id"),
        slots: 1,
        leaving,
        started_at: 1,
    }
}

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn open(listed: &mut Listed, now: Mono) -> Vec<String> {
    let targets = listed.targets(now).into_iter();
    targets
        .filter(|target| !target.leaving)
        .map(|target| target.id.to_string())
        .collect()
}

#[test]
fn removed_at_once() {
    let mut listed = Listed::default();
    listed.put(at(0), Position(1), target("a", false));
    listed.put(at(0), Position(2), target("b", false));
    listed.remove(at(10), Position(3), "a");
    assert_eq!(open(&mut listed, at(10)), ["b"]);
}

/// A heartbeat that was written before the leave must not reopen the target.
#[test]
fn leave_is_final() {
    let mut listed = Listed::default();
    listed.put(at(0), Position(1), target("a", true));
    listed.put(at(1), Position(2), target("a", false));
    assert!(open(&mut listed, at(2)).is_empty());
    let mut again = target("a", false);
    again.started_at = 2;
    listed.put(at(3), Position(3), again);
    assert_eq!(open(&mut listed, at(3)), ["a"]);
}

/// Rows lapse while the table is away; they are back within two seconds of its
/// return, and one that stays away is gone then.
#[test]
fn lapsed_rows() {
    let mut listed = Listed::default();
    listed.put(at(0), Position(1), target("a", false));
    listed.put(at(0), Position(2), target("b", false));
    listed.failed();
    listed.answered(at(5_000));
    listed.remove(at(5_000), Position(3), "a");
    listed.remove(at(5_000), Position(4), "b");
    assert_eq!(open(&mut listed, at(6_900)), ["a", "b"]);
    listed.put(at(6_900), Position(5), target("a", false));
    assert_eq!(open(&mut listed, at(7_200)), ["a"]);
}

/// Two seconds after the table's return a removal counts at once: hunted days
/// sent work to a target 2.1 s after its row was removed.
#[test]
fn removed_after_outage() {
    let mut listed = Listed::default();
    listed.put(at(0), Position(1), target("a", false));
    listed.failed();
    listed.answered(at(5_000));
    listed.remove(at(7_500), Position(2), "a");
    assert!(open(&mut listed, at(7_500)).is_empty());
}

/// A router that reads the table late gets a leave from its peers, and the rows
/// that it reads afterwards from before the leave change nothing.
#[test]
fn told_by_peer() {
    let mut listed = Listed::default();
    listed.put(at(0), Position(1), target("a", false));
    listed.put(at(0), Position(1), target("b", false));
    let mut other = listed.clone();
    other.remove(at(1), Position(7), "a");
    other.put(at(1), Position(8), target("b", true));
    open(&mut other, at(1));
    let leaves = other.leaves(at(2), 10);
    assert_eq!(leaves.len(), 2);
    for leave in &leaves {
        listed.told(at(2), leave);
    }
    assert!(open(&mut listed, at(2)).is_empty());
    listed.put(at(3), Position(6), target("a", false));
    listed.put(at(3), Position(6), target("b", false));
    assert!(open(&mut listed, at(3)).is_empty());
    listed.put(at(4), Position(9), target("a", false));
    assert_eq!(open(&mut listed, at(4)), ["a"]);
    assert!(other.leaves(at(10_000), 10).is_empty());
}

/// A leave that is older than the row says nothing about it.
#[test]
fn old_leave() {
    let mut listed = Listed::default();
    listed.put(at(0), Position(5), target("a", false));
    let leave = Leave {
        target: "a".parse().expect("an id"),
        position: Position(4),
        gone: true,
    };
    listed.told(at(0), &leave);
    assert_eq!(open(&mut listed, at(0)), ["a"]);
}

#[test]
fn missed_changes() {
    let mut listed = Listed::default();
    listed.put(at(0), Position(1), target("a", false));
    listed.replace(at(1), Position(9), vec![(Position(8), target("b", false))]);
    assert_eq!(open(&mut listed, at(1)), ["b"]);
    let later = at(1) + Span::from_secs(1);
    assert_eq!(open(&mut listed, later), ["b"]);
}

/// Relays tell on what they hear of, once; a leave that is known is not news.
#[test]
fn told_on() {
    let mut listed = Listed::default();
    listed.put(at(0), Position(1), target("a", false));
    let leave = Leave {
        target: "a".parse().expect("an id"),
        position: Position(4),
        gone: false,
    };
    listed.told(at(1), &leave);
    assert_eq!(listed.leaves(at(2), 10), std::slice::from_ref(&leave));
    assert_eq!(listed.changed(), Position(4));
    listed.told(at(2_900), &leave);
    assert!(listed.leaves(at(3_100), 10).is_empty());
}

/// Many targets that leave or begin at once are told in turn, the latest in each
/// message.
#[test]
fn many_changes() {
    let mut listed = Listed::default();
    let ids: Vec<String> = (0..45).map(|number| format!("t{number}")).collect();
    for (position, id) in ids.iter().enumerate() {
        listed.put(at(0), Position(position as u64), target(id, false));
    }
    let joins = |listed: &mut Listed| -> BTreeSet<String> {
        let joins = listed.joins(at(1), 4).into_iter();
        joins.map(|(_, target)| target.id.to_string()).collect()
    };
    let mut told = BTreeSet::new();
    for _ in 0..25 {
        listed.leaves(at(1), 10);
        let joins = joins(&mut listed);
        assert!(joins.len() <= 4 && joins.contains("t44"));
        told.extend(joins);
    }
    assert_eq!(told.len(), 45);
    for (position, id) in ids.iter().enumerate() {
        listed.put(at(2), Position(100 + position as u64), target(id, true));
    }
    let mut told = BTreeSet::new();
    for _ in 0..9 {
        let leaves = listed.leaves(at(3), 10).into_iter();
        told.extend(leaves.map(|leave| leave.target.to_string()));
    }
    assert_eq!(told.len(), 45);
    assert_eq!(listed.changed(), Position(144));
}

/// Relays tell a change for seconds, ten times a second: what is known already
/// does not make the router compare all its targets again.
#[test]
fn told_again() {
    let mut listed = Listed::default();
    assert!(listed.put(at(0), Position(1), target("a", false)));
    assert!(!listed.put(at(1), Position(2), target("a", false)));
    let leave = Leave {
        target: "a".parse().expect("an id"),
        position: Position(4),
        gone: true,
    };
    assert!(listed.told(at(2), &leave));
    assert!(!listed.told(at(3), &leave));
    assert!(!listed.put(at(4), Position(3), target("a", false)));
    listed.put(at(5), Position(5), target("a", false));
    listed.failed();
    listed.answered(at(6));
    listed.remove(at(6), Position(6), "a");
    assert!(
        listed.put(at(7), Position(7), target("a", false)),
        "it is back"
    );
}
