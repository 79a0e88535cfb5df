//! What routers tell one another of targets, and what they take from it.
//!
//! Pure: [`crate::peers`] carries the messages.

use base::time;

use crate::{
    exchange::LoadChange,
    fleet::{Fleet, TargetHash},
    news::{Aside, Hold, MOST_ASIDE, MOST_SLOW, News, SlowAt},
};

/// What every receiver of a round hears of targets, beside loads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gossip {
    /// Targets that did not answer.
    pub aside: Vec<Aside>,
    /// Targets that are slow.
    pub slow: Vec<SlowAt>,
}

/// Returns what a router tells of targets.
pub fn tell(fleet: &Fleet, now: time::Mono) -> Gossip {
    let aside = fleet.targets().filter_map(|target| {
        let time = target.aside(now)?;
        Some(Aside::new(target.hash, time))
    });
    Gossip {
        aside: aside.take(MOST_ASIDE).collect(),
        slow: fleet.slow(now, MOST_SLOW),
    }
}

/// Takes in what a message tells, and the loads that it changes; returns the prompt
/// parts that were not known to be kept.
pub fn hear(fleet: &Fleet, now: time::Mono, news: &News, changes: &[LoadChange]) -> Vec<Hold> {
    for change in changes {
        if let Some(target) = fleet.short(change.target) {
            target.told(now, change.source.0, change.count);
        }
    }
    for aside in &news.aside {
        if let Some(target) = fleet.target(TargetHash(aside.target)) {
            target.outcome(|breaker| breaker.merge(now, aside.time()));
        }
    }
    for slow in &news.slow {
        if let Some(target) = fleet.short(slow.target) {
            target.told_slow(now, slow);
        }
    }
    fleet.hold(now, &news.holds)
}
