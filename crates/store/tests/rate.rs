//! Guards the rate limit: all processes together must stay within the
//! platform's rate, also when an outage ends.

use base::{rate::Rate, span::Span, time::Mono};
use store::{bucket::Bucket, ramp, share::Rates};

fn at(millis: u64) -> Mono {
    Mono(millis * 1000)
}

const RATES: Rates = Rates {
    reads: Rate(2000.0),
    writes: Rate(400.0),
};

#[test]
fn equal_share() {
    let share = RATES.equal(400);
    assert_eq!((share.reads, share.writes), (Rate(5.0), Rate(1.0)));
    assert_eq!(RATES.equal(0), RATES, "a lone process has the whole rate");
    let part = RATES.part(10.0, 100.0);
    assert_eq!(part.writes, Rate(40.0));
    assert_eq!(RATES.part(10.0, 1.0), RATES, "never more than the whole");
}

#[test]
fn reserved_tokens() {
    let mut bucket = Bucket::new(Rate(10.0), 2);
    let patience = Span::from_millis(250);
    let waits: Vec<_> = (0..5).map(|_| bucket.take(at(0), patience)).collect();
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
    assert_eq!(bucket.take(at(300), patience), Ok(millis(0)));
}

#[test]
fn changed_rate() {
    let mut bucket = Bucket::new(Rate(10.0), 1);
    let patience = Span::from_secs(10);
    assert_eq!(bucket.take(at(0), patience), Ok(Span::ZERO));
    bucket.set(at(0), Rate(1.0));
    assert_eq!(bucket.take(at(0), patience), Ok(Span::from_secs(1)));
    bucket.set(at(0), Rate(100.0));
    assert_eq!(bucket.take(at(0), patience), Ok(Span::from_millis(20)));
}

#[test]
fn drained_burst() {
    let mut bucket = Bucket::new(Rate(10.0), 50);
    bucket.drain(at(0), 0.5);
    assert_eq!(
        bucket.take(at(0), Span::from_secs(1)),
        Ok(Span::from_millis(50))
    );
}

#[test]
fn slow_start() {
    let mut ramp = ramp::Ramp::new(Span::from_secs(8));
    assert_eq!(ramp.level(at(0)), 1.0);
    ramp.restart(at(0));
    let levels: Vec<f64> = [0, 1000, 3000, 7000, 60_000]
        .map(|millis| ramp.level(at(millis)))
        .to_vec();
    assert_eq!(levels, [0.125, 0.25, 0.5, 1.0, 1.0]);
}

#[test]
fn halved_rate() {
    let mut ramp = ramp::Ramp::new(Span::from_secs(8));
    ramp.halve(at(0));
    assert_eq!(ramp.level(at(0)), 0.5);
    for _ in 0..10 {
        ramp.halve(at(0));
    }
    assert_eq!(ramp.level(at(0)), ramp::FLOOR, "it never stops altogether");
}
