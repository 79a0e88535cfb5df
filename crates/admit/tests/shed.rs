//! Requests that are refused because of the load.

use admit::{
    shares::TeamShares,
    shed::{self, RequestInfo},
};
use base::{
    id::{ServiceId, TeamId},
    span::Span,
    time::Mono,
};

const ORDER: RequestInfo = RequestInfo {
    rank: 2,
    share: 1.0,
    wanted_time: Span::from_millis(300),
    remaining: Span::from_millis(3_000),
};

#[test]
fn engines_by_urgency() {
    assert_eq!(shed::engine_fraction(60.0, ORDER), 0.0);
    assert_eq!(shed::engine_fraction(120.0, ORDER), 1.0);
    let urgent = RequestInfo { rank: 0, ..ORDER };
    let part = shed::engine_fraction(80.0, ORDER);
    assert!(part > shed::engine_fraction(80.0, urgent));
    assert!(
        part < 1.0,
        "no kind is refused altogether before the others"
    );
}

/// A team with more than its share is refused sooner, one with less later.
#[test]
fn shares_of_teams() {
    let with = |share| shed::engine_fraction(80.0, RequestInfo { share, ..ORDER });
    assert!(with(2.0) > with(1.0) && with(1.0) > with(0.2));
    assert_eq!(with(9.0), with(2.0));
    let [large, small] = ["large", "small"].map(|team| team.parse::<TeamId>().expect("an id"));
    let service: ServiceId = "model".parse().expect("an id");
    let mut shares = TeamShares::default();
    let at = |millis| Mono(0) + Span::from_millis(millis);
    assert_eq!(shares.relative_share(at(0), &service, &small), 1.0);
    for millis in 0..90 {
        shares.record(at(millis), &service, &large);
    }
    for millis in 0..10 {
        shares.record(at(millis), &service, &small);
    }
    let ratio = |team| shares.relative_share(at(100), &service, team);
    assert!(ratio(&large) > 1.7 && ratio(&small) < 0.3);
    assert!(shares.relative_share(at(20_000), &service, &large) < 1.1);
}

/// A response that would be late is refused, also where nothing is in time.
#[test]
fn plain_in_time() {
    let work = Span::from_millis(60);
    assert_eq!(shed::plain_fraction(work, 1.0, ORDER), 0.0);
    assert_eq!(shed::plain_fraction(work, 2.5, ORDER), 0.0);
    assert_eq!(shed::plain_fraction(work, 5.0, ORDER), 1.0);
    let slow = Span::from_millis(500);
    assert_eq!(shed::plain_fraction(slow, 1.0, ORDER), 0.0);
    assert_eq!(shed::plain_fraction(slow, 2.5, ORDER), 1.0);
}

/// A small excess is over soon, a large one late; callers are spread.
#[test]
fn times_to_return() {
    let soon = shed::retry_after(0.05, ORDER, 0.0);
    let late = shed::retry_after(0.9, ORDER, 0.0);
    assert!(soon < Span::from_millis(250), "{soon}");
    assert!(late > Span::from_millis(900), "{late}");
    assert!(late <= Span::from_millis(1_000), "{late}");
    assert!(shed::retry_after(0.9, ORDER, 1.0) < late);
}

/// A queue that the excess of a tenth fills: without refusing, all are late by
/// the whole queue; with it, nearly all that are taken are in time.
#[test]
fn queue_replayed() {
    const SLOTS: u32 = 6;
    const PLACES: u32 = 30;
    let work = Span::from_millis(60);
    let run = |sheds: bool| {
        let (mut timely, mut late) = (0, 0);
        let mut load = 0.0_f64;
        // Time steps of 10 ms: a target of six slots ends one request in each.
        for step in 0..1_000_u32 {
            load = (load - 1.0).max(0.0);
            for arrival in 0..(1 + u32::from(step % 10 == 0)) {
                let rounds = shed::rounds(load as u32, SLOTS);
                let random = f64::from((step * 7 + arrival * 3) % 10) / 10.0;
                if sheds && random < shed::plain_fraction(work, rounds, ORDER) {
                    continue;
                }
                if load as u32 >= PLACES {
                    continue;
                }
                load += 1.0;
                match work.as_secs_f64() * rounds < ORDER.wanted_time.as_secs_f64() {
                    true => timely += 1,
                    false => late += 1,
                }
            }
        }
        (timely, late)
    };
    let (all, some) = (run(false), run(true));
    println!("taken (timely, late): {all:?}, shed: {some:?}");
    assert!(some.0 > all.0 * 3 / 2);
    assert!(some.1 * 20 < all.1);
}
