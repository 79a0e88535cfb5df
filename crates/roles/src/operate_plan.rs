//! Orders of operators that create or operate planned changes.
//!
//! The row of the plan and the change that records the order are written in one
//! transaction, so that no plan changes without a record of who ordered it.

use std::collections::BTreeMap;

use base::{fault::Fault, id};
use conf::{
    change::{Change, PlanNote},
    row::Put,
    state::Configuration,
};
use lang::{
    command::{Operate, Order},
    render,
};
use plan::{
    plan::{Condition, Observed, Operation, Plan, Rejection},
    row::{self, FenceRow, Read},
};

use crate::platform::Platform;

/// A plan's row as read: its row version and its content.
pub type Row = (u64, Plan);

/// Why an order is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The table does not answer, or a row is not valid.
    #[error(transparent)]
    Table(#[from] Fault),
    /// The plan rejects it.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The plan exists.
    #[error("plan {0} already exists")]
    Exists(id::PlanId),
    /// The plan does not exist.
    #[error("plan {0} does not exist")]
    Missing(id::PlanId),
    /// The service does not exist.
    #[error("service {0} does not exist")]
    Service(id::ServiceId),
}

/// What an order writes.
#[derive(Debug)]
pub struct Prepared {
    /// The change that records it.
    pub change: Change,
    /// The rows of the plan.
    pub rows: Vec<Put>,
    /// The plan after it.
    pub plan: Plan,
}

/// Reads all plans.
///
/// # Errors
///
/// When the table does not answer or a row is not valid.
pub async fn plans(platform: &Platform) -> Result<Vec<Row>, Fault> {
    let rows = platform.table.scan(row::PLANS).await?;
    rows.iter()
        .map(|row| Ok((row.version.0, row.decode()?)))
        .collect()
}

/// Reads the rows that an order needs and decides what it writes. An order that
/// changes no plan writes its change only.
///
/// # Errors
///
/// Why the order is not accepted.
pub async fn prepare(
    platform: &Platform,
    conf: &Configuration,
    targets: BTreeMap<id::TargetId, Condition>,
    order: &Order,
) -> Result<Option<Prepared>, PlanError> {
    match order {
        Order::Change(_) => Ok(None),
        Order::Plan(request) => {
            // The row of fencing tokens is read first, so that a plan that is
            // created in between makes the transaction fail.
            let fence = fence(platform).await?;
            let others = plans(platform).await?;
            if others.iter().any(|(_, other)| other.id == request.id) {
                return Err(PlanError::Exists(request.id.clone()));
            }
            let service = conf.services().get(&request.service);
            let service = service.ok_or_else(|| PlanError::Service(request.service.clone()))?;
            let observed = Observed {
                targets,
                ..Observed::default()
            };
            let others: Vec<Plan> = others.into_iter().map(|(_, other)| other).collect();
            let plan = request.plan(service.fencing, &observed, &others)?;
            let what = format!(
                "{} at {} keep {}",
                render::kind(&plan.kind),
                names(request.targets.iter()),
                plan.keep
            );
            Ok(Some(Prepared {
                change: note(&plan.id, format!("create, {what}")),
                rows: row::create(&plan, &fence).puts,
                plan,
            }))
        }
        Order::Operate(Operate { plan, operation }) => {
            let key = row::plan_key(plan);
            let read = platform.table.read(&key).await?;
            let read = read.ok_or_else(|| PlanError::Missing(plan.clone()))?;
            let next = read.decode::<Plan>()?.operate(operation)?;
            let update = row::update(read.version.0, &next, None, &Read::default());
            Ok(Some(Prepared {
                change: note(plan, verb(operation)),
                rows: update.puts,
                plan: next,
            }))
        }
    }
}

async fn fence(platform: &Platform) -> Result<Read<FenceRow>, Fault> {
    let read = platform.table.read(row::FENCE_KEY).await?;
    Ok(match read {
        None => Read::default(),
        Some(row) => Read {
            version: Some(row.version.0),
            value: row.decode()?,
        },
    })
}

fn note(plan: &id::PlanId, what: String) -> Change {
    let plan = plan.clone();
    Change::Plan(PlanNote { plan, what })
}

fn verb(operation: &Operation) -> String {
    match operation {
        Operation::Pause => "pause".to_owned(),
        Operation::Resume => "resume".to_owned(),
        Operation::Abort => "abort".to_owned(),
        Operation::Confirm(target) => format!("confirm {target}"),
    }
}

fn names<'a>(targets: impl Iterator<Item = &'a id::TargetId>) -> String {
    let names: Vec<&str> = targets.map(id::TargetId::as_str).collect();
    names.join(",")
}

/// Shows the plan that an order would leave, one line for each target.
pub fn lines(plan: &Plan) -> Vec<String> {
    let mut lines = vec![format!(
        "plan {} {} {} keep {}",
        plan.id,
        plan.state,
        render::kind(&plan.kind),
        plan.keep
    )];
    for (target, progress) in &plan.targets {
        let steps: Vec<String> = progress.steps.iter().map(ToString::to_string).collect();
        let steps = match steps.is_empty() {
            true => "nothing".to_owned(),
            false => steps.join(", "),
        };
        lines.push(format!("wave {} target {target}: {steps}", progress.wave));
    }
    lines
}
