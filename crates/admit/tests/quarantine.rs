//! Guards the targets against a request that crashes each of them, and the
//! requests beside it against being taken for it.

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
const BESIDE: Fingerprint = Fingerprint(2);
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
    quarantine.record_crash(at(0), &target(1), [POISON, BESIDE]);
    assert_eq!(quarantine.check(at(1), POISON), Verdict::Suspect);
    quarantine.record_crash(at(2), &target(2), [POISON, OTHER]);
    let expected = Verdict::Refused { remaining: TERM };
    assert_eq!(quarantine.check(at(2), POISON), expected);
    // Its crashes are explained, so the others are not under suspicion.
    assert_eq!(quarantine.check(at(2), BESIDE), Verdict::Clear);
    assert_eq!(quarantine.check(at(2), OTHER), Verdict::Clear);
}

#[test]
fn one_bad_target() {
    let mut quarantine = quarantine(1);
    for time in 0..5 {
        quarantine.record_crash(at(time), &target(1), [BESIDE]);
    }
    assert_eq!(quarantine.check(at(5), BESIDE), Verdict::Suspect);
}

/// Two targets that crash by themselves, again and again, must not make a
/// request refused that happened to be resent from one to the other.
#[test]
fn two_bad_targets() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [OTHER]);
    quarantine.record_crash(at(1), &target(2), [OTHER]);
    quarantine.record_completion(OTHER);
    quarantine.record_crash(at(2), &target(1), [BESIDE]);
    quarantine.record_crash(at(3), &target(2), [BESIDE]);
    assert_eq!(quarantine.check(at(4), BESIDE), Verdict::Suspect);
    // The cause of crashes is refused all the same, later.
    quarantine.record_crash(at(5), &target(1), [POISON]);
    quarantine.record_crash(at(6), &target(2), [POISON]);
    assert!(!is_refused(&quarantine, at(6), POISON));
    quarantine.record_crash(at(7), &target(3), [POISON]);
    assert!(is_refused(&quarantine, at(7), POISON));
}

#[test]
fn completion_clears() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON, BESIDE]);
    quarantine.record_completion(BESIDE);
    assert_eq!(quarantine.check(at(1), BESIDE), Verdict::Clear);
    quarantine.record_crash(at(2), &target(2), [POISON, BESIDE]);
    assert!(is_refused(&quarantine, at(3), POISON));
    assert!(!is_refused(&quarantine, at(3), BESIDE));
}

#[test]
fn same_crashes_apart() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON, BESIDE]);
    quarantine.record_crash(at(1), &target(2), [POISON, BESIDE]);
    assert_eq!(quarantine.check(at(2), POISON), Verdict::Ambiguous);
    assert_eq!(quarantine.check(at(2), BESIDE), Verdict::Ambiguous);
    assert!(!quarantine.may_start(at(2), POISON, &[BESIDE]));
    assert!(quarantine.may_start(at(2), POISON, &[OTHER, POISON]));
    assert!(quarantine.may_start(at(2), OTHER, &[BESIDE]));
    // The next crash has only one of the two.
    quarantine.record_crash(at(3), &target(3), [POISON, OTHER]);
    assert!(is_refused(&quarantine, at(4), POISON));
    assert!(!quarantine.may_start(at(4), POISON, &[]));
    assert_eq!(quarantine.check(at(4), BESIDE), Verdict::Clear);
}

#[test]
fn apart_until_completed() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON, BESIDE]);
    quarantine.record_crash(at(1), &target(2), [POISON, BESIDE]);
    quarantine.record_completion(BESIDE);
    assert!(is_refused(&quarantine, at(2), POISON));
    assert_eq!(quarantine.check(at(2), BESIDE), Verdict::Clear);
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
    // Two agents, each of which saw one crash, and a router.
    let (mut first, mut second, mut router) = (quarantine(1), quarantine(1), quarantine(1));
    first.record_crash(at(0), &target(1), [POISON, BESIDE]);
    second.record_crash(at(100), &target(2), [POISON, OTHER]);
    exchange(at(200), &mut first, &mut router);
    assert_eq!(router.check(at(200), POISON), Verdict::Suspect);
    exchange(at(300), &mut second, &mut router);
    assert!(is_refused(&router, at(300), POISON));
    assert!(is_refused(&second, at(300), POISON));
    assert!(!is_refused(&second, at(300), BESIDE));
}

#[test]
fn related_tells_apart() {
    // The poison and the one beside it are resent to the same target, the
    // first with what the router learned of the crash, the second without.
    let (mut first, mut second) = (quarantine(1), quarantine(1));
    first.record_crash(at(0), &target(1), [POISON, BESIDE]);
    first.record_crash(at(0), &target(9), [OTHER]);
    let related = first.related(at(0), BESIDE);
    assert_eq!(related.len(), 2);
    for entry in &related {
        second.merge(at(1), entry);
    }
    second.record_crash(at(2), &target(2), [POISON, BESIDE]);
    assert_eq!(second.check(at(2), BESIDE), Verdict::Ambiguous);
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
fn exchange_does_not_prolong() {
    let (mut a, mut b) = (quarantine(1), quarantine(2));
    a.record_crash(at(0), &target(1), [POISON]);
    a.record_crash(at(0), &target(2), [POISON]);
    let delay = Span::from_millis(400);
    let mut now = at(0);
    // Each message is on its way for 400 ms, in both directions in turn.
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
fn lift_reaches_all() {
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
    // A late copy of the old entry does not bring it back.
    for entry in &stale {
        a.merge(at(4), entry);
    }
    assert_eq!(a.check(at(4), POISON), Verdict::Clear);
    // Later crashes count, also of the same targets.
    a.record_crash(at(5), &target(1), [POISON]);
    a.record_crash(at(6), &target(2), [POISON]);
    assert!(is_refused(&a, at(6), POISON));
}

#[test]
fn poison_returns_to_target() {
    // The poison crashes a target again at which another suspect had been
    // present earlier. That one must not appear as the only one left.
    let mut quarantine = quarantine(1);
    quarantine.record_crash(at(0), &target(1), [POISON, BESIDE]);
    quarantine.record_crash(at(1), &target(2), [POISON, BESIDE]);
    quarantine.record_crash(at(2), &target(1), [POISON]);
    assert!(is_refused(&quarantine, at(3), POISON));
    assert_eq!(quarantine.check(at(3), BESIDE), Verdict::Clear);
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

/// Targets of the simulated service.
const TARGETS: usize = 12;

/// Routers of the simulated service; their knowledge follows the agents'.
const ROUTERS: usize = 4;

/// Requests that run at a target at the same time.
const SLOTS: usize = 8;

/// Attempts of one request, the first included.
const ATTEMPTS: usize = 3;

/// A service whose targets run ordinary requests and one that crashes them.
struct Service {
    seed: u64,
    drawn: u64,
    /// The knowledge of each agent, then of each router.
    known: Vec<Quarantine>,
    running: Vec<Vec<Request>>,
    /// When the poison crashed a target.
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
    left: u64,
    /// 1 for the first attempt.
    attempt: usize,
}

impl Service {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            drawn: 0,
            known: (0..TARGETS + ROUTERS).map(|_| quarantine(1)).collect(),
            running: vec![Vec::new(); TARGETS],
            crashes: Vec::new(),
            refused: BTreeSet::new(),
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.drawn += 1;
        (hash::mix(self.seed, self.drawn) % below as u64) as usize
    }

    fn offer(&mut self, now: Mono, fingerprint: Fingerprint, left: u64) {
        let router = TARGETS + self.draw(ROUTERS);
        let request = Request {
            fingerprint,
            router,
            left,
            attempt: 1,
        };
        self.start(now, request);
    }

    /// Starts a request at a random target that may take it.
    fn start(&mut self, now: Mono, request: Request) {
        let fingerprint = request.fingerprint;
        let refuses = |known: &Quarantine| is_refused(known, now, fingerprint);
        if refuses(&self.known[request.router]) {
            self.refused.insert(fingerprint);
            return;
        }
        for _ in 0..50 {
            let index = self.draw(TARGETS);
            self.tell(now, request.router, index, fingerprint);
            if refuses(&self.known[index]) {
                self.refused.insert(fingerprint);
                return;
            }
            let running = &self.running[index];
            let beside = running.iter().map(|beside| &beside.fingerprint);
            let may_start = self.known[index].may_start(now, fingerprint, beside);
            if running.len() < SLOTS && may_start {
                self.running[index].push(request);
                return;
            }
        }
    }

    /// Sends what one process knows of a fingerprint's crashes to another.
    fn tell(&mut self, now: Mono, from: usize, to: usize, fingerprint: Fingerprint) {
        for entry in self.known[from].related(now, fingerprint) {
            self.known[to].merge(now, &entry);
        }
    }

    /// Crashes a target and starts what ran there again, elsewhere.
    fn crash(&mut self, now: Mono, index: usize, running: Vec<Request>) {
        self.crashes.push(now);
        let in_flight = running.iter().map(|request| request.fingerprint);
        self.known[index].record_crash(now, &target(index as u32), in_flight);
        for request in running {
            self.tell(now, index, request.router, request.fingerprint);
            if request.attempt < ATTEMPTS {
                let attempt = request.attempt + 1;
                self.start(now, Request { attempt, ..request });
            }
        }
    }

    /// Crashes the targets that run the poison; completes what is due.
    fn step(&mut self, now: Mono) {
        for index in 0..TARGETS {
            let running = std::mem::take(&mut self.running[index]);
            if running.iter().any(|request| request.fingerprint == POISON) {
                self.crash(now, index, running);
                continue;
            }
            for request in running {
                if request.left == 0 {
                    self.known[index].record_completion(request.fingerprint);
                } else {
                    let left = request.left - 1;
                    self.running[index].push(Request { left, ..request });
                }
            }
        }
    }

    /// Lets a number of random pairs of processes exchange what they know.
    fn exchange(&mut self, now: Mono, pairs: usize) {
        for _ in 0..pairs {
            let (a, b) = (self.draw(TARGETS + ROUTERS), self.draw(TARGETS + ROUTERS));
            if let Ok([a, b]) = self.known.get_disjoint_mut([a, b]) {
                exchange(now, a, b);
            }
        }
    }

    /// Runs 30 s in steps of 100 ms.
    fn run(&mut self, pairs: usize) {
        for round in 0..300 {
            let now = at(round * 100);
            // Some contents are common, so they are in flight in many places.
            for _ in 0..4 {
                let fingerprint = Fingerprint(100 + self.draw(30) as u64);
                let left = 5 + self.draw(30) as u64;
                self.offer(now, fingerprint, left);
            }
            if round % 5 == 4 {
                // The caller repeats the request under new ids.
                self.offer(now, POISON, 100);
            }
            self.step(now);
            self.exchange(now, pairs);
        }
    }
}

/// Runs the service with so many exchanges each step.
fn check_service(pairs: usize) {
    for seed in 0..50 {
        let mut service = Service::new(seed);
        service.run(pairs);
        let expected = BTreeSet::from([POISON]);
        assert_eq!(service.refused, expected, "seed {seed}");
        let last = service.crashes.last().unwrap();
        let lasted = last.since(service.crashes[1]);
        // What is decided anywhere is in force everywhere within 10 s.
        assert!(lasted < Span::from_secs(10), "seed {seed}: for {lasted}");
    }
}

#[test]
fn only_poison_refused() {
    // Every process exchanges about twice each step.
    check_service(16);
}

#[test]
fn only_poison_refused_late() {
    // Every process exchanges about once a second.
    check_service(1);
}
