//! How fast the targets of a service work, learned from responses.

use base::span::Span;
use place::latency::{LatencyModel, Task};
use proptest::prelude::*;

/// What a target truly takes, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Speed {
    base: f64,
    /// For a thousand prompt tokens.
    read: f64,
    wait: f64,
}

impl Speed {
    fn took(self, task: Task) -> f64 {
        self.base + self.read * f64::from(task.tokens) / 1_000.0 + self.wait * task.batch_wait
    }
}

fn span(millis: f64) -> Span {
    Span::from_micros((millis * 1_000.0) as u64)
}

fn millis(span: Span) -> f64 {
    span.as_micros() as f64 / 1_000.0
}

/// Prompts of a usual mix, with a load that changes.
fn task(number: u64) -> Task {
    let tokens = [500, 1_300, 11_800, 130, 2_400, 360];
    Task {
        tokens: tokens[(number % 6) as usize],
        batch_wait: (number * 7 % 11) as f64 / 4.0,
        ..Task::default()
    }
}

fn learn(model: &mut LatencyModel, speed: Speed, count: u64) {
    for number in 0..count {
        let task = task(number);
        model.record(task, span(speed.took(task)));
    }
}

fn is_near(found: f64, real: f64, part: f64) -> bool {
    (found - real).abs() <= real * part + 1.0
}

/// The time of work of a plain service is learned at any load.
#[test]
fn learned_work() {
    let mut model = LatencyModel::default();
    for load in (0..30_u32).cycle().take(300) {
        let queue_rounds = (f64::from(load) + 1.0).max(6.0) / 6.0;
        let task = Task {
            queue_rounds,
            ..Task::default()
        };
        model.record(task, span(60.0 * queue_rounds));
    }
    assert!(model.is_ready());
    let base = model.base();
    assert!(
        base > Span::from_millis(59) && base < Span::from_millis(61),
        "{base}"
    );
}

/// Before any response the prior stands, and it counts for nothing.
#[test]
fn prior_first() {
    let model = LatencyModel::default();
    assert!(!model.is_ready());
    assert!(model.predict(Task::default()) > Span::ZERO);
}

/// A service that gets four times as slow is known to be so after some hundred
/// responses, and again when it recovers.
#[test]
fn changed_speed() {
    let fast = Speed {
        base: 20.0,
        read: 15.0,
        wait: 5.0,
    };
    let slow = Speed {
        base: 80.0,
        read: 60.0,
        wait: 20.0,
    };
    let mut model = LatencyModel::default();
    for speed in [fast, slow, fast] {
        learn(&mut model, speed, 3_000);
        let task = task(2);
        let found = millis(model.predict(task));
        assert!(is_near(found, speed.took(task), 0.2), "{speed:?} {found}");
    }
}

/// A part of the targets is eight times as slow; the others still look usual.
#[test]
fn few_slow() {
    let speed = Speed {
        base: 20.0,
        read: 20.0,
        wait: 5.0,
    };
    let mut model = LatencyModel::default();
    for number in 0..2_000 {
        let task = task(number);
        let factor = if number * 13 % 10 < 2 { 8.0 } else { 1.0 };
        model.record(task, span(speed.took(task) * factor));
    }
    for number in 0..6 {
        let task = task(number);
        let found = millis(model.predict(task));
        assert!(found < speed.took(task) * 2.0 + 20.0, "{task:?} {found}");
    }
}

/// While all targets have more work than routers know of, a request is not expected
/// to be faster than the others; a few slow targets change nothing.
#[test]
fn common_level() {
    let speed = Speed {
        base: 20.0,
        read: 20.0,
        wait: 5.0,
    };
    let mut model = LatencyModel::default();
    learn(&mut model, speed, 500);
    let usual = model.predict_current(task(1));
    for number in 0..100 {
        let factor = if number * 13 % 10 < 3 { 8.0 } else { 1.0 };
        model.record(task(number), span(speed.took(task(number)) * factor));
    }
    let few = model.predict_current(task(1));
    assert!(
        few < Span::from_micros(usual.as_micros() * 2),
        "{usual} {few}"
    );
    for number in 0..60 {
        model.record(task(number), span(speed.took(task(number)) * 5.0));
    }
    let all = model.predict_current(task(1));
    assert!(
        all > Span::from_micros(usual.as_micros() * 3),
        "{usual} {all}"
    );
}

/// Where no request reads anything, the other coefficients stay in bounds.
#[test]
fn nothing_read() {
    let mut model = LatencyModel::default();
    for _ in 0..100_000 {
        model.record(Task::default(), span(30.0));
    }
    let found = millis(model.predict(Task::default()));
    assert!(is_near(found, 30.0, 0.02), "{found}");
    let read = model.prefill();
    assert!((20.0..22.0).contains(&read), "{read}");
}

proptest! {
    /// Any plausible speed is learned within a tenth, also with times that are up
    /// to a fifth too long.
    #[test]
    fn any_speed(base in 2.0..200.0_f64, read in 2.0..200.0_f64, wait in 0.0..100.0_f64,
        noise in 0.0..0.2_f64) {
        let speed = Speed { base, read, wait };
        let mut model = LatencyModel::default();
        for number in 0..1_500_u64 {
            let task = task(number);
            let late = 1.0 + noise * (number * 31 % 17) as f64 / 17.0;
            model.record(task, span(speed.took(task) * late));
        }
        for number in 0..6 {
            let task = task(number);
            let found = millis(model.predict(task));
            let real = speed.took(task);
            prop_assert!(is_near(found, real * (1.0 + noise / 2.0), 0.1 + noise / 2.0),
                "{:?} {:?} {}", speed, task, found);
        }
    }

    /// Whatever is noted, in any order: expectations stay finite, positive and
    /// ordered by what a target has to do.
    #[test]
    fn any_times(notes in prop::collection::vec(
        (0..u32::MAX, 0.0..1e6_f64, 0..u64::MAX / 2_000), 0..200)) {
        let mut model = LatencyModel::default();
        for (tokens, batch_wait, took) in notes {
            model.record(Task { tokens, batch_wait, queue_rounds: batch_wait }, Span::from_micros(took));
        }
        let little = model.predict(Task::default());
        let more = model.predict(Task { tokens: 10_000, batch_wait: 2.0, queue_rounds: 1.0 });
        prop_assert!(little > Span::ZERO && more > little, "{} {}", little, more);
        prop_assert!(model.prefill().is_finite());
    }
}
