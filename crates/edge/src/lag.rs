//! Decides when a router fetches a snapshot from a peer.
//!
//! Load pattern: a change of a large configuration reaches all routers at the
//! same moment, from the table. The first that has it tells the others; if all
//! of them fetched it from that one, its link would be busy for seconds.

use base::{id, span, time};

/// Time that the table has to deliver a version that a peer tells, while its
/// feed works. Less than half of the time in which a version must be in force.
const TABLE_TIME: span::Span = span::Span::from_millis(800);

/// The same while the feed fails; a call may be under way.
const FAILED_TIME: span::Span = span::Span::from_millis(100);

/// Time over which the fetches of many routers are spread.
const SPREAD: span::Span = span::Span::from_millis(500);

/// Shortest time between two fetches; a large snapshot takes most of it on a
/// slow link.
const FETCH_PAUSE: span::Span = span::Span::from_millis(500);

/// Since when a router is behind its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The newest version that a peer told.
    told: id::Version,
    since: Option<time::Mono>,
    spread: span::Span,
    fetched: Option<time::Mono>,
}

/// What a router knows when a peer speaks.
#[derive(Clone, Copy, Debug)]
pub struct VersionState {
    /// Version in force here.
    pub own: id::Version,
    /// Version in force at the peer.
    pub peer: id::Version,
    /// Whether no target is known here.
    pub no_targets: bool,
    /// Whether the table's feed works.
    pub feed_works: bool,
}

impl Lag {
    /// Returns whether a snapshot is to be fetched from the peer now, and notes
    /// that it is. `random` from 0 to 1 spreads the fetches of many routers.
    ///
    /// A peer that is behind too neither helps nor ends the lag.
    pub fn is_due(&mut self, now: time::Mono, state: VersionState, random: f64) -> bool {
        self.told = self.told.max(state.peer);
        if state.own >= self.told && !state.no_targets {
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
