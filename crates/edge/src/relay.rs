//! Answers one request: finds its rule, chooses targets and delivers the
//! response.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use admit::poison::Fall;
use base::{hash, id, span, time};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use place::{cost, trust::Trust};
use platform::{
    answer::Answer,
    call::{self, Call},
    config::{Rule, Team},
};
use tokio::time as timer;

use crate::{
    body::{self, Body},
    fleet::{Chain, Flight, Target},
    front::Active,
    metrics::Counter,
    refuse::{self, Reason},
    routes::{self, Denied},
    shared::Shared,
    stream::Stream,
    upstream::{Failure, Lease},
};

/// Longest response that is not a stream, in bytes.
const MAX_RESPONSE: usize = 8 * 1024 * 1024;

/// Time before the caller's own limit at which it is answered, so that the
/// answer still arrives.
const ANSWER_MARGIN: span::Span = span::Span::from_millis(30);

/// Targets that are asked for one request at most, also when none of them ran
/// it.
const MOST_SENDS: usize = 4;

/// A caller's request, read whole.
#[derive(Debug)]
pub struct Job {
    /// What the process shares.
    pub shared: Arc<Shared>,
    /// The decoded head.
    pub call: Call,
    /// The rule.
    pub rule: Rule,
    /// When the request came.
    pub started: time::Mono,
    /// When it is answered at the latest.
    pub deadline: time::Mono,
    team: Option<Team>,
    service: id::ServiceId,
    /// Identifies the content: team, path and body.
    fingerprint: id::Fingerprint,
    /// Whether the service's engines fetch prompt parts from one another.
    fetches: bool,
    chain: Chain,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// The targets that a request was sent to.
#[derive(Clone, Debug, Default)]
pub struct Tried {
    /// All of them.
    pub targets: Vec<id::TargetId>,
    /// Number of those that may have run it.
    pub runs: u32,
}

/// A target for the next attempt.
#[derive(Clone, Debug)]
pub struct Pick {
    target: Arc<Target>,
    /// Where it fetches the prompt parts that it lacks.
    source: Option<SocketAddr>,
    /// Prompt tokens that it lacks.
    missing: u32,
}

/// A response whose head has come.
#[derive(Debug)]
pub struct Reply {
    /// The head.
    pub answer: Answer,
    /// The rest.
    pub body: Incoming,
    /// The connection.
    pub lease: Lease,
    /// The request at the target.
    pub flight: Flight,
}

/// Why an attempt gave no response for the caller.
#[derive(Debug)]
enum Miss {
    /// The target did not run the request.
    NotRun,
    /// It may have run.
    Lost,
    /// The time is over; it may have run.
    Timeout,
    /// The target ran it and failed.
    Failed(Box<Response<Body>>),
}

/// Answers a request.
pub async fn answer(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    active: Active,
) -> Response<Body> {
    let started = shared.clock.now();
    shared.metrics.count(Counter::Requests);
    match Job::read(shared, started, request).await {
        Ok(job) => job.run(active).await,
        Err((attempt, reason)) => {
            shared.metrics.count(Counter::Refused);
            tracing::info!(event = "refused", id = attempt, %reason);
            refuse::answer(reason)
        }
    }
}

impl Reply {
    fn is_stream(&self) -> bool {
        self.answer.events && self.answer.status.is_success()
    }
}

/// Reads a caller's body up to a length.
async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Reason> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Reason::Large),
        Err(error) => {
            tracing::debug!(event = "body_broken", %error);
            Err(Reason::Malformed)
        }
    }
}

impl Job {
    async fn read(
        shared: &Arc<Shared>,
        started: time::Mono,
        request: Request<Incoming>,
    ) -> Result<Self, (String, Reason)> {
        let (head, body) = request.into_parts();
        let call = Call::decode(&head).map_err(|error| (error.to_string(), Reason::Malformed))?;
        let fail = |reason| (call.attempt.to_string(), reason);
        let Some(routes) = shared.routes.load_full() else {
            return Err(fail(Reason::Unready));
        };
        let found = routes.find(&call.host, head.uri.path(), call.key.as_deref());
        let (rule, team) = found.map_err(|denied| {
            fail(match denied {
                Denied::Rule => Reason::Rule,
                Denied::Key => Reason::Key,
            })
        })?;
        let service = routes::service(&rule.shares, &call.attempt);
        let service = service.ok_or(fail(Reason::Rule))?.clone();
        let timeout = started + rule.timeout;
        let deadline = match call.left {
            Some(left) => timeout.min(started + less(left, ANSWER_MARGIN)),
            None => timeout,
        };
        let left = deadline.since(shared.clock.now());
        let whole = read_body(body, routes.config.limits.body);
        let body = match timer::timeout(left.duration(), whole).await {
            Ok(body) => body.map_err(fail)?,
            Err(_) => return Err(fail(Reason::Expired)),
        };
        let (rule, team) = (rule.clone(), team.cloned());
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let key = call.key.as_deref().unwrap_or_default();
        let parts = [key.as_bytes(), path.as_bytes(), &body];
        let fingerprint = id::Fingerprint(hash::parts(parts));
        let now = shared.clock.now();
        if shared
            .poison()
            .is_refused(now, fingerprint, rule.class.is_repeatable())
        {
            return Err(fail(Reason::Poison));
        }
        let fetches = routes
            .config
            .services
            .get(&service)
            .is_some_and(|service| service.fetches);
        Ok(Self {
            shared: shared.clone(),
            chain: Chain::new(&call.prompt),
            headers: call::forwarded(&head.headers),
            method: head.method,
            uri: head.uri,
            call,
            rule,
            started,
            deadline,
            team,
            service,
            fingerprint,
            fetches,
            body,
        })
    }

    async fn run(self, active: Active) -> Response<Body> {
        let job = Arc::new(self);
        let mut tried = Tried::default();
        let mut failed = None;
        loop {
            let Some(pick) = job.next(&mut tried) else {
                return job.give_up(&tried, failed);
            };
            let result = match job.attempt(&pick, None).await {
                Ok(reply) if reply.is_stream() => {
                    tried.runs += 1;
                    return Stream::response(job, reply, tried, active);
                }
                Ok(reply) => job.plain(reply).await,
                Err(miss) => Err(miss),
            };
            match result {
                Ok(response) => {
                    job.done("answered", Some(response.status()), &tried);
                    return response;
                }
                Err(miss) => {
                    job.count(&mut tried, &miss);
                    if let Miss::Failed(response) = miss {
                        failed = Some(*response);
                    }
                }
            }
        }
    }

    fn count(&self, tried: &mut Tried, miss: &Miss) {
        let counter = match miss {
            Miss::NotRun => return self.shared.metrics.count(Counter::NotRun),
            Miss::Lost | Miss::Failed(_) => Counter::Lost,
            Miss::Timeout => Counter::Timeouts,
        };
        self.shared.metrics.count(counter);
        tried.runs += 1;
    }

    /// Returns the next target, if another attempt is allowed and there is one.
    pub fn next(&self, tried: &mut Tried) -> Option<Pick> {
        let now = self.shared.clock.now();
        let may_run =
            tried.runs == 0 || (self.rule.class.is_repeatable() && tried.runs < self.rule.attempts);
        if !may_run || now >= self.deadline || tried.targets.len() >= MOST_SENDS {
            return None;
        }
        let (pick, choice) = self.choose(now, tried)?;
        let target = &pick.target;
        if tried.targets.is_empty() {
            self.shared.repeats().first(now, &self.service);
        } else {
            let routers = self.shared.routers.load(Ordering::Relaxed);
            if !self.shared.repeats().repeat(now, &self.service, routers) {
                self.shared.metrics.count(Counter::Denied);
                tracing::info!(event = "repeat_denied", id = %self.call.attempt, service = %self.service);
                return None;
            }
        }
        tracing::info!(
            event = "sent",
            id = %self.call.attempt,
            rule = %self.rule.id,
            service = %self.service,
            target = %target.row.id,
            reason = %choice.reason,
            cost_us = choice.micros,
            missing = pick.missing,
            source = pick.source.map(tracing::field::display),
            attempt = tried.targets.len() + 1,
            left = %self.deadline.since(now),
        );
        self.shared.metrics.count(Counter::Sends);
        tried.targets.push(target.row.id.clone());
        Some(pick)
    }

    fn choose(&self, now: time::Mono, tried: &Tried) -> Option<(Pick, cost::Choice)> {
        let fleet = self.shared.fleet.load();
        let targets = fleet.as_ref()?.service(&self.service);
        let centre = &self.shared.settings.centre;
        let mut candidates = Vec::with_capacity(targets.len());
        for target in targets {
            let mut candidate = target.candidate(now, &self.chain, centre);
            candidate.open &= !tried.targets.contains(&target.row.id);
            candidates.push(candidate);
        }
        let prompt = cost::Prompt {
            part: self.chain.shared().last().map(|part| part.0),
            own: self.chain.own(),
            fetches: self.fetches,
        };
        let seed = hash::bytes(self.call.attempt.as_str().as_bytes());
        let choice = cost::choose(&candidates, prompt, seed)?;
        let pick = Pick {
            target: targets[choice.index].clone(),
            source: choice.source.map(|source| targets[source].row.address),
            missing: candidates[choice.index].missing,
        };
        Some((pick, choice))
    }

    /// Sends the request to a target and waits for the head of the response;
    /// `seen` is the last event that was delivered.
    async fn attempt(&self, pick: &Pick, seen: Option<u64>) -> Result<Reply, Miss> {
        let target = &pick.target;
        let now = self.shared.clock.now();
        let left = self.deadline.since(now);
        let flight = target.begin(now, &self.chain, pick.missing);
        self.shared.hold(target, &self.chain);
        let request = self.request(pick, left, seen);
        let sent = target.pool.send(request);
        let (response, lease) = match timer::timeout(left.duration(), sent).await {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => return Err(self.missed(target, failure)),
            Err(_) => {
                self.note(target, "timeout");
                return Err(Miss::Timeout);
            }
        };
        let (head, body) = response.into_parts();
        let answer = Answer::decode(head);
        let reply = Reply {
            answer,
            body,
            lease,
            flight,
        };
        self.shared.metrics.first.add(self.took());
        self.check(target, reply)
    }

    /// Resumes a stream at another target.
    pub async fn resume(&self, tried: &mut Tried, seen: Option<u64>) -> Option<Reply> {
        loop {
            let pick = self.next(tried)?;
            match self.attempt(&pick, seen).await {
                Ok(reply) if reply.is_stream() => {
                    tried.runs += 1;
                    self.shared.metrics.count(Counter::Resumed);
                    return Some(reply);
                }
                Ok(_) => tried.runs += 1,
                Err(miss) => self.count(tried, &miss),
            }
        }
    }

    fn request(&self, pick: &Pick, left: span::Span, seen: Option<u64>) -> Request<Full<Bytes>> {
        let team = self.team.as_ref();
        let priority = team
            .and_then(|team| team.priority)
            .unwrap_or(self.rule.priority);
        let send = call::Send {
            target: &pick.target.row.id,
            source: pick.source,
            team: team.map(|team| &team.id),
            left,
            priority: self.rule.class.is_stream().then_some(priority),
            seen,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = path(&self.uri);
        *request.headers_mut() = call::address(&self.headers, &send);
        request
    }

    fn missed(&self, target: &Arc<Target>, failure: Failure) -> Miss {
        let now = self.shared.clock.now();
        match &failure {
            // A closed connection shows that the target's host is there.
            Failure::Lost(_) => {
                target.outcome(Trust::failed);
                self.broken_off(target);
            }
            Failure::NotSent(_) | Failure::Silent(_) => {
                target.outcome(|trust| trust.unanswered(now));
            }
        }
        match failure {
            Failure::NotSent(fault) => {
                tracing::info!(event = "not_sent", id = %self.call.attempt, target = %target.row.id, %fault);
                Miss::NotRun
            }
            Failure::Lost(fault) | Failure::Silent(fault) => {
                tracing::info!(event = "lost", id = %self.call.attempt, target = %target.row.id, %fault);
                Miss::Lost
            }
        }
    }

    /// Looks whether a target that broke the request off has crashed; then the
    /// request's content may be the cause.
    pub fn broken_off(&self, target: &Arc<Target>) {
        let (shared, target) = (self.shared.clone(), target.clone());
        let attempt = self.call.attempt.clone();
        let fingerprint = self.fingerprint;
        tokio::spawn(async move {
            if target.pool.is_reachable().await {
                return;
            }
            let now = shared.clock.now();
            target.outcome(|trust| trust.unanswered(now));
            let fall = Fall {
                fingerprint,
                target: target.hash.0,
            };
            if shared.poison().fall(now, fall) {
                let target = &target.row.id;
                tracing::info!(event = "target_crashed", id = %attempt, %target, content = %fingerprint);
            }
        });
    }

    fn note(&self, target: &Target, outcome: &'static str) {
        tracing::info!(event = "missed", id = %self.call.attempt, target = %target.row.id, outcome);
    }

    /// Decides whether a response belongs to this request and can be used.
    fn check(&self, target: &Arc<Target>, reply: Reply) -> Result<Reply, Miss> {
        let now = self.shared.clock.now();
        let answer = &reply.answer;
        let own = answer
            .attempt
            .as_ref()
            .is_none_or(|id| *id == self.call.attempt);
        if !own {
            target.outcome(|trust| trust.failed());
            self.note(target, "foreign-response");
            return Err(Miss::Lost);
        }
        if let Some(load) = answer.load {
            target.report(now, load);
        }
        if answer.not_run {
            if answer.status == StatusCode::MISDIRECTED_REQUEST {
                target.outcome(|trust| trust.unanswered(now));
            } else {
                target.full(now);
            }
            self.note(target, "not-run");
            return Err(Miss::NotRun);
        }
        // Without the target's word these statuses would promise the caller
        // that the request did not run.
        let promises = matches!(answer.status.as_u16(), 408 | 429 | 503);
        if promises || (answer.status.is_success() && !(answer.signed && answer.attempt.is_some()))
        {
            target.outcome(|trust| trust.failed());
            self.note(target, "unusable-response");
            return Err(Miss::Lost);
        }
        Ok(reply)
    }

    /// Reads a response that is not a stream.
    async fn plain(&self, reply: Reply) -> Result<Response<Body>, Miss> {
        let Reply {
            answer,
            body,
            lease,
            flight,
        } = reply;
        let target = flight.target().clone();
        let left = self.deadline.since(self.shared.clock.now());
        let whole = Limited::new(body, MAX_RESPONSE).collect();
        let bytes = match timer::timeout(left.duration(), whole).await {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(error)) => {
                target.outcome(|trust| trust.failed());
                self.broken_off(&target);
                tracing::info!(event = "lost", id = %self.call.attempt, target = %target.row.id, %error);
                return Err(Miss::Lost);
            }
            Err(_) => {
                self.note(&target, "timeout");
                return Err(Miss::Timeout);
            }
        };
        if !answer.closes {
            target.pool.keep(lease, answer.idle);
        }
        let failed = answer.status.is_server_error();
        target.outcome(|trust| {
            if failed {
                trust.failed()
            } else {
                trust.served()
            }
        });
        let mut response = Response::new(body::full(bytes));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        if failed && self.rule.class.is_repeatable() {
            return Err(Miss::Failed(Box::new(response)));
        }
        Ok(response)
    }

    /// Answers a request that no target serves.
    fn give_up(&self, tried: &Tried, failed: Option<Response<Body>>) -> Response<Body> {
        if let Some(response) = failed {
            self.done("failed", Some(response.status()), tried);
            return response;
        }
        let expired = self.shared.clock.now() >= self.deadline;
        let reason = match (tried.runs, expired) {
            (0, true) => Reason::Expired,
            (0, false) if self.shared.fleet.load().is_none() => Reason::Unready,
            (0, false) => Reason::Busy,
            (_, true) => Reason::Timeout,
            (_, false) => Reason::Lost,
        };
        let response = refuse::answer(reason);
        self.shared.metrics.count(Counter::Refused);
        tracing::info!(
            event = "refused",
            id = %self.call.attempt,
            rule = %self.rule.id,
            service = %self.service,
            %reason,
            sends = tried.targets.len(),
            runs = tried.runs,
            took = %self.took(),
        );
        response
    }

    fn took(&self) -> span::Span {
        self.shared.clock.now().since(self.started)
    }

    /// Logs how the request ended.
    pub fn done(&self, outcome: &'static str, status: Option<StatusCode>, tried: &Tried) {
        let counter = match (outcome, status) {
            ("streamed", _) => Counter::Streamed,
            (_, Some(_)) => Counter::Answered,
            (_, None) => Counter::Aborted,
        };
        self.shared.metrics.count(counter);
        self.shared.metrics.whole.add(self.took());
        tracing::info!(
            event = "done",
            id = %self.call.attempt,
            outcome,
            status = status.map(|status| status.as_u16()),
            sends = tried.targets.len(),
            took = %self.took(),
        );
    }
}

/// Returns the path and the query as the caller sent them.
fn path(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}

fn less(span: span::Span, margin: span::Span) -> span::Span {
    span::Span::from_micros(span.as_micros().saturating_sub(margin.as_micros()))
}
