//! The platform's services as the daemon uses them.

use std::sync::Arc;

use base::{
    fault::{At, Fault},
    id, rate,
};
use conf::{row, settings};
use once::claim;
use store::{instances, object, rates, table};
use tokio::sync::Notify;

/// Clients of the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The table.
    pub table: table::Table,
    /// The object store.
    pub objects: object::Objects,
    /// The instance list.
    pub instances: instances::Instances,
    /// Wakes the task that carries plans on, after a change by this process.
    pub plans: Arc<Notify>,
}

/// Change rows that are read from the table at once.
const ROWS: usize = 256;

impl Platform {
    /// Makes the clients; they connect with the first call.
    pub fn new(addresses: &settings::Platform) -> Self {
        Self {
            table: table::Table::new(table::options(addresses.table)),
            objects: object::Objects::new(object::options(addresses.objects)),
            instances: instances::Instances::new(instances::options(addresses.instances)),
            plans: Arc::default(),
        }
    }

    /// Sets this process's share of the table's rates: `weight` of `total`.
    pub fn share(&self, reads: rate::Rate, writes: rate::Rate, weight: f64, total: f64) {
        let whole = rates::Rates { reads, writes };
        self.table.set_rates(whole.weighted_share(weight, total));
    }

    /// Reads the head of the configuration.
    ///
    /// # Errors
    ///
    /// When the table does not answer or the row is not valid.
    pub async fn head(&self) -> Result<row::Head, Fault> {
        let row = self.row(row::HEAD).await?;
        row::read_head(row.as_ref()).at("read head", row::HEAD)
    }

    /// Reads a row of the configuration.
    ///
    /// # Errors
    ///
    /// When the table does not answer.
    pub async fn row(&self, key: &str) -> Result<Option<row::Row>, Fault> {
        Ok(self.table.read(key).await?.map(conf_row))
    }

    /// Reads the changes after a version, as far as one page goes.
    ///
    /// # Errors
    ///
    /// When the table does not answer or a row is not valid.
    pub async fn changes(&self, after: id::Version) -> Result<Vec<Arc<row::ChangeRow>>, Fault> {
        let last = row::change_key(after);
        let page = self.table.page(row::CHANGES, Some(&last), ROWS).await?;
        page.rows
            .into_iter()
            .map(|row| row.decode().map(Arc::new))
            .collect()
    }

    /// Sends a transaction of the configuration.
    pub async fn commit(&self, transaction: &row::Transaction) -> row::Reply {
        let ops: Result<Vec<table::Op>, Fault> = transaction.puts.iter().map(op).collect();
        let outcome = match ops {
            Ok(ops) => self.table.transact(&ops).await,
            Err(fault) => {
                tracing::error!(event = "transaction_invalid", cause = %fault);
                return row::Reply::Lost;
            }
        };
        match outcome {
            table::Outcome::Committed(versions) => {
                row::Reply::Committed(versions.into_iter().map(|version| version.0).collect())
            }
            table::Outcome::Conflict(conflict) => row::Reply::Failed {
                index: conflict.failed,
                row: conflict.row.map(conf_row),
            },
            table::Outcome::NotSent { fault, .. } | table::Outcome::Unknown(fault) => {
                tracing::info!(event = "transaction_unanswered", cause = %fault);
                row::Reply::Lost
            }
        }
    }
}

fn conf_row(row: table::Row) -> row::Row {
    row::Row {
        version: row.version.0,
        value: row.value.to_string(),
    }
}

fn op(put: &row::Put) -> Result<table::Op, Fault> {
    let value: serde_json::Value = serde_json::from_str(&put.value).at("encode row", &put.key)?;
    match put.condition {
        row::Condition::Any => table::Op::put(&put.key, &value),
        row::Condition::Absent => table::Op::insert(&put.key, &value),
        row::Condition::Version(version) => {
            table::Op::replace(&put.key, table::RowVersion(version), &value)
        }
    }
}

/// Makes the operation for a write of a claim row.
///
/// # Errors
///
/// When the row cannot be written as JSON.
pub fn claim_op(
    key: &claim::Key,
    claim: &claim::Claim,
    condition: claim::Condition,
) -> Result<table::Op, Fault> {
    match condition {
        claim::Condition::Absent => table::Op::insert(key.row(), claim),
        claim::Condition::Version(version) => {
            table::Op::replace(key.row(), table::RowVersion(version), claim)
        }
    }
}

/// Reads a claim row.
///
/// # Errors
///
/// When the row is not a claim.
pub fn claim_row(row: &table::Row) -> Result<claim::Row, Fault> {
    Ok(claim::Row {
        version: row.version.0,
        claim: row.decode()?,
    })
}
