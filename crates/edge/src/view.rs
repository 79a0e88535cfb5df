//! What a router believes about configuration and targets, from the table and
//! from other routers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::time;
use bytes::Bytes;
use platform::{config::Config, rows::Row, target as row};
use tokio::sync::Notify;

use crate::{
    fleet::{Fleet, TargetHash},
    routes::Routes,
    shared::Shared,
    target_list::{Departure, TargetList},
    update::{self, CachedPart, Snapshot, TargetRow},
};

/// Parts told to a router that has started at most, 40 KB: as many routers as a
/// large fleet has may start at the same time, on links of 10 Mbit/s.
const MAX_CACHED: usize = 2_048;

/// The beliefs of one process; traffic sees them through [`Shared`].
#[derive(Debug)]
pub struct View {
    shared: Arc<Shared>,
    target_list: Mutex<TargetList>,
    /// The configuration in force.
    config: Mutex<HeldConfig>,
    /// Told when something changed that other routers should know at once.
    pub changed: Notify,
}

impl View {
    /// Starts with nothing known.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            target_list: Mutex::default(),
            config: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Returns the rows of the targets.
    pub fn target_list(&self) -> MutexGuard<'_, TargetList> {
        self.target_list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a configuration in force unless one as new is.
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

    /// Takes in leaves and new targets that other routers tell.
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
        // Changes are told again for seconds; comparing all targets each time would
        // take more of the processor than everything else that is heard.
        if self.put(now, joined) || departures > 0 {
            self.publish("peer");
        }
    }

    /// Takes in rows of targets that another router read; returns whether they
    /// change what is known.
    fn put(&self, now: time::Mono, rows: &[TargetRow]) -> bool {
        let mut changed = false;
        for row in rows {
            match row.target() {
                Ok((position, target)) => changed |= self.target_list().put(now, position, target),
                Err(error) => tracing::info!(event = "row_unusable", key = row.id, %error),
            }
        }
        changed
    }

    /// Takes in the snapshot of another router.
    pub fn adopt_snapshot(&self, snapshot: &Snapshot) {
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

    /// Returns what another router needs that cannot read the table.
    pub fn snapshot(&self) -> Snapshot {
        let config = self.deflated();
        let target_list = self.target_list();
        let targets = target_list
            .rows()
            .map(|(position, target)| TargetRow::new(position, target));
        Snapshot {
            config,
            targets: targets.collect(),
            cached: Vec::new(),
        }
    }

    /// Returns what another router needs that has just started and reads the
    /// table itself: the parts that targets keep.
    pub fn cache_snapshot(&self) -> Snapshot {
        let fleet = self.shared.fleet.load();
        let kept = fleet
            .iter()
            .flat_map(|fleet| fleet.cached_parts(MAX_CACHED));
        Snapshot {
            cached: kept
                .map(|(target, part)| CachedPart::new(target, part))
                .collect(),
            ..Snapshot::default()
        }
    }

    /// Returns the configuration in force, deflated once for each version.
    fn deflated(&self) -> Bytes {
        let mut held = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        if held.deflated.is_none() && !held.config.is_empty() {
            match update::deflate(&held.config) {
                Ok(deflated) => held.deflated = Some(deflated),
                Err(error) => tracing::error!(event = "config_not_deflated", %error),
            }
        }
        held.deflated.clone().unwrap_or_default()
    }

    /// Replaces the fleet that traffic sees, if a target changed.
    pub fn publish(&self, source: &'static str) {
        let now = self.shared.clock.now();
        let old = self.shared.fleet.load_full();
        let mut target_list = self.target_list();
        let rows = target_list.targets(now);
        if let Some(old) = &old
            && is_same(old, &rows)
        {
            return;
        }
        let fleet = Fleet::new(&rows, old.as_deref());
        drop(target_list);
        log_changes(old.as_deref(), &fleet, source);
        self.shared.fleet.store(Some(Arc::new(fleet)));
        self.changed.notify_one();
    }
}

/// A configuration as the table holds it, and as peers get it.
#[derive(Debug, Default)]
struct HeldConfig {
    config: Bytes,
    deflated: Option<Bytes>,
}

/// Decodes the row of a target; other rows are logged and name none.
pub fn target(row: &Row) -> Option<row::Target> {
    let value = row.value.as_ref()?;
    match row::Target::decode(&row.key, value) {
        Ok(target) => Some(target),
        Err(error) => {
            tracing::info!(event = "row_unusable", key = row.key, position = row.position.0, %error);
            None
        }
    }
}

fn is_same(fleet: &Fleet, rows: &[&row::Target]) -> bool {
    let known = |row: &&row::Target| {
        let target = fleet.target(TargetHash::of(&row.id));
        target.is_some_and(|target| target.row == **row)
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
