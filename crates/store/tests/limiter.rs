//! Guards the decisions of a client over a whole outage.

use base::{rate::Rate, span::Span, time::Mono};
use store::{
    limiter::{Access, AttemptResult, Limiter, Policy, Refusal},
    rates::Rates,
};

fn at(millis: u64) -> Mono {
    Mono(millis * 1000)
}

fn policy() -> Policy {
    Policy {
        rates: Rates {
            reads: Rate(10.0),
            writes: Rate(10.0),
        },
        ..Policy::default()
    }
}

/// Runs one attempt that ends at once.
fn attempt(control: &mut Limiter, now: Mono, report: AttemptResult) -> Result<Span, Refusal> {
    let wait = control.admit(now, Access::Write)?;
    control.send(now + wait)?;
    control.record_result(now + wait, report, 0.0);
    Ok(wait)
}

fn opened() -> Limiter {
    let mut control = Limiter::new(policy());
    for _ in 0..5 {
        control.admit(at(0), Access::Read).unwrap();
        control.record_result(at(0), AttemptResult::Failed, 0.0);
    }
    control
}

#[test]
fn refused_in_outage() {
    let mut control = opened();
    let refused = control.admit(at(0), Access::Write);
    assert_eq!(refused, Err(Refusal::CircuitOpen(Span::from_millis(500))));
}

/// A call that waited for the rate while the breaker opened is not sent.
#[test]
fn opened_while_waiting() {
    let mut control = Limiter::new(policy());
    for _ in 0..5 {
        control.admit(at(0), Access::Write).unwrap();
    }
    for _ in 0..5 {
        control.record_result(at(0), AttemptResult::Failed, 0.0);
    }
    assert!(matches!(
        control.send(at(100)),
        Err(Refusal::CircuitOpen(_))
    ));
}

/// When an outage ends, a process must not send its saved burst at once.
#[test]
fn slow_after_outage() {
    let mut control = opened();
    assert_eq!(
        attempt(&mut control, at(600), AttemptResult::Served),
        Ok(Span::ZERO)
    );
    // A tenth of a second at the whole share, and 8 times as long at an eighth.
    let first = control.admit(at(600), Access::Write);
    assert_eq!(first, Ok(Span::from_millis(800)));
    let second = control.admit(at(600), Access::Write);
    assert_eq!(second, Err(Refusal::RateShare(Span::from_millis(1600))));
    assert!(control.admit(at(60_000), Access::Write).is_ok());
}

#[test]
fn bounded_advice() {
    let mut control = Limiter::new(Policy {
        rates: Rates {
            reads: Rate(0.1),
            writes: Rate(0.1),
        },
        ..policy()
    });
    for _ in 0..5 {
        control.record_result(at(0), AttemptResult::Failed, 0.0);
    }
    attempt(&mut control, at(600), AttemptResult::Served).unwrap();
    // At an eighth of the share the wait would be 80 s; the share grows.
    let refused = control.admit(at(600), Access::Write);
    assert_eq!(refused, Err(Refusal::RateShare(Span::from_secs(20))));
}

#[test]
fn limited_by_service() {
    let mut control = Limiter::new(policy());
    for _ in 0..4 {
        attempt(&mut control, at(0), AttemptResult::Served).unwrap();
    }
    attempt(&mut control, at(1000), AttemptResult::Limited).unwrap();
    // Four tokens were earned and one was taken; three more and the next one
    // at half the rate.
    let waits: Vec<_> = (0..4)
        .map(|_| control.admit(at(1000), Access::Write).unwrap())
        .collect();
    assert_eq!(waits[..3], [Span::ZERO; 3]);
    assert_eq!(waits[3], Span::from_millis(200));
}

#[test]
fn final_answer_at_once() {
    let mut control = Limiter::new(policy());
    control.record_call();
    let advised = Some(Span::from_secs(30));
    assert_eq!(control.retry(1, advised, 0.5), None, "longer than max_wait");
    assert_eq!(control.retry(3, None, 0.5), None, "no attempts left");
    assert_eq!(control.retry(1, None, 0.5), Some(Span::from_millis(25)));
}

#[test]
fn changed_share() {
    let mut control = Limiter::new(policy());
    for _ in 0..4 {
        control.admit(at(0), Access::Write).unwrap();
    }
    let whole = Rates {
        reads: Rate(1000.0),
        writes: Rate(1000.0),
    };
    control.set_rates(at(0), whole);
    let wait = control.admit(at(0), Access::Write);
    assert_eq!(wait, Ok(Span::from_millis(1)));
}
