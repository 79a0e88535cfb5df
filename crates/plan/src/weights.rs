//! Slots for weight loads, so that planned changes stay within the rate of the
//! weight store.

use std::{collections::BTreeSet, fmt};

use base::{id, rate::Rate, span::Span, time::Mono};
use serde::{Deserialize, Serialize};

/// Who holds a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The plan.
    pub plan: id::PlanId,
    /// The target that loads.
    pub target: id::TargetId,
    /// The fencing token of the order: a target that gets an order again may
    /// carry out both.
    pub fence: id::Fence,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "plan {} target {}", self.plan, self.target)
    }
}

/// The row of slots, shared by all plans.
///
/// Each order to load holds a slot of its own until the outcome of that order is
/// known. A dead holder keeps its slot, because its engine may still be loading.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slots {
    /// The holders of slots.
    pub taken: BTreeSet<Holder>,
    /// Loads started so far.
    pub starts: u64,
}

impl Slots {
    /// Takes a slot, unless `allowed` are taken.
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

    /// Gives a slot back.
    pub fn release(&mut self, holder: &Holder) {
        self.taken.remove(holder);
    }
}

/// Spaces the starts of loads.
///
/// Processes share no clock, so each measures from the moment at which it first
/// saw the present number of starts. This is never earlier than the last start,
/// so that the rate is kept whatever process starts the next load.
#[derive(Clone, Debug, Default)]
pub struct StartLimiter {
    seen: Option<(u64, Mono)>,
}

impl StartLimiter {
    /// Notes the row of slots as just read. Returns whether a load may start now.
    pub fn may_start(&mut self, now: Mono, slots: &Slots, rate: Rate) -> bool {
        if self.seen.is_none_or(|(starts, _)| starts != slots.starts) {
            self.seen = Some((slots.starts, now));
        }
        let since = self.seen.map_or(Span::ZERO, |(_, at)| now.since(at));
        slots.starts == 0 || since.as_secs_f64() * rate.0 >= 1.0
    }
}
