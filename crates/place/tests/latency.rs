//! The latency model: convergence, outliers and bounds of the estimates.

use base::span::Span;
use place::latency::{LatencyModel, Task};
use proptest::prelude::*;

/// The true times of a target, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Speed {
    base: f64,
    /// Per thousand prompt tokens.
    prefill: f64,
    /// Per unit of waiting.
    wait: f64,
}

impl Speed {
    fn took(self, task: Task) -> f64 {
        self.base + self.prefill * f64::from(task.tokens) / 1_000.0 + self.wait * task.batch_wait
    }
}

fn span(millis: f64) -> Span {
    Span::from_micros((millis * 1_000.0) as u64)
}

fn millis(span: Span) -> f64 {
    span.as_micros() as f64 / 1_000.0
}

/// Returns a task from a typical mix of prompt lengths and loads.
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

/// Returns whether an estimate is within a relative tolerance plus 1 ms.
fn is_near(found: f64, real: f64, tolerance: f64) -> bool {
    (found - real).abs() <= real * tolerance + 1.0
}

/// The base time of a service without batching is estimated under any load, also
/// while requests queue for slots.
#[test]
fn queued_base_time() {
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

/// Before any response, the model predicts from its prior but is not ready.
#[test]
fn initial_estimate() {
    let model = LatencyModel::default();
    assert!(!model.is_ready());
    assert!(model.predict(Task::default()) > Span::ZERO);
}

/// The model follows a service that becomes four times as slow and recovers, within
/// 3,000 responses each.
#[test]
fn changed_speed() {
    let fast = Speed {
        base: 20.0,
        prefill: 15.0,
        wait: 5.0,
    };
    let slow = Speed {
        base: 80.0,
        prefill: 60.0,
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

/// If a fifth of the targets is eight times as slow, the estimate for the others
/// stays below about twice their time.
#[test]
fn slow_minority() {
    let speed = Speed {
        base: 20.0,
        prefill: 20.0,
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

/// The current prediction rises when all requests take longer, because targets have
/// work that the router does not know of. A few slow targets do not raise it.
#[test]
fn common_slowdown() {
    let speed = Speed {
        base: 20.0,
        prefill: 20.0,
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

/// If no request has prompt tokens, their coefficient stays near its prior.
#[test]
fn no_prompt_tokens() {
    let mut model = LatencyModel::default();
    for _ in 0..100_000 {
        model.record(Task::default(), span(30.0));
    }
    let found = millis(model.predict(Task::default()));
    assert!(is_near(found, 30.0, 0.02), "{found}");
    let prefill = model.prefill();
    assert!((20.0..22.0).contains(&prefill), "{prefill}");
}

proptest! {
    /// Any plausible speed is estimated within 10%, plus half of the noise, which
    /// lengthens times by up to 20%.
    #[test]
    fn any_speed(base in 2.0..200.0_f64, prefill in 2.0..200.0_f64, wait in 0.0..100.0_f64,
        noise in 0.0..0.2_f64) {
        let speed = Speed { base, prefill, wait };
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

    /// After any sequence of observations, predictions are finite and positive, and
    /// more work takes longer.
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
