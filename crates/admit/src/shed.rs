//! Load shedding: refuses a fraction of the requests for a service while it
//! receives more than its targets can serve in time.
//!
//! Load pattern of engines: several times the usual traffic for seconds, or the
//! usual traffic on a part of the engines. An engine that gets more requests than
//! it has slots makes them wait longer than callers want, and the more requests
//! it runs at once, the slower each stream is: long streams then reach their time
//! limits, and everything that was generated for them is lost. Therefore a
//! fraction of the requests is refused at once, so that the others are served in
//! time. The fraction grows with the load and is lower for urgent requests, but
//! no kind of request is refused completely before the more urgent ones are
//! refused in part. A team with more than an even share of the requests is
//! refused more, so that a surge mostly affects the team that causes it.
//!
//! Load pattern of plain services: slightly more requests than the targets can
//! process, for seconds. Their queues fill, and then every response is late by
//! the time of a full queue, although the targets could serve nearly all requests
//! in time. Requests whose response would be late are refused, so that the queues
//! stay short.
//! See [the design page](../../../docs/design.md), section 6.3.

use base::span;

/// Utilization in percent of the slots from which the least urgent requests are
/// refused in part. It is above 50 because a stream on an engine with half of
/// its slots in use is hardly slower than on an idle one.
const SHED_START_PERCENT: f64 = 62.0;

/// Range of utilization in percent of the slots over which the refused fraction
/// grows from 0 to 1. For an even share the range ends at or below 100, so that
/// an engine's own queue stays short.
const SHED_RANGE_PERCENT: f64 = 30.0;

/// Utilization in percent of the slots by which the range starts higher for each
/// step of urgency.
const URGENCY_STEP_PERCENT: f64 = 2.0;

/// Utilization in percent of the slots by which the range starts higher for a
/// team without requests, and lower for one with twice an even share: a quarter
/// of the range, so that large teams are not starved.
const FAIRNESS_PERCENT: f64 = 7.5;

/// The same for plain services, as a fraction of the latency goal.
const FAIRNESS_FRACTION: f64 = 0.1;

/// Fraction of the latency goal from which an expected response time of a plain
/// service is treated as possibly late, because processing times vary.
const LATE_FRACTION: f64 = 0.6;

/// Rounds that a request for a plain service may take, whatever time is goal:
/// if even these exceed the latency goal, refusing requests makes none in time.
const MIN_ROUNDS: f64 = 2.0;

/// Fraction of the latency goal after which a caller retries during a small
/// overload, so that it still gets its response in time.
const SHORT_RETRY_FRACTION: f64 = 0.4;

/// Fraction of its remaining time after which a caller retries during a severe
/// overload. Callers follow a retry time of up to a third of it.
const LONG_RETRY_FRACTION: f64 = 0.33;

/// Refused fraction from which an overload is severe.
const SEVERE_FRACTION: f64 = 0.5;

/// Fraction of the retry time over which callers are spread.
const JITTER_FRACTION: f64 = 0.4;

/// Least urgent rank; higher ranks are treated as this one.
const MAX_RANK: u8 = 4;

/// The properties of a request that the decision uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestInfo {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Its team's share of the recent requests, relative to an even share.
    pub share: f64,
    /// Time within which the caller wants the response.
    pub latency_goal: span::Span,
    /// Time left until the request's deadline.
    pub remaining: span::Span,
}

/// Returns the fraction of such requests for engines to refuse now, from 0 to 1.
/// `utilization` is the load of the service's engines in percent of their slots.
pub fn engine_fraction(utilization: f64, request: RequestInfo) -> f64 {
    let rank = f64::from(request.rank.min(MAX_RANK));
    let urgency = URGENCY_STEP_PERCENT * (f64::from(MAX_RANK) - rank);
    let start = SHED_START_PERCENT + urgency + FAIRNESS_PERCENT * share_offset(request);
    ((utilization - start) / SHED_RANGE_PERCENT).clamp(0.0, 1.0)
}

/// Returns the fraction of such requests for a plain service to refuse now, from
/// 0 to 1. `work` is the time that a target takes to process a request, `rounds`
/// the result of [`rounds`] for the chosen target.
pub fn plain_fraction(work: span::Span, rounds: f64, request: RequestInfo) -> f64 {
    let work = work.as_secs_f64();
    let goal = request.latency_goal.as_secs_f64().max(work * MIN_ROUNDS);
    let late = work * rounds / goal;
    let start = LATE_FRACTION + FAIRNESS_FRACTION * share_offset(request);
    match rounds > 1.0 {
        true => ((late - start) / (1.0 - LATE_FRACTION)).clamp(0.0, 1.0),
        false => 0.0,
    }
}

/// Returns how many times the processing time a new request takes at a target
/// with `load` requests, queued ones included; at least 1.
pub fn rounds(load: u32, slots: u32) -> f64 {
    (f64::from(load) + 1.0).max(f64::from(slots)) / f64::from(slots.max(1))
}

/// Returns 1 for a team without recent requests, 0 for one with an even share and
/// -1 for one with twice an even share or more.
fn share_offset(request: RequestInfo) -> f64 {
    (1.0 - request.share).clamp(-1.0, 1.0)
}

/// Returns the time after which a refused caller should retry; `random`, from 0
/// to 1, spreads the callers.
///
/// A small overload ends while the caller can still get its response within the
/// latency goal. A severe one lasts longer: a caller that retried early would only be
/// refused again, or displace another request.
pub fn retry_after(fraction: f64, request: RequestInfo, random: f64) -> span::Span {
    let soon = request.latency_goal.as_secs_f64() * SHORT_RETRY_FRACTION;
    let late = request.remaining.as_secs_f64() * LONG_RETRY_FRACTION;
    let depth = (fraction / SEVERE_FRACTION).min(1.0);
    let mean = soon + (late - soon).max(0.0) * depth;
    let spread = 1.0 - JITTER_FRACTION * random;
    span::Span::from_micros((mean * spread * 1e6) as u64)
}
