//! Decides whether a request that waits unusually long is also sent to a second
//! target.
//!
//! Load pattern: a few responses of a service take several times as long as nearly
//! all others, because their target has stalled, has work that the routers do not
//! know of, or has lost the response. A second target would respond sooner. While all
//! targets are slow, or the service has little capacity left, a second attempt would
//! only add to the load, and none is sent. See [the design
//! note](../../../docs/design/hedging.md).

use std::{fmt, str::FromStr};

use base::span;
use hdrhistogram::Histogram;

/// Requests that may be hedged, as a fraction of the requests of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Fraction(f64);

/// Largest fraction. The retry budget allows one retry for five requests, and
/// retries after failures need most of it.
const MAX_FRACTION: f64 = 0.1;

/// A text is not a fraction that may be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a number from 0 to {MAX_FRACTION}, found {0:?}")]
pub struct FractionError(String);

impl Fraction {
    /// Returns the fraction as a number.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Returns whether no request may be hedged.
    pub fn is_zero(self) -> bool {
        self.0 == 0.0
    }
}

impl fmt::Display for Fraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Fraction {
    type Err = FractionError;

    fn from_str(text: &str) -> Result<Self, FractionError> {
        let number = text.parse().ok();
        number
            .filter(|number| (0.0..=MAX_FRACTION).contains(number))
            .map(Self)
            .ok_or_else(|| FractionError(text.to_owned()))
    }
}

/// Responses in one histogram; then the next one begins.
const WINDOW_RESPONSES: u64 = 256;

/// Responses that have to be known before the quantile is used.
const MIN_RESPONSES: u64 = 64;

/// Largest ratio of an observed to an expected time, in percent.
const MAX_RATIO_PERCENT: u64 = 100_000;

/// Significant digits of the histograms: with two, each takes about 6 KB.
const DIGITS: u8 = 2;

/// Smallest ratio of the delay to the expected time. A request that takes as long as
/// expected is never hedged, however little the times vary.
const MIN_DELAY_RATIO: f64 = 1.5;

/// Shortest delay before a request is hedged. Within it, the network and the
/// scheduling of the processes account for most of the time.
const MIN_DELAY: span::Span = span::Span::from_millis(20);

/// Weight of one response in the moving average of late ones.
const LATE_WEIGHT: f64 = 0.05;

/// Multiple of the fraction of requests that may be hedged from which the service as
/// a whole counts as slow.
const SLOW_SERVICE_FACTOR: f64 = 4.0;

/// The times of a service's latest responses, relative to the expected times.
///
/// The expected time accounts for the size of the request and the load of its target,
/// so that responses of all sizes share one distribution.
#[derive(Clone, Debug)]
pub struct ResponseRatios {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// Moving average of the responses that took longer than the delay.
    late: f64,
}

impl Default for ResponseRatios {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_RATIO_PERCENT, DIGITS).expect("the bounds are valid")
        };
        Self {
            current: histogram(),
            previous: histogram(),
            late: 0.0,
        }
    }
}

impl PartialEq for ResponseRatios {
    fn eq(&self, other: &Self) -> bool {
        self.current == other.current && self.previous == other.previous && self.late == other.late
    }
}

impl ResponseRatios {
    /// Records how long a request took at the target that responded, and how long it
    /// was expected to take.
    pub fn record(&mut self, took: span::Span, expected: span::Span, fraction: Fraction) {
        if let Some(delay) = self.delay(expected, fraction) {
            let observed = f64::from(u8::from(took > delay));
            self.late += (observed - self.late) * LATE_WEIGHT;
        }
        let percent = took.as_micros().saturating_mul(100) / expected.as_micros().max(1);
        self.current
            .saturating_record(percent.clamp(1, MAX_RATIO_PERCENT));
        if self.current.len() >= WINDOW_RESPONSES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    /// Returns the time after which a request that was expected to take `expected`
    /// has waited longer than all but `fraction` of the responses, once enough are
    /// known.
    pub fn delay(&self, expected: span::Span, fraction: Fraction) -> Option<span::Span> {
        if self.current.len() + self.previous.len() < MIN_RESPONSES || fraction.is_zero() {
            return None;
        }
        let quantile = 1.0 - fraction.get();
        let known = match self.previous.is_empty() {
            true => &self.current,
            false => &self.previous,
        };
        let ratio = known.value_at_quantile(quantile) as f64 / 100.0;
        let micros = expected.as_micros() as f64 * ratio.max(MIN_DELAY_RATIO);
        Some(span::Span::from_micros(micros as u64).max(MIN_DELAY))
    }

    /// Returns the fraction of the latest responses that took longer than the delay.
    pub fn late(&self) -> f64 {
        self.late
    }
}

/// A request that waits for its first target, when its delay has passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Time since it was sent.
    pub waited: span::Span,
    /// Time until its deadline.
    pub remaining: span::Span,
}

/// The best other target, and the state of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alternative {
    /// Expected time until it responds.
    pub expected: span::Span,
    /// Whether it counts as slow, or has as much load as it may have.
    pub impaired: bool,
    /// Load of the service's targets in percent of their slots.
    pub utilization: f64,
    /// Fraction of the service's latest responses that were late, from
    /// [`ResponseRatios::late`].
    pub late: f64,
}

/// Why a request is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Skip {
    /// The service as a whole is slow.
    SlowService,
    /// The service has little capacity left.
    Utilization,
    /// The best other target is slow or full.
    Impaired,
    /// The other target would not respond before the deadline.
    Deadline,
    /// The other target is expected to take longer than the request has waited.
    NoGain,
}

impl fmt::Display for Skip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::SlowService => "slow-service",
            Self::Utilization => "utilization",
            Self::Impaired => "impaired",
            Self::Deadline => "deadline",
            Self::NoGain => "no-gain",
        })
    }
}

/// Utilization, in percent of the slots, from which no request is hedged. Requests
/// are shed from about this load on.
const MAX_UTILIZATION: f64 = 60.0;

/// Multiple of the expected time that has to be left until the deadline.
const DEADLINE_FACTOR: u64 = 2;

/// Decides whether a request whose delay has passed is sent to a second target, as
/// far as the budget allows. Returns why it is not.
///
/// # Errors
///
/// When the second attempt is unlikely to help its caller, or likely to harm others.
pub fn decide(request: Waiting, alternative: Alternative, fraction: Fraction) -> Result<(), Skip> {
    let needed = alternative
        .expected
        .as_micros()
        .saturating_mul(DEADLINE_FACTOR);
    if alternative.late > fraction.get() * SLOW_SERVICE_FACTOR {
        Err(Skip::SlowService)
    } else if alternative.utilization >= MAX_UTILIZATION {
        Err(Skip::Utilization)
    } else if alternative.impaired {
        Err(Skip::Impaired)
    } else if request.remaining.as_micros() < needed {
        Err(Skip::Deadline)
    } else if alternative.expected > request.waited {
        Err(Skip::NoGain)
    } else {
        Ok(())
    }
}
