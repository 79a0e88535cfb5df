//! Decides how a router learns what engines keep of prompts after it started.
//!
//! Load pattern: routers were lost and callers come back with long prompt parts
//! that engines still keep, but nobody knows where, and the parts would be read
//! again elsewhere. A router that is alone in its loss asks a peer. After a loss
//! of all routers each of them asks a share of the engines, once, because the
//! call delays an engine's work, and tells the others.

use base::{hash, span, time};

/// Time for which a router listens whether a peer knows more: a round of news,
/// which follows the first one of this router, and its way.
const LISTEN_TIME: span::Span = span::Span::from_millis(300);

/// Time until a peer that did not answer is asked again, or another one.
const RETRY_TIME: span::Span = span::Span::from_millis(1_500);

/// Time after which routers that asked their shares have told one another.
const SETTLE_TIME: span::Span = span::Span::from_secs(3);

/// Peers that are asked at most.
const MAX_ASKS: u32 = 2;

/// Longest time for which peers are asked; what engines keep is learned from
/// sends by then.
const SYNC_TIMEOUT: span::Span = span::Span::from_secs(8);

/// What a router does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// It asks a peer that knows.
    AskPeer,
    /// It asks its share of the engines.
    AskEngines,
}

/// Whether a router knows what engines keep.
#[derive(Clone, Copy, Debug, Default)]
pub struct CacheSync {
    done: bool,
    since: Option<time::Mono>,
    asked: Option<time::Mono>,
    /// How often a peer was asked.
    asks: u32,
    /// When the router asked its share of the engines.
    shared: Option<time::Mono>,
}

impl CacheSync {
    /// Starts; at the first start of the whole system there is nothing to know.
    pub fn new(first: bool) -> Self {
        Self {
            done: first,
            ..Self::default()
        }
    }

    /// Returns whether peers may ask this router. One that asked its share of the
    /// engines needs the other routers' shares first.
    pub fn can_answer(&self, now: time::Mono) -> bool {
        let settled = self.shared.is_none_or(|at| now.since(at) >= SETTLE_TIME);
        self.done && settled
    }

    /// Returns whether there is nothing left to do.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Notes that a peer answered.
    pub fn finish(&mut self) {
        self.done = true;
    }

    fn is_asking(&self, now: time::Mono) -> bool {
        self.asked.is_some_and(|at| now.since(at) < RETRY_TIME)
    }

    /// Returns what to do, once the targets are known.
    pub fn next(&mut self, now: time::Mono, peer_knows: bool) -> Step {
        if self.done {
            return Step::Wait;
        }
        let waited = now.since(*self.since.get_or_insert(now));
        if waited >= SYNC_TIMEOUT || self.asks >= MAX_ASKS && !self.is_asking(now) {
            self.done = true;
            return Step::Wait;
        }
        if self.is_asking(now) {
            return Step::Wait;
        }
        if peer_knows {
            self.asked = Some(now);
            self.asks += 1;
            return Step::AskPeer;
        }
        if self.asked.is_none() && waited >= LISTEN_TIME {
            self.done = true;
            self.shared = Some(now);
            return Step::AskEngines;
        }
        Step::Wait
    }
}

/// Returns whether an engine is in the share of a router, given the hashes of
/// the other routers' addresses.
pub fn is_own_share(target: u64, own: u64, others: &[u64]) -> bool {
    let rank = |router: u64| hash::mix(router, target);
    others.iter().all(|other| rank(*other) < rank(own))
}
