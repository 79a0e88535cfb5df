//! Models the latency of a service's targets from measured response times.
//!
//! The code here reads no clock: [`crate::stream`] and [`crate::attempt`] supply
//! the times.

use base::{span, time};
use place::{
    contention::ContentionModel,
    hedge::{Fraction, ResponseRatios},
    latency::{self, LatencyModel, Task},
};

/// Number of events that are timed together. A single one says little, because an
/// engine step that also processes another request's prompt takes longer.
const INTERVAL_EVENTS: u64 = 4;

/// Latency models of a service's targets, one for responses and one for events.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLatencies {
    /// Time until a complete response, or until the first event of a stream.
    pub responses: LatencyModel,
    /// Time for each further event of a stream.
    pub events: LatencyModel,
    /// Times of responses relative to the expected ones, if requests may be hedged.
    pub ratios: Option<Box<ResponseRatios>>,
    /// Contention at the targets.
    pub contention: ContentionModel,
}

impl ServiceLatencies {
    /// Records how long a response took relative to the expected time, if requests may
    /// be hedged.
    pub fn record_ratio(&mut self, task: Task, took: span::Span, fraction: Fraction) {
        if !fraction.is_zero() && self.responses.is_ready() {
            let expected = self.responses.predict_current(task);
            let ratios = self.ratios.get_or_insert_default();
            ratios.record(took, expected, fraction);
        }
    }

    /// Returns the time after which a request may be hedged, once enough responses are
    /// known.
    pub fn hedge_delay(&self, task: Task, fraction: Fraction) -> Option<span::Span> {
        let expected = self.responses.predict_current(task);
        self.ratios.as_ref()?.delay(expected, fraction)
    }

    /// Returns the part of the latest responses that took longer than that.
    pub fn late(&self) -> f64 {
        self.ratios.as_ref().map_or(0.0, |ratios| ratios.late())
    }

    /// Records how long a complete response, or the first event of a stream, took.
    /// Returns the time that the model predicted for a typical target, if it had
    /// enough data.
    pub fn record_response(&mut self, task: Task, took: span::Span) -> Option<span::Span> {
        let expected = self
            .responses
            .is_ready()
            .then(|| self.responses.predict_current(task));
        self.responses.record(task, took);
        expected
    }

    /// Records how long an interval of events took at a target with `load` other
    /// requests. Returns the expected time like
    /// [`ServiceLatencies::record_response`].
    pub fn record_events(&mut self, load: u32, interval: Interval) -> Option<span::Span> {
        let task = Task {
            batch_wait: latency::batch_wait(load),
            ..Task::default()
        };
        let total = |time: span::Span| span::Span::from_micros(time.as_micros() * interval.events);
        let expected = self
            .events
            .is_ready()
            .then(|| total(self.events.predict_current(task)));
        let each = interval.took.as_micros() / interval.events.max(1);
        self.events.record(task, span::Span::from_micros(each));
        expected
    }
}

/// Successive events of a stream, and the time that they took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Number of the events.
    pub events: u64,
    /// Time from the event before them to the last one.
    pub took: span::Span,
}

/// What [`EventTimer::record`] has measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventProgress {
    /// Nothing yet; the current interval is not complete.
    Pending,
    /// The first event was received: the prompt has been processed.
    First,
    /// A further interval was completed.
    Interval(Interval),
}

/// Measures the time between events of a stream. Requests in the same batch share
/// the engine's steps, so the time of a few events describes the target's speed
/// better than the time until the first event, which includes waiting for the
/// prompts of requests that this router does not know of.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTimer {
    since: Option<(time::Mono, u64)>,
}

impl EventTimer {
    /// Records that events were received; `count` is the total so far.
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
