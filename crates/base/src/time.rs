//! Monotonic time as a plain value, so that code can take the current time as an
//! argument and needs no clock.

use std::{fmt, ops};

use crate::span;

/// A point on this process's monotonic clock, in microseconds since start.
///
/// Values of different processes cannot be compared, so messages carry deadlines
/// as the remaining time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Mono(pub u64);

impl Mono {
    /// Returns the span since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> span::Span {
        span::Span::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<span::Span> for Mono {
    type Output = Self;

    fn add(self, span: span::Span) -> Self {
        Self(self.0.saturating_add(span.as_micros()))
    }
}

impl fmt::Display for Mono {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// A monotonic clock that starts at zero when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock(std::time::Instant);

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self(std::time::Instant::now())
    }

    /// Returns the current time.
    pub fn now(&self) -> Mono {
        Mono(span::Span::from(self.0.elapsed()).as_micros())
    }
}
