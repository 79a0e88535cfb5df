//! Decides through which routers the others hear of one another.
//!
//! Load pattern: a hundred routers send to the same targets, each of which gets
//! tens of requests a second, so that a load that is a second old is worth
//! nothing. A router cannot tell a hundred others ten times a second. Beyond
//! [`MESH_MAX`] routers each tells two relays in its data centre; the relays add
//! up what their data centre tells, exchange the sums with the relays of the other
//! data centres, and tell each router the load of all others. Work and bytes of a
//! router then do not grow with the fleet, those of a relay grow with its data
//! centre. See [the design page](../../../docs/design.md), section 6.3.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use base::{cores, hash, span, time};

use crate::update::Scope;

/// Routers up to which each tells all others: their rounds are as short as those
/// through relays, and a message takes one step in place of three.
pub const MESH_MAX: usize = 32;

/// Routers below which each tells all others, whatever they do.
const MESH_MIN: usize = MESH_MAX * 3 / 4;

/// Relays of one data centre. Two, because one may stop at any moment; both tell
/// all that they know, so that nothing is late when one does.
const RELAYS_PER_CENTRE: usize = 2;

/// Time without a message after which a relay is replaced by the next in the
/// ranking: six rounds, so that lost datagrams and a processor share that is used
/// up do not count as a loss.
pub const RELAY_TIMEOUT: span::Span = span::Span::from_millis(600);

/// Time after which a sum with fewer routers replaces one with more. A relay that
/// has just begun does not know all routers of its data centre yet.
const COVERAGE_HOLD: span::Span = span::Span::from_millis(500);

/// Part of the routers, in hundredths, that a sum must cover to replace another
/// one at once.
const COVERAGE_PERCENT: u64 = 90;

/// Hash of a data centre's id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CentreHash(pub u64);

/// A router as the choice of relays sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Router {
    /// Its address for peers.
    pub address: SocketAddr,
    /// Its rank, see [`rank`].
    pub rank: u64,
    /// Its data centre.
    pub centre: CentreHash,
    /// Its share of a processor; a relay needs more than others.
    pub share: cores::Cores,
    /// Whether it tells others through relays.
    pub uses_relays: bool,
}

/// Whom a router tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Whether the fleet is so small that each router tells all others.
    pub mesh: bool,
    /// Whether this router is among the relays of its data centre.
    pub is_relay: bool,
    /// The other relays of its data centre.
    pub own: Vec<SocketAddr>,
    /// The relays of the other data centres, if this router is a relay.
    pub remote: Vec<SocketAddr>,
}

/// Returns the rank of a router, the same for all who ask. It is kept with what is
/// known of the router: a relay of hundreds sorts them ten times a second.
pub fn rank(address: SocketAddr) -> u64 {
    hash::bytes(address.to_string().as_bytes())
}

/// Returns whom a router tells, given the other routers that it hears. Routers
/// that hear a few less than [`MESH_MAX`] follow those that already use relays,
/// so that all do the same.
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
    /// Returns whether loads of this scope are taken in; the others are part of
    /// sums that are taken in too. `near` says whether they come from the own
    /// data centre, `aggregates` whether this router relays.
    pub fn accepts(&self, scope: Scope, near: bool, aggregates: bool) -> bool {
        match scope {
            Scope::Own => self.mesh || (aggregates && near),
            Scope::Centre => !self.mesh && aggregates && !near,
            Scope::Others => !self.mesh && !aggregates,
            Scope::Nothing => false,
        }
    }
}

/// The loads that were told from one source, a router or a sum of routers.
#[derive(Clone, Debug, Default)]
pub struct LoadSource {
    /// Requests by the target's short hash, without targets that have none.
    loads: BTreeMap<u32, u32>,
    /// Routers that the loads cover.
    coverage: u32,
    at: time::Mono,
}

impl LoadSource {
    /// Takes in loads of a part of the targets, unless what is known covers more
    /// routers. Returns the loads that changed, with zero for those that ended.
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

    /// Returns the requests by the target's short hash.
    pub fn loads(&self) -> impl Iterator<Item = (u32, u32)> {
        self.loads.iter().map(|(target, count)| (*target, *count))
    }

    /// Returns the time since the loads were told.
    pub fn age(&self, now: time::Mono) -> span::Span {
        now.since(self.at)
    }

    /// Returns the routers that the loads cover, if they were told lately.
    pub fn coverage(&self, now: time::Mono, within: span::Span) -> u32 {
        match now.since(self.at) < within {
            true => self.coverage,
            false => 0,
        }
    }
}

/// Loads as one message tells them.
#[derive(Clone, Copy, Debug)]
pub struct LoadUpdate<'a> {
    /// Requests by the target's short hash.
    pub loads: &'a [(u32, u32)],
    /// The targets that the message is about; those that it does not name have
    /// no requests.
    pub shard: Shard,
    /// Routers whose requests are counted.
    pub coverage: u32,
}

/// One of several equal ranges of the targets' short hashes: the loads of many
/// targets do not fit one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shard {
    /// Which, from 0.
    pub index: u32,
    /// Of how many.
    pub count: u32,
}

impl Shard {
    /// All targets.
    pub const WHOLE: Self = Self { index: 0, count: 1 };

    /// Returns the parts that hold at most `most` of `total` targets each, if
    /// these are spread evenly.
    pub fn divide(total: usize, most: usize) -> impl Iterator<Item = Self> {
        let count = u32::try_from(total.div_ceil(most).max(1)).unwrap_or(u32::MAX);
        (0..count).map(move |index| Self { index, count })
    }

    /// Returns whether a target belongs to the part.
    pub fn contains(self, target: u32) -> bool {
        let index = (u64::from(target) * u64::from(self.count.max(1))) >> u32::BITS;
        index == u64::from(self.index)
    }
}
