//! Learns the speed of a service's targets from the times of its responses.
//!
//! Pure: [`crate::stream`] and [`crate::attempt`] bring the times.

use base::{span, time};
use place::pace::{self, Pace, Task};

/// Events whose time is taken together. A step that reads a prompt of another
/// request takes longer than others.
const INTERVAL_EVENTS: u64 = 4;

/// The speed of a service's targets, by what their time is spent on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSpeeds {
    /// Whole responses, or the first events of streams.
    pub responses: Pace,
    /// Further events of streams.
    pub events: Pace,
}

impl ServiceSpeeds {
    /// Notes how long a whole response, or a first event, took; returns how long it
    /// was expected to take at a target as fast as the others, if that was known.
    pub fn record_response(&mut self, task: Task, took: span::Span) -> Option<span::Span> {
        let expected = self
            .responses
            .is_known()
            .then(|| self.responses.expect_now(task));
        self.responses.note(task, took);
        expected
    }

    /// Notes how long some events took that ran together with `load` other
    /// requests; returns as [`ServiceSpeeds::record_response`].
    pub fn record_events(&mut self, load: u32, interval: Interval) -> Option<span::Span> {
        let task = Task {
            waits: pace::batch(load),
            ..Task::default()
        };
        let total = |time: span::Span| span::Span::from_micros(time.as_micros() * interval.events);
        let expected = self
            .events
            .is_known()
            .then(|| total(self.events.expect_now(task)));
        let each = interval.took.as_micros() / interval.events.max(1);
        self.events.note(task, span::Span::from_micros(each));
        expected
    }
}

/// Some events of a stream, and how long they took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Number of the events.
    pub events: u64,
    /// Their time.
    pub took: span::Span,
}

/// What the latest events of a stream show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventProgress {
    /// Nothing yet.
    Pending,
    /// The first event came: the prompt was read.
    First,
    /// Some further events came.
    Interval(Interval),
}

/// Takes the times of a stream's events. Whatever runs together takes the same
/// steps, so that a few events tell more of the target than the first one, which
/// also waits for prompts that nobody here knows of.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTimer {
    since: Option<(time::Mono, u64)>,
}

impl EventTimer {
    /// Notes that events came; `count` are those so far.
    pub fn record(&mut self, now: time::Mono, count: u64) -> EventProgress {
        let Some((since, before)) = self.since else {
            self.since = Some((now, count));
            return EventProgress::First;
        };
        let events = count.saturating_sub(before);
        if events < INTERVAL_EVENTS {
            return EventProgress::Pending;
        }
        self.since = Some((now, count));
        EventProgress::Interval(Interval {
            events,
            took: now.since(since),
        })
    }
}
