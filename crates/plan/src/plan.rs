//! A planned change as it is stored in its row: its targets, their remaining steps,
//! and the stage of each target's current step.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use base::id;
use conf::value::Model;
use serde::{Deserialize, Serialize};

use crate::weights::Holder;
pub use crate::{
    advance::{Advance, Condition, Observed},
    operate::Operation,
    request::Request,
};

/// A model with an optional adapter and version, named as engines name them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Artifact {
    /// Name of the model.
    pub model: Model,
    /// Name of the adapter, if any.
    #[serde(default)]
    pub adapter: Option<Model>,
    /// The version, if one is given.
    #[serde(default)]
    pub version: Option<Model>,
}

impl fmt::Display for Artifact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.model)?;
        if let Some(adapter) = &self.adapter {
            write!(f, " adapter {adapter}")?;
        }
        match &self.version {
            Some(version) => write!(f, " version {version}"),
            None => Ok(()),
        }
    }
}

/// The kind of change that a plan makes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Takes targets out of service permanently.
    Drain,
    /// Takes a target out of service once its replacement is up.
    Replace(Replace),
    /// Loads a model version or an adapter at targets, in waves.
    Roll(Roll),
    /// Gives targets another role.
    Role(Model),
}

/// The replacements of a [`Kind::Replace`] plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replace {
    /// The new target, by old target.
    pub by: BTreeMap<id::TargetId, id::TargetId>,
}

/// The weights that a [`Kind::Roll`] plan loads and unloads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roll {
    /// The weights to load.
    pub load: Artifact,
    /// The weights to unload once the load is done.
    #[serde(default)]
    pub unload: Option<Artifact>,
}

/// One step of a plan for a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The agent takes no new work and waits until none is in flight.
    Drain,
    /// The engine loads weights. The step needs a slot.
    Load(Artifact),
    /// The engine unloads weights.
    Unload(Artifact),
    /// The engine takes another role.
    Role(Model),
    /// The agent takes new work again.
    Reopen,
    /// The plan waits until the given target is up.
    AwaitUp(id::TargetId),
}

impl Action {
    /// Returns whether the engine executes the step, on an order from its agent.
    pub fn is_engine_order(&self) -> bool {
        matches!(self, Self::Load(_) | Self::Unload(_) | Self::Role(_))
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Drain => f.write_str("drain"),
            Self::Load(artifact) => write!(f, "load {artifact}"),
            Self::Unload(artifact) => write!(f, "unload {artifact}"),
            Self::Role(role) => write!(f, "take role {role}"),
            Self::Reopen => f.write_str("reopen"),
            Self::AwaitUp(target) => write!(f, "wait for target {target}"),
        }
    }
}

/// The stage of a target's current step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The step is not open, for example because its precondition does not hold.
    Waiting,
    /// The target's agent may take the step.
    Open(id::Fence),
    /// The agent has taken the step and may be executing it.
    Taken(Taken),
    /// The engine may have executed the step or may still do so, and it ignores
    /// fencing tokens. No other order is sent until an operator confirms that none
    /// is executing.
    Unsettled(id::Fence),
    /// The agent reported a failure; contains the cause.
    Failed(String),
}

/// The order and the agent run that have taken a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Taken {
    /// The fencing token of the order.
    pub fence: id::Fence,
    /// The run of the target's agent.
    pub incarnation: id::Incarnation,
}

/// The remaining work for one target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The wave that the target belongs to. Waves run one after another.
    pub wave: u32,
    /// The remaining steps, the current one first; empty if the target is finished.
    pub steps: Vec<Action>,
    /// The stage of the current step.
    pub stage: Stage,
    /// Whether the plan has taken the target out of service.
    pub out: bool,
    /// Fencing tokens of load orders with an unknown outcome that may still be
    /// executing although the load was or will be retried. Each keeps its slot
    /// until an operator confirms that the target is executing no order, because no
    /// reply will report its end.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unknown: BTreeSet<id::Fence>,
}

/// The state of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Each step is opened once its precondition holds.
    Running,
    /// No step is opened; a step that an agent has taken is still finished.
    Paused,
    /// Only steps that put targets back into service are opened.
    Aborting,
    /// The plan ended after an abort.
    Aborted,
    /// All steps are finished.
    Done,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Running => "running",
            Self::Paused => "paused",
            Self::Aborting => "aborting",
            Self::Aborted => "aborted",
            Self::Done => "done",
        })
    }
}

/// A planned change, as it is stored in its row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Id of the plan.
    pub id: id::PlanId,
    /// Number of the row's content; it increases with each change.
    pub version: u64,
    /// The service whose targets the plan changes.
    pub service: id::ServiceId,
    /// The change that the plan makes.
    pub kind: Kind,
    /// Whether the targets reject an order with a stale fencing token.
    pub fencing: bool,
    /// Minimum number of targets of the service that must stay up.
    pub keep: u32,
    /// The state of the plan.
    pub state: State,
    /// The reason for the last change of the row.
    pub reason: String,
    /// The remaining work for each target.
    pub targets: BTreeMap<id::TargetId, Progress>,
}

/// The reason why a plan or an operation on a plan is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The request names no targets.
    #[error("the plan names no targets")]
    NoTargets,
    /// The request names a target twice.
    #[error("target {0} is named twice")]
    DuplicateTarget(id::TargetId),
    /// The service has no such target.
    #[error("target {0} is not known in service {1}")]
    UnknownTarget(id::TargetId, id::ServiceId),
    /// Another plan owns the target.
    #[error("target {0} belongs to plan {1}, which has not ended or keeps it out of service")]
    TargetOwned(id::TargetId, id::PlanId),
    /// The wave size is 0.
    #[error("a wave must have at least 1 target")]
    EmptyWave,
    /// So many targets must stay up that none can be taken out of service.
    #[error("{keep} targets cannot stay up while one of {known} is out; allowed: at most {most}")]
    KeepTooHigh {
        /// Number of targets that must stay up.
        keep: u32,
        /// Number of targets of the service.
        known: usize,
        /// Largest allowed number of targets that must stay up.
        most: usize,
    },
    /// The request names no replacement for a target.
    #[error("no replacement is named for target {0}")]
    NoReplacement(id::TargetId),
    /// The plan's state does not allow the operation.
    #[error("plan {plan} is {state}; {operation} is not possible")]
    WrongState {
        /// The plan.
        plan: id::PlanId,
        /// The state of the plan.
        state: State,
        /// Name of the operation.
        operation: &'static str,
    },
    /// The target has no order that an operator could confirm.
    #[error("target {0} has no unsettled order")]
    NothingToConfirm(id::TargetId),
    /// The target's agent still waits for the outcome of an order.
    #[error("target {0} has an order under way; confirm it after that order has ended")]
    OrderExecuting(id::TargetId),
}

impl Progress {
    /// Returns the current step.
    pub fn step(&self) -> Option<&Action> {
        self.steps.first()
    }

    /// Removes the current step, which is finished.
    pub(crate) fn finish_step(&mut self) {
        let step = self.steps.remove(0);
        self.stage = Stage::Waiting;
        if step == Action::Reopen {
            self.out = false;
        }
    }

    /// Cancels all steps except one that puts the target back into service.
    pub(crate) fn cancel_steps(&mut self) {
        self.stage = Stage::Waiting;
        self.steps = match self.out {
            true => vec![Action::Reopen],
            false => Vec::new(),
        };
    }

    /// Returns whether the engine may be executing an order of the current step.
    pub(crate) fn may_be_executing(&self) -> bool {
        matches!(self.stage, Stage::Taken(_) | Stage::Unsettled(_)) || self.awaits_retry()
    }

    /// Returns whether the current step is a load that waits for a retry while an
    /// earlier order may still be executing.
    pub(crate) fn awaits_retry(&self) -> bool {
        self.stage == Stage::Waiting && self.is_load() && !self.unknown.is_empty()
    }

    fn is_load(&self) -> bool {
        matches!(self.step(), Some(Action::Load(_)))
    }

    /// Returns whether the load order with this token needs its slot, because it is
    /// open or may be executing.
    pub(crate) fn needs_slot(&self, fence: id::Fence) -> bool {
        let current = match &self.stage {
            Stage::Open(current) | Stage::Unsettled(current) => Some(*current),
            Stage::Taken(taken) => Some(taken.fence),
            Stage::Waiting | Stage::Failed(_) => None,
        };
        self.unknown.contains(&fence) || (self.is_load() && current == Some(fence))
    }
}

impl Plan {
    /// Returns whether the plan is done or aborted.
    pub fn has_ended(&self) -> bool {
        matches!(self.state, State::Aborted | State::Done)
    }

    /// Returns whether no other plan may change the target, because this plan has
    /// not ended or has left the target out of service.
    pub fn owns(&self, target: &id::TargetId) -> bool {
        let progress = self.targets.get(target);
        progress.is_some_and(|progress| progress.out || !self.has_ended())
    }

    /// Returns whether this plan keeps the target out of service, so that its agent
    /// must take no new work.
    pub fn excludes(&self, target: &id::TargetId) -> bool {
        self.targets
            .get(target)
            .is_some_and(|progress| progress.out)
    }

    /// Returns whether the plan has load orders whose outcome is unknown.
    pub fn has_unknown_loads(&self) -> bool {
        let mut targets = self.targets.values();
        targets.any(|progress| !progress.unknown.is_empty())
    }

    pub(crate) fn holder(&self, target: &id::TargetId, fence: id::Fence) -> Holder {
        Holder {
            plan: self.id.clone(),
            target: target.clone(),
            fence,
        }
    }

    /// Returns the first wave with an unfinished target, if any.
    pub(crate) fn current_wave(&self) -> Option<u32> {
        self.targets
            .values()
            .filter(|progress| !progress.steps.is_empty())
            .map(|progress| progress.wave)
            .min()
    }

    pub(crate) fn set_stage(&mut self, target: &id::TargetId, stage: Stage) {
        if let Some(progress) = self.targets.get_mut(target) {
            progress.stage = stage;
        }
    }

    /// Makes a load wait for a retry. The order with this token may still be
    /// executing.
    pub(crate) fn retry_load(&mut self, target: &id::TargetId, fence: id::Fence) {
        if let Some(progress) = self.targets.get_mut(target) {
            progress.stage = Stage::Waiting;
            progress.unknown.insert(fence);
        }
    }

    /// Records the outcome that a target's agent reported for its step. While the
    /// plan is aborting, the remaining steps are then cancelled, unless the current
    /// one reopens the target.
    pub(crate) fn record_outcome(&mut self, target: &id::TargetId, failure: Option<String>) {
        let aborting = self.state == State::Aborting;
        let Some(progress) = self.targets.get_mut(target) else {
            return;
        };
        match failure {
            None => progress.finish_step(),
            Some(cause) => progress.stage = Stage::Failed(cause),
        }
        if aborting && progress.step() != Some(&Action::Reopen) {
            progress.cancel_steps();
        }
    }
}
