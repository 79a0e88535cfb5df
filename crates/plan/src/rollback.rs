//! Notices that the rows of plans went back with a table that was restored from
//! a backup.
//!
//! An older row would give an order again that was followed by a newer one. Each
//! process therefore remembers the newest row of each plan that it has read, acts
//! on none that is older, and writes the newest back.

use std::collections::BTreeMap;

use base::id;
use conf::row::{Condition, Put, Transaction};

use crate::{
    plan::Plan,
    row::{self, FenceRow, Read},
};

/// The newest rows that a process has read.
#[derive(Clone, Debug, Default)]
pub struct RollbackDetector {
    fence: id::Fence,
    plans: BTreeMap<id::PlanId, Plan>,
}

impl RollbackDetector {
    /// Takes the row of fencing tokens as just read. Returns the transaction that
    /// raises it again when it went back; no order is given before that.
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

    /// Takes the row of a plan as just read, with its row version. Returns the
    /// transaction that writes the newer row back when it went back; the row that
    /// was read is not acted on.
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

    /// Takes the list of plans as just read. Returns the transactions that write
    /// plans back that are no longer there.
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
