//! Decides how a router learns after its start which prompt parts engines have
//! cached.
//!
//! Load pattern: routers were lost, and callers return with long prompt parts
//! that engines still have cached. If the routers did not know where, the parts
//! would be read again by other engines. If only one router was lost, it asks a
//! peer. If all were lost, each queries its share of the engines and announces
//! the result to the others. Each engine is queried only once, because a query
//! delays its work.

use base::{hash, span, time};

/// Time for which a router waits for an update from a peer that knows more.
/// Peers answer its first round with a round of their own, and the datagrams
/// take some time.
const LISTEN_TIME: span::Span = span::Span::from_millis(300);

/// Time after which a peer is asked again, or another one, if there was no
/// answer.
const RETRY_TIME: span::Span = span::Span::from_millis(1_500);

/// Time after which routers that queried their shares of the engines have
/// announced the results to one another.
const SETTLE_TIME: span::Span = span::Span::from_secs(3);

/// Maximum number of times that a peer is asked.
const MAX_ASKS: u32 = 2;

/// Time after which the router stops trying; by then it has learned what engines
/// have cached from the requests that were sent.
const SYNC_TIMEOUT: span::Span = span::Span::from_secs(8);

/// The next step for a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing.
    Wait,
    /// Ask a peer that knows what engines have cached.
    AskPeer,
    /// Query this router's share of the engines.
    AskEngines,
}

/// Tracks whether a router knows what engines have cached.
#[derive(Clone, Copy, Debug, Default)]
pub struct CacheSync {
    done: bool,
    since: Option<time::Mono>,
    last_asked: Option<time::Mono>,
    /// Number of times that a peer was asked.
    asks: u32,
    /// When the router queried its share of the engines.
    queried: Option<time::Mono>,
}

impl CacheSync {
    /// Starts the synchronisation. `first` says that the whole system starts for
    /// the first time, so that there is nothing to learn.
    pub fn new(first: bool) -> Self {
        Self {
            done: first,
            ..Self::default()
        }
    }

    /// Returns whether peers may ask this router. A router that queried its
    /// share of the engines first needs the results of the other routers.
    pub fn can_answer(&self, now: time::Mono) -> bool {
        let settled = self.queried.is_none_or(|at| now.since(at) >= SETTLE_TIME);
        self.done && settled
    }

    /// Returns whether the synchronisation is complete or was given up.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Records that a peer answered.
    pub fn finish(&mut self) {
        self.done = true;
    }

    fn is_asking(&self, now: time::Mono) -> bool {
        self.last_asked.is_some_and(|at| now.since(at) < RETRY_TIME)
    }

    /// Returns the next step. Called once the targets are known.
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
            self.last_asked = Some(now);
            self.asks += 1;
            return Step::AskPeer;
        }
        if self.last_asked.is_none() && waited >= LISTEN_TIME {
            self.done = true;
            self.queried = Some(now);
            return Step::AskEngines;
        }
        Step::Wait
    }
}

/// Returns whether an engine belongs to the share of a router, given the hashes
/// of the other routers' addresses.
pub fn is_own_share(target: u64, own: u64, others: &[u64]) -> bool {
    let rank = |router: u64| hash::mix(router, target);
    others.iter().all(|other| rank(*other) < rank(own))
}
