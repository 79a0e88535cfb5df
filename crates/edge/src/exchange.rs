//! What a router heard from the others, and whom it tells what next.
//!
//! Pure: the time, the messages and the own loads go in, messages to send come
//! out. [`crate::peers`] carries them. Which routers relay is decided by
//! [`crate::relays`].

use std::{collections::BTreeMap, net::SocketAddr};

use base::{cores, span, time};

use crate::{
    fleet::PEER_LOAD_TTL,
    relays::{self, CentreHash, LoadSource, LoadUpdate, MESH_MAX, Plan, Router, Shard},
    update::{Scope, Update},
};

/// Shortest pause between two rounds in which each router tells all others.
const MESH_INTERVAL: span::Span = span::Span::from_millis(200);

/// Pause for each peer in such rounds, so that a router of a large fleet sends no
/// more datagrams a second than one of a small fleet.
const INTERVAL_PER_PEER: span::Span = span::Span::from_millis(10);

/// Pause between two rounds through relays. A message takes up to three of them,
/// in which a target that many routers choose gets a few requests.
const RELAY_INTERVAL: span::Span = span::Span::from_millis(100);

/// Steps of a message from a router through relays to another.
const RELAY_HOPS: u64 = 3;

/// Factor on the pause between two rounds in which all others are greeted, while
/// relays carry the news.
const HEARTBEAT_FACTOR: u64 = 5;

/// Time without news after which a peer does not count, where all are told often.
const PEER_TIMEOUT: span::Span = span::Span::from_secs(2);

/// Rounds of greetings without which a peer does not count: two may be lost.
const MISSED_HEARTBEATS: u64 = 3;

/// Rounds after the start in which every peer is told: routers that start
/// together find one another before they decide alone.
const STARTUP_ROUNDS: u64 = 15;

/// Rounds between two datagrams to a peer that is silent.
const RETRY_ROUNDS: u64 = 8;

/// Time after which a peer that neither speaks nor has a row is forgotten.
const PEER_EXPIRY: span::Span = span::Span::from_secs(60);

/// Time between two rounds after which this process itself stood still: what it
/// did not hear meanwhile says nothing about the others.
const STALL_TIME: span::Span = span::Span::from_millis(400);

/// Targets in one message at most: five to six bytes each, beside about 250 for
/// the rest of a datagram.
const MAX_LOADS: usize = 180;

/// Distance between the numbers of two messages.
const SEQUENCE_STEP: u64 = 2;

/// Key of the source that tells the load of all others.
const OTHERS: SourceKey = SourceKey(0);

/// Identifies a router's run, a data centre or, as zero, all others; targets keep
/// what each tells apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceKey(pub u64);

/// A load that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadChange {
    /// Who told it.
    pub source: SourceKey,
    /// Short hash of the target.
    pub target: u32,
    /// Requests there.
    pub count: u32,
}

/// A message to send.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outgoing {
    /// Who gets it.
    pub receivers: Vec<SocketAddr>,
    /// Its loads, and what the receivers learn of the sender; the rest is up to
    /// the caller.
    pub update: Update,
    /// Whether the receivers also get what the sender learned of prompt parts.
    pub cached: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Whether the peer has a row in the table or is a seed.
    listed: bool,
    rank: u64,
    heard: Option<time::Mono>,
    /// When it last asked for the load of all others.
    asked: Option<time::Mono>,
    /// Since when this router counts on it as a relay.
    counted: Option<time::Mono>,
    /// Whether it is to be greeted without waiting for the next round.
    new: bool,
    reads_table: bool,
    cache_synced: bool,
    uses_relays: bool,
    /// Position of the latest change of a target that it knows.
    last_change: u64,
    centre: CentreHash,
    share: cores::Cores,
    run: u64,
    sequence: u64,
}

impl Peer {
    fn heard_within(&self, now: time::Mono, time: span::Span) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < time)
    }

    fn wants_totals(&self, now: time::Mono) -> bool {
        self.asked
            .is_some_and(|asked| now.since(asked) < relays::RELAY_TIMEOUT)
    }
}

/// How much a router knows of the loads of others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFreshness {
    /// Age of the oldest that still counts.
    pub age: span::Span,
    /// Routers whose loads are known.
    pub routers: u32,
    /// Usual age of a load.
    pub delay: span::Span,
}

/// What this router knows of a peer that it hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivePeer {
    /// Its address.
    pub address: SocketAddr,
    /// Its rank.
    pub rank: u64,
    /// Whether the table answers the peer.
    pub reads_table: bool,
    /// Whether the peer knows what engines keep of prompts.
    pub cache_synced: bool,
}

/// The other routers, as one of them sees them.
#[derive(Clone, Debug)]
pub struct Exchange {
    own: Router,
    run: u64,
    sequence: u64,
    peers: BTreeMap<SocketAddr, Peer>,
    sources: BTreeMap<SourceKey, (CentreHash, LoadSource)>,
    plan: Plan,
    rounds: u64,
    /// When the latest round was.
    at: time::Mono,
    /// Rounds of greetings, and when the next is due.
    heartbeats: u64,
    next_heartbeat: time::Mono,
}

impl Exchange {
    /// Knows the seeds only; `run` distinguishes the runs of a process.
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
            at: time::Mono(0),
            heartbeats: 0,
            next_heartbeat: time::Mono(0),
        };
        for seed in seeds {
            exchange.add_listed(*seed);
        }
        exchange
    }

    /// Takes in the row of a router.
    pub fn add_listed(&mut self, address: SocketAddr) {
        if address != self.own.address {
            self.peer(address).listed = true;
        }
    }

    /// Takes in that a router has no row any more; it is forgotten once it does not
    /// speak either.
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

    /// Returns the addresses of all routers that have a row or were heard.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Returns the peers that this router hears.
    pub fn live_peers(&self, now: time::Mono) -> Vec<LivePeer> {
        let speaking = self.live(now);
        let heard = |(address, peer): (&SocketAddr, &Peer)| LivePeer {
            address: *address,
            rank: peer.rank,
            reads_table: peer.reads_table,
            cache_synced: peer.cache_synced,
        };
        speaking.map(heard).collect()
    }

    fn live(&self, now: time::Mono) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let silent = self.peer_timeout();
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| peer.heard_within(now, silent))
    }

    /// Returns whom this router tells, as decided in the latest round.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns whether this router hears a peer.
    pub fn is_live(&self, now: time::Mono, address: SocketAddr) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| peer.heard_within(now, self.peer_timeout()))
    }

    /// Returns whether this router adds up what others tell: it is a relay, or
    /// some take it for one.
    pub fn aggregates(&self, now: time::Mono) -> bool {
        self.plan.is_relay || self.peers.values().any(|peer| peer.wants_totals(now))
    }

    /// Returns whether a message is newer than what came from its sender; then
    /// takes in what it says of the sender and returns the loads that changed.
    pub fn receive(
        &mut self,
        now: time::Mono,
        address: SocketAddr,
        update: &Update,
    ) -> Option<Vec<LoadChange>> {
        let silent = self.peer_timeout();
        let peer = self.peer(address);
        if peer.run == update.run && peer.sequence >= update.sequence {
            return None;
        }
        let is_new = peer.run != update.run || !peer.heard_within(now, silent);
        *peer = Peer {
            heard: Some(now),
            asked: if update.wants_totals {
                Some(now)
            } else {
                peer.asked
            },
            new: peer.new || is_new,
            reads_table: update.reads_table,
            cache_synced: update.cache_synced,
            uses_relays: update.uses_relays,
            last_change: update.last_change,
            centre: CentreHash(update.centre),
            share: cores::Cores(update.share),
            run: update.run,
            sequence: update.sequence,
            ..*peer
        };
        Some(self.apply_loads(now, update))
    }

    /// Takes in loads.
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
        let told = LoadUpdate {
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
        let changes = source.apply(now, told).unwrap_or_default().into_iter();
        let change = |(target, count)| LoadChange {
            source: key,
            target,
            count,
        };
        changes.map(change).collect()
    }

    /// Returns the messages of the next round, given the requests of this router
    /// by the short hash of the target.
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
            peer.new = false;
        }
        self.rounds += 1;
        self.at = now;
        outgoing
    }

    /// Returns the pause before the next round.
    pub fn interval(&self) -> span::Span {
        match self.plan.mesh {
            true => self.mesh_interval(),
            false => RELAY_INTERVAL,
        }
    }

    fn mesh_interval(&self) -> span::Span {
        let pause = INTERVAL_PER_PEER.as_micros() * self.peers.len() as u64;
        MESH_INTERVAL.max(span::Span::from_micros(pause))
    }

    fn heartbeat_interval(&self) -> span::Span {
        let factor = match self.heartbeats < STARTUP_ROUNDS {
            true => 1,
            false => HEARTBEAT_FACTOR,
        };
        span::Span::from_micros(self.mesh_interval().as_micros() * factor)
    }

    /// Returns the time without news after which a peer does not count.
    fn peer_timeout(&self) -> span::Span {
        if self.peers.len() < MESH_MAX {
            return PEER_TIMEOUT;
        }
        let greet = self.mesh_interval().as_micros() * HEARTBEAT_FACTOR;
        PEER_TIMEOUT.max(span::Span::from_micros(greet * MISSED_HEARTBEATS))
    }

    /// Decides anew whom to tell.
    fn update_plan(&mut self, now: time::Mono) {
        self.peers
            .retain(|_, peer| peer.listed || peer.heard_within(now, PEER_EXPIRY));
        self.sources
            .retain(|_, (_, source)| source.coverage(now, PEER_LOAD_TTL) > 0);
        let stalled = now.since(self.at) > STALL_TIME;
        for peer in self.peers.values_mut() {
            let Some(counted) = peer.counted else {
                continue;
            };
            if stalled {
                peer.counted = Some(now);
            } else if now.since(counted) > relays::RELAY_TIMEOUT
                && !peer.heard_within(now, relays::RELAY_TIMEOUT)
            {
                peer.heard = None;
            }
        }
        let others: Vec<Router> = self.live(now).map(router).collect();
        self.plan = relays::plan(self.own, &others);
        for (address, peer) in &mut self.peers {
            let counts = self.plan.own.contains(address) || self.plan.remote.contains(address);
            peer.counted = match counts {
                true => peer.counted.or(Some(now)),
                false => None,
            };
        }
    }

    /// Returns who is told where all are; silent ones less often.
    fn receivers(&self, now: time::Mono) -> Vec<SocketAddr> {
        let silent = self.peer_timeout();
        let always = self.rounds < STARTUP_ROUNDS || self.rounds.is_multiple_of(RETRY_ROUNDS);
        let peers = self.peers.iter();
        let told = peers.filter(|(_, peer)| always || peer.heard_within(now, silent));
        told.map(|(address, _)| *address).collect()
    }

    /// Returns who is greeted while relays carry the news: all when it is time,
    /// and those that have just begun to speak.
    fn heartbeat_receivers(&mut self, now: time::Mono) -> Vec<SocketAddr> {
        let all = now >= self.next_heartbeat;
        if all {
            self.heartbeats += 1;
            self.next_heartbeat = now + self.heartbeat_interval();
        }
        let peers = self.peers.iter();
        let receivers = peers.filter(|(_, peer)| all || peer.new);
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

    /// Adds up the own loads and those of some data centres.
    fn totals(
        &self,
        now: time::Mono,
        own: &BTreeMap<u32, u32>,
        counts: impl Fn(CentreHash) -> bool,
    ) -> Totals {
        let mut sum = Totals {
            loads: own.clone(),
            coverage: 1,
        };
        for (key, (centre, source)) in &self.sources {
            if *key == OTHERS || !counts(*centre) {
                continue;
            }
            sum.coverage = sum
                .coverage
                .saturating_add(source.coverage(now, PEER_LOAD_TTL));
            for (target, count) in source.loads() {
                let load = sum.loads.entry(target).or_default();
                *load = load.saturating_add(count);
            }
        }
        sum
    }

    /// Adds the messages with some loads to the letters.
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
            // The caller may use the number in between for a second message.
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

    /// Returns the position of the latest change of a target that the relays of
    /// this router tell, if one of them reads the table and speaks. A relay relies
    /// on nobody.
    pub fn relayed_change(&self, now: time::Mono) -> Option<u64> {
        if self.plan.mesh || self.plan.is_relay {
            return None;
        }
        let relays = self.plan.own.iter().filter_map(|own| self.peers.get(own));
        let reading =
            relays.filter(|peer| peer.reads_table && peer.heard_within(now, relays::RELAY_TIMEOUT));
        reading.map(|peer| peer.last_change).max()
    }

    /// Returns how much this router knows of the loads of others.
    pub fn freshness(&self, now: time::Mono) -> LoadFreshness {
        let sources = self.sources.values().map(|(_, source)| source);
        let oldest = sources.clone().map(|source| source.age(now)).max();
        // On average a message waits half a round at each step.
        let steps = if self.plan.mesh { 1 } else { RELAY_HOPS };
        let delay = self.interval().as_micros() * steps / 2;
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

/// Loads of several routers.
struct Totals {
    loads: BTreeMap<u32, u32>,
    coverage: u32,
}

impl Totals {
    /// Returns what remains without one of the routers.
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
    /// Returns the requests by the short hash of the target.
    pub fn loads(&self) -> impl Iterator<Item = (u32, u32)> {
        let counts = self.counts.iter().copied();
        self.targets.iter().copied().zip(counts)
    }
}
