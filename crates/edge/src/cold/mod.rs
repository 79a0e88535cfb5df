//! Limits the requests to targets that are cold: that have just started, or have
//! lost their state.
//!
//! Each request takes these steps:
//!
//! 1. [`Shared::cold_limit`] returns the limit of the request's service, if the
//!    configuration sets one; otherwise nothing below applies.
//! 2. [`ColdLimit::may_send`] decides for each target whether it accepts the
//!    request: a cold one does only while this router has a share left.
//! 3. [`ColdLimit::reserve`] takes the share just before the request is sent.
//! 4. [`Grant::sent`] starts the time for which the share is used, when the
//!    connection is open.
//!
//! What a router knows of a target is in [`state`]; how the limit is divided is
//! decided in [`place::cold`]. See [the note](../../../../docs/design/cold-targets.md).

pub mod state;

use std::{collections::BTreeMap, sync::Arc};

use base::{id, rate, span, time};
use place::cold::{self, Member, Members, Quota};
use platform::{rows::Position, settings::Bounds};

use crate::{
    exchange::Exchange,
    fleet::{Fleet, Target, TargetHash},
    shared::Shared,
    target_list::TargetList,
    update::{TargetRow, Update},
};

use state::{ColdState, Evidence};

/// A target that was silent and has no row since is treated as cold for this many
/// times the cold time. A row is only written again when it changes; that of a target
/// that is down lapses, and one that starts again has another row, within a few
/// seconds.
const SILENT_FACTOR: u64 = 2;

/// Maximum number of routers that pass on what a target said in a response: a
/// router, its relay and a relay of another data centre.
pub const MAX_HOPS: u32 = 3;

/// The routers that the limit is divided among.
#[derive(Clone, Debug, Default)]
pub struct Routers {
    /// The routers.
    pub members: Members,
    /// Changes whenever `members` does.
    pub version: u64,
    /// When this router started.
    pub started: time::Mono,
}

/// The limit of one service's cold targets.
#[derive(Clone, Debug)]
pub struct ColdLimit {
    routers: Arc<Routers>,
    /// Requests a second that a cold target may get from all routers.
    limit: f64,
    /// Time after which a target is not cold any more.
    time: span::Span,
}

/// How far a target is with its return to the usual load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// Its load when it stopped being cold.
    initial: u32,
    /// The part of the time that is left, from 1 to 0.
    left: f64,
}

impl Ramp {
    /// Returns the load that the target should still lack, compared with `mean`.
    pub fn missing_load(self, mean: f64) -> f64 {
        (mean - f64::from(self.initial)).max(0.0) * self.left
    }
}

/// A request that may be sent to a target. It counts as about to be sent until
/// [`Self::sent`] is called or the grant is dropped.
#[derive(Debug)]
pub struct Grant {
    target: Arc<Target>,
    is_sent: bool,
}

impl Grant {
    /// Records that the request is sent now.
    pub fn sent(&mut self, now: time::Mono) {
        let mut cold = self.target.cold();
        if self.is_sent {
            // Sent again on another connection.
            cold.sends.reserve();
        }
        cold.sends.record(now);
        self.is_sent = true;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.is_sent {
            self.target.cold().sends.release();
        }
    }
}

impl ColdLimit {
    /// Creates the limit of a service with the given rate and cold time.
    pub fn new(routers: Arc<Routers>, bounds: &Bounds, rate: rate::Rate, time: span::Span) -> Self {
        Self {
            routers,
            limit: rate.0 * bounds.cold_overage + f64::from(bounds.cold_allowance),
            time,
        }
    }

    /// Returns whether this router may send a request to a target now.
    pub fn may_send(&self, now: time::Mono, target: &Target) -> bool {
        let mut cold = target.cold();
        !cold.is_cold(now) || self.left(now, target, &mut cold) > 0
    }

    /// Reserves a request to a target, or returns `None` if it may not be sent.
    pub fn reserve(&self, now: time::Mono, target: &Arc<Target>) -> Option<Grant> {
        let mut cold = target.cold();
        // Requests to targets that are not cold are counted too, because such a
        // target may have become cold before this router knows.
        let left = self.left(now, target, &mut cold);
        if cold.is_cold(now) && left == 0 {
            return None;
        }
        cold.sends.reserve();
        drop(cold);
        Some(Grant {
            target: target.clone(),
            is_sent: false,
        })
    }

    /// Returns how far a target is with its return to the usual load, if it was cold
    /// until less than the cold time ago. `load` is its load now.
    pub fn ramp(&self, now: time::Mono, target: &Target, load: u32) -> Option<Ramp> {
        let mut cold = target.cold();
        let since = cold.warm_since(now)?;
        let time = self.time.as_micros();
        let left = time.saturating_sub(now.since(since).as_micros());
        if left == 0 {
            return None;
        }
        Some(Ramp {
            initial: cold.initial_load(since, load),
            left: left as f64 / time as f64,
        })
    }

    fn left(&self, now: time::Mono, target: &Target, cold: &mut ColdState) -> u32 {
        let quota = self.quota(now, target, cold);
        quota
            .requests
            .saturating_sub(cold.sends.count(now, quota.window))
    }

    /// Returns the quota of this router, computed again only after a change of the
    /// routers, because ranking hundreds of them takes several microseconds.
    fn quota(&self, now: time::Mono, target: &Target, cold: &mut ColdState) -> Quota {
        let key = (self.routers.version, self.limit.to_bits());
        if let Some((known, quota)) = cold.quota
            && known == key
        {
            return quota;
        }
        let age = now.since(self.routers.started);
        let quota = cold::quota(&self.routers.members, age, target.hash.0, self.limit);
        if age >= cold::DISCOVERY_TIME.max(quota.window) {
            cold.quota = Some((key, quota));
        }
        quota
    }
}

/// Returns the routers that an exchange knows; `listed` is whether the list of the
/// routers has been read.
pub fn members(exchange: &Exchange, now: time::Mono, own: u64, listed: bool) -> Members {
    let others = exchange
        .ranks(now)
        .map(|(address, live)| Member { address, live });
    Members {
        own,
        others: others.collect(),
        listed,
    }
}

/// A successful read of the targets' table.
#[derive(Clone, Copy, Debug)]
pub struct TableRead {
    /// When the read began.
    pub began: time::Mono,
    /// The position of the table at the time of the read.
    pub position: Position,
}

/// Records what the rows say of the targets' cold starts. `read` is the read that
/// they come from, `None` if they come from another router.
pub fn apply_rows(
    shared: &Shared,
    now: time::Mono,
    fleet: &Fleet,
    target_list: &TargetList,
    read: Option<TableRead>,
) {
    for target in fleet.targets() {
        let row = &target.row;
        if let Some((position, until)) = target_list.cold(&row.id, row.started_at) {
            shared.update_cold(now, target, |cold| {
                cold.apply_row(now, position, until, read)
            });
        }
    }
}

/// Returns the rows of targets that said in a response that they are cold, for the
/// other routers, at most `max`.
pub fn statements(
    shared: &Shared,
    fleet: &Fleet,
    now: time::Mono,
    target_list: &TargetList,
    max: usize,
) -> Vec<TargetRow> {
    let said = fleet.targets().filter_map(|target| {
        let (left, hops) = target.cold().statement(now)?;
        shared.cold_limit(&target.row.service)?;
        let (source, mut row) = target_list.row(now, &target.row.id)?;
        row.cold = left;
        Some(TargetRow {
            hops: hops + 1,
            ..TargetRow::new(source, &row)
        })
    });
    let said = said.filter(|row| row.hops <= MAX_HOPS);
    said.take(max).collect()
}

/// Applies what other routers heard from targets in responses.
pub fn apply_statements(shared: &Shared, now: time::Mono, fleet: &Fleet, update: &Update) {
    for said in update.joined.iter().filter(|row| row.hops > 0) {
        let Ok(id) = said.id.parse::<id::TargetId>() else {
            continue;
        };
        let target = fleet.target(TargetHash::of(&id));
        if let Some(target) = target.filter(|target| target.row.started_at == said.born) {
            shared.update_cold(now, target, |cold| {
                cold.apply_statement(now, said.cold_time(), said.hops)
            });
        }
    }
}

impl Shared {
    /// Returns the limit of a service's cold targets, or `None` if it has none.
    pub fn cold_limit(&self, service: &id::ServiceId) -> Option<ColdLimit> {
        let routes = self.routes.load();
        let config = routes.as_ref()?.config.services.get(service)?;
        let rate = config.cold_rate?;
        let routers = self.cold_routers.load_full();
        let bounds = self.bounds.load();
        Some(ColdLimit::new(routers, &bounds, rate, config.cold_time))
    }

    /// Returns whether this router may send a request to a target now: the target
    /// is not cold, has no limit, or this router has a share of the limit left. A
    /// request that is sent then has to take the share, see [`ColdLimit::reserve`].
    pub fn may_send(&self, now: time::Mono, target: &Target) -> bool {
        let limit = self.cold_limit(&target.row.service);
        limit.is_none_or(|limit| limit.may_send(now, target))
    }

    /// Returns whether a target is cold and its service limits the requests to such
    /// targets.
    pub fn is_cold(&self, now: time::Mono, target: &Target) -> bool {
        target.cold().is_cold(now) && self.cold_limit(&target.row.service).is_some()
    }

    /// Returns the number of cold targets whose services limit the requests to them.
    pub fn cold_targets(&self, now: time::Mono) -> usize {
        let fleet = self.fleet.load();
        let mut limited = BTreeMap::new();
        let targets = fleet.iter().flat_map(|fleet| fleet.targets());
        let cold = targets.filter(|target| target.cold().is_cold(now));
        cold.filter(|target| {
            let service = &target.row.service;
            *limited
                .entry(service.clone())
                .or_insert_with(|| self.cold_limit(service).is_some())
        })
        .count()
    }

    /// Puts the routers in force that the limits are divided among.
    pub fn set_cold_members(&self, members: Members) {
        let known = self.cold_routers.load();
        if known.members != members {
            self.cold_routers.store(Arc::new(Routers {
                members,
                version: known.version + 1,
                started: known.started,
            }));
        }
    }

    /// Updates the state of a target's cold start, and logs whether it turned cold
    /// or warm.
    pub fn update_cold(
        &self,
        now: time::Mono,
        target: &Target,
        update: impl FnOnce(&mut ColdState),
    ) {
        let mut cold = target.cold();
        update(&mut cold);
        let Some(change) = cold.take_change(now) else {
            return;
        };
        drop(cold);
        if self.cold_limit(&target.row.service).is_none() {
            return;
        }
        let row = &target.row;
        let (cause, left) = (change.cause, change.left);
        if change.is_cold {
            if cause != Evidence::Silent {
                // A run that turns cold has lost its state.
                target.forget_parts();
            }
            tracing::info!(event = "target_cold", target = %row.id, service = %row.service, %cause, %left);
        } else {
            tracing::info!(event = "target_warm", target = %row.id, service = %row.service, %cause);
        }
    }

    /// Records that a target did not respond: it may have restarted.
    pub fn report_silent(&self, now: time::Mono, target: &Target) {
        self.update_cold(now, target, |cold| {
            cold.suspect(now, Evidence::Silent, None)
        });
    }

    /// Returns whether rows are needed that say whether targets are cold.
    pub fn awaits_cold_rows(&self) -> bool {
        let fleet = self.fleet.load();
        let mut targets = fleet.iter().flat_map(|fleet| fleet.targets());
        targets.any(|target| {
            target.cold().is_suspected() && self.cold_limit(&target.row.service).is_some()
        })
    }

    /// Ends the suspicion of targets that cannot be cold any more, although no row
    /// said so.
    pub fn expire_cold_suspicions(&self, now: time::Mono) {
        let fleet = self.fleet.load();
        for target in fleet.iter().flat_map(|fleet| fleet.targets()) {
            if !target.cold().is_suspected() {
                continue;
            }
            if let Some(limit) = self.cold_limit(&target.row.service) {
                let silent_time = limit.time.as_micros().saturating_mul(SILENT_FACTOR);
                self.update_cold(now, target, |cold| {
                    cold.expire(now, limit.time, span::Span::from_micros(silent_time))
                });
            }
        }
    }
}
