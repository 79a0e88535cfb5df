//! Decides which routers read the table often.
//!
//! Load pattern: calls to the table are billed and rate-limited for the whole
//! fleet. A few routers that read often can inform all others within one round
//! of updates; the others read just often enough to meet the time bounds without
//! them.

use base::span;
use platform::rows::Position;

/// Interval between two reads of the targets' changes by a router that reads
/// often. Targets write several times a second, so a feed that waits for the
/// first change would return immediately.
const READER_INTERVAL: span::Span = span::Span::from_millis(600);

/// Interval between two reads by other routers.
const DEFAULT_INTERVAL: span::Span = span::Span::from_millis(1_400);

/// Maximum time between two reads by a router whose relays read the table and
/// report its changes. A change whose reports were lost is found after this
/// time.
const RELAYED_INTERVAL: span::Span = span::Span::from_secs(10);

/// Maximum interval as a percentage of the time within which new work must stop
/// reaching a target that is leaving; the read itself takes some of that time.
const DRAIN_PERCENT: u64 = 70;

/// Number of routers that read the table often. More than one, because a reader
/// may stop, and the others notice this only after two seconds.
const READERS: usize = 3;

/// A router as a candidate for reading often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Router {
    /// Its rank, see [`crate::relays::rank`].
    pub rank: u64,
    /// Whether it can read the table.
    pub reads_table: bool,
}

/// Returns the interval between two reads of the targets' changes. `drain` is
/// the time within which new work must stop reaching a target that is leaving.
pub fn interval(drain: span::Span, often: bool) -> span::Span {
    let usual = if often {
        READER_INTERVAL
    } else {
        DEFAULT_INTERVAL
    };
    usual.min(span::Span::from_micros(
        drain.as_micros() * DRAIN_PERCENT / 100,
    ))
}

/// Returns whether a router may skip a read, because its relays read the table
/// and it knows the latest change that they reported. `since` is the time since
/// its latest read.
pub fn may_skip(known: Position, reported: Option<Position>, since: span::Span) -> bool {
    reported.is_some_and(|reported| reported <= known) && since < RELAYED_INTERVAL
}

/// Returns whether a router is among those that read often, given the other
/// routers that are up.
pub fn is_reader(own: u64, others: impl Iterator<Item = Router>) -> bool {
    let before = others.filter(|other| other.reads_table && other.rank < own);
    before.count() < READERS
}
