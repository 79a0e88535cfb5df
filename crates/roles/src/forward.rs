//! Forwards one request to agents until the caller has its answer.
//!
//! The decisions are those of [`once::settle`]; this module carries them out.

use std::sync::Arc;

use base::{fault::Fault, id, span};
use bytes::Bytes;
use once::{epoch::Epoch, refusal::Refusal, settle};
use place::choose;
use tokio::time::{self, Instant};
use wire::{convert, msg};

use crate::{
    failure::Failure, front::Accepted, limits, refusal, replies::Replies, router::Router,
    router_core::Event, session, snapshot,
};

/// Time for an agent to take a settlement.
const SETTLE_CALL: time::Duration = time::Duration::from_secs(2);

/// Pause before agents are chosen again when none is left that could continue
/// a response.
const CONTINUE_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Pauses for one response at most; together they last longer than an engine
/// that crashed needs to be seen as up again.
const MOST_PAUSES: u32 = 20;

/// Pause between two looks for the owner of a claim.
const OWNER_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Looks for the owner of a claim at most; together they last longer than a
/// reading of the instance list with its lag.
const OWNER_LOOKS: u32 = 20;

/// What the caller receives next.
#[derive(Debug)]
pub enum Output {
    /// The head of the response.
    Head(msg::Head),
    /// More of its body.
    Bytes(Bytes),
    /// The response is complete.
    Finish,
    /// The request was not run.
    NotRun(Refusal, Option<span::Span>),
    /// Nobody can tell whether it ran.
    Unknown(settle::Doubt),
    /// The response broke off after its head.
    Abort(settle::Doubt),
}

/// One request on its way.
pub struct Forward {
    router: Arc<Router>,
    accepted: Accepted,
    request: settle::Request,
    deadline: Instant,
    hint: Option<id::TargetId>,
    tried: Vec<choose::Refusal>,
    /// Pauses for lack of an agent that could continue the response.
    pauses: u32,
    /// Target of the present attempt.
    target: Option<id::TargetId>,
    replies: Option<Replies>,
    /// The frame whose bytes are passed on next.
    data: Bytes,
    head: Option<msg::Head>,
    stamp: Option<msg::SenderStatus>,
    previous: Option<String>,
    /// What agents reported of the content after crashes.
    suspects: Vec<msg::Suspect>,
    /// Why the last agent did not run it; a target that does not answer, at
    /// first.
    why: Refusal,
    /// The request's place under the limits of its team.
    _open: Option<limits::Open>,
}

fn class(class: msg::Class) -> settle::Class {
    match class {
        msg::Class::Repeatable => settle::Class::Repeatable,
        msg::Class::Once => settle::Class::Once,
        msg::Class::Keyed => settle::Class::Keyed,
    }
}

impl Forward {
    /// Makes the forwarding of an accepted request.
    pub fn new(
        router: Arc<Router>,
        accepted: Accepted,
        hint: Option<id::TargetId>,
        open: Option<limits::Open>,
    ) -> Self {
        let class = class(accepted.run.class());
        Self {
            request: settle::Request::new(accepted.id, class, settle::Limits::default()),
            deadline: Instant::now() + accepted.deadline.duration(),
            router,
            accepted,
            hint,
            tried: Vec::new(),
            pauses: 0,
            target: None,
            replies: None,
            data: Bytes::new(),
            head: None,
            stamp: None,
            previous: None,
            suspects: Vec::new(),
            why: Refusal::Down,
            _open: open,
        }
    }

    /// Returns the request id.
    pub fn id(&self) -> id::RequestId {
        self.request.id()
    }

    /// Returns the target of the last attempt.
    pub fn target(&self) -> Option<&id::TargetId> {
        self.target.as_ref()
    }

    /// Returns the number of attempts.
    pub fn attempts(&self) -> u32 {
        self.request.attempts()
    }

    /// Sends the request and returns the first output.
    pub async fn start(&mut self) -> Output {
        self.run(settle::Step::Choose { skip: 0 }).await
    }

    /// Returns the next output after the head.
    pub async fn next(&mut self) -> Output {
        self.run(settle::Step::Read).await
    }

    async fn run(&mut self, first: settle::Step) -> Output {
        let mut step = first;
        loop {
            let deadline = self.deadline;
            step = match step {
                settle::Step::Head => return Output::Head(self.head.take().unwrap_or_default()),
                settle::Step::Pass(from) => return Output::Bytes(self.data.slice(from..)),
                settle::Step::Finish => return Output::Finish,
                settle::Step::NotRun { why, after } => return Output::NotRun(why, after),
                settle::Step::Unknown(doubt) => return Output::Unknown(doubt),
                settle::Step::Abort(doubt) => return Output::Abort(doubt),
                step => match time::timeout_at(deadline, self.act(step)).await {
                    Ok(next) => next,
                    Err(_) => self.expire(),
                },
            };
        }
    }

    fn expire(&mut self) -> settle::Step {
        self.request.expired()
    }

    /// Carries out one step. An open stream spends its time reading; the other
    /// steps are boxed so that it holds no room for them (3 KB).
    async fn act(&mut self, step: settle::Step) -> settle::Step {
        match step {
            settle::Step::Choose { skip } => Box::pin(self.choose(skip)).await,
            settle::Step::Redirect(owner) => Box::pin(self.redirect(owner)).await,
            settle::Step::Resend(to) => Box::pin(self.send(to, self.request.offset())).await,
            settle::Step::Settle { to, offset, pause } => {
                Box::pin(async {
                    time::sleep(pause.duration()).await;
                    self.settle(to, offset).await
                })
                .await
            }
            _ => self.read().await,
        }
    }

    async fn choose(&mut self, skip: u64) -> settle::Step {
        // A response that has begun is continued without the budget: those are
        // no more than were in flight at the target that broke off.
        let again = self.request.attempts() > 0 && !self.request.begun();
        if again && !self.router.retries.retry(&self.accepted.team) {
            return self.request.none(Refusal::Bound, Some(self.router.pause()));
        }
        let snapshot = self.router.snapshot.load_full();
        let Some(group) = snapshot.groups.get(&self.accepted.service) else {
            self.log_none("no agent of the service is known");
            return self.request.none(Refusal::Down, Some(self.router.pause()));
        };
        let query = self.query();
        let choice = choose::choose(&group.view, &query, self.router.seed());
        self.log(&choice);
        let Some(target) = choice.target else {
            if self.request.begun() && self.pauses < MOST_PAUSES {
                self.pauses += 1;
                self.tried.clear();
                time::sleep(CONTINUE_PAUSE).await;
                return settle::Step::Choose { skip };
            }
            return self
                .request
                .none(self.why.clone(), Some(self.router.pause()));
        };
        let Some(agent) = group.agents.get(&target.process) else {
            return self.request.none(Refusal::Down, Some(self.router.pause()));
        };
        self.previous = choice
            .previous
            .and_then(|target| group.agents.get(&target.process))
            .map(|agent| agent.address.to_string());
        self.target = Some(target.id.clone());
        let to = sent(&target.process, agent);
        self.send(to, skip).await
    }

    fn query(&self) -> choose::Query {
        choose::Query {
            chat: self.accepted.chat,
            turns: self.accepted.turns,
            prompt_tokens: self.accepted.tokens,
            centre: self.router.settings.data_centre.clone(),
            hint: self.hint.clone(),
            refusals: self.tried.clone(),
        }
    }

    async fn redirect(&mut self, owner: id::ProcessId) -> settle::Step {
        let Some(to) = self.find(&owner).await else {
            tracing::warn!(event = "claim_owner_unknown", request = %self.id(), owner = %owner);
            return self.request.none(Refusal::Claimed(owner), None);
        };
        let snapshot = self.router.snapshot.load_full();
        let group = snapshot.groups.get(&self.accepted.service);
        let target = group.and_then(|group| group.view.by_process(&owner));
        self.target = target.map(|target| target.id.clone());
        tracing::info!(event = "route", request = %self.id(), team = %self.accepted.team,
            service = %self.accepted.service, target = self.shown(), reason = "claim");
        self.send(to, 0).await
    }

    /// Finds the owner of a claim. One that has just started may be in the
    /// instance list only, or not yet known here at all; its claim proves that
    /// it ran, so the list is read at once and the request waits for it.
    async fn find(&self, owner: &id::ProcessId) -> Option<settle::Sent> {
        for look in 0..OWNER_LOOKS {
            let snapshot = self.router.snapshot.load_full();
            if let Some(agent) = snapshot.agent(&self.accepted.service, owner) {
                return Some(sent(owner, agent));
            }
            if look == 0 {
                tracing::info!(event = "claim_owner_sought", request = %self.id(), owner = %owner);
            }
            self.router.tell(Event::Seek);
            time::sleep(OWNER_PAUSE).await;
        }
        None
    }

    async fn send(&mut self, to: settle::Sent, skip: u64) -> settle::Step {
        let snapshot = self.router.snapshot.load_full();
        let Some(address) = self.address(&snapshot, &to.agent) else {
            return self.request.none(Refusal::Down, Some(self.router.pause()));
        };
        let loads = snapshot.groups.get(&self.accepted.service);
        let run = msg::Run {
            incarnation: to.incarnation.0,
            epoch: to.epoch.0,
            remaining: self.remaining(),
            attempt: self.request.attempts() + 1,
            delivered: skip,
            cache_source: self.previous.take().unwrap_or_default(),
            sender: Some(snapshot.stamp.clone()),
            suspects: self.related(&snapshot),
            loads: loads.map(|group| group.loads.clone()).unwrap_or_default(),
            ..self.accepted.run.clone()
        };
        session::message("router", "agent", || {
            format!(
                "Run class={:?} attempt={} skip={skip}",
                run.class(),
                run.attempt
            )
        });
        let agent = to.agent.clone();
        self.request.sent(to);
        self.router.tell(Event::Sent(agent.clone()));
        match self.router.links.call(address, "/run", &run).await {
            Ok(response) => {
                self.replies = Some(Replies::new(address, response));
                settle::Step::Read
            }
            Err(Failure::NotSent(fault)) => {
                self.failed(&agent, &fault, fleet::member::Failure::Refused);
                self.tried_here(Vec::new());
                self.request.unsent()
            }
            Err(Failure::Broken(fault)) => {
                self.failed(&agent, &fault, fleet::member::Failure::Other);
                self.request.link_lost()
            }
        }
    }

    /// Returns what is known of the request's content, so that an agent that
    /// the exchange has not reached yet can refuse it.
    fn related(&self, snapshot: &snapshot::Snapshot) -> Vec<msg::Suspect> {
        if !self.suspects.is_empty() {
            return self.suspects.clone();
        }
        let fingerprint = id::Fingerprint(self.accepted.run.fingerprint);
        let known = snapshot.suspects.get(&fingerprint);
        known.cloned().unwrap_or_default()
    }

    async fn settle(&mut self, to: settle::Sent, offset: u64) -> settle::Step {
        self.replies = None;
        let snapshot = self.router.snapshot.load_full();
        let Some(address) = self.address(&snapshot, &to.agent) else {
            return self.request.unreachable();
        };
        let settle = msg::Settle {
            id: convert::request_id_bytes(self.id()),
            incarnation: to.incarnation.0,
            epoch: to.epoch.0,
            offset,
            has_head: self.head_taken(),
            remaining: self.remaining(),
        };
        session::message("router", "agent", || format!("Settle offset={offset}"));
        self.router.metrics.count("settle");
        let call = self.router.links.call(address, "/settle", &settle);
        match time::timeout(SETTLE_CALL, call).await {
            Ok(Ok(response)) => {
                self.replies = Some(Replies::new(address, response));
                self.request.attached();
                settle::Step::Read
            }
            Ok(Err(Failure::NotSent(fault))) => {
                self.failed(&to.agent, &fault, fleet::member::Failure::Refused);
                self.request.link_lost()
            }
            Ok(Err(Failure::Broken(fault))) => {
                self.failed(&to.agent, &fault, fleet::member::Failure::Other);
                self.request.link_lost()
            }
            Err(_) => self.request.link_lost(),
        }
    }

    /// Reads frames until one changes something for the caller.
    async fn read(&mut self) -> settle::Step {
        loop {
            let Some(replies) = &mut self.replies else {
                return self.request.link_lost();
            };
            let step = match replies.next().await {
                Ok(Some(reply)) => self.reply(reply),
                Ok(None) => self.lost(None),
                Err(fault) => self.lost(Some(fault)),
            };
            if step != settle::Step::Read {
                return step;
            }
        }
    }

    fn lost(&mut self, fault: Option<Fault>) -> settle::Step {
        self.replies = None;
        let cause = fault.map(|fault| fault.to_string()).unwrap_or_default();
        tracing::info!(event = "reply_lost", request = %self.id(), target = self.shown(), cause);
        self.request.link_lost()
    }

    fn reply(&mut self, reply: msg::Reply) -> settle::Step {
        if let Some(stamp) = reply.sender {
            self.router.tell(Event::Stamp(stamp.clone()));
            self.stamp = Some(stamp);
        }
        match reply.part {
            None => settle::Step::Read,
            Some(msg::Part::Refused(refused)) => self.refused(&refused),
            Some(msg::Part::Head(head)) => self.take_head(head),
            Some(msg::Part::Data(data)) => {
                let len = data.bytes.len();
                self.data = data.bytes;
                self.request.data(data.offset, len)
            }
            Some(msg::Part::End(end)) => self.request.end(end.total),
            Some(msg::Part::Interrupted(broken)) => self.broken(&broken),
        }
    }

    fn take_head(&mut self, head: msg::Head) -> settle::Step {
        let id = convert::request_id(&head.id).unwrap_or_default();
        let facts = settle::Head {
            id,
            status: u16::try_from(head.status).unwrap_or_default(),
            replayed: head.replayed,
            resumable: head.resumable,
        };
        let crossed = id != self.id() && !head.replayed;
        if crossed {
            tracing::warn!(event = "response_crossed", request = %self.id(), other = %id, target = self.shown());
            self.router.metrics.count("response.crossed");
        }
        self.head = Some(head);
        self.request.head(facts)
    }

    fn refused(&mut self, refused: &msg::Refused) -> settle::Step {
        let why = refusal::from_message(refused);
        let after = (refused.after > 0).then(|| span::Span::from_millis(refused.after.into()));
        let present = self
            .stamp
            .as_ref()
            .map(|stamp| (id::Incarnation(stamp.incarnation), Epoch(stamp.epoch)));
        tracing::info!(event = "refused", request = %self.id(), target = self.shown(), reason = %why,
            after_ms = refused.after);
        self.why = why.clone();
        let peers = refused.peers.iter().filter_map(|peer| peer.parse().ok());
        self.replies = None;
        let step = self.request.refused(why, after, present);
        if !matches!(step, settle::Step::Resend(_)) {
            self.tried_here(peers.collect());
        }
        step
    }

    fn broken(&mut self, broken: &msg::Interrupted) -> settle::Step {
        tracing::warn!(event = "response_broken", request = %self.id(), target = self.shown(),
            dispatched = broken.dispatched, offset = broken.offset, cause = broken.cause);
        self.replies = None;
        self.tried_here(Vec::new());
        if !broken.suspects.is_empty() {
            self.suspects.clone_from(&broken.suspects);
            self.router.tell(Event::Suspects(broken.suspects.clone()));
        }
        self.request.broken(broken.dispatched)
    }

    fn tried_here(&mut self, peers: Vec<id::ProcessId>) {
        if let Some(target) = self.target.clone() {
            self.tried.push(choose::Refusal { target, peers });
        }
    }

    fn failed(&self, agent: &id::ProcessId, fault: &Fault, failure: fleet::member::Failure) {
        tracing::info!(event = "link_failed", request = %self.id(), agent = %agent, cause = %fault);
        self.router.tell(Event::Failed(agent.clone(), failure));
    }

    fn address(
        &self,
        snapshot: &snapshot::Snapshot,
        agent: &id::ProcessId,
    ) -> Option<std::net::SocketAddr> {
        let agent = snapshot.agent(&self.accepted.service, agent);
        agent.map(|agent| agent.address)
    }

    fn head_taken(&self) -> bool {
        self.request.offset() > 0
    }

    fn remaining(&self) -> u32 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
    }

    fn shown(&self) -> &str {
        self.target.as_ref().map_or("none", id::TargetId::as_str)
    }

    fn log(&self, choice: &choose::Choice) {
        let rejected: Vec<String> = choice
            .rejected
            .iter()
            .map(|rejected| format!("{}:{}", rejected.target, rejected.cause))
            .collect();
        let target = choice
            .target
            .as_ref()
            .map_or("none", |target| target.id.as_str());
        let previous = choice
            .previous
            .as_ref()
            .map_or("none", |target| target.id.as_str());
        tracing::info!(event = "route", request = %self.id(), team = %self.accepted.team,
            service = %self.accepted.service, chat = %self.accepted.chat, target,
            reason = %choice.reason, previous, attempt = self.request.attempts() + 1,
            rejected = rejected.join(","), omitted = choice.omitted);
        self.router.metrics.count("route");
    }

    fn log_none(&self, cause: &str) {
        tracing::warn!(event = "route", request = %self.id(), team = %self.accepted.team,
            service = %self.accepted.service, target = "none", reason = cause);
    }

    /// Tells the agent that nobody waits for the request any more.
    fn cancel(&self) {
        let Some(to) = self.request.live() else {
            return;
        };
        let snapshot = self.router.snapshot.load();
        let Some(agent) = snapshot.agent(&self.accepted.service, &to.agent) else {
            return;
        };
        let address = agent.address;
        session::message("router", "agent", || "Cancel".to_owned());
        let links = self.router.links.clone();
        let cancel = msg::Cancel {
            id: convert::request_id_bytes(self.id()),
        };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            links.call(address, "/cancel", &cancel).await.ok();
        });
    }
}

impl Drop for Forward {
    fn drop(&mut self) {
        if !self.request.ended() {
            self.router.metrics.count("caller.left");
        }
        self.cancel();
    }
}

fn sent(process: &id::ProcessId, agent: &snapshot::Agent) -> settle::Sent {
    settle::Sent {
        agent: process.clone(),
        incarnation: agent.incarnation,
        epoch: Epoch(agent.epoch),
    }
}
