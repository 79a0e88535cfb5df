//! Estimates how much longer work takes at a target now, from the figures that the
//! targets of a service report about the contention on their instances.
//!
//! Load pattern: targets share their instances with other workloads. A figure in
//! each response states how long work takes at the target at that moment, and it
//! changes several times a second. A figure that is 50 ms old says much about the
//! next request, one that is 2 s old says nothing. How fast the figures change
//! differs between deployments, so the weight of a figure by its age is learned:
//! it is the correlation of two figures of the same target by the time between
//! them. See [the design note](../../../docs/design/contention.md).

use base::{span, time};

/// Upper bounds of the ranges of ages for which a correlation is kept. Figures that
/// are older than the last bound have no weight.
const AGE_BOUNDS_MS: [f64; RANGES] = [
    12.5, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0,
];
const RANGES: usize = 9;

/// Forgetting factor per pair of figures in a range: the weight of a pair halves
/// after 350 further pairs.
const FORGETTING: f64 = 0.998;

/// Standard errors by which a correlation is reduced, so that figures which are
/// unrelated have no weight.
const STANDARD_ERRORS: f64 = 2.0;

/// Weight of one figure in the moving average of all figures of the service.
const MEAN_WEIGHT: f64 = 0.01;

/// Largest deviation from the mean, as a logarithm: a figure of more than 20 times
/// the mean is treated as 20 times the mean, so that one wrong figure does not
/// outweigh hundreds of others.
const MAX_DEVIATION: f64 = 3.0;

/// A figure that a target reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figure {
    /// How long work takes, in percent of the usual time.
    pub percent: u32,
    /// When it was received.
    pub at: time::Mono,
}

/// Sums over pairs of deviations of the same target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Pairs {
    count: f64,
    products: f64,
    squares: f64,
}

/// What is known about the figures of a service's targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ContentionModel {
    /// Moving average of the logarithms of the figures.
    mean: f64,
    /// Number of figures.
    count: u32,
    ranges: [Pairs; RANGES],
}

impl ContentionModel {
    /// Records a figure of a target, and the previous figure of the same target.
    pub fn record(&mut self, previous: Option<Figure>, figure: Figure) {
        let value = figure.logarithm();
        self.count = self.count.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += (value - self.mean) * weight;
        let Some(previous) = previous else {
            return;
        };
        let age = millis(figure.at.since(previous.at));
        let range = AGE_BOUNDS_MS.partition_point(|bound| *bound < age);
        let deviations = (self.deviation(previous), self.deviation(figure));
        if let Some(pairs) = self.ranges.get_mut(range) {
            pairs.record(deviations.0, deviations.1);
        }
    }

    /// Returns the weight of a figure by its age, from 0 to 1.
    pub fn weight(&self, age: span::Span) -> f64 {
        let age = millis(age);
        if age > AGE_BOUNDS_MS[RANGES - 1] {
            return 0.0;
        }
        let next = (0..RANGES).find(|range| middle(*range) >= age);
        match next {
            None => self.correlation(RANGES - 1),
            Some(0) => self.correlation(0),
            Some(next) => {
                let (low, high) = (middle(next - 1), middle(next));
                let part = (age - low) / (high - low);
                self.correlation(next - 1) * (1.0 - part) + self.correlation(next) * part
            }
        }
    }

    /// Returns the factor by which work at a target with this figure takes longer
    /// now than at a typical target; 1 if nothing is known.
    pub fn factor(&self, now: time::Mono, figure: Option<Figure>) -> f64 {
        figure.map_or(1.0, |figure| {
            let weight = self.weight(now.since(figure.at));
            (self.deviation(figure) * weight).exp()
        })
    }

    /// Returns whether any target has reported a figure.
    pub fn is_known(&self) -> bool {
        self.count > 0
    }

    /// Returns [`ContentionModel::factor`] as the excess over 1, in percent.
    pub fn excess(&self, now: time::Mono, figure: Option<Figure>) -> i32 {
        ((self.factor(now, figure) - 1.0) * 100.0) as i32
    }

    fn deviation(&self, figure: Figure) -> f64 {
        (figure.logarithm() - self.mean).clamp(-MAX_DEVIATION, MAX_DEVIATION)
    }

    /// Returns the correlation of figures whose ages differ by a time in this range,
    /// less its uncertainty. A figure is worth at least as much as an older one, so
    /// a range without enough pairs takes the value of a longer one.
    fn correlation(&self, range: usize) -> f64 {
        let longer = self.ranges[range..].iter();
        longer.map(Pairs::correlation).fold(0.0, f64::max)
    }
}

impl Pairs {
    fn record(&mut self, first: f64, second: f64) {
        let squares = (first * first + second * second) / 2.0;
        self.count = self.count * FORGETTING + 1.0;
        self.products = self.products * FORGETTING + first * second;
        self.squares = self.squares * FORGETTING + squares;
    }

    fn correlation(&self) -> f64 {
        if self.squares <= 0.0 {
            return 0.0;
        }
        let error = STANDARD_ERRORS / self.count.sqrt();
        (self.products / self.squares - error).clamp(0.0, 1.0)
    }
}

impl Figure {
    fn logarithm(self) -> f64 {
        f64::from(self.percent.max(1)).ln()
    }
}

/// Returns the middle of a range, in milliseconds.
fn middle(range: usize) -> f64 {
    AGE_BOUNDS_MS[range] * 0.75
}

fn millis(span: span::Span) -> f64 {
    span.as_micros() as f64 / 1_000.0
}
