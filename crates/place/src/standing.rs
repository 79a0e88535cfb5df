//! Decides when a target that joined or came back counts as up.

use std::collections::BTreeMap;

use base::{id, span, time};

use crate::view::Standing;

/// What a target's agent, or the lack of its reports, says about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// In the instance list only.
    Listed,
    /// The agent says that its target joined lately.
    Warming,
    /// Takes new work.
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
    /// Returns within this time are counted as one series of flaps.
    pub flap_window: span::Span,
    /// How long a target must stay up after its second return in a series;
    /// doubles with each further one.
    pub stable_time: span::Span,
    /// Longest time that a flapping target must stay up.
    pub max_stable_time: span::Span,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            // Most chats return within minutes. With 15 minutes, fewer chats
            // lose their cache to a join than without warm-up; with 5, more do
            // (tests/reuse.rs, joins).
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
    /// When it became up or warming, while it is.
    up_since: Option<time::Mono>,
    /// Latest time at which it came back after it had been down.
    last_return: Option<time::Mono>,
    /// Returns within one series.
    returns: u32,
    /// How long it counts as warming from `up_since`.
    warm_time: span::Span,
}

/// Follows the targets of one service in one router.
#[derive(Clone, Debug)]
pub struct Tracker {
    tuning: Tuning,
    states: BTreeMap<id::TargetId, TargetState>,
}

impl Tracker {
    /// Starts with no targets.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            states: BTreeMap::new(),
        }
    }

    /// Notes a report and returns the standing for the view.
    ///
    /// A target that is up when this router first hears of it counts as up:
    /// the router may be the younger of the two. A target whose link broke
    /// once counts as up as soon as it is back, because its cache is intact; a
    /// new incarnation warms up; one that comes back repeatedly must first
    /// stay up.
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

    /// Tells whether no target is followed.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Forgets all targets but those that are still members.
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
        let takes_work = matches!(report, Report::Warming | Report::Up);
        self.incarnation = self.incarnation.max(incarnation);
        self.report = report;
        if !takes_work {
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
