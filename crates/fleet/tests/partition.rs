//! Joins, network partitions and restarts among a few processes.

mod common;

use std::collections::BTreeSet;

use base::{id, span, time};
use common::{address, agent, exchange, later};
use fleet::{budget, exchange as ex, member};

/// Processes at consecutive addresses that exchange on a simulated clock.
struct Net {
    nodes: Vec<(ex::Exchange, budget::Budget)>,
    now: time::Mono,
    /// Processes that can reach only one another.
    isolated: BTreeSet<usize>,
}

impl Net {
    fn new(count: u16) -> Self {
        let now = time::Mono::default();
        let node = |nth| {
            let exchange = exchange(agent(nth, "crew"), address(0));
            (exchange, budget::Budget::joining(now))
        };
        let nodes = (0..count).map(node).collect();
        let isolated = BTreeSet::new();
        Self {
            nodes,
            now,
            isolated,
        }
    }

    /// Runs all exchanges that are due in the next `secs` seconds.
    fn run(&mut self, secs: u64) {
        let step = span::Span::from_millis(50);
        let end = self.now + span::Span::from_secs(secs);
        while self.now < end {
            self.now = self.now + step;
            for nth in 0..self.nodes.len() {
                self.exchange(nth);
            }
        }
    }

    fn exchange(&mut self, nth: usize) {
        let now = self.now;
        let (exchange, budget) = &mut self.nodes[nth];
        if exchange.due(now, budget) > now {
            return;
        }
        exchange.members.expire(now);
        let Some(to) = exchange.next_partner(now) else {
            return;
        };
        let Some(request) = exchange.compose(now, budget, &to) else {
            return;
        };
        let at = |node: &(ex::Exchange, _)| node.0.members.own().address == to.address;
        let other = self.nodes.iter().position(at);
        let reached = other.filter(|o| self.isolated.contains(o) == self.isolated.contains(&nth));
        let Some(other) = reached else {
            let (exchange, _) = &mut self.nodes[nth];
            exchange.record_failure(now, &to, member::Failure::Other);
            return;
        };
        let (exchange, budget) = &mut self.nodes[other];
        let (answer, _) = exchange.answer(now, budget, &request);
        let (exchange, budget) = &mut self.nodes[nth];
        exchange.apply(now, budget, &answer);
    }

    fn counts(&self) -> Vec<usize> {
        let reporting = |node: &(ex::Exchange, _)| node.0.members.reporting();
        self.nodes.iter().map(reporting).collect()
    }
}

#[test]
fn partition_heals() {
    // Guards against two sides of a healed partition that never find each
    // other, because each has removed the other.
    let mut net = Net::new(12);
    net.run(10);
    assert_eq!(net.counts(), vec![12; 12]);
    net.isolated = (0..6).collect();
    net.run(180);
    assert_eq!(net.counts(), vec![6; 12]);
    net.isolated.clear();
    net.run(30);
    assert_eq!(net.counts(), vec![12; 12]);
}

#[test]
fn many_restarts() {
    // Guards against entries or reports that accumulate when one member
    // restarts repeatedly.
    let mut net = Net::new(6);
    net.run(10);
    for run in 2..40 {
        let now = net.now;
        let own = later(&agent(5, "crew"), run, 1, member::Standing::Up);
        net.nodes[5] = (
            ex::Exchange::new(
                now,
                own,
                fleet::rules::Rules::default(),
                vec![address(0)],
                run,
            ),
            budget::Budget::joining(now),
        );
        net.run(3);
    }
    net.run(10);
    for (exchange, _) in &net.nodes {
        assert_eq!(exchange.members.rows(net.now).len(), 6);
        let row = exchange
            .members
            .get(net.now, &agent(5, "crew").process)
            .expect("it is known");
        assert_eq!(row.member.incarnation, id::Incarnation(39));
        if exchange.members.own().process != row.member.process {
            assert_eq!(row.standing, member::Standing::Warming);
        }
    }
}

#[test]
fn bounded_bytes() {
    // Guards against control traffic that grows with the number of changes,
    // which should be delayed instead. The requirement is 5 KB/s; the budget's
    // own rate is lower, because bytes received while in debt still count.
    const REQUIRED: u64 = 5_000;
    let mut net = Net::new(30);
    net.run(30);
    let before: Vec<u64> = net.nodes.iter().map(|(_, b)| b.spent()).collect();
    let secs = 60;
    for version in 0..secs {
        let now = net.now;
        for (exchange, _) in &mut net.nodes {
            let version = id::Version(2 + version);
            exchange.update(now, member::Standing::Up, version, 1, 8);
        }
        net.run(1);
    }
    for ((_, budget), before) in net.nodes.iter().zip(before) {
        let most = REQUIRED * secs + budget::BURST;
        assert!(budget.spent() - before < most);
    }
}

#[test]
fn no_false_removal() {
    // Guards against the removal of running members.
    let mut net = Net::new(40);
    net.run(20);
    for _ in 0..200 {
        net.run(1);
        assert_eq!(net.counts(), vec![40; 40]);
    }
}
