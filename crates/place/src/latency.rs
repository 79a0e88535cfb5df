//! Learns how fast the targets of a service work, from responses that pass anyway.
//!
//! The time to a first event, or to a whole response, is taken to be a sum: what
//! every request costs, what each prompt token costs that is read before, and what
//! waiting behind other requests costs. The three are estimated by recursive least
//! squares. Load pattern: a deployment that nobody measured, whose speed also
//! changes while it runs; part of the targets slow; times that are wrong because a
//! router does not know all that a target has to do. See
//! [the design page](../../../docs/design.md), section 6.3.

use base::span;

/// Coefficients: of every request, of a thousand prompt tokens, and of waiting, in
/// milliseconds.
type Vector = [f64; 3];

/// What is assumed before any response: the speed of a common engine, so that the
/// first requests are placed sensibly. Twenty responses outweigh it.
const PRIOR_COEFFICIENTS: Vector = [20.0, 21.0, 10.0];

/// Least and largest coefficients. Outside, a time is wrong rather than learned.
const MIN_COEFFICIENTS: Vector = [0.5, 0.5, 0.0];
const MAX_COEFFICIENTS: Vector = [60_000.0, 5_000.0, 60_000.0];

/// Uncertainty of the prior: the squares of its coefficients so many times,
/// relative to the noise of one time.
const PRIOR_VARIANCE: f64 = 10.0;

/// Weight of the past at each response: half of it is forgotten after 350, which
/// is minutes at a quiet router and seconds at a busy one.
const FORGETTING: f64 = 0.998;

/// Factor on [`PRIOR_VARIANCE`] that the uncertainty of a coefficient may reach. What
/// requests never differ in cannot be learned, and would grow without end.
const MAX_VARIANCE_GROWTH: f64 = 10.0;

/// Times beyond so many usual errors count as if they were that far off, so that a
/// few slow targets do not make all look slow.
const OUTLIER_ERRORS: f64 = 3.0;

/// Part by which the usual error grows or shrinks at each time, so that half of the
/// errors are larger.
const ERROR_STEP: f64 = 0.05;

/// Part by which the level of late times follows each time: a level that is three
/// times as high is known after some twenty.
const RATIO_STEP: f64 = 0.05;

/// Usual error before any response, the least and the largest one, relative to
/// the expected time.
const INITIAL_ERROR: f64 = 1.0;
const MIN_ERROR: f64 = 0.05;
const MAX_ERROR: f64 = 10.0;

/// Least time that errors are related to, in milliseconds.
const MIN_TIME_MS: f64 = 1.0;

/// Responses from which the estimate says something.
const MIN_SAMPLES: u32 = 20;

/// Scale of the tokens: all parts of the sum have about the same size then.
const TOKEN_SCALE: f64 = 1_000.0;

/// What a request asked of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Task {
    /// Prompt tokens that the target reads before the first event.
    pub tokens: u32,
    /// How long it waits for requests that run together with it: [`batch_wait`].
    pub batch_wait: f64,
    /// How often all slots are used before this request is done, itself included,
    /// where requests wait for slots; the time is a multiple of that.
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

/// Requests that run together and delay another as long as one wait.
const REQUESTS_PER_WAIT: f64 = 10.0;

/// Returns how long requests wait that run together with `load` others.
pub fn batch_wait(load: u32) -> f64 {
    f64::from(load) / REQUESTS_PER_WAIT
}

/// The speed of a service's targets.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyModel {
    coefficients: Vector,
    /// Uncertainty of the coefficients and how they depend on one another.
    covariance: [Vector; 3],
    median_error: f64,
    /// Middle of the latest times, relative to the expected ones.
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
    /// Notes how long a request took. Errors are related to the expected time, so
    /// that long prompts do not outweigh short ones.
    pub fn record(&mut self, task: Task, took: span::Span) {
        let features = features(task);
        let expected = dot(&self.coefficients, &features).max(MIN_TIME_MS);
        let error = millis(took) / task.queue_rounds.max(1.0) / expected - 1.0;
        let follow = match error + 1.0 > self.median_ratio {
            true => 1.0 + RATIO_STEP,
            false => 1.0 - RATIO_STEP,
        };
        self.median_ratio = (self.median_ratio * follow).clamp(MIN_ERROR, MAX_ERROR);
        let limit = self.median_error * OUTLIER_ERRORS;
        let step = match error.abs() > self.median_error {
            true => 1.0 + ERROR_STEP,
            false => 1.0 - ERROR_STEP,
        };
        self.median_error = (self.median_error * step).clamp(MIN_ERROR, MAX_ERROR);
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

    /// Returns how long a request is expected to take as long as most take longer
    /// than that: while all targets have more work than is known here, none of them
    /// is slower than the others.
    pub fn predict_current(&self, task: Task) -> span::Span {
        let expected = self.predict(task).as_micros() as f64;
        span::Span::from_micros((expected * self.median_ratio.max(1.0)) as u64)
    }

    /// Returns how long a request takes that reads nothing and waits for nobody.
    pub fn base(&self) -> span::Span {
        micros(self.coefficients[0])
    }

    /// Returns the time of reading a prompt token, in microseconds.
    pub fn prefill(&self) -> f64 {
        self.coefficients[1]
    }

    /// Returns whether enough responses came for the estimate to say something.
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
