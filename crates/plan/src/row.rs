//! The table rows of plans and the transactions that change them.

use base::id;
use conf::row::{Condition, Put, Row, RowError, Transaction};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    plan::{Advance, Plan},
    weights::Slots,
};

/// Key prefix of the rows of plans.
pub const PLANS: &str = "plan/";

/// Key of the row with the last fencing token that was issued.
///
/// All plans share this row, so that tokens which different plans issue for the
/// same target are ordered.
pub const FENCE_KEY: &str = "fence/plan";

/// Key of the row of slots for weight loads.
pub const SLOTS_KEY: &str = "weights/slots";

/// Returns the key of a plan's row.
pub fn plan_key(plan: &id::PlanId) -> String {
    format!("{PLANS}{plan}")
}

/// The content of the row of fencing tokens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct FenceRow {
    /// The last token that was issued.
    pub last: id::Fence,
}

/// The content of a row as read, and its row version for use in conditions.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Read<T> {
    /// The row version; `None` if the row is absent.
    pub version: Option<u64>,
    /// The content; the default value if the row is absent.
    pub value: T,
}

/// Decodes a row, or returns the default content if the row is absent.
///
/// # Errors
///
/// Returns the key and the cause if the row cannot be decoded.
pub fn read<T: DeserializeOwned + Default>(
    key: &str,
    row: Option<&Row>,
) -> Result<Read<T>, RowError> {
    match row {
        None => Ok(Read::default()),
        Some(row) => Ok(Read {
            version: Some(row.version),
            value: row.read(key)?,
        }),
    }
}

/// Returns the transaction that creates a plan. It also writes the row of
/// fencing tokens, so that two plans created concurrently conflict.
pub fn create(plan: &Plan, fence: &Read<FenceRow>) -> Transaction {
    Transaction {
        puts: vec![
            Put::new(plan_key(&plan.id), plan, Condition::Absent),
            Put::new(FENCE_KEY, &fence.value, Condition::as_read(fence.version)),
        ],
    }
}

/// Returns the transaction that writes an advanced plan, and the rows of slots and
/// of fencing tokens if they have changed. `row` is the plan's row version.
pub fn advance(
    row: u64,
    advance: &Advance,
    fence: &Read<FenceRow>,
    slots: &Read<Slots>,
) -> Transaction {
    let plan = &advance.plan;
    let mut puts = vec![Put::new(plan_key(&plan.id), plan, Condition::Version(row))];
    if advance.fence != fence.value.last {
        let last = FenceRow {
            last: advance.fence,
        };
        puts.push(Put::new(
            FENCE_KEY,
            &last,
            Condition::as_read(fence.version),
        ));
    }
    if advance.slots != slots.value {
        puts.push(Put::new(
            SLOTS_KEY,
            &advance.slots,
            Condition::as_read(slots.version),
        ));
    }
    Transaction { puts }
}

/// Returns the transaction that writes a plan after an operator's operation or an
/// agent's report, and the row of fencing tokens if a token was issued. `row` is
/// the plan's row version.
pub fn update(
    row: u64,
    plan: &Plan,
    issued: Option<id::Fence>,
    fence: &Read<FenceRow>,
) -> Transaction {
    let mut puts = vec![Put::new(plan_key(&plan.id), plan, Condition::Version(row))];
    if let Some(last) = issued {
        let condition = Condition::as_read(fence.version);
        puts.push(Put::new(FENCE_KEY, &FenceRow { last }, condition));
    }
    Transaction { puts }
}
