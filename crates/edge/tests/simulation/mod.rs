//! Simulates many routers that choose targets by the loads that they report to
//! one another. The routers' own code for updates and choices runs in simulated
//! time, with updates that are delayed, lost and reordered.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
};

use base::{cores::Cores, hash, id::DataCentre, span::Span, time::Mono};
use edge::{
    exchange::Exchange,
    fleet::{Fleet, InFlight, PrefixChain},
    relays::{self, CentreHash, Router},
    target_status,
    update::{CachedPart, Update},
};
use place::cost::{self, PeerTraffic, Prompt, SpillFactor, Timings};
use platform::{request::Part, target as row};
use rand::{RngExt, SeedableRng, rngs::ChaCha8Rng};

/// Latency of an update within a data centre, and the additional latency to
/// another data centre.
const LOCAL_LATENCY: Span = Span::from_micros(200);
const REMOTE_LATENCY: Span = Span::from_micros(900);

/// Maximum additional delay of an update, in microseconds; later updates may
/// overtake it.
const MAX_JITTER_US: u64 = 30_000;

/// Length of the prompt part that only one request has, in tokens.
const OWN_TOKENS: u32 = 400;

/// Bound on the load of a target when a request reaches it: a multiple of the
/// mean load, and a number of requests in addition.
pub const FACTOR: f64 = 2.0;
pub const MARGIN: f64 = 3.0;

/// The routers and their load.
#[derive(Clone, Copy, Debug)]
pub struct Pattern {
    pub routers: usize,
    pub centres: usize,
    pub targets: usize,
    /// Requests a second.
    pub rate: f64,
    /// Mean time that a request takes at a target.
    pub work: Span,
    /// Number of prompt parts that requests share, and the fraction of the
    /// requests that have the first of them.
    pub parts: usize,
    pub hot: f64,
    /// Fraction of the requests that share no prompt part, so that only loads
    /// matter for them.
    pub short: f64,
    /// Fraction of the updates that are lost.
    pub loss: f64,
    pub length: Span,
    /// When the relays of all data centres stop, and other routers take over
    /// their work.
    pub stop: Option<Span>,
    /// Whether routers choose as if each learned of all requests immediately.
    pub sees_all: bool,
    /// Interval at which a target is replaced by an empty one.
    pub replace: Option<Span>,
}

/// Results of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Number of requests in the worst five seconds, and how many of them went
    /// to targets above the bound.
    pub sends: u32,
    pub over: u32,
    /// Updates and bytes that a router sends in a second, on average, and
    /// updates of the busiest router.
    pub messages: f64,
    pub busiest: f64,
    pub bytes: f64,
}

struct Node {
    address: SocketAddr,
    centre: DataCentre,
    exchange: Exchange,
    fleet: Fleet,
    cached: Vec<CachedPart>,
    sent: u64,
    bytes: u64,
    stopped: bool,
}

enum Event {
    Round(usize),
    Message(usize, SocketAddr, Box<Update>),
    Request,
    End(usize, #[allow(dead_code)] InFlight),
    Stop,
    Replace(usize),
}

struct Scheduled(Mono, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Simulation {
    pattern: Pattern,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    index: BTreeMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<Scheduled>>,
    number: u64,
    /// Number of requests at each target.
    loads: Vec<u32>,
    /// Time of each request, and whether it went to a target above the bound.
    sends: Vec<(Mono, bool)>,
}

/// Runs a simulation. The first three seconds, in which routers find one
/// another, are not counted.
pub fn simulate(pattern: Pattern, seed: u64) -> Report {
    let mut simulation = Simulation::new(pattern, seed);
    let end = Mono(0) + pattern.length;
    while let Some(Reverse(Scheduled(now, _, event))) = simulation.events.pop() {
        if now > end {
            break;
        }
        simulation.step(now, event);
    }
    simulation.report()
}

fn centre(number: usize) -> DataCentre {
    format!("centre-{number}").parse().expect("an id")
}

fn target(number: usize, centres: usize) -> row::Target {
    row::Target {
        id: format!("target-{number}").parse().expect("an id"),
        address: SocketAddr::new(
            Ipv4Addr::new(10, 1, (number / 250) as u8, (number % 250) as u8).into(),
            80,
        ),
        service: "service".parse().expect("an id"),
        centre: centre(number % centres),
        slots: 64,
        cold: Span::ZERO,
        leaving: false,
        started_at: 1,
    }
}

impl Simulation {
    fn new(pattern: Pattern, seed: u64) -> Self {
        let rows: Vec<_> = (0..pattern.targets)
            .map(|number| target(number, pattern.centres))
            .collect();
        let rows: Vec<_> = rows.iter().collect();
        let address = |number: usize| {
            let host = Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8);
            SocketAddr::new(host.into(), 7_340)
        };
        let node = |number: usize| {
            let centre = centre(number % pattern.centres);
            let own = Router {
                address: address(number),
                rank: relays::rank(address(number)),
                centre: CentreHash(hash::bytes(centre.as_str().as_bytes())),
                share: Cores(90),
                uses_relays: false,
            };
            let others = (0..pattern.routers).filter(|other| *other != number);
            let listed: Vec<_> = others.map(address).collect();
            Node {
                address: own.address,
                centre,
                exchange: Exchange::new(own, seed + number as u64 + 1, &listed),
                fleet: Fleet::new(&rows, None),
                cached: Vec::new(),
                sent: 0,
                bytes: 0,
                stopped: false,
            }
        };
        let nodes: Vec<Node> = (0..pattern.routers).map(node).collect();
        let index = nodes.iter().enumerate();
        let mut simulation = Self {
            pattern,
            random: ChaCha8Rng::seed_from_u64(seed),
            index: index.map(|(index, node)| (node.address, index)).collect(),
            nodes,
            events: BinaryHeap::new(),
            number: 0,
            loads: vec![0; pattern.targets],
            sends: Vec::new(),
        };
        for node in 0..pattern.routers {
            let at = simulation.random.random_range(0..300_000);
            simulation.add(Mono(at), Event::Round(node));
        }
        simulation.add(Mono(0), Event::Request);
        if let Some(stop) = pattern.stop {
            simulation.add(Mono(0) + stop, Event::Stop);
        }
        if let Some(pause) = pattern.replace {
            simulation.add(Mono(0) + pause, Event::Replace(0));
        }
        simulation
    }

    fn add(&mut self, at: Mono, event: Event) {
        self.number += 1;
        self.events.push(Reverse(Scheduled(at, self.number, event)));
    }

    fn step(&mut self, now: Mono, event: Event) {
        match event {
            Event::Round(node) => self.round(now, node),
            Event::Message(node, from, update) => self.receive(now, node, from, &update),
            Event::Request => self.request(now),
            Event::End(target, _) => self.loads[target] -= 1,
            Event::Stop => {
                for node in &mut self.nodes {
                    node.stopped |= node.exchange.plan().is_relay;
                }
            }
            Event::Replace(target) => {
                self.replace(target);
                let pause = self.pattern.replace.expect("targets are replaced");
                self.add(now + pause, Event::Replace(target + 1));
            }
        }
    }

    /// Ends all requests at a target.
    fn replace(&mut self, target: usize) {
        let due = std::mem::take(&mut self.events).into_iter();
        let stays = |due: &Reverse<Scheduled>| match &due.0.2 {
            Event::End(at, _) => *at != target,
            _ => true,
        };
        self.events = due.filter(stays).collect();
        self.loads[target] = 0;
    }

    fn round(&mut self, now: Mono, index: usize) {
        let node = &mut self.nodes[index];
        if node.stopped {
            return;
        }
        let outgoing = node.exchange.round(now, &node.fleet.loads());
        let pause = node.exchange.interval();
        let from = node.address;
        let centre = node.centre.clone();
        let cached = std::mem::take(&mut node.cached);
        for message in outgoing {
            let mut update = message.update;
            if message.cached {
                update.cached = cached.clone();
            }
            for receiver in message.receivers {
                let node = &mut self.nodes[index];
                node.sent += 1;
                node.bytes += prost::Message::encoded_len(&update) as u64;
                if self.random.random_bool(self.pattern.loss) {
                    continue;
                }
                let to = self.index[&receiver];
                let far = if self.nodes[to].centre == centre {
                    Span::ZERO
                } else {
                    REMOTE_LATENCY
                };
                let jitter = Span::from_micros(self.random.random_range(0..MAX_JITTER_US));
                let at = now + LOCAL_LATENCY + far + jitter;
                self.add(at, Event::Message(to, from, Box::new(update.clone())));
            }
        }
        self.add(now + pause, Event::Round(index));
    }

    fn receive(&mut self, now: Mono, node: usize, from: SocketAddr, update: &Update) {
        let node = &mut self.nodes[node];
        if node.stopped {
            return;
        }
        let Some(changes) = node.exchange.receive(now, from, update) else {
            return;
        };
        let learned = target_status::apply(&node.fleet, now, update, &changes);
        if node.exchange.aggregates(now) {
            node.cached.extend(learned);
        }
    }

    /// Sends one request through a random router.
    fn request(&mut self, now: Mono) {
        let wait = -self.random.random_range(f64::EPSILON..1.0_f64).ln() / self.pattern.rate;
        self.add(now + Span::from_micros((wait * 1e6) as u64), Event::Request);
        let chain = self.chain();
        let live: Vec<usize> = (0..self.nodes.len())
            .filter(|node| !self.nodes[*node].stopped)
            .collect();
        let node = &mut self.nodes[live[self.random.random_range(0..live.len())]];
        let targets = node.fleet.service(&"service".parse().expect("an id"));
        let candidates: Vec<_> = targets
            .iter()
            .map(|target| target.candidate(now, &chain, &node.centre))
            .collect();
        let prompt = Prompt {
            part: chain.shared().last().map(|part| part.0),
            own: chain.own(),
            fetches: true,
        };
        let seed = self.random.random();
        let peers = PeerTraffic {
            unseen: match self.pattern.sees_all {
                true => 0.0,
                false => self.pattern.rate * node.exchange.freshness(now).delay.as_secs_f64(),
            },
        };
        let spill = SpillFactor::below(FACTOR);
        let choice = cost::choose(&candidates, prompt, spill, peers, Timings::default(), seed);
        let choice = choice.expect("there are targets");
        let missing = candidates[choice.index].missing;
        let chosen = targets[choice.index].clone();
        let (mut request, learned) = chosen.begin(now, &chain, missing);
        request.answered();
        let learned = learned
            .into_iter()
            .map(|part| CachedPart::new(chosen.hash, part));
        node.cached.extend(learned);
        self.arrive(now, choice.index, request);
    }

    fn arrive(&mut self, now: Mono, target: usize, request: InFlight) {
        let mean = self.loads.iter().sum::<u32>() as f64 / self.loads.len() as f64;
        let is_over = f64::from(self.loads[target]) > FACTOR * mean + MARGIN;
        self.sends.push((now, is_over));
        self.loads[target] += 1;
        let work = -self.random.random_range(f64::EPSILON..1.0_f64).ln();
        let work = work * self.pattern.work.as_micros() as f64;
        self.add(
            now + Span::from_micros(work as u64),
            Event::End(target, request),
        );
    }

    fn chain(&mut self) -> PrefixChain {
        let is_hot = self.random.random_bool(self.pattern.hot);
        let is_short = self.random.random_bool(self.pattern.short);
        let part = match is_hot {
            true => 0,
            false => self.random.random_range(0..self.pattern.parts),
        };
        let parts = match is_short && !is_hot {
            true => vec![("own".to_owned(), OWN_TOKENS)],
            false => vec![
                ("all".to_owned(), 512),
                (format!("part-{part}"), 10_000),
                ("own".to_owned(), OWN_TOKENS),
            ],
        };
        let parts = parts.into_iter().map(|(id, tokens)| Part { id, tokens });
        PrefixChain::new(&parts.collect::<Vec<_>>())
    }

    fn report(&self) -> Report {
        let window = Span::from_secs(5);
        let first = Mono(0) + Span::from_secs(3);
        let mut report = Report::default();
        let sends: Vec<_> = self.sends.iter().filter(|(at, _)| *at >= first).collect();
        let mut from = 0;
        let mut over = 0;
        for (to, (at, is_over)) in sends.iter().enumerate() {
            over += u32::from(*is_over);
            while at.since(sends[from].0) > window {
                over -= u32::from(sends[from].1);
                from += 1;
            }
            if over >= report.over {
                report.over = over;
                report.sends = (to - from + 1) as u32;
            }
        }
        let seconds = self.pattern.length.as_secs_f64();
        let sent = self.nodes.iter().map(|node| node.sent as f64 / seconds);
        report.busiest = sent.clone().fold(0.0, f64::max);
        report.messages = sent.sum::<f64>() / self.nodes.len() as f64;
        let bytes = self.nodes.iter().map(|node| node.bytes as f64 / seconds);
        report.bytes = bytes.sum::<f64>() / self.nodes.len() as f64;
        report
    }
}
