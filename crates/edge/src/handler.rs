//! Handles one request: reads it, sends it to targets until one responds, and
//! returns the response to the caller.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
};

use admit::{cold_prompts::Engines, returns::Backlog, shed};
use base::{hash, id, span, time};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use place::latency::LatencyModel;
use rand::RngExt;

use crate::{
    attempt::{AttemptError, TargetResponse},
    body::Body,
    cold::ColdLimit,
    decide::{Capabilities, Query, Selection, ServiceState},
    error_response::{self, Reason},
    evacuation::NOT_PERMITTED_RETRY,
    fleet::Fleet,
    hedge::{self, Answer},
    metrics::Counter,
    request::{CallerRequest, Refusal},
    server::ActiveRequest,
    shared::Shared,
    stream::EventStream,
};

/// Maximum number of targets that one request is sent to, including targets
/// that did not process it.
const MAX_TARGETS: usize = 4;

/// The targets that a request was sent to.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Every target that the request was sent to.
    pub targets: Vec<id::TargetId>,
    /// Number of attempts that may have processed the request.
    pub runs: u32,
}

/// What happens to a request next.
enum Next {
    /// Send it to a target.
    Send(Selection),
    /// Refuse it without sending it; the caller should retry after this time.
    Refuse(Reason, span::Span),
    /// Make no further attempt: none is allowed, or no target is available.
    Stop,
}

/// Handles a request and returns the response for its caller.
pub async fn handle(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    active: ActiveRequest,
) -> Response<Body> {
    let started = shared.clock.now();
    shared.metrics.count(Counter::Requests);
    match CallerRequest::read(shared, started, request).await {
        Ok(request) => request.run(active).await,
        Err(Refusal { attempt, reason }) => {
            shared.metrics.count(Counter::Refused);
            let id = attempt.as_ref().map(tracing::field::display);
            tracing::info!(event = "refused", id, %reason);
            error_response::response(reason)
        }
    }
}

impl CallerRequest {
    async fn run(self, active: ActiveRequest) -> Response<Body> {
        let request = Arc::new(self);
        let mut attempts = Attempts::default();
        let mut failed = None;
        loop {
            let selection = match request.next(&mut attempts) {
                Next::Send(selection) => selection,
                Next::Refuse(reason, after) => {
                    return request.refuse(&attempts, reason, Some(after));
                }
                Next::Stop => return request.give_up(&attempts, failed),
            };
            match hedge::respond(&request, &mut attempts, &selection).await {
                Ok(Answer::Stream(response)) => {
                    attempts.runs += 1;
                    return EventStream::response(request, *response, attempts, active);
                }
                Ok(Answer::Whole(response)) => {
                    request.record_completion();
                    request.finish("answered", Some(response.status()), &attempts);
                    return response;
                }
                Err(error) => {
                    request.record_failure(&mut attempts, &error);
                    if let AttemptError::Failed(response) = error {
                        failed = Some(*response);
                    }
                }
            }
        }
    }

    /// Records that a response was completed, if callers of the service return by the
    /// backlog.
    fn record_completion(&self) {
        if self.assigns_returns() {
            let now = self.shared.clock.now();
            self.shared.returns().record_completion(now, &self.service);
        }
    }

    /// Returns whether refused callers are told to return by the backlog: where callers
    /// compete for capacity, and not for engines, for which a replay showed no gain.
    pub fn assigns_returns(&self) -> bool {
        self.shared.settings.scarce && !self.uses_engines()
    }

    fn uses_engines(&self) -> bool {
        self.service_config.is_some_and(|service| service.engines)
    }

    /// Counts an attempt that failed.
    pub fn record_failure(&self, attempts: &mut Attempts, error: &AttemptError) {
        let counter = match error {
            AttemptError::NotRun => return self.shared.metrics.count(Counter::NotRun),
            AttemptError::OutcomeUnknown | AttemptError::Failed(_) => Counter::OutcomeUnknown,
            AttemptError::Timeout => Counter::Timeouts,
        };
        self.shared.metrics.count(counter);
        attempts.runs += 1;
    }

    /// Decides what happens next: another attempt needs a target, time before the
    /// deadline, a rule that permits it and, if it is a retry, the retry budget.
    fn next(&self, attempts: &mut Attempts) -> Next {
        let now = self.shared.clock.now();
        let may_run = attempts.runs == 0
            || (self.rule.class.is_repeatable() && attempts.runs < self.rule.max_attempts);
        if !may_run || now >= self.deadline || attempts.targets.len() >= MAX_TARGETS {
            return Next::Stop;
        }
        if let Some(after) = self.refused_part(now) {
            return match attempts.runs {
                0 => Next::Refuse(Reason::CrashesTargets, after),
                _ => Next::Stop,
            };
        }
        let latency = self.shared.latency_model(&self.service);
        let fleet = self.shared.fleet.load();
        let Some(fleet) = fleet.as_ref() else {
            return Next::Stop;
        };
        let evacuated = self.shared.evacuated.load();
        let cold = self.shared.cold_limit(&self.service);
        let state = self.service_state(now, fleet, &latency, &evacuated, cold.as_ref());
        if attempts.targets.is_empty() {
            self.count_exclusions(&state);
        }
        let Some(selection) = state.select(now, self.query(attempts)) else {
            if attempts.runs == 0 && state.excludes_all() {
                self.shared.metrics.count(Counter::NotPermitted);
                return Next::Refuse(Reason::NoPermittedTarget, self.spread(NOT_PERMITTED_RETRY));
            }
            return match state.pause(now) {
                Some(after) if attempts.runs == 0 => Next::Refuse(Reason::Busy, self.spread(after)),
                _ => Next::Stop,
            };
        };
        if attempts.targets.is_empty()
            && let Some(after) = self.shed(now, &state, &selection)
        {
            return Next::Refuse(Reason::Overloaded, after);
        }
        if attempts.targets.is_empty()
            && let Err(after) = self.limit_cold_prompts(now, &state, &selection)
        {
            return Next::Refuse(Reason::Overloaded, after);
        }
        if attempts.targets.is_empty() {
            self.shared.retries().record_request(now, &self.service);
            if let Some(team) = &self.team {
                self.shared.shares().record(now, &self.service, &team.id);
            }
        } else {
            let routers = self.shared.routers.load(Ordering::Relaxed);
            if !self.shared.retries().try_retry(now, &self.service, routers) {
                self.shared.metrics.count(Counter::RetriesDenied);
                tracing::info!(event = "repeat_denied", id = %self.head.attempt, service = %self.service);
                return Next::Stop;
            }
        }
        self.record_send(now, attempts, &selection);
        Next::Send(selection)
    }

    /// Returns the properties of the request that affect the choice of the next
    /// target.
    pub fn query<'a>(&'a self, attempts: &'a Attempts) -> Query<'a> {
        Query {
            chain: &self.chain,
            tried: &attempts.targets,
            seed: hash::bytes(self.head.attempt.as_str().as_bytes()),
        }
    }

    /// Logs and counts that the request is sent to a target.
    pub fn record_send(&self, now: time::Mono, attempts: &mut Attempts, selection: &Selection) {
        let target = &selection.target;
        tracing::info!(
            event = "sent",
            id = %self.head.attempt,
            rule = %self.rule.id,
            team = self.team.as_ref().map(|team| tracing::field::display(&team.id)),
            service = %self.service,
            target = %target.row.id,
            reason = %selection.choice.reason,
            cost_us = selection.choice.micros,
            load = selection.load,
            level = selection.choice.spill_load,
            told_age = %self.shared.peer_loads.age(now),
            told_by = self.shared.peer_loads.routers(),
            version = %self.version,
            input = self.head.input_tokens,
            output = self.head.output_tokens,
            missing = selection.missing,
            contention = selection.contention.map(|(excess, _)| excess),
            contention_age = selection.contention.map(|(_, age)| tracing::field::display(age)),
            source = selection.source.map(tracing::field::display),
            cold = selection.cold,
            withheld = selection.withheld,
            attempt = attempts.targets.len() + 1,
            left = %self.deadline.since(now),
        );
        self.shared.metrics.count(Counter::Sends);
        if selection.cold {
            self.shared.metrics.count(Counter::ColdSends);
        }
        if selection.withheld > 0 {
            self.shared.metrics.count(Counter::ColdDiverted);
        }
        attempts.targets.push(target.row.id.clone());
    }

    /// Returns the time after which the caller should retry, if a part of the
    /// prompt crashes targets.
    pub fn refused_part(&self, now: time::Mono) -> Option<span::Span> {
        let routers = self.shared.routers.load(Ordering::Relaxed);
        let mut crash_parts = self.shared.crash_parts();
        let prompt = self.chain.shared();
        let (parts, after) = crash_parts.refuses(now, prompt, routers, rand::rng().random())?;
        drop(crash_parts);
        tracing::info!(event = "part_refused", id = %self.head.attempt, part = %parts, %after);
        Some(self.spread(after))
    }

    /// Returns this router's current view of the request's service.
    pub fn service_state<'a>(
        &'a self,
        now: time::Mono,
        fleet: &'a Fleet,
        latency: &'a LatencyModel,
        evacuated: &'a BTreeSet<id::DataCentre>,
        cold: Option<&'a ColdLimit>,
    ) -> ServiceState<'a> {
        ServiceState {
            targets: fleet.service(&self.service),
            capabilities: self.service_config.map(|service| Capabilities {
                engines: service.engines,
                fetches: service.fetches_cache,
            }),
            latency,
            contention: self.shared.contention_model(&self.service),
            centre: &self.shared.settings.centre,
            rate: self.shared.shares().rate(now, &self.service),
            routers: self.shared.routers.load(Ordering::Relaxed),
            staleness: self.shared.peer_loads.delay(),
            load_factor: self.shared.bounds.load().factor,
            placement: self.placement(evacuated),
            cold,
        }
    }

    /// Extends a time by up to a third of what the caller has left, so that callers
    /// do not all return at the same moment.
    fn spread(&self, after: span::Span) -> span::Span {
        self.spread_by(self.shared.clock.now(), after, rand::rng().random())
    }

    /// Extends a time by the part `random` of the largest extension, a third of what the
    /// caller has left.
    pub fn spread_by(&self, now: time::Mono, after: span::Span, random: f64) -> span::Span {
        let left = self.deadline.since(now).as_micros() / 3;
        span::Span::from_micros(after.as_micros() + (left as f64 * random) as u64)
    }

    /// Returns the properties of the request that decide whether it is shed.
    pub fn shed_info(&self, now: time::Mono) -> shed::RequestInfo {
        let team = self.team.as_ref().map(|team| &team.id);
        let share = team.map_or(1.0, |team| {
            self.shared
                .shares()
                .relative_share(now, &self.service, team)
        });
        shed::RequestInfo {
            rank: self.priority(),
            share,
            latency_goal: self.rule.latency_goal,
            remaining: self.deadline.since(now),
        }
    }

    /// Returns the time after which the caller should retry if the request is shed,
    /// and `None` if it is accepted.
    fn shed(
        &self,
        now: time::Mono,
        state: &ServiceState,
        selection: &Selection,
    ) -> Option<span::Span> {
        let team = self.team.as_ref().map(|team| &team.id);
        let request = self.shed_info(now);
        let shed = state.shed(selection, request, rand::rng().random())?;
        let assigned = self.assign_return(now, state, selection, request);
        let after = assigned.unwrap_or(shed.after);
        self.shared.metrics.count(Counter::Shed);
        tracing::info!(
            event = "shed",
            id = %self.head.attempt,
            service = %self.service,
            target = %selection.target.row.id,
            target_load = selection.load,
            load = selection.choice.utilization.load,
            slots = selection.choice.utilization.slots,
            work = shed.work.map(tracing::field::display),
            rank = request.rank,
            team = team.map(tracing::field::display),
            share = request.share,
            told_age = %self.shared.peer_loads.age(now),
            told_by = self.shared.peer_loads.routers(),
            version = %self.version,
            assigned = assigned.is_some(),
            %after,
        );
        Some(after)
    }

    /// Checks the limit on prompt tokens after a loss of all routers.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry if the request exceeds it.
    fn limit_cold_prompts(
        &self,
        now: time::Mono,
        state: &ServiceState,
        selection: &Selection,
    ) -> Result<(), span::Span> {
        if !self.shared.settings.scarce || !self.uses_engines() {
            return Ok(());
        }
        let engines = Engines {
            count: state.targets.len(),
            prefill: state.latency.prefill(),
            routers: state.routers,
        };
        let (missing, left) = (selection.missing, self.deadline.since(now));
        let mut prompts = self.shared.cold_prompts();
        let random = rand::rng().random();
        let sent = prompts.send(now, &self.service, missing, engines, left, random);
        drop(prompts);
        sent.inspect_err(|after| {
            self.shared.metrics.count(Counter::DeferredPrompts);
            tracing::info!(
                event = "prompt_deferred",
                id = %self.head.attempt,
                service = %self.service,
                missing,
                engines = engines.count,
                routers = engines.routers,
                version = %self.version,
                %after,
            );
        })
    }

    /// Returns when the caller of a shed request should return by the backlog of the
    /// service, if it is a plain service whose rate of completions is known.
    fn assign_return(
        &self,
        now: time::Mono,
        state: &ServiceState,
        selection: &Selection,
        request: shed::RequestInfo,
    ) -> Option<span::Span> {
        if !self.assigns_returns() {
            return None;
        }
        let backlog = backlog(state, selection);
        let mut returns = self.shared.returns();
        let random = rand::rng().random();
        let after = returns.assign(now, &self.service, backlog, request.remaining, random)?;
        drop(returns);
        self.shared.metrics.count(Counter::AssignedReturns);
        Some(after)
    }

    /// Resumes a stream at another target, after the event `last_event`.
    pub async fn resume(
        &self,
        attempts: &mut Attempts,
        last_event: Option<u64>,
    ) -> Option<TargetResponse> {
        loop {
            let Next::Send(selection) = self.next(attempts) else {
                return None;
            };
            match self.attempt(&selection, last_event).await {
                Ok(response) if response.is_stream() => {
                    attempts.runs += 1;
                    self.shared.metrics.count(Counter::Resumed);
                    return Some(response);
                }
                Ok(_) => attempts.runs += 1,
                Err(error) => self.record_failure(attempts, &error),
            }
        }
    }

    /// Responds to a request for which no further attempt is made: with a target's
    /// error response if there is one, and with the router's own otherwise.
    fn give_up(&self, attempts: &Attempts, failed: Option<Response<Body>>) -> Response<Body> {
        if let Some(response) = failed {
            self.finish("failed", Some(response.status()), attempts);
            return response;
        }
        let expired = self.shared.clock.now() >= self.deadline;
        let reason = match (attempts.runs, expired) {
            (0, true) => Reason::Expired,
            (0, false) if self.shared.fleet.load().is_none() => Reason::NotReady,
            (0, false) => Reason::Busy,
            (_, true) => Reason::Timeout,
            (_, false) => Reason::OutcomeUnknown,
        };
        self.refuse(attempts, reason, None)
    }

    /// Logs a refusal and returns the router's own error response.
    fn refuse(
        &self,
        attempts: &Attempts,
        reason: Reason,
        after: Option<span::Span>,
    ) -> Response<Body> {
        self.shared.metrics.count(Counter::Refused);
        tracing::info!(
            event = "refused",
            id = %self.head.attempt,
            rule = %self.rule.id,
            service = %self.service,
            %reason,
            sends = attempts.targets.len(),
            runs = attempts.runs,
            took = %self.elapsed(),
        );
        match after {
            Some(after) => error_response::response_after(reason, after),
            None => error_response::response(reason),
        }
    }

    /// Counts and logs the outcome of the request.
    pub fn finish(&self, outcome: &'static str, status: Option<StatusCode>, attempts: &Attempts) {
        let counter = match (outcome, status) {
            ("streamed", _) => Counter::Streamed,
            (_, Some(_)) => Counter::Answered,
            (_, None) => Counter::Aborted,
        };
        self.shared.metrics.count(counter);
        self.shared.metrics.total_latency.record(self.elapsed());
        tracing::info!(
            event = "done",
            id = %self.head.attempt,
            outcome,
            status = status.map(|status| status.as_u16()),
            sends = attempts.targets.len(),
            took = %self.elapsed(),
        );
    }
}

/// Returns the requests of a service that wait at its targets.
pub fn backlog(state: &ServiceState, selection: &Selection) -> Backlog {
    let utilization = selection.choice.utilization;
    Backlog {
        requests: utilization.load.saturating_sub(utilization.slots) as f64,
        routers: state.routers,
    }
}
