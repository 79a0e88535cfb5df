//! Tests of the load updates that routers send to one another, directly and through
//! relays.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use base::{cores::Cores, span::Span, time::Mono};
use edge::{
    exchange::{Exchange, Outgoing},
    relays::{self, CentreHash, Router},
    update::{Scope, Update},
};

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
            for (from, outgoing) in outgoing {
                outgoing
                    .iter()
                    .for_each(|message| self.deliver(from, message));
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
        Some(41)
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
