//! Load shedding: the router refuses a fraction of the requests for a service
//! while the service receives more than its targets can process in time.
//!
//! Load pattern of engines (targets that generate streams): for some seconds they
//! receive several times their usual traffic, or only some of them receive all the
//! usual traffic. If an engine gets more requests than it has slots, some wait
//! longer than callers want. The more requests an engine processes at once, the
//! slower it generates each response; long responses then reach their time limits,
//! and everything that was generated for them is lost.
//! Therefore a fraction of the requests is refused immediately, so that the others
//! are served in time. The fraction grows with the load and is lower for urgent
//! requests, but requests of one rank are refused completely only when those of
//! the more urgent ranks are already partly refused. If a team sends more than an
//! equal share of the requests (1 / number of active teams), a larger fraction of
//! its requests is refused, so that a surge mostly affects the team that causes it.
//!
//! Load pattern of plain services (those without engines): for some seconds they
//! receive slightly more requests than their targets can process. The targets'
//! queues fill, and then each response is delayed by the time that a target needs
//! to process a full queue, although the targets could serve nearly all requests
//! in time. Requests whose response would be late are refused, so that the queues
//! stay short.
//! See [the design page](../../../docs/design.md), section 6.3.

use base::span;

/// Utilization, in percent of the slots, above which some of the least urgent
/// requests are refused. It is above 50 because an engine with half of its slots
/// in use generates a stream almost as fast as an idle one.
const SHED_START_PERCENT: f64 = 62.0;

/// Range of utilization, in percent of the slots, over which the refused fraction
/// grows from 0 to 1. For a team with an equal share the range ends at or below
/// 100 (62 + 4 * 2 + 30 for the most urgent rank), so that an engine's own queue
/// stays short.
const SHED_RANGE_PERCENT: f64 = 30.0;

/// Amount, in percent of the slots, by which the start of the range rises with
/// each step of urgency.
const URGENCY_STEP_PERCENT: f64 = 2.0;

/// Amount, in percent of the slots, by which the range starts higher for a team
/// without recent requests, and lower for a team with twice an equal share or
/// more. It is a quarter of the range, so that large teams still have some
/// requests accepted.
const SHARE_OFFSET_PERCENT: f64 = 7.5;

/// Amount, as a fraction of the latency goal, by which the start of refusals for a
/// plain service is higher for a team without recent requests, and lower for a
/// team with twice an equal share or more.
const SHARE_OFFSET_FRACTION: f64 = 0.1;

/// Fraction of the latency goal: if the expected response time of a plain service
/// exceeds it, some requests are refused. It is below 1 because processing times
/// vary, so that a response may take longer than expected.
const SHED_START_FRACTION: f64 = 0.6;

/// Multiple of the processing time that a request for a plain service may always
/// take, even if the latency goal is shorter: in that case, refusing requests would
/// not make any response arrive in time.
const MIN_ROUNDS: f64 = 2.0;

/// Fraction of the latency goal after which a caller retries during a small
/// overload, so that it still gets its response in time.
const SHORT_RETRY_FRACTION: f64 = 0.4;

/// Fraction of a caller's remaining time after which it retries during a severe
/// overload. Callers obey a retry time only up to a third of their remaining time.
const LONG_RETRY_FRACTION: f64 = 0.33;

/// An overload is severe if at least this fraction of the requests is refused.
const SEVERE_FRACTION: f64 = 0.5;

/// Largest fraction by which a retry time is shortened at random, so that callers
/// do not all retry at the same time.
const JITTER_FRACTION: f64 = 0.4;

/// Rank of the least urgent requests; larger numbers are treated as this one.
const LEAST_URGENT_RANK: u8 = 4;

/// The properties of a request that decide whether it is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestInfo {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Its team's share of the recent requests, relative to an equal share.
    pub share: f64,
    /// Response time that the caller wants.
    pub latency_goal: span::Span,
    /// Time left until the request's deadline.
    pub remaining: span::Span,
}

/// Returns the fraction of requests with these properties that is to be refused
/// for a service with engines, from 0 to 1. `utilization` is the load of the
/// service's engines in percent of their slots.
pub fn engine_fraction(utilization: f64, request: RequestInfo) -> f64 {
    let rank = f64::from(request.rank.min(LEAST_URGENT_RANK));
    let urgency = URGENCY_STEP_PERCENT * (f64::from(LEAST_URGENT_RANK) - rank);
    let start = SHED_START_PERCENT + urgency + SHARE_OFFSET_PERCENT * share_offset(request);
    ((utilization - start) / SHED_RANGE_PERCENT).clamp(0.0, 1.0)
}

/// Returns the fraction of requests with these properties that is to be refused
/// for a plain service, from 0 to 1. `work` is the time that a target takes to
/// process a request, without queueing; `rounds` is the result of [`rounds`] for
/// the chosen target.
pub fn plain_fraction(work: span::Span, rounds: f64, request: RequestInfo) -> f64 {
    let work = work.as_secs_f64();
    let wanted = request.latency_goal.as_secs_f64().max(work * MIN_ROUNDS);
    let expected_fraction = work * rounds / wanted;
    let start = SHED_START_FRACTION + SHARE_OFFSET_FRACTION * share_offset(request);
    match rounds > 1.0 {
        true => ((expected_fraction - start) / (1.0 - SHED_START_FRACTION)).clamp(0.0, 1.0),
        false => 0.0,
    }
}

/// Returns the expected response time of a new request as a multiple of the
/// processing time, at least 1. `load` is the number of requests at the target,
/// queued ones included.
pub fn rounds(load: u32, slots: u32) -> f64 {
    (f64::from(load) + 1.0).max(f64::from(slots)) / f64::from(slots.max(1))
}

/// Returns 1 for a team without recent requests, 0 for one with an equal share and
/// -1 for one with twice an equal share or more.
fn share_offset(request: RequestInfo) -> f64 {
    (1.0 - request.share).clamp(-1.0, 1.0)
}

/// Returns the time after which a refused caller should retry. `random`, from 0
/// to 1, varies the time between callers.
///
/// A small overload usually ends soon enough for a retry to succeed within the
/// latency goal. A severe one lasts longer: a caller that retried early would be
/// refused again, or would take a slot that another request could have used.
pub fn retry_after(fraction: f64, request: RequestInfo, random: f64) -> span::Span {
    let short_retry = request.latency_goal.as_secs_f64() * SHORT_RETRY_FRACTION;
    let long_retry = request.remaining.as_secs_f64() * LONG_RETRY_FRACTION;
    let severity = (fraction / SEVERE_FRACTION).min(1.0);
    let longest = short_retry + (long_retry - short_retry).max(0.0) * severity;
    let jitter = 1.0 - JITTER_FRACTION * random;
    span::Span::from_micros((longest * jitter * 1e6) as u64)
}
