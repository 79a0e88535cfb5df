//! Decides which routers read the table often.
//!
//! Load pattern: every call to the table is priced and limited for the whole
//! fleet, and a few routers that read often can tell all others within one
//! round of news. The others read just often enough to meet the bounds by
//! themselves.

use base::span;
use platform::rows::Position;

/// Pause between two reads of the targets' changes by a router that reads
/// often. Targets write several times a second, so that a feed that waits for
/// the first change returns at once.
const READER_INTERVAL: span::Span = span::Span::from_millis(600);

/// The same for other routers.
const DEFAULT_INTERVAL: span::Span = span::Span::from_millis(1_400);

/// Longest time without a read of a router whose relays read the table and tell it
/// what changes. A change that got lost on the way is found by then.
const RELAYED_INTERVAL: span::Span = span::Span::from_secs(10);

/// Longest pause as a part, in hundredths, of the time in which new work must
/// stop reaching a target that leaves; a read takes some of that time too.
const DRAIN_PERCENT: u64 = 70;

/// Routers that read the table often. More than one, because a reader may
/// stop, and the others notice after two seconds only.
const READERS: usize = 3;

/// A router as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Router {
    /// Its rank, see [`crate::relays::rank`].
    pub rank: u64,
    /// Whether the table answers it.
    pub reads_table: bool,
}

/// Returns the pause between two reads of the targets' changes, given the time
/// in which new work must stop reaching a target that leaves.
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

/// Returns whether a router that looks for changes at every pause may leave out a
/// read: its relays read the table, and it knows the latest change that they tell.
pub fn may_skip(known: Position, told: Option<Position>, since: span::Span) -> bool {
    told.is_some_and(|told| told <= known) && since < RELAYED_INTERVAL
}

/// Returns whether a router is among those that read often, given the other
/// routers that it hears.
pub fn is_reader(own: u64, others: impl Iterator<Item = Router>) -> bool {
    let before = others.filter(|other| other.reads_table && other.rank < own);
    before.count() < READERS
}
