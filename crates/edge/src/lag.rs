//! Decides when a router fetches a snapshot from a peer.
//!
//! Load pattern: a change of a large configuration reaches all routers from the
//! table at the same time. The first router that has it reports the new version
//! to the others; if all of them fetched it from that router, its link would be
//! busy for some seconds.

use base::{id, span, time};

/// Time to wait for the table to deliver a version that a peer reported, while
/// the table's feed works. It is less than half of the time within which a
/// version must be in force.
const TABLE_TIME: span::Span = span::Span::from_millis(800);

/// The same wait while the feed fails; a call may still be in progress.
const FAILED_TIME: span::Span = span::Span::from_millis(100);

/// Range of the random delay before a fetch, so that routers do not all fetch at once.
const SPREAD: span::Span = span::Span::from_millis(500);

/// Minimum time between two fetches; the transfer of a large snapshot over a
/// slow link takes most of it.
const FETCH_PAUSE: span::Span = span::Span::from_millis(500);

/// Tracks since when a router has been behind its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The newest version that a peer reported.
    newest: id::Version,
    since: Option<time::Mono>,
    spread: span::Span,
    fetched: Option<time::Mono>,
}

/// What a router knows when an update from a peer arrives.
#[derive(Clone, Copy, Debug)]
pub struct VersionState {
    /// Version in force at this router.
    pub own: id::Version,
    /// Version in force at the peer.
    pub peer: id::Version,
    /// Whether this router knows no targets.
    pub no_targets: bool,
    /// Whether the table's feed works.
    pub feed_works: bool,
}

impl Lag {
    /// Returns whether to fetch a snapshot from the peer now, and if so records
    /// the fetch. `random`, between 0 and 1, varies the times of the fetches of many
    /// routers.
    ///
    /// A peer that has no newer version either does not cause a fetch, and does
    /// not mean that this router has caught up.
    pub fn is_due(&mut self, now: time::Mono, state: VersionState, random: f64) -> bool {
        self.newest = self.newest.max(state.peer);
        if state.own >= self.newest && !state.no_targets {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert_with(|| {
            self.spread = span::Span::from_micros((SPREAD.as_micros() as f64 * random) as u64);
            now
        });
        let wait = if state.feed_works {
            TABLE_TIME
        } else {
            FAILED_TIME
        };
        let helps = state.peer > state.own || (state.no_targets && state.peer > id::Version(0));
        let recent = self.fetched.is_some_and(|at| now.since(at) < FETCH_PAUSE);
        let due = helps && now.since(since + self.spread) >= wait && !recent;
        if due {
            self.fetched = Some(now);
        }
        due
    }
}
