//! What a target's own agent does with a plan: it takes a step, carries it out
//! and reports the outcome.
//!
//! The agent writes that it has taken a step before it acts, and nobody opens
//! another step for the target until the agent has reported. An agent that was
//! paused between its write and its act therefore still acts on the newest order.
//! The slot beside a target holds one process at a time, so that an older run of
//! the agent gives no orders; but an order that it gave may still be on its way.
//! A target that checks fencing tokens rejects that order once it has seen a
//! newer token. For a target that ignores them, the step becomes unsettled, and
//! no other order is issued until an operator confirms that nothing is under way.
//!
//! A target that checks tokens may carry out an older order and a newer one at
//! once, when the older one came first. Therefore a load is not ordered again at
//! once: its step waits for a slot and a start of its own, and the earlier order
//! keeps its slot.

use base::id;

use crate::plan::{Action, Plan, Stage, State, Taken};

/// A step for an agent to carry out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// The plan.
    pub plan: id::PlanId,
    /// The target.
    pub target: id::TargetId,
    /// The fencing token.
    pub fence: id::Fence,
    /// What to do.
    pub action: Action,
}

/// What the agent does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing.
    Nothing,
    /// Write this row by compare-and-set, together with the row of fencing
    /// tokens when `fence` is set. Read the row again before anything else.
    Write {
        /// The next row.
        plan: Box<Plan>,
        /// The fencing token to record as issued out.
        fence: Option<id::Fence>,
    },
    /// Carry the order out, once, and report the outcome.
    Execute(Order),
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was started out.
    Done,
    /// It was not started out and will not be.
    Failed(String),
    /// It may have been started out, or may still be.
    Unknown(String),
}

/// Returns the order that is open for a target, or that its agent has taken.
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

/// Decides what a run of the target's agent does, from the row as just read.
///
/// `started` is the newest fencing token that this run has started out or is
/// carrying out; `last` is the last token that was issued out.
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

/// Goes on after an older run of the agent. A step that the agent itself carries
/// out is simply done again.
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
            "target {}: its agent restarted while token {} was under way; {} is to be ordered again",
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
            "target {target}: its agent restarted while token {fence} was under way, and it ignores tokens"
        ),
        _ => format!("target {target}: its agent has taken the step"),
    };
    next.set_stage(target, stage);
    Decision::Write {
        plan: Box::new(next),
        fence,
    }
}

/// Returns what to write in order to record the outcome of an order: nothing when
/// the row no longer waits for it, because it was recorded before.
///
/// A failure pauses the plan, so that an operator decides. An unknown outcome is
/// no failure: the engine may still be loading, so the order keeps its slot. A
/// target that checks fencing tokens gets the order again under a newer token, a
/// load once it has another slot; for one that ignores them, the step becomes
/// unsettled.
pub fn report(
    plan: &Plan,
    order: &Order,
    incarnation: id::Incarnation,
    outcome: &Outcome,
    last: id::Fence,
) -> Decision {
    let fence = order.fence;
    let taken = Stage::Taken(Taken { fence, incarnation });
    let present = plan.targets.get(&order.target);
    if present.is_none_or(|progress| progress.stage != taken) {
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
            let again = Taken {
                fence: last.next(),
                incarnation,
            };
            let safe = plan.fencing || !action.is_engine_order();
            issued = safe.then_some(again.fence);
            let stage = match safe {
                true => Stage::Taken(again),
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
