//! Tests load shedding and the shares of teams that it uses.

use admit::{
    shares::TeamShares,
    shed::{self, RequestInfo},
};
use base::{
    id::{ServiceId, TeamId},
    span::Span,
    time::Mono,
};

const REQUEST: RequestInfo = RequestInfo {
    rank: 2,
    share: 1.0,
    latency_goal: Span::from_millis(300),
    remaining: Span::from_millis(3_000),
};

#[test]
fn engines_by_urgency() {
    assert_eq!(shed::engine_fraction(60.0, REQUEST), 0.0);
    assert_eq!(shed::engine_fraction(120.0, REQUEST), 1.0);
    let urgent = RequestInfo { rank: 0, ..REQUEST };
    let part = shed::engine_fraction(80.0, REQUEST);
    assert!(part > shed::engine_fraction(80.0, urgent));
    assert!(
        part < 1.0,
        "no kind of request is refused completely before the others"
    );
}

/// Requests of a team above its share are refused at a lower utilization, those
/// of a team below it at a higher one.
#[test]
fn team_shares() {
    let with = |share| shed::engine_fraction(80.0, RequestInfo { share, ..REQUEST });
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

/// Requests whose response would be late are refused. Where no response can be in
/// time, those within two rounds are still admitted.
#[test]
fn late_plain_refused() {
    let work = Span::from_millis(60);
    assert_eq!(shed::plain_fraction(work, 1.0, REQUEST), 0.0);
    assert_eq!(shed::plain_fraction(work, 2.5, REQUEST), 0.0);
    assert_eq!(shed::plain_fraction(work, 5.0, REQUEST), 1.0);
    let slow = Span::from_millis(500);
    assert_eq!(shed::plain_fraction(slow, 1.0, REQUEST), 0.0);
    assert_eq!(shed::plain_fraction(slow, 2.5, REQUEST), 1.0);
}

/// Callers retry soon after a small overload and later after a severe one, and the
/// random number varies the time.
#[test]
fn retry_times() {
    let soon = shed::retry_after(0.05, REQUEST, 0.0);
    let late = shed::retry_after(0.9, REQUEST, 0.0);
    assert!(soon < Span::from_millis(250), "{soon}");
    assert!(late > Span::from_millis(900), "{late}");
    assert!(late <= Span::from_millis(1_000), "{late}");
    assert!(shed::retry_after(0.9, REQUEST, 1.0) < late);
}

/// Ten percent too many requests fill a queue. Without load shedding nearly all
/// responses are then late by the time of the full queue; with it nearly all
/// admitted requests are answered in time.
#[test]
fn short_queue() {
    const SLOTS: u32 = 6;
    const QUEUE_LIMIT: u32 = 30;
    let work = Span::from_millis(60);
    let run = |sheds: bool| {
        let (mut in_time, mut late) = (0, 0);
        let mut load = 0.0_f64;
        // Each step is 10 ms, in which a target with six slots finishes one
        // request.
        for step in 0..1_000_u32 {
            load = (load - 1.0).max(0.0);
            for arrival in 0..(1 + u32::from(step % 10 == 0)) {
                let rounds = shed::rounds(load as u32, SLOTS);
                let random = f64::from((step * 7 + arrival * 3) % 10) / 10.0;
                if sheds && random < shed::plain_fraction(work, rounds, REQUEST) {
                    continue;
                }
                if load as u32 >= QUEUE_LIMIT {
                    continue;
                }
                load += 1.0;
                match work.as_secs_f64() * rounds < REQUEST.latency_goal.as_secs_f64() {
                    true => in_time += 1,
                    false => late += 1,
                }
            }
        }
        (in_time, late)
    };
    let (all, some) = (run(false), run(true));
    println!("admitted (in time, late): {all:?}, with load shedding: {some:?}");
    assert!(some.0 > all.0 * 3 / 2);
    assert!(some.1 * 20 < all.1);
}
