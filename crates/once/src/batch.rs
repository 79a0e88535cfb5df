//! Groups the waiting operations on claim rows into transactions.
//!
//! The table serves a few hundred writes per second to all processes, so each
//! agent sends what waits for a few milliseconds as one transaction.

use std::collections::{BTreeSet, VecDeque};

use base::{span::Span, time::Mono};

use crate::claim::{Answer, Ask, Op, Row};

/// Bounds of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limits {
    /// How long the first write of a batch waits for others.
    pub window: Span,
    /// Most writes in one transaction.
    pub writes: usize,
}

impl Default for Limits {
    /// 32 done rows of at most 32 KiB make a transaction of at most 1 MiB.
    fn default() -> Self {
        Self {
            window: Span::from_millis(5),
            writes: 32,
        }
    }
}

/// What the table said of a whole transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All writes took effect, with these versions in order.
    Written(Vec<u64>),
    /// The write at this index found the given row; nothing changed.
    Conflict(usize, Option<Row>),
    /// No usable answer, or status 503; the writes may have taken effect.
    Unanswered,
    /// Not sent, or status 429: nothing changed.
    Unavailable,
}

/// Writes that wait for a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Batch {
    limits: Limits,
    /// Writes in order of arrival, and when each arrived.
    waiting: VecDeque<(Mono, Ask)>,
    /// Rest of a transaction after a conflict; sent next, without newcomers.
    rest: VecDeque<Vec<Ask>>,
}

impl Batch {
    /// Makes an empty batch.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Adds a write. Reads are not batched; the caller sends them itself.
    pub fn push(&mut self, now: Mono, ask: Ask) {
        debug_assert!(matches!(ask.op, Op::Write { .. }));
        self.waiting.push_back((now, ask));
    }

    /// Returns when the next transaction is due, if writes wait.
    pub fn due(&self, now: Mono) -> Option<Mono> {
        if !self.rest.is_empty() || self.waiting.len() >= self.limits.writes {
            return Some(now);
        }
        let (first, _) = self.waiting.front()?;
        Some(*first + self.limits.window)
    }

    /// Takes the writes of the next transaction, if one is due. Two writes of
    /// one row never share a transaction; the later one waits for the next.
    pub fn take(&mut self, now: Mono) -> Option<Vec<Ask>> {
        if self.due(now)? > now {
            return None;
        }
        if let Some(rest) = self.rest.pop_front() {
            return Some(rest);
        }
        let mut rows = BTreeSet::new();
        let mut taken = Vec::new();
        let mut left = VecDeque::new();
        for (at, ask) in self.waiting.drain(..) {
            if taken.len() < self.limits.writes && rows.insert(ask.key.clone()) {
                taken.push(ask);
            } else {
                left.push_back((at, ask));
            }
        }
        self.waiting = left;
        Some(taken)
    }

    /// Turns the outcome of a transaction into an answer for each write it
    /// decides. After a conflict only the write that failed has its answer;
    /// the others are sent again at once, in two halves, so that a write waits
    /// for few conflicts of others.
    pub fn finish(&mut self, taken: Vec<Ask>, outcome: Outcome) -> Vec<(Ask, Answer)> {
        match outcome {
            Outcome::Written(versions) => taken
                .into_iter()
                .zip(versions)
                .map(|(ask, version)| (ask, Answer::Written(version)))
                .collect(),
            Outcome::Conflict(failed, row) => self.split(taken, failed, row),
            Outcome::Unanswered => all(taken, &Answer::Unanswered),
            Outcome::Unavailable => all(taken, &Answer::Unavailable),
        }
    }

    fn split(
        &mut self,
        mut taken: Vec<Ask>,
        failed: usize,
        row: Option<Row>,
    ) -> Vec<(Ask, Answer)> {
        if failed >= taken.len() {
            return all(taken, &Answer::Unanswered);
        }
        let ask = taken.remove(failed);
        let second = taken.split_off(taken.len() / 2);
        for half in [taken, second] {
            if !half.is_empty() {
                self.rest.push_back(half);
            }
        }
        vec![(ask, Answer::Conflict(row))]
    }
}

fn all(taken: Vec<Ask>, answer: &Answer) -> Vec<(Ask, Answer)> {
    taken.into_iter().map(|ask| (ask, answer.clone())).collect()
}
