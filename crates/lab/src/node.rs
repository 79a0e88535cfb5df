//! A router in a play: the router's own decisions, with the messages that it
//! exchanges.

use std::net::{Ipv4Addr, SocketAddr};

use admit::{
    cold_prompts::{ColdPrompts, Engines},
    shares::TeamShares,
    shed,
};
use base::{cores::Cores, hash, id, span, time};
use edge::{
    decide::{Capabilities, Query, Selection, ServiceState},
    exchange::{Exchange, Outgoing},
    fleet::Fleet,
    relays::{self, CentreHash, Router},
    target_status,
    timing::ServiceLatencies,
    update::{CachedPart, MAX_CACHED, Update},
};
use place::region::Placement;
use platform::target as row;
use rand::{RngExt, rngs::ChaCha8Rng};

use crate::{
    policy::Policy,
    site::{Site, Work},
};

/// Port on which routers of a play hear one another.
const PORT: u16 = 7_340;

/// A router's share of a processor; all have the same.
const SHARE: Cores = Cores(200);

/// A router.
pub struct Node {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: id::DataCentre,
    /// Its targets.
    pub fleet: Fleet,
    /// What it learned of the speed of targets, by service.
    pub paces: Vec<ServiceLatencies>,
    shares: TeamShares,
    exchange: Exchange,
    holds: Vec<CachedPart>,
    delay: span::Span,
    routers: u32,
    cold_prompts: ColdPrompts,
}

/// A request as a router sees it.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Position of its service in the site.
    pub service: usize,
    /// The parts of its prompt, and the targets that are not asked again.
    pub ask: Query<'a>,
    /// Its team.
    pub team: &'a id::TeamId,
    /// Its urgency.
    pub rank: u8,
    /// Time in which a response is wanted, and that the caller still waits.
    pub aim: span::Span,
    /// As above.
    pub left: span::Span,
}

/// What a router decides.
pub enum Decision {
    /// It sends the request to a target.
    Send(Selection),
    /// It refuses the request.
    Shed(span::Span),
    /// No target takes it.
    Nowhere,
}

/// Returns the address of a router.
pub fn address(number: usize) -> SocketAddr {
    let host = Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8);
    SocketAddr::new(host.into(), PORT)
}

fn centre(number: usize) -> id::DataCentre {
    let centre = format!("centre-{number}").parse();
    centre.expect("the name is a valid id")
}

/// Returns the rows of all targets; each is named after its service and number.
pub fn rows(site: &Site) -> Vec<row::Target> {
    let mut rows = Vec::new();
    for (index, service) in site.services.iter().enumerate() {
        for number in 0..service.targets {
            let host = Ipv4Addr::new(10, 1 + index as u8, (number / 250) as u8, number as u8);
            rows.push(row::Target {
                id: target(index, number),
                address: SocketAddr::new(host.into(), 80),
                service: service_id(index),
                centre: centre(number % site.routers.centres),
                slots: service.slots,
                cold: span::Span::ZERO,
                leaving: false,
                started_at: 1,
            });
        }
    }
    rows
}

fn service_id(index: usize) -> id::ServiceId {
    let id = format!("service-{index}").parse();
    id.expect("the name is a valid id")
}

/// Returns the id of a target.
pub fn target(service: usize, number: usize) -> id::TargetId {
    let id = format!("target-{service}-{number}").parse();
    id.expect("the name is a valid id")
}

impl Node {
    /// Makes a router that knows nothing but the rows.
    pub fn new(site: &Site, rows: &[row::Target], number: usize, run: u64) -> Self {
        let own = Router {
            address: address(number),
            rank: relays::rank(address(number)),
            centre: CentreHash(hash::bytes(
                centre(number % site.routers.centres).as_str().as_bytes(),
            )),
            share: SHARE,
            uses_relays: false,
        };
        let others = (0..site.routers.count).filter(|other| *other != number);
        let listed: Vec<SocketAddr> = others.map(address).collect();
        let rows: Vec<&row::Target> = rows.iter().collect();
        Self {
            address: own.address,
            centre: centre(number % site.routers.centres),
            fleet: Fleet::new(&rows, None),
            paces: vec![ServiceLatencies::default(); site.services.len()],
            shares: TeamShares::default(),
            exchange: Exchange::new(own, run, &listed),
            holds: Vec::new(),
            delay: span::Span::ZERO,
            routers: site.routers.count as u32,
            cold_prompts: ColdPrompts::default(),
        }
    }

    /// Decides what happens to a request.
    pub fn decide(
        &mut self,
        now: time::Mono,
        site: &Site,
        policy: Policy,
        asked: Asked,
        random: &mut ChaCha8Rng,
    ) -> Decision {
        let id = service_id(asked.service);
        let engines = matches!(site.services[asked.service].work, Work::Engine(_));
        let beliefs = ServiceState {
            targets: self.fleet.service(&id),
            capabilities: Some(Capabilities {
                engines,
                fetches: engines,
            }),
            latency: &self.paces[asked.service].responses,
            contention: self.paces[asked.service].contention,
            centre: &self.centre,
            rate: self.shares.rate(now, &id),
            routers: self.routers,
            staleness: self.delay,
            load_factor: site.routers.factor,
            placement: Placement::default(),
            cold: None,
        };
        let Some(pick) = policy.choose(now, &beliefs, asked.ask, random) else {
            return Decision::Nowhere;
        };
        if policy.sheds() && asked.ask.tried.is_empty() {
            let request = shed::RequestInfo {
                rank: asked.rank,
                share: self.shares.relative_share(now, &id, asked.team),
                latency_goal: asked.aim,
                remaining: asked.left,
            };
            if let Some(shed) = beliefs.shed(&pick, request, random.random()) {
                return Decision::Shed(shed.after);
            }
            if engines && policy.limits_cold_prompts() {
                let engines = Engines {
                    count: beliefs.targets.len(),
                    prefill: beliefs.latency.prefill(),
                    routers: self.routers,
                };
                let (missing, left) = (pick.missing, asked.left);
                let spread = asked.ask.seed as f64 / u64::MAX as f64;
                let prompts = &mut self.cold_prompts;
                if let Err(after) = prompts.send(now, &id, missing, engines, left, spread) {
                    return Decision::Shed(after);
                }
            }
        }
        if asked.ask.tried.is_empty() {
            self.shares.record(now, &id, asked.team);
        }
        Decision::Send(pick)
    }

    /// Starts after a loss, without knowing what engines have cached.
    pub fn start_cold(&mut self, now: time::Mono) {
        self.cold_prompts.start(now);
    }

    /// Notes prompt parts that a target keeps.
    pub fn hold(&mut self, holds: impl Iterator<Item = CachedPart>) {
        self.holds.extend(holds);
    }

    /// Returns what the router tells now, and when it tells again.
    pub fn round(&mut self, now: time::Mono) -> (Vec<Outgoing>, span::Span) {
        let mut letters = self.exchange.round(now, &self.fleet.loads());
        let told = target_status::collect(&self.fleet, now);
        let most = self.holds.len().min(MAX_CACHED);
        let holds: Vec<CachedPart> = self.holds.drain(..most).collect();
        for letter in &mut letters {
            letter.update.blocked.clone_from(&told.blocked);
            letter.update.slow.clone_from(&told.slow);
            if letter.cached {
                letter.update.cached.clone_from(&holds);
            }
        }
        self.delay = self.exchange.freshness(now).delay;
        self.routers = self.exchange.routers(now);
        (letters, self.exchange.interval())
    }

    /// Takes in what another router tells.
    pub fn hear(&mut self, now: time::Mono, from: SocketAddr, news: &Update) {
        let Some(changes) = self.exchange.receive(now, from, news) else {
            return;
        };
        let learned = target_status::apply(&self.fleet, now, news, &changes);
        if self.exchange.aggregates(now) {
            self.holds.extend(learned);
        }
    }
}
