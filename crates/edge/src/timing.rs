//! Learns the speed of a service's targets from the times of its responses.
//!
//! Pure: [`crate::stream`] and [`crate::attempt`] bring the times.

use base::{span, time};
use place::latency::{self, LatencyModel, Task};

/// Events whose time is taken together. A step that reads a prompt of another
/// request takes longer than others.
const TIMED_EVENTS: u64 = 4;

/// The speed of a service's targets, by what their time is spent on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Paces {
    /// Whole responses, or the first events of streams.
    pub whole: LatencyModel,
    /// Further events of streams.
    pub events: LatencyModel,
}

impl Paces {
    /// Notes how long a whole response, or a first event, took; returns how long it
    /// was expected to take at a target as fast as the others, if that was known.
    pub fn whole(&mut self, task: Task, took: span::Span) -> Option<span::Span> {
        let expected = self
            .whole
            .is_ready()
            .then(|| self.whole.predict_current(task));
        self.whole.record(task, took);
        expected
    }

    /// Notes how long some events took that ran together with `load` other
    /// requests; returns as [`Paces::whole`].
    pub fn events(&mut self, load: u32, lap: Lap) -> Option<span::Span> {
        let task = Task {
            batch_wait: latency::batch_wait(load),
            ..Task::default()
        };
        let times = |time: span::Span| span::Span::from_micros(time.as_micros() * lap.events);
        let expected = self
            .events
            .is_ready()
            .then(|| times(self.events.predict_current(task)));
        let each = lap.took.as_micros() / lap.events.max(1);
        self.events.record(task, span::Span::from_micros(each));
        expected
    }
}

/// Some events of a stream, and how long they took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lap {
    /// Number of the events.
    pub events: u64,
    /// Their time.
    pub took: span::Span,
}

/// What the latest events of a stream show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Show {
    /// Nothing yet.
    Nothing,
    /// The first event came: the prompt was read.
    First,
    /// Some further events came.
    Lap(Lap),
}

/// Takes the times of a stream's events. Whatever runs together takes the same
/// steps, so that a few events tell more of the target than the first one, which
/// also waits for prompts that nobody here knows of.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timer {
    since: Option<(time::Mono, u64)>,
}

impl Timer {
    /// Notes that events came; `count` are those so far.
    pub fn note(&mut self, now: time::Mono, count: u64) -> Show {
        let Some((since, before)) = self.since else {
            self.since = Some((now, count));
            return Show::First;
        };
        let events = count.saturating_sub(before);
        if events < TIMED_EVENTS {
            return Show::Nothing;
        }
        self.since = Some((now, count));
        Show::Lap(Lap {
            events,
            took: now.since(since),
        })
    }
}
