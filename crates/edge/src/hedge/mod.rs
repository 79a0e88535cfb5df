//! Sends a request to a second target if the first takes unusually long, and
//! returns the first response.
//!
//! The steps: [`respond`] waits for the first target until the delay that
//! [`place::hedge`] has learned; `next_hedge` selects another target and decides; both
//! attempts then run until one has a usable response, and the other one is cancelled
//! by closing its connection. Hedging is off unless the process was started with a
//! fraction. See [the design note](../../../../docs/design/hedging.md).

use std::{pin::pin, sync::atomic::Ordering};

use base::{span, time};
use futures_util::future::{self, Either};
use http::Response;
use place::hedge::{self, Alternative, Waiting};
use tokio::time as timer;

use crate::{
    attempt::{AttemptError, TargetResponse},
    body::Body,
    decide::Selection,
    handler::Attempts,
    metrics::Counter,
    request::CallerRequest,
};

/// A response that the caller can receive.
pub enum Answer {
    /// A stream, of which the head and perhaps the first bytes have been received.
    Stream(Box<TargetResponse>),
    /// A whole response.
    Whole(Response<Body>),
}

/// Sends a request to the selected target, and to a second one if the first takes
/// unusually long. Counts the attempts whose outcome does not matter any more.
///
/// # Errors
///
/// When neither attempt gives a response that the caller can receive: the error of
/// the later one, or the error response of a target.
pub async fn respond(
    request: &CallerRequest,
    attempts: &mut Attempts,
    selection: &Selection,
) -> Result<Answer, AttemptError> {
    let Some(delay) = request.hedge_delay(attempts, selection) else {
        return request.answer(selection).await;
    };
    let sent = request.shared.clock.now();
    let mut first = pin!(request.answer(selection));
    if let Ok(result) = timer::timeout(delay.duration(), &mut first).await {
        return result;
    }
    let Some(other) = request.next_hedge(attempts, selection, sent) else {
        return first.await;
    };
    let second = pin!(request.answer(&other));
    let (result, winner) = match future::select(first, second).await {
        Either::Left((Err(error), second)) => {
            request.record_failure(attempts, &error);
            return second.await.map_err(|later| prefer_response(error, later));
        }
        Either::Right((Err(error), first)) => {
            request.record_failure(attempts, &error);
            return first.await.map_err(|later| prefer_response(error, later));
        }
        Either::Left((result, _)) => (result, selection),
        Either::Right((result, _)) => (result, &other),
    };
    // The attempt that is cancelled may have run.
    attempts.runs += 1;
    request.record_hedge(selection, winner, sent);
    result
}

/// Returns the error of two failed attempts that the caller learns: that of a target
/// which responded, if there is one.
fn prefer_response(earlier: AttemptError, later: AttemptError) -> AttemptError {
    match (&earlier, &later) {
        (AttemptError::Failed(_), AttemptError::OutcomeUnknown | AttemptError::Timeout) => earlier,
        _ => later,
    }
}

impl CallerRequest {
    /// Sends the request to a target and waits for its whole response, or for the
    /// first bytes of a stream that may be hedged.
    async fn answer(&self, selection: &Selection) -> Result<Answer, AttemptError> {
        let mut response = self.attempt(selection, None).await?;
        if !response.is_stream() {
            return self.read_response(response).await.map(Answer::Whole);
        }
        if self.may_hedge() {
            let remaining = self.deadline.since(self.shared.clock.now());
            let first = response.receive_first();
            match timer::timeout(remaining.duration(), first).await {
                Ok(true) => {}
                Ok(false) => return Err(self.broken_stream(&response)),
                Err(_) => return Err(AttemptError::Timeout),
            }
        }
        Ok(Answer::Stream(Box::new(response)))
    }

    /// Records that a stream ended before its first bytes, so that another attempt is
    /// waited for or made.
    fn broken_stream(&self, response: &TargetResponse) -> AttemptError {
        let target = response.flight.target();
        target.update_breaker(|breaker| breaker.record_error());
        self.check_crash(target, response.sent, &response.levels, None);
        tracing::info!(event = "stream_broken", id = %self.head.attempt, target = %target.row.id);
        AttemptError::OutcomeUnknown
    }

    /// Returns whether the request may be sent to a second target while the first
    /// still works on it.
    fn may_hedge(&self) -> bool {
        !self.shared.hedging().is_zero() && self.rule.class.is_repeatable()
    }

    /// Returns the time after which a second target is considered, or `None` if there
    /// is no second attempt in any case.
    fn hedge_delay(&self, attempts: &Attempts, selection: &Selection) -> Option<span::Span> {
        let is_first = attempts.targets.len() == 1 && self.rule.max_attempts > 1;
        // The time of a transfer between engines is not known.
        if !is_first || !self.may_hedge() || selection.source.is_some() {
            return None;
        }
        let fraction = self.shared.hedging();
        self.shared.update_latencies(&self.service, |latencies| {
            latencies.hedge_delay(selection.task, fraction)
        })
    }

    /// Selects the second target of a request that has waited for its first one since
    /// `sent`, if a second attempt helps and the budget allows it.
    fn next_hedge(
        &self,
        attempts: &mut Attempts,
        first: &Selection,
        sent: time::Mono,
    ) -> Option<Selection> {
        let now = self.shared.clock.now();
        if self.refused_part(now).is_some() {
            return None;
        }
        let latency = self.shared.latency_model(&self.service);
        let fleet = self.shared.fleet.load();
        let evacuated = self.shared.evacuated.load();
        let cold = self.shared.cold_limit(&self.service);
        let state = self.service_state(now, fleet.as_ref()?, &latency, &evacuated, cold.as_ref());
        let selection = state.select(now, self.query(attempts))?;
        let request = Waiting {
            waited: now.since(sent),
            remaining: self.deadline.since(now),
        };
        let alternative = Alternative {
            expected: latency.predict_current(selection.task),
            impaired: selection.cold
                || selection.source.is_some()
                || selection.choice.is_impaired(),
            utilization: selection.choice.utilization.percent(),
            late: self
                .shared
                .update_latencies(&self.service, |latencies| latencies.late()),
        };
        let fraction = self.shared.hedging();
        let verdict = hedge::decide(request, alternative, fraction);
        let routers = self.shared.routers.load(Ordering::Relaxed);
        let outcome = match verdict {
            Err(skip) => skip.to_string(),
            Ok(()) if self.take_hedge(now, routers) => "sent".to_owned(),
            Ok(()) => "no-budget".to_owned(),
        };
        let is_sent = outcome == "sent";
        tracing::info!(
            event = "hedge",
            id = %self.head.attempt,
            service = %self.service,
            first = %first.target.row.id,
            second = %selection.target.row.id,
            outcome,
            waited = %request.waited,
            left = %request.remaining,
            expected = %alternative.expected,
            utilization = alternative.utilization,
            late = alternative.late,
        );
        if !is_sent {
            self.shared.metrics.count(Counter::HedgesSkipped);
            return None;
        }
        self.shared.metrics.count(Counter::Hedges);
        self.record_send(now, attempts, &selection);
        Some(selection)
    }

    fn take_hedge(&self, now: time::Mono, routers: u32) -> bool {
        let fraction = self.shared.hedging().get();
        let mut retries = self.shared.retries();
        retries.try_hedge(now, &self.service, routers, fraction)
    }

    /// Records which of two attempts responded first. If it was the second one, the
    /// first target is known to take longer than that.
    fn record_hedge(&self, first: &Selection, winner: &Selection, sent: time::Mono) {
        let now = self.shared.clock.now();
        let waited = now.since(sent);
        let is_second = winner.target.hash != first.target.hash;
        if is_second {
            self.shared.metrics.count(Counter::HedgesWon);
            let fraction = self.shared.hedging();
            let expected = self.shared.update_latencies(&self.service, |latencies| {
                let expected = latencies.responses.predict_current(first.task);
                latencies.record_ratio(first.task, waited, fraction);
                expected
            });
            first.target.record_duration(now, waited, expected);
        }
        tracing::info!(
            event = "hedge_won",
            id = %self.head.attempt,
            target = %winner.target.row.id,
            second = is_second,
            %waited,
        );
    }
}
