//! Tests of the rate limit: all processes together must stay within the platform's
//! rate, including after an outage.

use base::{rate::Rate, span::Span, time::Mono};
use store::{bucket::TokenBucket, rates::Rates, slow_start};

fn at(millis: u64) -> Mono {
    Mono(millis * 1000)
}

const RATES: Rates = Rates {
    reads: Rate(2000.0),
    writes: Rate(400.0),
};

#[test]
fn equal_share() {
    let share = RATES.equal_share(400);
    assert_eq!((share.reads, share.writes), (Rate(5.0), Rate(1.0)));
    assert_eq!(
        RATES.equal_share(0),
        RATES,
        "a single process has the full rate"
    );
    let weighted = RATES.weighted_share(10.0, 100.0);
    assert_eq!(weighted.writes, Rate(40.0));
    assert_eq!(
        RATES.weighted_share(10.0, 1.0),
        RATES,
        "never more than the full rate"
    );
}

#[test]
fn reserved_tokens() {
    let mut bucket = TokenBucket::new(Rate(10.0), 2);
    let max_wait = Span::from_millis(250);
    let waits: Vec<_> = (0..5).map(|_| bucket.reserve(at(0), max_wait)).collect();
    let millis = Span::from_millis;
    assert_eq!(
        waits,
        [
            Ok(millis(0)),
            Ok(millis(0)),
            Ok(millis(100)),
            Ok(millis(200)),
            Err(millis(300)),
        ]
    );
    assert_eq!(bucket.reserve(at(300), max_wait), Ok(millis(0)));
}

#[test]
fn changed_rate() {
    let mut bucket = TokenBucket::new(Rate(10.0), 1);
    let max_wait = Span::from_secs(10);
    assert_eq!(bucket.reserve(at(0), max_wait), Ok(Span::ZERO));
    bucket.set_rate(at(0), Rate(1.0));
    assert_eq!(bucket.reserve(at(0), max_wait), Ok(Span::from_secs(1)));
    bucket.set_rate(at(0), Rate(100.0));
    assert_eq!(bucket.reserve(at(0), max_wait), Ok(Span::from_millis(20)));
}

#[test]
fn drained_burst() {
    let mut bucket = TokenBucket::new(Rate(10.0), 50);
    bucket.drain(at(0), 0.5);
    assert_eq!(
        bucket.reserve(at(0), Span::from_secs(1)),
        Ok(Span::from_millis(50))
    );
}

#[test]
fn slow_start() {
    let mut slow_start = slow_start::SlowStart::new(Span::from_secs(8));
    assert_eq!(slow_start.fraction(at(0)), 1.0);
    slow_start.restart(at(0));
    let levels: Vec<f64> = [0, 1000, 3000, 7000, 60_000]
        .map(|millis| slow_start.fraction(at(millis)))
        .to_vec();
    assert_eq!(levels, [0.125, 0.25, 0.5, 1.0, 1.0]);
}

#[test]
fn halved_rate() {
    let mut slow_start = slow_start::SlowStart::new(Span::from_secs(8));
    slow_start.halve(at(0));
    assert_eq!(slow_start.fraction(at(0)), 0.5);
    for _ in 0..10 {
        slow_start.halve(at(0));
    }
    assert_eq!(
        slow_start.fraction(at(0)),
        slow_start::MIN_FRACTION,
        "the rate never drops to zero"
    );
}
