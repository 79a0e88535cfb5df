//! Updates that routers send to one another, directly and through relays.

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

/// Number of data centres; routers are assigned to them in rotation.
const CENTRES: usize = 4;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_340))
}

fn number(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        IpAddr::V6(ip) => panic!("unexpected IPv6 address {ip}"),
    }
}

fn exchange(number: usize, routers: usize) -> Exchange {
    let own = Router {
        address: address(number),
        rank: relays::rank(address(number)),
        centre: CentreHash((number % CENTRES) as u64 + 1),
        share: Cores(100),
        uses_relays: false,
    };
    let seeds: Vec<_> = (0..routers)
        .filter(|other| *other != number)
        .map(address)
        .collect();
    Exchange::new(own, 1_000 + number as u64, &seeds)
}

/// Routers that receive every update at once, unless they are cut off.
struct Fleet {
    routers: Vec<Exchange>,
    loads: BTreeMap<u32, u32>,
    cut: Vec<usize>,
    now: Mono,
    /// The loads that each router knows, by source and target.
    known: Vec<BTreeMap<(u64, u32), u32>>,
    /// Number of updates sent in the latest round.
    sent: usize,
}

impl Fleet {
    fn new(routers: usize) -> Self {
        Self {
            routers: (0..routers)
                .map(|number| exchange(number, routers))
                .collect(),
            loads: BTreeMap::from([(7, 2), (9, 1)]),
            cut: Vec::new(),
            now: Mono(0),
            known: vec![BTreeMap::new(); routers],
            sent: 0,
        }
    }

    fn rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now = self.now + Span::from_millis(100);
            self.sent = 0;
            let outgoing: Vec<(usize, Vec<Outgoing>)> = (0..self.routers.len())
                .filter(|router| !self.cut.contains(router))
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
            let to = number(*receiver);
            if self.cut.contains(&to) {
                continue;
            }
            let changes = self.routers[to].receive(self.now, address(from), &message.update);
            for change in changes.into_iter().flatten() {
                let key = (change.source.0, change.target);
                self.known[to].insert(key, change.count);
            }
        }
    }

    /// Returns the number of requests of other routers that a router knows of at
    /// a target.
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

/// Each router learns the total load of all others, whatever the size of the
/// fleet.
#[test]
fn total_load() {
    for routers in [1, 6, 32, 33, 60, 103] {
        let mut fleet = Fleet::new(routers);
        fleet.rounds(5);
        // Loads that were sent before all routers had found one another are
        // outdated.
        fleet.known.iter_mut().for_each(BTreeMap::clear);
        fleet.rounds(20);
        for router in 0..routers {
            let others = routers as u32 - 1;
            assert_eq!(
                fleet.known_load(router, 7),
                2 * others,
                "{router} of {routers}"
            );
            assert_eq!(fleet.known_load(router, 9), others, "{router} of {routers}");
        }
    }
}

/// With relays, a router sends at most a tenth of the updates that it would send
/// to all others at the same rate.
#[test]
fn few_updates() {
    const ROUTERS: usize = 103;
    const ROUNDS: usize = 60;
    let mut fleet = Fleet::new(ROUTERS);
    fleet.rounds(160);
    let mut sent = 0;
    for _ in 0..ROUNDS {
        fleet.rounds(1);
        sent += fleet.sent;
    }
    let all = ROUNDS * ROUTERS * (ROUTERS - 1);
    println!("{sent} messages, {all} to all others");
    assert!(sent * 10 < all, "{sent}");
}

/// Routers notice within about a second that relays are down, and receive the
/// loads of all others through new ones.
#[test]
fn lost_relays() {
    let mut fleet = Fleet::new(60);
    fleet.rounds(60);
    let before = fleet.relays();
    assert_eq!(before.len(), 2 * CENTRES);
    fleet.cut = before.clone();
    fleet.rounds(12);
    fleet.loads = BTreeMap::from([(7, 5)]);
    fleet.rounds(12);
    let left = fleet.routers.len() - before.len();
    for router in (0..fleet.routers.len()).filter(|router| !before.contains(router)) {
        let known = fleet.routers[router].freshness(fleet.now);
        assert!(known.age < Span::from_millis(300), "{router}: {known:?}");
        assert_eq!(known.routers as usize, left - 1, "{router}");
    }
    fleet.cut.clear();
    fleet.rounds(100);
    assert_eq!(
        fleet.relays(),
        before,
        "the same routers relay after they come back"
    );
}

/// A data centre that is cut off continues with the loads of its own routers.
#[test]
fn isolated_centre() {
    let mut fleet = Fleet::new(60);
    fleet.rounds(60);
    fleet.cut = (0..60).filter(|router| router % CENTRES != 0).collect();
    fleet.rounds(30);
    for router in (0..60).step_by(CENTRES) {
        let known = fleet.routers[router].freshness(fleet.now);
        assert!(known.age < Span::from_millis(300), "{router}: {known:?}");
        assert_eq!(known.routers, 14, "{router}");
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
            .receive(Mono(1), address(1), &update(2, 4))
            .is_some()
    );
    assert!(
        exchange
            .receive(Mono(2), address(1), &update(1, 9))
            .is_none()
    );
    assert!(
        exchange
            .receive(Mono(3), address(1), &update(2, 4))
            .is_none()
    );
    let changes = exchange.receive(Mono(4), address(1), &update(3, 0));
    assert_eq!(changes.map(|changes| changes[0].count), Some(0));
}

/// A router relies on the table reads of its relays only while they send
/// updates.
#[test]
fn relayed_changes() {
    let mut fleet = Fleet::new(60);
    fleet.rounds(60);
    let relays = fleet.relays();
    let member = (0..60).find(|router| !relays.contains(router));
    let member = member.expect("a member");
    assert_eq!(
        fleet.routers[member].relayed_change(fleet.now),
        None,
        "relays do not read the table"
    );
    let relay = fleet.routers[member].plan().own[0];
    let update = Update {
        run: 77,
        sequence: 1,
        reads_table: true,
        last_change: 41,
        centre: (member % CENTRES) as u64 + 1,
        ..Update::default()
    };
    fleet.routers[member].receive(fleet.now, relay, &update);
    assert_eq!(fleet.routers[member].relayed_change(fleet.now), Some(41));
    let later = fleet.now + Span::from_millis(700);
    assert_eq!(
        fleet.routers[member].relayed_change(later),
        None,
        "relays send no updates"
    );
    assert_eq!(fleet.routers[relays[0]].relayed_change(fleet.now), None);
}
