//! How an agent takes requests: from the message to a place at the target, or to
//! a refusal.

use std::sync::Arc;

use admit::{quarantine, request};
use base::{id, span, time};
use conf::state;
use fleet::{convert, member};
use once::{claim, epoch::Epoch, event, refusal::Refusal};
use tokio::sync::oneshot;
use wire::{convert as fields, msg};

use crate::{
    agent_core::{Attached, Core, Open},
    node::Signal,
    outlet::{Finish, Outlet, Window},
    refusal,
};

/// Less loaded agents that a refusal names.
const NAMED_PEERS: usize = 2;

impl Core {
    pub(crate) fn offer(
        &mut self,
        now: time::Mono,
        run: msg::Run,
        link: event::Link,
        reply: oneshot::Sender<Attached>,
    ) {
        self.learn(now, &run);
        let offer = match self.read(&run, link) {
            Ok(offer) => offer,
            Err(cause) => {
                tracing::warn!(event = "run_invalid", %cause);
                let refused = refusal::to_message(&Refusal::Invalid, None);
                reply.send(Attached::Refused(refused)).ok();
                return;
            }
        };
        if run.service != self.agent.service.as_str() {
            let refused = refusal::to_message(&Refusal::Down, None);
            reply.send(Attached::Refused(refused)).ok();
            return;
        }
        let id = offer.id;
        self.links.insert(link, reply);
        let known = self.open.contains_key(&id);
        let fingerprint = id::Fingerprint(run.fingerprint);
        if !known {
            let window = self.window(run.class());
            let open = Open {
                outlet: Arc::new(Outlet::new(window, run.delivered)),
                class: run.class(),
                skip: run.delivered,
                run: Some(Arc::new(msg::Run {
                    // Taken in above; an open stream need not hold them.
                    sender: None,
                    loads: Vec::new(),
                    suspects: Vec::new(),
                    ..run
                })),
                fingerprint,
                job: 0,
                dispatched: None,
                crossings: 0,
            };
            self.open.insert(id, open);
        }
        let actions = self.ledger.offer(now, offer);
        self.act(now, actions);
    }

    pub(crate) fn window(&self, class: msg::Class) -> Window {
        match (class, self.agent.kind) {
            (msg::Class::Keyed, _) => Window::KEPT,
            (_, state::Kind::Engine) => Window::RESUMABLE,
            (_, state::Kind::Plain) => Window::PLAIN,
        }
    }

    /// Takes in what a router tells about itself and other agents.
    pub(crate) fn learn(&mut self, now: time::Mono, run: &msg::Run) {
        self.suspect(now, &run.suspects);
        if let Some(stamp) = &run.sender {
            self.parts.node.signal(Signal::Stamp(stamp.clone()));
        }
        let loads = run.loads.iter().filter_map(|load| convert::load(load).ok());
        for load in loads {
            self.parts.node.exchange.members.load(now, load);
        }
        if !run.loads.is_empty() {
            self.regroup(now);
        }
    }

    pub(crate) fn read(
        &self,
        run: &msg::Run,
        link: event::Link,
    ) -> Result<event::Offer, anyhow::Error> {
        let class = match run.class() {
            msg::Class::Repeatable => event::Class::Repeatable,
            msg::Class::Once => event::Class::Once,
            msg::Class::Keyed => event::Class::Keyed {
                key: claim::Key::new(
                    fields::text_id("service", &run.service)?,
                    fields::text_id("team", &run.team)?,
                    &run.key,
                )?,
                digest: claim::Digest(run.digest.as_ref().try_into()?),
                nonce: id::Nonce(base::id::random_bits()),
            },
        };
        Ok(event::Offer {
            id: fields::request_id(&run.id)?,
            link,
            incarnation: id::Incarnation(run.incarnation),
            epoch: Epoch(run.epoch),
            class,
            remaining: span::Span::from_millis(run.remaining.into()),
        })
    }

    pub(crate) fn settle(
        &mut self,
        now: time::Mono,
        settle: &msg::Settle,
        link: event::Link,
        reply: oneshot::Sender<Attached>,
    ) {
        let Ok(id) = fields::request_id(&settle.id) else {
            let refused = refusal::to_message(&Refusal::Invalid, None);
            reply.send(Attached::Refused(refused)).ok();
            return;
        };
        self.links.insert(link, reply);
        // The ledger resumes the stream when the outlet has dropped bytes that
        // were lost with the link.
        if let Some(open) = self.open.get(&id) {
            let (start, end) = open.outlet.held();
            let actions = self.ledger.progress(id, end, start);
            self.act(now, actions);
        }
        let actions = self.ledger.settle(
            now,
            event::Settle {
                id,
                link,
                incarnation: id::Incarnation(settle.incarnation),
                epoch: Epoch(settle.epoch),
                offset: settle.offset,
            },
        );
        self.act(now, actions);
    }

    pub(crate) fn admit(&mut self, now: time::Mono, id: id::RequestId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let verdict = self.quarantine.check(now, open.fingerprint);
        if let quarantine::Verdict::Refused { remaining } = verdict {
            let fingerprint = open.fingerprint;
            self.parts.metrics.count("quarantine.refused");
            // The router does not know that the content is refused.
            self.spread(now, fingerprint);
            let actions = self
                .ledger
                .refused(now, id, Refusal::Quarantine, Some(remaining));
            return self.act(now, actions);
        }
        if verdict == quarantine::Verdict::Ambiguous && !self.may_join(now, open.fingerprint) {
            let after = Some(span::Span::from_secs(1));
            let actions = self.ledger.refused(now, id, Refusal::Bound, after);
            return self.act(now, actions);
        }
        let Some(run) = &open.run else {
            return;
        };
        let Ok(team) = run.team.parse() else {
            let actions = self.ledger.refused(now, id, Refusal::Invalid, None);
            return self.act(now, actions);
        };
        let offered = self.admission.offer(
            now,
            request::Request {
                id,
                team,
                weight: run.weight.max(1),
                priority: run.priority,
                deadline: now + span::Span::from_millis(run.remaining.into()),
            },
        );
        match offered.verdict {
            request::Verdict::Run => self.admitted(now, id),
            request::Verdict::Queued => {}
            request::Verdict::Refused {
                reason,
                retry_after,
            } => self.refused(now, id, reason, retry_after),
        }
        self.gated(now, offered.events);
    }

    pub(crate) fn gated(&mut self, now: time::Mono, events: Vec<request::Event>) {
        for event in events {
            match event {
                request::Event::Run(id) => self.admitted(now, id),
                request::Event::Refused {
                    id,
                    reason,
                    retry_after,
                } => {
                    self.refused(now, id, reason, retry_after);
                }
            }
        }
    }

    pub(crate) fn admitted(&mut self, now: time::Mono, id: id::RequestId) {
        let actions = self.ledger.admitted(now, id);
        self.act(now, actions);
    }

    pub(crate) fn refused(
        &mut self,
        now: time::Mono,
        id: id::RequestId,
        reason: request::Reason,
        after: span::Span,
    ) {
        let why = match reason {
            request::Reason::Bound => Refusal::Bound,
            request::Reason::Share => Refusal::Share,
            request::Reason::Deadline => Refusal::Deadline,
            request::Reason::Leaving => Refusal::Leaving,
            request::Reason::Down | request::Reason::Duplicate => Refusal::Down,
        };
        self.parts.metrics.count("admit.refused");
        let actions = self.ledger.refused(now, id, why, Some(after));
        self.act(now, actions);
    }

    pub(crate) fn refuse(
        &mut self,
        now: time::Mono,
        id: id::RequestId,
        link: event::Link,
        why: &Refusal,
        after: Option<span::Span>,
    ) {
        tracing::info!(event = "refuse", request = %id, target = %self.agent.target, reason = %why,
            load = self.admission.load(), cap = self.admission.cap(now), queued = self.admission.queued());
        let mut refused = refusal::to_message(why, after);
        if matches!(
            why,
            Refusal::Bound | Refusal::Share | Refusal::Leaving | Refusal::Down
        ) {
            refused.peers = self.less_loaded(now);
        }
        match (self.links.remove(&link), self.open.get(&id)) {
            (Some(reply), _) => {
                reply.send(Attached::Refused(refused)).ok();
            }
            // Dispatched, but the target did not take it: the reply stream
            // reads the outlet already.
            (None, Some(open)) => open.outlet.finish(Finish::Refused(refused)),
            (None, None) => {}
        }
        if !self.ledger.state(id).is_some_and(|state| state.runs()) {
            self.open.remove(&id);
            self.waiting.remove(&id);
        }
    }

    /// Returns the agents of the service with the most room.
    pub(crate) fn less_loaded(&self, now: time::Mono) -> Vec<String> {
        let mut peers = self
            .parts
            .node
            .exchange
            .members
            .group(now, &self.agent.service);
        peers.retain(|peer| {
            matches!(
                peer.standing,
                member::Standing::Up | member::Standing::Warming
            ) && peer.load < peer.cap
        });
        peers.sort_by_key(|peer| u64::from(peer.load) * 1000 / u64::from(peer.cap.max(1)));
        peers
            .into_iter()
            .take(NAMED_PEERS)
            .map(|peer| peer.process.to_string())
            .collect()
    }
}
