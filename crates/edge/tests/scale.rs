//! CPU time of the control thread at the size that the system is designed for.

mod site;

use std::{net::SocketAddr, sync::Arc, time::Instant};

use base::{cores::Cores, span::Span, time::Mono};
use edge::{
    exchange::Exchange,
    fleet::Fleet,
    relays::{self, CentreHash, Router},
    shared::Shared,
    update::{Scope, Update},
    view::View,
};
use platform::{rows::Position, target::Target};

/// Number of targets that the system is designed for.
const TARGETS: usize = 750;

/// A read of the targets every 1.4 s may take 1.2% of a core.
const BOUND: Span = Span::from_micros(1_400_000 * 12 / 1_000);

fn target(number: usize) -> Target {
    Target {
        id: format!("i-{number}").parse().expect("an id"),
        address: format!("10.0.{}.{}:80", number / 250, number % 250)
            .parse()
            .expect("an address"),
        service: "service".parse().expect("an id"),
        centre: "north".parse().expect("an id"),
        slots: 64,
        cold: Span::ZERO,
        leaving: false,
        started_at: 1,
    }
}

/// Rows that change nothing, as nearly all rows that targets write, take little
/// time. The shortest of several runs is compared, because other work on the
/// machine lengthens the others.
#[test]
fn unchanged_rows() {
    let table = "127.0.0.1:1".parse().expect("an address");
    let view: Arc<View> = View::new(Shared::new(site::settings(table, &[])));
    let rows = |position| {
        (0..TARGETS)
            .map(|number| (Position::from(position), target(number)))
            .collect()
    };
    view.target_list()
        .replace(Mono(1), Position::from(1), rows(1));
    view.publish("table");
    let time = |position| {
        let rows = rows(position);
        let start = Instant::now();
        view.target_list()
            .replace(Mono(1), Position::from(position), rows);
        view.publish("table");
        start.elapsed()
    };
    let shortest = (2..20).map(time).min().expect("some times");
    println!("{TARGETS} rows: {shortest:?}, at most {BOUND}");
    assert!(shortest < BOUND.duration());
}

/// Number of routers that the system is designed for, in six data centres.
const ROUTERS: usize = 360;

/// A round through relays every 0.1 s may take 1.2% of a core.
const ROUND_BOUND: Span = Span::from_micros(100_000 * 12 / 1_000);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, (number / 250) as u8, (number % 250) as u8], 7_340))
}

fn heartbeat(number: usize, sequence: u64) -> Update {
    Update {
        run: number as u64 + 9,
        sequence,
        centre: number as u64 % 6,
        ..Update::default()
    }
}

/// Creating a round and applying the updates of two relays takes a router little
/// time, even if it knows hundreds of routers and targets.
#[test]
fn relayed_round() {
    let rows: Vec<Target> = (0..TARGETS).map(target).collect();
    let rows: Vec<&Target> = rows.iter().collect();
    let fleet = Fleet::new(&rows, None);
    let own = Router {
        address: address(0),
        rank: relays::rank(address(0)),
        centre: CentreHash(0),
        share: Cores(90),
        uses_relays: false,
    };
    let mut exchange = Exchange::new(own, 1, &[]);
    for number in 1..ROUTERS {
        exchange.receive(Mono(1), address(number), &heartbeat(number, 1));
    }
    exchange.round(Mono(2), &fleet.loads());
    let hashes: Vec<u32> = fleet.targets().map(|target| target.hash.short()).collect();
    let relays = exchange.plan().own.clone();
    let mut time = |round: u64| {
        let now = Mono(round * 100_000);
        let start = Instant::now();
        for relay in &relays {
            let update = Update {
                run: 1_000,
                sequence: round,
                targets: hashes.clone(),
                counts: vec![round as u32 % 7 + 1; hashes.len()],
                scope: Scope::Others.into(),
                coverage: 359,
                ..Update::default()
            };
            let changes = exchange.receive(now, *relay, &update).unwrap_or_default();
            for change in changes {
                let target = fleet.by_short_hash(change.target).expect("a target");
                target.set_peer_load(now, change.source.0, change.count);
            }
        }
        exchange.round(now, &fleet.loads());
        start.elapsed()
    };
    let shortest = (2..20).map(&mut time).min().expect("some times");
    println!("a round of {ROUTERS} routers: {shortest:?}, at most {ROUND_BOUND}");
    assert!(shortest < ROUND_BOUND.duration());
}
