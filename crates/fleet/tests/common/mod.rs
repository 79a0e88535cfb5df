//! Fixtures shared by the tests of this crate.

#![allow(dead_code, reason = "each test file uses a part of these")]

use std::net;

use base::{id, span, time};
use fleet::{exchange, member, rules};

/// Returns the time `secs` seconds after the start of the clock.
pub fn at(secs: u64) -> time::Mono {
    time::Mono::default() + span::Span::from_secs(secs)
}

/// Returns a process id.
pub fn process(name: &str) -> id::ProcessId {
    name.parse().expect("the name is a valid id")
}

/// Returns the address of the nth process.
pub fn address(nth: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (nth >> 8) as u8, nth as u8], 7000))
}

/// Returns the first report of the nth agent of a service.
pub fn agent(nth: u16, service: &str) -> member::Member {
    member::Member {
        process: process(&format!("agent-{nth}")),
        incarnation: id::Incarnation(1),
        sequence: id::Sequence(1),
        role: member::Role::Agent,
        address: address(nth),
        centre: "austin".parse().expect("the name is a valid id"),
        service: Some(service.parse().expect("the name is a valid id")),
        target: Some(format!("engine-{nth}").parse().expect("a valid id")),
        weight: 100,
        standing: member::Standing::Up,
        version: id::Version(1),
        load: 0,
        cap: 8,
        age: span::Span::ZERO,
    }
}

/// Returns the first report of the nth router.
pub fn router(nth: u16) -> member::Member {
    member::Member {
        process: process(&format!("router-{nth}")),
        role: member::Role::Router,
        service: None,
        target: None,
        weight: 0,
        ..agent(nth, "crew")
    }
}

/// Returns a report with another incarnation, sequence and standing.
pub fn later(
    member: &member::Member,
    incarnation: u64,
    sequence: u64,
    standing: member::Standing,
) -> member::Member {
    member::Member {
        incarnation: id::Incarnation(incarnation),
        sequence: id::Sequence(sequence),
        standing,
        ..member.clone()
    }
}

/// Returns the members of a router that knows only itself.
pub fn members() -> member::Members {
    member::Members::new(at(0), router(999), rules::Rules::default())
}

/// Returns the instance list's entry of a member.
pub fn instance(member: &member::Member, leaving: bool) -> member::Instance {
    member::Instance {
        process: member.process.clone(),
        role: member.role,
        address: member.address,
        centre: member.centre.clone(),
        service: member.service.clone(),
        leaving,
    }
}

/// Returns an answer of the instance list.
pub fn list(revision: u64, instances: Vec<member::Instance>) -> member::Instances {
    member::Instances {
        revision,
        instances,
    }
}

/// Returns the standing of a member, if it has a place in the snapshots.
pub fn standing(
    members: &member::Members,
    now: time::Mono,
    member: &member::Member,
) -> Option<member::Standing> {
    members.get(now, &member.process).map(|row| row.standing)
}

/// Returns the exchange of a process that knows one seed.
pub fn exchange(own: member::Member, seed: net::SocketAddr) -> exchange::Exchange {
    exchange::Exchange::new(at(0), own, rules::Rules::default(), vec![seed], 7)
}
