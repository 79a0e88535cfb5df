//! Simulates bursts at a plain service, with the times after which refused callers
//! return.

use std::{cmp::Reverse, collections::BinaryHeap};

use admit::{
    returns::{Backlog, Returns},
    shed,
};
use base::{id::ServiceId, span::Span, time::Mono};
use rand::{RngExt, SeedableRng, rngs::ChaCha8Rng};

/// Number of targets of the plain service, their slots and the mean time of a
/// request.
const TARGETS: usize = 14;
const SLOTS: u32 = 6;
const WORK_MS: f64 = 40.0;

/// Number of routers, each of which knows the loads and its own completions.
const ROUTERS: usize = 23;

/// Desired time of a request and the time after which its caller leaves.
const GOAL_MS: f64 = 120.0;
const LIMIT_MS: f64 = 2_500.0;

#[derive(Clone, Copy, Debug, Default)]
struct PlainReport {
    requests: u32,
    timely: u32,
    late: u32,
    refused: u32,
}

impl PlainReport {
    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            timely: self.timely + other.timely,
            late: self.late + other.late,
            refused: self.refused + other.refused,
        }
    }
}

/// Simulates a plain service that is used by `usual` of its capacity, and by `times`
/// of that for `length` from 2 s on.
fn plain(seed: u64, usual: f64, length: f64, times: f64, assigns: bool, again: u32) -> PlainReport {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let capacity = TARGETS as f64 * f64::from(SLOTS) / WORK_MS;
    let mut arrivals = BinaryHeap::new();
    let mut now = 0.0;
    while now < 8_000.0 {
        let is_burst = (2_000.0..2_000.0 + length).contains(&now);
        let rate = capacity * usual * if is_burst { times } else { 1.0 };
        now -= random.random_range(f64::EPSILON..1.0_f64).ln() / rate;
        arrivals.push(Reverse(((now * 1e3) as u64, (now * 1e3) as u64, 0)));
    }
    let mut report = PlainReport::default();
    let service: ServiceId = "plain".parse().expect("an id");
    let mut routers = vec![Returns::default(); ROUTERS];
    // Times at which slots are free, and ends and routers of requests, by target.
    let mut free = vec![vec![0.0_f64; SLOTS as usize]; TARGETS];
    let mut ends: Vec<Vec<(f64, usize)>> = vec![Vec::new(); TARGETS];
    let span = |millis: f64| Span::from_micros((millis.max(0.0) * 1e3) as u64);
    while let Some(Reverse((at, start, tries))) = arrivals.pop() {
        let now = at as f64 / 1e3;
        let clock = Mono(at);
        for ends in &mut ends {
            for (_, router) in ends.extract_if(.., |(end, _)| *end <= now) {
                routers[router].record_completion(clock, &service);
            }
        }
        report.requests += u32::from(tries == 0);
        let router = random.random_range(0..ROUTERS);
        let pair = [0, 1].map(|_| random.random_range(0..TARGETS));
        let target = pair.into_iter().min_by_key(|target| ends[*target].len());
        let target = target.expect("there are targets");
        let request = shed::RequestInfo {
            rank: 2,
            share: 1.0,
            latency_goal: span(GOAL_MS),
            remaining: span(LIMIT_MS - (now - start as f64 / 1e3)),
        };
        let rounds = shed::rounds(ends[target].len() as u32, SLOTS);
        let part = shed::plain_fraction(span(WORK_MS), rounds, request);
        if random.random::<f64>() < part {
            if tries >= again {
                report.refused += 1;
                continue;
            }
            let usual = shed::retry_after(part, request, random.random());
            let load: usize = ends.iter().map(Vec::len).sum();
            let backlog = Backlog {
                requests: load.saturating_sub(TARGETS * SLOTS as usize) as f64,
                routers: ROUTERS as u32,
            };
            let spread = random.random();
            let assigned = match assigns {
                true => routers[router].assign(clock, &service, backlog, request.remaining, spread),
                false => None,
            };
            let after = assigned.unwrap_or(usual).as_micros();
            if now + after as f64 / 1e3 - start as f64 / 1e3 > LIMIT_MS {
                report.refused += 1;
                continue;
            }
            arrivals.push(Reverse((at + after, start, tries + 1)));
            continue;
        }
        let slot = free[target].iter_mut().min_by(|a, b| a.total_cmp(b));
        let slot = slot.expect("there are slots");
        let end = slot.max(now) + WORK_MS * random.random_range(0.6..1.4);
        *slot = end;
        ends[target].push((end, router));
        match end - start as f64 / 1e3 <= GOAL_MS {
            true => report.timely += 1,
            false => report.late += 1,
        }
    }
    report
}

/// Where callers return by the backlog, fewer requests of a burst are refused in the
/// end, and about as many responses or more are in time. `again` is how often a caller
/// returns.
#[test]
fn bursts() {
    let patterns = [
        (0.6, 1_000.0, 2.0),
        (0.6, 2_000.0, 2.0),
        (0.8, 1_000.0, 1.5),
        (0.8, 1_000.0, 3.0),
        (0.6, 6_000.0, 2.0),
    ];
    for again in [1, 4] {
        for (usual, length, times) in patterns {
            let [usually, assigned] = [false, true].map(|assigns| {
                let reports =
                    (11..=13).map(|seed| plain(seed, usual, length, times, assigns, again));
                reports.fold(PlainReport::default(), PlainReport::add)
            });
            println!("{usual} {length} x{times} again {again}: {usually:?} {assigned:?}");
            assert!(assigned.refused <= usually.refused);
            assert!(assigned.timely * 100 >= usually.timely * 99);
        }
    }
}
