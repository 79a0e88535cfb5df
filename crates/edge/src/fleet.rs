//! The targets that a router sends to, with what it learned about each.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{hash, id, span, time};
use place::{cost, trust::Trust};
use platform::{call::Part, report, target as row};

use crate::upstream::Pool;

/// Prompt parts that are remembered for one target at most, about 100 KB.
const MOST_PARTS: usize = 2_048;

/// Time after which the load that a target reported counts for nothing.
const REPORT_LIFE: span::Span = span::Span::from_secs(2);

/// The targets by service, immutable once built.
pub type Fleet = BTreeMap<id::ServiceId, Vec<Arc<Target>>>;

/// One target.
#[derive(Debug)]
pub struct Target {
    /// Its row.
    pub row: row::Target,
    /// Kept connections.
    pub pool: Pool,
    hash: u64,
    live: Mutex<Live>,
}

#[derive(Debug, Default)]
struct Live {
    own: u32,
    pending: u32,
    others: u32,
    reported: time::Mono,
    trust: Trust,
    parts: BTreeMap<u64, time::Mono>,
}

/// The parts of a prompt as hashes of everything up to their end.
#[derive(Clone, Debug, Default)]
pub struct Chain(Vec<Link>);

#[derive(Clone, Copy, Debug)]
struct Link {
    hash: u64,
    tokens: u32,
}

impl Chain {
    /// Hashes the parts of a prompt; an engine holds a part only for the same
    /// model and after the same parts.
    pub fn new(parts: &[Part]) -> Self {
        let mut hash = 0;
        let link = |part: &Part| {
            hash = hash::mix(hash, hash::bytes(part.id.as_bytes()));
            Link {
                hash,
                tokens: part.tokens,
            }
        };
        Self(parts.iter().map(link).collect())
    }

    /// Returns the hash of the longest part that other requests share.
    pub fn shared(&self) -> Option<u64> {
        let own = self.0.len().checked_sub(1)?;
        Some(self.0.get(own.checked_sub(1)?)?.hash)
    }

    fn tokens(&self) -> u32 {
        self.0.iter().map(|link| link.tokens).sum()
    }
}

impl Target {
    /// Makes a target that nothing is known of.
    pub fn new(row: row::Target) -> Self {
        Self {
            hash: hash::bytes(row.id.as_str().as_bytes()),
            pool: Pool::new(row.address),
            live: Mutex::default(),
            row,
        }
    }

    fn live(&self) -> MutexGuard<'_, Live> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what the choice of a target needs to know.
    pub fn candidate(
        &self,
        now: time::Mono,
        chain: &Chain,
        centre: &id::DataCentre,
    ) -> cost::Candidate {
        let live = self.live();
        cost::Candidate {
            hash: self.hash,
            load: live.own + live.others(now),
            pending: live.pending,
            missing: live.missing(chain),
            penalty: live.trust.penalty(),
            near: self.row.centre == *centre,
            open: live.trust.is_open(now),
        }
    }

    /// Notes that a request is sent; the flight ends when it is dropped.
    pub fn begin(self: &Arc<Self>, now: time::Mono, chain: &Chain) -> Flight {
        let mut live = self.live();
        let missing = live.missing(chain);
        live.own += 1;
        live.pending = live.pending.saturating_add(missing);
        live.trust.sent(now);
        live.hold(now, chain);
        drop(live);
        Flight {
            target: self.clone(),
            pending: missing,
        }
    }

    /// Notes the load that the target reported.
    pub fn report(&self, now: time::Mono, load: report::Load) {
        let mut live = self.live();
        live.others = (load.running + load.waiting).saturating_sub(live.own);
        live.reported = now;
    }

    /// Notes that the target had no room.
    pub fn full(&self, now: time::Mono) {
        let mut live = self.live();
        live.others = live.others.max(self.row.slots);
        live.reported = now;
    }

    /// Notes an outcome.
    pub fn outcome(&self, note: impl FnOnce(&mut Trust)) {
        note(&mut self.live().trust);
    }
}

impl Live {
    fn others(&self, now: time::Mono) -> u32 {
        let age = now.since(self.reported).as_micros();
        let left = REPORT_LIFE.as_micros().saturating_sub(age);
        (u64::from(self.others) * left / REPORT_LIFE.as_micros()) as u32
    }

    fn missing(&self, chain: &Chain) -> u32 {
        let held = chain
            .0
            .iter()
            .take_while(|link| self.parts.contains_key(&link.hash));
        chain.tokens() - held.map(|link| link.tokens).sum::<u32>()
    }

    fn hold(&mut self, now: time::Mono, chain: &Chain) {
        for link in &chain.0 {
            self.parts.insert(link.hash, now);
        }
        if self.parts.len() > MOST_PARTS {
            let mut used: Vec<_> = self.parts.values().copied().collect();
            let (_, middle, _) = used.select_nth_unstable(MOST_PARTS / 2);
            let middle = *middle;
            self.parts.retain(|_, at| *at > middle);
        }
    }
}

/// A request at a target.
#[derive(Debug)]
pub struct Flight {
    target: Arc<Target>,
    pending: u32,
}

impl Flight {
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

impl Drop for Flight {
    fn drop(&mut self) {
        self.answered();
        let mut live = self.target.live();
        live.own = live.own.saturating_sub(1);
    }
}
