//! Decides which targets accept new work, from their table rows and from what
//! other routers read of them.
//!
//! A target that announces that it is leaving, or whose row is removed, gets no
//! new work from then on. Rows that lapsed during an outage of the table come
//! back shortly after it recovers, so a removal seen at that time only counts if
//! the row stays away.

use std::collections::{BTreeMap, BTreeSet};

use base::{id, span, time};
use platform::{rows::Position, target::Target};

/// Time after the recovery of the table in which rows that lapsed during its
/// outage come back: two seconds, and the time of a call.
const RECOVERY_TIME: span::Span = span::Span::from_millis(2_100);

/// Time for which a change is announced to other routers. They receive it
/// several times, because datagrams may be lost.
const ANNOUNCE_TIME: span::Span = span::Span::from_secs(3);

/// Maximum number of removed rows that are remembered.
const MAX_REMOVED: usize = 4_096;

/// Time by which the end of a cold start must move to count as a change. Rows are
/// read up to some hundred milliseconds after they were written, so that the end
/// that is computed from each of them differs.
const COLD_TOLERANCE: span::Span = span::Span::from_secs(1);

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    position: Position,
    /// Until when the target is cold, as the row says.
    cold_until: Option<time::Mono>,
    /// When the target counts as removed, if its row was removed.
    removed_at: Option<time::Mono>,
}

impl Entry {
    /// Returns the position of the row, and the target with the time for which it
    /// is still cold.
    fn row(&self, now: time::Mono) -> (Position, Target) {
        let cold = self.cold_until.map(|until| until.since(now));
        let target = Target {
            cold: cold.unwrap_or_default(),
            ..self.target.clone()
        };
        (self.position, target)
    }
}

/// The targets listed in the table.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    entries: BTreeMap<id::TargetId, Entry>,
    removed: BTreeMap<id::TargetId, Position>,
    table: TableHealth,
    departures: Vec<(time::Mono, Departure)>,
    /// Targets that started recently, or turned cold or warm, and until when each is
    /// announced.
    joined: Vec<(time::Mono, id::TargetId)>,
    /// Number of rounds in which changes were announced.
    rounds: usize,
    /// Table position of the latest known change of a target. Most rows are only
    /// heartbeats, which change nothing.
    last_change: Position,
}

/// A target that is leaving or was removed, as routers announce it to one
/// another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The target.
    pub target: id::TargetId,
    /// Position of the changed row, or of the read that no longer contained the
    /// row.
    pub position: Position,
    /// Whether the row was removed; otherwise the target announced that it is
    /// leaving.
    pub removed: bool,
}

/// Whether the table answers calls.
#[derive(Clone, Copy, Debug, Default)]
enum TableHealth {
    /// All calls so far succeeded.
    #[default]
    Available,
    /// The latest call failed.
    Unavailable,
    /// Calls have succeeded since the given time, after a failure.
    Recovered(time::Mono),
}

impl TargetList {
    /// Records that a call to the table failed.
    pub fn failed(&mut self) {
        self.table = TableHealth::Unavailable;
    }

    /// Records that a call to the table succeeded.
    pub fn answered(&mut self, now: time::Mono) {
        if matches!(self.table, TableHealth::Unavailable) {
            self.table = TableHealth::Recovered(now);
        }
    }

    /// Applies a row, and returns whether it changes what is known of the
    /// target. A target that is leaving keeps leaving until it restarts, and a
    /// row that is older than a removal has no effect.
    pub fn put(&mut self, now: time::Mono, position: Position, mut target: Target) -> bool {
        let removed = self.removed.get(&target.id);
        if removed.is_some_and(|removed| *removed >= position) {
            return false;
        }
        let known = self.entries.get(&target.id);
        if known.is_some_and(|known| known.position > position) {
            return false;
        }
        let same = known.filter(|known| known.target.started_at == target.started_at);
        let mut cold_until = (target.cold > span::Span::ZERO).then(|| now + target.cold);
        if let Some(known) = same.filter(|known| known.position == position) {
            // The row is known; a router that announces it may omit the time.
            target.cold = known.target.cold;
            cold_until = known.cold_until;
        }
        let is_turned = same.is_some_and(|known| turns(known.cold_until, cold_until));
        let was_leaving = same.is_some_and(|known| known.target.leaving);
        let (is_leaving, is_joined) = (
            target.leaving && !was_leaving,
            same.is_none() && !target.leaving,
        );
        target.leaving |= was_leaving;
        let is_new = is_turned
            || known.is_none_or(|known| {
                !is_same_row(&known.target, &target) || known.removed_at.is_some()
            });
        if is_new {
            self.last_change = self.last_change.max(position);
        }
        if is_leaving {
            self.announce(now, &target.id, position, false);
        }
        if is_joined || (is_turned && !target.leaving) {
            self.joined.retain(|(_, id)| *id != target.id);
            self.joined.push((now + ANNOUNCE_TIME, target.id.clone()));
        }
        let entry = Entry {
            target,
            position,
            cold_until,
            removed_at: None,
        };
        self.entries.insert(entry.target.id.clone(), entry);
        is_new
    }

    /// Applies the removal of a row.
    pub fn remove(&mut self, now: time::Mono, position: Position, id: &str) {
        let until = match self.table {
            TableHealth::Recovered(back) => back + RECOVERY_TIME,
            TableHealth::Available | TableHealth::Unavailable => now,
        };
        if let Some(entry) = self.entries.get_mut(id)
            && entry.position <= position
        {
            entry.position = position;
            entry.removed_at.get_or_insert(until);
        }
    }

    /// Replaces all rows: those that are not in `rows` count as removed.
    pub fn replace(&mut self, now: time::Mono, position: Position, rows: Vec<(Position, Target)>) {
        let listed: BTreeSet<&id::TargetId> = rows.iter().map(|(_, target)| &target.id).collect();
        let removed: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in removed {
            self.remove(now, position, id.as_str());
        }
        for (position, target) in rows {
            self.put(now, position, target);
        }
    }

    /// Applies a departure that another router announced, and returns whether it
    /// was not known. If so, it is announced to further routers, because a router
    /// gets the updates of most others only through relays.
    pub fn apply_departure(&mut self, now: time::Mono, departure: &Departure) -> bool {
        let Some(entry) = self.entries.get_mut(&departure.target) else {
            return false;
        };
        if entry.position > departure.position {
            return false;
        }
        let is_new = departure.removed || !entry.target.leaving;
        entry.position = departure.position;
        entry.target.leaving = true;
        if departure.removed {
            self.entries.remove(&departure.target);
            self.remember_removed(departure.target.clone(), departure.position);
        }
        if is_new {
            self.announce(
                now,
                &departure.target,
                departure.position,
                departure.removed,
            );
        }
        is_new
    }

    /// Returns departures that other routers may not know yet, at most `max`:
    /// the latest ones, and earlier ones in turn.
    pub fn departures(&mut self, now: time::Mono, max: usize) -> Vec<Departure> {
        self.departures.retain(|(until, _)| *until > now);
        self.rounds = self.rounds.wrapping_add(1);
        let indices = rotate(self.departures.len(), max, self.rounds).into_iter();
        indices
            .map(|index| self.departures[index].1.clone())
            .collect()
    }

    /// Returns targets that are new, or turned cold or warm, and that other routers
    /// may not know yet, at most `max`, with what [`Self::rows`] returns of them. They
    /// are selected in the same way as departures.
    pub fn joined(&mut self, now: time::Mono, max: usize) -> Vec<(Position, Target)> {
        self.joined.retain(|(until, _)| *until > now);
        let indices = rotate(self.joined.len(), max, self.rounds).into_iter();
        let ids = indices.map(|index| &self.joined[index].1);
        let entries = ids.filter_map(|id| self.entries.get(id));
        entries.map(|entry| entry.row(now)).collect()
    }

    /// Returns the position of a target's row, and until when the row says that the
    /// target is cold, if the row is of this run of the target.
    pub fn cold(
        &self,
        id: &id::TargetId,
        started_at: i64,
    ) -> Option<(Position, Option<time::Mono>)> {
        let entry = self.entries.get(id)?;
        (entry.target.started_at == started_at).then_some((entry.position, entry.cold_until))
    }

    /// Returns the table position of the latest known change of a target.
    pub fn last_change(&self) -> Position {
        self.last_change
    }

    /// Drops the targets that count as removed by now, and returns the others,
    /// including those that are leaving.
    pub fn targets(&mut self, now: time::Mono) -> Vec<&Target> {
        let is_removed = |entry: &Entry| entry.removed_at.is_some_and(|at| at <= now);
        let removed: Vec<_> = self
            .entries
            .values()
            .filter(|entry| is_removed(entry))
            .map(|entry| (entry.target.id.clone(), entry.position))
            .collect();
        for (id, position) in removed {
            self.entries.remove(&id);
            self.announce(now, &id, position, true);
            self.remember_removed(id, position);
        }
        self.entries.values().map(|entry| &entry.target).collect()
    }

    /// Returns the rows of the targets with their positions, and with the times for
    /// which the targets are still cold.
    pub fn rows(&self, now: time::Mono) -> impl Iterator<Item = (Position, Target)> {
        self.entries.values().map(move |entry| entry.row(now))
    }

    /// Returns the row of a target in the same way.
    pub fn row(&self, now: time::Mono, id: &id::TargetId) -> Option<(Position, Target)> {
        self.entries.get(id).map(|entry| entry.row(now))
    }

    fn announce(&mut self, now: time::Mono, id: &id::TargetId, position: Position, removed: bool) {
        self.last_change = self.last_change.max(position);
        let departure = Departure {
            target: id.clone(),
            position,
            removed,
        };
        self.departures.push((now + ANNOUNCE_TIME, departure));
    }

    fn remember_removed(&mut self, id: id::TargetId, position: Position) {
        self.removed.insert(id, position);
        if self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, position)| **position);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.removed.remove(&oldest);
            }
        }
    }
}

/// Returns whether two rows say the same, but for the time for which the target is
/// still cold, which counts down with each row.
pub fn is_same_row(a: &Target, b: &Target) -> bool {
    a.id == b.id
        && a.address == b.address
        && a.service == b.service
        && a.centre == b.centre
        && a.slots == b.slots
        && a.leaving == b.leaving
        && a.started_at == b.started_at
}

/// Returns whether a target turned cold or warm between two rows, or is cold for
/// longer than the earlier row said.
fn turns(before: Option<time::Mono>, after: Option<time::Mono>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => after > before + COLD_TOLERANCE,
        _ => before.is_some() != after.is_some(),
    }
}

/// Returns the indices of the changes to announce in a round, at most `max` of
/// `count`: half of them the latest, the others in turn.
fn rotate(count: usize, max: usize, round: usize) -> Vec<usize> {
    if count <= max {
        return (0..count).rev().collect();
    }
    let latest = max / 2;
    let (earlier, turns) = (count - latest, max - latest);
    let first = round * turns;
    let indices = (first..first + turns).map(|index| index % earlier);
    (earlier..count).rev().chain(indices).collect()
}
