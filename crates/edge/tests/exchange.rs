//! Tests of the load updates that routers send to one another, directly and through
//! relays.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use base::{cores::Cores, span::Span, time::Mono};
use edge::{
    evacuation::{Evacuation, Evacuations},
    exchange::{Exchange, Outgoing},
    relays::{self, CentreHash, Router},
    update::{Scope, Update},
};
use platform::rows::Position;
use prost::Message;

/// Number of data centres; the tests assign routers to them round-robin.
const CENTRES: usize = 4;

fn router_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_340))
}

fn router_number(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        IpAddr::V6(ip) => panic!("unexpected IPv6 address {ip}"),
    }
}

fn exchange(number: usize, routers: usize) -> Exchange {
    let own = Router {
        address: router_address(number),
        rank: relays::rank(router_address(number)),
        centre: CentreHash((number % CENTRES) as u64 + 1),
        share: Cores(100),
        uses_relays: false,
    };
    let seeds: Vec<_> = (0..routers)
        .filter(|other| *other != number)
        .map(router_address)
        .collect();
    Exchange::new(own, 1_000 + number as u64, &seeds)
}

/// Simulated routers. Updates arrive without delay, except at routers that are cut
/// off.
struct Simulation {
    routers: Vec<Exchange>,
    /// Number of requests per target that every router reports.
    loads: BTreeMap<u32, u32>,
    /// Numbers of the routers that neither send nor receive updates.
    cut_off: Vec<usize>,
    now: Mono,
    /// The loads that each router knows, by source (the router or group of routers
    /// that a load belongs to) and target.
    known: Vec<BTreeMap<(u64, u32), u32>>,
    /// Number of updates sent in the latest round.
    sent: usize,
    evacuations: Vec<Evacuations>,
    /// Bytes of evacuations that each router has sent.
    evacuation_bytes: Vec<usize>,
}

impl Simulation {
    fn new(routers: usize) -> Self {
        Self {
            routers: (0..routers)
                .map(|number| exchange(number, routers))
                .collect(),
            loads: BTreeMap::from([(7, 2), (9, 1)]),
            cut_off: Vec::new(),
            now: Mono(0),
            known: vec![BTreeMap::new(); routers],
            sent: 0,
            evacuations: vec![Evacuations::default(); routers],
            evacuation_bytes: vec![0; routers],
        }
    }

    fn run_rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.now = self.now + Span::from_millis(100);
            self.sent = 0;
            let outgoing: Vec<(usize, Vec<Outgoing>)> = (0..self.routers.len())
                .filter(|router| !self.cut_off.contains(router))
                .map(|router| (router, self.routers[router].round(self.now, &self.loads)))
                .collect();
            for (from, mut outgoing) in outgoing {
                let report = self.evacuations[from].report(self.now);
                for message in &mut outgoing {
                    let without = message.update.encoded_len();
                    message.update.evacuations = report.entries(&message.update);
                    let bytes = message.update.encoded_len() - without;
                    self.evacuation_bytes[from] += bytes * message.receivers.len();
                    self.deliver(from, message);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, message: &Outgoing) {
        for receiver in &message.receivers {
            self.sent += 1;
            let to = router_number(*receiver);
            if self.cut_off.contains(&to) {
                continue;
            }
            let entries = message.update.evacuations.iter();
            let entries = entries.map(|entry| Evacuation::try_from(entry).expect("an id"));
            self.evacuations[to].merge(self.now, entries.collect());
            let changes = self.routers[to].receive(self.now, router_address(from), &message.update);
            for change in changes.into_iter().flatten() {
                let key = (change.source.0, change.target);
                self.known[to].insert(key, change.count);
            }
        }
    }

    /// Returns how many requests of other routers are at a target, as far as the
    /// given router knows.
    fn known_load(&self, router: usize, target: u32) -> u32 {
        let known = self.known[router].iter();
        let loads = known.filter(|((_, known), _)| *known == target);
        loads.map(|(_, count)| *count).sum()
    }

    /// Applies a row of the table at one router.
    fn evacuate(&mut self, router: usize, position: u64, active: bool) {
        let row = Evacuation {
            centre: "north".parse().expect("an id"),
            position: Position::from(position),
            active,
        };
        self.evacuations[router].apply_rows(self.now, vec![row]);
    }

    /// Runs rounds until the given routers agree, and returns their number.
    fn rounds_until(&mut self, routers: std::ops::Range<usize>, active: bool) -> usize {
        for rounds in 0..200 {
            let mut known = routers.clone().map(|router| &self.evacuations[router]);
            if known.all(|known| known.active().len() == usize::from(active)) {
                return rounds;
            }
            self.run_rounds(1);
        }
        panic!("routers do not agree after 200 rounds");
    }

    /// Returns how many bytes of evacuations the busiest router sends in a second.
    fn evacuation_rate(&mut self, rounds: usize) -> usize {
        self.evacuation_bytes.fill(0);
        self.run_rounds(rounds);
        self.evacuation_bytes.iter().max().expect("routers") * 10 / rounds
    }

    fn relays(&self) -> Vec<usize> {
        let is_relay = |router: &usize| self.routers[*router].plan().is_relay;
        (0..self.routers.len()).filter(is_relay).collect()
    }
}

/// Each router learns the total load of all others, for any number of routers.
#[test]
fn total_load() {
    for routers in [1, 6, 32, 33, 60, 103] {
        let mut simulation = Simulation::new(routers);
        simulation.run_rounds(5);
        // Drops the loads of the first rounds: routers that did not know all
        // others yet may have sent loads that no longer apply.
        simulation.known.iter_mut().for_each(BTreeMap::clear);
        simulation.run_rounds(20);
        for router in 0..routers {
            let others = routers as u32 - 1;
            assert_eq!(
                simulation.known_load(router, 7),
                2 * others,
                "{router} of {routers}"
            );
            assert_eq!(
                simulation.known_load(router, 9),
                others,
                "{router} of {routers}"
            );
        }
    }
}

/// With relays, all routers together send less than a tenth of the updates that
/// sending to every other router in each round would take.
#[test]
fn few_updates() {
    const ROUTERS: usize = 103;
    const ROUNDS: usize = 60;
    let mut simulation = Simulation::new(ROUTERS);
    simulation.run_rounds(160);
    let mut sent = 0;
    for _ in 0..ROUNDS {
        simulation.run_rounds(1);
        sent += simulation.sent;
    }
    let all = ROUNDS * ROUTERS * (ROUTERS - 1);
    println!("{sent} updates sent; {all} without relays");
    assert!(sent * 10 < all, "{sent} updates sent; {all} without relays");
}

/// An evacuation that one router reads from the table reaches all others within a
/// second, and so does its end. A router that was cut off during the end, for longer than
/// it is announced, must not stay behind, and must not bring the evacuation back.
#[test]
fn evacuations_spread() {
    for routers in [6, 32, 103, 360] {
        let mut simulation = Simulation::new(routers);
        simulation.run_rounds(60);
        assert_eq!(simulation.evacuation_rate(10), 0);
        simulation.evacuate(1, 1_000_000, true);
        let spread = simulation.rounds_until(0..routers, true);
        let first = simulation.evacuation_rate(40);
        simulation.run_rounds(40);
        let lasting = simulation.evacuation_rate(100);
        simulation.cut_off = vec![0];
        simulation.evacuate(1, 1_000_001, false);
        let withdrawn = simulation.rounds_until(1..routers, false);
        simulation.run_rounds(60);
        simulation.cut_off.clear();
        let healed = simulation.rounds_until(0..routers, false);
        println!(
            "{routers} routers: known after {spread} rounds, withdrawn after {withdrawn}, \
             after {healed} at the one cut off; {first} B/s, then {lasting} B/s"
        );
        assert!(
            spread <= 10 && withdrawn <= 10,
            "{spread}, {withdrawn} rounds"
        );
        simulation.run_rounds(70);
        assert_eq!(simulation.rounds_until(0..routers, false), 0);
        assert_eq!(simulation.evacuation_rate(20), 0);
    }
}

/// Routers notice within about a second that relays are down, and then receive the
/// loads of all others through new relays.
#[test]
fn lost_relays() {
    let mut simulation = Simulation::new(60);
    simulation.run_rounds(60);
    let old_relays = simulation.relays();
    assert_eq!(old_relays.len(), 2 * CENTRES, "two relays per data centre");
    simulation.cut_off = old_relays.clone();
    simulation.run_rounds(12);
    simulation.loads = BTreeMap::from([(7, 5)]);
    simulation.run_rounds(12);
    let remaining = simulation.routers.len() - old_relays.len();
    for router in (0..simulation.routers.len()).filter(|router| !old_relays.contains(router)) {
        let freshness = simulation.routers[router].freshness(simulation.now);
        assert!(
            freshness.age < Span::from_millis(300),
            "{router}: {freshness:?}"
        );
        assert_eq!(freshness.routers as usize, remaining - 1, "{router}");
    }
    simulation.cut_off.clear();
    simulation.run_rounds(100);
    assert_eq!(
        simulation.relays(),
        old_relays,
        "the same routers relay again after they come back"
    );
}

/// Routers in a data centre that is cut off still learn the loads of one another.
#[test]
fn isolated_centre() {
    let mut simulation = Simulation::new(60);
    simulation.run_rounds(60);
    simulation.cut_off = (0..60).filter(|router| router % CENTRES != 0).collect();
    simulation.run_rounds(30);
    for router in (0..60).step_by(CENTRES) {
        let freshness = simulation.routers[router].freshness(simulation.now);
        assert!(
            freshness.age < Span::from_millis(300),
            "{router}: {freshness:?}"
        );
        assert_eq!(
            freshness.routers, 14,
            "{router}: 15 routers in the data centre, less itself"
        );
    }
}

/// Delayed and repeated updates have no effect.
#[test]
fn old_update() {
    let mut exchange = exchange(0, 2);
    let update = |sequence, count| Update {
        run: 5,
        sequence,
        targets: vec![7],
        counts: vec![count],
        scope: Scope::Own.into(),
        coverage: 1,
        ..Update::default()
    };
    assert!(
        exchange
            .receive(Mono(1), router_address(1), &update(2, 4))
            .is_some()
    );
    assert!(
        exchange
            .receive(Mono(2), router_address(1), &update(1, 9))
            .is_none()
    );
    assert!(
        exchange
            .receive(Mono(3), router_address(1), &update(2, 4))
            .is_none()
    );
    let changes = exchange.receive(Mono(4), router_address(1), &update(3, 0));
    assert_eq!(changes.map(|changes| changes[0].count), Some(0));
}

/// A router takes the position of the latest change in the table from its relays
/// only while they read the table and send updates.
#[test]
fn latest_change() {
    let mut simulation = Simulation::new(60);
    simulation.run_rounds(60);
    let relays = simulation.relays();
    let ordinary = (0..60).find(|router| !relays.contains(router));
    let ordinary = ordinary.expect("a router that is not a relay");
    assert_eq!(
        simulation.routers[ordinary].relayed_change(simulation.now),
        None,
        "relays do not read the table"
    );
    let relay = simulation.routers[ordinary].plan().own[0];
    let update = Update {
        run: 77,
        sequence: 1,
        reads_table: true,
        last_change: 41,
        centre: (ordinary % CENTRES) as u64 + 1,
        ..Update::default()
    };
    simulation.routers[ordinary].receive(simulation.now, relay, &update);
    assert_eq!(
        simulation.routers[ordinary].relayed_change(simulation.now),
        Some(Position::from(41))
    );
    let later = simulation.now + Span::from_millis(700);
    assert_eq!(
        simulation.routers[ordinary].relayed_change(later),
        None,
        "relays send no updates any more"
    );
    assert_eq!(
        simulation.routers[relays[0]].relayed_change(simulation.now),
        None,
        "a relay reads the table itself"
    );
}
