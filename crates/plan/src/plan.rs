//! A planned change as its row holds it: its targets, their steps, and how far
//! each step is.

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

/// A model with an optional adapter and version, as engines name them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Artifact {
    /// The model.
    pub model: Model,
    /// The adapter.
    #[serde(default)]
    pub adapter: Option<Model>,
    /// The version.
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

/// What a plan does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Takes targets out of service and leaves them out.
    Drain,
    /// Takes a target out of service once its replacement is up.
    Replace(Replace),
    /// Loads a model version or an adapter at targets, in waves.
    Roll(Roll),
    /// Gives targets another role.
    Role(Model),
}

/// The replacement of each target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replace {
    /// The new target for each old one.
    pub by: BTreeMap<id::TargetId, id::TargetId>,
}

/// What to load, and what to unload after it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roll {
    /// To load.
    pub load: Artifact,
    /// To unload once the load is complete.
    #[serde(default)]
    pub unload: Option<Artifact>,
}

/// One step of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The agent takes no new work and waits until none is left.
    Drain,
    /// The engine loads weights; needs a slot.
    Load(Artifact),
    /// The engine unloads weights.
    Unload(Artifact),
    /// The engine takes another role.
    Role(Model),
    /// The agent takes new work again.
    Reopen,
    /// Waits until a target is up.
    AwaitUp(id::TargetId),
}

impl Action {
    /// Tells whether the engine carries the action out, on an order of its agent.
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

/// How far a target's present step is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Its precondition does not hold yet.
    Waiting,
    /// The target's agent may take it.
    Open(id::Fence),
    /// The agent has taken it and may be carrying it out.
    Taken(Taken),
    /// The engine may have carried it out or may still do so, and it ignores
    /// fencing tokens, so that no other order is given until an operator confirms
    /// that nothing is under way.
    Unsettled(id::Fence),
    /// The agent reported a failure.
    Failed(String),
}

/// Who has taken a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Taken {
    /// The fencing token.
    pub fence: id::Fence,
    /// The run of the target's agent.
    pub incarnation: id::Incarnation,
}

/// What remains for one target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The wave that the target belongs to; waves run one after another.
    pub wave: u32,
    /// The steps that remain, the present one first; none when it is finished.
    pub steps: Vec<Action>,
    /// How far the present step is.
    pub stage: Stage,
    /// Whether the target was taken out of service.
    pub out: bool,
    /// Tokens of orders to load that may still be under way although the target
    /// was, or is to be, ordered again. Each keeps its slot until an operator
    /// confirms that nothing is under way, because no reply tells that it ended.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unknown: BTreeSet<id::Fence>,
}

/// The state of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Steps are opened as their preconditions come to hold.
    Running,
    /// No step is opened; a step that was taken is finished.
    Paused,
    /// No step is opened but those that put targets back into service.
    Aborting,
    /// Ended before its end.
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

/// A planned change, as its row holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its id.
    pub id: id::PlanId,
    /// Counts the changes of the row; a larger one is newer.
    pub version: u64,
    /// The service whose targets it changes.
    pub service: id::ServiceId,
    /// What it does.
    pub kind: Kind,
    /// Whether the targets reject an order with a stale fencing token.
    pub fencing: bool,
    /// Fewest targets of the service that stay up.
    pub keep: u32,
    /// Its state.
    pub state: State,
    /// Why the row was last changed.
    pub reason: String,
    /// What remains for each target.
    pub targets: BTreeMap<id::TargetId, Progress>,
}

/// States why a plan or an operation on one is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No targets are named.
    #[error("the plan names no targets")]
    NoTargets,
    /// A target is named twice.
    #[error("target {0} is named twice")]
    DuplicateTarget(id::TargetId),
    /// A target is not known.
    #[error("target {0} is not known in service {1}")]
    UnknownTarget(id::TargetId, id::ServiceId),
    /// A target belongs to another plan.
    #[error("target {0} belongs to plan {1}, which has not ended or keeps it out of service")]
    TargetOwned(id::TargetId, id::PlanId),
    /// A wave has no targets.
    #[error("a wave has at least 1 target")]
    EmptyWave,
    /// Too many targets would have to stay up.
    #[error("{keep} targets cannot stay up while one of {known} is out; allowed: at most {most}")]
    KeepTooHigh {
        /// Targets to stay up.
        keep: u32,
        /// Targets of the service.
        known: usize,
        /// Most targets that can stay up.
        most: usize,
    },
    /// A target has no replacement.
    #[error("no replacement is named for target {0}")]
    NoReplacement(id::TargetId),
    /// The operation does not fit the state.
    #[error("plan {plan} is {state}; {operation} is not possible")]
    WrongState {
        /// The plan.
        plan: id::PlanId,
        /// Its state.
        state: State,
        /// The operation.
        operation: &'static str,
    },
    /// Nothing is to be confirmed at the target.
    #[error("target {0} has no unsettled order")]
    NothingToConfirm(id::TargetId),
    /// The target's agent waits for the outcome of an order.
    #[error("target {0} has an order under way; confirm it after that order has ended")]
    OrderExecuting(id::TargetId),
}

impl Progress {
    /// Returns the present step.
    pub fn step(&self) -> Option<&Action> {
        self.steps.first()
    }

    /// Goes on to the next step.
    pub(crate) fn finish_step(&mut self) {
        let step = self.steps.remove(0);
        self.stage = Stage::Waiting;
        if step == Action::Reopen {
            self.out = false;
        }
    }

    /// Leaves only the steps that put the target back into service.
    pub(crate) fn cancel_steps(&mut self) {
        self.stage = Stage::Waiting;
        self.steps = match self.out {
            true => vec![Action::Reopen],
            false => Vec::new(),
        };
    }

    /// Tells whether an engine may be carrying out an order of the present step.
    pub(crate) fn may_be_executing(&self) -> bool {
        matches!(self.stage, Stage::Taken(_) | Stage::Unsettled(_)) || self.awaits_retry()
    }

    /// Tells whether the present step is a load that is to be ordered again while
    /// an earlier order may be under way.
    pub(crate) fn awaits_retry(&self) -> bool {
        self.stage == Stage::Waiting && self.is_load() && !self.unknown.is_empty()
    }

    fn is_load(&self) -> bool {
        matches!(self.step(), Some(Action::Load(_)))
    }

    /// Tells whether an order to load may be under way, so that it needs its slot.
    pub(crate) fn needs_slot(&self, fence: id::Fence) -> bool {
        let present = match &self.stage {
            Stage::Open(present) | Stage::Unsettled(present) => Some(*present),
            Stage::Taken(taken) => Some(taken.fence),
            Stage::Waiting | Stage::Failed(_) => None,
        };
        self.unknown.contains(&fence) || (self.is_load() && present == Some(fence))
    }
}

impl Plan {
    /// Tells whether the plan has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.state, State::Aborted | State::Done)
    }

    /// Tells whether the plan is responsible for a target: it has not ended, or it
    /// has left the target out of service.
    pub fn owns(&self, target: &id::TargetId) -> bool {
        let progress = self.targets.get(target);
        progress.is_some_and(|progress| progress.out || !self.has_ended())
    }

    /// Tells whether the target's agent must take no new work because of this
    /// plan.
    pub fn excludes(&self, target: &id::TargetId) -> bool {
        self.targets
            .get(target)
            .is_some_and(|progress| progress.out)
    }

    /// Tells whether the plan has loads whose end is not known.
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

    /// Returns the first wave with a target that is not finished.
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

    /// Makes a load wait until it can be ordered again, while the order with this
    /// token may be under way.
    pub(crate) fn retry_load(&mut self, target: &id::TargetId, fence: id::Fence) {
        if let Some(progress) = self.targets.get_mut(target) {
            progress.stage = Stage::Waiting;
            progress.unknown.insert(fence);
        }
    }

    /// Settles a target's step after its agent has reported, according to the
    /// state of the plan.
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
