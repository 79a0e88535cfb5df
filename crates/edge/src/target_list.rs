//! Decides which targets accept new work, from their table rows and from what
//! other routers read of them.
//!
//! A target that announces that it is leaving, or whose row is removed, gets no
//! new work from then on. Rows that lapsed during an outage of the table come
//! back shortly after it recovers, so a removal seen at that time only counts if
//! the row stays away.
//!
//! After the table has come back from a copy, a row that was there at the first read may
//! be as old as the copy. What is known of the target from before is then judged by the
//! target's start time, not by positions. See [the
//! note](../../../docs/design/table-returns.md).

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use base::{id, span, time};
use platform::{rows::Position, target::Target};

/// Time after the recovery of the table in which rows that lapsed during its
/// outage come back: two seconds, and the time of a call.
const RECOVERY_TIME: span::Span = span::Span::from_millis(2_100);

/// Time after which the table has removed the row of a target that is gone: several times
/// the interval at which targets renew their rows.
const LAPSE_TIME: span::Span = span::Span::from_secs(10);

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
    source: Source,
    /// Until when the target is cold, as the row says.
    cold_until: Option<time::Mono>,
    /// The removal of the row, if it was removed.
    removal: Option<PendingRemoval>,
}

/// A row that was removed, and that may come back until the target counts as removed.
#[derive(Clone, Copy, Debug)]
struct PendingRemoval {
    position: Position,
    /// When the target counts as removed.
    at: time::Mono,
}

/// Where something that is known of a target comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Position of the row, or of the read that no longer contained it.
    pub position: Position,
    /// Whether the row may come from the copy from which the table came back, so that it
    /// is older than what an earlier era showed.
    pub copied: bool,
}

impl From<Position> for Source {
    fn from(position: Position) -> Self {
        Self {
            position,
            copied: false,
        }
    }
}

impl Source {
    /// Orders this against `known` by their positions. Returns `None` if the positions do
    /// not tell which is later: one is a row of the copy, the other is of an earlier era.
    fn order(self, known: Self) -> Option<Ordering> {
        let (own, other) = (self.position, known.position);
        let is_copy = match own.era.cmp(&other.era) {
            Ordering::Equal => false,
            Ordering::Greater => self.copied,
            Ordering::Less => known.copied,
        };
        (!is_copy).then(|| own.cmp(&other))
    }
}

impl Entry {
    /// Returns where the row is from, and the target with the time for which it
    /// is still cold.
    fn row(&self, now: time::Mono) -> (Source, Target) {
        let cold = self.cold_until.map(|until| until.since(now));
        let target = Target {
            cold: cold.unwrap_or_default(),
            ..self.target.clone()
        };
        (self.source, target)
    }

    /// Returns how a row of the target is ordered against this entry. Where positions do
    /// not tell, a later run of the target does.
    fn order(&self, source: Source, target: &Target) -> Ordering {
        let started = || target.started_at.cmp(&self.target.started_at);
        source.order(self.source).unwrap_or_else(started)
    }

    /// Returns whether a row of the target was written before its row was removed.
    fn is_removed(&self, source: Source, target: &Target) -> bool {
        self.removal.is_some_and(|pending| {
            let removal = Removal {
                position: pending.position,
                started_at: self.target.started_at,
            };
            !removal.precedes(source, target)
        })
    }
}

/// A row that was removed.
#[derive(Clone, Copy, Debug)]
struct Removal {
    position: Position,
    /// Start time of the target.
    started_at: i64,
}

impl Removal {
    /// Returns whether a row was written after the removal.
    fn precedes(self, source: Source, target: &Target) -> bool {
        let started = || target.started_at.cmp(&self.started_at);
        let order = source.order(self.position.into());
        order.unwrap_or_else(started) == Ordering::Greater
    }
}

/// The targets listed in the table.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    entries: BTreeMap<id::TargetId, Entry>,
    removed: BTreeMap<id::TargetId, Removal>,
    /// Position of the first read in its era. Rows up to it may come from the copy from
    /// which the table came back.
    first_read: Position,
    /// When the first read in the era was applied.
    era_began: time::Mono,
    /// Position up to which the table was read.
    read: Position,
    /// Rows of the copy that were removed in an earlier era.
    doubted: BTreeMap<id::TargetId, (Position, Target)>,
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
    /// Start time of the target; `None` if the router that announced it does not tell.
    pub started_at: Option<i64>,
}

impl Departure {
    fn new(target: &Target, position: Position, removed: bool) -> Self {
        Self {
            target: target.id.clone(),
            position,
            removed,
            started_at: Some(target.started_at),
        }
    }

    /// Returns whether the departure is news of the run of the target that an entry is of,
    /// or of a later run.
    fn concerns(&self, entry: &Entry) -> bool {
        let started_at = entry.target.started_at;
        if self.started_at.is_some_and(|of| of < started_at) {
            return false;
        }
        match Source::from(self.position).order(entry.source) {
            // A run that was leaving in an earlier era is still leaving.
            Some(Ordering::Less) => {
                !self.removed
                    && self.position.era < entry.source.position.era
                    && self.started_at == Some(started_at)
            }
            Some(_) => true,
            None => self.started_at.is_some(),
        }
    }
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

    /// Applies a row of the table, and returns whether it changes what is known of the
    /// target.
    pub fn put(&mut self, now: time::Mono, position: Position, target: Target) -> bool {
        let first = self.first_read;
        let copied = position.era == first.era && position.version <= first.version;
        let source = Source { position, copied };
        self.doubted.remove(&target.id);
        if copied && self.is_removed(source, &target) {
            self.doubted
                .insert(target.id.clone(), (position, target.clone()));
        }
        self.apply(now, source, target)
    }

    /// Uses the rows of the copy that were removed in an earlier era and are still there
    /// when the table would have removed them again: their targets renew them.
    fn accept_doubted(&mut self, now: time::Mono) {
        if self.doubted.is_empty() || now < self.era_began + LAPSE_TIME {
            return;
        }
        for (id, (position, target)) in std::mem::take(&mut self.doubted) {
            self.removed.remove(&id);
            self.apply(now, position.into(), target);
        }
    }

    /// Returns whether a row was written before the row of its target was removed.
    fn is_removed(&self, source: Source, target: &Target) -> bool {
        let known = self.entries.get(&target.id);
        let removal = self.removed.get(&target.id);
        removal.is_some_and(|removal| !removal.precedes(source, target))
            || known.is_some_and(|known| known.is_removed(source, target))
    }

    /// Applies a row that another router announced, and returns whether it changes what is
    /// known of the target.
    ///
    /// If this router has read the table up to the row and does not know the target, the
    /// row was removed. A row of an earlier era may be lost instead; it is used for the
    /// time in which the target would write it again.
    pub fn put_announced(&mut self, now: time::Mono, source: Source, target: Target) -> bool {
        if self.entries.contains_key(&target.id) || source.position > self.read {
            return self.apply(now, source, target);
        }
        let TableHealth::Recovered(back) = self.table else {
            return false;
        };
        let (id, until) = (target.id.clone(), back + RECOVERY_TIME);
        if source.position.era == self.read.era || now >= until {
            return false;
        }
        let is_new = self.apply(now, source, target);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.removal = Some(PendingRemoval {
                position: self.read,
                at: until,
            });
        }
        is_new
    }

    /// Records the position up to which the table was read.
    pub fn record_read(&mut self, position: Position) {
        self.read = self.read.max(position);
    }

    /// Applies a row. A target that is leaving keeps leaving until it restarts, and a row
    /// that is older than a removal has no effect.
    fn apply(&mut self, now: time::Mono, source: Source, mut target: Target) -> bool {
        if self.is_removed(source, &target) {
            if let Some(removal) = self.removed.get(&target.id).filter(|_| source.copied) {
                self.announce_again(now, &target.id, removal.position, true);
            }
            return false;
        }
        let position = source.position;
        let known = self.entries.get(&target.id);
        match known.map(|known| (known.order(source, &target), source.order(known.source))) {
            Some((Ordering::Less, _)) => return false,
            Some((Ordering::Equal, None)) => return self.merge_copy(now, source, &target),
            _ => {}
        }
        let same = known.filter(|known| known.target.started_at == target.started_at);
        let mut cold_until = (target.cold > span::Span::ZERO).then(|| now + target.cold);
        if let Some(known) = same.filter(|known| known.source.position == position) {
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
                !is_same_row(&known.target, &target) || known.removal.is_some()
            });
        if is_new {
            self.last_change = self.last_change.max(position);
        }
        if is_leaving {
            self.announce(now, Departure::new(&target, position, false));
        }
        if is_joined || (is_turned && !target.leaving) {
            self.joined.retain(|(_, id)| *id != target.id);
            self.joined.push((now + ANNOUNCE_TIME, target.id.clone()));
        }
        let entry = Entry {
            target,
            source,
            cold_until,
            removal: None,
        };
        self.entries.insert(entry.target.id.clone(), entry);
        is_new
    }

    /// Applies a row that may be older or newer than the known one, of the same run of the
    /// target. Only that the target is leaving is certain, whichever of them says so.
    fn merge_copy(&mut self, now: time::Mono, source: Source, target: &Target) -> bool {
        let Some(known) = self.entries.get_mut(&target.id) else {
            return false;
        };
        let is_new = target.leaving && !known.target.leaving;
        known.target.leaving |= target.leaving;
        let position = known.source.position;
        if is_new {
            self.announce(now, Departure::new(target, source.position, false));
        } else if known.target.leaving && !target.leaving {
            self.announce_again(now, &target.id, position, false);
        }
        is_new
    }

    /// Applies the removal of a row.
    pub fn remove(&mut self, now: time::Mono, position: Position, id: &str) {
        self.doubted.remove(id);
        let until = match self.table {
            TableHealth::Recovered(back) => back + RECOVERY_TIME,
            TableHealth::Available | TableHealth::Unavailable => now,
        };
        if let Some(entry) = self.entries.get_mut(id)
            && entry.source.position <= position
        {
            let at = entry.removal.map_or(until, |pending| pending.at);
            entry.removal = Some(PendingRemoval { position, at });
        }
    }

    /// Replaces all rows: those that are not in `rows` count as removed, after some time
    /// if the table has come back from a copy, in which their targets write them again.
    pub fn replace(&mut self, now: time::Mono, position: Position, rows: Vec<(Position, Target)>) {
        if position.era > self.first_read.era {
            self.table = TableHealth::Recovered(now);
        }
        if position.era > self.first_read.era || self.first_read == Position::default() {
            self.first_read = position;
            self.era_began = now;
        }
        self.doubted.clear();
        self.record_read(position);
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
        if !departure.concerns(entry) {
            return false;
        }
        let started_at = departure.started_at.unwrap_or(entry.target.started_at);
        let is_later = started_at > entry.target.started_at;
        let is_new = departure.removed || is_later || !entry.target.leaving;
        (entry.target.leaving, entry.target.started_at) = (true, started_at);
        if entry.source.order(departure.position.into()) != Some(Ordering::Greater) {
            entry.source = departure.position.into();
        }
        if departure.removed {
            self.entries.remove(&departure.target);
            let removal = Removal {
                position: departure.position,
                started_at,
            };
            self.remember_removed(departure.target.clone(), removal);
        }
        if is_new {
            self.announce(now, departure.clone());
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
    pub fn joined(&mut self, now: time::Mono, max: usize) -> Vec<(Source, Target)> {
        self.joined.retain(|(until, _)| *until > now);
        let indices = rotate(self.joined.len(), max, self.rounds).into_iter();
        let ids = indices.map(|index| &self.joined[index].1);
        let entries = ids.filter_map(|id| self.entries.get(id));
        let entries = entries.filter(|entry| entry.removal.is_none());
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
        let position = entry.source.position;
        (entry.target.started_at == started_at).then_some((position, entry.cold_until))
    }

    /// Returns the table position of the latest known change of a target.
    pub fn last_change(&self) -> Position {
        self.last_change
    }

    /// Drops the targets that count as removed by now, and returns the others,
    /// including those that are leaving.
    pub fn targets(&mut self, now: time::Mono) -> Vec<&Target> {
        self.accept_doubted(now);
        let removed = self.entries.values().filter_map(|entry| {
            let pending = entry.removal.filter(|pending| pending.at <= now)?;
            Some(Departure::new(&entry.target, pending.position, true))
        });
        let removed: Vec<_> = removed.collect();
        for departure in removed {
            let entry = self.entries.remove(&departure.target);
            let removal = Removal {
                position: departure.position,
                started_at: entry.map_or(0, |entry| entry.target.started_at),
            };
            self.remember_removed(departure.target.clone(), removal);
            self.announce(now, departure);
        }
        self.entries.values().map(|entry| &entry.target).collect()
    }

    /// Returns the rows of the targets with their sources, and with the times for
    /// which the targets are still cold.
    pub fn rows(&self, now: time::Mono) -> impl Iterator<Item = (Source, Target)> {
        self.entries.values().map(move |entry| entry.row(now))
    }

    /// Returns the row of a target in the same way.
    pub fn row(&self, now: time::Mono, id: &id::TargetId) -> Option<(Source, Target)> {
        self.entries.get(id).map(|entry| entry.row(now))
    }

    fn announce(&mut self, now: time::Mono, departure: Departure) {
        self.last_change = self.last_change.max(departure.position);
        self.departures.push((now + ANNOUNCE_TIME, departure));
    }

    /// Announces a departure that a router which knows only a row of the copy may have
    /// missed.
    fn announce_again(
        &mut self,
        now: time::Mono,
        id: &id::TargetId,
        position: Position,
        removed: bool,
    ) {
        let known = self.entries.get(id).map(|entry| entry.target.started_at);
        let started_at = known.or_else(|| Some(self.removed.get(id)?.started_at));
        let mut announced = self.departures.iter().filter(|(until, _)| *until > now);
        if !announced.any(|(_, departure)| departure.target == *id) {
            let departure = Departure {
                target: id.clone(),
                position,
                removed,
                started_at,
            };
            self.announce(now, departure);
        }
    }

    fn remember_removed(&mut self, id: id::TargetId, removal: Removal) {
        self.removed.insert(id, removal);
        if self.removed.len() > MAX_REMOVED {
            let oldest = self
                .removed
                .iter()
                .min_by_key(|(_, removal)| removal.position);
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
