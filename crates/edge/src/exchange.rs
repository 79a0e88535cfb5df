//! Tracks what the other routers reported, and decides which updates to send to
//! whom.
//!
//! Does no I/O: the caller passes in the time, received updates and the router's
//! own loads, and gets back the updates to send, which [`crate::peers`]
//! transmits. [`crate::relays`] decides which routers are relays.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{cores, span, time};
use platform::rows::{Era, Position};

use crate::{
    fleet::PEER_LOAD_TTL,
    relays::{self, CentreHash, LoadSource, LoadUpdate, MESH_MAX, Plan, Router, Shard},
    update::{Scope, Update},
};

/// Minimum interval between two rounds in which each router sends to all others.
const MESH_INTERVAL: span::Span = span::Span::from_millis(200);

/// Interval per peer in such rounds, so that a router of a large fleet sends no
/// more datagrams a second than one of a small fleet.
const INTERVAL_PER_PEER: span::Span = span::Span::from_millis(10);

/// Interval between two rounds through relays. An update takes up to three of
/// them to reach all routers; in that time a target that many routers choose
/// gets only a few requests.
const RELAY_INTERVAL: span::Span = span::Span::from_millis(100);

/// Number of hops of an update from one router through relays to another.
const RELAY_HOPS: u64 = 3;

/// Heartbeats to all other routers are sent this many times less often than
/// rounds would be without relays, while loads go through relays.
const HEARTBEAT_FACTOR: u64 = 5;

/// Time without an update after which a peer is considered down, when every
/// router sends to all others.
const PEER_TIMEOUT: span::Span = span::Span::from_secs(2);

/// Number of heartbeat intervals without an update after which a peer is
/// considered down: two heartbeats may be lost.
const MISSED_HEARTBEATS: u64 = 3;

/// Number of rounds after the start in which every peer is sent to, so that
/// routers that start together find one another before they choose targets
/// without knowing one another's loads.
const STARTUP_ROUNDS: u64 = 15;

/// Number of rounds between two updates to a peer that is considered down.
const RETRY_ROUNDS: u64 = 8;

/// Time without an update after which a peer that has no row is forgotten.
const PEER_EXPIRY: span::Span = span::Span::from_secs(60);

/// If two rounds are further apart than this, this process itself was stalled: a
/// missing update in that time says nothing about the peer.
const STALL_TIME: span::Span = span::Span::from_millis(400);

/// Maximum number of targets in one update: each takes five to six bytes, and
/// the rest of the datagram about 250.
const MAX_LOADS: usize = 180;

/// Difference between the sequence numbers of two updates.
const SEQUENCE_STEP: u64 = 2;

/// Key of the source for the total load of all other routers.
const OTHERS: SourceKey = SourceKey(0);

/// Identifies the source of a load: a run of a router, a data centre or, if
/// zero, all other routers. Targets keep the loads of different sources apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceKey(pub u64);

/// A change of the load that one source has at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadChange {
    /// The source that reported it.
    pub source: SourceKey,
    /// Short hash of the target.
    pub target: u32,
    /// Number of requests that the source now has there.
    pub count: u32,
}

/// An update to send.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outgoing {
    /// Addresses to send it to.
    pub receivers: Vec<SocketAddr>,
    /// The loads and the sender's state; the caller fills in the other fields.
    pub update: Update,
    /// Whether the caller should add the prompt parts that the sender learned to
    /// be cached.
    pub cached: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Whether the peer has a row in the table or is a seed.
    listed: bool,
    rank: u64,
    last_update: Option<time::Mono>,
    /// When the peer last asked for the total load of all other routers.
    last_asked: Option<time::Mono>,
    /// Since when this router uses the peer as a relay.
    relay_since: Option<time::Mono>,
    /// Whether the peer gets a heartbeat in this round, without waiting for the
    /// next one that is due.
    heartbeat_due: bool,
    reads_table: bool,
    cache_synced: bool,
    uses_relays: bool,
    /// Table position of the latest change of a target that the peer knows.
    last_change: Position,
    centre: CentreHash,
    share: cores::Cores,
    run: u64,
    sequence: u64,
}

impl Peer {
    fn active_within(&self, now: time::Mono, time: span::Span) -> bool {
        self.last_update
            .is_some_and(|updated| now.since(updated) < time)
    }

    fn wants_totals(&self, now: time::Mono) -> bool {
        self.last_asked
            .is_some_and(|asked| now.since(asked) < relays::RELAY_TIMEOUT)
    }
}

/// How complete and how old the known loads of other routers are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFreshness {
    /// Age of the oldest load that is still used.
    pub age: span::Span,
    /// Number of routers whose loads are known.
    pub routers: u32,
    /// Typical age of a load.
    pub delay: span::Span,
}

/// State of a peer that recently sent an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivePeer {
    /// Its address.
    pub address: SocketAddr,
    /// Its rank.
    pub rank: u64,
    /// Whether the peer can read the table.
    pub reads_table: bool,
    /// Whether the peer knows which prompt parts engines have cached.
    pub cache_synced: bool,
}

/// The other routers as seen by one of them.
#[derive(Clone, Debug)]
pub struct Exchange {
    own: Router,
    run: u64,
    sequence: u64,
    peers: BTreeMap<SocketAddr, Peer>,
    sources: BTreeMap<SourceKey, (CentreHash, LoadSource)>,
    plan: Plan,
    rounds: u64,
    /// Time of the latest round.
    last_round: time::Mono,
    /// Number of heartbeat rounds so far, and when the next is due.
    heartbeats: u64,
    next_heartbeat: time::Mono,
}

impl Exchange {
    /// Creates an exchange that knows only the seeds. `run` identifies the run
    /// of this process.
    pub fn new(own: Router, run: u64, seeds: &[SocketAddr]) -> Self {
        let mut exchange = Self {
            own,
            run,
            sequence: 0,
            peers: BTreeMap::new(),
            sources: BTreeMap::new(),
            plan: Plan {
                mesh: true,
                ..Plan::default()
            },
            rounds: 0,
            last_round: time::Mono(0),
            heartbeats: 0,
            next_heartbeat: time::Mono(0),
        };
        for seed in seeds {
            exchange.add_listed(*seed);
        }
        exchange
    }

    /// Adds a router that has a row in the table.
    pub fn add_listed(&mut self, address: SocketAddr) {
        if address != self.own.address {
            self.peer(address).listed = true;
        }
    }

    /// Marks a router as having no row any more; it is forgotten once it stops
    /// sending updates.
    pub fn remove_listed(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.listed = false;
        }
    }

    fn peer(&mut self, address: SocketAddr) -> &mut Peer {
        self.peers.entry(address).or_insert_with(|| Peer {
            rank: relays::rank(address),
            ..Peer::default()
        })
    }

    /// Returns the addresses of all routers that have a row or sent an update.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Returns the peers that recently sent an update.
    pub fn live_peers(&self, now: time::Mono) -> Vec<LivePeer> {
        let live = self.live(now);
        let live_peer = |(address, peer): (&SocketAddr, &Peer)| LivePeer {
            address: *address,
            rank: peer.rank,
            reads_table: peer.reads_table,
            cache_synced: peer.cache_synced,
        };
        live.map(live_peer).collect()
    }

    /// Returns the rank of each router that has a row or sent an update, and whether
    /// it recently sent one.
    pub fn ranks(&self, now: time::Mono) -> impl Iterator<Item = (u64, bool)> {
        let timeout = self.peer_timeout();
        let peers = self.peers.values();
        peers.map(move |peer| (peer.rank, peer.active_within(now, timeout)))
    }

    fn live(&self, now: time::Mono) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let timeout = self.peer_timeout();
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| peer.active_within(now, timeout))
    }

    /// Returns which routers this router sends to, as decided in the latest
    /// round.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns whether a peer recently sent an update.
    pub fn is_live(&self, now: time::Mono, address: SocketAddr) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| peer.active_within(now, self.peer_timeout()))
    }

    /// Returns whether this router sums up the loads of others: it is a relay,
    /// or others use it as one.
    pub fn aggregates(&self, now: time::Mono) -> bool {
        self.plan.is_relay || self.peers.values().any(|peer| peer.wants_totals(now))
    }

    /// Applies an update, and returns the loads that changed; `None` if the
    /// update is not newer than the previous one from its sender.
    pub fn receive(
        &mut self,
        now: time::Mono,
        address: SocketAddr,
        update: &Update,
    ) -> Option<Vec<LoadChange>> {
        let timeout = self.peer_timeout();
        let peer = self.peer(address);
        if peer.run == update.run && peer.sequence >= update.sequence {
            return None;
        }
        let is_new = peer.run != update.run || !peer.active_within(now, timeout);
        *peer = Peer {
            last_update: Some(now),
            last_asked: if update.wants_totals {
                Some(now)
            } else {
                peer.last_asked
            },
            heartbeat_due: peer.heartbeat_due || is_new,
            reads_table: update.reads_table,
            cache_synced: update.cache_synced,
            uses_relays: update.uses_relays,
            last_change: Position {
                era: Era(update.change_era),
                version: update.last_change,
            },
            centre: CentreHash(update.centre),
            share: cores::Cores(update.share),
            run: update.run,
            sequence: update.sequence,
            ..*peer
        };
        Some(self.apply_loads(now, update))
    }

    /// Applies the loads of an update.
    fn apply_loads(&mut self, now: time::Mono, update: &Update) -> Vec<LoadChange> {
        let centre = CentreHash(update.centre);
        let scope = update.scope();
        let near = centre == self.own.centre;
        if !self.plan.accepts(scope, near, self.aggregates(now)) {
            return Vec::new();
        }
        let key = match scope {
            Scope::Own | Scope::Nothing => SourceKey(update.run),
            Scope::Centre => SourceKey(update.centre),
            Scope::Others => OTHERS,
        };
        let loads: Vec<(u32, u32)> = update.loads().collect();
        let update = LoadUpdate {
            loads: &loads,
            shard: Shard {
                index: update.shard,
                count: update.shards.max(1),
            },
            coverage: update.coverage,
        };
        let (_, source) = self
            .sources
            .entry(key)
            .or_insert_with(|| (centre, LoadSource::default()));
        let changes = source.apply(now, update).unwrap_or_default().into_iter();
        let change = |(target, count)| LoadChange {
            source: key,
            target,
            count,
        };
        changes.map(change).collect()
    }

    /// Returns the updates to send in the next round. `loads` holds the requests
    /// of this router by the short hash of the target.
    pub fn round(&mut self, now: time::Mono, loads: &BTreeMap<u32, u32>) -> Vec<Outgoing> {
        self.update_plan(now);
        let mut outgoing = Vec::new();
        if self.plan.mesh {
            let receivers = self.receivers(now);
            self.push(&mut outgoing, Scope::Own, receivers, loads, 1);
        } else {
            self.relay_round(now, &mut outgoing, loads);
            let receivers = self.heartbeat_receivers(now);
            self.push(&mut outgoing, Scope::Nothing, receivers, loads, 1);
        }
        for peer in self.peers.values_mut() {
            peer.heartbeat_due = false;
        }
        self.rounds += 1;
        self.last_round = now;
        outgoing
    }

    /// Returns the interval until the next round.
    pub fn interval(&self) -> span::Span {
        match self.plan.mesh {
            true => self.mesh_interval(),
            false => RELAY_INTERVAL,
        }
    }

    fn mesh_interval(&self) -> span::Span {
        let interval = INTERVAL_PER_PEER.as_micros() * self.peers.len() as u64;
        MESH_INTERVAL.max(span::Span::from_micros(interval))
    }

    fn heartbeat_interval(&self) -> span::Span {
        let factor = match self.heartbeats < STARTUP_ROUNDS {
            true => 1,
            false => HEARTBEAT_FACTOR,
        };
        span::Span::from_micros(self.mesh_interval().as_micros() * factor)
    }

    /// Returns the time without an update after which a peer is considered down.
    fn peer_timeout(&self) -> span::Span {
        if self.peers.len() < MESH_MAX {
            return PEER_TIMEOUT;
        }
        let interval = self.mesh_interval().as_micros() * HEARTBEAT_FACTOR;
        PEER_TIMEOUT.max(span::Span::from_micros(interval * MISSED_HEARTBEATS))
    }

    /// Removes expired peers and loads, and decides again which routers to send
    /// to.
    fn update_plan(&mut self, now: time::Mono) {
        self.peers
            .retain(|_, peer| peer.listed || peer.active_within(now, PEER_EXPIRY));
        self.sources
            .retain(|_, (_, source)| source.coverage(now, PEER_LOAD_TTL) > 0);
        let stalled = now.since(self.last_round) > STALL_TIME;
        for peer in self.peers.values_mut() {
            let Some(since) = peer.relay_since else {
                continue;
            };
            if stalled {
                peer.relay_since = Some(now);
            } else if now.since(since) > relays::RELAY_TIMEOUT
                && !peer.active_within(now, relays::RELAY_TIMEOUT)
            {
                peer.last_update = None;
            }
        }
        let others: Vec<Router> = self.live(now).map(router).collect();
        self.plan = relays::plan(self.own, &others);
        for (address, peer) in &mut self.peers {
            let is_used = self.plan.own.contains(address) || self.plan.remote.contains(address);
            peer.relay_since = match is_used {
                true => peer.relay_since.or(Some(now)),
                false => None,
            };
        }
    }

    /// Returns the receivers of a round in which all routers are sent to; peers
    /// that are down get fewer updates.
    fn receivers(&self, now: time::Mono) -> Vec<SocketAddr> {
        let timeout = self.peer_timeout();
        let always = self.rounds < STARTUP_ROUNDS || self.rounds.is_multiple_of(RETRY_ROUNDS);
        let peers = self.peers.iter();
        let receivers = peers.filter(|(_, peer)| always || peer.active_within(now, timeout));
        receivers.map(|(address, _)| *address).collect()
    }

    /// Returns the receivers of heartbeats while loads go through relays: all
    /// peers when a heartbeat is due, and peers that have just appeared.
    fn heartbeat_receivers(&mut self, now: time::Mono) -> Vec<SocketAddr> {
        let all = now >= self.next_heartbeat;
        if all {
            self.heartbeats += 1;
            self.next_heartbeat = now + self.heartbeat_interval();
        }
        let peers = self.peers.iter();
        let receivers = peers.filter(|(_, peer)| all || peer.heartbeat_due);
        receivers.map(|(address, _)| *address).collect()
    }

    fn relay_round(
        &mut self,
        now: time::Mono,
        outgoing: &mut Vec<Outgoing>,
        loads: &BTreeMap<u32, u32>,
    ) {
        let own = self.plan.own.clone();
        self.push(outgoing, Scope::Own, own, loads, 1);
        if !self.aggregates(now) {
            return;
        }
        let near = self.totals(now, loads, |centre| centre == self.own.centre);
        let remote = self.plan.remote.clone();
        self.push(outgoing, Scope::Centre, remote, &near.loads, near.coverage);
        let all = self.totals(now, loads, |_| true);
        let asking: Vec<(SocketAddr, u64)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.wants_totals(now))
            .map(|(address, peer)| (*address, peer.run))
            .collect();
        for (address, run) in asking {
            let others = all.without(self.sources.get(&SourceKey(run)));
            let coverage = others.coverage;
            self.push(
                outgoing,
                Scope::Others,
                vec![address],
                &others.loads,
                coverage,
            );
        }
    }

    /// Sums up this router's loads and those of the selected data centres.
    fn totals(
        &self,
        now: time::Mono,
        own: &BTreeMap<u32, u32>,
        counts: impl Fn(CentreHash) -> bool,
    ) -> Totals {
        let mut totals = Totals {
            loads: own.clone(),
            coverage: 1,
        };
        for (key, (centre, source)) in &self.sources {
            if *key == OTHERS || !counts(*centre) {
                continue;
            }
            totals.coverage = totals
                .coverage
                .saturating_add(source.coverage(now, PEER_LOAD_TTL));
            for (target, count) in source.loads() {
                let load = totals.loads.entry(target).or_default();
                *load = load.saturating_add(count);
            }
        }
        totals
    }

    /// Appends updates with the given loads to `outgoing`, split into shards if
    /// needed.
    fn push(
        &mut self,
        outgoing: &mut Vec<Outgoing>,
        scope: Scope,
        receivers: Vec<SocketAddr>,
        loads: &BTreeMap<u32, u32>,
        coverage: u32,
    ) {
        if receivers.is_empty() {
            return;
        }
        let total = match scope {
            Scope::Nothing => 0,
            _ => loads.len(),
        };
        for shard in Shard::divide(total, MAX_LOADS) {
            let named = loads.iter().filter(|(target, count)| {
                scope != Scope::Nothing && **count > 0 && shard.contains(**target)
            });
            let (targets, counts) = named.unzip();
            // Leaves a number free, which the caller may use for a second
            // datagram.
            self.sequence += SEQUENCE_STEP;
            let update = Update {
                run: self.run,
                sequence: self.sequence,
                targets,
                counts,
                scope: scope.into(),
                shard: shard.index,
                shards: shard.count,
                coverage,
                centre: self.own.centre.0,
                share: self.own.share.0,
                uses_relays: !self.plan.mesh,
                wants_totals: scope == Scope::Own && !self.plan.mesh && !self.plan.is_relay,
                ..Update::default()
            };
            outgoing.push(Outgoing {
                receivers: receivers.clone(),
                update,
                cached: scope != Scope::Nothing && shard.index == 0,
            });
        }
    }

    /// Returns the table position of the latest change of a target that this
    /// router's relays reported, if one of them is up and reads the table.
    /// Returns `None` for a relay, which must read the table itself.
    pub fn relayed_change(&self, now: time::Mono) -> Option<Position> {
        if self.plan.mesh || self.plan.is_relay {
            return None;
        }
        let relays = self.plan.own.iter().filter_map(|own| self.peers.get(own));
        let reading = relays
            .filter(|peer| peer.reads_table && peer.active_within(now, relays::RELAY_TIMEOUT));
        reading.map(|peer| peer.last_change).max()
    }

    /// Returns how complete and how old the known loads of other routers are.
    pub fn freshness(&self, now: time::Mono) -> LoadFreshness {
        let sources = self.sources.values().map(|(_, source)| source);
        let oldest = sources.clone().map(|source| source.age(now)).max();
        // On average an update waits half a round at each hop.
        let hops = if self.plan.mesh { 1 } else { RELAY_HOPS };
        let delay = self.interval().as_micros() * hops / 2;
        LoadFreshness {
            age: oldest.unwrap_or_default(),
            routers: sources
                .map(|source| source.coverage(now, PEER_LOAD_TTL))
                .fold(0, u32::saturating_add),
            delay: span::Span::from_micros(delay),
        }
    }

    /// Returns the number of routers, this one included.
    pub fn routers(&self, now: time::Mono) -> u32 {
        let others = self.live(now).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }
}

/// Summed loads of several routers.
struct Totals {
    loads: BTreeMap<u32, u32>,
    coverage: u32,
}

impl Totals {
    /// Returns the sum without the loads of one router.
    fn without(&self, source: Option<&(CentreHash, LoadSource)>) -> Self {
        let mut loads = self.loads.clone();
        let Some((_, source)) = source else {
            return Self { loads, ..*self };
        };
        for (target, count) in source.loads() {
            if let Some(load) = loads.get_mut(&target) {
                *load = load.saturating_sub(count);
            }
        }
        Self {
            loads,
            coverage: self.coverage.saturating_sub(1),
        }
    }
}

fn router((address, peer): (&SocketAddr, &Peer)) -> Router {
    Router {
        address: *address,
        rank: peer.rank,
        centre: peer.centre,
        share: peer.share,
        uses_relays: peer.uses_relays,
    }
}

impl Update {
    /// Returns the number of requests by the short hash of the target.
    pub fn loads(&self) -> impl Iterator<Item = (u32, u32)> {
        let counts = self.counts.iter().copied();
        self.targets.iter().copied().zip(counts)
    }
}
