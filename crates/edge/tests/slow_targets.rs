//! Simulates targets that are slow but return no errors, with the routers' speed
//! estimates, their reports to one another and their choice of targets.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use base::{id::DataCentre, span::Span, time::Mono};
use edge::{
    fleet::{Fleet, InFlight, PrefixChain},
    target_status,
    update::{CachedPart, Update},
};
use place::{
    cost::{self, PeerTraffic, Prompt, SpillFactor, Timings},
    latency::{self, LatencyModel, Task},
};
use platform::{request::Part, target as row};
use rand::{RngExt, SeedableRng, rngs::ChaCha8Rng};

/// Number of routers and targets, and requests per second, of a medium-sized
/// deployment.
const ROUTERS: usize = 27;
const TARGETS: usize = 49;
const RATE: f64 = 550.0;

/// Time for a request at a target that is not slow, without reading its prompt, in
/// milliseconds.
const WORK_MS: f64 = 60.0;

/// Number of shared prompt parts, the tokens of each, and the tokens that are
/// unique to a request. A slow target that caches a part seems cheap.
const PARTS: usize = 40;
const SHARED_TOKENS: u32 = 8_000;
const OWN_TOKENS: u32 = 300;

/// Time to process one prompt token, in milliseconds.
const TOKEN_MS: f64 = 0.02;

/// Factor by which slow targets are slower, and the period during which they are,
/// in milliseconds.
const SLOWDOWN: f64 = 8.0;
const SLOW_PERIOD_MS: (f64, f64) = (4_000.0, 12_000.0);

/// Interval at which routers report slow targets to one another, in milliseconds.
const REPORT_INTERVAL_MS: f64 = 250.0;

/// Simulated time, in milliseconds.
const LENGTH_MS: f64 = 24_000.0;

/// Time of a request, in milliseconds, beyond which its response is late.
const LATE_MS: f64 = 300.0;

#[derive(Clone, Copy, Debug, Default)]
struct Report {
    /// All requests.
    sent: u32,
    /// Requests that took longer than [`LATE_MS`].
    late: u32,
    /// Requests to the slow targets during the slow period.
    slow: u32,
    /// Requests to them in its last second.
    last: u32,
    /// Requests to them in the last four seconds, after they recovered.
    after: u32,
}

struct Router {
    fleet: Fleet,
    latency: LatencyModel,
}

/// A request in progress, with what is recorded when it ends.
struct Running {
    flight: InFlight,
    router: usize,
    target: usize,
    task: Task,
    took: f64,
}

fn rows() -> Vec<row::Target> {
    let row = |number| row::Target {
        id: format!("target-{number}").parse().expect("an id"),
        address: ([127, 0, 0, 1], 80).into(),
        service: "service".parse().expect("an id"),
        centre: "centre".parse().expect("an id"),
        slots: 64,
        cold: Span::ZERO,
        leaving: false,
        started_at: 1,
    };
    (0..TARGETS).map(row).collect()
}

fn chain(number: usize) -> PrefixChain {
    let part = |id: String, tokens| Part { id, tokens };
    PrefixChain::new(&[
        part(format!("shared-{number}"), SHARED_TOKENS),
        part("own".to_owned(), OWN_TOKENS),
    ])
}

fn at(millis: f64) -> Mono {
    Mono((millis * 1_000.0) as u64)
}

fn span(millis: f64) -> Span {
    Span::from_micros((millis * 1_000.0) as u64)
}

/// Runs the simulation. `use_speed` is whether routers take the speed of
/// targets into account, `share` whether they report slow targets to one another.
fn simulate(seed: u64, use_speed: bool, share: bool) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rows = rows();
    let refs: Vec<&row::Target> = rows.iter().collect();
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|_| Router {
            fleet: Fleet::new(&refs, None),
            latency: LatencyModel::default(),
        })
        .collect();
    let centre: DataCentre = "centre".parse().expect("an id");
    let slow: BTreeSet<usize> = (0..TARGETS / 6).collect();
    let names: BTreeMap<_, _> = rows.iter().map(|row| &row.id).zip(0..).collect();
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut open: BTreeMap<usize, Running> = BTreeMap::new();
    let mut loads = [0_u32; TARGETS];
    let chains: Vec<PrefixChain> = (0..PARTS).map(chain).collect();
    let (mut now, mut round, mut count) = (0.0, 0.0, 0);
    let mut report = Report::default();
    while now < LENGTH_MS {
        now += -random.random_range(f64::EPSILON..1.0_f64).ln() * 1_000.0 / RATE;
        while let Some(Reverse((time, number))) = ends.peek().copied()
            && time <= at(now).0
        {
            ends.pop();
            let end = open.remove(&number).expect("it is open");
            loads[end.target] -= 1;
            let router = &mut routers[end.router];
            let target = end.flight.target().clone();
            if router.latency.is_ready() {
                target.record_duration(
                    Mono(time),
                    span(end.took),
                    router.latency.predict(end.task),
                );
            }
            router.latency.record(end.task, span(end.took));
        }
        if now >= round {
            round += REPORT_INTERVAL_MS;
            share_slow(&routers, at(now), share);
        }
        let number = random.random_range(0..ROUTERS);
        let chain = &chains[random.random_range(0..PARTS)];
        let router = &routers[number];
        let targets = router.fleet.service(&"service".parse().expect("an id"));
        let mut candidates: Vec<_> = targets
            .iter()
            .map(|target| target.candidate(at(now), chain, &centre))
            .collect();
        for (candidate, target) in candidates.iter_mut().zip(targets) {
            // The simulation uses the true loads, so that only the speed estimates differ.
            candidate.load = loads[names[&target.row.id]];
            candidate.slowdown = if use_speed { candidate.slowdown } else { 0 };
        }
        let choice = cost::choose(
            &candidates,
            Prompt {
                part: chain.shared().last().map(|part| part.0),
                own: chain.own(),
                fetches: true,
            },
            SpillFactor::below(2.0),
            PeerTraffic::default(),
            Timings::from(&router.latency),
            random.random(),
        );
        let choice = choice.expect("there are targets");
        let index = choice.index;
        let target = names[&targets[index].row.id];
        let is_slow = slow.contains(&target) && (SLOW_PERIOD_MS.0..SLOW_PERIOD_MS.1).contains(&now);
        let noise = random.random_range(0.6..1.8);
        let read = match choice.source {
            Some(_) => OWN_TOKENS,
            None => candidates[index].missing,
        };
        let work = WORK_MS * noise + f64::from(read) * TOKEN_MS;
        let took = work * if is_slow { SLOWDOWN } else { 1.0 };
        report.sent += 1;
        report.late += u32::from(took > LATE_MS);
        report.slow += u32::from(is_slow);
        report.last += u32::from(is_slow && now > SLOW_PERIOD_MS.1 - 1_000.0);
        report.after += u32::from(slow.contains(&target) && now > LENGTH_MS - 4_000.0);
        let task = Task {
            tokens: read,
            batch_wait: latency::batch_wait(loads[target]),
            ..Task::default()
        };
        let (flight, learned) = targets[index].begin(at(now), chain, 0);
        let cached: Vec<CachedPart> = learned
            .into_iter()
            .map(|part| CachedPart::new(targets[index].hash, part))
            .collect();
        for other in &routers {
            other.fleet.add_cached(at(now), &cached);
        }
        loads[target] += 1;
        ends.push(Reverse((at(now + took).0, count)));
        let end = Running {
            flight,
            router: number,
            target,
            task,
            took,
        };
        open.insert(count, end);
        count += 1;
    }
    report
}

fn share_slow(routers: &[Router], now: Mono, share: bool) {
    if !share {
        return;
    }
    for from in routers {
        let update = Update {
            slow: target_status::collect(&from.fleet, now).slow,
            ..Update::default()
        };
        for to in routers {
            target_status::apply(&to.fleet, now, &update, &[]);
        }
    }
}

/// Slow targets receive at least two thirds fewer requests, although each router
/// alone sends them few, and receive them again when they have recovered. Without
/// the reports of other routers, more responses are late.
#[test]
fn slow_avoided() {
    for seed in 1..=3 {
        let blind = simulate(seed, false, false);
        let alone = simulate(seed, true, false);
        let shared = simulate(seed, true, true);
        println!("seed {seed} blind {blind:?}");
        println!("seed {seed} alone {alone:?}");
        println!("seed {seed} shared {shared:?}");
        assert!(shared.late * 3 < blind.late, "seed {seed}");
        assert!(shared.late < alone.late, "seed {seed}");
        assert!(shared.last * 3 < blind.last, "seed {seed}");
        // A target that receives no requests could not be seen to recover.
        assert!(shared.slow > 0, "seed {seed}");
        assert!(shared.after * 10 > blind.after * 8, "seed {seed}");
    }
}
