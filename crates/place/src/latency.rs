//! Estimates the response times of a service's targets from observed responses.
//!
//! The time to the first event, or to the whole response, is modelled as a sum of
//! a fixed time per request, a time per prompt token that is prefilled, and a time
//! for waiting behind other requests. The three coefficients are estimated by
//! recursive least squares.
//!
//! Load pattern: a deployment whose speed was never measured and changes while it
//! runs, some targets slower than others, and outliers caused by work that this
//! router does not know of. See [the design page](../../../docs/design.md),
//! section 6.3.

use base::span;

/// One value for each coefficient, in milliseconds: per request, per thousand
/// prompt tokens, and per unit of waiting.
type Vector = [f64; 3];

/// Coefficients before any response: those of a common engine, so that the first
/// requests get a plausible estimate. Twenty responses outweigh them.
const PRIOR_COEFFICIENTS: Vector = [20.0, 21.0, 10.0];

/// Bounds of the coefficients. A value outside them comes from a wrong time, not
/// from the speed of a target.
const MIN_COEFFICIENTS: Vector = [0.5, 0.5, 0.0];
const MAX_COEFFICIENTS: Vector = [60_000.0, 5_000.0, 60_000.0];

/// Variance of each prior coefficient, as a multiple of its square, relative to
/// the noise of one observation.
const PRIOR_VARIANCE: f64 = 10.0;

/// Forgetting factor per response: the weight of an observation halves after 350
/// responses, which take minutes at an idle router and seconds at a busy one.
const FORGETTING: f64 = 0.998;

/// Limit of a coefficient's variance as a multiple of its prior variance. Without
/// it, the variance of a feature that is the same in all requests would grow without
/// bound.
const MAX_VARIANCE_GROWTH: f64 = 10.0;

/// Errors are clipped to this multiple of the median error, so that a few slow
/// targets do not raise the estimate for all.
const OUTLIER_ERRORS: f64 = 3.0;

/// Fraction by which the median error grows or shrinks at each observation; it
/// settles where half of the errors are larger.
const ERROR_STEP: f64 = 0.05;

/// Fraction by which the median ratio of observed to expected times changes at each
/// observation. A threefold rise is tracked within about twenty observations.
const RATIO_STEP: f64 = 0.05;

/// Median error before any response, and its bounds, relative to the expected time.
const INITIAL_ERROR: f64 = 1.0;
const MIN_ERROR: f64 = 0.05;
const MAX_ERROR: f64 = 10.0;

/// Lower bound of the expected time that errors are divided by, in milliseconds.
const MIN_TIME_MS: f64 = 1.0;

/// Responses after which the estimate is used.
const MIN_SAMPLES: u32 = 20;

/// Divisor of the token count, which gives all features about the same magnitude.
const TOKEN_SCALE: f64 = 1_000.0;

/// The work that a request causes at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Task {
    /// Prompt tokens that the target prefills before the first event.
    pub tokens: u32,
    /// Waiting caused by requests in the same batch, in units of [`batch_wait`].
    pub batch_wait: f64,
    /// Number of times that all slots are used until this request is done, itself
    /// included, where requests queue for slots. The response time is proportional
    /// to it.
    pub queue_rounds: f64,
}

impl Default for Task {
    fn default() -> Self {
        Self {
            tokens: 0,
            batch_wait: 0.0,
            queue_rounds: 1.0,
        }
    }
}

/// Requests in a batch that add one unit of waiting.
const REQUESTS_PER_WAIT: f64 = 10.0;

/// Returns the units of waiting of a request that is batched with `load` others.
pub fn batch_wait(load: u32) -> f64 {
    f64::from(load) / REQUESTS_PER_WAIT
}

/// The response time model of a service's targets.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyModel {
    coefficients: Vector,
    /// Covariance of the coefficients.
    covariance: [Vector; 3],
    /// Median absolute error of the latest times, relative to the expected ones.
    median_error: f64,
    /// Median of the latest times, relative to the expected ones.
    median_ratio: f64,
    count: u32,
}

impl Default for LatencyModel {
    fn default() -> Self {
        let mut covariance = [[0.0; 3]; 3];
        for (row, line) in covariance.iter_mut().enumerate() {
            line[row] = prior_variance(row);
        }
        Self {
            coefficients: PRIOR_COEFFICIENTS,
            covariance,
            median_error: INITIAL_ERROR,
            median_ratio: 1.0,
            count: 0,
        }
    }
}

impl LatencyModel {
    /// Records how long a request took. Errors are relative to the expected time, so
    /// that long prompts do not outweigh short ones.
    pub fn record(&mut self, task: Task, took: span::Span) {
        let features = features(task);
        let expected = dot(&self.coefficients, &features).max(MIN_TIME_MS);
        let error = millis(took) / task.queue_rounds.max(1.0) / expected - 1.0;
        let ratio_step = match error + 1.0 > self.median_ratio {
            true => 1.0 + RATIO_STEP,
            false => 1.0 - RATIO_STEP,
        };
        self.median_ratio = (self.median_ratio * ratio_step).clamp(MIN_ERROR, MAX_ERROR);
        let limit = self.median_error * OUTLIER_ERRORS;
        let error_step = match error.abs() > self.median_error {
            true => 1.0 + ERROR_STEP,
            false => 1.0 - ERROR_STEP,
        };
        self.median_error = (self.median_error * error_step).clamp(MIN_ERROR, MAX_ERROR);
        self.update(
            &features.map(|feature| feature / expected),
            error.clamp(-limit, limit),
        );
        self.count = self.count.saturating_add(1);
    }

    fn update(&mut self, features: &Vector, error: f64) {
        let gain = self.covariance.map(|line| dot(&line, features));
        let scale = FORGETTING + dot(&gain, features);
        for (index, coefficient) in self.coefficients.iter_mut().enumerate() {
            let learned = *coefficient + gain[index] / scale * error;
            *coefficient = learned.clamp(MIN_COEFFICIENTS[index], MAX_COEFFICIENTS[index]);
        }
        for (row, line) in self.covariance.iter_mut().enumerate() {
            for (column, entry) in line.iter_mut().enumerate() {
                *entry = (*entry - gain[row] * gain[column] / scale) / FORGETTING;
            }
        }
        let grown = (0..3).map(|row| self.covariance[row][row] / prior_variance(row));
        let shrink = MAX_VARIANCE_GROWTH / grown.fold(MAX_VARIANCE_GROWTH, f64::max);
        for entry in self.covariance.iter_mut().flatten() {
            *entry *= shrink;
        }
    }

    /// Returns how long a request is expected to take.
    pub fn predict(&self, task: Task) -> span::Span {
        micros(dot(&self.coefficients, &features(task)) * task.queue_rounds.max(1.0))
    }

    /// Returns how long a request is expected to take now. While most requests
    /// exceed the model's estimate, it is raised by their median ratio: when all
    /// targets have work that this router did not send, none of them counts as
    /// slower than the others.
    pub fn predict_current(&self, task: Task) -> span::Span {
        let expected = self.predict(task).as_micros() as f64;
        span::Span::from_micros((expected * self.median_ratio.max(1.0)) as u64)
    }

    /// Returns the time of a request that prefills nothing and does not wait.
    pub fn base(&self) -> span::Span {
        micros(self.coefficients[0])
    }

    /// Returns the time to prefill one prompt token, in microseconds.
    pub fn prefill(&self) -> f64 {
        self.coefficients[1]
    }

    /// Returns whether enough responses were recorded to use the estimate.
    pub fn is_ready(&self) -> bool {
        self.count >= MIN_SAMPLES
    }
}

fn prior_variance(row: usize) -> f64 {
    PRIOR_VARIANCE * PRIOR_COEFFICIENTS[row] * PRIOR_COEFFICIENTS[row]
}

fn features(task: Task) -> Vector {
    [1.0, f64::from(task.tokens) / TOKEN_SCALE, task.batch_wait]
}

fn dot(a: &Vector, b: &Vector) -> f64 {
    a[0] * b[0] + a[1] * b[1] + a[2] * b[2]
}

fn millis(span: span::Span) -> f64 {
    span.as_micros() as f64 / 1_000.0
}

fn micros(millis: f64) -> span::Span {
    span::Span::from_micros((millis * 1_000.0).max(0.0) as u64)
}
