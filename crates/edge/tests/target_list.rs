//! Targets that leave, and rows that lapse and come back.

use std::collections::BTreeSet;

use base::{span::Span, time::Mono};
use edge::target_list::{Departure, TargetList};
use platform::{rows::Position, target::Target};

fn target(id: &str, leaving: bool) -> Target {
    Target {
        id: id.parse().expect("an id"),
        address: ([127, 0, 0, 1], 80).into(),
        service: "s".parse().expect("an id"),
        centre: "c".parse().expect("an id"),
        slots: 1,
        cold: Span::ZERO,
        leaving,
        started_at: 1,
    }
}

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn open(target_list: &mut TargetList, now: Mono) -> Vec<String> {
    let targets = target_list.targets(now).into_iter();
    targets
        .filter(|target| !target.leaving)
        .map(|target| target.id.to_string())
        .collect()
}

#[test]
fn immediate_removal() {
    let mut target_list = TargetList::default();
    target_list.put(at(0), Position::from(1), target("a", false));
    target_list.put(at(0), Position::from(2), target("b", false));
    target_list.remove(at(10), Position::from(3), "a");
    assert_eq!(open(&mut target_list, at(10)), ["b"]);
}

/// A heartbeat that was written before the target announced that it is leaving
/// must not make it available again.
#[test]
fn departure_is_final() {
    let mut target_list = TargetList::default();
    target_list.put(at(0), Position::from(1), target("a", true));
    target_list.put(at(1), Position::from(2), target("a", false));
    assert!(open(&mut target_list, at(2)).is_empty());
    let mut again = target("a", false);
    again.started_at = 2;
    target_list.put(at(3), Position::from(3), again);
    assert_eq!(open(&mut target_list, at(3)), ["a"]);
}

/// Rows that lapse during an outage of the table come back within two seconds
/// after it recovers; one that does not come back counts as removed then.
#[test]
fn lapsed_rows() {
    let mut target_list = TargetList::default();
    target_list.put(at(0), Position::from(1), target("a", false));
    target_list.put(at(0), Position::from(2), target("b", false));
    target_list.failed();
    target_list.answered(at(5_000));
    target_list.remove(at(5_000), Position::from(3), "a");
    target_list.remove(at(5_000), Position::from(4), "b");
    assert_eq!(open(&mut target_list, at(6_900)), ["a", "b"]);
    target_list.put(at(6_900), Position::from(5), target("a", false));
    assert_eq!(open(&mut target_list, at(7_200)), ["a"]);
}

/// More than two seconds after the recovery of the table, a removal takes effect
/// immediately. Otherwise a target gets requests 2.1 s after its row was removed.
#[test]
fn removed_after_outage() {
    let mut target_list = TargetList::default();
    target_list.put(at(0), Position::from(1), target("a", false));
    target_list.failed();
    target_list.answered(at(5_000));
    target_list.remove(at(7_500), Position::from(2), "a");
    assert!(open(&mut target_list, at(7_500)).is_empty());
}

/// A router whose read of the table is delayed gets departures from its peers. Rows
/// that it reads afterwards, but that are older than the departures, have no
/// effect.
#[test]
fn announced_by_peer() {
    let mut target_list = TargetList::default();
    target_list.put(at(0), Position::from(1), target("a", false));
    target_list.put(at(0), Position::from(1), target("b", false));
    let mut other = target_list.clone();
    other.remove(at(1), Position::from(7), "a");
    other.put(at(1), Position::from(8), target("b", true));
    open(&mut other, at(1));
    let departures = other.departures(at(2), 10);
    assert_eq!(departures.len(), 2);
    for departure in &departures {
        target_list.apply_departure(at(2), departure);
    }
    assert!(open(&mut target_list, at(2)).is_empty());
    target_list.put(at(3), Position::from(6), target("a", false));
    target_list.put(at(3), Position::from(6), target("b", false));
    assert!(open(&mut target_list, at(3)).is_empty());
    target_list.put(at(4), Position::from(9), target("a", false));
    assert_eq!(open(&mut target_list, at(4)), ["a"]);
    assert!(other.departures(at(10_000), 10).is_empty());
}

/// A departure that is older than the row has no effect.
#[test]
fn old_departure() {
    let mut target_list = TargetList::default();
    target_list.put(at(0), Position::from(5), target("a", false));
    let departure = Departure {
        target: "a".parse().expect("an id"),
        position: Position::from(4),
        removed: true,
        started_at: None,
    };
    target_list.apply_departure(at(0), &departure);
    assert_eq!(open(&mut target_list, at(0)), ["a"]);
}

#[test]
fn missed_changes() {
    let mut target_list = TargetList::default();
    target_list.put(at(0), Position::from(1), target("a", false));
    target_list.replace(
        at(1),
        Position::from(9),
        vec![(Position::from(8), target("b", false))],
    );
    assert_eq!(open(&mut target_list, at(1)), ["b"]);
    let later = at(1) + Span::from_secs(1);
    assert_eq!(open(&mut target_list, later), ["b"]);
}

/// Relays announce further what they learn, but only once: a known departure is
/// not announced again.
#[test]
fn announced_further() {
    let mut target_list = TargetList::default();
    target_list.put(at(0), Position::from(1), target("a", false));
    let departure = Departure {
        target: "a".parse().expect("an id"),
        position: Position::from(4),
        removed: false,
        started_at: None,
    };
    target_list.apply_departure(at(1), &departure);
    assert_eq!(
        target_list.departures(at(2), 10),
        std::slice::from_ref(&departure)
    );
    assert_eq!(target_list.last_change(), Position::from(4));
    target_list.apply_departure(at(2_900), &departure);
    assert!(target_list.departures(at(3_100), 10).is_empty());
}

/// Many simultaneous departures or new targets are announced in turn, the latest
/// in each update.
#[test]
fn many_changes() {
    let mut target_list = TargetList::default();
    let ids: Vec<String> = (0..45).map(|number| format!("t{number}")).collect();
    for (position, id) in ids.iter().enumerate() {
        target_list.put(at(0), Position::from(position as u64), target(id, false));
    }
    let joined = |target_list: &mut TargetList| -> BTreeSet<String> {
        let joined = target_list.joined(at(1), 4).into_iter();
        joined.map(|(_, target)| target.id.to_string()).collect()
    };
    let mut announced = BTreeSet::new();
    for _ in 0..25 {
        target_list.departures(at(1), 10);
        let joined = joined(&mut target_list);
        assert!(joined.len() <= 4 && joined.contains("t44"));
        announced.extend(joined);
    }
    assert_eq!(announced.len(), 45);
    for (position, id) in ids.iter().enumerate() {
        target_list.put(
            at(2),
            Position::from(100 + position as u64),
            target(id, true),
        );
    }
    let mut announced = BTreeSet::new();
    for _ in 0..9 {
        let departures = target_list.departures(at(3), 10).into_iter();
        announced.extend(departures.map(|departure| departure.target.to_string()));
    }
    assert_eq!(announced.len(), 45);
    assert_eq!(target_list.last_change(), Position::from(144));
}

/// Relays announce a change for some seconds, ten times a second. A change that is
/// already known must not make the router compare all its targets again.
#[test]
fn repeated_announcements() {
    let mut target_list = TargetList::default();
    assert!(target_list.put(at(0), Position::from(1), target("a", false)));
    assert!(!target_list.put(at(1), Position::from(2), target("a", false)));
    let departure = Departure {
        target: "a".parse().expect("an id"),
        position: Position::from(4),
        removed: true,
        started_at: None,
    };
    assert!(target_list.apply_departure(at(2), &departure));
    assert!(!target_list.apply_departure(at(3), &departure));
    assert!(!target_list.put(at(4), Position::from(3), target("a", false)));
    target_list.put(at(5), Position::from(5), target("a", false));
    target_list.failed();
    target_list.answered(at(6));
    target_list.remove(at(6), Position::from(6), "a");
    assert!(
        target_list.put(at(7), Position::from(7), target("a", false)),
        "the target is back"
    );
}
