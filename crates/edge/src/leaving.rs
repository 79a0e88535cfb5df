//! Decides which targets take new work, from their rows.
//!
//! A target that announces its leave, or whose row is removed, gets no new work
//! from then on. Rows that lapsed in an outage of the table come back shortly
//! after its return, so a removal that is seen then counts only if the row
//! stays away.

use std::collections::BTreeMap;

use base::{id, span, time};
use platform::target::Target;

/// Time after the table's return in which rows that lapsed in its outage come
/// back: two seconds, and the time of a call.
const RETURN_TIME: span::Span = span::Span::from_millis(2_100);

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// When the target counts as gone, if its row was removed.
    gone: Option<time::Mono>,
}

/// The targets that the table lists.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    entries: BTreeMap<id::TargetId, Entry>,
    table: Table,
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

    /// Takes in a row. A leave is final for the same start of the target.
    pub fn put(&mut self, mut target: Target) {
        let known = self.entries.get(&target.id);
        let known = known.filter(|known| known.target.born == target.born);
        target.leaving |= known.is_some_and(|known| known.target.leaving);
        let entry = Entry { target, gone: None };
        self.entries.insert(entry.target.id.clone(), entry);
    }

    /// Takes in the removal of a row.
    pub fn remove(&mut self, now: time::Mono, id: &str) {
        let until = match self.table {
            Table::Back(back) => back + RETURN_TIME,
            Table::Sound | Table::Away => now,
        };
        if let Some(entry) = self.entries.get_mut(id) {
            entry.gone.get_or_insert(until);
        }
    }

    /// Takes in all rows that there are; the others were removed.
    pub fn replace(&mut self, now: time::Mono, targets: Vec<Target>) {
        let gone: Vec<_> = self
            .entries
            .keys()
            .filter(|id| targets.iter().all(|target| target.id != **id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(now, id.as_str());
        }
        for target in targets {
            self.put(target);
        }
    }

    /// Returns the targets that take new work.
    pub fn open(&mut self, now: time::Mono) -> Vec<&Target> {
        self.entries
            .retain(|_, entry| entry.gone.is_none_or(|gone| gone > now));
        let targets = self.entries.values().map(|entry| &entry.target);
        targets.filter(|target| !target.leaving).collect()
    }
}
