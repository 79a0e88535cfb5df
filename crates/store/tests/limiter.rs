//! Tests of the limiter before, during and after an outage.

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

/// Runs one attempt that completes immediately.
fn attempt(limiter: &mut Limiter, now: Mono, result: AttemptResult) -> Result<Span, Refusal> {
    let wait = limiter.admit(now, Access::Write)?;
    limiter.send(now + wait)?;
    limiter.record_result(now + wait, result, 0.0);
    Ok(wait)
}

fn opened() -> Limiter {
    let mut limiter = Limiter::new(policy());
    for _ in 0..5 {
        limiter.admit(at(0), Access::Read).unwrap();
        limiter.record_result(at(0), AttemptResult::Failed, 0.0);
    }
    limiter
}

#[test]
fn refused_in_outage() {
    let mut limiter = opened();
    let refused = limiter.admit(at(0), Access::Write);
    assert_eq!(refused, Err(Refusal::CircuitOpen(Span::from_millis(500))));
}

/// A call must not be sent when the breaker opened while it waited for the rate.
#[test]
fn opened_while_waiting() {
    let mut limiter = Limiter::new(policy());
    for _ in 0..5 {
        limiter.admit(at(0), Access::Write).unwrap();
    }
    for _ in 0..5 {
        limiter.record_result(at(0), AttemptResult::Failed, 0.0);
    }
    assert!(matches!(
        limiter.send(at(100)),
        Err(Refusal::CircuitOpen(_))
    ));
}

/// When an outage ends, a process must not send its accumulated burst immediately.
#[test]
fn slow_after_outage() {
    let mut limiter = opened();
    assert_eq!(
        attempt(&mut limiter, at(600), AttemptResult::Served),
        Ok(Span::ZERO)
    );
    // The wait is 100 ms at the full rate and 8 times as long at an eighth of it.
    let first = limiter.admit(at(600), Access::Write);
    assert_eq!(first, Ok(Span::from_millis(800)));
    let second = limiter.admit(at(600), Access::Write);
    assert_eq!(second, Err(Refusal::RateShare(Span::from_millis(1600))));
    assert!(limiter.admit(at(60_000), Access::Write).is_ok());
}

#[test]
fn bounded_retry_after() {
    let mut limiter = Limiter::new(Policy {
        rates: Rates {
            reads: Rate(0.1),
            writes: Rate(0.1),
        },
        ..policy()
    });
    for _ in 0..5 {
        limiter.record_result(at(0), AttemptResult::Failed, 0.0);
    }
    attempt(&mut limiter, at(600), AttemptResult::Served).unwrap();
    // At an eighth of the rate the wait would be 80 s, but the rate grows.
    let refused = limiter.admit(at(600), Access::Write);
    assert_eq!(refused, Err(Refusal::RateShare(Span::from_secs(20))));
}

#[test]
fn limited_by_service() {
    let mut limiter = Limiter::new(policy());
    for _ in 0..4 {
        attempt(&mut limiter, at(0), AttemptResult::Served).unwrap();
    }
    attempt(&mut limiter, at(1000), AttemptResult::Limited).unwrap();
    // The bucket had refilled to four tokens, of which one was taken. Three calls
    // need no wait, and the next one waits at half the rate.
    let waits: Vec<_> = (0..4)
        .map(|_| limiter.admit(at(1000), Access::Write).unwrap())
        .collect();
    assert_eq!(waits[..3], [Span::ZERO; 3]);
    assert_eq!(waits[3], Span::from_millis(200));
}

#[test]
fn no_useless_retry() {
    let mut limiter = Limiter::new(policy());
    limiter.record_call();
    let advised = Some(Span::from_secs(30));
    assert_eq!(
        limiter.retry(1, advised, 0.5),
        None,
        "longer than `max_wait`"
    );
    assert_eq!(limiter.retry(3, None, 0.5), None, "no attempts left");
    assert_eq!(limiter.retry(1, None, 0.5), Some(Span::from_millis(25)));
}

#[test]
fn changed_rates() {
    let mut limiter = Limiter::new(policy());
    for _ in 0..4 {
        limiter.admit(at(0), Access::Write).unwrap();
    }
    let rates = Rates {
        reads: Rate(1000.0),
        writes: Rate(1000.0),
    };
    limiter.set_rates(at(0), rates);
    let wait = limiter.admit(at(0), Access::Write);
    assert_eq!(wait, Ok(Span::from_millis(1)));
}
