//! Slow start: after an outage, or after the service has reported that the
//! request rate is too high, a process uses part of its rate and returns to the
//! full rate gradually.

use base::{span, time};

/// Smallest part of the rate, so that all processes together send an eighth of
/// the service's rate when an outage ends.
pub const MIN_FRACTION: f64 = 1.0 / 8.0;

/// The part of its rate that a process may use.
#[derive(Clone, Debug)]
pub struct SlowStart {
    duration: span::Span,
    level: f64,
    since: time::Mono,
}

impl SlowStart {
    /// Starts at the full rate; `duration` is the time from zero to the full rate.
    pub fn new(duration: span::Span) -> Self {
        Self {
            duration,
            level: 1.0,
            since: time::Mono::default(),
        }
    }

    /// Returns the part of the rate, from [`MIN_FRACTION`] to 1.
    pub fn fraction(&self, now: time::Mono) -> f64 {
        let duration = self.duration.as_secs_f64().max(f64::EPSILON);
        let gained = now.since(self.since).as_secs_f64() / duration;
        (self.level + gained).clamp(MIN_FRACTION, 1.0)
    }

    /// Restarts at [`MIN_FRACTION`].
    pub fn restart(&mut self, now: time::Mono) {
        self.level = MIN_FRACTION;
        self.since = now;
    }

    /// Halves the part, because the service reported that the request rate is too
    /// high.
    pub fn halve(&mut self, now: time::Mono) {
        self.level = (self.fraction(now) / 2.0).max(MIN_FRACTION);
        self.since = now;
    }
}
