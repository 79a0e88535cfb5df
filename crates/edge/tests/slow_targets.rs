//! Part of the targets work slowly and fail nothing, replayed through what routers
//! believe, tell one another and choose.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use base::{id::DataCentre, span::Span, time::Mono};
use edge::{
    fleet::{Fleet, InFlight, PrefixChain},
    gossip,
    update::{CachedPart, Update},
};
use place::{
    cost::{self, PeerTraffic, Prompt, SpillFactor, Timings},
    latency::{self, LatencyModel, Task},
};
use platform::{request::Part, target as row};
use rand::{RngExt, SeedableRng, rngs::ChaCha8Rng};

/// Routers, targets and requests a second of a deployment of middle size.
const ROUTERS: usize = 27;
const TARGETS: usize = 49;
const RATE: f64 = 550.0;

/// Time of a request where the target is not slow, in milliseconds.
const WORK: f64 = 60.0;

/// Prompt parts that requests share, and their tokens and those of a request's own.
/// A slow target that keeps a part looks cheap.
const PARTS: usize = 40;
const SHARED: u32 = 8_000;
const OWN: u32 = 300;

/// Time of reading a prompt token, in milliseconds.
const READ: f64 = 0.02;

/// Factor on the time of work at slow targets, and when they are slow.
const FACTOR: f64 = 8.0;
const SLOW: (f64, f64) = (4_000.0, 12_000.0);

/// Time in milliseconds between two rounds in which routers tell one another.
const ROUND: f64 = 250.0;

const LENGTH: f64 = 24_000.0;

/// Work of a target beyond which callers have waited for too long.
const LATE: f64 = 300.0;

#[derive(Clone, Copy, Debug, Default)]
struct Report {
    sent: u32,
    late: u32,
    /// Requests to the slow targets while they were slow, in the last second of
    /// that, and after they recovered.
    slow: u32,
    last: u32,
    after: u32,
}

struct Router {
    fleet: Fleet,
    pace: LatencyModel,
}

/// A request that ends: at the time, at a router and a target, after a time.
struct End {
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
        leaving: false,
        started_at: 1,
    };
    (0..TARGETS).map(row).collect()
}

fn chain(number: usize) -> PrefixChain {
    let part = |id: String, tokens| Part { id, tokens };
    PrefixChain::new(&[
        part(format!("shared-{number}"), SHARED),
        part("own".to_owned(), OWN),
    ])
}

fn at(millis: f64) -> Mono {
    Mono((millis * 1_000.0) as u64)
}

fn span(millis: f64) -> Span {
    Span::from_micros((millis * 1_000.0) as u64)
}

/// Plays the pattern; `told` says whether routers tell one another of slow
/// targets, `seen` whether they choose by it.
fn play(seed: u64, seen: bool, told: bool) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rows = rows();
    let refs: Vec<&row::Target> = rows.iter().collect();
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|_| Router {
            fleet: Fleet::new(&refs, None),
            pace: LatencyModel::default(),
        })
        .collect();
    let centre: DataCentre = "centre".parse().expect("an id");
    let slow: BTreeSet<usize> = (0..TARGETS / 6).collect();
    let names: BTreeMap<_, _> = rows.iter().map(|row| &row.id).zip(0..).collect();
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut open: BTreeMap<usize, End> = BTreeMap::new();
    let mut loads = [0_u32; TARGETS];
    let chains: Vec<PrefixChain> = (0..PARTS).map(chain).collect();
    let (mut now, mut round, mut count) = (0.0, 0.0, 0);
    let mut report = Report::default();
    while now < LENGTH {
        now += -random.random_range(f64::EPSILON..1.0_f64).ln() * 1_000.0 / RATE;
        while let Some(Reverse((time, number))) = ends.peek().copied()
            && time <= at(now).0
        {
            ends.pop();
            let end = open.remove(&number).expect("it is open");
            loads[end.target] -= 1;
            let router = &mut routers[end.router];
            let target = end.flight.target().clone();
            if router.pace.is_ready() {
                target.record_duration(Mono(time), span(end.took), router.pace.predict(end.task));
            }
            router.pace.record(end.task, span(end.took));
        }
        if now >= round {
            round += ROUND;
            tell(&routers, at(now), told);
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
            // Loads are taken to be known; this is about times.
            candidate.load = loads[names[&target.row.id]];
            candidate.slowdown = if seen { candidate.slowdown } else { 0 };
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
            Timings::from(&router.pace),
            random.random(),
        );
        let choice = choice.expect("there are targets");
        let index = choice.index;
        let target = names[&targets[index].row.id];
        let is_slow = slow.contains(&target) && (SLOW.0..SLOW.1).contains(&now);
        let noise = random.random_range(0.6..1.8);
        let read = match choice.source {
            Some(_) => OWN,
            None => candidates[index].missing,
        };
        let work = WORK * noise + f64::from(read) * READ;
        let took = work * if is_slow { FACTOR } else { 1.0 };
        report.sent += 1;
        report.late += u32::from(took > LATE);
        report.slow += u32::from(is_slow);
        report.last += u32::from(is_slow && now > SLOW.1 - 1_000.0);
        report.after += u32::from(slow.contains(&target) && now > LENGTH - 4_000.0);
        let task = Task {
            tokens: read,
            batch_wait: latency::batch_wait(loads[target]),
            ..Task::default()
        };
        let (flight, learned) = targets[index].begin(at(now), chain, 0);
        let holds: Vec<CachedPart> = learned
            .into_iter()
            .map(|part| CachedPart::new(targets[index].hash, part))
            .collect();
        for other in &routers {
            other.fleet.add_cached(at(now), &holds);
        }
        loads[target] += 1;
        ends.push(Reverse((at(now + took).0, count)));
        let end = End {
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

fn tell(routers: &[Router], now: Mono, told: bool) {
    if !told {
        return;
    }
    for from in routers {
        let update = Update {
            slow: gossip::collect(&from.fleet, now).slow,
            ..Update::default()
        };
        for to in routers {
            gossip::apply(&to.fleet, now, &update, &[]);
        }
    }
}

/// Slow targets lose most of their requests, two thirds at least, also where each router alone sends them
/// few, and get them back when they have recovered.
#[test]
fn slow_replayed() {
    for seed in 1..=3 {
        let blind = play(seed, false, false);
        let alone = play(seed, true, false);
        let told = play(seed, true, true);
        println!("seed {seed} blind {blind:?}");
        println!("seed {seed} alone {alone:?}");
        println!("seed {seed} told {told:?}");
        assert!(told.late * 3 < blind.late, "seed {seed}");
        assert!(told.late < alone.late, "seed {seed}");
        assert!(told.last * 3 < blind.last, "seed {seed}");
        // A target that no request reaches would not be known to recover.
        assert!(told.slow > 0, "seed {seed}");
        assert!(told.after * 10 > blind.after * 8, "seed {seed}");
    }
}
