//! Detects that plan rows are older than before because the table was restored
//! from a backup.
//!
//! Acting on an older row would repeat an order that a newer one has superseded.
//! Each process therefore remembers the newest version of every plan that it has
//! read, ignores older versions, and writes the newest version back.

use std::collections::BTreeMap;

use base::id;
use conf::row::{Condition, Put, Transaction};

use crate::{
    plan::Plan,
    row::{self, FenceRow, Read},
};

/// The newest version of each row that this process has read.
#[derive(Clone, Debug, Default)]
pub struct RollbackDetector {
    fence: id::Fence,
    plans: BTreeMap<id::PlanId, Plan>,
}

impl RollbackDetector {
    /// Checks a fresh read of the row of fencing tokens. If the token is lower than
    /// before, returns the transaction that raises it again; the caller must send
    /// no order until that has been committed.
    pub fn check_fence(&mut self, read: &Read<FenceRow>) -> Option<Transaction> {
        self.fence = self.fence.max(read.value.last);
        if read.value.last == self.fence {
            return None;
        }
        let last = FenceRow { last: self.fence };
        let condition = Condition::as_read(read.version);
        Some(Transaction {
            puts: vec![Put::new(row::FENCE_KEY, &last, condition)],
        })
    }

    /// Checks a fresh read of a plan's row, given its row version. If the plan is
    /// older than before, returns the transaction that writes the newest version
    /// back; the caller must not act on the plan that it read.
    pub fn check_plan(&mut self, version: u64, read: &Plan) -> Option<Transaction> {
        match self.plans.get(&read.id) {
            Some(newest) if newest.version > read.version => {
                let condition = Condition::Version(version);
                Some(Transaction {
                    puts: vec![Put::new(row::plan_key(&read.id), newest, condition)],
                })
            }
            _ => {
                self.plans.insert(read.id.clone(), read.clone());
                None
            }
        }
    }

    /// Checks a fresh list of all plans. Returns the transactions that write back
    /// the plans that are missing from it.
    pub fn restore_missing(&self, listed: &[id::PlanId]) -> Vec<Transaction> {
        self.plans
            .values()
            .filter(|plan| !listed.contains(&plan.id))
            .map(|plan| Transaction {
                puts: vec![Put::new(row::plan_key(&plan.id), plan, Condition::Absent)],
            })
            .collect()
    }
}
