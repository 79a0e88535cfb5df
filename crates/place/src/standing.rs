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
    pub window: span::Span,
    /// How long a target must stay up after its second return in a series;
    /// doubles with each further one.
    pub steady: span::Span,
    /// Longest time that a flapping target must stay up.
    pub longest: span::Span,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            // Most chats return within minutes. With 15 minutes, fewer chats
            // lose their cache to a join than without warm-up; with 5, more do
            // (tests/reuse.rs, joins).
            warmup: span::Span::from_secs(900),
            window: span::Span::from_secs(600),
            steady: span::Span::from_secs(60),
            longest: span::Span::from_secs(600),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Track {
    report: Report,
    incarnation: id::Incarnation,
    /// When it became up or warming, while it is.
    since: Option<time::Mono>,
    /// Latest time at which it came back after it had been down.
    returned: Option<time::Mono>,
    /// Returns within one series.
    returns: u32,
    /// How long it counts as warming from `since`.
    warm: span::Span,
}

/// Follows the targets of one service in one router.
#[derive(Clone, Debug)]
pub struct Tracker {
    tuning: Tuning,
    tracks: BTreeMap<id::TargetId, Track>,
}

impl Tracker {
    /// Starts with no targets.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            tracks: BTreeMap::new(),
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
        let track = self.tracks.entry(target.clone()).or_insert(Track {
            report: Report::Listed,
            incarnation,
            since: None,
            returned: None,
            returns: 0,
            warm: span::Span::ZERO,
        });
        track.apply(now, incarnation, report, &tuning);
        track.standing(now, &tuning)
    }

    /// Returns a target's standing at a later time than its latest report.
    pub fn standing(&self, now: time::Mono, target: &id::TargetId) -> Option<Standing> {
        let track = self.tracks.get(target)?;
        Some(track.standing(now, &self.tuning))
    }

    /// Tells whether no target is followed.
    pub fn is_empty(&self) -> bool {
        self.tracks.is_empty()
    }

    /// Forgets all targets but those that are still members.
    pub fn retain(&mut self, is_member: impl Fn(&id::TargetId) -> bool) {
        self.tracks.retain(|target, _| is_member(target));
    }
}

impl Track {
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
            self.since = None;
            return;
        }
        if restarted || was_down {
            self.count_return(now, tuning);
            self.since = Some(now);
            self.warm = if restarted {
                tuning.warmup.max(self.steady(tuning))
            } else {
                self.steady(tuning)
            };
        }
        self.since.get_or_insert(now);
    }

    fn count_return(&mut self, now: time::Mono, tuning: &Tuning) {
        let in_series = self
            .returned
            .is_some_and(|last| now.since(last) <= tuning.window);
        self.returns = if in_series { self.returns + 1 } else { 1 };
        self.returned = Some(now);
    }

    /// Returns how long the target must stay up after its latest return.
    fn steady(&self, tuning: &Tuning) -> span::Span {
        let Some(doublings) = self.returns.checked_sub(2) else {
            return span::Span::ZERO;
        };
        let factor = 1u64.checked_shl(doublings).unwrap_or(u64::MAX);
        let micros = tuning.steady.as_micros().saturating_mul(factor);
        span::Span::from_micros(micros).min(tuning.longest)
    }

    fn standing(&self, now: time::Mono, tuning: &Tuning) -> Standing {
        match self.report {
            Report::Listed => Standing::Listed,
            Report::Leaving => Standing::Leaving,
            Report::Down => Standing::Down,
            Report::Warming => self.warming(now, self.warm.max(tuning.warmup)),
            Report::Up => self.warming(now, self.warm),
        }
    }

    fn warming(&self, now: time::Mono, warm: span::Span) -> Standing {
        let age = self
            .since
            .map_or(span::Span::ZERO, |since| now.since(since));
        if age >= warm {
            Standing::Up
        } else if self.returns > 1 {
            Standing::Flapping { age }
        } else {
            Standing::Warming { age }
        }
    }
}
