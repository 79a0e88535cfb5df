//! Decides when a target that joined or came back counts as up.

use std::collections::BTreeMap;

use base::{id, span, time};

use crate::view::Standing;

/// The state of a target as its agent reports it, or as missing reports imply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// In the instance list only.
    Listed,
    /// The agent reports that its target joined recently.
    Warming,
    /// Accepts new work.
    Up,
    /// Leaving.
    Leaving,
    /// Does not answer.
    Down,
}

/// Durations of warm-up and flap handling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// How long a target that joined counts as warming.
    pub warmup: span::Span,
    /// Longest time between two returns that count as one series of flaps.
    pub flap_window: span::Span,
    /// How long a target must stay up after its second return in a series; doubles
    /// with each further return.
    pub stable_time: span::Span,
    /// Longest time that a flapping target must stay up.
    pub max_stable_time: span::Span,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            // Most chats return within minutes. With a warm-up of 15 minutes,
            // fewer chats lose their cache when a target joins than without
            // warm-up; with 5 minutes, more do (tests/reuse.rs, joins).
            warmup: span::Span::from_secs(900),
            flap_window: span::Span::from_secs(600),
            stable_time: span::Span::from_secs(60),
            max_stable_time: span::Span::from_secs(600),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct TargetState {
    report: Report,
    incarnation: id::Incarnation,
    /// When it became up or warming; `None` while it is neither.
    up_since: Option<time::Mono>,
    /// When it last restarted or came back from being down.
    last_return: Option<time::Mono>,
    /// Number of returns in the current series.
    returns: u32,
    /// How long it counts as warming, from `up_since` on.
    warm_time: span::Span,
}

/// Tracks the targets of one service for one router.
#[derive(Clone, Debug)]
pub struct Tracker {
    tuning: Tuning,
    states: BTreeMap<id::TargetId, TargetState>,
}

impl Tracker {
    /// Creates a tracker without targets.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            states: BTreeMap::new(),
        }
    }

    /// Records a report and returns the standing for the view.
    ///
    /// A target that is up when this router first learns of it counts as up,
    /// because the router may have started after it. A target that was
    /// unreachable once counts as up as soon as it is back, because its cache is
    /// intact. A new incarnation warms up. A target that comes back repeatedly
    /// counts as up only after it has stayed up for some time.
    pub fn observe(
        &mut self,
        now: time::Mono,
        target: &id::TargetId,
        incarnation: id::Incarnation,
        report: Report,
    ) -> Standing {
        let tuning = self.tuning;
        let state = self.states.entry(target.clone()).or_insert(TargetState {
            report: Report::Listed,
            incarnation,
            up_since: None,
            last_return: None,
            returns: 0,
            warm_time: span::Span::ZERO,
        });
        state.apply(now, incarnation, report, &tuning);
        state.standing(now, &tuning)
    }

    /// Returns a target's standing at a later time than its latest report.
    pub fn standing(&self, now: time::Mono, target: &id::TargetId) -> Option<Standing> {
        let state = self.states.get(target)?;
        Some(state.standing(now, &self.tuning))
    }

    /// Returns whether no target is tracked.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Removes all targets that are not members any more.
    pub fn retain(&mut self, is_member: impl Fn(&id::TargetId) -> bool) {
        self.states.retain(|target, _| is_member(target));
    }
}

impl TargetState {
    fn apply(
        &mut self,
        now: time::Mono,
        incarnation: id::Incarnation,
        report: Report,
        tuning: &Tuning,
    ) {
        let restarted = incarnation > self.incarnation;
        let was_down = self.report == Report::Down;
        let accepts_work = matches!(report, Report::Warming | Report::Up);
        self.incarnation = self.incarnation.max(incarnation);
        self.report = report;
        if !accepts_work {
            self.up_since = None;
            return;
        }
        if restarted || was_down {
            self.count_return(now, tuning);
            self.up_since = Some(now);
            self.warm_time = if restarted {
                tuning.warmup.max(self.stable_time(tuning))
            } else {
                self.stable_time(tuning)
            };
        }
        self.up_since.get_or_insert(now);
    }

    fn count_return(&mut self, now: time::Mono, tuning: &Tuning) {
        let in_series = self
            .last_return
            .is_some_and(|last| now.since(last) <= tuning.flap_window);
        self.returns = if in_series { self.returns + 1 } else { 1 };
        self.last_return = Some(now);
    }

    /// Returns how long the target must stay up after its latest return.
    fn stable_time(&self, tuning: &Tuning) -> span::Span {
        let Some(doublings) = self.returns.checked_sub(2) else {
            return span::Span::ZERO;
        };
        let factor = 1u64.checked_shl(doublings).unwrap_or(u64::MAX);
        let micros = tuning.stable_time.as_micros().saturating_mul(factor);
        span::Span::from_micros(micros).min(tuning.max_stable_time)
    }

    fn standing(&self, now: time::Mono, tuning: &Tuning) -> Standing {
        match self.report {
            Report::Listed => Standing::Listed,
            Report::Leaving => Standing::Leaving,
            Report::Down => Standing::Down,
            Report::Warming => self.warming(now, self.warm_time.max(tuning.warmup)),
            Report::Up => self.warming(now, self.warm_time),
        }
    }

    fn warming(&self, now: time::Mono, warm_time: span::Span) -> Standing {
        let age = self
            .up_since
            .map_or(span::Span::ZERO, |since| now.since(since));
        if age >= warm_time {
            Standing::Up
        } else if self.returns > 1 {
            Standing::Flapping { age }
        } else {
            Standing::Warming { age }
        }
    }
}
