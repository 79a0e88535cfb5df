//! Requests for new plans and their validation.

use std::collections::{BTreeMap, BTreeSet};

use base::id;
use serde::{Deserialize, Serialize};

use crate::{
    advance::Observed,
    plan::{Action, Kind, Plan, Progress, Rejection, Stage, State},
};

/// A request for a new plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Id of the new plan.
    pub id: id::PlanId,
    /// The service whose targets the plan changes.
    pub service: id::ServiceId,
    /// The change to make.
    pub kind: Kind,
    /// The targets, in the order in which waves are formed.
    pub targets: Vec<id::TargetId>,
    /// Number of targets in one wave.
    pub wave: u32,
    /// Minimum number of targets of the service that must stay up.
    pub keep: u32,
}

impl Request {
    /// Validates the request and returns the plan.
    ///
    /// `others` are the existing plans. The transaction that creates the plan also
    /// writes the row of fencing tokens, so that if two plans for the same target
    /// are created concurrently, one of them fails.
    ///
    /// # Errors
    ///
    /// Returns the reason if the plan is rejected.
    pub fn plan(
        &self,
        fencing: bool,
        observed: &Observed,
        others: &[Plan],
    ) -> Result<Plan, Rejection> {
        self.check(observed)?;
        for target in &self.targets {
            if let Some(other) = others.iter().find(|other| other.owns(target)) {
                return Err(Rejection::TargetOwned(target.clone(), other.id.clone()));
            }
        }
        let mut targets = BTreeMap::new();
        for (index, target) in self.targets.iter().enumerate() {
            let progress = Progress {
                wave: index as u32 / self.wave,
                steps: self.steps(target)?,
                stage: Stage::Waiting,
                out: false,
                unknown: BTreeSet::new(),
            };
            if targets.insert(target.clone(), progress).is_some() {
                return Err(Rejection::DuplicateTarget(target.clone()));
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
            return Err(Rejection::UnknownTarget(
                target.clone(),
                self.service.clone(),
            ));
        }
        if self.keep as usize >= known {
            return Err(Rejection::KeepTooHigh {
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
                Ok(drain_and_reopen(target, orders.into_iter().flatten()))
            }
            Kind::Role(role) => Ok(drain_and_reopen(target, [Action::Role(role.clone())])),
        }
    }
}

/// Returns the steps that drain a target, execute the orders, reopen the target
/// and wait until it is up.
fn drain_and_reopen(
    target: &id::TargetId,
    orders: impl IntoIterator<Item = Action>,
) -> Vec<Action> {
    let mut steps = vec![Action::Drain];
    steps.extend(orders);
    steps.extend([Action::Reopen, Action::AwaitUp(target.clone())]);
    steps
}
