//! A planned change: its steps, how any process advances it, and what operators
//! may do with it.
//!
//! Advancing is a pure function of the row and of what the process observes. Two
//! processes may both advance a plan: the compare-and-set on the row lets one of
//! them win, and the other reads again.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use base::id;
use conf::value::Model;
use serde::{Deserialize, Serialize};

use crate::weights::{Holder, Slots};

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
    pub fn is_order(&self) -> bool {
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

/// A request for a new plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Id of the plan.
    pub id: id::PlanId,
    /// The service whose targets it changes.
    pub service: id::ServiceId,
    /// What it does.
    pub kind: Kind,
    /// The targets, in the order of the waves.
    pub targets: Vec<id::TargetId>,
    /// Targets in one wave.
    pub wave: u32,
    /// Fewest targets of the service that stay up.
    pub keep: u32,
}

/// A target's condition, as members report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// It takes new work.
    Up,
    /// It is known but takes no new work, or its caches are cold.
    Other,
}

/// What the process that advances a plan observes.
///
/// The row of fencing tokens is read first, then all other rows: a step that
/// another process opens in between changes that row, and the transaction of the
/// slower process fails.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Targets of the service that the instance list or members name; one that is
    /// absent has gone.
    pub targets: BTreeMap<id::TargetId, Condition>,
    /// Targets that other plans keep out of service.
    pub out: BTreeSet<id::TargetId>,
    /// The last fencing token that was given out.
    pub fence: id::Fence,
    /// The row of slots for weight loads.
    pub slots: Slots,
    /// Weight loads that may run at once.
    pub loads: u32,
    /// Whether the rate of weight loads allows a start now.
    pub pace: bool,
}

/// A plan's next row, with the rows that change in the same transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advance {
    /// The plan.
    pub plan: Plan,
    /// The last fencing token given out.
    pub fence: id::Fence,
    /// The slots for weight loads.
    pub slots: Slots,
}

/// States why a plan or an operation on one is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No targets are named.
    #[error("the plan names no targets")]
    NoTargets,
    /// A target is named twice.
    #[error("target {0} is named twice")]
    Double(id::TargetId),
    /// A target is not known.
    #[error("target {0} is not known in service {1}")]
    Unknown(id::TargetId, id::ServiceId),
    /// A target belongs to another plan.
    #[error("target {0} belongs to plan {1}, which has not ended or keeps it out of service")]
    Busy(id::TargetId, id::PlanId),
    /// A wave has no targets.
    #[error("a wave has at least 1 target")]
    EmptyWave,
    /// Too many targets would have to stay up.
    #[error("{keep} targets cannot stay up while one of {known} is out; allowed: at most {most}")]
    Keep {
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
    State {
        /// The plan.
        plan: id::PlanId,
        /// Its state.
        state: State,
        /// The operation.
        operation: &'static str,
    },
    /// Nothing is to be confirmed at the target.
    #[error("target {0} has no unsettled order")]
    Settled(id::TargetId),
}

/// What operators may do with a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Opens no more steps.
    Pause,
    /// Goes on; failed steps are tried again, also those of an abort.
    Resume,
    /// Puts targets back into service and ends; also after a drain is done.
    Abort,
    /// Confirms that no order is under way at a target, after its restart for
    /// example.
    Confirm(id::TargetId),
}

impl Request {
    /// Makes the plan.
    ///
    /// `others` are the plans that exist. The transaction that creates the plan
    /// also writes the row of fencing tokens, so that of two plans for one target
    /// that are created at once, one is rejected.
    ///
    /// # Errors
    ///
    /// Returns why the plan is not accepted.
    pub fn plan(
        &self,
        fencing: bool,
        observed: &Observed,
        others: &[Plan],
    ) -> Result<Plan, Rejection> {
        self.check(observed)?;
        for target in &self.targets {
            if let Some(other) = others.iter().find(|other| other.holds(target)) {
                return Err(Rejection::Busy(target.clone(), other.id.clone()));
            }
        }
        let mut targets = BTreeMap::new();
        for (index, target) in self.targets.iter().enumerate() {
            let progress = Progress {
                wave: index as u32 / self.wave,
                steps: self.steps(target)?,
                stage: Stage::Waiting,
                out: false,
            };
            if targets.insert(target.clone(), progress).is_some() {
                return Err(Rejection::Double(target.clone()));
            }
        }
        Ok(Plan {
            id: self.id.clone(),
            version: 1,
            service: self.service.clone(),
            kind: self.kind.clone(),
            fencing,
            keep: self.keep,
            state: State::Running,
            reason: "created".to_owned(),
            targets,
        })
    }

    fn check(&self, observed: &Observed) -> Result<(), Rejection> {
        if self.targets.is_empty() {
            return Err(Rejection::NoTargets);
        }
        if self.wave == 0 {
            return Err(Rejection::EmptyWave);
        }
        let known = observed.targets.len();
        let unknown = self
            .targets
            .iter()
            .find(|target| !observed.targets.contains_key(*target));
        if let Some(target) = unknown {
            return Err(Rejection::Unknown(target.clone(), self.service.clone()));
        }
        if self.keep as usize >= known {
            return Err(Rejection::Keep {
                keep: self.keep,
                known,
                most: known - 1,
            });
        }
        Ok(())
    }

    fn steps(&self, target: &id::TargetId) -> Result<Vec<Action>, Rejection> {
        match &self.kind {
            Kind::Drain => Ok(vec![Action::Drain]),
            Kind::Replace(replace) => {
                let by = replace.by.get(target);
                let by = by.ok_or_else(|| Rejection::NoReplacement(target.clone()))?;
                Ok(vec![Action::AwaitUp(by.clone()), Action::Drain])
            }
            Kind::Roll(roll) => {
                let orders = [
                    Some(Action::Load(roll.load.clone())),
                    roll.unload.clone().map(Action::Unload),
                ];
                Ok(out_and_back(target, orders.into_iter().flatten()))
            }
            Kind::Role(role) => Ok(out_and_back(target, [Action::Role(role.clone())])),
        }
    }
}

fn out_and_back(target: &id::TargetId, orders: impl IntoIterator<Item = Action>) -> Vec<Action> {
    let mut steps = vec![Action::Drain];
    steps.extend(orders);
    steps.extend([Action::Reopen, Action::AwaitUp(target.clone())]);
    steps
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
    fn give_up(&mut self) {
        self.stage = Stage::Waiting;
        self.steps = match self.out {
            true => vec![Action::Reopen],
            false => Vec::new(),
        };
    }

    /// Tells whether an engine may be carrying out an order.
    pub(crate) fn is_under_way(&self) -> bool {
        matches!(self.stage, Stage::Taken(_) | Stage::Unsettled(_))
    }
}

impl Plan {
    /// Tells whether the plan has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.state, State::Aborted | State::Done)
    }

    /// Tells whether the plan is responsible for a target: it has not ended, or it
    /// has left the target out of service.
    pub fn holds(&self, target: &id::TargetId) -> bool {
        let progress = self.targets.get(target);
        progress.is_some_and(|progress| progress.out || !self.has_ended())
    }

    /// Tells whether the target's agent must take no new work because of this
    /// plan.
    pub fn keeps_out(&self, target: &id::TargetId) -> bool {
        self.targets
            .get(target)
            .is_some_and(|progress| progress.out)
    }

    /// Returns the next row, for the process to write by compare-and-set; none
    /// when no step can be taken now. [`Plan::waits`] says why.
    pub fn advance(&self, observed: &Observed) -> Option<Advance> {
        if !matches!(self.state, State::Running | State::Aborting) {
            return self.release_slots(observed);
        }
        let mut next = Advance {
            plan: self.clone(),
            fence: observed.fence,
            slots: observed.slots.clone(),
        };
        let mut reasons = Vec::new();
        next.drop_gone(observed, &mut reasons);
        next.pass_awaited(observed, &mut reasons);
        next.free_slots();
        next.open_steps(observed, &mut reasons);
        next.end(&mut reasons);
        next.changed(self, observed, reasons)
    }

    fn release_slots(&self, observed: &Observed) -> Option<Advance> {
        let mut next = Advance {
            plan: self.clone(),
            fence: observed.fence,
            slots: observed.slots.clone(),
        };
        next.free_slots();
        next.changed(self, observed, vec!["released weight slots".to_owned()])
    }

    /// Returns why each target of the present wave waits, for operators.
    pub fn waits(&self, observed: &Observed) -> BTreeMap<id::TargetId, String> {
        let wave = self.wave();
        self.targets
            .iter()
            .filter(|(_, progress)| Some(progress.wave) == wave)
            .filter_map(|(target, progress)| {
                let wait = self.wait(target, progress, observed)?;
                Some((target.clone(), wait))
            })
            .collect()
    }

    fn wait(
        &self,
        target: &id::TargetId,
        progress: &Progress,
        observed: &Observed,
    ) -> Option<String> {
        let step = progress.step()?;
        if self.state == State::Paused && progress.stage == Stage::Waiting {
            return Some(format!("{step}: the plan is paused"));
        }
        match &progress.stage {
            Stage::Open(_) => Some(format!("{step}: waits for the agent")),
            Stage::Taken(taken) => Some(format!("{step}: under way, token {}", taken.fence)),
            Stage::Unsettled(fence) => Some(format!(
                "{step}: the outcome of token {fence} is unknown and the target ignores tokens; restart the target, then confirm it"
            )),
            Stage::Failed(cause) => Some(format!("{step}: failed: {cause}")),
            Stage::Waiting => {
                let holder = self.holder(target);
                let cause = self.missing(step, &holder, observed)?;
                Some(format!("{step}: {cause}"))
            }
        }
    }

    /// Returns which precondition of a step does not hold.
    fn missing(&self, step: &Action, holder: &Holder, observed: &Observed) -> Option<String> {
        match step {
            Action::Drain => self.missing_capacity(&holder.target, observed),
            Action::Load(_) => missing_slot(holder, observed),
            Action::AwaitUp(target) => match observed.targets.get(target) {
                Some(Condition::Up) => None,
                Some(Condition::Other) => Some(format!("target {target} is not up")),
                None => Some(format!("target {target} is not known")),
            },
            Action::Unload(_) | Action::Role(_) | Action::Reopen => None,
        }
    }

    /// A target is drained only while enough others are up. Targets that plans
    /// keep out do not count, although a lagging member report may still call them
    /// up.
    fn missing_capacity(&self, target: &id::TargetId, observed: &Observed) -> Option<String> {
        let up = observed
            .targets
            .iter()
            .filter(|(other, condition)| {
                let out = self.keeps_out(other) || observed.out.contains(*other);
                **condition == Condition::Up && *other != target && !out
            })
            .count();
        if up >= self.keep as usize {
            return None;
        }
        Some(format!(
            "other targets that are up: {up}, needed: {}",
            self.keep
        ))
    }

    fn holder(&self, target: &id::TargetId) -> Holder {
        Holder {
            plan: self.id.clone(),
            target: target.clone(),
        }
    }

    /// Returns the first wave with a target that is not finished.
    fn wave(&self) -> Option<u32> {
        self.targets
            .values()
            .filter(|progress| !progress.steps.is_empty())
            .map(|progress| progress.wave)
            .min()
    }

    /// Applies an operation of an operator and returns the next row.
    ///
    /// # Errors
    ///
    /// Returns why the operation does not fit the state.
    pub fn operate(&self, operation: &Operation) -> Result<Self, Rejection> {
        let mut next = self.clone();
        next.version += 1;
        match operation {
            Operation::Pause => next.pause()?,
            Operation::Resume => next.resume()?,
            Operation::Abort => next.abort()?,
            Operation::Confirm(target) => next.confirm(target)?,
        }
        Ok(next)
    }

    fn pause(&mut self) -> Result<(), Rejection> {
        self.expect(&[State::Running], "pause")?;
        self.state = State::Paused;
        self.reason = "paused by an operator".to_owned();
        self.take_back();
        Ok(())
    }

    fn resume(&mut self) -> Result<(), Rejection> {
        let failed = |progress: &Progress| matches!(progress.stage, Stage::Failed(_));
        match self.state {
            State::Aborting if self.targets.values().any(failed) => (),
            _ => {
                self.expect(&[State::Paused], "resume")?;
                self.state = State::Running;
            }
        }
        self.reason = "resumed by an operator".to_owned();
        for progress in self.targets.values_mut() {
            if failed(progress) {
                progress.stage = Stage::Waiting;
            }
        }
        Ok(())
    }

    fn abort(&mut self) -> Result<(), Rejection> {
        let left_out = self.targets.values().any(|progress| progress.out);
        if !(self.state == State::Done && left_out) {
            self.expect(&[State::Running, State::Paused], "abort")?;
        }
        self.state = State::Aborting;
        self.reason = "aborted by an operator".to_owned();
        self.take_back();
        for progress in self.targets.values_mut() {
            if !progress.is_under_way() {
                progress.give_up();
            }
        }
        Ok(())
    }

    fn confirm(&mut self, target: &id::TargetId) -> Result<(), Rejection> {
        let aborting = self.state == State::Aborting;
        let unsettled = |progress: &&mut Progress| matches!(progress.stage, Stage::Unsettled(_));
        let Some(progress) = self.targets.get_mut(target).filter(unsettled) else {
            return Err(Rejection::Settled(target.clone()));
        };
        progress.stage = Stage::Waiting;
        if aborting {
            progress.give_up();
        }
        self.reason = format!("target {target} was confirmed by an operator");
        Ok(())
    }

    /// Takes back steps that no agent has taken. An agent that has read the row
    /// before fails to take its step, because the row has changed.
    fn take_back(&mut self) {
        for progress in self.targets.values_mut() {
            if matches!(progress.stage, Stage::Open(_)) {
                progress.stage = Stage::Waiting;
            }
        }
    }

    fn expect(&self, states: &[State], operation: &'static str) -> Result<(), Rejection> {
        if states.contains(&self.state) {
            return Ok(());
        }
        Err(Rejection::State {
            plan: self.id.clone(),
            state: self.state,
            operation,
        })
    }

    pub(crate) fn set_stage(&mut self, target: &id::TargetId, stage: Stage) {
        if let Some(progress) = self.targets.get_mut(target) {
            progress.stage = stage;
        }
    }

    /// Settles a target's step after its agent has reported, according to the
    /// state of the plan.
    pub(crate) fn settle(&mut self, target: &id::TargetId, failure: Option<String>) {
        let aborting = self.state == State::Aborting;
        let Some(progress) = self.targets.get_mut(target) else {
            return;
        };
        match failure {
            None => progress.finish_step(),
            Some(cause) => progress.stage = Stage::Failed(cause),
        }
        if aborting && progress.step() != Some(&Action::Reopen) {
            progress.give_up();
        }
    }
}

fn missing_slot(holder: &Holder, observed: &Observed) -> Option<String> {
    if observed.slots.taken.contains(holder) {
        return None;
    }
    let taken = observed.slots.taken.len();
    if taken >= observed.loads as usize {
        let holders: Vec<String> = observed.slots.taken.iter().map(Holder::to_string).collect();
        return Some(format!(
            "{taken} of {} weight loads run: {}",
            observed.loads,
            holders.join(", ")
        ));
    }
    match observed.pace {
        true => None,
        false => Some("the rate of weight loads allows no start yet".to_owned()),
    }
}

impl Advance {
    /// Finishes targets that have gone with their instances.
    fn drop_gone(&mut self, observed: &Observed, reasons: &mut Vec<String>) {
        for (target, progress) in &mut self.plan.targets {
            if observed.targets.contains_key(target) || progress.steps.is_empty() {
                continue;
            }
            progress.steps.clear();
            progress.stage = Stage::Waiting;
            progress.out = false;
            reasons.push(format!("target {target} has gone"));
        }
    }

    fn pass_awaited(&mut self, observed: &Observed, reasons: &mut Vec<String>) {
        for (target, progress) in &mut self.plan.targets {
            let Some(Action::AwaitUp(awaited)) = progress.step() else {
                continue;
            };
            if observed.targets.get(awaited) == Some(&Condition::Up) {
                reasons.push(format!("target {target}: target {awaited} is up"));
                progress.finish_step();
            }
        }
    }

    /// Gives back the slots of targets that are not loading.
    fn free_slots(&mut self) {
        let plan = &self.plan;
        self.slots.taken.retain(|holder| {
            holder.plan != plan.id
                || plan.targets.get(&holder.target).is_some_and(|progress| {
                    matches!(progress.step(), Some(Action::Load(_)))
                        && !matches!(progress.stage, Stage::Waiting | Stage::Failed(_))
                })
        });
    }

    fn open_steps(&mut self, observed: &Observed, reasons: &mut Vec<String>) {
        let wave = self.plan.wave();
        let targets: BTreeSet<id::TargetId> = self
            .plan
            .targets
            .iter()
            .filter(|(_, progress)| Some(progress.wave) == wave && progress.stage == Stage::Waiting)
            .map(|(target, _)| target.clone())
            .collect();
        for target in targets {
            self.open_step(&target, observed, reasons);
        }
    }

    /// Opens a target's step when its precondition holds. The precondition is
    /// checked against the plan and the slots as they are after the steps opened
    /// before it in this transaction.
    fn open_step(&mut self, target: &id::TargetId, observed: &Observed, reasons: &mut Vec<String>) {
        let Some(step) = self.plan.targets[target].step().cloned() else {
            return;
        };
        if matches!(step, Action::AwaitUp(_)) {
            return;
        }
        let holder = self.plan.holder(target);
        let seen = Observed {
            slots: self.slots.clone(),
            pace: observed.pace && self.slots.starts == observed.slots.starts,
            ..observed.clone()
        };
        if self.plan.missing(&step, &holder, &seen).is_some() {
            return;
        }
        if matches!(step, Action::Load(_)) {
            self.slots.take(holder, observed.loads);
        }
        self.fence = self.fence.next();
        let progress = self
            .plan
            .targets
            .get_mut(target)
            .expect("the target is in the plan");
        progress.stage = Stage::Open(self.fence);
        progress.out |= step == Action::Drain;
        reasons.push(format!("target {target}: {step} is open"));
    }

    fn end(&mut self, reasons: &mut Vec<String>) {
        if self.plan.wave().is_some() {
            return;
        }
        self.plan.state = match self.plan.state {
            State::Aborting => State::Aborted,
            _ => State::Done,
        };
        reasons.push("all targets are finished".to_owned());
    }

    fn changed(mut self, before: &Plan, observed: &Observed, reasons: Vec<String>) -> Option<Self> {
        if self.plan == *before && self.slots == observed.slots {
            return None;
        }
        self.plan.version += 1;
        self.plan.reason = reasons.join("; ");
        Some(self)
    }
}
