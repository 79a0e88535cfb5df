//! Which routers are relays, and whose loads are applied.

use std::net::SocketAddr;

use base::{cores::Cores, span::Span, time::Mono};
use edge::{
    relays::{self, CentreHash, LoadSource, LoadUpdate, MESH_MAX, Router, Shard},
    update::Scope,
};

const CENTRES: u64 = 5;

fn routers(count: usize) -> Vec<Router> {
    let router = |number: usize| {
        let host = [10, 0, (number / 250) as u8, (number % 250) as u8];
        let address = SocketAddr::from((host, 7_340));
        Router {
            address,
            rank: relays::rank(address),
            centre: CentreHash(number as u64 % CENTRES),
            share: Cores(90),
            uses_relays: false,
        }
    };
    (0..count).map(router).collect()
}

fn plan(routers: &[Router], own: usize) -> relays::Plan {
    let others = routers.iter().enumerate();
    let others = others.filter(|(index, _)| *index != own);
    let others: Vec<_> = others.map(|(_, router)| *router).collect();
    relays::plan(routers[own], &others)
}

#[test]
fn small_fleet() {
    assert!(plan(&routers(MESH_MAX), 0).mesh);
    assert!(!plan(&routers(MESH_MAX + 1), 0).mesh);
}

/// Each data centre has two relays, and all routers agree which these are.
#[test]
fn two_relays() {
    let routers = routers(103);
    let relays: Vec<_> = (0..103)
        .filter(|own| plan(&routers, *own).is_relay)
        .collect();
    assert_eq!(relays.len(), 2 * CENTRES as usize);
    for own in 0..103 {
        let plan = plan(&routers, own);
        let near = relays
            .iter()
            .filter(|relay| **relay != own && routers[**relay].centre == routers[own].centre);
        let mut near: Vec<_> = near.map(|relay| routers[*relay].address).collect();
        let mut own = plan.own.clone();
        near.sort_unstable();
        own.sort_unstable();
        assert_eq!(own, near);
        let remote = if plan.is_relay { relays.len() - 2 } else { 0 };
        assert_eq!(plan.remote.len(), remote);
    }
}

/// Routers with a larger CPU share are relays.
#[test]
fn large_shares() {
    let mut routers = routers(103);
    for strong in [40, 41, 42, 43, 44, 50, 51, 52, 53, 54] {
        routers[strong].share = Cores(500);
    }
    for own in 0..103 {
        let is_strong = routers[own].share == Cores(500);
        assert_eq!(plan(&routers, own).is_relay, is_strong, "{own}");
    }
}

/// A router that sees slightly fewer routers than the others uses relays as they
/// do.
#[test]
fn follows_others() {
    let mut routers = routers(MESH_MAX);
    routers[3].uses_relays = true;
    assert!(!plan(&routers, 0).mesh);
    assert!(plan(&routers[..MESH_MAX / 2], 0).mesh);
}

/// Each request is counted once, at a relay and at any other router.
#[test]
fn counted_once() {
    let routers = routers(103);
    let member = (0..103).find(|own| !plan(&routers, *own).is_relay);
    let relay = (0..103).find(|own| plan(&routers, *own).is_relay);
    let (member, relay) = (member.expect("a member"), relay.expect("a relay"));
    let (member, relay) = (plan(&routers, member), plan(&routers, relay));
    let scopes = [Scope::Own, Scope::Centre, Scope::Others];
    let accepted =
        |plan: &relays::Plan, near, serves| scopes.map(|scope| plan.accepts(scope, near, serves));
    assert_eq!(accepted(&member, true, false), [false, false, true]);
    assert_eq!(accepted(&relay, true, true), [true, false, false]);
    assert_eq!(accepted(&relay, false, true), [false, true, false]);
    let mesh = plan(&self::routers(6), 0);
    assert_eq!(accepted(&mesh, true, false), [true, false, false]);
    assert_eq!(accepted(&mesh, false, false), [true, false, false]);
}

fn update(loads: &[(u32, u32)], shard: Shard, coverage: u32) -> LoadUpdate<'_> {
    LoadUpdate {
        loads,
        shard,
        coverage,
    }
}

/// Targets that an update does not list any more have no requests.
#[test]
fn ended_loads() {
    let mut source = LoadSource::default();
    let low = Shard { index: 0, count: 2 };
    let high = 0x9000_0000;
    let all = source.apply(
        Mono(1),
        update(&[(1, 3), (2, 1), (high, 4)], Shard::WHOLE, 9),
    );
    assert_eq!(all.map(|all| all.len()), Some(3));
    let some = source.apply(Mono(2), update(&[(1, 2)], low, 9));
    assert_eq!(
        some,
        Some(vec![(1, 2), (2, 0)]),
        "the other shard is unchanged"
    );
    assert_eq!(source.loads().collect::<Vec<_>>(), [(1, 2), (high, 4)]);
}

/// A relay that has just started knows few routers. Its sums replace no sums
/// over more routers until those are old.
#[test]
fn fewer_routers() {
    let mut source = LoadSource::default();
    let at = |millis| Mono(0) + Span::from_millis(millis);
    assert!(
        source
            .apply(at(0), update(&[(1, 30)], Shard::WHOLE, 100))
            .is_some()
    );
    assert!(
        source
            .apply(at(100), update(&[(1, 2)], Shard::WHOLE, 8))
            .is_none()
    );
    assert!(
        source
            .apply(at(150), update(&[(1, 29)], Shard::WHOLE, 97))
            .is_some()
    );
    assert!(
        source
            .apply(at(700), update(&[(1, 2)], Shard::WHOLE, 8))
            .is_some()
    );
}

/// Each target belongs to exactly one shard.
#[test]
fn all_shards() {
    for total in [0, 1, 180, 181, 750, 6_000] {
        let shards: Vec<_> = Shard::divide(total, 180).collect();
        assert_eq!(shards.len(), total.div_ceil(180).max(1));
        for target in (0..u32::MAX).step_by(97_561_123).chain([u32::MAX]) {
            assert_eq!(
                shards.iter().filter(|shard| shard.contains(target)).count(),
                1
            );
        }
    }
}
