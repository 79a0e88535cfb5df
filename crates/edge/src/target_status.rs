//! Collects the state of targets for updates to other routers, and applies the
//! updates that arrive.
//!
//! Does no I/O: [`crate::peers`] sends and receives the updates.

use base::time;

use crate::{
    exchange::LoadChange,
    fleet::{Fleet, TargetHash},
    update::{BlockedTarget, CachedPart, MAX_BLOCKED, MAX_SLOW, SlowTarget, Update},
};

/// State of targets that goes to every receiver of a round, in addition to the
/// loads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStatus {
    /// Targets that did not answer and get no requests for some time.
    pub blocked: Vec<BlockedTarget>,
    /// Targets that are slower than others.
    pub slow: Vec<SlowTarget>,
}

/// Returns the state of the targets to send to other routers.
pub fn collect(fleet: &Fleet, now: time::Mono) -> TargetStatus {
    let blocked = fleet.targets().filter_map(|target| {
        let time = target.blocked_for(now)?;
        Some(BlockedTarget::new(target.hash, time))
    });
    TargetStatus {
        blocked: blocked.take(MAX_BLOCKED).collect(),
        slow: fleet.slow(now, MAX_SLOW),
    }
}

/// Applies an update and the load changes that result from it. Returns the
/// prompt parts that were not yet known to be cached.
pub fn apply(
    fleet: &Fleet,
    now: time::Mono,
    update: &Update,
    changes: &[LoadChange],
) -> Vec<CachedPart> {
    for change in changes {
        if let Some(target) = fleet.by_short_hash(change.target) {
            target.set_peer_load(now, change.source.0, change.count);
        }
    }
    for blocked in &update.blocked {
        if let Some(target) = fleet.target(TargetHash(blocked.target)) {
            target.update_breaker(|breaker| breaker.merge(now, blocked.time()));
        }
    }
    for slow in &update.slow {
        if let Some(target) = fleet.by_short_hash(slow.target) {
            target.merge_slowdown(now, slow);
        }
    }
    fleet.add_cached(now, &update.cached)
}
