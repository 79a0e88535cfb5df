//! What an agent does for plans: it keeps its target out of service, and it
//! carries out one step at a time and reports how it ended.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base::{id, span, time};
use bytes::Bytes;
use http::StatusCode;
use plan::{
    order::{self, Decision, Order, Outcome},
    plan::{Action, Artifact, Plan},
};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{agent_core::Event, failure::Failure, metrics::Metrics, target::Target};

/// Interval at which a drain looks for requests in flight.
const DRAIN_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of the log lines of a drain that waits.
const DRAIN_LOG: span::Span = span::Span::from_secs(10);

/// Pause before an order that could not be sent is sent again.
const SEND_PAUSE: Duration = Duration::from_millis(500);

/// Attempts to connect to the target for one order, about a minute.
const SEND_ATTEMPTS: usize = 120;

/// The body of an order to an engine, see section 3.1 of the design page.
#[derive(Debug, Default, Serialize)]
struct Body<'a> {
    order: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
}

impl<'a> Body<'a> {
    fn weights(order: &'static str, artifact: &'a Artifact) -> Self {
        Self {
            order,
            model: Some(artifact.model.as_str()),
            adapter: artifact.adapter.as_ref().map(|adapter| adapter.as_str()),
            version: artifact.version.as_ref().map(|version| version.as_str()),
            role: None,
        }
    }

    /// Returns the order for an engine; none for a step of the agent itself.
    fn of(action: &'a Action) -> Option<Self> {
        match action {
            Action::Load(artifact) => Some(Self::weights("load", artifact)),
            Action::Unload(artifact) => Some(Self::weights("unload", artifact)),
            Action::Role(role) => Some(Self {
                order: "role",
                role: Some(role.as_str()),
                ..Self::default()
            }),
            Action::Drain | Action::Reopen | Action::AwaitUp(_) => None,
        }
    }
}

/// What carries out a step; cloned into the task of the step.
#[derive(Clone)]
pub struct Hands {
    /// The target.
    pub target: id::TargetId,
    /// Run of this agent.
    pub incarnation: id::Incarnation,
    /// Accepts orders; none for a target without orders.
    pub orders: Option<Target>,
    /// Reaches the agent's control state.
    pub events: mpsc::UnboundedSender<Event>,
    /// The agent's clock.
    pub clock: time::Clock,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Set while an order to the target is under way or not reported; the
    /// process shall not end then, because the outcome would be unknown.
    pub ordering: Arc<AtomicBool>,
    /// Cancelled when the process is to stop; no more steps are begun.
    pub stop: CancellationToken,
}

/// The steps of one target.
pub struct Desk {
    hands: Hands,
    /// Newest fencing token that was carried out or is being carried out.
    carried: id::Fence,
    /// The step under way and, once it has ended, how it ended.
    present: Option<(Order, Option<Outcome>)>,
    done: mpsc::UnboundedSender<Outcome>,
    ended: mpsc::UnboundedReceiver<Outcome>,
}

impl Desk {
    /// Has nothing to do at first.
    pub fn new(hands: Hands) -> Self {
        let (done, ended) = mpsc::unbounded_channel();
        Self {
            hands,
            carried: id::Fence::default(),
            present: None,
            done,
            ended,
        }
    }

    /// Returns the target.
    pub fn target(&self) -> &id::TargetId {
        &self.hands.target
    }

    /// Tells the agent whether a plan keeps its target out of service.
    pub fn hold(&self, held: bool) {
        let (reply, _) = oneshot::channel();
        self.hands.events.send(Event::Hold(Some(held), reply)).ok();
    }

    /// Waits until the step under way has ended.
    pub async fn finished(&mut self) {
        let outcome = self.ended.recv().await;
        if let Some((_, ended)) = &mut self.present {
            *ended = outcome;
        }
    }

    /// Decides what to do about a plan, as its row was just read: report the step
    /// that has ended, or take or carry out another one.
    pub fn duty(&mut self, plan: &Plan, last: id::Fence) -> Decision {
        let run = self.hands.incarnation;
        match &self.present {
            None if self.hands.stop.is_cancelled() => Decision::Nothing,
            None => order::decide(plan, &self.hands.target, run, self.carried, last),
            Some((order, Some(outcome))) if order.plan == plan.id => {
                let duty = order::report(plan, order, run, outcome, last);
                if duty == Decision::Nothing {
                    self.present = None;
                    self.hands.ordering.store(false, Ordering::Relaxed);
                    return self.duty(plan, last);
                }
                duty
            }
            Some(_) => Decision::Nothing,
        }
    }

    /// Begins to carry out a step.
    pub fn carry(&mut self, order: Order) {
        self.carried = order.fence;
        let ordering = order.action.is_engine_order();
        self.hands.ordering.store(ordering, Ordering::Relaxed);
        let (hands, done) = (self.hands.clone(), self.done.clone());
        self.present = Some((order.clone(), None));
        tokio::spawn(async move {
            let outcome = hands.carry(&order).await;
            done.send(outcome).ok();
        });
    }
}

impl Hands {
    async fn carry(&self, order: &Order) -> Outcome {
        let (plan, step) = (&order.plan, &order.action);
        tracing::info!(event = "plan_step", %plan, target = %self.target, %step,
            fence = order.fence.0, stage = "begun", reason = "the row says that this agent took it");
        let outcome = match Body::of(step) {
            Some(body) => {
                // A new run of the agent may have served while the table was down.
                self.drain(order).await;
                self.give(order, &body).await
            }
            None if *step == Action::Drain => self.drain(order).await,
            None => Outcome::Done,
        };
        let (name, reason) = match &outcome {
            Outcome::Done => ("done", ""),
            Outcome::Failed(cause) => ("failed", cause.as_str()),
            Outcome::Unknown(cause) => ("unknown", cause.as_str()),
        };
        tracing::info!(event = "plan_step", %plan, target = %self.target, %step,
            fence = order.fence.0, stage = name, reason);
        self.metrics.count(&format!("plan.step.{name}"));
        outcome
    }

    /// Waits until the agent takes no new work and has none in flight.
    async fn drain(&self, order: &Order) -> Outcome {
        let mut logged = self.clock.now();
        loop {
            let (reply, idle) = oneshot::channel();
            self.events.send(Event::Hold(None, reply)).ok();
            if idle.await.unwrap_or(false) {
                return Outcome::Done;
            }
            let now = self.clock.now();
            if now.since(logged) >= DRAIN_LOG {
                logged = now;
                tracing::info!(event = "plan_step", plan = %order.plan, target = %self.target,
                    step = "drain", fence = order.fence.0, stage = "waiting",
                    reason = "requests are in flight");
            }
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
    }

    /// Gives an order to the target. An order that could not be sent is sent
    /// again; after any other failure the outcome is not known.
    async fn give(&self, order: &Order, body: &Body<'_>) -> Outcome {
        let Some(target) = &self.orders else {
            return Outcome::Failed("the settings name no address for orders".to_owned());
        };
        let body = match serde_json::to_vec(body) {
            Ok(body) => Bytes::from(body),
            Err(cause) => return Outcome::Failed(format!("the order cannot be written: {cause}")),
        };
        let mut unsent = None;
        for _ in 0..SEND_ATTEMPTS {
            match target.order(order.fence, body.clone()).await {
                Ok(status) => return read(status),
                Err(Failure::Broken(fault)) => return Outcome::Unknown(fault.to_string()),
                Err(Failure::NotSent(fault)) => unsent = Some(fault),
            }
            tokio::time::sleep(SEND_PAUSE).await;
        }
        let cause = unsent.map_or_else(String::new, |fault| fault.to_string());
        Outcome::Failed(format!("the target cannot be reached: {cause}"))
    }
}

/// Reads the target's reply. The target itself replies, so that an error means
/// that it has not carried the order out.
fn read(status: StatusCode) -> Outcome {
    match status {
        status if status.is_success() => Outcome::Done,
        StatusCode::CONFLICT => {
            Outcome::Failed("the target has seen a newer fencing token".to_owned())
        }
        status => Outcome::Failed(format!("the target replied with status {status}")),
    }
}
