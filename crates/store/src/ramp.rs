//! Slow start: after an outage, and after the service has reported too high a
//! rate, a process uses part of its share and returns to all of it gradually.

use base::{span, time};

/// Smallest part of the share; with it, the processes together send an eighth
/// of the service's rate when an outage ends.
pub const FLOOR: f64 = 1.0 / 8.0;

/// The part of its share that a process may use.
#[derive(Clone, Debug)]
pub struct Ramp {
    climb: span::Span,
    level: f64,
    at: time::Mono,
}

impl Ramp {
    /// Starts with the whole share; `climb` is the time from nothing to all.
    pub fn new(climb: span::Span) -> Self {
        Self {
            climb,
            level: 1.0,
            at: time::Mono::default(),
        }
    }

    /// Returns the part of the share, from [`FLOOR`] to 1.
    pub fn level(&self, now: time::Mono) -> f64 {
        let climb = self.climb.as_secs_f64().max(f64::EPSILON);
        let gained = now.since(self.at).as_secs_f64() / climb;
        (self.level + gained).clamp(FLOOR, 1.0)
    }

    /// Starts again from the smallest part.
    pub fn restart(&mut self, now: time::Mono) {
        self.level = FLOOR;
        self.at = now;
    }

    /// Halves the part, because the service reported too high a rate.
    pub fn halve(&mut self, now: time::Mono) {
        self.level = (self.level(now) / 2.0).max(FLOOR);
        self.at = now;
    }
}
