//! Which source may add, mark, demote and remove a member.

mod common;

use base::{id, span};
use common::{agent, at, instance, later, list, members, process, standing};
use fleet::member::{self, Standing};

#[test]
fn listed_first() {
    // Guards against sending work to a process that is known only from the
    // instance list, which lags.
    let mut members = members();
    let one = agent(1, "crew");
    members.apply_list(at(1), &list(1, vec![instance(&one, false)]));
    assert_eq!(standing(&members, at(1), &one), Some(Standing::Listed));
    assert_eq!(members.report(at(2), one.clone()), member::Outcome::Added);
    assert_eq!(standing(&members, at(2), &one), Some(Standing::Up));
}

#[test]
fn list_leaving() {
    // Guards against a live entry in the instance list that ends the leaving
    // state of an incarnation.
    let mut members = members();
    let one = agent(1, "crew");
    members.apply_list(at(1), &list(1, vec![instance(&one, false)]));
    members.report(at(1), one.clone());
    members.apply_list(at(2), &list(2, vec![instance(&one, true)]));
    assert_eq!(standing(&members, at(2), &one), Some(Standing::Leaving));
    members.apply_list(at(3), &list(3, vec![instance(&one, false)]));
    members.report(at(3), later(&one, 1, 9, Standing::Up));
    assert_eq!(standing(&members, at(3), &one), Some(Standing::Leaving));
    members.report(at(4), later(&one, 2, 1, Standing::Up));
    assert_eq!(standing(&members, at(4), &one), Some(Standing::Up));
}

#[test]
fn list_removes() {
    // Guards against the return of a removed member because of an old report.
    let mut members = members();
    let (one, two) = (agent(1, "crew"), agent(2, "crew"));
    let both = vec![instance(&one, false), instance(&two, false)];
    members.apply_list(at(1), &list(1, both));
    members.report(at(1), later(&one, 1, 5, Standing::Up));
    let changed = members.apply_list(at(2), &list(2, vec![instance(&two, false)]));
    assert_eq!(changed, vec![one.process.clone()]);
    let old = members.report(at(3), later(&one, 1, 4, Standing::Up));
    assert_eq!(old, member::Outcome::Stale);
    assert_eq!(standing(&members, at(3), &one), None);
}

#[test]
fn one_service() {
    // Guards against agents of another service in a service's view, and against
    // a removed member that is forgotten before its retention ends.
    let mut members = members();
    let (one, two) = (agent(1, "crew"), agent(2, "dispatch"));
    let both = vec![instance(&one, false), instance(&two, false)];
    members.apply_list(at(1), &list(1, both));
    members.report(at(1), one.clone());
    members.report(at(1), two.clone());
    let rows = |members: &member::Members, service: &member::Member| {
        let service = service.service.clone().unwrap();
        let rows = members.of_service(at(2), &service);
        rows.into_iter()
            .map(|row| row.member.process)
            .collect::<Vec<_>>()
    };
    assert_eq!(rows(&members, &one), vec![one.process.clone()]);
    assert_eq!(members.services().len(), 2);
    members.apply_list(at(2), &list(2, vec![instance(&two, false)]));
    assert!(rows(&members, &one).is_empty());
    assert_eq!(members.services().len(), 1);
    assert!(members.knows(&one.process));
    let later = at(2) + members.rules().retention;
    members.expire(later);
    assert!(!members.knows(&one.process));
}

#[test]
fn list_fault() {
    // Guards against an empty instance list that removes all members.
    let mut members = members();
    let all: Vec<member::Member> = (0..10).map(|nth| agent(nth, "crew")).collect();
    let listed = all.iter().map(|m| instance(m, false)).collect();
    members.apply_list(at(1), &list(1, listed));
    assert!(members.apply_list(at(2), &list(2, Vec::new())).is_empty());
    assert_eq!(members.targets(at(2)).len(), 10);
}

#[test]
fn list_order() {
    // Guards against an older instance list that arrives late.
    let mut members = members();
    let one = agent(1, "crew");
    members.apply_list(at(1), &list(5, vec![instance(&one, true)]));
    members.apply_list(at(2), &list(4, vec![instance(&one, false)]));
    assert_eq!(standing(&members, at(2), &one), Some(Standing::Leaving));
    members.apply_list(at(90), &list(1, vec![instance(&one, false)]));
    assert_eq!(standing(&members, at(90), &one), Some(Standing::Listed));
}

#[test]
fn failures_demote() {
    // Guards against a demotion that starts before the failure threshold, or
    // that lasts beyond its back-off or the next success.
    let mut members = members();
    let one = agent(1, "crew");
    members.report(at(1), one.clone());
    let other = member::Failure::Other;
    assert!(!members.record_failure(at(1), &one.process, other));
    assert!(!members.record_failure(at(1), &one.process, other));
    assert!(members.record_failure(at(1), &one.process, other));
    assert_eq!(standing(&members, at(1), &one), Some(Standing::Down));
    assert_eq!(standing(&members, at(2), &one), Some(Standing::Up));
    assert!(members.record_failure(at(2), &one.process, other));
    assert_eq!(standing(&members, at(3), &one), Some(Standing::Down));
    members.record_success(&one.process);
    assert_eq!(standing(&members, at(3), &one), Some(Standing::Up));
}

#[test]
fn refused_demotes() {
    // Guards against three requests to a process that refuses connections.
    let mut members = members();
    let one = agent(1, "crew");
    members.report(at(1), one.clone());
    assert!(members.record_failure(at(1), &one.process, member::Failure::Refused));
    assert_eq!(standing(&members, at(1), &one), Some(Standing::Down));
}

#[test]
fn silence_removes() {
    // Guards against a dead member that stays, and against the complete removal
    // of one that the instance list still contains.
    let mut members = members();
    let (one, two) = (agent(1, "crew"), agent(2, "crew"));
    members.apply_list(at(1), &list(1, vec![instance(&two, false)]));
    members.report(at(1), one.clone());
    members.report(at(1), two.clone());
    assert!(members.expire(at(60)).is_empty());
    assert_eq!(members.expire(at(61)).len(), 2);
    assert_eq!(standing(&members, at(61), &one), None);
    assert_eq!(standing(&members, at(61), &two), Some(Standing::Listed));
}

#[test]
fn stamp_counts() {
    // Guards against the removal of a member that answers requests but whose
    // reports do not arrive.
    let mut members = members();
    let one = agent(1, "crew");
    members.report(at(1), one.clone());
    let status = member::SenderStatus {
        process: one.process.clone(),
        incarnation: one.incarnation,
        standing: Standing::Up,
        version: id::Version(3),
        load: 5,
        cap: 9,
        sequence: id::Sequence(0),
        waiting: 0,
    };
    members.apply_status(at(50), &status);
    assert!(members.expire(at(70)).is_empty());
    let row = members.get(at(70), &one.process).expect("it is present");
    assert_eq!((row.member.load, row.member.cap), (5, 9));
    assert_eq!(row.age, span::Span::from_secs(20));
}

#[test]
fn stamp_relayed() {
    // Guards against a bound that uses loads as old as the exchange: a load
    // from a reply is relayed, without the waiting requests and in sequence
    // order.
    let mut members = members();
    let one = agent(1, "crew");
    members.report(at(1), one.clone());
    let service = one.service.clone().expect("an agent has a service");
    let mut status = member::SenderStatus {
        process: one.process.clone(),
        incarnation: one.incarnation,
        standing: Standing::Up,
        version: id::Version(3),
        load: 7,
        cap: 9,
        sequence: id::Sequence(one.sequence.0 + 2),
        waiting: 2,
    };
    members.apply_status(at(5), &status);
    status.sequence = id::Sequence(one.sequence.0 + 1);
    status.load = 1;
    members.apply_status(at(6), &status);
    let router = "router-1".parse().expect("a valid id");
    let told = members.freshest(at(7), &service, &router, 8);
    assert_eq!(told.len(), 1);
    assert_eq!((told[0].load, told[0].age), (5, span::Span::from_secs(2)));
}

#[test]
fn flapping_warms() {
    // Guards against chats that move to a member that is about to restart.
    let mut members = members();
    let one = agent(1, "crew");
    for run in 1..=3 {
        members.report(at(run), later(&one, run, 1, Standing::Up));
    }
    assert_eq!(standing(&members, at(4), &one), Some(Standing::Warming));
    members.report(at(40), later(&one, 3, 2, Standing::Up));
    assert_eq!(standing(&members, at(62), &one), Standing::Warming.into());
    assert_eq!(standing(&members, at(63), &one), Standing::Up.into());
}

#[test]
fn address_moves() {
    // Guards against requests for one process that reach another at the same
    // address.
    let mut members = members();
    let one = agent(1, "crew");
    members.report(at(1), one.clone());
    let mut two = agent(2, "crew");
    two.address = one.address;
    members.report(at(9), two.clone());
    assert_eq!(standing(&members, at(9), &one), None);
    assert_eq!(standing(&members, at(9), &two), Some(Standing::Up));

    let mut late = later(&one, 1, 2, Standing::Up);
    late.age = span::Span::from_secs(7);
    members.report(at(10), late);
    assert_eq!(standing(&members, at(10), &one), None);
    assert_eq!(standing(&members, at(10), &two), Some(Standing::Up));
}

#[test]
fn lowest_version() {
    // Guards against a change that is reported as in force while a process
    // still uses an older version.
    let mut members = members();
    let mut one = agent(1, "crew");
    one.version = id::Version(7);
    members.report(at(1), one);
    members.update(at(1), Standing::Up, id::Version(8), 0, 0, false);
    members.report(at(1), agent(2, "crew"));
    assert_eq!(members.lowest_version(), id::Version(1));
    let lagging = members.lagging(id::Version(7));
    assert_eq!(lagging, vec![(process("agent-2"), id::Version(1))]);
}
