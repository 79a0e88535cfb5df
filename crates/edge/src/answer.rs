//! Answers one request: finds its rule, chooses targets and delivers the
//! response.

use std::sync::{Arc, atomic::Ordering};

use admit::shed;
use base::{hash, id, span, time};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use place::pace::Pace;
use rand::RngExt;

use crate::{
    attempt::{Miss, Reply},
    body::Body,
    decide::{Ask, Beliefs, Kind, Pick},
    fleet::Fleet,
    front::Active,
    job::{Job, Refusal},
    metrics::Counter,
    refuse::{self, Reason},
    shared::Shared,
    stream::Stream,
};

/// Targets that are asked for one request at most, also when none of them ran
/// it.
const MOST_SENDS: usize = 4;

/// The targets that a request was sent to.
#[derive(Clone, Debug, Default)]
pub struct Tried {
    /// All of them.
    pub targets: Vec<id::TargetId>,
    /// Number of those that may have run it.
    pub runs: u32,
}

/// What happens to a request next.
enum Next {
    /// It is sent to a target.
    Send(Pick),
    /// The targets have too much work; the caller should come back after a time.
    Shed(span::Span),
    /// There is no target for it, or no further attempt.
    Stop,
}

/// Answers a request.
pub async fn respond(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    active: Active,
) -> Response<Body> {
    let started = shared.clock.now();
    shared.metrics.count(Counter::Requests);
    match Job::read(shared, started, request).await {
        Ok(job) => job.run(active).await,
        Err(Refusal { attempt, reason }) => {
            shared.metrics.count(Counter::Refused);
            let id = attempt.as_ref().map(tracing::field::display);
            tracing::info!(event = "refused", id, %reason);
            refuse::answer(reason)
        }
    }
}

impl Job {
    async fn run(self, active: Active) -> Response<Body> {
        let job = Arc::new(self);
        let mut tried = Tried::default();
        let mut failed = None;
        loop {
            let pick = match job.next(&mut tried) {
                Next::Send(pick) => pick,
                Next::Shed(after) => return job.refuse(&tried, Reason::Shed, Some(after)),
                Next::Stop => return job.give_up(&tried, failed),
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
    fn next(&self, tried: &mut Tried) -> Next {
        let now = self.shared.clock.now();
        let may_run = tried.runs == 0
            || (self.rule.class.is_repeatable() && tried.runs < self.rule.max_attempts);
        if !may_run || now >= self.deadline || tried.targets.len() >= MOST_SENDS {
            return Next::Stop;
        }
        let pace = self.shared.pace(&self.service);
        let fleet = self.shared.fleet.load();
        let Some(fleet) = fleet.as_ref() else {
            return Next::Stop;
        };
        let beliefs = self.beliefs(now, fleet, &pace);
        let ask = Ask {
            chain: &self.chain,
            tried: &tried.targets,
            seed: hash::bytes(self.call.attempt.as_str().as_bytes()),
        };
        let Some(pick) = beliefs.choose(now, ask) else {
            return Next::Stop;
        };
        if tried.targets.is_empty()
            && let Some(after) = self.shed(now, &beliefs, &pick)
        {
            return Next::Shed(after);
        }
        let target = &pick.target;
        if tried.targets.is_empty() {
            self.shared.repeats().first(now, &self.service);
            if let Some(team) = &self.team {
                self.shared.shares().note(now, &self.service, &team.id);
            }
        } else {
            let routers = self.shared.routers.load(Ordering::Relaxed);
            if !self.shared.repeats().repeat(now, &self.service, routers) {
                self.shared.metrics.count(Counter::Denied);
                tracing::info!(event = "repeat_denied", id = %self.call.attempt, service = %self.service);
                return Next::Stop;
            }
        }
        tracing::info!(
            event = "sent",
            id = %self.call.attempt,
            rule = %self.rule.id,
            team = self.team.as_ref().map(|team| tracing::field::display(&team.id)),
            service = %self.service,
            target = %target.row.id,
            reason = %pick.choice.reason,
            cost_us = pick.choice.micros,
            load = pick.load,
            level = pick.choice.level,
            told_age = %self.shared.told.age(now),
            told_by = self.shared.told.routers(),
            version = %self.version,
            input = self.call.input_tokens,
            output = self.call.output_tokens,
            missing = pick.missing,
            source = pick.source.map(tracing::field::display),
            attempt = tried.targets.len() + 1,
            left = %self.deadline.since(now),
        );
        self.shared.metrics.count(Counter::Sends);
        tried.targets.push(target.row.id.clone());
        Next::Send(pick)
    }

    /// Returns what this router believes of the request's service.
    fn beliefs<'a>(&'a self, now: time::Mono, fleet: &'a Fleet, pace: &'a Pace) -> Beliefs<'a> {
        Beliefs {
            targets: fleet.service(&self.service),
            kind: self.kind.map(|kind| Kind {
                engines: kind.engines,
                fetches: kind.fetches_cache,
            }),
            pace,
            centre: &self.shared.settings.centre,
            rate: self.shared.shares().rate(now, &self.service),
            routers: self.shared.routers.load(Ordering::Relaxed),
            delay: self.shared.told.delay(),
            factor: self.shared.bounds.load().load_factor,
        }
    }

    /// Returns when to come back if the service's targets have too much work for
    /// another request.
    fn shed(&self, now: time::Mono, beliefs: &Beliefs, pick: &Pick) -> Option<span::Span> {
        let team = self.team.as_ref().map(|team| &team.id);
        let share = team.map_or(1.0, |team| {
            self.shared.shares().ratio(now, &self.service, team)
        });
        let request = shed::Request {
            rank: self.rank(),
            share,
            aim: self.rule.latency_goal,
            left: self.deadline.since(now),
        };
        let shed = beliefs.shed(pick, request, rand::rng().random())?;
        self.shared.metrics.count(Counter::Shed);
        tracing::info!(
            event = "shed",
            id = %self.call.attempt,
            service = %self.service,
            target = %pick.target.row.id,
            target_load = pick.load,
            load = pick.choice.fill.load,
            slots = pick.choice.fill.slots,
            work = shed.work.map(tracing::field::display),
            rank = request.rank,
            team = team.map(tracing::field::display),
            share = request.share,
            told_age = %self.shared.told.age(now),
            told_by = self.shared.told.routers(),
            version = %self.version,
            after = %shed.after,
        );
        Some(shed.after)
    }

    /// Resumes a stream at another target.
    pub async fn resume(&self, tried: &mut Tried, seen: Option<u64>) -> Option<Reply> {
        loop {
            let Next::Send(pick) = self.next(tried) else {
                return None;
            };
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
        self.refuse(tried, reason, None)
    }

    /// Answers with the router's own words.
    fn refuse(&self, tried: &Tried, reason: Reason, after: Option<span::Span>) -> Response<Body> {
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
        match after {
            Some(after) => refuse::later(reason, after),
            None => refuse::answer(reason),
        }
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
