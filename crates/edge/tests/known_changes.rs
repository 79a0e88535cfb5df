//! Which changes a call that waits may have missed, by the positions of the rows that
//! were read.

use base::{id::Version, span::Span, time::Mono};
use edge::feed::known::{Doubt, KnownChanges, Watched};
use platform::rows::{Era, Position};
use proptest::prelude::*;

const ASKED: Mono = Mono(1_000);

fn watched(known: u64) -> Watched {
    Watched {
        known: Position::from(known),
        asked: ASKED,
        version: None,
    }
}

/// Records a read of the targets up to a position.
fn record(changes: &mut KnownChanges, rows: &[u64], read: u64) {
    changes.record_rows(rows.iter().copied().map(Position::from));
    changes.record_read(Position::from(read));
}

/// Heartbeats of targets that were read explain all positions; a position that no row
/// explains may be the change that a call waits for.
#[test]
fn unknown_position() {
    let mut changes = KnownChanges::default();
    record(&mut changes, &[11, 12, 14], 14);
    assert_eq!(
        changes.doubt(watched(10)),
        Some(Doubt::Unknown(Position::from(13)))
    );
    assert_eq!(changes.doubt(watched(13)), None);
    record(&mut changes, &[13], 14);
    assert_eq!(changes.doubt(watched(10)), None);
    record(&mut changes, &[], 15);
    assert_eq!(
        changes.doubt(watched(10)),
        Some(Doubt::Unknown(Position::from(15)))
    );
}

/// Heartbeats that were not read yet are no reason to ask.
#[test]
fn later_position() {
    let mut changes = KnownChanges::default();
    record(&mut changes, &[], 10);
    changes.record_rows([Position::from(14)].into_iter());
    assert_eq!(changes.doubt(watched(10)), None);
}

/// While a connection is silent no response names a position: another call that
/// remains without an answer is a reason to ask again, once.
#[test]
fn unanswered_call() {
    let mut changes = KnownChanges::default();
    record(&mut changes, &[], 10);
    changes.record_unanswered(ASKED);
    assert_eq!(changes.doubt(watched(10)), None);
    changes.record_unanswered(ASKED + Span::from_millis(1));
    assert_eq!(changes.doubt(watched(10)), Some(Doubt::Unanswered));
    let asked = ASKED + Span::from_millis(2);
    assert_eq!(
        changes.doubt(Watched {
            asked,
            ..watched(10)
        }),
        None
    );
}

/// Another router has a newer version: a reason to ask once, unless the version is in
/// force here or was known when the call began.
#[test]
fn reported_version() {
    let later = ASKED + Span::from_millis(1);
    let own = |version, asked| Watched {
        version: Some(Version(version)),
        asked,
        ..watched(10)
    };
    let mut changes = KnownChanges::default();
    assert!(changes.record_version(later, Version(7)));
    assert!(!changes.record_version(later, Version(7)));
    assert!(!changes.record_version(later, Version(6)));
    let doubt = Some(Doubt::Reported(Version(7)));
    assert_eq!(changes.doubt(own(6, ASKED)), doubt);
    assert_eq!(changes.doubt(own(7, ASKED)), None);
    assert_eq!(changes.doubt(own(6, later)), None);
    assert_eq!(changes.doubt(watched(10)), None);
}

/// After the table went back to an earlier position, as from a copy, no position is
/// in doubt for ever.
#[test]
fn earlier_position() {
    let mut changes = KnownChanges::default();
    record(&mut changes, &[], 50);
    assert!(changes.doubt(watched(40)).is_some());
    record(&mut changes, &[], 30);
    assert_eq!(changes.doubt(watched(40)), None);
}

/// What happens to the table, and which of its responses arrive.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A row of the table that is watched changes; whether the waiting call's response
    /// arrives.
    Watched(bool),
    /// One of the rows of the other table changes.
    Other(u8),
    /// A row of a table that is not read changes.
    Unread,
    /// The other table is read; whether the response arrives.
    Read(bool),
    /// A check is made if it is due; whether its response arrives.
    Check(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Watched),
        (0..6_u8).prop_map(Step::Other),
        Just(Step::Unread),
        any::<bool>().prop_map(Step::Read),
        any::<bool>().prop_map(Step::Check),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever responses are lost: once the targets were read up to a missed change, a
    /// check is due until one has brought it.
    #[test]
    fn missed_change(steps in prop::collection::vec(step(), 1..80)) {
        let (mut position, mut rows, mut read) = (0_u64, [0_u64; 6], 0_u64);
        let (mut known, mut missed) = (0_u64, None::<u64>);
        let mut changes = KnownChanges::default();
        for step in steps {
            match step {
                Step::Watched(arrives) => {
                    position += 1;
                    // After a lost response the connection delivers nothing further.
                    if arrives && missed.is_none() {
                        known = position;
                        changes.record_rows([Position::from(position)].into_iter());
                    } else {
                        missed = missed.or(Some(position));
                    }
                }
                Step::Other(row) => {
                    position += 1;
                    rows[usize::from(row)] = position;
                }
                Step::Unread => position += 1,
                Step::Read(true) => {
                    let new: Vec<u64> = rows.iter().copied().filter(|at| *at > read).collect();
                    record(&mut changes, &new, position);
                    read = position;
                }
                Step::Check(true) if changes.doubt(watched(known)).is_some() => {
                    (known, missed) = (position, None);
                }
                Step::Read(false) | Step::Check(_) => {}
            }
            if missed.is_some_and(|missed| missed <= read) {
                prop_assert!(changes.doubt(watched(known)).is_some(), "{missed:?} of {read}");
            }
        }
    }

    /// The rows of one read after the other explain all positions, in any order and
    /// if one comes twice.
    #[test]
    fn all_explained(mut order in Just((1..60_u64).collect::<Vec<_>>()).prop_shuffle(), again in 0..59_usize) {
        order.push(order[again]);
        let mut changes = KnownChanges::default();
        for position in order {
            record(&mut changes, &[position], 59);
        }
        prop_assert_eq!(changes.doubt(watched(0)), None);
    }
}

/// After the table has come back from a copy, the positions of the era before explain
/// nothing, and late ones of it are not recorded.
#[test]
fn later_era() {
    let later = |version| Position {
        era: Era(1),
        version,
    };
    let mut changes = KnownChanges::default();
    record(&mut changes, &[11, 12, 13, 14], 14);
    changes.record_rows([later(11), later(13)].into_iter());
    changes.record_read(later(13));
    record(&mut changes, &[12], 14);
    let watched = Watched {
        known: later(10),
        ..watched(0)
    };
    assert_eq!(changes.doubt(watched), Some(Doubt::Unknown(later(12))));
}
