//! Tests fairness among teams: a surging team must not slow down the others, and
//! must still get its share.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use admit::{
    controller::{AdmissionController, Settings},
    request::{Event, Request, Verdict},
};
use base::{hash, id, span::Span, time::Mono};
use common::{at, controller, fixed, request};

/// The team that surges.
const SURGING: usize = 0;

/// A second team that surges in some tests.
const SECOND: usize = 1;

/// Number of teams, the surging one included.
const TEAMS: usize = 10;

/// Mean time for which a request runs, in seconds.
const SERVICE_TIME: f64 = 4.0;

/// Length of a simulation in seconds.
const DURATION: f64 = 1_200.0;

/// Generates uniform random numbers in (0, 1) from a seed.
struct Random {
    seed: u64,
    count: u64,
}

impl Random {
    fn next(&mut self) -> f64 {
        self.count += 1;
        ((hash::mix(self.seed, self.count) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -self.next().ln() * mean
    }
}

fn seconds(value: f64) -> Mono {
    Mono((value * 1e6) as u64)
}

/// A request of the generated load.
#[derive(Clone, Copy)]
struct Arrival {
    at: Mono,
    team: usize,
    service_time: Span,
}

/// Returns the arrivals. Each team has its own random numbers, so that a surge
/// of one team does not change the requests of the others.
fn arrivals(seed: u64, rates: &[f64; TEAMS]) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (team, rate) in rates.iter().enumerate() {
        let mut random = Random {
            seed: hash::mix(seed, team as u64),
            count: 0,
        };
        let mut now = random.exponential(1.0 / rate);
        while now < DURATION {
            // Half of the service time is constant, half exponential.
            let service_time = SERVICE_TIME / 2.0 + random.exponential(SERVICE_TIME / 2.0);
            all.push(Arrival {
                at: seconds(now),
                team,
                service_time: Span::from_micros((service_time * 1e6) as u64),
            });
            now += random.exponential(1.0 / rate);
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// The results of a simulation.
#[derive(Default)]
struct Outcome {
    /// Times from arrival to completion by team, in microseconds.
    latencies: BTreeMap<usize, Vec<u64>>,
    refused: BTreeMap<usize, usize>,
}

impl Outcome {
    /// Returns the 99th percentile of the latency in seconds of all teams but
    /// the surging one; a refusal counts as an infinite latency.
    fn p99_of_others(&self) -> f64 {
        let others = |team: &usize| *team != SURGING;
        let done = self.latencies.iter().filter(|(team, _)| others(team));
        let refused = self.refused.iter().filter(|(team, _)| others(team));
        let mut all: Vec<_> = done.flat_map(|(_, values)| values.clone()).collect();
        all.sort_unstable();
        let count = all.len() + refused.map(|(_, count)| count).sum::<usize>();
        all.get(count * 99 / 100)
            .map_or(f64::INFINITY, |micros| *micros as f64 / 1e6)
    }

    fn done(&self, team: usize) -> usize {
        self.latencies.get(&team).map_or(0, Vec::len)
    }
}

/// A simulation of one admission controller with the generated load.
struct Simulation {
    controller: AdmissionController,
    arrivals: Vec<Arrival>,
    ends: BTreeSet<(Mono, usize)>,
    outcome: Outcome,
}

impl Simulation {
    fn dispatch(&mut self, now: Mono, index: usize) {
        let arrival = self.arrivals[index];
        let end = now + arrival.service_time;
        self.ends.insert((end, index));
        let latency = end.since(arrival.at).as_micros();
        let latencies = self.outcome.latencies.entry(arrival.team).or_default();
        latencies.push(latency);
    }

    fn refuse(&mut self, index: usize) {
        *self
            .outcome
            .refused
            .entry(self.arrivals[index].team)
            .or_default() += 1;
    }

    fn apply(&mut self, now: Mono, events: Vec<Event>) {
        for event in events {
            let index = event.id().0 as usize;
            match event {
                Event::Run(_) => self.dispatch(now, index),
                Event::Refused { .. } => self.refuse(index),
            }
        }
    }

    /// Processes the completions and expiries until the given time.
    fn advance(&mut self, until: Mono) {
        loop {
            let end = self.ends.first().map(|(end, _)| *end);
            let expiry = self.controller.next_expiry();
            let Some(now) = end
                .into_iter()
                .chain(expiry)
                .min()
                .filter(|at| *at <= until)
            else {
                return;
            };
            let events = if end == Some(now) {
                let (_, index) = self.ends.pop_first().unwrap();
                self.controller.finish(now, id::RequestId(index as u128))
            } else {
                self.controller.expire(now)
            };
            self.apply(now, events);
        }
    }

    fn offer(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        let offered = self.controller.offer(
            arrival.at,
            Request {
                deadline: arrival.at + Span::from_secs(60),
                ..request(index as u128, &format!("team-{}", arrival.team))
            },
        );
        match offered.verdict {
            Verdict::Run => self.dispatch(arrival.at, index),
            Verdict::Queued => {}
            Verdict::Refused { .. } => self.refuse(index),
        }
        self.apply(arrival.at, offered.events);
    }
}

fn run(settings: Settings, seed: u64, rates: &[f64; TEAMS]) -> Outcome {
    let mut simulation = Simulation {
        controller: controller(settings),
        arrivals: arrivals(seed, rates),
        ends: BTreeSet::new(),
        outcome: Outcome::default(),
    };
    for index in 0..simulation.arrivals.len() {
        simulation.advance(simulation.arrivals[index].at);
        simulation.offer(index);
    }
    simulation.advance(at(u64::MAX / 1_000_000));
    simulation.outcome
}

/// Returns arrival rates per second at which the others use a quarter of the
/// slots on average and the surging team would use `busy` slots, if it could.
fn rates(cap: u32, busy: f64) -> [f64; TEAMS] {
    let others = f64::from(cap) / 4.0;
    let mut rates = [others / SERVICE_TIME / (TEAMS - 1) as f64; TEAMS];
    rates[SURGING] = busy / SERVICE_TIME;
    rates
}

/// Returns how many slots a team used on average.
fn busy(outcome: &Outcome, team: usize) -> f64 {
    outcome.done(team) as f64 * SERVICE_TIME / DURATION
}

#[test]
fn others_unaffected() {
    for cap in [8, 12, 16, 24] {
        for seed in 1..=4 {
            let calm = run(fixed(cap), seed, &rates(cap, f64::from(cap) / 8.0)).p99_of_others();
            for offered in [20.0, 100.0] {
                let surge = run(fixed(cap), seed, &rates(cap, offered)).p99_of_others();
                assert!(
                    surge < 1.1 * calm,
                    "cap {cap} seed {seed} offered {offered}: p99 {calm} became {surge}"
                );
            }
        }
    }
}

#[test]
fn surge_keeps_share() {
    for cap in [8, 16, 24] {
        for seed in 1..=4 {
            let calm = run(fixed(cap), seed, &rates(cap, f64::from(cap) / 8.0));
            let surge = run(fixed(cap), seed, &rates(cap, 100.0));
            let (before, during) = (busy(&calm, SURGING), busy(&surge, SURGING));
            let share = f64::from(cap) / TEAMS as f64;
            assert!(
                during > before.max(share),
                "cap {cap} seed {seed}: kept {before} busy, then {during}, share {share}"
            );
        }
    }
}

#[test]
fn surges_share_equally() {
    for seed in 1..=4 {
        let mut rates = rates(16, 100.0);
        rates[SECOND] = 50.0;
        let outcome = run(fixed(16), seed, &rates);
        let (first, second) = (busy(&outcome, SURGING), busy(&outcome, SECOND));
        let ratio = first / second;
        assert!((0.85..1.15).contains(&ratio), "{first} and {second} busy");
    }
}

#[test]
fn idle_slots_used() {
    for seed in 1..=4 {
        let mut rates = [1e-9; TEAMS];
        rates[SURGING] = 100.0;
        let busy = busy(&run(fixed(16), seed, &rates), SURGING);
        assert!(busy > 15.5, "{busy} of 16 slots busy");
    }
}

#[test]
fn weights_respected() {
    let mut controller = controller(fixed(4));
    let offer = |controller: &mut AdmissionController, now, id: u128, team: &str, weight| {
        let request = Request {
            weight,
            ..request(id, team)
        };
        controller.offer(now, request).verdict
    };
    let mut running = Vec::new();
    let mut served = BTreeMap::new();
    for step in 0..4_000u64 {
        let now = at(step * 10);
        for (team, weight, lane) in [("light", 1, 0), ("heavy", 3, 1)] {
            let id = u128::from(step) * 2 + lane;
            if offer(&mut controller, now, id, team, weight) == Verdict::Run {
                running.push(id);
            }
        }
        if running.len() == 4 {
            let done = running.remove(0);
            for event in controller.finish(now, id::RequestId(done)) {
                if let Event::Run(id) = event {
                    running.push(id.0);
                    *served.entry(id.0 % 2).or_insert(0u32) += 1;
                }
            }
        }
    }
    let ratio = f64::from(served[&1]) / f64::from(served[&0]);
    assert!((2.7..3.3).contains(&ratio), "served {served:?}");
}
