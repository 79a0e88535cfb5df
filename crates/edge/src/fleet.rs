//! The targets that a router sends to, with what it learned about each.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{hash, id, span, time};
use place::{breaker::Breaker, cost, slowdown::Slowdown};
use platform::{load::Load, request::Part, target as row};

use crate::{
    update::{CachedPart, SlowTarget},
    upstream::Pool,
};

/// Prompt parts that are remembered for one target at most, about 100 KB.
const MAX_PARTS: usize = 2_048;

/// Time after which the load that a target reported counts for nothing.
const REPORT_TTL: span::Span = span::Span::from_secs(2);

/// Time in which the load that a target reported is nearer to the truth than a
/// higher count of routers.
const FRESH_TIME: span::Span = span::Span::from_millis(500);

/// Requests that other routers may have sent since a fresh report.
const REPORT_MARGIN: u32 = 1;

/// Time after which what a peer told of its requests counts for nothing.
pub const PEER_LOAD_TTL: span::Span = span::Span::from_millis(1_500);

/// The targets, immutable once built.
#[derive(Debug, Default)]
pub struct Fleet {
    services: BTreeMap<id::ServiceId, Vec<Arc<Target>>>,
    targets: BTreeMap<TargetHash, Arc<Target>>,
}

/// Hash of a target's id, which routers send to one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetHash(pub u64);

/// Hash of the id of a part of a prompt. An engine that keeps a part reads it
/// again unless it keeps all parts before it too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartHash(pub u64);

/// One target.
#[derive(Debug)]
pub struct Target {
    /// Its row.
    pub row: row::Target,
    /// Kept connections.
    pub pool: Arc<Pool>,
    /// Hash of its id.
    pub hash: TargetHash,
    live: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    own: u32,
    pending: u32,
    /// Requests of others at the time of the latest report.
    others: u32,
    /// All requests at that time.
    total: u32,
    reported: time::Mono,
    /// Requests that this router sent since then.
    since: u32,
    peers: BTreeMap<u64, PeerLoad>,
    breaker: Breaker,
    slowdown: Slowdown,
    parts: BTreeMap<PartHash, CacheEntry>,
}

/// A part that a target keeps.
#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    /// When it was used last, as far as this router knows.
    at: time::Mono,
    /// Whether other requests share it.
    shared: bool,
}

/// What a peer told of its requests at a target.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    count: u32,
    at: time::Mono,
}

/// The parts of a prompt in their order.
#[derive(Clone, Debug, Default)]
pub struct PrefixChain(Vec<PrefixPart>);

#[derive(Clone, Copy, Debug)]
struct PrefixPart {
    hash: PartHash,
    tokens: u32,
}

impl Fleet {
    /// Builds the fleet from rows; what is known of a target that stays is kept.
    pub fn new(rows: &[&row::Target], old: Option<&Self>) -> Self {
        let mut fleet = Self::default();
        for row in rows {
            let hash = TargetHash::of(&row.id);
            let known = old.and_then(|old| old.targets.get(&hash));
            let target = Arc::new(Target::new((*row).clone(), hash, known));
            fleet.targets.insert(hash, target.clone());
            let service = fleet.services.entry(row.service.clone()).or_default();
            service.push(target);
        }
        fleet
    }

    /// Returns the targets of a service, those that leave included.
    pub fn service(&self, service: &id::ServiceId) -> &[Arc<Target>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns a target by its hash.
    pub fn target(&self, hash: TargetHash) -> Option<&Arc<Target>> {
        self.targets.get(&hash)
    }

    /// Returns a target by its short hash.
    pub fn by_short_hash(&self, short: u32) -> Option<&Arc<Target>> {
        let first = TargetHash(u64::from(short) << u32::BITS);
        let (hash, target) = self.targets.range(first..).next()?;
        (hash.short() == short).then_some(target)
    }

    /// Returns the requests of this router by the short hash of the target.
    pub fn loads(&self) -> BTreeMap<u32, u32> {
        let loads = self
            .targets()
            .map(|target| (target.hash.short(), target.own()));
        loads.filter(|(_, own)| *own > 0).collect()
    }

    /// Notes what others tell of the parts that targets keep; returns what was
    /// not known.
    pub fn add_cached(&self, now: time::Mono, holds: &[CachedPart]) -> Vec<CachedPart> {
        let is_new = |hold: &&CachedPart| {
            let target = self.target(TargetHash(hold.target));
            target.is_some_and(|target| target.add_cached(now, PartHash(hold.part)))
        };
        holds.iter().filter(is_new).copied().collect()
    }

    /// Returns the parts that targets are known to keep and requests share, the
    /// latest first.
    pub fn cached_parts(&self, most: usize) -> Vec<(TargetHash, PartHash)> {
        let parts = self.targets().flat_map(|target| {
            let kept = target.cached_parts().into_iter();
            kept.map(|(at, part)| (at, target.hash, part))
        });
        let mut parts: Vec<_> = parts.collect();
        parts.sort_unstable_by(|a, b| b.cmp(a));
        parts.truncate(most);
        let parts = parts.into_iter();
        parts.map(|(_, target, part)| (target, part)).collect()
    }

    /// Returns the targets that are slow, the latest evidence first.
    pub fn slow(&self, now: time::Mono, most: usize) -> Vec<SlowTarget> {
        let slow = self.targets().filter_map(|target| {
            let (factor, age) = target.live().slowdown.estimate(now)?;
            Some(SlowTarget::new(target.hash, factor, age))
        });
        let mut slow: Vec<SlowTarget> = slow.collect();
        slow.sort_unstable_by_key(|slow| slow.age);
        slow.truncate(most);
        slow
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }
}

impl TargetHash {
    /// Hashes an id.
    pub fn of(id: &id::TargetId) -> Self {
        Self(hash::bytes(id.as_str().as_bytes()))
    }

    /// Returns the first half, which tells a few thousand targets apart in the
    /// messages that name all of them.
    pub fn short(self) -> u32 {
        (self.0 >> u32::BITS) as u32
    }
}

impl PartHash {
    /// Hashes the id of a part.
    pub fn of(id: &str) -> Self {
        Self(hash::bytes(id.as_bytes()))
    }
}

impl PrefixChain {
    /// Hashes the parts of a prompt.
    pub fn new(parts: &[Part]) -> Self {
        let link = |part: &Part| PrefixPart {
            hash: PartHash::of(&part.id),
            tokens: part.tokens,
        };
        Self(parts.iter().map(link).collect())
    }

    /// Returns the parts that other requests share, the longest last.
    pub fn shared(&self) -> impl Iterator<Item = PartHash> {
        let count = self.0.len().saturating_sub(1);
        self.0.iter().take(count).map(|link| link.hash)
    }

    /// Returns the length of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.0.iter().map(|link| link.tokens).sum()
    }

    /// Returns the length of the request's own part.
    pub fn own(&self) -> u32 {
        self.0.last().map_or(0, |link| link.tokens)
    }
}

impl Target {
    fn new(row: row::Target, hash: TargetHash, known: Option<&Arc<Self>>) -> Self {
        let same = known.filter(|known| {
            known.row.id == row.id
                && known.row.started_at == row.started_at
                && known.row.address == row.address
        });
        let (pool, live) = match same {
            Some(same) => (same.pool.clone(), same.live.clone()),
            None => (Arc::new(Pool::new(row.address)), Arc::default()),
        };
        Self {
            row,
            pool,
            hash,
            live,
        }
    }

    fn live(&self) -> MutexGuard<'_, State> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what the choice of a target needs to know.
    pub fn candidate(
        &self,
        now: time::Mono,
        chain: &PrefixChain,
        centre: &id::DataCentre,
    ) -> cost::Candidate {
        let live = self.live();
        let factor = live.slowdown.factor(now).unwrap_or(1.0);
        cost::Candidate {
            hash: self.hash.0,
            load: live.load(now),
            slots: self.row.slots,
            pending: live.pending,
            missing: live.missing(chain),
            penalty: live.breaker.penalty(),
            slowdown: ((factor - 1.0) * 100.0) as u32,
            local: self.row.centre == *centre,
            accepting: !self.row.leaving,
            trusted: live.breaker.admits(now),
        }
    }

    /// Notes that a request is sent; the flight ends when it is dropped.
    /// `missing` is the length of what the target reads. Also returns the shared
    /// parts that it was not known to keep.
    pub fn begin(
        self: &Arc<Self>,
        now: time::Mono,
        chain: &PrefixChain,
        missing: u32,
    ) -> (InFlight, Vec<PartHash>) {
        let mut live = self.live();
        live.own += 1;
        live.since += 1;
        live.pending = live.pending.saturating_add(missing);
        live.breaker.record_sent(now);
        let mut learned = Vec::new();
        for (index, link) in chain.0.iter().enumerate() {
            let shared = index + 1 < chain.0.len();
            if live.insert_part(link.hash, CacheEntry { at: now, shared }) && shared {
                learned.push(link.hash);
            }
        }
        drop(live);
        let flight = InFlight {
            target: self.clone(),
            pending: missing,
        };
        (flight, learned)
    }

    /// Returns how many requests of this router are at the target.
    pub fn own(&self) -> u32 {
        self.live().own
    }

    /// Notes that the target keeps a part that requests share, as a peer or the
    /// target itself tells; returns whether that was not known.
    pub fn add_cached(&self, now: time::Mono, part: PartHash) -> bool {
        let kept = CacheEntry {
            at: now,
            shared: true,
        };
        self.live().insert_part(part, kept)
    }

    /// Returns the shared parts that the target is known to keep, with the times
    /// of their latest use.
    pub fn cached_parts(&self) -> Vec<(time::Mono, PartHash)> {
        let live = self.live();
        let shared = live.parts.iter().filter(|(_, kept)| kept.shared);
        shared.map(|(part, kept)| (kept.at, *part)).collect()
    }

    /// Notes how many requests of a peer, or of several, are at the target.
    pub fn set_peer_load(&self, now: time::Mono, peer: u64, count: u32) {
        let mut live = self.live();
        match count {
            0 => {
                live.peers.remove(&peer);
            }
            _ => {
                live.peers.insert(peer, PeerLoad { count, at: now });
                live.peers
                    .retain(|_, told| now.since(told.at) < PEER_LOAD_TTL);
            }
        }
    }

    /// Notes the load that the target reported.
    pub fn report(&self, now: time::Mono, load: Load) {
        let mut live = self.live();
        live.total = load.running.saturating_add(load.waiting);
        live.others = live.total.saturating_sub(live.own);
        live.reported = now;
        live.since = 0;
    }

    /// Notes that the target had no room.
    pub fn report_full(&self, now: time::Mono) {
        let mut live = self.live();
        live.total = live.total.max(self.row.slots);
        live.others = live.others.max(self.row.slots);
        live.reported = now;
        live.since = 0;
    }

    /// Notes an outcome.
    pub fn update_trust(&self, note: impl FnOnce(&mut Breaker)) {
        note(&mut self.live().breaker);
    }

    /// Notes what another router knows of the target's speed.
    pub fn merge_slowness(&self, now: time::Mono, slow: &SlowTarget) {
        self.slowness(now, |known| known.merge(now, slow.factor(), slow.age()));
    }

    /// Notes how long a request took where another time was expected.
    pub fn record_duration(&self, now: time::Mono, took: span::Span, expected: span::Span) {
        self.slowness(now, |known| known.record(now, took, expected));
    }

    fn slowness(&self, now: time::Mono, note: impl FnOnce(&mut Slowdown)) {
        let mut live = self.live();
        let before = live.slowdown.factor(now);
        note(&mut live.slowdown);
        let after = live.slowdown.factor(now);
        drop(live);
        if before.is_some() != after.is_some() {
            let target = &self.row.id;
            tracing::info!(event = "target_pace", %target, slow = after.is_some(), before, after);
        }
    }

    /// Returns for how long the target is set aside.
    pub fn suspension(&self, now: time::Mono) -> Option<span::Span> {
        self.live().breaker.blocked_for(now)
    }
}

impl State {
    /// Returns the requests believed to be at the target.
    ///
    /// A request whose answer was lost counts here until its time is over,
    /// though the target has long ended it; the target's own report corrects
    /// that.
    fn load(&self, now: time::Mono) -> u32 {
        let counted = self.own.saturating_add(self.others(now));
        let is_fresh = self.reported > time::Mono(0) && now.since(self.reported) < FRESH_TIME;
        if is_fresh {
            counted.min(self.total.saturating_add(self.since + REPORT_MARGIN))
        } else {
            counted
        }
    }

    /// Returns the requests of others: what peers told, or the target's own
    /// report where no peer tells anything.
    fn others(&self, now: time::Mono) -> u32 {
        let fresh = |told: &&PeerLoad| now.since(told.at) < PEER_LOAD_TTL;
        let told: u32 = self
            .peers
            .values()
            .filter(fresh)
            .map(|told| told.count)
            .fold(0, u32::saturating_add);
        let age = now.since(self.reported).as_micros();
        let left = REPORT_TTL.as_micros().saturating_sub(age);
        let reported = u64::from(self.others) * left / REPORT_TTL.as_micros();
        match told {
            0 => reported as u32,
            _ => told,
        }
    }

    fn missing(&self, chain: &PrefixChain) -> u32 {
        let held = chain
            .0
            .iter()
            .take_while(|link| self.parts.contains_key(&link.hash));
        chain.tokens() - held.map(|link| link.tokens).sum::<u32>()
    }

    fn insert_part(&mut self, part: PartHash, kept: CacheEntry) -> bool {
        let is_new = self.parts.insert(part, kept).is_none();
        if self.parts.len() > MAX_PARTS {
            let mut used: Vec<_> = self.parts.values().map(|kept| kept.at).collect();
            let (_, middle, _) = used.select_nth_unstable(MAX_PARTS / 2);
            let middle = *middle;
            self.parts.retain(|_, kept| kept.at > middle);
        }
        is_new
    }
}

/// A request at a target.
#[derive(Debug)]
pub struct InFlight {
    target: Arc<Target>,
    pending: u32,
}

impl InFlight {
    /// Returns the target.
    pub fn target(&self) -> &Arc<Target> {
        &self.target
    }

    /// Notes the first bytes of the response: the prompt was read.
    pub fn answered(&mut self) {
        let mut live = self.target.live();
        live.pending = live.pending.saturating_sub(self.pending);
        self.pending = 0;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.answered();
        let mut live = self.target.live();
        live.own = live.own.saturating_sub(1);
    }
}
