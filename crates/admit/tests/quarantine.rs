//! Tests that a request which crashes every target is refused, and that requests
//! in flight at the same time are not.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use admit::quarantine::{Crash, CrashNumber, Entry, Quarantine, Verdict};
use base::{
    hash,
    id::{Fingerprint, Incarnation},
    span::Span,
    time::Mono,
};
use common::{at, target};

const TERM: Span = Span::from_secs(600);
const POISON: Fingerprint = Fingerprint(1);
const BYSTANDER: Fingerprint = Fingerprint(2);
const OTHER: Fingerprint = Fingerprint(3);

fn quarantine(incarnation: u64) -> Quarantine {
    Quarantine::new(TERM, Incarnation(incarnation))
}

/// Exchanges all entries between two processes, in both directions.
fn exchange(now: Mono, a: &mut Quarantine, b: &mut Quarantine) {
    for entry in a.entries(now) {
        b.merge(now, &entry);
    }
    for entry in b.entries(now) {
        a.merge(now, &entry);
    }
}

fn is_refused(quarantine: &Quarantine, now: Mono, fingerprint: Fingerprint) -> bool {
    matches!(quarantine.check(now, fingerprint), Verdict::Refused { .. })
}

#[test]
fn second_target_refuses() {
    let mut quarantine = quarantine(1);
    assert_eq!(quarantine.check(at(0), POISON), Verdict::Clear);
    quarantine.record_crash(at(0), &target(1), [POISON, BYSTANDER]);
    assert_eq!(quarantine.check(at(1), POISON), Verdict::Suspect);
    quarantine.record_crash(at(2), &target(2), [POISON, OTHER]);
    let expected = Verdict::Refused { remaining: TERM };
    assert_eq!(quarantine.check(at(2), POISON), expected);
    // The cause of the crashes is known, so the others are no longer suspected.
    assert_eq!(quarantine.check(at(2), BYSTANDER), Verdict::Clear);
    assert_eq!(quarantine.check(at(2), OTHER), Verdict::Clear);
}

#[test]
fn one_bad_target() {
    let mut quarantine = quarantine(1);
    for time in 0..5 {
        quarantine.record_crash(at(time), &target(1), [BYSTANDER]);
    }
    assert_eq!(quarantine.check(at(5), BYSTANDER), Verdict::Suspect);
}

/// A request that is retried from one to the other of two faulty targets, which
/// crash repeatedly without a cause in the requests, must not be refused.
#[test]
fn two_bad_targets() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [OTHER]);
    quarantine.record_crash(at(1), &target(2), [OTHER]);
    quarantine.record_completion(OTHER);
    quarantine.record_crash(at(2), &target(1), [BYSTANDER]);
    quarantine.record_crash(at(3), &target(2), [BYSTANDER]);
    assert_eq!(quarantine.check(at(4), BYSTANDER), Verdict::Suspect);
    // A request that causes crashes there is still refused, but later.
    quarantine.record_crash(at(5), &target(1), [POISON]);
    quarantine.record_crash(at(6), &target(2), [POISON]);
    assert!(!is_refused(&quarantine, at(6), POISON));
    quarantine.record_crash(at(7), &target(3), [POISON]);
    assert!(is_refused(&quarantine, at(7), POISON));
}

#[test]
fn completion_clears() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON, BYSTANDER]);
    quarantine.record_completion(BYSTANDER);
    assert_eq!(quarantine.check(at(1), BYSTANDER), Verdict::Clear);
    quarantine.record_crash(at(2), &target(2), [POISON, BYSTANDER]);
    assert!(is_refused(&quarantine, at(3), POISON));
    assert!(!is_refused(&quarantine, at(3), BYSTANDER));
}

#[test]
fn same_crashes_ambiguous() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON, BYSTANDER]);
    quarantine.record_crash(at(1), &target(2), [POISON, BYSTANDER]);
    assert_eq!(quarantine.check(at(2), POISON), Verdict::Ambiguous);
    assert_eq!(quarantine.check(at(2), BYSTANDER), Verdict::Ambiguous);
    assert!(!quarantine.may_start(at(2), POISON, &[BYSTANDER]));
    assert!(quarantine.may_start(at(2), POISON, &[OTHER, POISON]));
    assert!(quarantine.may_start(at(2), OTHER, &[BYSTANDER]));
    // Only one of the two is in flight at the next crash.
    quarantine.record_crash(at(3), &target(3), [POISON, OTHER]);
    assert!(is_refused(&quarantine, at(4), POISON));
    assert!(!quarantine.may_start(at(4), POISON, &[]));
    assert_eq!(quarantine.check(at(4), BYSTANDER), Verdict::Clear);
}

#[test]
fn completion_disambiguates() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON, BYSTANDER]);
    quarantine.record_crash(at(1), &target(2), [POISON, BYSTANDER]);
    quarantine.record_completion(BYSTANDER);
    assert!(is_refused(&quarantine, at(2), POISON));
    assert_eq!(quarantine.check(at(2), BYSTANDER), Verdict::Clear);
}

#[test]
fn two_causes() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON, OTHER]);
    quarantine.record_crash(at(1), &target(2), [POISON, OTHER]);
    quarantine.record_crash(at(2), &target(3), [POISON]);
    quarantine.record_crash(at(3), &target(4), [OTHER]);
    assert!(is_refused(&quarantine, at(4), POISON));
    assert!(is_refused(&quarantine, at(4), OTHER));
}

#[test]
fn other_router_refuses() {
    // Two agents, each of which recorded one crash, and a router.
    let (mut first, mut second, mut router) = (quarantine(1), quarantine(1), quarantine(1));
    first.record_crash(at(0), &target(1), [POISON, BYSTANDER]);
    second.record_crash(at(100), &target(2), [POISON, OTHER]);
    exchange(at(200), &mut first, &mut router);
    assert_eq!(router.check(at(200), POISON), Verdict::Suspect);
    exchange(at(300), &mut second, &mut router);
    assert!(is_refused(&router, at(300), POISON));
    assert!(is_refused(&second, at(300), POISON));
    assert!(!is_refused(&second, at(300), BYSTANDER));
}

#[test]
fn related_entries() {
    // Both suspects are resent to the same target. The entries that the router
    // sends along with one of them must cover both.
    let (mut first, mut second) = (quarantine(1), quarantine(1));
    first.record_crash(at(0), &target(1), [POISON, BYSTANDER]);
    first.record_crash(at(0), &target(9), [OTHER]);
    let related = first.related(at(0), BYSTANDER);
    assert_eq!(related.len(), 2);
    for entry in &related {
        second.merge(at(1), entry);
    }
    second.record_crash(at(2), &target(2), [POISON, BYSTANDER]);
    assert_eq!(second.check(at(2), BYSTANDER), Verdict::Ambiguous);
    assert_eq!(second.check(at(2), POISON), Verdict::Ambiguous);
    assert!(second.related(at(2), OTHER).is_empty());
}

#[test]
fn term_ends() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON]);
    quarantine.record_crash(at(1_000), &target(2), [POISON]);
    let end = at(1_000) + TERM;
    assert!(is_refused(&quarantine, Mono(end.0 - 1), POISON));
    assert_eq!(quarantine.check(end, POISON), Verdict::Clear);
    assert!(quarantine.entries(end).is_empty());
    // The old crashes no longer count.
    quarantine.record_crash(end, &target(3), [POISON]);
    assert_eq!(quarantine.check(end, POISON), Verdict::Suspect);
}

#[test]
fn exchange_keeps_term() {
    let (mut a, mut b) = (quarantine(1), quarantine(2));
    a.record_crash(at(0), &target(1), [POISON]);
    a.record_crash(at(0), &target(2), [POISON]);
    let delay = Span::from_millis(400);
    let mut now = at(0);
    // Messages take 400 ms and alternate between the two directions.
    while now < at(0) + TERM + Span::from_secs(2) {
        let entries = a.entries(now);
        now = now + delay;
        for entry in entries {
            b.merge(now, &entry);
        }
        std::mem::swap(&mut a, &mut b);
    }
    assert_eq!(a.check(now, POISON), Verdict::Clear);
    assert_eq!(b.check(now, POISON), Verdict::Clear);
}

#[test]
fn lift_propagates() {
    let (mut a, mut b) = (quarantine(1), quarantine(2));
    a.record_crash(at(0), &target(1), [POISON]);
    a.record_crash(at(0), &target(2), [POISON]);
    exchange(at(1), &mut a, &mut b);
    let stale = a.entries(at(1));
    assert!(!b.lift(at(2), OTHER));
    assert!(b.lift(at(2), POISON));
    assert_eq!(b.check(at(2), POISON), Verdict::Clear);
    exchange(at(3), &mut a, &mut b);
    assert_eq!(a.check(at(3), POISON), Verdict::Clear);
    // A delayed copy of the old entry does not restore it.
    for entry in &stale {
        a.merge(at(4), entry);
    }
    assert_eq!(a.check(at(4), POISON), Verdict::Clear);
    // Later crashes count, including those of the same targets.
    a.record_crash(at(5), &target(1), [POISON]);
    a.record_crash(at(6), &target(2), [POISON]);
    assert!(is_refused(&a, at(6), POISON));
}

#[test]
fn same_target_again() {
    // One of two suspects crashes a target for the second time. The other, which
    // was in flight only at the first crash there, must not be refused.
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON, BYSTANDER]);
    quarantine.record_crash(at(1), &target(2), [POISON, BYSTANDER]);
    quarantine.record_crash(at(2), &target(1), [POISON]);
    assert!(is_refused(&quarantine, at(3), POISON));
    assert_eq!(quarantine.check(at(3), BYSTANDER), Verdict::Clear);
}

#[test]
fn restarted_agent_counts() {
    let (mut before, mut router) = (quarantine(1), quarantine(1));
    before.record_crash(at(0), &target(1), [POISON]);
    exchange(at(0), &mut before, &mut router);
    router.lift(at(0), POISON);
    let mut after = quarantine(2);
    after.record_crash(at(1), &target(1), [POISON]);
    exchange(at(1), &mut after, &mut router);
    assert_eq!(router.check(at(1), POISON), Verdict::Suspect);
}

#[test]
fn wrong_remaining() {
    let mut quarantine = quarantine(1);
    let crash = |index| Crash {
        target: target(index),
        number: CrashNumber(1),
        repeated: false,
    };
    quarantine.merge(
        at(0),
        &Entry {
            fingerprint: POISON,
            crashes: BTreeSet::from([crash(1), crash(2)]),
            cleared: BTreeMap::new(),
            remaining: Span::from_micros(u64::MAX),
            verdict: Verdict::Clear,
        },
    );
    assert!(is_refused(&quarantine, at(0), POISON));
    assert_eq!(quarantine.check(at(0) + TERM, POISON), Verdict::Clear);
}

#[test]
fn bounded_memory() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON]);
    quarantine.record_crash(at(0), &target(2), [POISON]);
    for number in 0..5_000 {
        quarantine.record_crash(at(1), &target(3), [Fingerprint(100 + number)]);
    }
    assert!(quarantine.entries(at(1)).len() <= 4_096);
    assert!(is_refused(&quarantine, at(1), POISON));
}

/// Number of targets of the simulated service.
const TARGETS: usize = 12;

/// Number of routers of the simulated service. Their quarantines follow those of
/// the agents in the list.
const ROUTERS: usize = 4;

/// Maximum number of requests that run at a target at the same time.
const SLOTS: usize = 8;

/// Maximum number of attempts of one request, the first included.
const ATTEMPTS: usize = 3;

/// A simulated service that receives ordinary requests, and repeatedly one that
/// crashes its targets.
struct Service {
    seed: u64,
    draws: u64,
    /// The quarantine of each agent, then of each router.
    quarantines: Vec<Quarantine>,
    running: Vec<Vec<Request>>,
    /// When targets crashed.
    crashes: Vec<Mono>,
    refused: BTreeSet<Fingerprint>,
}

/// A request at a target.
#[derive(Clone, Copy)]
struct Request {
    fingerprint: Fingerprint,
    /// Index of the router through which it came.
    router: usize,
    /// Steps until it completes.
    remaining_steps: u64,
    /// 1 for the first attempt.
    attempt: usize,
}

impl Service {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            draws: 0,
            quarantines: (0..TARGETS + ROUTERS).map(|_| quarantine(1)).collect(),
            running: vec![Vec::new(); TARGETS],
            crashes: Vec::new(),
            refused: BTreeSet::new(),
        }
    }

    fn random_below(&mut self, below: usize) -> usize {
        self.draws += 1;
        (hash::mix(self.seed, self.draws) % below as u64) as usize
    }

    fn offer(&mut self, now: Mono, fingerprint: Fingerprint, remaining_steps: u64) {
        let router = TARGETS + self.random_below(ROUTERS);
        let request = Request {
            fingerprint,
            router,
            remaining_steps,
            attempt: 1,
        };
        self.start(now, request);
    }

    /// Starts a request at a random target that may run it.
    fn start(&mut self, now: Mono, request: Request) {
        let fingerprint = request.fingerprint;
        let refuses = |quarantine: &Quarantine| is_refused(quarantine, now, fingerprint);
        if refuses(&self.quarantines[request.router]) {
            self.refused.insert(fingerprint);
            return;
        }
        for _ in 0..50 {
            let index = self.random_below(TARGETS);
            self.send_related(now, request.router, index, fingerprint);
            if refuses(&self.quarantines[index]) {
                self.refused.insert(fingerprint);
                return;
            }
            let running = &self.running[index];
            let in_flight = running.iter().map(|request| &request.fingerprint);
            let may_start = self.quarantines[index].may_start(now, fingerprint, in_flight);
            if running.len() < SLOTS && may_start {
                self.running[index].push(request);
                return;
            }
        }
    }

    /// Sends the entries that are related to a fingerprint from one process to
    /// another.
    fn send_related(&mut self, now: Mono, from: usize, to: usize, fingerprint: Fingerprint) {
        for entry in self.quarantines[from].related(now, fingerprint) {
            self.quarantines[to].merge(now, &entry);
        }
    }

    /// Crashes a target and restarts its requests at other targets.
    fn crash(&mut self, now: Mono, index: usize, running: Vec<Request>) {
        self.crashes.push(now);
        let in_flight = running.iter().map(|request| request.fingerprint);
        self.quarantines[index].record_crash(now, &target(index as u32), in_flight);
        for request in running {
            self.send_related(now, index, request.router, request.fingerprint);
            if request.attempt < ATTEMPTS {
                let attempt = request.attempt + 1;
                self.start(now, Request { attempt, ..request });
            }
        }
    }

    /// Crashes the targets that run the poison request, and completes the
    /// requests that are due at the others.
    fn step(&mut self, now: Mono) {
        for index in 0..TARGETS {
            let running = std::mem::take(&mut self.running[index]);
            if running.iter().any(|request| request.fingerprint == POISON) {
                self.crash(now, index, running);
                continue;
            }
            for request in running {
                if request.remaining_steps == 0 {
                    self.quarantines[index].record_completion(request.fingerprint);
                } else {
                    let remaining_steps = request.remaining_steps - 1;
                    self.running[index].push(Request {
                        remaining_steps,
                        ..request
                    });
                }
            }
        }
    }

    /// Lets a number of random pairs of processes exchange their entries.
    fn exchange(&mut self, now: Mono, pairs: usize) {
        for _ in 0..pairs {
            let (a, b) = (
                self.random_below(TARGETS + ROUTERS),
                self.random_below(TARGETS + ROUTERS),
            );
            if let Ok([a, b]) = self.quarantines.get_disjoint_mut([a, b]) {
                exchange(now, a, b);
            }
        }
    }

    /// Runs 30 s in steps of 100 ms.
    fn run(&mut self, pairs: usize) {
        for round in 0..300 {
            let now = at(round * 100);
            // Few different contents, so each is in flight at many targets.
            for _ in 0..4 {
                let fingerprint = Fingerprint(100 + self.random_below(30) as u64);
                let remaining_steps = 5 + self.random_below(30) as u64;
                self.offer(now, fingerprint, remaining_steps);
            }
            if round % 5 == 4 {
                // The caller sends the poison request again under a new id.
                self.offer(now, POISON, 100);
            }
            self.step(now);
            self.exchange(now, pairs);
        }
    }
}

/// Simulates the service with `pairs` exchanges in each step, and checks that only
/// the poison request is refused.
fn check_service(pairs: usize) {
    for seed in 0..50 {
        let mut service = Service::new(seed);
        service.run(pairs);
        let expected = BTreeSet::from([POISON]);
        assert_eq!(service.refused, expected, "seed {seed}");
        let last = service.crashes.last().unwrap();
        let duration = last.since(service.crashes[1]);
        // A decision of any process must take effect everywhere within 10 s.
        assert!(
            duration < Span::from_secs(10),
            "seed {seed}: for {duration}"
        );
    }
}

#[test]
fn fast_exchange() {
    // Every process takes part in about two exchanges per step.
    check_service(16);
}

#[test]
fn slow_exchange() {
    // Every process takes part in about one exchange per second.
    check_service(1);
}
