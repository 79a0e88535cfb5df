//! Limits on weight loads, so that planned changes do not overload the weight
//! store: slots limit concurrent loads, and a limiter spaces their starts.

use std::{collections::BTreeSet, fmt};

use base::{id, rate::Rate, span::Span, time::Mono};
use serde::{Deserialize, Serialize};

/// The order that holds a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The plan that the order belongs to.
    pub plan: id::PlanId,
    /// The target that loads weights.
    pub target: id::TargetId,
    /// The fencing token of the order. It is part of the key because a target may
    /// execute an order and its retry concurrently.
    pub fence: id::Fence,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "plan {} target {}", self.plan, self.target)
    }
}

/// The content of the row of slots, which all plans share.
///
/// Each load order holds its own slot until the outcome of that order is known.
/// If the agent dies, the order keeps its slot, because the engine may still be
/// loading.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slots {
    /// The orders that hold a slot.
    pub taken: BTreeSet<Holder>,
    /// Number of loads started so far.
    pub starts: u64,
}

impl Slots {
    /// Takes a slot, unless `allowed` slots are already taken. Returns whether the
    /// holder has a slot.
    pub fn take(&mut self, holder: Holder, allowed: u32) -> bool {
        if self.taken.contains(&holder) {
            return true;
        }
        if self.taken.len() >= allowed as usize {
            return false;
        }
        self.taken.insert(holder);
        self.starts += 1;
        true
    }

    /// Releases the holder's slot, if it has one.
    pub fn release(&mut self, holder: &Holder) {
        self.taken.remove(holder);
    }
}

/// Limits the rate at which loads are started.
///
/// Processes share no clock, so each measures from the time at which it first
/// read the current number of starts. That time is never earlier than the last
/// start, so the limit holds whichever process starts the next load.
#[derive(Clone, Debug, Default)]
pub struct StartLimiter {
    /// The number of starts last read, and when it was first read.
    last_change: Option<(u64, Mono)>,
}

impl StartLimiter {
    /// Records a fresh read of the slots and returns whether a load may start now.
    pub fn may_start(&mut self, now: Mono, slots: &Slots, rate: Rate) -> bool {
        if self
            .last_change
            .is_none_or(|(starts, _)| starts != slots.starts)
        {
            self.last_change = Some((slots.starts, now));
        }
        let since = self.last_change.map_or(Span::ZERO, |(_, at)| now.since(at));
        slots.starts == 0 || since.as_secs_f64() * rate.0 >= 1.0
    }
}
