//! A router's view of configuration and targets, from the table and from other
//! routers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{span, time};
use bytes::Bytes;
use platform::{
    config::Config,
    rows::{Position, Row},
    target as row,
};
use tokio::sync::Notify;

use crate::{
    cold::{self, TableRead},
    evacuation::{self, Evacuation, Evacuations},
    fleet::{Fleet, TargetHash},
    routes::Routes,
    shared::Shared,
    target_list::{self, Departure, TargetList},
    update::{self, CachedPart, EvacuationEntry, Snapshot, TargetRow},
};

/// Maximum number of cached parts in a snapshot for a router that has just
/// started, 40 KB. In a large fleet many routers may start at the same time, on
/// links of 10 Mbit/s.
const MAX_CACHED: usize = 2_048;

/// The view of one process. The traffic thread sees it through [`Shared`].
#[derive(Debug)]
pub struct View {
    shared: Arc<Shared>,
    target_list: Mutex<TargetList>,
    /// The configuration in force.
    config: Mutex<HeldConfig>,
    evacuations: Mutex<Evacuations>,
    /// Signals a change that is announced to other routers immediately.
    pub changed: Notify,
}

impl View {
    /// Creates an empty view.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            target_list: Mutex::default(),
            config: Mutex::default(),
            evacuations: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Returns the listed targets.
    pub fn target_list(&self) -> MutexGuard<'_, TargetList> {
        self.target_list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a configuration in force unless the current one is at least as new.
    pub fn adopt(&self, value: &Bytes, source: &'static str) {
        let config = match Config::decode(value) {
            Ok(config) => config,
            Err(error) => {
                tracing::error!(event = "config_unreadable", source, %error);
                return;
            }
        };
        let version = config.version;
        let previous = self.shared.version();
        if previous >= version {
            return;
        }
        evacuation::log_unknown_regions(&config, &self.shared.settings);
        let rules = config.rules.len();
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = HeldConfig {
            config: value.clone(),
            deflated: None,
        };
        self.shared
            .routes
            .store(Some(Arc::new(Routes::new(config))));
        tracing::info!(event = "config", %version, %previous, rules, source);
        self.changed.notify_one();
    }

    /// Applies departures and new targets that another router announced.
    pub fn apply_peer_changes(
        &self,
        departures: impl Iterator<Item = Departure>,
        joined: &[TargetRow],
    ) {
        let now = self.shared.clock.now();
        let mut target_list = self.target_list();
        let departures = departures
            .filter(|departure| target_list.apply_departure(now, departure))
            .count();
        drop(target_list);
        // A change is announced repeatedly for some seconds. Comparing all targets
        // each time would take more CPU time than the rest of the update.
        if self.put(now, joined) || departures > 0 {
            self.publish("peer");
        }
    }

    /// Applies rows of targets from another router. Returns whether they change
    /// what is known.
    fn put(&self, now: time::Mono, rows: &[TargetRow]) -> bool {
        let mut changed = false;
        for row in rows.iter().filter(|row| row.hops == 0) {
            match row.target() {
                Ok((source, mut target)) => {
                    let mut target_list = self.target_list();
                    if row.cold.is_none() {
                        // The sender knows nothing of cold targets.
                        let known = target_list.row(now, &target.id);
                        let known = known.filter(|(_, k)| k.started_at == target.started_at);
                        target.cold = known.map(|(_, known)| known.cold).unwrap_or_default();
                    }
                    changed |= target_list.put_announced(now, source, target);
                }
                Err(error) => tracing::info!(event = "row_unusable", key = row.id, %error),
            }
        }
        changed
    }

    /// Applies rows of the operator's table that evacuate data centres. `full` is the
    /// position of the read if the rows are all rows of the table.
    pub fn apply_evacuation_rows(&self, rows: &[Row], full: Option<Position>) {
        let rows = rows.iter().filter_map(evacuation::decode).collect();
        self.update_evacuations("table", |now, known| match full {
            Some(position) => known.replace(now, position, rows),
            None => known.apply_rows(now, rows),
        });
    }

    /// Applies evacuations that another router announced.
    pub fn apply_peer_evacuations(&self, entries: &[EvacuationEntry]) {
        if entries.is_empty() {
            return;
        }
        let read = |entry: &EvacuationEntry| match Evacuation::try_from(entry) {
            Ok(evacuation) => Some(evacuation),
            Err(error) => {
                tracing::info!(event = "row_unusable", key = entry.centre, %error);
                None
            }
        };
        let entries = entries.iter().filter_map(read).collect();
        self.update_evacuations("peer", |now, known| known.merge(now, entries));
    }

    /// Ends the evacuations whose rows the table has lost.
    pub fn expire_evacuations(&self) {
        self.update_evacuations("time", |now, known| known.expire(now));
    }

    /// Changes the set of evacuations, and puts it in force for the traffic thread.
    fn update_evacuations(
        &self,
        source: &'static str,
        update: impl FnOnce(time::Mono, &mut Evacuations) -> Vec<Evacuation>,
    ) {
        let now = self.shared.clock.now();
        let mut known = self.evacuations();
        let changes = update(now, &mut known);
        if changes.is_empty() {
            return;
        }
        // Stored under the lock, so that a concurrent update cannot put an older set
        // in force.
        self.shared.evacuated.store(Arc::new(known.active()));
        drop(known);
        evacuation::log_changes(&self.shared, &changes, source);
        self.log_unknown_centres();
        self.changed.notify_one();
    }

    /// Logs evacuations of unknown data centres, once each.
    fn log_unknown_centres(&self) {
        if let Some(fleet) = self.shared.fleet.load().as_ref() {
            evacuation::log_unknown_centres(&self.shared, fleet, &mut self.evacuations());
        }
    }

    /// Returns the evacuations of data centres.
    pub fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        self.evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a snapshot from another router.
    pub fn adopt_snapshot(&self, snapshot: &Snapshot) {
        // Before the configuration, which makes the router ready.
        self.apply_peer_evacuations(&snapshot.evacuations);
        if !snapshot.config.is_empty() {
            match update::inflate(&snapshot.config) {
                Ok(config) => self.adopt(&config, "peer"),
                Err(error) => tracing::info!(event = "config_unreadable", %error),
            }
        }
        let now = self.shared.clock.now();
        self.put(now, &snapshot.targets);
        if !snapshot.targets.is_empty() {
            self.publish("peer");
        }
        if let Some(fleet) = self.shared.fleet.load().as_ref() {
            fleet.add_cached(now, &snapshot.cached);
        }
    }

    /// Returns a snapshot for a router that cannot read the table.
    pub fn snapshot(&self) -> Snapshot {
        let config = self.deflated();
        let evacuations = self.evacuations().all();
        let target_list = self.target_list();
        let targets = target_list
            .rows(self.shared.clock.now())
            .map(|(source, target)| TargetRow::new(source, &target));
        Snapshot {
            config,
            targets: targets.collect(),
            cached: Vec::new(),
            evacuations: evacuations.iter().map(EvacuationEntry::from).collect(),
        }
    }

    /// Returns a snapshot for a router that has just started and can read the
    /// table: only the parts that targets have cached.
    pub fn cache_snapshot(&self) -> Snapshot {
        let fleet = self.shared.fleet.load();
        let cached = fleet
            .iter()
            .flat_map(|fleet| fleet.cached_parts(MAX_CACHED));
        Snapshot {
            cached: cached
                .map(|(target, part)| CachedPart::new(target, part))
                .collect(),
            ..Snapshot::default()
        }
    }

    /// Returns the configuration in force, compressed once per version.
    fn deflated(&self) -> Bytes {
        let mut current = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        if current.deflated.is_none() && !current.config.is_empty() {
            match update::deflate(&current.config) {
                Ok(deflated) => current.deflated = Some(deflated),
                Err(error) => tracing::error!(event = "config_not_deflated", %error),
            }
        }
        current.deflated.clone().unwrap_or_default()
    }

    /// Replaces the fleet that the traffic thread uses, if a target changed, after
    /// the table was read.
    pub fn publish_read(&self, read: TableRead) {
        self.publish_rows("table", Some(read));
    }

    /// Replaces the fleet that the traffic thread uses, if a target changed.
    pub fn publish(&self, source: &'static str) {
        self.publish_rows(source, None);
    }

    fn publish_rows(&self, source: &'static str, read: Option<TableRead>) {
        self.expire_evacuations();
        let now = self.shared.clock.now();
        let old = self.shared.fleet.load_full();
        let mut target_list = self.target_list();
        let rows = target_list.targets(now);
        if let Some(old) = &old
            && is_same(old, &rows)
        {
            cold::apply_rows(&self.shared, now, old, &target_list, read);
            return;
        }
        let fleet = Fleet::new(&rows, old.as_deref());
        cold::apply_rows(&self.shared, now, &fleet, &target_list, read);
        drop(target_list);
        log_changes(old.as_deref(), &fleet, source);
        self.shared.fleet.store(Some(Arc::new(fleet)));
        self.log_unknown_centres();
        self.changed.notify_one();
    }
}

/// A configuration as stored in the table, and in the compressed form that peers
/// get.
#[derive(Debug, Default)]
struct HeldConfig {
    config: Bytes,
    deflated: Option<Bytes>,
}

/// Decodes the row of a target. Logs rows that cannot be decoded and returns
/// `None` for them.
pub fn target(row: &Row) -> Option<row::Target> {
    let value = row.value.as_ref()?;
    match row::Target::decode(&row.key, value) {
        Ok(target) => Some(target),
        Err(error) => {
            tracing::info!(event = "row_unusable", key = row.key, position = %row.position, %error);
            None
        }
    }
}

fn is_same(fleet: &Fleet, rows: &[&row::Target]) -> bool {
    let known = |row: &&row::Target| {
        let target = fleet.target(TargetHash::of(&row.id));
        target.is_some_and(|target| {
            target_list::is_same_row(&target.row, row)
                && (target.row.cold > span::Span::ZERO) == (row.cold > span::Span::ZERO)
        })
    };
    fleet.targets().count() == rows.len() && rows.iter().all(known)
}

fn log_changes(old: Option<&Fleet>, new: &Fleet, source: &'static str) {
    for target in new.targets() {
        let row = &target.row;
        let before = old.and_then(|old| old.target(target.hash));
        if before.map(|before| before.row.leaving) != Some(row.leaving) {
            let (id, service, address) = (&row.id, &row.service, row.address);
            tracing::info!(event = "target", target = %id, %service, %address, leaving = row.leaving, source);
        }
    }
    for target in old.iter().flat_map(|old| old.targets()) {
        if new.target(target.hash).is_none() {
            tracing::info!(event = "target_gone", target = %target.row.id, source);
        }
    }
}
