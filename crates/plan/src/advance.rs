//! Advances a plan by opening the steps whose preconditions hold.
//!
//! The next row is a pure function of the current row and of what the process
//! observes. Several processes may advance a plan concurrently: the
//! compare-and-set on the row succeeds for one of them, and the others read the
//! row again.

use std::collections::{BTreeMap, BTreeSet};

use base::id;

use crate::{
    plan::{Action, Plan, Progress, Stage, State},
    weights::{Holder, Slots},
};

/// A target's condition as the fleet's members report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// The target takes new work.
    Up,
    /// The target is known but takes no new work, or its caches are cold.
    Other,
}

/// The state that a process observes before it advances a plan.
///
/// The process must read the row of fencing tokens before all other rows. If
/// another process then opens a step, it changes that row, and the transaction of
/// the slower process fails.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Targets of the service that are in the instance list or reported by members.
    /// A target that is absent here has been removed.
    pub targets: BTreeMap<id::TargetId, Condition>,
    /// Targets that other plans have taken out of service.
    pub excluded: BTreeSet<id::TargetId>,
    /// The last fencing token that was issued.
    pub last_fence: id::Fence,
    /// The slots for weight loads, as stored.
    pub slots: Slots,
    /// Maximum number of concurrent weight loads.
    pub max_loads: u32,
    /// Whether the rate limit allows a weight load to start now.
    pub rate_allows: bool,
}

/// A plan's next row and the rows that change in the same transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advance {
    /// The new content of the plan's row.
    pub plan: Plan,
    /// The last fencing token issued, including those of this transaction.
    pub fence: id::Fence,
    /// The slots for weight loads after this transaction.
    pub slots: Slots,
}

impl Plan {
    /// Returns the rows to write by compare-and-set, or `None` if nothing can
    /// change now; [`Plan::wait_reasons`] then returns the reasons.
    pub fn advance(&self, observed: &Observed) -> Option<Advance> {
        if !matches!(self.state, State::Running | State::Aborting) {
            return self.release_only(observed);
        }
        let mut next = Advance {
            plan: self.clone(),
            fence: observed.last_fence,
            slots: observed.slots.clone(),
        };
        let mut reasons = Vec::new();
        next.finish_removed(observed, &mut reasons);
        next.finish_awaits(observed, &mut reasons);
        next.release_slots();
        next.open_steps(observed, &mut reasons);
        next.end_plan(&mut reasons);
        next.if_changed(self, observed, reasons)
    }

    /// Releases unneeded slots of a plan that opens no steps: a paused plan or one
    /// that has ended.
    fn release_only(&self, observed: &Observed) -> Option<Advance> {
        let mut next = Advance {
            plan: self.clone(),
            fence: observed.last_fence,
            slots: observed.slots.clone(),
        };
        let mut reasons = Vec::new();
        if self.has_ended() {
            next.finish_removed(observed, &mut reasons);
        }
        next.release_slots();
        reasons.push("released weight slots".to_owned());
        next.if_changed(self, observed, reasons)
    }

    /// Returns, for operators, why each target of the current wave waits, and which
    /// targets have loads whose outcome is unknown.
    pub fn wait_reasons(&self, observed: &Observed) -> BTreeMap<id::TargetId, String> {
        let wave = self.current_wave();
        self.targets
            .iter()
            .filter_map(|(target, progress)| {
                let current = Some(progress.wave) == wave;
                let wait = current.then(|| self.wait_reason(target, progress, observed));
                let waits: Vec<String> = [wait.flatten(), unknown_loads(progress)]
                    .into_iter()
                    .flatten()
                    .collect();
                (!waits.is_empty()).then(|| (target.clone(), waits.join("; ")))
            })
            .collect()
    }

    fn wait_reason(
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
                let cause = self.unmet_precondition(step, target, observed)?;
                Some(format!("{step}: {cause}"))
            }
        }
    }

    /// Returns a description of the step's precondition if it does not hold.
    fn unmet_precondition(
        &self,
        step: &Action,
        target: &id::TargetId,
        observed: &Observed,
    ) -> Option<String> {
        match step {
            Action::Drain => self.capacity_shortage(target, observed),
            Action::Load(_) => slot_shortage(observed),
            Action::AwaitUp(target) => match observed.targets.get(target) {
                Some(Condition::Up) => None,
                Some(Condition::Other) => Some(format!("target {target} is not up")),
                None => Some(format!("target {target} is not known")),
            },
            Action::Unload(_) | Action::Role(_) | Action::Reopen => None,
        }
    }

    /// Returns the shortage of capacity if too few other targets are up for this
    /// one to be drained. Targets that plans have taken out of service do not
    /// count, although a stale member report may still show them as up.
    fn capacity_shortage(&self, target: &id::TargetId, observed: &Observed) -> Option<String> {
        let up = observed
            .targets
            .iter()
            .filter(|(other, condition)| {
                let out = self.excludes(other) || observed.excluded.contains(*other);
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
}

fn unknown_loads(progress: &Progress) -> Option<String> {
    if progress.unknown.is_empty() {
        return None;
    }
    let tokens: Vec<String> = progress.unknown.iter().map(id::Fence::to_string).collect();
    Some(format!(
        "the load with token {} may still be under way and keeps its slot; restart the target, then confirm it",
        tokens.join(" or ")
    ))
}

fn slot_shortage(observed: &Observed) -> Option<String> {
    let taken = observed.slots.taken.len();
    if taken >= observed.max_loads as usize {
        let holders: Vec<String> = observed.slots.taken.iter().map(Holder::to_string).collect();
        return Some(format!(
            "{taken} of {} weight loads run: {}",
            observed.max_loads,
            holders.join(", ")
        ));
    }
    match observed.rate_allows {
        true => None,
        false => Some("the rate limit of weight loads does not allow another load yet".to_owned()),
    }
}

impl Advance {
    /// Finishes targets that were removed with their instances.
    fn finish_removed(&mut self, observed: &Observed, reasons: &mut Vec<String>) {
        for (target, progress) in &mut self.plan.targets {
            let finished = progress.steps.is_empty() && progress.unknown.is_empty();
            if observed.targets.contains_key(target) || finished {
                continue;
            }
            progress.steps.clear();
            progress.unknown.clear();
            progress.stage = Stage::Waiting;
            progress.out = false;
            reasons.push(format!("target {target} was removed from the fleet"));
        }
    }

    /// Finishes steps that wait for a target which is now up.
    fn finish_awaits(&mut self, observed: &Observed, reasons: &mut Vec<String>) {
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

    /// Releases the slots of this plan's loads that can no longer be executing.
    fn release_slots(&mut self) {
        let plan = &self.plan;
        self.slots.taken.retain(|holder| {
            holder.plan != plan.id
                || plan
                    .targets
                    .get(&holder.target)
                    .is_some_and(|progress| progress.needs_slot(holder.fence))
        });
    }

    fn open_steps(&mut self, observed: &Observed, reasons: &mut Vec<String>) {
        let wave = self.plan.current_wave();
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

    /// Opens a target's step if its precondition holds. The check includes the
    /// effect of the steps that this transaction has already opened on the plan and
    /// on the slots.
    fn open_step(&mut self, target: &id::TargetId, observed: &Observed, reasons: &mut Vec<String>) {
        let Some(step) = self.plan.targets[target].step().cloned() else {
            return;
        };
        if matches!(step, Action::AwaitUp(_)) {
            return;
        }
        let current = Observed {
            slots: self.slots.clone(),
            rate_allows: observed.rate_allows && self.slots.starts == observed.slots.starts,
            ..observed.clone()
        };
        if self
            .plan
            .unmet_precondition(&step, target, &current)
            .is_some()
        {
            return;
        }
        self.fence = self.fence.next();
        if matches!(step, Action::Load(_)) {
            let holder = self.plan.holder(target, self.fence);
            self.slots.take(holder, observed.max_loads);
        }
        let progress = self
            .plan
            .targets
            .get_mut(target)
            .expect("the target is in the plan");
        progress.stage = Stage::Open(self.fence);
        progress.out |= step == Action::Drain;
        reasons.push(format!("target {target}: {step} is open"));
    }

    fn end_plan(&mut self, reasons: &mut Vec<String>) {
        if self.plan.current_wave().is_some() {
            return;
        }
        self.plan.state = match self.plan.state {
            State::Aborting => State::Aborted,
            _ => State::Done,
        };
        reasons.push("all targets are finished".to_owned());
    }

    /// Returns the advance with a new version and reason, or `None` if neither the
    /// plan nor the slots have changed.
    fn if_changed(
        mut self,
        before: &Plan,
        observed: &Observed,
        reasons: Vec<String>,
    ) -> Option<Self> {
        if self.plan == *before && self.slots == observed.slots {
            return None;
        }
        self.plan.version += 1;
        self.plan.reason = reasons.join("; ");
        Some(self)
    }
}
