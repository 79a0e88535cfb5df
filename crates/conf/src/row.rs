//! The rows of the table that hold the configuration, and transactions on rows
//! as plain data. The daemon sends them with the client of crate `store`.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::{fmt, str::FromStr};

use base::id;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::{change::Change, state::Configuration};

/// Key of the head row.
pub const HEAD: &str = "conf/head";

/// Prefix of the keys of change rows.
pub const CHANGES: &str = "conf/change/";

/// Prefix of the keys of command rows.
pub const COMMANDS: &str = "conf/command/";

/// Key of the snapshot in the object store.
pub const SNAPSHOT: &str = "conf/snapshot";

/// Returns the key of a change row. Versions are padded with zeros, so that the
/// table lists them in order.
pub fn change_key(version: id::Version) -> String {
    format!("{CHANGES}{version:020}")
}

/// Returns the key of a command row.
pub fn command_key(command: id::CommandId) -> String {
    format!("{COMMANDS}{command}")
}

/// A digest over all changes up to a version. Two histories that differ in any
/// change have different lineages from that version on.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Lineage([u8; 16]);

impl Lineage {
    /// Returns the lineage after one more change, whose content is `content`.
    pub fn extend(self, content: &[u8]) -> Self {
        let digest = Sha256::new()
            .chain_update(self.0)
            .chain_update(content)
            .finalize();
        let mut cut = [0; 16];
        cut.copy_from_slice(&digest[..16]);
        Self(cut)
    }
}

impl fmt::Display for Lineage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for Lineage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Lineage({self})")
    }
}

impl FromStr for Lineage {
    type Err = id::IdError;

    fn from_str(text: &str) -> Result<Self, id::IdError> {
        let bits: id::Nonce = text.parse()?;
        Ok(Self(bits.0.to_be_bytes()))
    }
}

impl TryFrom<String> for Lineage {
    type Error = id::IdError;

    fn try_from(text: String) -> Result<Self, id::IdError> {
        text.parse()
    }
}

impl From<Lineage> for String {
    fn from(lineage: Lineage) -> String {
        lineage.to_string()
    }
}

/// A version with the digest of the changes that lead to it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// The version.
    pub version: id::Version,
    /// The lineage.
    pub lineage: Lineage,
}

impl fmt::Display for Point {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} lineage {}", self.version, self.lineage)
    }
}

/// The head row as read: its content and the row version for conditions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Head {
    /// Row version that the table gave; none when the row is absent.
    pub row: Option<u64>,
    /// The content; version 0 when the row is absent.
    pub point: Point,
}

/// An accepted command: what changes, on whose behalf and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Identifies the command, so that a repeated one is recognised.
    pub id: id::CommandId,
    /// The operator who gave it.
    pub who: id::OperatorId,
    /// The reason that the operator gave.
    pub why: String,
    /// Milliseconds since the Unix epoch, for readers; nothing depends on it.
    pub when: u64,
    /// What changes.
    pub change: Change,
}

/// The row of an accepted change.
///
/// The row keeps the change as it was written, next to the typed value: the
/// lineage is computed from the former, so that a release that adds a field
/// computes the same lineage as one that does not know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "ChangeText", into = "ChangeText")]
pub struct ChangeRow {
    /// The version that the change produced.
    pub version: id::Version,
    /// The command.
    pub command: Command,
    /// The lineage of that version.
    pub lineage: Lineage,
    written: Value,
}

/// A change row as it is written.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeText {
    version: id::Version,
    change: Value,
    who: id::OperatorId,
    why: String,
    when: u64,
    command: id::CommandId,
    lineage: Lineage,
}

impl TryFrom<ChangeText> for ChangeRow {
    type Error = serde_json::Error;

    fn try_from(text: ChangeText) -> Result<Self, serde_json::Error> {
        Ok(Self {
            version: text.version,
            command: Command {
                id: text.command,
                who: text.who,
                why: text.why,
                when: text.when,
                change: serde_json::from_value(text.change.clone())?,
            },
            lineage: text.lineage,
            written: text.change,
        })
    }
}

impl From<ChangeRow> for ChangeText {
    fn from(row: ChangeRow) -> Self {
        Self {
            version: row.version,
            change: row.written,
            who: row.command.who,
            why: row.command.why,
            when: row.command.when,
            command: row.command.id,
            lineage: row.lineage,
        }
    }
}

impl ChangeRow {
    /// Makes the row of the change that follows `parent`.
    pub fn after(parent: Point, command: Command) -> Self {
        let written = serde_json::to_value(&command.change)
            .expect("changes have no maps with other keys than text");
        let mut row = Self {
            version: parent.version.next(),
            command,
            lineage: Lineage::default(),
            written,
        };
        row.lineage = parent.lineage.extend(&row.content());
        row
    }

    /// Returns the version with its lineage.
    pub fn point(&self) -> Point {
        Point {
            version: self.version,
            lineage: self.lineage,
        }
    }

    /// Tells whether the row follows `parent`: it has the next version, and its
    /// lineage is the one that its content gives.
    pub fn follows(&self, parent: Point) -> bool {
        self.version == parent.version.next()
            && self.lineage == parent.lineage.extend(&self.content())
    }

    fn content(&self) -> Vec<u8> {
        let command = &self.command;
        let mut out = format!("{}\n{}\n{}\n", self.version, command.id, command.when);
        canonical(&Value::from(command.who.as_str()), &mut out);
        canonical(&Value::from(command.why.as_str()), &mut out);
        canonical(&self.written, &mut out);
        out.into_bytes()
    }
}

/// Writes a value with the keys of objects in order, whatever order the reader
/// of the row kept them in.
fn canonical(value: &Value, out: &mut String) {
    match value {
        Value::Object(object) => {
            let mut keys: Vec<&String> = object.keys().collect();
            keys.sort();
            out.push('{');
            for key in keys {
                canonical(&Value::from(key.as_str()), out);
                canonical(&object[key], out);
            }
            out.push('}');
        }
        Value::Array(values) => {
            out.push('[');
            values.iter().for_each(|value| canonical(value, out));
            out.push(']');
        }
        other => {
            out.push_str(&other.to_string());
            out.push('\n');
        }
    }
}

/// The row that records at which version a command took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandRow {
    /// The version that the command produced.
    pub version: id::Version,
}

/// A whole configuration with the latest rows that lead to it, for new processes.
///
/// The rows let the receiver compare lineages, answer peers and write changes
/// back to a restored table. Without them it could move the head of a restored
/// table past rows that it does not have, and a command whose reply was lost
/// would then seem not to have been accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Lineage of the configuration's version.
    pub lineage: Lineage,
    /// The latest rows up to the configuration's version, oldest first.
    pub rows: Vec<ChangeRow>,
    /// The configuration.
    pub configuration: Configuration,
}

impl Snapshot {
    /// Writes the snapshot in pieces of at most `limit` bytes: a digest, then the
    /// JSON. With 34,000 teams it has about 5 MB, more than one frame between
    /// processes may have.
    pub fn pieces(&self, limit: usize) -> Vec<Vec<u8>> {
        let json =
            serde_json::to_vec(self).expect("snapshots have no maps with other keys than text");
        let mut text = digest(&json).to_vec();
        text.extend(json);
        let pieces = text.chunks(limit.max(1));
        pieces.map(<[u8]>::to_vec).collect()
    }

    /// Reads a snapshot from all its pieces in order.
    ///
    /// # Errors
    ///
    /// Returns the cause when a piece is missing or the content is not valid. The
    /// digest finds a missing piece that leaves valid JSON.
    pub fn join<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Self, RowError> {
        let fail = |cause: String| RowError {
            key: SNAPSHOT.to_owned(),
            cause,
        };
        let mut text = Vec::new();
        for piece in pieces {
            text.extend_from_slice(piece);
        }
        let Some((start, json)) = text.split_first_chunk::<DIGEST>() else {
            return Err(fail("the digest is missing".to_owned()));
        };
        if *start != digest(json) {
            return Err(fail("the digest does not match".to_owned()));
        }
        serde_json::from_slice(json).map_err(|cause| fail(cause.to_string()))
    }

    /// Tells whether the rows follow each other up to the configuration.
    pub fn is_whole(&self) -> bool {
        let pairs = self.rows.windows(2);
        pairs
            .into_iter()
            .all(|pair| pair[1].follows(pair[0].point()))
            && self
                .rows
                .last()
                .is_none_or(|last| last.point() == self.point())
    }

    /// Returns the version with its lineage.
    pub fn point(&self) -> Point {
        Point {
            version: self.configuration.version(),
            lineage: self.lineage,
        }
    }
}

/// Length of a snapshot's digest, in bytes.
const DIGEST: usize = 32;

fn digest(json: &[u8]) -> [u8; DIGEST] {
    Sha256::digest(json).into()
}

/// A condition on the present state of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this row version.
    Version(u64),
    /// Any state.
    Any,
}

impl Condition {
    /// Returns the condition that a row is as it was read.
    pub fn as_read(row: Option<u64>) -> Self {
        match row {
            Some(version) => Self::Version(version),
            None => Self::Absent,
        }
    }
}

/// One row to write, under a condition.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value as JSON.
    pub value: String,
    /// Condition on the row.
    pub condition: Condition,
}

impl Put {
    /// Makes a write of a typed row.
    pub fn new(key: impl Into<String>, value: &impl Serialize, condition: Condition) -> Self {
        Self {
            key: key.into(),
            value: serde_json::to_string(value)
                .expect("rows have no maps with other keys than text"),
            condition,
        }
    }
}

/// Writes that take effect together, or not at all when a condition fails.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Transaction {
    /// The writes, in the order in which the table checks their conditions.
    pub puts: Vec<Put>,
}

/// A row as the table returns it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Row {
    /// Row version, set by the table.
    pub version: u64,
    /// The value as JSON.
    pub value: String,
}

impl Row {
    /// Reads the typed value.
    ///
    /// # Errors
    ///
    /// Returns the key and the cause when the value is not of the type.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Result<T, RowError> {
        serde_json::from_str(&self.value).map_err(|cause| RowError {
            key: key.to_owned(),
            cause: cause.to_string(),
        })
    }
}

/// Reads the head row.
///
/// # Errors
///
/// Returns the key and the cause when the row does not hold a head.
pub fn read_head(row: Option<&Row>) -> Result<Head, RowError> {
    match row {
        None => Ok(Head::default()),
        Some(row) => Ok(Head {
            row: Some(row.version),
            point: row.read(HEAD)?,
        }),
    }
}

/// Reports a row, or an object, that does not hold what its key says.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("row {key} is not valid: {cause}")]
pub struct RowError {
    /// Key of the row.
    pub key: String,
    /// What is wrong.
    pub cause: String,
}

/// The table's reply to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reply {
    /// All rows were written; their new row versions in order.
    Committed(Vec<u64>),
    /// Nothing was written, because a condition failed.
    Failed {
        /// Position of the first write whose condition failed.
        index: usize,
        /// The row as it is; none when it is absent.
        row: Option<Row>,
    },
    /// No reply arrived; the rows may have been written.
    Lost,
}
