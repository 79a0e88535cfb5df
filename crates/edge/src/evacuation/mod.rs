//! Tracks which data centres operators have evacuated, from rows of the platform's
//! table and from other routers.
//!
//! Does no I/O: [`crate::control`] passes in rows of the table, [`crate::peers`]
//! messages of other routers. See [the design
//! note](../../../../docs/design/evacuation.md).

mod log;
mod placement;

use std::collections::{BTreeMap, BTreeSet};

use base::{id, span, time};
use platform::rows::{EVACUATION_PREFIX, Position, Row};

pub use log::{log_changes, log_unknown_centres, log_unknown_regions};
pub use placement::NOT_PERMITTED_RETRY;

use crate::update::{EvacuationEntry, Scope, Update};

/// Time for which a change is announced. Datagrams may be lost, and a router may be
/// without contact for some time.
const ANNOUNCE_TIME: span::Span = span::Span::from_secs(5);

/// Time for which a change is in every datagram; through relays it takes up to three
/// rounds of 0.1 s to reach all routers.
const FRESH_TIME: span::Span = span::Span::from_secs(1);

/// Number of rounds in one of which evacuations are sent that are not fresh. In every
/// round, the relays of 360 routers would send 18 KB/s of them.
const REPEAT_ROUNDS: usize = 4;

/// Maximum number of evacuations in one datagram; more are sent in turn.
const MAX_ENTRIES: usize = 8;

/// Maximum length of the names in one datagram together, in bytes, so that eight
/// names of the maximum length do not need a third of the datagram.
const MAX_NAMES: usize = 240;

/// Time after the table has come back from a copy in which operators write again what it
/// lost. Until then a data centre whose row is missing stays evacuated.
const REWRITE_TIME: span::Span = span::Span::from_secs(10);

/// Maximum number of data centres whose ended evacuations are remembered.
/// Evacuations that other routers announce are ignored beyond it.
const MAX_KNOWN: usize = 1_024;

/// Whether a data centre is evacuated, as of a position of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub centre: id::DataCentre,
    /// Position of the latest change of the operator's row, or of a full read that did
    /// not contain it.
    pub position: Position,
    /// Whether the row exists.
    pub active: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    position: Position,
    active: bool,
    /// When the evacuation ends unless a row of the latest era shows it, if the table
    /// came back without its row.
    ends: Option<time::Mono>,
    /// Since when the entry is announced, if it is.
    announced: Option<time::Mono>,
    /// Whether it has been checked that the data centre is known.
    checked: bool,
}

/// The known evacuations, including those that ended.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    entries: BTreeMap<id::DataCentre, Entry>,
    /// Position of the latest full read of the table. A data centre without an entry
    /// was not evacuated then.
    full_read: Position,
    /// When the table was first read in full in the era of `full_read`.
    era_began: time::Mono,
    /// Number of reports so far.
    rounds: usize,
}

/// The evacuations to send in one round.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Changes that every datagram contains.
    fresh: Vec<EvacuationEntry>,
    /// Other recent changes.
    recent: Vec<EvacuationEntry>,
    /// Other evacuated data centres.
    standing: Vec<EvacuationEntry>,
    /// Whether datagrams with loads contain more than the fresh changes in this round.
    is_turn: bool,
}

impl Report {
    /// Returns the entries for a datagram with the loads of `update`.
    pub fn entries(&self, update: &Update) -> Vec<EvacuationEntry> {
        let is_heartbeat = update.scope() == Scope::Nothing;
        let is_complete = is_heartbeat || self.is_turn;
        let recent = self.recent.iter().filter(|_| is_complete);
        // Through relays, heartbeats alone are enough: all routers send them.
        let has_standing = is_heartbeat || (self.is_turn && !update.uses_relays);
        let standing = self.standing.iter().filter(|_| has_standing);
        let mut names = 0;
        let entries = self.fresh.iter().chain(recent).chain(standing);
        let entries = entries.take(MAX_ENTRIES);
        let entries = entries.take_while(|entry| {
            names += entry.centre.len();
            names <= MAX_NAMES
        });
        entries.cloned().collect()
    }
}

/// Decodes a row of the operator's table; `None` if it evacuates no data centre.
pub fn decode(row: &Row) -> Option<Evacuation> {
    let name = row.key.strip_prefix(EVACUATION_PREFIX)?;
    match name.parse() {
        Ok(centre) => Some(Evacuation {
            centre,
            position: row.position,
            active: row.value.is_some(),
        }),
        Err(error) => {
            tracing::info!(event = "row_unusable", key = row.key, position = %row.position, %error);
            None
        }
    }
}

impl Evacuations {
    /// Returns the evacuated data centres.
    pub fn active(&self) -> BTreeSet<id::DataCentre> {
        let active = self.entries.iter().filter(|(_, entry)| entry.active);
        active.map(|(centre, _)| centre.clone()).collect()
    }

    /// Returns everything that is known, for a snapshot.
    pub fn all(&self) -> Vec<Evacuation> {
        let entries = self.entries.iter();
        let all = entries.map(|(centre, entry)| Evacuation {
            centre: centre.clone(),
            position: entry.position,
            active: entry.active,
        });
        all.collect()
    }

    /// Applies changed rows of the table, and returns what changed.
    pub fn apply_rows(&mut self, now: time::Mono, rows: Vec<Evacuation>) -> Vec<Evacuation> {
        let rows = rows.into_iter();
        rows.filter_map(|row| self.put(now, row)).collect()
    }

    /// Applies all rows of the table, read at `position`, and returns what changed.
    ///
    /// An evacuation that is not among them has ended, unless its position is higher:
    /// another router has then read a later state of the table. An evacuation of an
    /// earlier era may be lost instead, so that its end is put off.
    pub fn replace(
        &mut self,
        now: time::Mono,
        position: Position,
        rows: Vec<Evacuation>,
    ) -> Vec<Evacuation> {
        if position.era > self.full_read.era {
            self.era_began = now;
        }
        self.full_read = position;
        let ends = self.era_began + REWRITE_TIME;
        let listed: BTreeSet<_> = rows.iter().map(|row| row.centre.clone()).collect();
        for (centre, entry) in &mut self.entries {
            if entry.active && entry.position.era < position.era && !listed.contains(centre) {
                entry.ends = Some(ends);
            }
        }
        let ended = self.all().into_iter().filter(|known| {
            let is_lost = known.position.era < position.era && ends > now;
            let is_missing = known.position <= position && !listed.contains(&known.centre);
            known.active && is_missing && !is_lost
        });
        let ended = ended.map(|known| Evacuation {
            position,
            active: false,
            ..known
        });
        let mut changes: Vec<_> = ended.filter_map(|ended| self.put(now, ended)).collect();
        changes.extend(self.apply_rows(now, rows));
        changes
    }

    /// Ends the evacuations whose rows the table has lost and no operator has written
    /// again in time, and returns them.
    pub fn expire(&mut self, now: time::Mono) -> Vec<Evacuation> {
        let entries = self.entries.iter();
        let expired = entries.filter(|(_, entry)| entry.ends.is_some_and(|ends| ends <= now));
        let ended: Vec<_> = expired
            .map(|(centre, _)| Evacuation {
                centre: centre.clone(),
                position: self.full_read,
                active: false,
            })
            .collect();
        self.apply_rows(now, ended)
    }

    /// Applies what another router announced, and returns what changed.
    ///
    /// A router that announces an older state has missed a change. The newer one is
    /// announced again, so that it does not depend on that router's next read.
    pub fn merge(&mut self, now: time::Mono, announced: Vec<Evacuation>) -> Vec<Evacuation> {
        let mut changes = Vec::new();
        for announced in announced {
            let entry = Entry::new(now, &announced);
            let is_full = self.entries.len() >= MAX_KNOWN;
            let may_be_lost = announced.active && self.may_be_lost(now, announced.position);
            match self.entries.get_mut(&announced.centre) {
                Some(known) if known.order() >= entry.order() => {
                    if known.active != announced.active {
                        known.announced = Some(now);
                    }
                }
                None if is_full => {}
                None if may_be_lost => {
                    let ends = Some(self.era_began + REWRITE_TIME);
                    let centre = announced.centre.clone();
                    changes.extend(self.put(now, announced));
                    if let Some(entry) = self.entries.get_mut(&centre) {
                        entry.ends = ends;
                    }
                }
                None if announced.position <= self.full_read => {
                    if announced.active {
                        let ended = Evacuation {
                            position: self.full_read,
                            active: false,
                            ..announced
                        };
                        let entry = Entry::new(now, &ended);
                        self.entries.insert(ended.centre, entry);
                    }
                }
                _ => changes.extend(self.put(now, announced)),
            }
        }
        changes
    }

    /// Returns whether the latest full read may lack an evacuation because the table has
    /// come back from a copy.
    fn may_be_lost(&self, now: time::Mono, position: Position) -> bool {
        position.era < self.full_read.era && now < self.era_began + REWRITE_TIME
    }

    /// Returns what the other routers may not know yet, and the evacuated data centres.
    pub fn report(&mut self, now: time::Mono) -> Report {
        self.rounds = self.rounds.wrapping_add(1);
        let mut report = Report {
            is_turn: self.rounds.is_multiple_of(REPEAT_ROUNDS),
            ..Report::default()
        };
        for evacuation in self.all() {
            let entry = &self.entries[&evacuation.centre];
            let age = entry.announced.map(|since| now.since(since));
            let list = match age {
                Some(age) if age < FRESH_TIME => &mut report.fresh,
                Some(age) if age < ANNOUNCE_TIME => &mut report.recent,
                _ if entry.active => &mut report.standing,
                _ => continue,
            };
            list.push(EvacuationEntry::from(&evacuation));
        }
        let turn = self.rounds / REPEAT_ROUNDS;
        let lists = [
            (&mut report.fresh, self.rounds),
            (&mut report.recent, turn),
            (&mut report.standing, turn),
        ];
        for (entries, turn) in lists {
            let first = turn.checked_rem(entries.len()).unwrap_or(0);
            entries.rotate_left(first);
        }
        report
    }

    /// Returns the evacuated data centres that this was not called for yet.
    fn take_unchecked(&mut self) -> Vec<Evacuation> {
        let mut unchecked = Vec::new();
        for (centre, entry) in &mut self.entries {
            if entry.active && !entry.checked {
                entry.checked = true;
                unchecked.push(Evacuation {
                    centre: centre.clone(),
                    position: entry.position,
                    active: true,
                });
            }
        }
        unchecked
    }

    /// Applies a state unless a newer one is known. Returns it if it changes whether
    /// the data centre is evacuated.
    fn put(&mut self, now: time::Mono, state: Evacuation) -> Option<Evacuation> {
        let mut entry = Entry::new(now, &state);
        let known = self.entries.get(&state.centre);
        if known.is_some_and(|known| known.order() >= entry.order()) {
            return None;
        }
        let was_active = known.is_some_and(|known| known.active);
        let is_change = was_active != state.active;
        if !is_change {
            entry.announced = known.and_then(|known| known.announced);
            entry.checked = known.is_some_and(|known| known.checked);
        }
        self.entries.insert(state.centre.clone(), entry);
        self.limit_ended();
        is_change.then_some(state)
    }

    /// Forgets the oldest evacuations that ended, if too many are known.
    fn limit_ended(&mut self) {
        if self.entries.len() <= MAX_KNOWN {
            return;
        }
        let ended = self.entries.iter().filter(|(_, entry)| !entry.active);
        let oldest = ended.min_by_key(|(_, entry)| entry.position);
        if let Some(centre) = oldest.map(|(centre, _)| centre.clone()) {
            self.entries.remove(&centre);
        }
    }
}

impl Entry {
    fn new(now: time::Mono, state: &Evacuation) -> Self {
        Self {
            position: state.position,
            active: state.active,
            ends: None,
            announced: Some(now),
            checked: false,
        }
    }

    /// Orders the states of one data centre. Positions of different states are equal
    /// only if the table is inconsistent; the data centre then stays evacuated.
    fn order(&self) -> (Position, bool) {
        (self.position, self.active)
    }
}
