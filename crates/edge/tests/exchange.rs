//! What a router hears from the others, and whom it tells.

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

/// Data centres; routers belong to them in turn.
const CENTRES: usize = 4;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_340))
}

fn number(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        IpAddr::V6(ip) => panic!("{ip} is no router's"),
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

/// Routers that hear every message at once, unless they are cut off.
struct Fleet {
    routers: Vec<Exchange>,
    loads: BTreeMap<u32, u32>,
    cut: Vec<usize>,
    now: Mono,
    /// The loads of each router as it believes them, by source and target.
    beliefs: Vec<BTreeMap<(u64, u32), u32>>,
    /// Messages of the latest round.
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
            beliefs: vec![BTreeMap::new(); routers],
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
                    .for_each(|letter| self.deliver(from, letter));
            }
        }
    }

    fn deliver(&mut self, from: usize, letter: &Outgoing) {
        for receiver in &letter.receivers {
            self.sent += 1;
            let to = number(*receiver);
            if self.cut.contains(&to) {
                continue;
            }
            let changes = self.routers[to].receive(self.now, address(from), &letter.update);
            for change in changes.into_iter().flatten() {
                let key = (change.source.0, change.target);
                self.beliefs[to].insert(key, change.count);
            }
        }
    }

    /// Returns the requests of others that a router believes to be at a target.
    fn believed(&self, router: usize, target: u32) -> u32 {
        let beliefs = self.beliefs[router].iter();
        let loads = beliefs.filter(|((_, told), _)| *told == target);
        loads.map(|(_, count)| *count).sum()
    }

    fn relays(&self) -> Vec<usize> {
        let is_relay = |router: &usize| self.routers[*router].plan().is_relay;
        (0..self.routers.len()).filter(is_relay).collect()
    }
}

/// Whatever the size of the fleet, each router learns the load of all others.
#[test]
fn whole_load() {
    for routers in [1, 6, 32, 33, 60, 103] {
        let mut fleet = Fleet::new(routers);
        fleet.rounds(5);
        // What was told before all routers had found one another has ended.
        fleet.beliefs.iter_mut().for_each(BTreeMap::clear);
        fleet.rounds(20);
        for router in 0..routers {
            let others = routers as u32 - 1;
            assert_eq!(
                fleet.believed(router, 7),
                2 * others,
                "{router} of {routers}"
            );
            assert_eq!(fleet.believed(router, 9), others, "{router} of {routers}");
        }
    }
}

/// Through relays a router sends a tenth of what it would send if it told all
/// others as often.
#[test]
fn few_messages() {
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

/// Routers notice within a second that relays are gone, and hear of all others
/// through new ones.
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
        "they relay again after their return"
    );
}

/// A data centre that is cut off goes on by itself.
#[test]
fn cut_centre() {
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

/// Late and repeated messages change nothing.
#[test]
fn old_message() {
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

/// A router relies on its relays' reads of the table only while they tell of them.
#[test]
fn informed_by_relays() {
    let mut fleet = Fleet::new(60);
    fleet.rounds(60);
    let relays = fleet.relays();
    let member = (0..60).find(|router| !relays.contains(router));
    let member = member.expect("a member");
    assert_eq!(
        fleet.routers[member].relayed_change(fleet.now),
        None,
        "they do not read"
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
        "they are silent"
    );
    assert_eq!(fleet.routers[relays[0]].relayed_change(fleet.now), None);
}
