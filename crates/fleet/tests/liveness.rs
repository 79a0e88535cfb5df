//! Running members stay known within the byte budget, and dead ones are
//! removed.

mod common;

use std::collections::BTreeSet;

use base::{hash, rate, span, time};
use common::{address, agent, router};
use fleet::{budget, exchange as ex, member, rules};

/// Processes that exchange on a simulated clock, in a fixed order.
struct Net {
    nodes: Vec<(ex::Exchange, budget::Budget)>,
    now: time::Mono,
    down: BTreeSet<usize>,
    /// One in this many messages is lost; 0 for none.
    loss_every: u64,
    sent: u64,
    removed: usize,
}

/// Number of agents of one service, as at the design size.
const GROUP: u16 = 33;

fn describe(nth: u16) -> member::Member {
    match nth.is_multiple_of(3) {
        true => router(nth),
        false => agent(nth, &format!("model-{}", nth / 3 * 2 / GROUP)),
    }
}

impl Net {
    fn new(count: u16) -> Self {
        let now = time::Mono::default();
        let node = |nth| {
            let seed = hash::mix(u64::from(nth), 3);
            let rules = rules::Rules::default();
            let seeds = vec![address(0), address(1)];
            let exchange = ex::Exchange::new(now, describe(nth), rules, seeds, seed);
            (exchange, budget::Budget::joining(now))
        };
        Self {
            nodes: (0..count).map(node).collect(),
            now,
            down: BTreeSet::new(),
            loss_every: 0,
            sent: 0,
            removed: 0,
        }
    }

    /// Replaces the budget of every process with one of the same rate.
    fn limit(&mut self, bytes: u64) {
        for (_, budget) in &mut self.nodes {
            *budget = budget::Budget::new(self.now, rate::ByteRate(bytes), bytes * 4);
        }
    }

    fn run(&mut self, secs: u64) {
        let end = self.now + span::Span::from_secs(secs);
        while self.now < end {
            self.now = self.now + span::Span::from_millis(100);
            for nth in 0..self.nodes.len() {
                if !self.down.contains(&nth) {
                    self.exchange(nth);
                }
            }
        }
    }

    fn exchange(&mut self, nth: usize) {
        let now = self.now;
        let (exchange, budget) = &mut self.nodes[nth];
        if exchange.due(now, budget) > now {
            return;
        }
        self.removed += exchange.members.expire(now).len();
        let Some(to) = exchange.next_partner(now) else {
            return;
        };
        let Some(request) = exchange.compose(now, budget, &to) else {
            return;
        };
        let [_, _, high, low] = match to.address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets(),
            std::net::IpAddr::V6(_) => panic!("addresses are IPv4"),
        };
        let other = usize::from(u16::from_be_bytes([high, low]));
        if self.down.contains(&other) || self.is_lost() {
            let (exchange, _) = &mut self.nodes[nth];
            exchange.record_failure(now, &to, member::Failure::Other);
            return;
        }
        let (exchange, budget) = &mut self.nodes[other];
        let (answer, _) = exchange.answer(now, budget, &request);
        if self.is_lost() {
            return;
        }
        let (exchange, budget) = &mut self.nodes[nth];
        exchange.apply(now, budget, &answer);
    }

    fn counts(&self) -> Vec<usize> {
        let reporting = |node: &(ex::Exchange, _)| node.0.members.reporting();
        self.nodes.iter().map(reporting).collect()
    }

    fn is_lost(&mut self) -> bool {
        self.sent += 1;
        self.loss_every > 0 && hash::mix(self.sent, 5).is_multiple_of(self.loss_every)
    }
}

#[test]
fn low_rate() {
    // Guards against the removal of live members because load reports use all
    // bytes. Here a message has about 175 bytes for records, 0.58 for each
    // member; at the full rate it has 700, 0.63 for each of 1,110 members.
    let mut net = Net::new(300);
    net.run(40);
    assert_eq!(net.counts(), vec![300; 300]);
    net.limit(2000);
    net.loss_every = 10;
    net.run(120);
    assert_eq!(net.removed, 0);
    assert_eq!(net.counts(), vec![300; 300]);
}

#[test]
fn asked_directly() {
    // Guards against the removal of a member whose heartbeats others do not
    // relay: it is contacted directly before the removal timeout.
    let mut net = Net::new(2);
    net.run(10);
    let now = net.now;
    let (exchange, _) = &mut net.nodes[0];
    for nth in 2..40 {
        exchange.members.report(now, describe(nth));
    }
    let quiet = now + span::Span::from_secs(41);
    let asked: BTreeSet<_> = (0..20)
        .filter_map(|turn| exchange.next_partner(quiet + span::Span::from_secs(turn)))
        .filter_map(|partner| partner.process)
        .collect();
    assert!(asked.len() > 6, "asked only {asked:?}");
}

#[test]
fn dead_removed() {
    // Guards against heartbeats that keep circulating for a dead member.
    let count = 40;
    let mut net = Net::new(count);
    net.run(20);
    net.down.insert(7);
    // The last heartbeat reaches all others within seconds, and then 60 s pass.
    net.run(75);
    let dead = describe(7).process;
    let gone = net.nodes.iter().enumerate().filter(|(nth, _)| *nth != 7);
    for (_, (exchange, _)) in gone {
        assert_eq!(exchange.members.get(net.now, &dead), None);
    }
}
