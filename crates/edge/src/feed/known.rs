//! Decides when a call that waits for changes may have missed one.
//!
//! Load pattern: the table loses responses, or its connections go silent, while all
//! targets send heartbeats. A call that waits for a change then looks as if nothing
//! had changed, until its own timeout. All tables share one log of changes, and nearly
//! all changes are heartbeats, which each read of the targets brings: a position up to
//! that read at which no known row is may be the change that the call waits for. A
//! version of the configuration that another router has may be it, too.
//!
//! See [the note](../../../../docs/design/missed-changes.md).

use std::collections::BTreeMap;

use base::{id, time};
use platform::rows::{Era, Position};

/// Maximum number of ranges of positions that are remembered.
const MAX_RANGES: usize = 512;

/// The changes that this router has read, by their positions.
#[derive(Clone, Debug, Default)]
pub struct KnownChanges {
    /// Position up to which the targets were read. Its era is the one of the ranges.
    read: Position,
    /// Ranges of positions of rows that were read: the first and the last of each.
    /// They are apart from each other by at least one position.
    ranges: BTreeMap<u64, u64>,
    /// When a call remained without an answer.
    unanswered: Option<time::Mono>,
    /// The newest version of the configuration that another router reported, and when it
    /// was first reported.
    reported: (id::Version, time::Mono),
}

/// Why a call that waits may have missed a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// No row that was read is at this position.
    Unknown(Position),
    /// Another call remained without an answer, so that the connection of the one that
    /// waits may be silent as well.
    Unanswered,
    /// Another router has this version of the configuration.
    Reported(id::Version),
}

/// What a call that waits for changes has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Position up to which all changes of the table that is watched are known.
    pub known: Position,
    /// When that was asked.
    pub asked: time::Mono,
    /// The version in force, if the table that is watched has the configuration.
    pub version: Option<id::Version>,
}

impl KnownChanges {
    /// Records the positions of rows that were read.
    pub fn record_rows(&mut self, rows: impl Iterator<Item = Position>) {
        for position in rows {
            self.enter(position.era);
            if position.era == self.read.era {
                self.add(position.version);
            }
        }
        while self.ranges.len() > MAX_RANGES {
            // Early positions are in doubt again, which causes a call at most.
            self.ranges.pop_first();
        }
    }

    /// Records that the targets were read up to a position.
    pub fn record_read(&mut self, position: Position) {
        self.enter(position.era);
        if position.era == self.read.era {
            self.read = position;
        }
    }

    /// Forgets the positions of earlier eras, which say nothing of a later one.
    fn enter(&mut self, era: Era) {
        if era > self.read.era {
            self.ranges.clear();
            self.read = Position { era, version: 0 };
        }
    }

    /// Records that a call remained without an answer.
    pub fn record_unanswered(&mut self, now: time::Mono) {
        self.unanswered = Some(now);
    }

    /// Records the version of the configuration that another router has. Returns whether
    /// it is newer than all that were reported before.
    pub fn record_version(&mut self, now: time::Mono, version: id::Version) -> bool {
        let is_newer = version > self.reported.0;
        if is_newer {
            self.reported = (version, now);
        }
        is_newer
    }

    /// Returns why a call that waits may have missed a change, if it may.
    pub fn doubt(&self, watched: Watched) -> Option<Doubt> {
        let (reported, at) = self.reported;
        if watched.version.is_some_and(|own| own < reported) && at > watched.asked {
            return Some(Doubt::Reported(reported));
        }
        if self.unanswered.is_some_and(|at| at > watched.asked) {
            return Some(Doubt::Unanswered);
        }
        if watched.known.era != self.read.era {
            return None;
        }
        let next = watched.known.version.saturating_add(1);
        let before = self.ranges.range(..=next).next_back();
        let first = match before {
            Some((_, last)) if *last >= next => last.saturating_add(1),
            _ => next,
        };
        (first <= self.read.version).then_some(Doubt::Unknown(Position {
            version: first,
            ..self.read
        }))
    }

    fn add(&mut self, position: u64) {
        let before = self.ranges.range(..=position).next_back();
        let (first, last) = match before {
            Some((_, last)) if *last >= position => return,
            Some((first, last)) if last.saturating_add(1) == position => (*first, position),
            _ => (position, position),
        };
        let joined = position
            .checked_add(1)
            .and_then(|next| self.ranges.remove(&next));
        self.ranges.insert(first, joined.unwrap_or(last));
    }
}
