//! A simulation of load: requests pass through the router's decisions and run on
//! simulated engines that batch, without a network and in simulated time.

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

/// Properties of an engine, from the data sheet of perdana-tin: the slots of its
/// batch, the base time of a step and the time that each occupied slot adds, the
/// prompt tokens read per millisecond and per step, and the tokens in one event.
const SLOTS: u32 = 64;
const STEP_BASE: Millis = 2.6;
const STEP_SLOT: Millis = 0.12;
const READ_PER_MS: f64 = 48.2;
const CHUNK: f64 = 4_096.0;
const EVENT_TOKENS: u32 = 7;

/// Fraction of the requests whose shared prompt parts the engine has evicted.
const EVICTED_FRACTION: f64 = 0.08;

/// Maximum pause between two events of a response that counts as timely.
const LONGEST_PAUSE: Millis = 800.0;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Relative frequency.
    pub weight: f64,
    /// Mean number of prompt tokens that are unique to a request.
    pub own: f64,
    /// Number of prompt tokens that it shares with other requests.
    pub shared: f64,
    /// Mean number of tokens in the response.
    pub output: f64,
    /// Desired time until the first token.
    pub goal: Millis,
    /// Time after which the caller disconnects.
    pub limit: Millis,
    /// Priority, 0 being the highest.
    pub rank: u8,
}

/// The kinds of requests: briefs, letters and checks.
pub const KINDS: [Kind; 3] = [
    Kind {
        weight: 24.2,
        own: 1_300.0,
        shared: 10_500.0,
        output: 385.0,
        goal: 1_200.0,
        limit: 12_000.0,
        rank: 1,
    },
    Kind {
        weight: 24.9,
        own: 130.0,
        shared: 700.0,
        output: 294.0,
        goal: 600.0,
        limit: 10_000.0,
        rank: 0,
    },
    Kind {
        weight: 32.8,
        own: 360.0,
        shared: 2_000.0,
        output: 22.0,
        goal: 800.0,
        limit: 3_000.0,
        rank: 2,
    },
];

/// Outcomes of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Number of requests.
    pub requests: u32,
    /// Complete responses whose first token was in time and which had no long pause.
    pub timely: u32,
    /// Other complete responses.
    pub late: u32,
    /// Requests that were refused and not served by their retry either.
    pub refused: u32,
    /// Requests that were refused a second time.
    pub twice: u32,
    /// Responses that were incomplete when the caller disconnected.
    pub cut: u32,
    /// Requests and complete responses among the tenth with the longest responses.
    pub large: (u32, u32),
}

impl Outcomes {
    /// Returns the number of complete responses.
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
    /// Prompt tokens not yet read.
    unread: f64,
    /// Tokens not yet generated.
    left: f64,
    first: Option<Millis>,
    /// When the latest event was sent.
    last: Millis,
    /// Tokens generated since then.
    tokens: u32,
    /// Whether a pause between events was longer than allowed.
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

/// An engine that reads prompts in chunks, alternating with generating tokens for
/// its batch.
#[derive(Debug, Default)]
struct Engine {
    running: Vec<Run>,
    waiting: Vec<Run>,
    /// When the current step ends.
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

    /// Completes one step and starts the next.
    fn step(&mut self, now: Millis, outcomes: &mut [Outcomes]) {
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
            runs.retain(|run| !record_end(run, now, outcomes));
        }
        let step = STEP_BASE + STEP_SLOT * self.running.len() as f64;
        self.next = now + step + (CHUNK - chunk) / READ_PER_MS;
    }
}

/// Returns whether a request has ended, and records its outcome if so.
fn record_end(run: &Run, now: Millis, outcomes: &mut [Outcomes]) -> bool {
    let request = &run.request;
    let (kind, outcomes) = (&KINDS[request.kind], &mut outcomes[request.kind]);
    let whole = run.left <= 0.0;
    let left = now - request.start >= kind.limit;
    if whole {
        match run.first {
            Some(at) if at - request.start <= kind.goal && !run.paused => outcomes.timely += 1,
            _ => outcomes.late += 1,
        }
        outcomes.large.1 += u32::from(request.large);
    } else if left {
        outcomes.cut += 1;
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

/// The load on one service.
#[derive(Clone, Copy, Debug)]
pub struct LoadPattern {
    /// Number of engines.
    pub engines: usize,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub length: Millis,
    /// Whether requests are shed according to [`shed`].
    pub sheds: bool,
    /// Fraction of the requests that the first team sends; the other teams send the
    /// rest in equal parts.
    pub surge: f64,
}

/// Number of teams.
pub const TEAMS: usize = 10;

/// Draws a size from an exponential distribution that is cut off at about four
/// times the mean.
fn size(random: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = random.random_range(0.02..1.0);
    (-uniform.ln()) * mean
}

/// Draws the number of shared tokens that must be read because the engine has
/// evicted them.
fn evicted_tokens(random: &mut ChaCha8Rng, shared: f64) -> f64 {
    match random.random_bool(EVICTED_FRACTION) {
        true => shared,
        false => 0.0,
    }
}

fn arrivals(
    pattern: LoadPattern,
    seed: u64,
    random: &mut ChaCha8Rng,
) -> BinaryHeap<Reverse<Arrival>> {
    let total: f64 = KINDS.iter().map(|kind| kind.weight).sum();
    let mut arrivals = BinaryHeap::new();
    // The teams are drawn from a generator of their own, so that `surge` leaves
    // the rest of the load unchanged.
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
            own: size(random, KINDS[kind].own) + evicted_tokens(random, KINDS[kind].shared),
            output,
            // A tenth of an exponential distribution lies above its mean times ln 10.
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

/// The outcomes of a simulation.
#[derive(Clone, Debug)]
pub struct Report {
    /// Outcomes by kind of request.
    pub kinds: Vec<Outcomes>,
    /// Number of requests and of refused requests, by team.
    pub teams: [(u32, u32); TEAMS],
}

/// Simulates a load and returns its outcomes.
pub fn run(pattern: LoadPattern, seed: u64) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = arrivals(pattern, seed, &mut random);
    let mut engines: Vec<Engine> = Vec::new();
    engines.resize_with(pattern.engines, Engine::default);
    let mut outcomes = vec![Outcomes::default(); KINDS.len()];
    let mut teams = [(0, 0); TEAMS];
    let mut shares = TeamShares::default();
    let service: ServiceId = "model".parse().expect("an id");
    let ids: Vec<TeamId> = (0..TEAMS)
        .map(|team| format!("team-{team}").parse().expect("an id"))
        .collect();
    while let Some(Reverse(Arrival(at, request))) = arrivals.pop() {
        let now = at as f64 / 1e3;
        advance(&mut engines, now, &mut outcomes);
        let kind = &KINDS[request.kind];
        if !request.returning {
            outcomes[request.kind].requests += 1;
            teams[request.team].0 += 1;
            outcomes[request.kind].large.0 += u32::from(request.large);
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
        let query = shed::RequestInfo {
            rank: kind.rank,
            share: shares.relative_share(clock, &service, team),
            latency_goal: span(kind.goal),
            remaining: span(kind.limit - (now - request.start)),
        };
        let part = shed::engine_fraction(choice.utilization.percent(), query);
        if pattern.sheds && random.random::<f64>() < part {
            let outcomes = &mut outcomes[request.kind];
            if request.returning {
                outcomes.refused += 1;
                outcomes.twice += 1;
                teams[request.team].1 += 1;
                continue;
            }
            let after = shed::retry_after(part, query, random.random()).as_micros();
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
    advance(&mut engines, f64::MAX, &mut outcomes);
    Report {
        kinds: outcomes,
        teams,
    }
}

fn candidate((index, engine): (usize, &Engine)) -> Candidate {
    Candidate {
        hash: index as u64,
        load: engine.load(),
        slots: SLOTS,
        pending: engine.unread() as u32,
        local: true,
        accepting: true,
        unblocked: true,
        ..Candidate::default()
    }
}

fn advance(engines: &mut [Engine], until: Millis, outcomes: &mut [Outcomes]) {
    for engine in engines {
        while engine.load() > 0 && engine.next <= until {
            engine.step(engine.next, outcomes);
        }
    }
}

fn span(millis: Millis) -> Span {
    Span::from_micros((millis.max(0.0) * 1e3) as u64)
}
