//! Guards the grouping of claim writes: each write is decided exactly once,
//! in time, and as if it had been sent alone.

mod common;

use std::collections::BTreeMap;

use base::{id, span::Span, time::Mono};
use common::{key, owner, row, transact};
use once::{
    batch::{Batch, Limits, Outcome},
    claim::{Answer, Ask, Condition, Op, State},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn write(text: &str, nonce: u128, condition: Condition) -> Ask {
    Ask {
        key: key(text),
        nonce: id::Nonce(nonce),
        op: Op::Write {
            claim: row(1, owner("agent-a", 1), nonce, State::Running).claim,
            condition,
        },
    }
}

fn insert(text: &str, nonce: u128) -> Ask {
    write(text, nonce, Condition::Absent)
}

#[test]
fn window_shared() {
    let mut batch = Batch::new(Limits::default());
    assert_eq!(batch.due(Mono(0)), None);
    batch.push(Mono(0), insert("a", 1));
    batch.push(Mono(3_000), insert("b", 2));
    assert_eq!(batch.due(Mono(3_000)), Some(Mono(5_000)));
    assert_eq!(batch.take(Mono(4_999)), None);
    assert_eq!(batch.take(Mono(5_000)).unwrap().len(), 2);
    assert_eq!(batch.take(Mono(9_000)), None);
}

#[test]
fn full_batch() {
    let mut batch = Batch::new(Limits {
        window: Span::from_millis(5),
        writes: 2,
    });
    for nonce in 1..=3 {
        batch.push(Mono(0), insert(&nonce.to_string(), nonce));
    }
    assert_eq!(batch.take(Mono(0)).unwrap().len(), 2);
    assert_eq!(batch.take(Mono(0)), None);
    assert_eq!(batch.take(Mono(5_000)).unwrap().len(), 1);
}

/// Two writes of one row in a transaction would always conflict.
#[test]
fn same_row() {
    let mut batch = Batch::new(Limits::default());
    batch.push(Mono(0), insert("a", 1));
    batch.push(Mono(0), insert("a", 2));
    assert_eq!(batch.take(Mono(5_000)).unwrap(), [insert("a", 1)]);
    assert_eq!(batch.take(Mono(5_000)).unwrap(), [insert("a", 2)]);
}

#[test]
fn conflict_split() {
    let mut batch = Batch::new(Limits::default());
    for (nonce, text) in ["a", "b", "c", "d"].iter().enumerate() {
        batch.push(Mono(0), insert(text, nonce as u128));
    }
    let taken = batch.take(Mono(5_000)).unwrap();
    let found = row(4, owner("agent-b", 1), 9, State::Running);
    let decided = batch.finish(taken, Outcome::Conflict(1, Some(found.clone())));
    assert_eq!(decided, [(insert("b", 1), Answer::Conflict(Some(found)))]);
    assert_eq!(batch.due(Mono(5_000)), Some(Mono(5_000)));
    assert_eq!(batch.take(Mono(5_000)).unwrap(), [insert("a", 0)]);
    let second = batch.take(Mono(5_000)).unwrap();
    assert_eq!(second, [insert("c", 2), insert("d", 3)]);
}

/// No usable answer decides nothing: each write is read back on its own.
#[test]
fn reply_lost() {
    for (outcome, answer) in [
        (Outcome::Unanswered, Answer::Unanswered),
        (Outcome::Unavailable, Answer::Unavailable),
        (Outcome::Conflict(7, None), Answer::Unanswered),
    ] {
        let mut batch = Batch::new(Limits::default());
        let decided = batch.finish(vec![insert("a", 1), insert("b", 2)], outcome);
        assert!(decided.iter().all(|(_, found)| *found == answer));
        assert_eq!(decided.len(), 2);
    }
}

/// Random writes, some of which conflict: each gets one answer, which is true.
#[test]
fn decided_once() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(200), rng);
    let writes = prop::collection::vec((0..12_u32, 0..3_u64), 1..60);
    runner
        .run(&writes, |writes| {
            let mut batch = Batch::new(Limits::default());
            let mut table = BTreeMap::new();
            for (nonce, (name, version)) in writes.iter().enumerate() {
                let condition = match version {
                    0 => Condition::Absent,
                    version => Condition::Version(*version),
                };
                let ask = write(&name.to_string(), nonce as u128, condition);
                batch.push(Mono(nonce as u64 * 500), ask);
            }
            let mut answers = BTreeMap::new();
            let later = Mono(1_000_000);
            while let Some(taken) = batch.take(later) {
                let outcome = transact(&mut table, &taken);
                for (ask, answer) in batch.finish(taken, outcome) {
                    prop_assert!(answers.insert(ask.nonce, answer).is_none());
                }
            }
            prop_assert_eq!(answers.len(), writes.len());
            let written = |answer: &&Answer| matches!(answer, Answer::Written(_));
            let versions: u64 = table.values().map(|row| row.version).sum();
            let count = answers.values().filter(written).count() as u64;
            prop_assert_eq!(count, versions);
            Ok(())
        })
        .unwrap();
}
