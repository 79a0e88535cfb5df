//! Operations of operators on a plan.

use base::id;
use serde::{Deserialize, Serialize};

use crate::plan::{Plan, Progress, Rejection, Stage, State};

/// An operation of an operator on a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Stops opening steps.
    Pause,
    /// Continues a paused plan and retries failed steps, including those of an abort.
    Resume,
    /// Puts targets back into service and ends the plan. It also reverses a drain
    /// that is done.
    Abort,
    /// Confirms that the target is executing no order, for example because it was
    /// restarted.
    Confirm(id::TargetId),
}

impl Plan {
    /// Applies an operation of an operator and returns the next row.
    ///
    /// # Errors
    ///
    /// Returns the reason if the plan's state does not allow the operation.
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
        self.require_state(&[State::Running], "pause")?;
        self.state = State::Paused;
        self.reason = "paused by an operator".to_owned();
        self.withdraw_open_steps();
        Ok(())
    }

    fn resume(&mut self) -> Result<(), Rejection> {
        let failed = |progress: &Progress| matches!(progress.stage, Stage::Failed(_));
        match self.state {
            State::Aborting if self.targets.values().any(failed) => (),
            _ => {
                self.require_state(&[State::Paused], "resume")?;
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
            self.require_state(&[State::Running, State::Paused], "abort")?;
        }
        self.state = State::Aborting;
        self.reason = "aborted by an operator".to_owned();
        self.withdraw_open_steps();
        for progress in self.targets.values_mut() {
            if !progress.may_be_executing() {
                progress.cancel_steps();
            }
        }
        Ok(())
    }

    fn confirm(&mut self, target: &id::TargetId) -> Result<(), Rejection> {
        let aborting = self.state == State::Aborting;
        let unsettled = |progress: &&mut Progress| {
            matches!(progress.stage, Stage::Unsettled(_)) || !progress.unknown.is_empty()
        };
        let Some(progress) = self.targets.get_mut(target).filter(unsettled) else {
            return Err(Rejection::NothingToConfirm(target.clone()));
        };
        if matches!(progress.stage, Stage::Taken(_)) {
            return Err(Rejection::OrderExecuting(target.clone()));
        }
        if aborting && progress.may_be_executing() {
            progress.cancel_steps();
        }
        if matches!(progress.stage, Stage::Unsettled(_)) {
            progress.stage = Stage::Waiting;
        }
        progress.unknown.clear();
        // A plan that has ended runs again, so that its next advance releases the
        // slots and ends it once more.
        self.state = match self.state {
            State::Done => State::Running,
            State::Aborted => State::Aborting,
            state => state,
        };
        self.reason = format!("target {target} was confirmed by an operator");
        Ok(())
    }

    /// Withdraws open steps that no agent has taken. An agent that read the row
    /// earlier cannot take its step any more, because the row has changed.
    fn withdraw_open_steps(&mut self) {
        for progress in self.targets.values_mut() {
            if matches!(progress.stage, Stage::Open(_)) {
                progress.stage = Stage::Waiting;
            }
        }
    }

    fn require_state(&self, states: &[State], operation: &'static str) -> Result<(), Rejection> {
        if states.contains(&self.state) {
            return Ok(());
        }
        Err(Rejection::WrongState {
            plan: self.id.clone(),
            state: self.state,
            operation,
        })
    }
}
