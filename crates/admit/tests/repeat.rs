//! The budget of repeats of all routers together.

use admit::repeat::{Repeats, Rule};
use base::{id::ServiceId, span::Span, time::Mono};

const RULE: Rule = Rule {
    ratio: 0.2,
    allowance: 58,
    window: Span::from_secs(10),
};

/// Six routers whose targets refuse everything stay within the bound in every
/// window, whatever their shares of the traffic.
#[test]
fn fleet_bound() {
    let service: ServiceId = "s".parse().expect("an id");
    let mut routers: Vec<_> = (0..6).map(|_| Repeats::new(RULE)).collect();
    let mut events: Vec<(u64, bool)> = Vec::new();
    for step in 0..4_000_u64 {
        let now = Mono(step * 10_000);
        let router = &mut routers[(step * step % 11 % 6) as usize];
        router.first(now, &service);
        events.push((now.0, false));
        for _ in 0..3 {
            if router.repeat(now, &service, 6) {
                events.push((now.0, true));
            }
        }
    }
    let window = RULE.window.as_micros();
    for (start, _) in events.iter().step_by(50) {
        let inside = events
            .iter()
            .filter(|(at, _)| (*start..start + window).contains(at));
        let (repeats, firsts): (Vec<_>, Vec<_>) = inside.copied().partition(|(_, repeat)| *repeat);
        let most = RULE.ratio * firsts.len() as f64 + f64::from(RULE.allowance);
        assert!(repeats.len() as f64 <= most, "{} of {most}", repeats.len());
    }
}

#[test]
fn small_traffic() {
    let service: ServiceId = "s".parse().expect("an id");
    let mut repeats = Repeats::new(RULE);
    repeats.first(Mono(0), &service);
    assert!(repeats.repeat(Mono(1), &service, 6));
    let other: ServiceId = "other".parse().expect("an id");
    assert!(repeats.repeat(Mono(1), &other, 6));
}

#[test]
fn window_slides() {
    let service: ServiceId = "s".parse().expect("an id");
    let mut repeats = Repeats::new(RULE);
    let taken = (0..100)
        .filter(|_| repeats.repeat(Mono(0), &service, 1))
        .count();
    assert_eq!(taken, 29);
    assert!(!repeats.repeat(Mono(9_000_000), &service, 1));
    assert!(repeats.repeat(Mono(11_000_000), &service, 1));
}
