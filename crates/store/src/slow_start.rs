//! Slow start: after an outage of the platform's service, or after the service has
//! reported that the request rate is too high, a process sends requests at a
//! fraction of its permitted rate and then raises the rate gradually.

use base::{span, time};

/// Smallest fraction of the permitted rate. When an outage ends, all processes
/// together start with an eighth of the rate that the service permits.
pub const MIN_FRACTION: f64 = 1.0 / 8.0;

/// The fraction of its permitted rate that a process may use.
#[derive(Clone, Debug)]
pub struct SlowStart {
    duration: span::Span,
    level: f64,
    changed_at: time::Mono,
}

impl SlowStart {
    /// Creates a limit at the full rate. After a reduction the fraction grows by 1
    /// per `duration`.
    pub fn new(duration: span::Span) -> Self {
        Self {
            duration,
            level: 1.0,
            changed_at: time::Mono::default(),
        }
    }

    /// Returns the fraction of the permitted rate, from [`MIN_FRACTION`] to 1.
    pub fn fraction(&self, now: time::Mono) -> f64 {
        let duration = self.duration.as_secs_f64().max(f64::EPSILON);
        let increase = now.since(self.changed_at).as_secs_f64() / duration;
        (self.level + increase).clamp(MIN_FRACTION, 1.0)
    }

    /// Sets the fraction to [`MIN_FRACTION`], from which it grows again.
    pub fn restart(&mut self, now: time::Mono) {
        self.level = MIN_FRACTION;
        self.changed_at = now;
    }

    /// Halves the fraction, because the service reported that the request rate is
    /// too high.
    pub fn halve(&mut self, now: time::Mono) {
        self.level = (self.fraction(now) / 2.0).max(MIN_FRACTION);
        self.changed_at = now;
    }
}
