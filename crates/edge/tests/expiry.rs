//! Removal of the table rows of routers that are down.

mod site;

use std::{net::SocketAddr, time::Duration};

use base::time::Mono;
use edge::{
    exchange::Exchange,
    expiry::Members,
    relays::{self, CentreHash, Router},
};
use fakes::rows::Rows;
use tokio::time::{self, Instant};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_340))
}

fn at(secs: u64) -> Mono {
    Mono(secs * 1_000_000)
}

fn members(count: u8) -> Members {
    let mut members = Members::default();
    for number in 0..count {
        members.put(&format!("edge-{number}"), address(number));
    }
    members
}

/// A router's row stays while updates arrive from it, and for ten minutes after
/// the last one.
#[test]
fn silent_routers() {
    let mut members = members(3);
    let is_live = |peer: SocketAddr| peer == address(1);
    let mut expired = |secs| members.expired(at(secs), address(0), is_live);
    assert!(expired(0).is_empty());
    assert!(expired(590).is_empty());
    assert_eq!(expired(600), ["edge-2"]);
    assert_eq!(expired(630), ["edge-2"], "until the row is removed");
}

/// An update restarts the time, and only a few rows are removed at a time.
#[test]
fn recovered_router() {
    let first = |peer: SocketAddr| peer == address(1);
    let mut some = members(3);
    assert!(some.expired(at(0), address(0), first).is_empty());
    assert!(some.expired(at(500), address(0), |_| true).is_empty());
    assert!(some.expired(at(700), address(0), first).is_empty());
    assert_eq!(some.expired(at(1_300), address(0), first), ["edge-2"]);
    let few = |peer: SocketAddr| (1..6).any(|number| peer == address(number));
    let mut many = members(20);
    many.expired(at(0), address(0), few);
    assert_eq!(many.expired(at(600), address(0), few).len(), 4);
}

/// A router that receives updates from too few others removes no rows: it may
/// itself be cut off.
#[test]
fn cut_off() {
    let mut members = members(20);
    let few = |peer: SocketAddr| (1..5).any(|number| peer == address(number));
    for secs in [0, 600, 6_000] {
        assert!(members.expired(at(secs), address(0), few).is_empty());
        assert!(members.expired(at(secs), address(0), |_| false).is_empty());
    }
}

/// A router that was replaced under the same name or address keeps its row.
#[test]
fn replaced_routers() {
    let mut members = members(4);
    let third = |peer: SocketAddr| peer == address(3);
    members.expired(at(0), address(0), third);
    members.put("edge-2", address(9));
    assert_eq!(members.expired(at(600), address(0), third), ["edge-1"]);
    members.put("edge-4", address(1));
    assert_eq!(members.remove("edge-1"), None, "edge-4 has its address");
    assert_eq!(members.remove("edge-2"), Some(address(9)));
    assert_eq!(members.retain(&["edge-0", "edge-3"]), [address(1)]);
    assert_eq!(members.remove("edge-7"), None);
}

/// Peers that have no row and send no updates are forgotten, and get no more
/// heartbeats.
#[test]
fn forgotten_peers() {
    let own = Router {
        address: address(0),
        rank: relays::rank(address(0)),
        centre: CentreHash(1),
        share: base::cores::Cores(100),
        uses_relays: false,
    };
    let mut exchange = Exchange::new(own, 1, &[address(1), address(2)]);
    exchange.remove_listed(address(1));
    exchange.round(at(61), &Default::default());
    let listed: Vec<_> = exchange.addresses().collect();
    assert_eq!(listed, [address(2)]);
    exchange.add_listed(address(1));
    assert_eq!(exchange.addresses().count(), 2);
}

/// A router whose row was removed writes it again.
#[tokio::test]
async fn rewritten_row() {
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 1, &[site::KEY]);
    let router = site::router(site::settings(table.address(), &[])).await;
    let key = router.shared.settings.process.to_string();
    let is_there = || table.keys("members").contains(&key);
    site::until("the row is there", is_there).await;
    table.remove("members", &key);
    assert!(!is_there());
    // Routers read the rows of routers every 30 s.
    let end = Instant::now() + Duration::from_secs(40);
    while !is_there() {
        assert!(Instant::now() < end, "the row is not written again");
        time::sleep(Duration::from_millis(100)).await;
    }
}
