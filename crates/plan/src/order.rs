//! What a target's agent does for a plan: it takes a step, executes it and reports
//! the outcome.
//!
//! Before it acts, the agent records in the plan's row that it has taken the step.
//! No process opens another step for the target until the agent has reported. An
//! agent that is paused between the write and the action therefore still executes
//! the newest order.
//!
//! Only one agent process runs beside a target at a time, so an older run of the
//! agent sends no more orders, but one that it sent may still be in transit. A
//! target that checks fencing tokens rejects that order once it has received a
//! newer token. For a target that ignores tokens, the step becomes unsettled: no
//! further order is sent until an operator confirms that none is executing.
//!
//! A target that checks tokens may still execute an older and a newer order
//! concurrently if the older one arrived first. A load is therefore not retried
//! immediately: the retry waits for its own slot and for the load rate, and the
//! earlier order keeps its slot.

use base::id;

use crate::plan::{Action, Plan, Stage, State, Taken};

/// A step for an agent to execute.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// The plan that the step belongs to.
    pub plan: id::PlanId,
    /// The target of the order.
    pub target: id::TargetId,
    /// The fencing token of the order.
    pub fence: id::Fence,
    /// The step to execute.
    pub action: Action,
}

/// The agent's next action on a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// No action.
    Nothing,
    /// Write the plan's row by compare-and-set, and in the same transaction the
    /// row of fencing tokens if `fence` is set. The agent must read the row again
    /// before it does anything else.
    Write {
        /// The new content of the row.
        plan: Box<Plan>,
        /// The fencing token to record as the last one issued.
        fence: Option<id::Fence>,
    },
    /// Execute the order exactly once and report the outcome.
    Execute(Order),
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The order was executed.
    Done,
    /// The order was not executed and will not be; contains the cause.
    Failed(String),
    /// The order may have been executed or may still be; contains the cause.
    Unknown(String),
}

/// Returns the target's order that is open or that its agent has taken, if any.
pub fn current(plan: &Plan, target: &id::TargetId) -> Option<Order> {
    let progress = plan.targets.get(target)?;
    let fence = match progress.stage {
        Stage::Open(fence) => fence,
        Stage::Taken(taken) => taken.fence,
        Stage::Waiting | Stage::Unsettled(_) | Stage::Failed(_) => return None,
    };
    Some(Order {
        plan: plan.id.clone(),
        target: target.clone(),
        fence,
        action: progress.step()?.clone(),
    })
}

/// Decides the next action of a run of the target's agent from a fresh read of the
/// plan's row.
///
/// `started` is the newest fencing token whose order this run has started to
/// execute; `last` is the last token that was issued.
pub fn decide(
    plan: &Plan,
    target: &id::TargetId,
    incarnation: id::Incarnation,
    started: id::Fence,
    last: id::Fence,
) -> Decision {
    let Some(order) = current(plan, target) else {
        return Decision::Nothing;
    };
    match plan.targets[target].stage {
        Stage::Open(fence) => write(
            plan,
            target,
            Stage::Taken(Taken { fence, incarnation }),
            None,
        ),
        Stage::Taken(taken) if taken.incarnation == incarnation => match taken.fence > started {
            true => Decision::Execute(order),
            false => Decision::Nothing,
        },
        Stage::Taken(taken) if taken.incarnation > incarnation => Decision::Nothing,
        Stage::Taken(taken) => take_over(plan, &order, taken, incarnation, last),
        _ => Decision::Nothing,
    }
}

/// Continues a step that an older run of the agent had taken. A step that the
/// agent itself executes, without the engine, is executed again.
fn take_over(
    plan: &Plan,
    order: &Order,
    taken: Taken,
    incarnation: id::Incarnation,
    last: id::Fence,
) -> Decision {
    if order.action.is_engine_order() && !plan.fencing {
        return write(plan, &order.target, Stage::Unsettled(taken.fence), None);
    }
    if matches!(order.action, Action::Load(_)) {
        let mut next = plan.clone();
        next.version += 1;
        next.retry_load(&order.target, taken.fence);
        next.reason = format!(
            "target {}: its agent restarted while token {} was under way; {} will be ordered again",
            order.target, taken.fence, order.action
        );
        return Decision::Write {
            plan: Box::new(next),
            fence: None,
        };
    }
    let fence = last.next();
    let stage = Stage::Taken(Taken { fence, incarnation });
    write(plan, &order.target, stage, Some(fence))
}

fn write(plan: &Plan, target: &id::TargetId, stage: Stage, fence: Option<id::Fence>) -> Decision {
    let mut next = plan.clone();
    next.version += 1;
    next.reason = match &stage {
        Stage::Unsettled(fence) => format!(
            "target {target}: its agent restarted while token {fence} was under way, and the target ignores tokens"
        ),
        _ => format!("target {target}: its agent has taken the step"),
    };
    next.set_stage(target, stage);
    Decision::Write {
        plan: Box::new(next),
        fence,
    }
}

/// Returns the write that records the outcome of an order, or
/// [`Decision::Nothing`] if the outcome is already recorded.
///
/// A failure pauses a running plan, so that an operator decides how to continue.
/// An unknown outcome is not a failure: the engine may still be loading, so the
/// order keeps its slot. If the target checks fencing tokens, the order is sent
/// again with a newer token; a load first needs another slot. If the target
/// ignores tokens, the step becomes unsettled.
pub fn report(
    plan: &Plan,
    order: &Order,
    incarnation: id::Incarnation,
    outcome: &Outcome,
    last: id::Fence,
) -> Decision {
    let fence = order.fence;
    let taken = Stage::Taken(Taken { fence, incarnation });
    let current = plan.targets.get(&order.target);
    if current.is_none_or(|progress| progress.stage != taken) {
        return Decision::Nothing;
    }
    let (target, action) = (&order.target, &order.action);
    let mut next = plan.clone();
    next.version += 1;
    let mut issued = None;
    match outcome {
        Outcome::Done => {
            next.record_outcome(target, None);
            next.reason = format!("target {target}: {action} is done");
        }
        Outcome::Failed(cause) => {
            next.record_outcome(target, Some(cause.clone()));
            next.reason = format!("target {target}: {action} failed: {cause}");
            if next.state == State::Running {
                next.state = State::Paused;
            }
        }
        Outcome::Unknown(cause) if plan.fencing && matches!(action, Action::Load(_)) => {
            next.retry_load(target, fence);
            next.reason = format!("target {target}: the outcome of {action} is unknown: {cause}");
        }
        Outcome::Unknown(cause) => {
            let retry = Taken {
                fence: last.next(),
                incarnation,
            };
            let safe = plan.fencing || !action.is_engine_order();
            issued = safe.then_some(retry.fence);
            let stage = match safe {
                true => Stage::Taken(retry),
                false => Stage::Unsettled(fence),
            };
            next.set_stage(target, stage);
            next.reason = format!("target {target}: the outcome of {action} is unknown: {cause}");
        }
    }
    Decision::Write {
        plan: Box::new(next),
        fence: issued,
    }
}
