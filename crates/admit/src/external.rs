//! Compares the load that an engine reports with the work that its agent gave
//! it.
//!
//! The bound counts on every request to a target passing through its agent. An
//! engine that reports more work than the agent has outstanding is also used by
//! somebody else, which nothing but this comparison shows. The report never
//! changes a decision: it is late, and may be wrong.

use std::collections::VecDeque;

use base::{span, time};

/// Longest time by which an engine's report may lag.
const MAX_LAG: span::Span = span::Span::from_secs(10);

/// Reports in a row above the agent's own count before it is said, so that a
/// single wrong report is passed over.
const MIN_EXCESSES: u32 = 3;

/// What a report shows that the one before did not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The engine does work that its agent did not give it.
    Began {
        /// Requests that the engine reports.
        reported: u32,
        /// Most requests that the agent had outstanding within the lag.
        own: u32,
    },
    /// It no longer does.
    Ended,
}

/// Watches the reports of one engine.
#[derive(Clone, Debug, Default)]
pub struct LoadMonitor {
    /// The agent's own load, at each change within the lag; each one lasts
    /// until the next.
    loads: VecDeque<(time::Mono, u32)>,
    excesses: u32,
    has_excess: bool,
}

impl LoadMonitor {
    /// Notes the requests that the agent has outstanding at the engine.
    pub fn record_own(&mut self, now: time::Mono, load: u32) {
        if self.loads.back().is_none_or(|(_, last)| *last != load) {
            self.loads.push_back((now, load));
        }
        // The last change before the window still counts at its start.
        while self
            .loads
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= MAX_LAG)
        {
            self.loads.pop_front();
        }
    }

    /// Takes in a report of the engine.
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
