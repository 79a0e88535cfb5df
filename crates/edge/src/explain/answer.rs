//! Runs the decision for a request that is not sent.
//!
//! Follows the order of [`crate::handler`]. Whatever the decision would update (the
//! retry budget, the callers that were told to return, the trials of refused parts)
//! is read only, or copied and the copy is updated.

use std::sync::{Arc, atomic::Ordering};

use admit::shed;
use base::{hash, id, span, time};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use inlet::memory::Reservation;
use place::hedge::{self, Alternative, Waiting};
use platform::{
    config::{Rule, Team},
    request::RequestHead,
};

use super::{
    query::{Caller, Question},
    report::{Admission, Choice, Hedge, Report},
    targets,
};
use crate::{
    decide::{Query, Selection, ServiceState},
    error_response::Reason,
    evacuation::NOT_PERMITTED_RETRY,
    fleet::PrefixChain,
    handler,
    request::{self, CallerRequest},
    routes::{self, Routes},
    shared::Shared,
};

/// The random numbers of a decision, derived from the seed of the question.
#[derive(Clone, Copy, Debug)]
struct Randoms(u64);

impl Randoms {
    /// Returns a number from 0 to 1 for a purpose.
    fn get(self, purpose: u64) -> f64 {
        // The upper 53 bits are the precision of an `f64`.
        (hash::mix(self.0, purpose) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

const SHED: u64 = 1;
const RETRY_AFTER: u64 = 2;
const TRIAL: u64 = 3;
const SPREAD: u64 = 4;
const RETURN: u64 = 5;

/// Answers a question from the router's present state.
pub fn answer(shared: &Arc<Shared>, now: time::Mono, question: &Question) -> Report {
    let mut report = Report {
        router: shared.settings.process.to_string(),
        centre: shared.settings.centre.to_string(),
        version: shared.version().0,
        seed: question.seed,
        ..Report::default()
    };
    let Some(routes) = shared.routes.load_full() else {
        report.admission = refused(Reason::NotReady, None);
        return report;
    };
    let (rule, team) = match find(&routes, question) {
        Ok(found) => found,
        Err(reason) => {
            report.admission = refused(reason, None);
            return report;
        }
    };
    report.rule = Some(rule.id.to_string());
    report.team = team.map(|team| team.id.to_string());
    let Some(service) = routes::select_by_hash(&rule.services, question.seed) else {
        report.admission = refused(Reason::NoRule, None);
        return report;
    };
    report.service = Some(service.to_string());
    let remaining = question
        .left_ms
        .map(|left| span::Span::from_millis(left.into()));
    let deadline = request::due(rule, remaining, now);
    report.left_ms = Some(deadline.since(now).as_micros() / 1_000);
    let Some(attempt) = ATTEMPT.parse().ok() else {
        return report;
    };
    let request = CallerRequest {
        shared: shared.clone(),
        chain: PrefixChain::new(&question.prompt),
        head: RequestHead {
            attempt,
            host: question.host.clone(),
            remaining,
            key: None,
            input_tokens: question.prompt.iter().map(|part| part.tokens).sum(),
            prompt: question.prompt.clone(),
            output_tokens: 0,
            last_event: None,
        },
        rule: rule.clone(),
        started: now,
        deadline,
        team: team.cloned(),
        service: service.clone(),
        version: routes.config.version,
        fingerprint: id::Fingerprint(0),
        service_config: routes.config.services.get(service).copied(),
        method: Method::GET,
        uri: Uri::default(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        client: None,
        memory: Reservation::new(&shared.room),
    };
    let decision = Decision {
        request: &request,
        now,
        seed: question.seed,
        randoms: Randoms(question.seed),
    };
    decision.run(&mut report);
    report
}

/// Stands in the place of the request's id.
const ATTEMPT: &str = "explain";

fn find<'a>(
    routes: &'a Routes,
    question: &Question,
) -> Result<(&'a Rule, Option<&'a Team>), Reason> {
    let key = match &question.caller {
        Caller::Anonymous => None,
        Caller::Key(key) => Some(key.as_str()),
        Caller::Team(team) => {
            let mut keys = routes.config.keys.iter().flatten();
            keys.find(|(_, known)| known.id.as_str() == team)
                .map(|(key, _)| key.as_str())
        }
    };
    routes
        .find(&question.host, &question.path, key)
        .map_err(|error| match error {
            routes::RouteError::NoRule => Reason::NoRule,
            routes::RouteError::UnknownKey => Reason::UnknownKey,
        })
}

/// Returns the refusal for a reason, with the mean time after which callers return.
fn refused(reason: Reason, after: Option<span::Span>) -> Admission {
    let after = after.or_else(|| reason.retry_after());
    Admission {
        admitted: false,
        reason: Some(reason.to_string()),
        retry_after_ms: after.map(|after| after.as_micros() / 1_000),
        ..Admission::default()
    }
}

/// A decision in progress.
struct Decision<'a> {
    request: &'a CallerRequest,
    now: time::Mono,
    seed: u64,
    randoms: Randoms,
}

impl Decision<'_> {
    fn run(&self, report: &mut Report) {
        let (request, now) = (self.request, self.now);
        let shared = &request.shared;
        let early = self.early_refusal();
        let fleet = shared.fleet.load();
        let Some(fleet) = fleet.as_ref() else {
            report.admission = early.unwrap_or_else(|| refused(Reason::NotReady, None));
            return;
        };
        let latency = shared.latency_model(&request.service);
        let evacuated = shared.evacuated.load();
        let cold = shared.cold_limit(&request.service);
        let state = request.service_state(now, fleet, &latency, &evacuated, cold.as_ref());
        let query = Query {
            chain: &request.chain,
            tried: &[],
            seed: self.seed,
        };
        report.targets = targets::describe(&state, now, query);
        let selection = state.select(now, query);
        report.choice = selection.as_ref().map(choice);
        report.admission = match (early, &selection) {
            (Some(early), _) => early,
            (None, Some(selection)) => self.shed(&state, selection),
            (None, None) if state.excludes_all() => refused(
                Reason::NoPermittedTarget,
                Some(self.spread(NOT_PERMITTED_RETRY)),
            ),
            (None, None) => {
                let pause = state.pause(now);
                refused(Reason::Busy, pause.map(|after| self.spread(after)))
            }
        };
        if let Some(selection) = selection.filter(|_| report.admission.admitted) {
            report.hedge = Some(self.hedge(&state, &selection));
        }
    }

    /// Returns the refusal of a request for which no target is looked for.
    fn early_refusal(&self) -> Option<Admission> {
        let (request, shared) = (self.request, &self.request.shared);
        if shared.exits_before(request.deadline) {
            return Some(refused(Reason::Stopping, None));
        }
        if self.now >= request.deadline {
            return Some(refused(Reason::Expired, None));
        }
        let routers = shared.routers.load(Ordering::Relaxed);
        let prompt = request.chain.shared();
        let random = self.randoms.get(TRIAL);
        let refusal = shared
            .crash_parts()
            .would_refuse(self.now, prompt, routers, random);
        refusal.map(|(_, after)| refused(Reason::CrashesTargets, Some(self.spread(after))))
    }

    fn spread(&self, after: span::Span) -> span::Span {
        let random = self.randoms.get(SPREAD);
        self.request.spread_by(self.now, after, random)
    }

    /// Decides whether the request is shed.
    fn shed(&self, state: &ServiceState, selection: &Selection) -> Admission {
        let info = self.request.shed_info(self.now);
        let random = [self.randoms.get(SHED), self.randoms.get(RETRY_AFTER)];
        let (probability, _) = state.shed_probability(selection, info);
        let admission = match state.shed(selection, info, random) {
            Some(shed) => {
                let assigned = self.assigned_return(state, selection, info);
                refused(Reason::Overloaded, Some(assigned.unwrap_or(shed.after)))
            }
            None => Admission {
                admitted: true,
                ..Admission::default()
            },
        };
        Admission {
            shed_probability: Some(probability),
            random: Some(random[0]),
            ..admission
        }
    }

    /// Returns when the caller of a shed request would be told to return by the
    /// backlog.
    fn assigned_return(
        &self,
        state: &ServiceState,
        selection: &Selection,
        info: shed::RequestInfo,
    ) -> Option<span::Span> {
        if !self.request.assigns_returns() {
            return None;
        }
        let mut returns = self.request.shared.returns().clone();
        let backlog = handler::backlog(state, selection);
        let random = self.randoms.get(RETURN);
        returns.assign(
            self.now,
            &self.request.service,
            backlog,
            info.remaining,
            random,
        )
    }

    /// Decides whether the request would be sent to a second target if the first one
    /// had not responded after the delay, with everything else as it is now.
    fn hedge(&self, state: &ServiceState, first: &Selection) -> Hedge {
        let shared = &self.request.shared;
        let skipped = |outcome: &str| Hedge {
            outcome: outcome.to_owned(),
            delay_ms: None,
            target: None,
        };
        let rule = &self.request.rule;
        let fraction = shared.hedging();
        if fraction.is_zero() {
            return skipped("off");
        } else if !rule.class.is_repeatable() {
            return skipped("not-repeatable");
        } else if rule.max_attempts <= 1 {
            return skipped("one-attempt");
        } else if first.source.is_some() {
            return skipped("cache-source");
        }
        let latencies = shared.latencies(&self.request.service);
        let Some(delay) = latencies.hedge_delay(first.task, fraction) else {
            return skipped("unknown-delay");
        };
        let delay_ms = Some(delay.as_micros() / 1_000);
        let tried = [first.target.row.id.clone()];
        let query = Query {
            chain: &self.request.chain,
            tried: &tried,
            seed: self.seed,
        };
        let Some(second) = state.select(self.now, query) else {
            return Hedge {
                delay_ms,
                ..skipped("no-target")
            };
        };
        let waiting = Waiting {
            waited: delay,
            remaining: self.request.deadline.since(self.now + delay),
        };
        let alternative = Alternative {
            expected: state.latency.predict_current(second.task),
            impaired: second.cold || second.source.is_some() || second.choice.is_impaired(),
            utilization: second.choice.utilization.percent(),
            late: latencies.late(),
        };
        let outcome = match hedge::decide(waiting, alternative, fraction) {
            Err(skip) => skip.to_string(),
            Ok(()) => {
                let mut budget = shared.retries().clone();
                budget.record_request(self.now, &self.request.service);
                let routers = state.routers;
                let service = &self.request.service;
                match budget.try_hedge(self.now, service, routers, fraction.get()) {
                    true => "sent".to_owned(),
                    false => "no-budget".to_owned(),
                }
            }
        };
        Hedge {
            outcome,
            delay_ms,
            target: Some(second.target.row.id.to_string()),
        }
    }
}

fn choice(selection: &Selection) -> Choice {
    Choice {
        target: selection.target.row.id.to_string(),
        reason: selection.choice.reason.to_string(),
        cost_us: selection.choice.micros,
        source: selection.source.map(|source| source.to_string()),
        spill_load: selection.choice.spill_load,
        utilization_percent: selection.choice.utilization.percent(),
    }
}
