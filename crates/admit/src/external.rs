//! Detects engines that run requests which did not come from their agent.
//!
//! The bound assumes that every request to a target passes through its agent.
//! An engine that reports more requests than its agent has outstanding is also
//! used by another client, which only this comparison reveals. The report never
//! affects admission, because it is delayed and may be wrong.

use std::collections::VecDeque;

use base::{span, time};

/// Maximum delay of an engine's report.
const MAX_LAG: span::Span = span::Span::from_secs(10);

/// Consecutive reports above the agent's own count that lead to a finding, so
/// that a single wrong report is ignored.
const MIN_EXCESSES: u32 = 3;

/// A change that a report reveals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The engine runs requests that did not come from its agent.
    Began {
        /// Number of requests that the engine reports.
        reported: u32,
        /// Highest number of requests that the agent had outstanding within
        /// the maximum delay.
        own: u32,
    },
    /// The engine no longer runs such requests.
    Ended,
}

/// Compares the reports of one engine with the load from its agent.
#[derive(Clone, Debug, Default)]
pub struct LoadMonitor {
    /// The changes of the agent's own load within the maximum delay; each load
    /// lasts until the next change.
    loads: VecDeque<(time::Mono, u32)>,
    excesses: u32,
    has_excess: bool,
}

impl LoadMonitor {
    /// Records how many requests the agent has outstanding at the engine.
    pub fn record_own(&mut self, now: time::Mono, load: u32) {
        if self.loads.back().is_none_or(|(_, last)| *last != load) {
            self.loads.push_back((now, load));
        }
        // The last change before the window gives the load at its start, so it
        // is kept.
        while self
            .loads
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= MAX_LAG)
        {
            self.loads.pop_front();
        }
    }

    /// Checks a report of the engine; returns a finding if one began or ended.
    pub fn check_report(&mut self, now: time::Mono, reported: u32) -> Option<Finding> {
        let latest = self.loads.back().map_or(0, |(_, load)| *load);
        self.record_own(now, latest);
        let own = self.loads.iter().map(|(_, load)| *load).max().unwrap_or(0);
        if reported <= own {
            self.excesses = 0;
            return std::mem::take(&mut self.has_excess).then_some(Finding::Ended);
        }
        self.excesses += 1;
        if self.has_excess || self.excesses < MIN_EXCESSES {
            return None;
        }
        self.has_excess = true;
        Some(Finding::Began { reported, own })
    }
}
