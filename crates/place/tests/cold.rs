//! The limit of a cold target, with routers that are cut off, start and die.

use std::collections::VecDeque;

use base::{hash, span::Span, time::Mono};
use place::cold::{self, DISCOVERY_TIME, Member, Members, Sends};
use proptest::prelude::*;

const TARGET: u64 = 77;
const STEP_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 200;
const TIMEOUT_MS: u64 = 2_000;
const LENGTH_MS: u64 = 24_000;

/// Longest time in which a request arrives, in milliseconds.
const MAX_DELAY_MS: u64 = 40;

/// Longest time in which a connection opens, in milliseconds.
const MAX_CONNECT_MS: u64 = 400;

/// Longest time until a router learns that the target has become cold, in
/// milliseconds.
const MAX_NOTICE_MS: u64 = 700;

/// Number of groups that are cut off from one another.
const GROUPS: u64 = 4;

/// Requests that a router sends in each step to a target that is not cold.
const WARM_SENDS: u32 = 2;

/// Time after the latest event from which the routers agree again: the timeout of a
/// peer, and the time in which a router that has started sends nothing.
const CALM_MS: u64 = 5_500;

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

/// A reproducible source of random numbers.
struct Random(u64);

impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = hash::mix(self.0, 1);
        self.0 % below.max(1)
    }
}

#[derive(Clone, Debug)]
struct Router {
    is_alive: bool,
    started: u64,
    group: u64,
    /// When each other router was heard from.
    heard: Vec<Option<u64>>,
    sends: Sends,
    /// When requests that wait for a connection are sent.
    opening: Vec<u64>,
    /// When the router learns that the target is cold.
    notices: u64,
}

struct Simulation {
    routers: Vec<Router>,
    random: Random,
    limit: f64,
    arrivals: Vec<u64>,
    last_event: u64,
    /// Whether the target is cold, and since when all routers know.
    is_cold: bool,
    known_since: u64,
    /// Seconds within these times must keep the limit.
    cold: Vec<(u64, u64)>,
}

impl Simulation {
    fn new(count: usize, limit: f64, seed: u64) -> Self {
        let router = Router {
            is_alive: true,
            started: 0,
            group: 0,
            heard: vec![None; count],
            sends: Sends::default(),
            opening: Vec::new(),
            notices: 0,
        };
        Self {
            routers: vec![router; count],
            random: Random(seed),
            limit,
            arrivals: Vec::new(),
            last_event: 0,
            is_cold: true,
            known_since: 0,
            cold: Vec::new(),
        }
    }

    /// Cuts groups off or joins them, or stops or starts some of the routers.
    fn change(&mut self, now: u64) {
        self.last_event = now;
        let kind = self.random.next(4);
        let share = self.random.next(100);
        for index in 0..self.routers.len() {
            let is_hit = self.random.next(100) < share;
            let router = &mut self.routers[index];
            match kind {
                0 => router.group = if is_hit { self.random.next(GROUPS) } else { 0 },
                1 => router.group = 0,
                2 if is_hit => router.is_alive = false,
                _ if is_hit => {
                    *router = Router {
                        is_alive: true,
                        started: now,
                        group: router.group,
                        heard: vec![None; router.heard.len()],
                        sends: Sends::default(),
                        opening: Vec::new(),
                        notices: router.notices,
                    }
                }
                _ => {}
            }
        }
    }

    fn exchange(&mut self, now: u64) {
        for from in 0..self.routers.len() {
            for to in 0..self.routers.len() {
                let reaches = self.routers[from].is_alive
                    && self.routers[from].group == self.routers[to].group;
                if reaches && self.random.next(10) > 0 {
                    self.routers[to].heard[from] = Some(now);
                }
            }
        }
    }

    /// Turns the target cold or warm. All routers know that it is warm before it
    /// is, and that it is cold some time after.
    fn turn(&mut self, now: u64) {
        if self.is_cold {
            self.cold.push((self.known_since, now));
        }
        self.is_cold = !self.is_cold;
        self.known_since = now + MAX_NOTICE_MS;
        self.last_event = now;
        for router in &mut self.routers {
            router.notices = now + self.random.next(MAX_NOTICE_MS);
        }
    }

    fn send(&mut self, now: u64) {
        for index in 0..self.routers.len() {
            if !self.routers[index].is_alive {
                continue;
            }
            let members = self.members(index, now);
            let random = &mut self.random;
            let router = &mut self.routers[index];
            let due = router.opening.extract_if(.., |due| *due <= now);
            for due in due.collect::<Vec<_>>() {
                router.sends.record(at(due));
                self.arrivals.push(due + random.next(MAX_DELAY_MS));
            }
            let age = Span::from_millis(now - router.started);
            let sends = &mut router.sends;
            let left = cold::allowance(&members, age, TARGET, self.limit, at(now), sends);
            let requests = match self.is_cold && router.notices <= now {
                true => left,
                false => WARM_SENDS,
            };
            for _ in 0..requests {
                sends.reserve();
                if random.next(4) == 0 {
                    router.opening.push(now + random.next(MAX_CONNECT_MS));
                } else {
                    sends.record(at(now));
                    self.arrivals.push(now + random.next(MAX_DELAY_MS));
                }
            }
        }
    }

    fn members(&self, own: usize, now: u64) -> Members {
        let address = |index: usize| hash::mix(index as u64, 5);
        let heard = self.routers[own].heard.iter().enumerate();
        let others = heard.filter(|(index, _)| *index != own);
        Members {
            own: address(own),
            others: others
                .map(|(index, heard)| Member {
                    address: address(index),
                    live: heard.is_some_and(|heard| now - heard < TIMEOUT_MS),
                })
                .collect(),
            listed: true,
        }
    }

    fn is_majority_together(&self) -> bool {
        let in_group = |group| {
            let alive = self.routers.iter().filter(|router| router.is_alive);
            alive.filter(|router| router.group == group).count()
        };
        let largest = (0..GROUPS).map(in_group).max().unwrap_or_default();
        2 * largest > self.routers.len()
    }

    /// Runs all steps, and returns the least number of requests that arrived within
    /// two seconds while the routers agreed and a majority was together.
    fn run(&mut self) -> Option<u64> {
        let mut least = None;
        // In some cases changes follow one another within a second.
        let interval = [2, 6, 12][self.random.next(3) as usize];
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            if now % 500 == 0 && self.random.next(interval) == 0 {
                self.change(now);
            }
            if now % 500 == 0 && self.random.next(16) == 0 {
                self.turn(now);
            }
            if now % HEARTBEAT_MS == 0 {
                self.exchange(now);
            }
            self.send(now);
            let is_calm =
                self.is_cold && now - self.last_event > CALM_MS && self.is_majority_together();
            if is_calm {
                let recent = self
                    .arrivals
                    .iter()
                    .filter(|arrival| **arrival + 2_000 > now);
                let count = recent.count() as u64;
                least = Some(least.unwrap_or(count).min(count));
            }
        }
        if self.is_cold {
            self.cold.push((self.known_since, LENGTH_MS));
        }
        least
    }

    /// Returns the largest number of requests that arrived within a second while the
    /// target was cold and the routers knew. Requests that were sent before then
    /// arrive up to a connection's time later.
    fn busiest_second(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let mut most = 0;
        for (begin, end) in &self.cold {
            let begin = begin + MAX_CONNECT_MS + MAX_DELAY_MS;
            let mut window = VecDeque::new();
            let arrivals = self.arrivals.iter();
            for arrival in arrivals.filter(|arrival| (begin..*end).contains(arrival)) {
                while window.front().is_some_and(|first| arrival - first >= 1_000) {
                    window.pop_front();
                }
                window.push_back(*arrival);
                most = most.max(window.len());
            }
        }
        most
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// In no second does a cold target get more requests than it bears, whoever is
    /// cut off, starts or dies; while a majority is together, it gets the part that
    /// is divided among them.
    #[test]
    fn limit_holds(
        count in prop_oneof![8 => 3_usize..40, 2 => 40_usize..110, 1 => 300_usize..=360],
        limit in prop_oneof![Just(26.0), 2.0..80.0],
        seed: u64,
    ) {
        let mut simulation = Simulation::new(count, limit, seed);
        let least = simulation.run();
        let most = simulation.busiest_second();
        prop_assert!(most as f64 <= limit, "{most} of {limit}");
        if let Some(least) = least {
            let divided = (limit / 2.0) as u64;
            prop_assert!(least >= divided, "{least} of {divided} in two seconds");
        }
    }
}

fn members(others: u64, live: u64) -> Members {
    let other = |index| Member {
        address: hash::mix(index, 9),
        live: index < live,
    };
    Members {
        own: 1,
        others: (0..others).map(other).collect(),
        listed: true,
    }
}

/// A router that does not know the others yet, or may follow a process that has
/// used the share, sends nothing.
#[test]
fn just_started() {
    let quota = |members: &Members, age| {
        let age = Span::from_millis(age);
        cold::quota(members, age, TARGET, 26.0).requests
    };
    assert_eq!(quota(&members(0, 0), 500), 0);
    assert_eq!(quota(&members(0, 0), 1_100), 13);
    let alone = quota(&members(5, 0), DISCOVERY_TIME.as_millis() - 1);
    assert_eq!(alone, 0, "five others are listed, none was heard from");
    let unread = Members {
        listed: false,
        ..members(0, 0)
    };
    assert_eq!(quota(&unread, 60_000), 0);
}

/// With a limit under two a second, one router sends one request in two seconds.
#[test]
fn small_limit() {
    let mut total = 0;
    for own in 0..9 {
        let others = (0..9).filter(|other| *other != own);
        let members = Members {
            own,
            others: others
                .map(|address| Member {
                    address,
                    live: true,
                })
                .collect(),
            listed: true,
        };
        let quota = cold::quota(&members, Span::from_secs(60), TARGET, 1.0);
        assert!(quota.window >= Span::from_secs(2));
        total += quota.requests;
    }
    assert_eq!(total, 1);
    let none = cold::quota(&members(0, 0), Span::from_secs(60), TARGET, 0.0);
    assert_eq!(none.requests, 0);
}

/// A request that waits for its connection uses a share until a second after it was
/// sent, so that it cannot arrive together with later ones.
#[test]
fn delayed_send() {
    let mut sends = Sends::default();
    let second = Span::from_secs(1);
    sends.reserve();
    assert_eq!(sends.count(at(1_400), second), 1);
    sends.record(at(1_400));
    assert_eq!(sends.count(at(2_399), second), 1);
    assert_eq!(sends.count(at(2_400), second), 0);
    sends.reserve();
    sends.release();
    assert_eq!(sends.count(at(2_500), second), 0);
}
