//! A replay of load: arrivals run through the router's decisions against a model
//! of engines that batch, without network and in simulated time.

use std::{cmp::Reverse, collections::BinaryHeap};

use admit::{shares::TeamShares, shed};
use base::{
    id::{ServiceId, TeamId},
    span::Span,
    time::Mono,
};
use place::cost::{self, Candidate, PeerTraffic, Prompt, SpillFactor, Timings};
use rand::{RngExt, SeedableRng, rngs::ChaCha8Rng};

/// Milliseconds of simulated time.
type Millis = f64;

/// How engines work, after the sheet of perdana-tin.
const SLOTS: u32 = 64;
const STEP: Millis = 2.6;
const STEP_SLOT: Millis = 0.12;
const READ_PER_MS: f64 = 48.2;
const CHUNK: f64 = 4_096.0;
const EVENT_TOKENS: u32 = 7;

/// Part of the requests whose shared parts the engine no longer keeps.
const REREAD_PART: f64 = 0.08;

/// Longest pause between two events with which a response is in time.
const LONGEST_PAUSE: Millis = 800.0;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its part of the traffic.
    pub weight: f64,
    /// Mean prompt tokens that each request brings.
    pub own: f64,
    /// Prompt tokens that it shares with others.
    pub shared: f64,
    /// Mean tokens of the response.
    pub output: f64,
    /// Time in which the first token is wanted.
    pub aim: Millis,
    /// Time after which the caller leaves.
    pub limit: Millis,
    /// Urgency, 0 first.
    pub rank: u8,
}

/// Briefs, letters and checks.
pub const KINDS: [Kind; 3] = [
    Kind {
        weight: 24.2,
        own: 1_300.0,
        shared: 10_500.0,
        output: 385.0,
        aim: 1_200.0,
        limit: 12_000.0,
        rank: 1,
    },
    Kind {
        weight: 24.9,
        own: 130.0,
        shared: 700.0,
        output: 294.0,
        aim: 600.0,
        limit: 10_000.0,
        rank: 0,
    },
    Kind {
        weight: 32.8,
        own: 360.0,
        shared: 2_000.0,
        output: 22.0,
        aim: 800.0,
        limit: 3_000.0,
        rank: 2,
    },
];

/// What callers saw of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Requests.
    pub asked: u32,
    /// Whole responses whose first token came in time, and without long pauses.
    pub timely: u32,
    /// Whole responses that came later.
    pub late: u32,
    /// Requests that were refused, the last time too.
    pub refused: u32,
    /// Requests that were refused twice.
    pub twice: u32,
    /// Responses that were not whole when the caller left.
    pub cut: u32,
    /// The largest tenth: requests and whole responses.
    pub large: (u32, u32),
}

impl Seen {
    /// Returns the whole responses.
    pub fn served(&self) -> u32 {
        self.timely + self.late
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    kind: usize,
    start: Millis,
    own: f64,
    output: f64,
    large: bool,
    returning: bool,
    team: usize,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    request: Request,
    /// Prompt tokens to read.
    unread: f64,
    /// Tokens to generate.
    left: f64,
    first: Option<Millis>,
    /// When the latest event was sent.
    last: Millis,
    /// Tokens since then.
    tokens: u32,
    /// Whether a pause between events was too long.
    paused: bool,
}

impl Run {
    /// Generates one token.
    fn token(&mut self, now: Millis) {
        self.left -= 1.0;
        self.tokens += 1;
        if self.first.is_none() {
            self.first = Some(now);
            self.last = now;
        }
        if self.tokens >= EVENT_TOKENS {
            self.paused |= now - self.last > LONGEST_PAUSE;
            self.last = now;
            self.tokens = 0;
        }
    }
}

/// An engine that reads prompts in chunks between the tokens of its batch.
#[derive(Debug, Default)]
struct Engine {
    running: Vec<Run>,
    waiting: Vec<Run>,
    /// When its next step ends.
    next: Millis,
}

impl Engine {
    fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    fn unread(&self) -> f64 {
        let runs = self.running.iter().chain(&self.waiting);
        runs.map(|run| run.unread).sum()
    }

    /// Ends one step and begins the next.
    fn step(&mut self, now: Millis, seen: &mut [Seen]) {
        self.waiting.sort_by_key(|run| KINDS[run.request.kind].rank);
        while self.running.len() < SLOTS as usize && !self.waiting.is_empty() {
            self.running.push(self.waiting.remove(0));
        }
        let mut chunk = CHUNK;
        for run in &mut self.running {
            if run.unread > 0.0 {
                let read = run.unread.min(chunk);
                run.unread -= read;
                chunk -= read;
            } else {
                run.token(now);
            }
        }
        for runs in [&mut self.running, &mut self.waiting] {
            runs.retain(|run| !ended(run, now, seen));
        }
        let step = STEP + STEP_SLOT * self.running.len() as f64;
        self.next = now + step + (CHUNK - chunk) / READ_PER_MS;
    }
}

/// Notes a request that has ended.
fn ended(run: &Run, now: Millis, seen: &mut [Seen]) -> bool {
    let request = &run.request;
    let (kind, seen) = (&KINDS[request.kind], &mut seen[request.kind]);
    let whole = run.left <= 0.0;
    let left = now - request.start >= kind.limit;
    if whole {
        match run.first {
            Some(first) if first - request.start <= kind.aim && !run.paused => seen.timely += 1,
            _ => seen.late += 1,
        }
        seen.large.1 += u32::from(request.large);
    } else if left {
        seen.cut += 1;
    }
    whole || left
}

/// An arrival, ordered by its time in microseconds.
#[derive(Clone, Copy, Debug)]
struct Arrival(u64, Request);

impl PartialEq for Arrival {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl Eq for Arrival {}

impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Arrival {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

/// A pattern of load on one service.
#[derive(Clone, Copy, Debug)]
pub struct Pattern {
    /// Engines.
    pub engines: usize,
    /// Requests a second.
    pub rate: f64,
    /// Length of the load.
    pub length: Millis,
    /// Whether requests are refused by [`shed`].
    pub sheds: bool,
    /// Part of the requests that the first of ten teams sends; the others share
    /// the rest.
    pub surge: f64,
}

/// Teams of a pattern.
pub const TEAMS: usize = 10;

/// Draws a size around a mean; the largest are several times the mean.
fn size(random: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = random.random_range(0.02..1.0);
    (-uniform.ln()) * mean
}

/// Draws the shared tokens that are read again.
fn reread(random: &mut ChaCha8Rng, shared: f64) -> f64 {
    match random.random_bool(REREAD_PART) {
        true => shared,
        false => 0.0,
    }
}

fn arrivals(pattern: Pattern, seed: u64, random: &mut ChaCha8Rng) -> BinaryHeap<Reverse<Arrival>> {
    let total: f64 = KINDS.iter().map(|kind| kind.weight).sum();
    let mut arrivals = BinaryHeap::new();
    // Teams change nothing else of a pattern.
    let mut teams = ChaCha8Rng::seed_from_u64(seed);
    let mut now = 0.0;
    while now < pattern.length {
        now -= (random.random_range(f64::EPSILON..1.0_f64)).ln() * 1_000.0 / pattern.rate;
        let mut point = random.random_range(0.0..total);
        let found = KINDS.iter().position(|kind| {
            point -= kind.weight;
            point < 0.0
        });
        let kind = found.unwrap_or(0);
        let output = size(random, KINDS[kind].output).max(1.0);
        let request = Request {
            kind,
            start: now,
            own: size(random, KINDS[kind].own) + reread(random, KINDS[kind].shared),
            output,
            // A tenth of an exponential distribution lies above this.
            large: output > KINDS[kind].output * std::f64::consts::LN_10,
            returning: false,
            team: match teams.random_bool(pattern.surge) {
                true => 0,
                false => teams.random_range(1..TEAMS),
            },
        };
        arrivals.push(Reverse(Arrival((now * 1e3) as u64, request)));
    }
    arrivals
}

/// What callers saw.
#[derive(Clone, Debug)]
pub struct Report {
    /// By kind.
    pub kinds: Vec<Seen>,
    /// Requests and refused requests, by team.
    pub teams: [(u32, u32); TEAMS],
}

/// Runs a pattern and returns what callers saw.
pub fn run(pattern: Pattern, seed: u64) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = arrivals(pattern, seed, &mut random);
    let mut engines: Vec<Engine> = Vec::new();
    engines.resize_with(pattern.engines, Engine::default);
    let mut seen = vec![Seen::default(); KINDS.len()];
    let mut teams = [(0, 0); TEAMS];
    let mut shares = TeamShares::default();
    let service: ServiceId = "model".parse().expect("an id");
    let ids: Vec<TeamId> = (0..TEAMS)
        .map(|team| format!("team-{team}").parse().expect("an id"))
        .collect();
    while let Some(Reverse(Arrival(at, request))) = arrivals.pop() {
        let now = at as f64 / 1e3;
        advance(&mut engines, now, &mut seen);
        let kind = &KINDS[request.kind];
        if !request.returning {
            seen[request.kind].asked += 1;
            teams[request.team].0 += 1;
            seen[request.kind].large.0 += u32::from(request.large);
        }
        let candidates: Vec<Candidate> = engines.iter().enumerate().map(candidate).collect();
        let spill = SpillFactor::below(2.0);
        let choice = cost::choose(
            &candidates,
            Prompt::default(),
            spill,
            PeerTraffic::default(),
            Timings::default(),
            random.random(),
        )
        .expect("there are engines");
        let clock = Mono(0) + Span::from_micros(at);
        let team = &ids[request.team];
        let asked = shed::RequestInfo {
            rank: kind.rank,
            share: shares.relative_share(clock, &service, team),
            wanted_time: span(kind.aim),
            remaining: span(kind.limit - (now - request.start)),
        };
        let part = shed::engine_fraction(choice.utilization.percent(), asked);
        if pattern.sheds && random.random::<f64>() < part {
            let seen = &mut seen[request.kind];
            if request.returning {
                seen.refused += 1;
                seen.twice += 1;
                teams[request.team].1 += 1;
                continue;
            }
            let after = shed::retry_after(part, asked, random.random()).as_micros();
            let again = Request {
                returning: true,
                ..request
            };
            arrivals.push(Reverse(Arrival(at + after, again)));
            continue;
        }
        shares.record(clock, &service, team);
        let engine = &mut engines[choice.index];
        if engine.load() == 0 {
            engine.next = now;
        }
        engine.waiting.push(Run {
            request,
            unread: request.own,
            left: request.output,
            first: None,
            last: now,
            tokens: 0,
            paused: false,
        });
    }
    advance(&mut engines, f64::MAX, &mut seen);
    Report { kinds: seen, teams }
}

fn candidate((index, engine): (usize, &Engine)) -> Candidate {
    Candidate {
        hash: index as u64,
        load: engine.load(),
        slots: SLOTS,
        pending: engine.unread() as u32,
        local: true,
        accepting: true,
        trusted: true,
        ..Candidate::default()
    }
}

fn advance(engines: &mut [Engine], until: Millis, seen: &mut [Seen]) {
    for engine in engines {
        while engine.load() > 0 && engine.next <= until {
            engine.step(engine.next, seen);
        }
    }
}

fn span(millis: Millis) -> Span {
    Span::from_micros((millis.max(0.0) * 1e3) as u64)
}
