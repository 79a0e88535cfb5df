//! Refuses part of the requests for a service while there are more than its
//! targets serve in time.
//!
//! Load pattern of engines: several times the usual traffic for seconds, or the
//! usual traffic on part of the engines. An engine that is given more than its
//! slots makes requests wait beyond the time in which callers want them, and the
//! more requests it runs at once, the slower each stream goes: long ones then run
//! into their time limits, and everything that was generated for them is lost.
//! A part of the requests is refused at once instead, so that the others are
//! served in time. The part grows with the load, in the order of urgency, and
//! no kind of request is refused altogether before the others are. A team that
//! has more than an even share of the work is refused sooner, so that a surging
//! team pays for its surge.
//!
//! Load pattern of plain services: slightly more requests than the targets work
//! on, for seconds. Their queues fill, and then each response is late by the
//! whole queue, though the targets could serve nearly all in time. Requests are
//! refused when their response would be late, so that the queues stay short.
//! See [the design page](../../../docs/design.md), section 6.3.

use base::span;

/// Part of the slots, in hundredths, from which the least urgent requests begin
/// to be refused. Above half, because a stream at half of the slots is hardly
/// slower than alone.
const SHED_START_PERCENT: f64 = 62.0;

/// Part of the slots over which the refused part grows from nothing to all, in
/// hundredths. The whole range lies below the slots, so that an engine's own
/// queue stays short.
const SHED_RANGE_PERCENT: f64 = 30.0;

/// Part of the slots, in hundredths, by which refusing begins later for each
/// step of urgency.
const URGENCY_STEP_PERCENT: f64 = 2.0;

/// Part of the slots, in hundredths, by which refusing begins later for a team
/// without work, and sooner for one with twice an even share: a quarter of the
/// range, so that large teams are not starved.
const FAIRNESS_PERCENT: f64 = 7.5;

/// The same for plain services, as a part of the wanted time.
const FAIRNESS_FRACTION: f64 = 0.1;

/// Part of the wanted time from which responses of plain services begin to be
/// late: the time of work varies.
const LATE_FRACTION: f64 = 0.6;

/// Turns that a request for a plain service may wait for, whatever time is
/// wanted: where work takes longer than that, refusing would help nobody.
const MIN_ROUNDS: f64 = 2.0;

/// Part of the wanted time after which a caller comes back from a small excess,
/// so that it still gets its response in time.
const SHORT_RETRY_FRACTION: f64 = 0.4;

/// Part of its remaining time after which a caller comes back from a large
/// excess. Callers follow up to a third.
const LONG_RETRY_FRACTION: f64 = 0.33;

/// Refused part from which an excess is large.
const SEVERE_FRACTION: f64 = 0.5;

/// Part of the time to come back over which callers are spread.
const JITTER_FRACTION: f64 = 0.4;

/// Least urgent rank that is told apart.
const MAX_RANK: u8 = 4;

/// A request as the decision sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestInfo {
    /// Urgency, 0 first.
    pub rank: u8,
    /// The part of the work that its team has lately, relative to an even share.
    pub share: f64,
    /// Time in which the caller wants its response.
    pub wanted_time: span::Span,
    /// Time that the caller still waits.
    pub remaining: span::Span,
}

/// Returns the part of the requests for engines that is refused now, from 0 to 1;
/// `fill` is the load of the service's engines in hundredths of their slots.
pub fn engine_fraction(utilization: f64, request: RequestInfo) -> f64 {
    let rank = f64::from(request.rank.min(MAX_RANK));
    let urgency = URGENCY_STEP_PERCENT * (f64::from(MAX_RANK) - rank);
    let start = SHED_START_PERCENT + urgency + FAIRNESS_PERCENT * share_offset(request);
    ((utilization - start) / SHED_RANGE_PERCENT).clamp(0.0, 1.0)
}

/// Returns the part of the requests for a plain service that is refused now, from
/// 0 to 1, given the time that a target works on a request, and how often all
/// its slots are used before this one is done.
pub fn plain_fraction(work: span::Span, rounds: f64, request: RequestInfo) -> f64 {
    let work = work.as_secs_f64();
    let wanted = request.wanted_time.as_secs_f64().max(work * MIN_ROUNDS);
    let late = work * rounds / wanted;
    let start = LATE_FRACTION + FAIRNESS_FRACTION * share_offset(request);
    match rounds > 1.0 {
        true => ((late - start) / (1.0 - LATE_FRACTION)).clamp(0.0, 1.0),
        false => 0.0,
    }
}

/// Returns how often all slots of a target are used before a request is done,
/// given the requests that were there before it.
pub fn rounds(load: u32, slots: u32) -> f64 {
    (f64::from(load) + 1.0).max(f64::from(slots)) / f64::from(slots.max(1))
}

/// Returns 1 for a team without work, 0 for one with an even share and -1 for one
/// with twice that or more.
fn share_offset(request: RequestInfo) -> f64 {
    (1.0 - request.share).clamp(-1.0, 1.0)
}

/// Returns when a refused caller should come back; `random` from 0 to 1 spreads
/// the callers.
///
/// A small excess is over within the time in which the caller still wants its
/// response. A large one takes longer: those who come back soon would only be
/// refused again, in the place of others.
pub fn retry_after(fraction: f64, request: RequestInfo, random: f64) -> span::Span {
    let soon = request.wanted_time.as_secs_f64() * SHORT_RETRY_FRACTION;
    let late = request.remaining.as_secs_f64() * LONG_RETRY_FRACTION;
    let depth = (fraction / SEVERE_FRACTION).min(1.0);
    let mean = soon + (late - soon).max(0.0) * depth;
    let spread = 1.0 - JITTER_FRACTION * random;
    span::Span::from_micros((mean * spread * 1e6) as u64)
}
