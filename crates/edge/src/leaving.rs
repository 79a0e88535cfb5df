//! Decides which targets take new work, from their rows and from what other
//! routers read of them.
//!
//! A target that announces its leave, or whose row is removed, gets no new work
//! from then on. Rows that lapsed in an outage of the table come back shortly
//! after its return, so a removal that is seen then counts only if the row
//! stays away.

use std::collections::{BTreeMap, BTreeSet};

use base::{id, span, time};
use platform::{rows::Position, target::Target};

/// Time after the table's return in which rows that lapsed in its outage come
/// back: two seconds, and the time of a call.
const RETURN_TIME: span::Span = span::Span::from_millis(2_100);

/// Time for which a leave is told to other routers. They get it several times,
/// because datagrams may be lost.
const TELL_TIME: span::Span = span::Span::from_secs(3);

/// Removed rows that are remembered at most.
const MOST_GONE: usize = 4_096;

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    position: Position,
    /// When the target counts as gone, if its row was removed.
    gone: Option<time::Mono>,
}

/// The targets that the table lists.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    entries: BTreeMap<id::TargetId, Entry>,
    removed: BTreeMap<id::TargetId, Position>,
    table: Table,
    leaves: Vec<(time::Mono, Leave)>,
}

/// A leave as routers tell it to one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leave {
    /// The target.
    pub target: id::TargetId,
    /// Position of the row's change, or of the read that missed the row.
    pub position: Position,
    /// Whether the row is gone; otherwise it says that the target leaves.
    pub gone: bool,
}

/// Whether the table answers.
#[derive(Clone, Copy, Debug, Default)]
enum Table {
    /// It has answered all calls so far.
    #[default]
    Sound,
    /// The latest call failed.
    Away,
    /// It answers again since then.
    Back(time::Mono),
}

impl Listed {
    /// Notes that a call to the table failed.
    pub fn failed(&mut self) {
        self.table = Table::Away;
    }

    /// Notes that the table answered.
    pub fn answered(&mut self, now: time::Mono) {
        if matches!(self.table, Table::Away) {
            self.table = Table::Back(now);
        }
    }

    /// Takes in a row. A leave is final for the same start of the target, and a
    /// row from before a removal changes nothing.
    pub fn put(&mut self, now: time::Mono, position: Position, mut target: Target) {
        let removed = self.removed.get(&target.id);
        if removed.is_some_and(|removed| *removed >= position) {
            return;
        }
        let known = self.entries.get(&target.id);
        if known.is_some_and(|known| known.position > position) {
            return;
        }
        let same = known.filter(|known| known.target.born == target.born);
        let left = same.is_some_and(|known| known.target.leaving);
        if target.leaving && !left {
            self.tell(now, &target.id, position, false);
        }
        target.leaving |= left;
        let entry = Entry {
            target,
            position,
            gone: None,
        };
        self.entries.insert(entry.target.id.clone(), entry);
    }

    /// Takes in the removal of a row.
    pub fn remove(&mut self, now: time::Mono, position: Position, id: &str) {
        let until = match self.table {
            Table::Back(back) => back + RETURN_TIME,
            Table::Sound | Table::Away => now,
        };
        if let Some(entry) = self.entries.get_mut(id)
            && entry.position <= position
        {
            entry.position = position;
            entry.gone.get_or_insert(until);
        }
    }

    /// Takes in all rows that there are; the others were removed.
    pub fn replace(&mut self, now: time::Mono, position: Position, rows: Vec<(Position, Target)>) {
        let listed: BTreeSet<&id::TargetId> = rows.iter().map(|(_, target)| &target.id).collect();
        let gone: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(now, position, id.as_str());
        }
        for (position, target) in rows {
            self.put(now, position, target);
        }
    }

    /// Takes in a leave that another router tells.
    pub fn told(&mut self, leave: &Leave) {
        let Some(entry) = self.entries.get_mut(&leave.target) else {
            return;
        };
        if entry.position > leave.position {
            return;
        }
        entry.position = leave.position;
        entry.target.leaving = true;
        if leave.gone {
            self.entries.remove(&leave.target);
            self.forget(leave.target.clone(), leave.position);
        }
    }

    /// Returns the leaves that other routers may not know yet.
    pub fn leaves(&mut self, now: time::Mono) -> Vec<Leave> {
        self.leaves.retain(|(until, _)| *until > now);
        self.leaves.iter().map(|(_, leave)| leave.clone()).collect()
    }

    /// Returns the targets, those that leave included, after those that are
    /// gone were removed.
    pub fn targets(&mut self, now: time::Mono) -> Vec<&Target> {
        let is_gone = |entry: &Entry| entry.gone.is_some_and(|gone| gone <= now);
        let gone: Vec<_> = self
            .entries
            .values()
            .filter(|entry| is_gone(entry))
            .map(|entry| (entry.target.id.clone(), entry.position))
            .collect();
        for (id, position) in gone {
            self.entries.remove(&id);
            self.tell(now, &id, position, true);
            self.forget(id, position);
        }
        self.entries.values().map(|entry| &entry.target).collect()
    }

    /// Returns the rows of the targets with their positions.
    pub fn rows(&self) -> impl Iterator<Item = (Position, &Target)> {
        self.entries
            .values()
            .map(|entry| (entry.position, &entry.target))
    }

    fn tell(&mut self, now: time::Mono, id: &id::TargetId, position: Position, gone: bool) {
        let leave = Leave {
            target: id.clone(),
            position,
            gone,
        };
        self.leaves.push((now + TELL_TIME, leave));
    }

    fn forget(&mut self, id: id::TargetId, position: Position) {
        self.removed.insert(id, position);
        if self.removed.len() > MOST_GONE {
            let oldest = self.removed.iter().min_by_key(|(_, position)| **position);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.removed.remove(&oldest);
            }
        }
    }
}
