//! Slow start: after an outage, and after the service has reported too high a
//! rate, a process uses part of its share and returns to all of it gradually.

use base::{span, time};

/// Smallest part of the share; with it, the processes together send an eighth
/// of the service's rate when an outage ends.
pub const MIN_LEVEL: f64 = 1.0 / 8.0;

/// The part of its share that a process may use.
#[derive(Clone, Debug)]
pub struct SlowStart {
    duration: span::Span,
    level: f64,
    since: time::Mono,
}

impl SlowStart {
    /// Starts with the whole share; `duration` is the time from nothing to all.
    pub fn new(duration: span::Span) -> Self {
        Self {
            duration,
            level: 1.0,
            since: time::Mono::default(),
        }
    }

    /// Returns the part of the share, from [`MIN_LEVEL`] to 1.
    pub fn level(&self, now: time::Mono) -> f64 {
        let duration = self.duration.as_secs_f64().max(f64::EPSILON);
        let gained = now.since(self.since).as_secs_f64() / duration;
        (self.level + gained).clamp(MIN_LEVEL, 1.0)
    }

    /// Starts again from the smallest part.
    pub fn restart(&mut self, now: time::Mono) {
        self.level = MIN_LEVEL;
        self.since = now;
    }

    /// Halves the part, because the service reported too high a rate.
    pub fn halve(&mut self, now: time::Mono) {
        self.level = (self.level(now) / 2.0).max(MIN_LEVEL);
        self.since = now;
    }
}
