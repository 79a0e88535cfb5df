//! Heartbeats of one byte per member.

mod common;

use common::{agent, at, later, members};
use fleet::{heartbeat, member};
use wire::msg;

/// Returns the members of a router that received the first reports of agents.
fn known(count: u16) -> member::Members {
    let mut members = members();
    for nth in 0..count {
        members.report(at(0), agent(nth, "crew"));
    }
    members
}

#[test]
fn wraps_around() {
    // Guards against a counter that appears to go back when it wraps around.
    let mut before = heartbeat::Heartbeat::at(at(0));
    for secs in 1..600 {
        let next = heartbeat::Heartbeat::at(at(secs));
        assert!(next.follows(before) && !before.follows(next));
        assert!(!next.follows(next));
        before = next;
    }
    assert_eq!(heartbeat::Heartbeat::read(0), None);
    assert_eq!(heartbeat::Heartbeat::read(256), None);
}

#[test]
fn keeps_limit() {
    // Guards against messages that exceed their share of the budget.
    let members = known(200);
    for limit in [0, 20, 40, 100, 300, 2000] {
        let heartbeats = heartbeat::write(at(1), &members, 1, limit);
        let bytes = heartbeats.map_or(0, |heartbeats| prost::Message::encoded_len(&heartbeats));
        assert!(bytes <= limit, "{bytes} bytes, expected at most {limit}");
    }
}

#[test]
fn advance_needed() {
    // Guards against late and repeated messages that keep a silent member
    // alive: only a heartbeat that is newer than the known one counts.
    let mut source = member::Members::new(at(0), agent(1, "crew"), fleet::rules::Rules::default());
    source.report(at(0), common::router(999));
    let mut observer = members();
    observer.report(at(0), agent(1, "crew"));
    let old = heartbeat::write(at(1), &source, 1, 500).expect("the limit is large enough");
    let new = heartbeat::write(at(30), &source, 1, 500).expect("the limit is large enough");
    assert!(heartbeat::merge(at(1), &mut observer, &old));
    assert!(heartbeat::merge(at(30), &mut observer, &new));
    for secs in 31..89 {
        assert!(heartbeat::merge(at(secs), &mut observer, &old));
        assert!(heartbeat::merge(at(secs), &mut observer, &new));
    }
    assert!(observer.expire(at(89)).is_empty());
    assert_eq!(observer.expire(at(90)), vec![agent(1, "crew").process]);
}

#[test]
fn other_run() {
    // Guards against a heartbeat that counts for another run of the process.
    let mut source = member::Members::new(at(0), agent(1, "crew"), fleet::rules::Rules::default());
    source.report(at(0), common::router(999));
    let mut observer = members();
    observer.report(at(0), later(&agent(1, "crew"), 2, 1, member::Standing::Up));
    for secs in [1, 30] {
        let heartbeats =
            heartbeat::write(at(secs), &source, 1, 500).expect("the limit is large enough");
        assert!(heartbeat::merge(at(secs), &mut observer, &heartbeats));
    }
    assert_eq!(observer.expire(at(60)), vec![agent(1, "crew").process]);
}

#[test]
fn bad_lengths() {
    // Guards against heartbeats that are applied to the wrong members.
    let mut observer = known(20);
    let whole = heartbeat::write(at(1), &observer, 1, 500).expect("the limit is large enough");
    let cut = msg::Heartbeats {
        heartbeats: whole.heartbeats.slice(1..),
        ..whole.clone()
    };
    assert!(!heartbeat::merge(at(1), &mut observer, &cut));
    let fewer = msg::Heartbeats {
        digests: whole.digests[1..].to_vec(),
        ..whole.clone()
    };
    assert!(!heartbeat::merge(at(1), &mut observer, &fewer));
    assert!(heartbeat::merge(at(1), &mut observer, &whole));
}
