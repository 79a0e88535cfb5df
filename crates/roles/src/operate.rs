//! The service that a router offers to operators.
//!
//! Queries read the router's control state, see [`crate::operate_query`];
//! orders go through [`crate::commit`]. See [the language page](../../../docs/language.md).

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use base::{fault::Fault, id};
use conf::{change::Change, command as accept, difference, row, state, value::KeyHash};
use fleet::member;
use lang::{
    answer::{self, Answer},
    api::{self, Given, Key, Refusal},
    command::{Order, Query},
};
use plan::plan::Condition;
use tarpc::context::Context;
use tokio::sync::{mpsc, oneshot};

use crate::{
    commit::{Commit, CommitError},
    node::{Inspect, Node, Signal},
    operate_plan::{self, PlanError},
    past::{Past, PastError},
    platform::Platform,
    router_core::Event,
    snapshot::Snapshot,
};

/// Attempts of an order about a plan whose row changes meanwhile.
const PLAN_ATTEMPTS: usize = 4;

/// The operators' service of one router.
#[derive(Clone)]
pub struct Operators {
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
    events: mpsc::UnboundedSender<Event>,
    pub(crate) centre: id::DataCentre,
    pub(crate) past: Arc<Past>,
}

impl api::Operator for Operators {
    async fn ask(self, _: Context, key: Key, query: Query) -> Result<Answer, Refusal> {
        let (conf, operator) = self.admit(&key, query.role()).await?;
        self.answer(conf, operator, query).await
    }

    async fn give(self, _: Context, key: Key, given: Given) -> Result<answer::Accepted, Refusal> {
        let (_, operator) = self.admit(&key, given.order.role()).await?;
        let id = given.id;
        let outcome = self.order(&operator.id, given).await;
        match &outcome {
            Ok(accepted) => {
                tracing::info!(event = "order_accepted", command = %id, operator = %operator.id, version = %accepted.version);
            }
            Err(refusal) => {
                tracing::info!(event = "order_refused", command = %id, operator = %operator.id, cause = %refusal);
            }
        }
        outcome
    }

    async fn preview(self, _: Context, key: Key, order: Order) -> Result<answer::Preview, Refusal> {
        let (conf, _) = self.admit(&key, order.role()).await?;
        let base = conf.version();
        if let Order::Change(change) = &order {
            let next = conf.apply(change).map_err(rejected)?;
            let lines = lines(&difference::text(&conf, &next));
            return Ok(answer::Preview { base, lines });
        }
        let platform = self.commit().await?.platform;
        let prepared = self.prepare(&platform, &order).await?;
        let lines = prepared.map_or_else(Vec::new, |prepared| operate_plan::lines(&prepared.plan));
        Ok(answer::Preview { base, lines })
    }
}

impl Operators {
    /// Makes the service; `events` reaches the control thread.
    pub fn new(
        snapshot: Arc<ArcSwap<Snapshot>>,
        events: mpsc::UnboundedSender<Event>,
        centre: id::DataCentre,
    ) -> Self {
        Self {
            snapshot,
            events,
            centre,
            past: Arc::default(),
        }
    }

    /// Reads the common state on the control thread, so that an answer has
    /// what was accepted before the question.
    pub(crate) async fn inspect<T: Send + 'static>(
        &self,
        look: impl FnOnce(&Node) -> T + Send + 'static,
    ) -> Result<T, Refusal> {
        self.control(|reply| {
            let inspect = Inspect::new(move |node| {
                reply.send(look(node)).ok();
            });
            Event::Node(Signal::Inspect(inspect))
        })
        .await
    }

    async fn control<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> Event,
    ) -> Result<T, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.events.send(event(reply)).ok();
        answer
            .await
            .map_err(|_| Refusal::Unavailable(CommitError::Stopping.to_string()))
    }

    /// Identifies the operator and checks the role.
    async fn admit(
        &self,
        key: &Key,
        role: state::Role,
    ) -> Result<(Arc<state::Configuration>, Arc<state::Operator>), Refusal> {
        if !self.snapshot.load().ready {
            let reason = "this router does not know the configuration yet; try another one";
            return Err(Refusal::Unavailable(reason.to_owned()));
        }
        let conf = self.inspect(|node| node.conf().clone()).await?;
        let hash = KeyHash::of(&key.0);
        let operator = conf.operator_of(&hash).cloned().ok_or(Refusal::Key)?;
        if !operator.may(role) {
            return Err(Refusal::Role {
                operator: operator.id.clone(),
                role,
            });
        }
        Ok((conf, operator))
    }

    pub(crate) async fn commit(&self) -> Result<Commit, Refusal> {
        self.inspect(Node::commit).await
    }

    async fn order(&self, who: &id::OperatorId, given: Given) -> Result<answer::Accepted, Refusal> {
        if given.why.len() > api::MAX_WHY {
            let most = api::MAX_WHY;
            return Err(Refusal::Rejected(format!(
                "a reason has at most {most} bytes"
            )));
        }
        let commit = self.commit().await?;
        match &given.order {
            Order::Change(change) => self.commit_change(&commit, who, &given, change).await,
            _ => self.commit_plan(&commit, who, &given).await,
        }
    }

    /// Commits an order about a plan. When a plan changes meanwhile, such as when
    /// a process advances it, the order is prepared again.
    async fn commit_plan(
        &self,
        commit: &Commit,
        who: &id::OperatorId,
        given: &Given,
    ) -> Result<answer::Accepted, Refusal> {
        if let Some(version) = accepted(commit, given.id).await? {
            return Ok(answer::Accepted { version });
        }
        for _ in 0..PLAN_ATTEMPTS {
            let Some(prepared) = self.prepare(&commit.platform, &given.order).await? else {
                break;
            };
            let command = record(who, given, prepared.change.clone());
            let outcome = commit.run_with(command, given.base, &prepared.rows).await;
            if matches!(outcome, Err(CommitError::Changed(_))) {
                continue;
            }
            let version = self.version(commit, outcome).await?;
            self.same(given.id, prepared.change).await?;
            return Ok(answer::Accepted { version });
        }
        let reason = "the plan changes all the time; try again shortly";
        Err(Refusal::Unavailable(reason.to_owned()))
    }

    async fn prepare(
        &self,
        platform: &Platform,
        order: &Order,
    ) -> Result<Option<operate_plan::Prepared>, Refusal> {
        let service = match order {
            Order::Plan(request) => Some(request.service.clone()),
            _ => None,
        };
        let (conf, targets) = self
            .inspect(move |node| {
                let rows = node.exchange.members.targets(node.clock.now());
                let own = rows.into_iter().filter(|row| row.member.service == service);
                let targets: BTreeMap<_, _> = own
                    .filter_map(|row| Some((row.member.target?, condition(row.standing))))
                    .collect();
                (node.conf().clone(), targets)
            })
            .await?;
        operate_plan::prepare(platform, &conf, targets, order)
            .await
            .map_err(|error| match error {
                PlanError::Table(fault) => unread(fault),
                other => Refusal::Rejected(other.to_string()),
            })
    }

    async fn commit_change(
        &self,
        commit: &Commit,
        who: &id::OperatorId,
        given: &Given,
        change: &Change,
    ) -> Result<answer::Accepted, Refusal> {
        if let Change::LiftQuarantine(content) = change {
            self.quarantined(commit, given.id, *content).await?;
        }
        let command = record(who, given, change.clone());
        let outcome = commit.run(command, given.base).await;
        let version = self.version(commit, outcome).await?;
        if let Change::LiftQuarantine(content) = change {
            self.events.send(Event::Lift(*content)).ok();
        }
        self.same(given.id, change.clone()).await?;
        Ok(answer::Accepted { version })
    }

    /// Returns the version of a committed command, or makes the report for the
    /// operator.
    async fn version(
        &self,
        commit: &Commit,
        outcome: Result<id::Version, CommitError>,
    ) -> Result<id::Version, Refusal> {
        match outcome {
            Ok(version) => Ok(version),
            Err(CommitError::Overtaken { base, head }) => {
                Err(self.overtaken(commit, base, head).await?)
            }
            Err(error) => Err(refusal(error)),
        }
    }

    /// Checks that this router knows crashes that count against a content,
    /// unless an earlier attempt of the command has lifted it.
    async fn quarantined(
        &self,
        commit: &Commit,
        command: id::CommandId,
        content: id::Fingerprint,
    ) -> Result<(), Refusal> {
        let suspects = self.quarantine().await?;
        if suspects.iter().any(|entry| entry.fingerprint == content) {
            return Ok(());
        }
        match accepted(commit, command).await? {
            Some(_) => Ok(()),
            None => {
                let reason = format!("content {content} is not in quarantine");
                Err(Refusal::Rejected(reason))
            }
        }
    }

    /// Makes the report for an operator who has seen `base` while the head is
    /// another version.
    async fn overtaken(
        &self,
        commit: &Commit,
        base: id::Version,
        head: id::Version,
    ) -> Result<Refusal, Refusal> {
        if base > head {
            let reason = format!("version {base} does not exist; the newest is {head}");
            return Err(Refusal::Rejected(reason));
        }
        let mut winners = commit.platform.changes(base).await.map_err(unread)?;
        winners.retain(|row| row.version <= head);
        let platform = &commit.platform;
        let old = self.past.at(platform, base).await.map_err(lost)?;
        let new = self.past.at(platform, head).await.map_err(lost)?;
        Ok(Refusal::Conflict(api::Conflict {
            winners: winners.iter().map(|row| row.as_ref().clone()).collect(),
            differences: lines(&difference::text(&old, &new)),
        }))
    }

    /// Checks that an accepted command id stands for this change and not for
    /// another one.
    async fn same(&self, id: id::CommandId, change: Change) -> Result<(), Refusal> {
        let other = self
            .inspect(move |node| {
                let found = node.history.rows().find(|row| row.command.id == id);
                found.filter(|row| row.command.change != change).cloned()
            })
            .await?;
        match other {
            None => Ok(()),
            Some(row) => Err(Refusal::Rejected(format!(
                "command {id} was used for another order, which is version {}",
                row.version
            ))),
        }
    }
}

/// Makes the command that is recorded for an order.
fn record(who: &id::OperatorId, given: &Given, change: Change) -> row::Command {
    row::Command {
        id: given.id,
        who: who.clone(),
        why: given.why.clone(),
        when: now(),
        change,
    }
}

/// Returns the version at which a command was accepted before.
async fn accepted(commit: &Commit, command: id::CommandId) -> Result<Option<id::Version>, Refusal> {
    let key = row::command_key(command);
    let Some(found) = commit.platform.row(&key).await.map_err(unread)? else {
        return Ok(None);
    };
    let recorded: row::CommandRow = found
        .read(&key)
        .map_err(|cause| Refusal::Unavailable(cause.to_string()))?;
    Ok(Some(recorded.version))
}

fn condition(standing: member::Standing) -> Condition {
    match standing {
        member::Standing::Up => Condition::Up,
        _ => Condition::Other,
    }
}

pub(crate) fn lines(text: &str) -> Vec<String> {
    text.lines().map(str::to_owned).collect()
}

fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

fn rejected(cause: conf::change::Rejection) -> Refusal {
    Refusal::Rejected(cause.to_string())
}

pub(crate) fn unread(fault: Fault) -> Refusal {
    Refusal::Unavailable(format!("the table does not answer: {fault}"))
}

pub(crate) fn lost(error: PastError) -> Refusal {
    match error {
        PastError::Table(fault) => unread(fault),
        other => Refusal::Unavailable(other.to_string()),
    }
}

fn refusal(error: CommitError) -> Refusal {
    match error {
        CommitError::Refused(accept::Refusal::Rejected(cause)) => rejected(cause),
        CommitError::Conflict(conflict) => Refusal::Conflict(api::Conflict {
            winners: conflict
                .winners
                .iter()
                .map(|row| row.as_ref().clone())
                .collect(),
            differences: lines(&conflict.differences),
        }),
        CommitError::Undecided(id) => Refusal::Undecided(id),
        error => Refusal::Unavailable(error.to_string()),
    }
}
