//! What routers tell one another of targets, and what they take from it.
//!
//! Pure: [`crate::peers`] carries the messages.

use base::time;

use crate::{
    exchange::LoadChange,
    fleet::{Fleet, TargetHash},
    update::{CachedPart, MAX_SLOW, MAX_SUSPENSIONS, SlowTarget, Suspension, Update},
};

/// What every receiver of a round hears of targets, beside loads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStatus {
    /// Targets that did not answer.
    pub suspensions: Vec<Suspension>,
    /// Targets that are slow.
    pub slow: Vec<SlowTarget>,
}

/// Returns what a router tells of targets.
pub fn collect(fleet: &Fleet, now: time::Mono) -> TargetStatus {
    let aside = fleet.targets().filter_map(|target| {
        let time = target.suspension(now)?;
        Some(Suspension::new(target.hash, time))
    });
    TargetStatus {
        suspensions: aside.take(MAX_SUSPENSIONS).collect(),
        slow: fleet.slow(now, MAX_SLOW),
    }
}

/// Takes in what a message tells, and the loads that it changes; returns the prompt
/// parts that were not known to be kept.
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
    for aside in &update.suspensions {
        if let Some(target) = fleet.target(TargetHash(aside.target)) {
            target.update_trust(|breaker| breaker.merge(now, aside.time()));
        }
    }
    for slow in &update.slow {
        if let Some(target) = fleet.by_short_hash(slow.target) {
            target.merge_slowness(now, slow);
        }
    }
    fleet.add_cached(now, &update.cached)
}
