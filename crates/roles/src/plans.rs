//! Planned changes for operators: create, operate and list them.
//!
//! The decisions are those of [`plan::plan`]; this module reads and writes the
//! rows. A lost reply is resolved by reading the row back. The task that carries
//! plans out is in [`crate::plan_runner`].
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use base::{
    fault::{At, Fault},
    id,
};
use conf::{row as rows, state};
use fleet::member;
use plan::{
    plan::{Condition, Observed, Operation, Plan, Rejection, Request, Stage, State},
    row::{self, FenceRow, Read},
    weights::Slots,
};
use rand::RngExt as _;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    node::{Inspect, Node, Signal},
    platform::Platform,
};

/// Attempts of one operation; a conflict or a lost reply takes one.
const ATTEMPTS: usize = 6;

/// Mean pause between two attempts. It is random, so that processes that
/// conflicted do not write together again.
const PAUSE: Duration = Duration::from_millis(100);

/// Why an operation on plans did not take effect, or may not have.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The plan does not allow it.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// Another plan has the id.
    #[error("plan {0} exists already")]
    Exists(id::PlanId),
    /// No plan has the id.
    #[error("plan {0} does not exist")]
    Absent(id::PlanId),
    /// The configuration has no such service.
    #[error("service {0} does not exist")]
    Service(id::ServiceId),
    /// The table failed before the operation was sent; it has no effect.
    #[error("the table does not answer; nothing was changed: {0}")]
    Table(#[from] Fault),
    /// Other processes changed the row at each attempt; it has no effect.
    #[error("plan {0} was changed by other processes at each of {ATTEMPTS} attempts")]
    Contended(id::PlanId),
    /// The operation was sent, but its reply was lost and it could not be read
    /// back.
    #[error("the table's reply was lost; the change of plan {0} may have taken effect")]
    Unknown(id::PlanId),
    /// The process is stopping.
    #[error("the process is stopping")]
    Stopping,
}

/// An agent as it is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Post {
    /// Whether the target takes new work.
    pub condition: Condition,
    /// Address of the agent for other processes.
    pub address: SocketAddr,
}

/// What this process knows of the fleet, as far as plans depend on it.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    /// Limits of weight loads.
    pub fleet: state::Fleet,
    /// Services, and whether their targets check fencing tokens.
    pub fencing: BTreeMap<id::ServiceId, bool>,
    /// Targets of each service.
    pub targets: BTreeMap<id::ServiceId, BTreeMap<id::TargetId, Post>>,
    /// Services with an agent that the instance list names and whose target is
    /// not known yet.
    pub unnamed: BTreeSet<id::ServiceId>,
    /// Routers that report.
    pub routers: Vec<id::ProcessId>,
}

impl Sight {
    /// Takes it from the state of the control thread.
    pub fn of(node: &Node) -> Self {
        let conf = node.conf();
        let services = conf.services().iter();
        let mut sight = Self {
            fleet: conf.fleet().as_ref().clone(),
            fencing: services
                .map(|(id, service)| (id.clone(), service.fencing))
                .collect(),
            ..Self::default()
        };
        for row in node.exchange.members.rows(node.clock.now()) {
            sight.add(row);
        }
        sight
    }

    fn add(&mut self, row: member::Row) {
        let silent = matches!(
            row.standing,
            member::Standing::Listed | member::Standing::Down
        );
        let member = row.member;
        if member.role == member::Role::Router && !silent {
            self.routers.push(member.process);
            return;
        }
        let Some(service) = member.service else {
            return;
        };
        let Some(target) = member.target else {
            self.unnamed.insert(service);
            return;
        };
        let post = Post {
            condition: match row.standing {
                member::Standing::Up => Condition::Up,
                _ => Condition::Other,
            },
            address: member.address,
        };
        self.targets
            .entry(service)
            .or_default()
            .insert(target, post);
    }

    /// Asks the control thread for it.
    ///
    /// # Errors
    ///
    /// When the process is stopping.
    pub async fn ask(signals: &mpsc::UnboundedSender<Signal>) -> Result<Self, PlanError> {
        let (reply, answer) = oneshot::channel();
        let look = Inspect::new(|node| {
            reply.send(Self::of(node)).ok();
        });
        signals.send(Signal::Inspect(look)).ok();
        answer.await.map_err(|_| PlanError::Stopping)
    }

    /// Returns the conditions of a service's targets.
    pub fn conditions(&self, service: &id::ServiceId) -> BTreeMap<id::TargetId, Condition> {
        let posts = self.targets.get(service).into_iter().flatten();
        posts
            .map(|(target, post)| (target.clone(), post.condition))
            .collect()
    }
}

/// A plan with the version of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Version of the row, for conditions.
    pub row: u64,
    /// The plan.
    pub plan: Plan,
}

/// The rows of all plans as read together.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The row of fencing tokens, which is read before all others.
    pub fence: Read<FenceRow>,
    /// The plans.
    pub plans: BTreeMap<id::PlanId, Stored>,
    /// Ids of all rows, those that are not valid included.
    pub listed: Vec<id::PlanId>,
}

impl Rows {
    /// Reads the rows. A row that is not valid is logged and left out.
    ///
    /// # Errors
    ///
    /// When the table does not answer or the row of fencing tokens is not valid.
    pub async fn read(platform: &Platform) -> Result<Self, Fault> {
        let fence = read(platform, row::FENCE_KEY).await?;
        let scanned = platform.table.scan(row::PLANS).await?;
        let mut rows = Self {
            fence,
            ..Self::default()
        };
        for row in scanned {
            let id = row.key.strip_prefix(row::PLANS).map(str::parse);
            let Some(Ok(id)) = id else {
                tracing::error!(event = "plan_invalid", key = row.key);
                continue;
            };
            rows.listed.push(id);
            match row.decode::<Plan>() {
                Ok(plan) => rows.add(row.version.0, plan),
                Err(cause) => tracing::error!(event = "plan_invalid", %cause),
            }
        }
        Ok(rows)
    }

    fn add(&mut self, row: u64, plan: Plan) {
        self.plans.insert(plan.id.clone(), Stored { row, plan });
    }

    /// Returns what is observed for a plan.
    pub fn observed(&self, plan: &Plan, sight: &Sight, slots: &Slots, pace: bool) -> Observed {
        let others = self.plans.values().filter(|other| other.plan.id != plan.id);
        let out = others.flat_map(|other| {
            let targets = other.plan.targets.keys();
            targets
                .filter(|target| other.plan.excludes(target))
                .cloned()
        });
        Observed {
            targets: sight.conditions(&plan.service),
            excluded: out.collect(),
            last_fence: self.fence.value.last,
            slots: slots.clone(),
            max_loads: sight.fleet.weight_loads,
            rate_allows: pace,
        }
    }
}

/// Reads a row that has a default content.
pub(crate) async fn read<T: serde::de::DeserializeOwned + Default>(
    platform: &Platform,
    key: &'static str,
) -> Result<Read<T>, Fault> {
    let row = platform.row(key).await?;
    row::read(key, row.as_ref()).at("read row", key)
}

/// Creates a plan.
///
/// # Errors
///
/// When the plan is not accepted or the table does not answer.
pub async fn create(
    platform: &Platform,
    sight: &Sight,
    request: &Request,
) -> Result<Plan, PlanError> {
    let fencing = sight.fencing.get(&request.service);
    let fencing = *fencing.ok_or_else(|| PlanError::Service(request.service.clone()))?;
    let mut lost = false;
    for _ in 0..ATTEMPTS {
        let rows = match Rows::read(platform).await {
            Err(_) if lost => return Err(PlanError::Unknown(request.id.clone())),
            rows => rows?,
        };
        if let Some(found) = rows.plans.get(&request.id) {
            return match lost && made_of(&found.plan, request) {
                true => Ok(accepted(platform, found.plan.clone())),
                false => Err(PlanError::Exists(request.id.clone())),
            };
        }
        let observed = Observed {
            targets: sight.conditions(&request.service),
            ..Observed::default()
        };
        let others: Vec<Plan> = rows.plans.values().map(|s| s.plan.clone()).collect();
        let plan = request.plan(fencing, &observed, &others)?;
        match platform.commit(&row::create(&plan, &rows.fence)).await {
            rows::Reply::Committed(_) => return Ok(accepted(platform, plan)),
            rows::Reply::Failed { .. } => {}
            rows::Reply::Lost => lost = true,
        }
        pause().await;
    }
    Err(given_up(lost, &request.id))
}

fn given_up(lost: bool, plan: &id::PlanId) -> PlanError {
    match lost {
        true => PlanError::Unknown(plan.clone()),
        false => PlanError::Contended(plan.clone()),
    }
}

/// Tells whether a plan was made of a request, after the reply to its creation
/// was lost. It may have advanced since.
fn made_of(plan: &Plan, request: &Request) -> bool {
    let named: BTreeSet<&id::TargetId> = request.targets.iter().collect();
    let has: BTreeSet<&id::TargetId> = plan.targets.keys().collect();
    (&plan.service, &plan.kind, plan.keep) == (&request.service, &request.kind, request.keep)
        && has == named
}

/// Logs a change that an operator made and makes this process act on it at once.
fn accepted(platform: &Platform, plan: Plan) -> Plan {
    tracing::info!(event = "plan_operated", plan = %plan.id, version = plan.version,
        state = %plan.state, reason = plan.reason);
    platform.plans.notify_one();
    plan
}

/// Applies an operation to a plan.
///
/// # Errors
///
/// When the operation does not fit the plan's state or the table does not
/// answer.
pub async fn operate(
    platform: &Platform,
    id: &id::PlanId,
    operation: &Operation,
) -> Result<Plan, PlanError> {
    let key = row::plan_key(id);
    let mut lost = false;
    for _ in 0..ATTEMPTS {
        let found = match platform.row(&key).await {
            Err(_) if lost => return Err(PlanError::Unknown(id.clone())),
            found => found?,
        };
        let found = found.ok_or_else(|| PlanError::Absent(id.clone()))?;
        let present: Plan = found.read(&key).at("read row", &key)?;
        if lost && shows(&present, operation) {
            return Ok(accepted(platform, present));
        }
        let next = present.operate(operation)?;
        let transaction = row::update(found.version, &next, None, &Read::default());
        match platform.commit(&transaction).await {
            rows::Reply::Committed(_) => return Ok(accepted(platform, next)),
            rows::Reply::Failed { .. } => {}
            rows::Reply::Lost => lost = true,
        }
        pause().await;
    }
    Err(given_up(lost, id))
}

/// Tells whether a plan is as an operation leaves it, after the reply to the
/// operation was lost.
fn shows(plan: &Plan, operation: &Operation) -> bool {
    match operation {
        Operation::Pause => plan.state == State::Paused,
        Operation::Resume => plan.state != State::Paused,
        Operation::Abort => matches!(plan.state, State::Aborting | State::Aborted),
        Operation::Confirm(target) => {
            let progress = plan.targets.get(target);
            progress.is_some_and(|progress| {
                !matches!(progress.stage, Stage::Unsettled(_)) && progress.unknown.is_empty()
            })
        }
    }
}

/// A plan as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The plan with its state and the reason of its last change.
    pub plan: Plan,
    /// What each target of the present wave waits for.
    pub waits: BTreeMap<id::TargetId, String>,
}

/// Lists all plans in order of id.
///
/// # Errors
///
/// When the table does not answer.
pub async fn list(platform: &Platform, sight: &Sight) -> Result<Vec<Listed>, PlanError> {
    let rows = Rows::read(platform).await?;
    let slots: Read<Slots> = read(platform, row::SLOTS_KEY).await?;
    let listed = rows.plans.values().map(|stored| {
        let plan = stored.plan.clone();
        // Only the runner that starts loads knows whether their rate allows one.
        let observed = rows.observed(&plan, sight, &slots.value, true);
        let waits = plan.wait_reasons(&observed);
        Listed { plan, waits }
    });
    Ok(listed.collect())
}

async fn pause() {
    let share = rand::rng().random_range(0.5..1.5);
    time::sleep(PAUSE.mul_f64(share)).await;
}
