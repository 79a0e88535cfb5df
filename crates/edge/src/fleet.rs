//! The targets that a router sends to, and the state that it keeps for each.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{hash, id, span, time};
use place::{breaker::Breaker, contention::Figure, cost, slowdown::Slowdown};
use platform::{load::Load, request::Part, target as row};

use crate::{
    cold::state::ColdState,
    update::{CachedPart, SlowTarget},
    upstream::Pool,
};

/// Maximum number of cached prompt parts that are remembered for one target,
/// about 100 KB.
const MAX_PARTS: usize = 2_048;

/// Time after which the load that a target reported is ignored.
const REPORT_TTL: span::Span = span::Span::from_secs(2);

/// Time for which the load that a target reported is more accurate than a higher
/// count by routers.
const FRESH_TIME: span::Span = span::Span::from_millis(500);

/// Number of requests that other routers may have sent since a fresh report.
const REPORT_MARGIN: u32 = 1;

/// Time after which a target that said that it is leaving and is still there is
/// sent to again, in case it was mistaken.
const LEAVING_TERM: span::Span = span::Span::from_secs(600);

/// Time after which the load that a peer reported is ignored.
pub const PEER_LOAD_TTL: span::Span = span::Span::from_millis(1_500);

/// The targets, immutable once built.
#[derive(Debug, Default)]
pub struct Fleet {
    services: BTreeMap<id::ServiceId, Vec<Arc<Target>>>,
    targets: BTreeMap<TargetHash, Arc<Target>>,
}

/// Hash of a target's id, used in updates between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetHash(pub u64);

/// A target and what is known about its state.
#[derive(Debug)]
pub struct Target {
    /// Its row in the table.
    pub row: row::Target,
    /// Pooled connections to it.
    pub pool: Arc<Pool>,
    /// Hash of its id.
    pub hash: TargetHash,
    state: Arc<Mutex<State>>,
    cold: Arc<Mutex<ColdState>>,
}

#[derive(Debug, Default)]
struct State {
    own: u32,
    pending: u32,
    /// Number of requests of other routers at the time of the latest report.
    others: u32,
    /// Number of all requests at that time.
    total: u32,
    reported: time::Mono,
    /// Number of requests that this router sent since then.
    since: u32,
    peers: BTreeMap<u64, PeerLoad>,
    breaker: Breaker,
    slowdown: Slowdown,
    /// The latest figure of contention that the target reported.
    contention: Option<Figure>,
    /// Until when the target gets no requests because it asked for that.
    pause: Option<time::Mono>,
    /// Until when the target counts as leaving because it said so in a response.
    leaving: Option<time::Mono>,
    parts: BTreeMap<id::PartHash, CacheEntry>,
}

/// A prompt part that a target has cached.
#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    /// When the part was last used, as far as this router knows.
    at: time::Mono,
    /// Whether other requests have the same part.
    shared: bool,
}

/// Number of requests that a peer reported for a target.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    count: u32,
    at: time::Mono,
}

/// The parts of a prompt in order.
#[derive(Clone, Debug, Default)]
pub struct PrefixChain(Vec<PrefixPart>);

#[derive(Clone, Copy, Debug)]
struct PrefixPart {
    hash: id::PartHash,
    tokens: u32,
}

impl Fleet {
    /// Builds the fleet from rows. Targets that are already in `old` keep their
    /// state.
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

    /// Returns the targets of a service, including those that are leaving.
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

    /// Returns the number of this router's requests by the short hash of the
    /// target.
    pub fn loads(&self) -> BTreeMap<u32, u32> {
        let loads = self
            .targets()
            .map(|target| (target.hash.short(), target.own()));
        loads.filter(|(_, own)| *own > 0).collect()
    }

    /// Adds prompt parts that other routers reported as cached. Returns those
    /// that were not known.
    pub fn add_cached(&self, now: time::Mono, parts: &[CachedPart]) -> Vec<CachedPart> {
        let is_new = |part: &&CachedPart| {
            let target = self.target(TargetHash(part.target));
            target.is_some_and(|target| target.add_cached(now, id::PartHash(part.part)))
        };
        parts.iter().filter(is_new).copied().collect()
    }

    /// Returns cached prompt parts that several requests share, most recently
    /// used first, at most `max`.
    pub fn cached_parts(&self, max: usize) -> Vec<(TargetHash, id::PartHash)> {
        let parts = self.targets().flat_map(|target| {
            let cached = target.cached_parts().into_iter();
            cached.map(|(at, part)| (at, target.hash, part))
        });
        let mut parts: Vec<_> = parts.collect();
        parts.sort_unstable_by(|a, b| b.cmp(a));
        parts.truncate(max);
        let parts = parts.into_iter();
        parts.map(|(_, target, part)| (target, part)).collect()
    }

    /// Returns the slow targets, most recent measurement first, at most `max`.
    pub fn slow(&self, now: time::Mono, max: usize) -> Vec<SlowTarget> {
        let slow = self.targets().filter_map(|target| {
            let (factor, age) = target.state().slowdown.estimate(now)?;
            Some(SlowTarget::new(target.hash, factor, age))
        });
        let mut slow: Vec<SlowTarget> = slow.collect();
        slow.sort_unstable_by_key(|slow| slow.age);
        slow.truncate(max);
        slow
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }
}

/// Hashes the id of a prompt part.
pub fn part_hash(id: &str) -> id::PartHash {
    id::PartHash(hash::bytes(id.as_bytes()))
}

impl TargetHash {
    /// Hashes an id.
    pub fn of(id: &id::TargetId) -> Self {
        Self(hash::bytes(id.as_str().as_bytes()))
    }

    /// Returns the upper half of the hash. It distinguishes a few thousand
    /// targets, and keeps updates that list all of them small.
    pub fn short(self) -> u32 {
        (self.0 >> u32::BITS) as u32
    }
}

/// Displays the hashes of the parts that other requests may share.
#[derive(Clone, Copy, Debug)]
pub struct SharedParts<'a>(pub &'a PrefixChain);

impl fmt::Display for SharedParts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.shared().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            part.fmt(f)?;
        }
        Ok(())
    }
}

impl PrefixChain {
    /// Hashes the parts of a prompt.
    pub fn new(parts: &[Part]) -> Self {
        let part = |part: &Part| PrefixPart {
            hash: part_hash(&part.id),
            tokens: part.tokens,
        };
        Self(parts.iter().map(part).collect())
    }

    /// Returns the parts that other requests may share, the longest prefix last.
    pub fn shared(&self) -> impl Iterator<Item = id::PartHash> {
        let count = self.0.len().saturating_sub(1);
        self.0.iter().take(count).map(|part| part.hash)
    }

    /// Returns the length of the whole prompt, in tokens.
    pub fn tokens(&self) -> u32 {
        let tokens = self.0.iter().map(|part| part.tokens);
        tokens.fold(0, u32::saturating_add)
    }

    /// Returns the length of the part that only this request has, in tokens.
    pub fn own(&self) -> u32 {
        self.0.last().map_or(0, |part| part.tokens)
    }
}

impl Target {
    /// Returns a hash that identifies the run of the target: it starts again with
    /// another start time, mostly under another id.
    pub fn run(&self) -> u64 {
        hash::mix(self.hash.0, self.row.started_at as u64)
    }

    fn new(row: row::Target, hash: TargetHash, known: Option<&Arc<Self>>) -> Self {
        let same = known.filter(|known| {
            known.row.id == row.id
                && known.row.started_at == row.started_at
                && known.row.address == row.address
        });
        let (pool, state, cold) = match same {
            Some(same) => (same.pool.clone(), same.state.clone(), same.cold.clone()),
            None => (
                Arc::new(Pool::new(row.address)),
                Arc::default(),
                Arc::default(),
            ),
        };
        Self {
            row,
            pool,
            hash,
            state,
            cold,
        }
    }

    /// Returns the state of the target's cold start.
    pub fn cold(&self) -> MutexGuard<'_, ColdState> {
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether `other` is the same run of the target, with the same state.
    pub fn shares_state(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.state, &other.state)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state that the choice of a target depends on.
    pub fn candidate(
        &self,
        now: time::Mono,
        chain: &PrefixChain,
        centre: &id::DataCentre,
    ) -> cost::Candidate {
        let state = self.state();
        let factor = state.slowdown.factor(now).unwrap_or(1.0);
        cost::Candidate {
            hash: self.hash.0,
            load: state.load(now),
            slots: self.row.slots,
            pending: state.pending,
            missing: state.missing(chain),
            penalty: state.breaker.penalty(),
            slowdown: ((factor - 1.0) * 100.0) as u32,
            contention: 0,
            reported: state.total.saturating_add(state.since),
            local: self.row.centre == *centre,
            accepting: !self.row.leaving && state.accepts(now),
            unblocked: state.breaker.admits(now),
            excluded: false,
        }
    }

    /// Records that a request is sent to the target, until the returned
    /// [`InFlight`] is dropped. `missing` is the number of tokens that the
    /// target has to read. Also returns the shared parts that were not known to
    /// be cached there.
    pub fn begin(
        self: &Arc<Self>,
        now: time::Mono,
        chain: &PrefixChain,
        missing: u32,
    ) -> (InFlight, Vec<id::PartHash>) {
        let mut state = self.state();
        state.own += 1;
        state.since += 1;
        state.pending = state.pending.saturating_add(missing);
        state.breaker.record_sent(now);
        let mut learned = Vec::new();
        for (index, part) in chain.0.iter().enumerate() {
            let shared = index + 1 < chain.0.len();
            if state.insert_part(part.hash, CacheEntry { at: now, shared }) && shared {
                learned.push(part.hash);
            }
        }
        drop(state);
        let flight = InFlight {
            target: self.clone(),
            pending: missing,
        };
        (flight, learned)
    }

    /// Returns the number of this router's requests at the target.
    pub fn own(&self) -> u32 {
        self.state().own
    }

    /// Records that the target has cached a shared part, as reported by a peer
    /// or by the target. Returns whether that was not known.
    pub fn add_cached(&self, now: time::Mono, part: id::PartHash) -> bool {
        let cached = CacheEntry {
            at: now,
            shared: true,
        };
        self.state().insert_part(part, cached)
    }

    /// Forgets which parts the target has cached.
    pub fn forget_parts(&self) {
        self.state().parts.clear();
    }

    /// Returns the shared parts that the target is known to have cached, with
    /// the time of their latest use.
    pub fn cached_parts(&self) -> Vec<(time::Mono, id::PartHash)> {
        let state = self.state();
        let shared = state.parts.iter().filter(|(_, cached)| cached.shared);
        shared.map(|(part, cached)| (cached.at, *part)).collect()
    }

    /// Records the number of requests that a peer, or several together, have at
    /// the target.
    pub fn set_peer_load(&self, now: time::Mono, peer: u64, count: u32) {
        let mut state = self.state();
        match count {
            0 => {
                state.peers.remove(&peer);
            }
            _ => {
                state.peers.insert(peer, PeerLoad { count, at: now });
                state
                    .peers
                    .retain(|_, load| now.since(load.at) < PEER_LOAD_TTL);
            }
        }
    }

    /// Records the load that the target reported.
    pub fn report(&self, now: time::Mono, load: Load) {
        let mut state = self.state();
        state.total = load.running.saturating_add(load.waiting);
        state.others = state.total.saturating_sub(state.own);
        state.reported = now;
        state.since = 0;
    }

    /// Records a figure of contention that the target reported. Returns the previous
    /// one.
    pub fn report_contention(&self, figure: Figure) -> Option<Figure> {
        self.state().contention.replace(figure)
    }

    /// Returns the latest figure of contention that the target reported.
    pub fn contention(&self) -> Option<Figure> {
        self.state().contention
    }

    /// Records that the target refused a request because it was full.
    pub fn report_full(&self, now: time::Mono) {
        let mut state = self.state();
        state.total = state.total.max(self.row.slots);
        state.others = state.others.max(self.row.slots);
        state.reported = now;
        state.since = 0;
    }

    /// Records that the target said that it is leaving. Returns whether that was
    /// not known.
    pub fn report_leaving(&self, now: time::Mono) -> bool {
        let mut state = self.state();
        let is_new = !state.says_leaving(now);
        state.leaving = Some(now + LEAVING_TERM);
        is_new
    }

    /// Records that the target wants no requests for some time.
    pub fn report_pause(&self, now: time::Mono, pause: span::Span) {
        let mut state = self.state();
        let until = now + pause;
        state.pause = Some(state.pause.map_or(until, |known| known.max(until)));
    }

    /// Returns for how much longer the target gets no requests because it asked for
    /// that, unless it is leaving.
    pub fn paused_for(&self, now: time::Mono) -> Option<span::Span> {
        let state = self.state();
        let pause = state.pause.filter(|until| *until > now)?;
        let is_leaving = self.row.leaving || state.says_leaving(now);
        (!is_leaving).then(|| pause.since(now))
    }

    /// Returns whether the target is leaving, as its row or the target itself said.
    pub fn is_leaving(&self, now: time::Mono) -> bool {
        self.row.leaving || self.state().says_leaving(now)
    }

    /// Updates the circuit breaker after the outcome of a request.
    pub fn update_breaker(&self, update: impl FnOnce(&mut Breaker)) {
        update(&mut self.state().breaker);
    }

    /// Merges another router's measurement of the target's slowdown.
    pub fn merge_slowdown(&self, now: time::Mono, slow: &SlowTarget) {
        self.update_slowdown(now, |state| state.merge(now, slow.factor(), slow.age()));
    }

    /// Records how long a request took, and how long it was expected to take.
    pub fn record_duration(&self, now: time::Mono, took: span::Span, expected: span::Span) {
        self.update_slowdown(now, |state| state.record(now, took, expected));
    }

    fn update_slowdown(&self, now: time::Mono, update: impl FnOnce(&mut Slowdown)) {
        let mut state = self.state();
        let before = state.slowdown.factor(now);
        update(&mut state.slowdown);
        let after = state.slowdown.factor(now);
        drop(state);
        if before.is_some() != after.is_some() {
            let target = &self.row.id;
            tracing::info!(event = "target_pace", %target, slow = after.is_some(), before, after);
        }
    }

    /// Returns for how much longer the target gets no requests, if it is blocked.
    pub fn blocked_for(&self, now: time::Mono) -> Option<span::Span> {
        self.state().breaker.blocked_for(now)
    }
}

impl State {
    /// Returns whether the target said in a response that it is leaving.
    fn says_leaving(&self, now: time::Mono) -> bool {
        self.leaving.is_some_and(|until| until > now)
    }

    /// Returns whether the target may get requests, as far as it said.
    fn accepts(&self, now: time::Mono) -> bool {
        let is_paused = self.pause.is_some_and(|until| until > now);
        !is_paused && !self.says_leaving(now)
    }

    /// Returns the estimated number of requests at the target.
    ///
    /// A request whose response was lost is counted until it times out, even if
    /// the target finished it long ago; the target's own report corrects that.
    fn load(&self, now: time::Mono) -> u32 {
        let counted = self.own.saturating_add(self.others(now));
        let is_fresh = self.reported > time::Mono(0) && now.since(self.reported) < FRESH_TIME;
        if is_fresh {
            counted.min(self.total.saturating_add(self.since + REPORT_MARGIN))
        } else {
            counted
        }
    }

    /// Returns the number of requests of other routers: the sum that peers
    /// reported, or else the target's own report.
    fn others(&self, now: time::Mono) -> u32 {
        let fresh = |load: &&PeerLoad| now.since(load.at) < PEER_LOAD_TTL;
        let from_peers: u32 = self
            .peers
            .values()
            .filter(fresh)
            .map(|load| load.count)
            .fold(0, u32::saturating_add);
        let age = now.since(self.reported).as_micros();
        let left = REPORT_TTL.as_micros().saturating_sub(age);
        let reported = u64::from(self.others) * left / REPORT_TTL.as_micros();
        match from_peers {
            0 => reported as u32,
            _ => from_peers,
        }
    }

    fn missing(&self, chain: &PrefixChain) -> u32 {
        let cached = chain
            .0
            .iter()
            .take_while(|part| self.parts.contains_key(&part.hash));
        let cached = cached.map(|part| part.tokens);
        let cached = cached.fold(0, u32::saturating_add);
        chain.tokens().saturating_sub(cached)
    }

    fn insert_part(&mut self, part: id::PartHash, cached: CacheEntry) -> bool {
        let is_new = self.parts.insert(part, cached).is_none();
        if self.parts.len() > MAX_PARTS {
            let mut used: Vec<_> = self.parts.values().map(|cached| cached.at).collect();
            let (_, middle, _) = used.select_nth_unstable(MAX_PARTS / 2);
            let middle = *middle;
            self.parts.retain(|_, cached| cached.at > middle);
        }
        is_new
    }
}

/// A request that is in progress at a target.
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

    /// Records that the first bytes of the response arrived, so the target has
    /// read the prompt.
    pub fn answered(&mut self) {
        let mut state = self.target.state();
        state.pending = state.pending.saturating_sub(self.pending);
        self.pending = 0;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.answered();
        let mut state = self.target.state();
        state.own = state.own.saturating_sub(1);
    }
}
