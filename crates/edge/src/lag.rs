//! Decides when a router fetches a snapshot from a peer.
//!
//! Load pattern: a change of a large configuration reaches all routers at the
//! same moment, from the table. The first that has it tells the others; if all
//! of them fetched it from that one, its link would be busy for seconds.

use base::{span, time};

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
    since: Option<time::Mono>,
    spread: span::Span,
    fetched: Option<time::Mono>,
}

impl Lag {
    /// Returns whether a snapshot is to be fetched now, and notes that it is.
    /// `behind` says whether a peer tells something newer, `follows` whether
    /// the table's feed works.
    /// `random` from 0 to 1 spreads the fetches of many routers.
    pub fn is_due(&mut self, now: time::Mono, behind: bool, follows: bool, random: f64) -> bool {
        if !behind {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert_with(|| {
            self.spread = span::Span::from_micros((SPREAD.as_micros() as f64 * random) as u64);
            now
        });
        let wait = if follows { TABLE_TIME } else { FAILED_TIME };
        let recent = self.fetched.is_some_and(|at| now.since(at) < FETCH_PAUSE);
        let due = now.since(since + self.spread) >= wait && !recent;
        if due {
            self.fetched = Some(now);
        }
        due
    }
}
