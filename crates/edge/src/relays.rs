//! Decides which routers relay the loads of others.
//!
//! Load pattern: a hundred routers send to the same targets, each of which gets
//! tens of requests a second, so that a load that is a second old is useless. A
//! router cannot send to a hundred others ten times a second. With more than
//! [`MESH_MAX`] routers, each sends to two relays in its data centre. The relays
//! sum up the loads of their data centre, exchange the sums with the relays of
//! the other data centres, and send each router the total load of all others.
//! The work and traffic of a router then do not grow with the fleet; those of a
//! relay grow with its data centre. See [the design
//! page](../../../docs/design.md), section 6.3.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use base::{cores, hash, span, time};

use crate::update::Scope;

/// Up to this number of routers, each sends to all others: rounds are then as
/// short as with relays, and an update takes one hop instead of three.
pub const MESH_MAX: usize = 32;

/// Below this number of routers, each sends to all others even if some use
/// relays.
const MESH_MIN: usize = MESH_MAX * 3 / 4;

/// Number of relays in each data centre. There are two because one may stop at
/// any moment; both send everything they know, so that loads are not delayed
/// when one stops.
const RELAYS_PER_CENTRE: usize = 2;

/// Time without an update after which a relay is replaced by the next in the
/// ranking. Six rounds, so that a few lost datagrams or an exhausted CPU share
/// do not cause a replacement.
pub const RELAY_TIMEOUT: span::Span = span::Span::from_millis(600);

/// Time after which a sum over fewer routers replaces one over more. A relay
/// that has just started does not know all routers of its data centre yet.
const COVERAGE_HOLD: span::Span = span::Span::from_millis(500);

/// Percentage of the previous coverage at which a sum over fewer routers
/// replaces another one immediately.
const COVERAGE_PERCENT: u64 = 90;

/// Hash of a data centre's id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CentreHash(pub u64);

/// A router as a candidate for relaying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Router {
    /// Its address for traffic between routers.
    pub address: SocketAddr,
    /// Its rank, see [`rank`].
    pub rank: u64,
    /// Its data centre.
    pub centre: CentreHash,
    /// Its CPU share; a relay needs more CPU than other routers.
    pub share: cores::Cores,
    /// Whether it communicates through relays.
    pub uses_relays: bool,
}

/// Which routers a router sends to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Whether the fleet is so small that each router sends its updates to all others.
    pub mesh: bool,
    /// Whether this router is among the relays of its data centre.
    pub is_relay: bool,
    /// The other relays of its data centre.
    pub own: Vec<SocketAddr>,
    /// The relays of the other data centres, if this router is a relay.
    pub remote: Vec<SocketAddr>,
}

/// Returns the rank of a router, which is the same at all routers. Callers store
/// it, because a relay sorts hundreds of routers by rank ten times a second.
pub fn rank(address: SocketAddr) -> u64 {
    hash::bytes(address.to_string().as_bytes())
}

/// Returns which routers a router sends to, given the other routers that are up.
/// Routers that see slightly fewer than [`MESH_MAX`] others use relays if one of
/// those does, so that all routers do the same.
pub fn plan(own: Router, others: &[Router]) -> Plan {
    let follows = others.len() >= MESH_MIN && others.iter().any(|other| other.uses_relays);
    if others.len() < MESH_MAX && !follows {
        return Plan {
            mesh: true,
            ..Plan::default()
        };
    }
    let mut centres: BTreeMap<CentreHash, Vec<Router>> = BTreeMap::new();
    for router in others.iter().chain([&own]) {
        centres.entry(router.centre).or_default().push(*router);
    }
    let mut plan = Plan::default();
    for (centre, routers) in &mut centres {
        routers.sort_by_key(|router| (Reverse(router.share), router.rank));
        let relays = routers
            .iter()
            .take(RELAYS_PER_CENTRE)
            .map(|router| router.address);
        if *centre == own.centre {
            plan.own = relays.collect();
        } else {
            plan.remote.extend(relays);
        }
    }
    plan.is_relay = plan.own.contains(&own.address);
    plan.own.retain(|address| *address != own.address);
    if !plan.is_relay {
        plan.remote.clear();
    }
    plan
}

impl Plan {
    /// Returns whether loads of this scope are applied. Other loads are ignored,
    /// because they are included in sums that are applied. `near` says whether
    /// the loads come from this router's data centre, `aggregates` whether this
    /// router relays.
    pub fn accepts(&self, scope: Scope, near: bool, aggregates: bool) -> bool {
        match scope {
            Scope::Own => self.mesh || (aggregates && near),
            Scope::Centre => !self.mesh && aggregates && !near,
            Scope::Others => !self.mesh && !aggregates,
            Scope::Nothing => false,
        }
    }
}

/// The loads reported by one source, which is a router or a sum over routers.
#[derive(Clone, Debug, Default)]
pub struct LoadSource {
    /// Number of requests by the target's short hash; targets without requests
    /// are left out.
    loads: BTreeMap<u32, u32>,
    /// Number of routers that the loads cover.
    coverage: u32,
    at: time::Mono,
}

impl LoadSource {
    /// Applies the loads of a shard of the targets, unless the known loads are
    /// recent and cover more routers. Returns the loads that changed, with zero
    /// for targets that have no requests any more.
    pub fn apply(&mut self, now: time::Mono, update: LoadUpdate<'_>) -> Option<Vec<(u32, u32)>> {
        let least = u64::from(self.coverage) * COVERAGE_PERCENT;
        let fewer = u64::from(update.coverage) * 100 < least;
        if fewer && now.since(self.at) < COVERAGE_HOLD {
            return None;
        }
        self.coverage = update.coverage;
        self.at = now;
        let named: BTreeSet<u32> = update.loads.iter().map(|(target, _)| *target).collect();
        let ended = self.loads.keys().copied();
        let ended =
            ended.filter(|target| update.shard.contains(*target) && !named.contains(target));
        let ended: Vec<(u32, u32)> = ended.map(|target| (target, 0)).collect();
        let mut all = update.loads.to_vec();
        all.extend(ended);
        for (target, count) in &all {
            match count {
                0 => self.loads.remove(target),
                _ => self.loads.insert(*target, *count),
            };
        }
        Some(all)
    }

    /// Returns the number of requests by the target's short hash.
    pub fn loads(&self) -> impl Iterator<Item = (u32, u32)> {
        self.loads.iter().map(|(target, count)| (*target, *count))
    }

    /// Returns the time since the latest report.
    pub fn age(&self, now: time::Mono) -> span::Span {
        now.since(self.at)
    }

    /// Returns the number of routers that the loads cover, or 0 if the latest
    /// report is older than `within`.
    pub fn coverage(&self, now: time::Mono, within: span::Span) -> u32 {
        match now.since(self.at) < within {
            true => self.coverage,
            false => 0,
        }
    }
}

/// The loads in one update.
#[derive(Clone, Copy, Debug)]
pub struct LoadUpdate<'a> {
    /// Number of requests by the target's short hash.
    pub loads: &'a [(u32, u32)],
    /// The targets that the update is about; those that it does not list have no
    /// requests.
    pub shard: Shard,
    /// Number of routers whose requests are counted.
    pub coverage: u32,
}

/// One of several equal ranges of the targets' short hashes. The loads of many
/// targets do not fit into one datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shard {
    /// Index of the range, from 0.
    pub index: u32,
    /// Number of ranges.
    pub count: u32,
}

impl Shard {
    /// The range with all targets.
    pub const WHOLE: Self = Self { index: 0, count: 1 };

    /// Returns shards with at most `max` of `total` targets each, if the hashes
    /// are evenly distributed.
    pub fn divide(total: usize, max: usize) -> impl Iterator<Item = Self> {
        let count = u32::try_from(total.div_ceil(max).max(1)).unwrap_or(u32::MAX);
        (0..count).map(move |index| Self { index, count })
    }

    /// Returns whether a target belongs to the shard.
    pub fn contains(self, target: u32) -> bool {
        let index = (u64::from(target) * u64::from(self.count.max(1))) >> u32::BITS;
        index == u64::from(self.index)
    }
}
