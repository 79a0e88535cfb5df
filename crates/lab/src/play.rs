//! Plays a site: callers, routers, targets and faults in simulated time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use base::{hash, id, span, time};
use edge::{
    decide::{Query, Selection},
    fleet::{InFlight, PrefixChain, part_hash},
    timing::{EventProgress, EventTimer},
    update::CachedPart,
};
use place::{breaker::Breaker, latency::Task};
use platform::{request, target as row};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::ChaCha8Rng, seq::SliceRandom};

use crate::{
    arrivals::Arrival,
    engine::{Engine, Job, Progress},
    event::{Event, Queue},
    memory::PartId,
    node::{self, Asked, Decision, Node},
    outcome::{Counter, End, Outcome},
    plain::Plain,
    policy::Policy,
    site::{Kind, Part, Service, Site, What, Work},
};

/// Time after which a router learns that a target does not answer.
const SILENCE: span::Span = span::Span::from_millis(900);

/// How often callers come back after a refusal.
const REPEATS: u32 = 1;

/// Targets that a request is offered to.
const MOST_SENDS: usize = 4;

/// Times after which a caller comes back that no target had room for, in
/// milliseconds.
const BUSY_AFTER: std::ops::Range<u64> = 250..750;

/// Times after which a caller returns whose router was lost, in milliseconds.
const LOST_AFTER: std::ops::Range<u64> = 100..1_000;

/// Time after its start in which a router learns which parts engines have cached: it
/// listens for other routers first.
const LEARN_TIME: span::Span = span::Span::from_millis(600);

/// Beyond how many requests over the factor times the mean a target is over the
/// bound.
const BEYOND: f64 = 3.0;

/// By how much the work of plain targets varies.
const VARIATION: std::ops::Range<f64> = 0.6..1.4;

/// Largest further time of a message between routers, in microseconds.
const JITTER: u64 = 2_000;

/// A target.
enum Machine {
    Engine(Engine),
    Plain(Plain),
}

struct Host {
    machine: Machine,
    dark: bool,
}

/// A request at a target.
struct Open {
    arrival: Arrival,
    node: usize,
    service: usize,
    number: usize,
    flight: InFlight,
    sent: time::Mono,
    load: u32,
    task: Option<Task>,
    fetches: bool,
    timer: EventTimer,
    tried: Vec<id::TargetId>,
    /// When the latest event came, and whether all came in time.
    latest: Option<time::Mono>,
    timely: bool,
}

struct Play<'a> {
    site: &'a Site,
    policy: Policy,
    random: ChaCha8Rng,
    rows: Vec<row::Target>,
    nodes: Vec<Node>,
    index: BTreeMap<SocketAddr, usize>,
    hosts: Vec<Vec<Host>>,
    ids: BTreeMap<id::TargetId, (usize, usize)>,
    teams: Vec<id::TeamId>,
    queue: Queue,
    open: BTreeMap<u64, Open>,
    numbers: u64,
    runs: u64,
    loss: f64,
    /// Routers that are lost.
    lost: BTreeSet<usize>,
    counter: Counter,
}

/// Plays requests on a site; the same arguments give the same outcome.
pub fn play(site: &Site, arrivals: &[Arrival], policy: Policy, seed: u64) -> Outcome {
    let mut play = Play::new(site, policy, seed);
    for arrival in arrivals {
        let event = Event::Arrive(Box::new(arrival.clone()));
        play.queue.add(arrival.at(), event);
    }
    let longest = site.kinds.iter().map(|kind| kind.limit).max();
    let end = time::Mono(0) + site.length + longest.unwrap_or_default();
    while let Some((now, event)) = play.queue.pop() {
        if now > end {
            break;
        }
        play.step(now, event);
    }
    let mut outcome = play.counter.finish(site);
    outcome.policy = policy.to_string();
    outcome.seed = seed;
    outcome
}

fn host(service: &Service) -> Host {
    let machine = match &service.work {
        Work::Engine(rules) => Machine::Engine(Engine::new(*rules, service.slots, service.queue)),
        Work::Plain(work) => Machine::Plain(Plain::new(*work, service.slots, service.queue)),
    };
    Host {
        machine,
        dark: false,
    }
}

fn job(number: u64, open: &Open, kind: &Kind) -> Job {
    let arrival = &open.arrival;
    let part = part_id(arrival.kind, arrival.part);
    Job {
        number,
        shared: (kind.shared > 0).then_some((part, kind.shared)),
        own: arrival.own,
        output: arrival.output.max(1),
        rank: kind.rank,
        fetches: open.fetches,
    }
}

/// Returns the id of what a request is about; kinds share nothing.
fn part_id(kind: usize, part: u32) -> PartId {
    hash::mix(kind as u64 + 1, u64::from(part) + 1)
}

impl Host {
    fn load(&self) -> u32 {
        match &self.machine {
            Machine::Engine(engine) => engine.load(),
            Machine::Plain(plain) => plain.load(),
        }
    }

    fn slow(&mut self, factor: f64) {
        match &mut self.machine {
            Machine::Engine(engine) => engine.slowness = factor,
            Machine::Plain(plain) => plain.slowness = factor,
        }
    }

    fn crash(&mut self) -> Vec<u64> {
        match &mut self.machine {
            Machine::Engine(engine) => engine.crash(),
            Machine::Plain(plain) => plain.crash(),
        }
    }

    fn cancel(&mut self, number: u64) {
        match &mut self.machine {
            Machine::Engine(engine) => engine.cancel(number),
            Machine::Plain(plain) => plain.end(number),
        }
    }
}

impl<'a> Play<'a> {
    fn new(site: &'a Site, policy: Policy, seed: u64) -> Self {
        let rows = node::rows(site);
        let mut play = Self {
            site,
            policy,
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            nodes: Vec::new(),
            index: (0..site.routers.count)
                .map(|number| (node::address(number), number))
                .collect(),
            hosts: Vec::new(),
            ids: BTreeMap::new(),
            teams: teams(site),
            queue: Queue::default(),
            open: BTreeMap::new(),
            numbers: 0,
            runs: 0,
            loss: 0.0,
            lost: BTreeSet::new(),
            counter: Counter::new(site),
            rows,
        };
        for (index, service) in site.services.iter().enumerate() {
            let hosts = (0..service.targets).map(|_| host(service));
            play.hosts.push(hosts.collect());
            for number in 0..service.targets {
                play.ids
                    .insert(node::target(index, number), (index, number));
            }
        }
        for number in 0..site.routers.count {
            let node = play.node(number);
            play.nodes.push(node);
            let first = play.random.random_range(0..200_000);
            play.queue.add(time::Mono(first), Event::Round(number));
        }
        for (index, fault) in site.faults.iter().enumerate() {
            let start = time::Mono(0) + fault.at;
            play.queue.add(start, Event::Fault(index, true));
            let end = start + fault.length;
            play.queue.add(end, Event::Fault(index, false));
        }
        play.queue.add(time::Mono(500_000), Event::Sample);
        play
    }

    fn node(&mut self, number: usize) -> Node {
        self.runs += 1;
        Node::new(self.site, &self.rows, number, self.runs)
    }

    fn step(&mut self, now: time::Mono, event: Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, *arrival),
            Event::Reach(number) => self.reach(now, number),
            Event::Step(service, number) => self.engine_step(now, service, number),
            Event::Work(service, number, request) => self.work_end(now, service, number, request),
            Event::Silent(number) => self.silent(now, number),
            Event::Expire(number) => self.expire(number),
            Event::Round(node) => self.round(now, node),
            Event::Learn(node) => self.learn(now, node),
            Event::Hear(node, ..) if self.lost.contains(&node) => {}
            Event::Hear(node, from, news) => self.nodes[node].hear(now, from, &news),
            Event::Fault(index, begins) => self.fault(now, index, begins),
            Event::Sample => self.sample(now),
        }
    }

    fn arrive(&mut self, now: time::Mono, arrival: Arrival) {
        let kind = &self.site.kinds[arrival.kind];
        if arrival.at == arrival.first {
            self.counter.asked(arrival.kind, arrival.first, kind.worth);
        }
        let node = self.random.random_range(0..self.nodes.len());
        if self.lost.contains(&node) {
            return self.repeat(now, arrival);
        }
        self.offer(now, arrival, node, Vec::new());
    }

    /// Lets a router decide about a request.
    fn offer(&mut self, now: time::Mono, arrival: Arrival, node: usize, tried: Vec<id::TargetId>) {
        let site = self.site;
        let kind = &site.kinds[arrival.kind];
        let service = site.service(&kind.service).expect("the site was checked");
        let chain = chain(&arrival, kind.shared);
        let deadline = time::Mono(arrival.first) + kind.limit;
        let asked = Asked {
            service,
            ask: Query {
                chain: &chain,
                tried: &tried,
                seed: self.random.random(),
            },
            team: &self.teams[arrival.team as usize],
            rank: kind.rank,
            aim: kind.aim,
            left: deadline.since(now),
        };
        let decision = match tried.len() < MOST_SENDS {
            true => self.nodes[node].decide(now, site, self.policy, asked, &mut self.random),
            false => Decision::Nowhere,
        };
        match decision {
            Decision::Send(pick) => self.send(now, arrival, node, service, tried, &chain, &pick),
            Decision::Shed(after) => self.refuse(now, arrival, after),
            Decision::Nowhere => {
                let after = span::Span::from_millis(self.random.random_range(BUSY_AFTER));
                self.refuse(now, arrival, after);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &mut self,
        now: time::Mono,
        arrival: Arrival,
        node: usize,
        service: usize,
        mut tried: Vec<id::TargetId>,
        chain: &PrefixChain,
        pick: &Selection,
    ) {
        let (flight, learned) = pick.target.begin(now, chain, pick.missing);
        let holds = learned
            .into_iter()
            .map(|part| CachedPart::new(pick.target.hash, part));
        self.nodes[node].hold(holds);
        tried.push(pick.target.row.id.clone());
        let path = match pick.target.row.centre == self.nodes[node].centre {
            true => self.site.routers.near,
            false => self.site.routers.far,
        };
        self.numbers += 1;
        let number = self.numbers;
        let limit = self.site.kinds[arrival.kind].limit;
        self.queue.after(now, path, Event::Reach(number));
        let deadline = time::Mono(arrival.first) + limit;
        self.queue.add(deadline, Event::Expire(number));
        let open = Open {
            node,
            service,
            number: self.ids[&pick.target.row.id].1,
            flight,
            sent: now,
            load: pick.load,
            task: pick.source.is_none().then_some(pick.task),
            fetches: pick.source.is_some(),
            timer: EventTimer::default(),
            tried,
            latest: None,
            timely: true,
            arrival,
        };
        self.open.insert(number, open);
    }

    /// Answers a caller who is to come back.
    fn refuse(&mut self, now: time::Mono, arrival: Arrival, after: span::Span) {
        let kind = &self.site.kinds[arrival.kind];
        let again = now + after;
        let deadline = time::Mono(arrival.first) + kind.limit;
        if arrival.repeats >= REPEATS || again >= deadline {
            self.counter
                .end(kind, arrival.kind, arrival.first, End::Refused);
            return;
        }
        let again = Arrival {
            at: again.0,
            repeats: arrival.repeats + 1,
            ..arrival
        };
        self.queue.add(again.at(), Event::Arrive(Box::new(again)));
    }

    fn reach(&mut self, now: time::Mono, number: u64) {
        let Some(open) = self.open.get(&number) else {
            return;
        };
        let (service, target) = (open.service, open.number);
        let job = job(number, open, &self.site.kinds[open.arrival.kind]);
        self.note_bound(service, target);
        let host = &mut self.hosts[service][target];
        if host.dark {
            self.queue.after(now, SILENCE, Event::Silent(number));
            return;
        }
        let taken = match &mut host.machine {
            Machine::Plain(plain) => plain.take(number),
            Machine::Engine(engine) => match engine.take(now, job) {
                Some(reading) => {
                    self.counter.reading(reading);
                    true
                }
                None => false,
            },
        };
        match taken {
            true => self.kick(now, service, target),
            false => self.no_room(now, number),
        }
    }

    fn note_bound(&mut self, service: usize, target: usize) {
        let hosts = &self.hosts[service];
        let total: u32 = hosts.iter().map(Host::load).sum();
        let mean = f64::from(total) / hosts.len() as f64;
        let load = f64::from(hosts[target].load());
        let is_over = load > self.site.routers.factor * mean + BEYOND;
        self.counter.outcome.sends += 1;
        self.counter.outcome.over += u32::from(is_over);
    }

    /// Has a target work on what it has taken.
    fn kick(&mut self, now: time::Mono, service: usize, target: usize) {
        match &mut self.hosts[service][target].machine {
            Machine::Engine(engine) if !engine.stepping => {
                engine.stepping = true;
                self.queue.add(now, Event::Step(service, target));
            }
            Machine::Engine(_) => {}
            Machine::Plain(plain) => {
                while let Some(started) = plain.start(self.random.random_range(VARIATION)) {
                    let event = Event::Work(service, target, started.number);
                    self.queue.after(now, started.time, event);
                }
            }
        }
    }

    /// A target did not run a request.
    fn no_room(&mut self, now: time::Mono, number: u64) {
        let Some(open) = self.open.remove(&number) else {
            return;
        };
        open.flight.target().report_full(now);
        self.offer(now, open.arrival.clone(), open.node, open.tried);
    }

    fn engine_step(&mut self, now: time::Mono, service: usize, target: usize) {
        let host = &mut self.hosts[service][target];
        let Machine::Engine(engine) = &mut host.machine else {
            return;
        };
        if host.dark {
            engine.stepping = false;
            return;
        }
        let (progress, pause) = engine.step(now);
        match pause {
            Some(pause) => self.queue.after(now, pause, Event::Step(service, target)),
            None => engine.stepping = false,
        }
        for progress in progress {
            self.progress(now, progress);
        }
    }

    /// Events of a stream reach its router and its caller.
    fn progress(&mut self, now: time::Mono, progress: Progress) {
        let Some(open) = self.open.get_mut(&progress.number) else {
            return;
        };
        let kind = &self.site.kinds[open.arrival.kind];
        let took = now.since(time::Mono(open.arrival.first));
        match open.latest {
            None => {
                open.timely = took <= kind.aim;
                self.counter
                    .first(open.arrival.kind, open.arrival.first, took);
            }
            Some(latest) => open.timely &= now.since(latest) <= kind.pause,
        }
        open.latest = Some(now);
        let paces = &mut self.nodes[open.node].paces[open.service];
        match open.timer.record(now, progress.events.into()) {
            EventProgress::Pending => {}
            EventProgress::First => {
                open.flight.answered();
                if let Some(task) = open.task.take() {
                    paces.record_response(task, now.since(open.sent));
                }
            }
            EventProgress::Interval(interval) => {
                let expected = paces.record_events(open.load, interval);
                if let Some(expected) = expected.filter(|_| self.policy.times()) {
                    open.flight
                        .target()
                        .record_duration(now, interval.took, expected);
                }
            }
        }
        if progress.whole {
            self.finish(progress.number);
        }
    }

    fn finish(&mut self, number: u64) {
        let Some(open) = self.open.remove(&number) else {
            return;
        };
        open.flight.target().update_breaker(Breaker::record_success);
        let (kind, first) = (open.arrival.kind, open.arrival.first);
        let end = End::Whole(open.timely);
        self.counter.end(&self.site.kinds[kind], kind, first, end);
    }

    fn work_end(&mut self, now: time::Mono, service: usize, target: usize, number: u64) {
        let host = &mut self.hosts[service][target];
        if host.dark {
            return;
        }
        host.cancel(number);
        self.kick(now, service, target);
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        let took = now.since(time::Mono(open.arrival.first));
        let kind = &self.site.kinds[open.arrival.kind];
        open.timely = took <= kind.aim;
        self.counter
            .first(open.arrival.kind, open.arrival.first, took);
        if let Some(task) = open.task {
            let took = now.since(open.sent);
            let paces = &mut self.nodes[open.node].paces[service];
            let expected = paces.record_response(task, took);
            if let Some(expected) = expected.filter(|_| self.policy.times()) {
                open.flight.target().record_duration(now, took, expected);
            }
        }
        self.finish(number);
    }

    /// A target's host acknowledges nothing.
    fn silent(&mut self, now: time::Mono, number: u64) {
        let Some(open) = self.open.remove(&number) else {
            return;
        };
        let lost = |breaker: &mut Breaker| breaker.record_no_response(now);
        open.flight.target().update_breaker(lost);
        let kind = &self.site.kinds[open.arrival.kind];
        match kind.repeatable {
            true => self.offer(now, open.arrival.clone(), open.node, open.tried),
            false => {
                let (index, first) = (open.arrival.kind, open.arrival.first);
                self.counter.end(kind, index, first, End::Failed);
            }
        }
    }

    fn expire(&mut self, number: u64) {
        let Some(open) = self.open.remove(&number) else {
            return;
        };
        self.hosts[open.service][open.number].cancel(number);
        let (kind, first) = (open.arrival.kind, open.arrival.first);
        self.counter
            .end(&self.site.kinds[kind], kind, first, End::Left);
    }

    fn round(&mut self, now: time::Mono, index: usize) {
        let (mut letters, pause) = self.nodes[index].round(now);
        if self.lost.contains(&index) {
            letters.clear();
        }
        let from = self.nodes[index].address;
        for letter in letters {
            let bytes = letter.update.encoded_len() as u64;
            for receiver in letter.receivers {
                self.counter.outcome.messages += 1;
                self.counter.outcome.bytes += bytes;
                if self.random.random_bool(self.loss) {
                    continue;
                }
                let to = self.index[&receiver];
                let path = match self.nodes[to].centre == self.nodes[index].centre {
                    true => self.site.routers.near,
                    false => self.site.routers.far,
                };
                let jitter = span::Span::from_micros(self.random.random_range(0..JITTER));
                let news = Box::new(letter.update.clone());
                self.queue
                    .add(now + path + jitter, Event::Hear(to, from, news));
            }
        }
        self.queue.after(now, pause, Event::Round(index));
    }

    fn fault(&mut self, now: time::Mono, index: usize, begins: bool) {
        match &self.site.faults[index].what {
            // They change arrivals.
            What::Burst(_) | What::Surge(_) | What::Hot(_) => {}
            What::Loss(share) => self.loss = if begins { *share } else { 0.0 },
            What::Restart(share) if begins => self.restart(*share),
            What::Restart(_) => {}
            What::Lose(share) if begins => self.lose(now, *share),
            What::Lose(_) => {
                for number in std::mem::take(&mut self.lost) {
                    self.nodes[number] = self.node(number);
                    self.nodes[number].start_cold(now);
                    self.queue.after(now, LEARN_TIME, Event::Learn(number));
                }
            }
            What::Slow(part) => {
                let factor = if begins { part.factor } else { 1.0 };
                for (service, number) in self.part(part) {
                    self.hosts[service][number].slow(factor);
                }
            }
            What::Dark(part) => {
                for (service, number) in self.part(part) {
                    self.dark(now, service, number, begins);
                }
            }
        }
    }

    fn part(&self, part: &Part) -> Vec<(usize, usize)> {
        let service = self.site.service(&part.service);
        let service = service.expect("the site was checked");
        let targets = self.hosts[service].len();
        let count = (targets as f64 * part.share).round() as usize;
        (0..count).map(|number| (service, number)).collect()
    }

    fn dark(&mut self, now: time::Mono, service: usize, number: usize, begins: bool) {
        let host = &mut self.hosts[service][number];
        host.dark = begins;
        for request in host.crash() {
            self.queue.after(now, SILENCE, Event::Silent(request));
        }
    }

    /// Starts routers anew; what they had open breaks off.
    fn restart(&mut self, share: f64) {
        for arrival in self.break_off(share) {
            let (kind, first) = (arrival.kind, arrival.first);
            self.counter
                .end(&self.site.kinds[kind], kind, first, End::Failed);
        }
        for number in std::mem::take(&mut self.lost) {
            self.nodes[number] = self.node(number);
        }
    }

    /// Loses routers. Callers whose requests may be repeated return.
    fn lose(&mut self, now: time::Mono, share: f64) {
        for arrival in self.break_off(share) {
            let (kind, first) = (arrival.kind, arrival.first);
            match self.site.kinds[kind].repeatable {
                true => self.repeat(now, arrival),
                false => self
                    .counter
                    .end(&self.site.kinds[kind], kind, first, End::Failed),
            }
        }
    }

    /// A caller who found no router, or whose router was lost, returns.
    fn repeat(&mut self, now: time::Mono, arrival: Arrival) {
        let pause = span::Span::from_millis(self.random.random_range(LOST_AFTER));
        let kind = &self.site.kinds[arrival.kind];
        let at = now + pause;
        if at >= time::Mono(arrival.first) + kind.limit {
            let (index, first) = (arrival.kind, arrival.first);
            self.counter.end(kind, index, first, End::Failed);
            return;
        }
        let again = Arrival {
            at: at.0,
            ..arrival
        };
        self.queue.add(again.at(), Event::Arrive(Box::new(again)));
    }

    /// Loses a part of the routers; returns what they had open.
    fn break_off(&mut self, share: f64) -> Vec<Arrival> {
        let mut numbers: Vec<usize> = (0..self.nodes.len()).collect();
        numbers.shuffle(&mut self.random);
        numbers.truncate((numbers.len() as f64 * share).round() as usize);
        self.lost = numbers.into_iter().collect();
        let broken: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| self.lost.contains(&open.node))
            .map(|(number, _)| *number)
            .collect();
        let mut arrivals = Vec::new();
        for number in broken {
            let Some(open) = self.open.remove(&number) else {
                continue;
            };
            self.hosts[open.service][open.number].cancel(number);
            arrivals.push(open.arrival);
        }
        arrivals
    }

    /// A router learns what the engines have cached, by its own queries and those of
    /// the others.
    fn learn(&mut self, now: time::Mono, node: usize) {
        for target in self.nodes[node].fleet.targets() {
            let (service, number) = self.ids[&target.row.id];
            let Machine::Engine(engine) = &self.hosts[service][number].machine else {
                continue;
            };
            for (kind, of) in self.site.kinds.iter().enumerate() {
                for part in 0..of.parts {
                    if engine.holds(part_id(kind, part)) {
                        let id = format!("part-{kind}-{part}");
                        target.add_cached(now, part_hash(&id));
                    }
                }
            }
        }
    }

    fn sample(&mut self, now: time::Mono) {
        let second = self.counter.second(now.0);
        for (service, hosts) in self.site.services.iter().zip(&self.hosts) {
            let loads: Vec<f64> = hosts.iter().map(|host| f64::from(host.load())).collect();
            let mean = loads.iter().sum::<f64>() / loads.len() as f64;
            let most = loads.iter().copied().fold(0.0, f64::max);
            let sampled = &mut self.counter.outcome.seconds[second];
            sampled.load.insert(service.id.clone(), mean);
            let skew = if mean > 0.0 { most / mean } else { 1.0 };
            sampled.skew.insert(service.id.clone(), skew);
        }
        if now < time::Mono(0) + self.site.length {
            let pause = span::Span::from_secs(1);
            self.queue.after(now, pause, Event::Sample);
        }
    }
}

fn teams(site: &Site) -> Vec<id::TeamId> {
    let most = site.kinds.iter().map(|kind| kind.teams).max();
    let team = |number| format!("team-{number}").parse();
    (0..most.unwrap_or_default())
        .map(|number| team(number).expect("the name is a valid id"))
        .collect()
}

/// Returns the parts of a request's prompt.
fn chain(arrival: &Arrival, shared: u32) -> PrefixChain {
    let part = request::Part {
        id: format!("part-{}-{}", arrival.kind, arrival.part),
        tokens: shared,
    };
    let own = request::Part {
        id: format!("own-{}-{}", arrival.first, arrival.own),
        tokens: arrival.own,
    };
    let parts = [part, own].into_iter();
    let parts: Vec<request::Part> = parts.filter(|part| part.tokens > 0).collect();
    PrefixChain::new(&parts)
}
