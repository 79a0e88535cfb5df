//! Claim rows: which agent runs the request of an idempotency key, and its
//! stored response.
//!
//! A row is never released by time. Only its owner ends it, as done, lost or
//! abandoned; only an abandoned row, or a row of the same incarnation that was
//! never dispatched, is taken over, by compare-and-set on the row's version.

use std::{fmt, str::FromStr};

use base::id;
use serde::{Deserialize, Serialize};

/// Largest response body kept in a row, in bytes; a larger one goes to the
/// object store, because the table serves all processes together.
pub const MAX_INLINE: usize = 32 * 1024;

/// Longest idempotency key in bytes; it becomes part of a row's key.
pub const MAX_KEY: usize = 255;

/// Reports an idempotency key that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is empty.
    #[error("an idempotency key must not be empty")]
    Empty,
    /// The key is longer than [`MAX_KEY`].
    #[error("an idempotency key has at most {MAX_KEY} bytes, this one has {0}")]
    Long(usize),
    /// The key has a control character.
    #[error("character {0:?} is not allowed in an idempotency key")]
    Character(char),
}

/// Names a claim: a key is separate for each service and team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    service: id::ServiceId,
    team: id::TeamId,
    key: String,
}

impl Key {
    /// Checks the caller's key and joins it with its service and team.
    pub fn new(service: id::ServiceId, team: id::TeamId, key: &str) -> Result<Self, KeyError> {
        if key.is_empty() {
            return Err(KeyError::Empty);
        }
        if key.len() > MAX_KEY {
            return Err(KeyError::Long(key.len()));
        }
        if let Some(c) = key.chars().find(|c| c.is_control()) {
            return Err(KeyError::Character(c));
        }
        Ok(Self {
            service,
            team,
            key: key.to_owned(),
        })
    }

    /// Returns the key of the row. Ids contain no `/`, so that two claims
    /// never share a row whatever the caller's key contains.
    pub fn row(&self) -> String {
        format!("claim/{}/{}/{}", self.service, self.team, self.key)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.row())
    }
}

/// Reports a text that is not a digest.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a digest has 64 hexadecimal digits")]
pub struct DigestError;

/// SHA-256 of method, path and body; tells a repeated request from another
/// one with the same key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex(&self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let bytes = unhex(text).ok_or(DigestError)?;
        bytes.try_into().map(Self).map_err(|_| DigestError)
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}

/// The agent, and the run of it, that wrote a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Process id of the agent.
    pub agent: id::ProcessId,
    /// Run of that process.
    pub incarnation: id::Incarnation,
}

/// Bytes in a row; written as text when they are UTF-8, else as hexadecimal
/// digits, so that rows stay readable.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Written", into = "Written")]
pub struct Content(pub Vec<u8>);

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Written {
    Text(String),
    Hex(String),
}

impl From<Content> for Written {
    fn from(content: Content) -> Self {
        match String::from_utf8(content.0) {
            Ok(text) => Self::Text(text),
            Err(error) => Self::Hex(hex(error.as_bytes())),
        }
    }
}

impl TryFrom<Written> for Content {
    type Error = &'static str;

    fn try_from(written: Written) -> Result<Self, Self::Error> {
        match written {
            Written::Text(text) => Ok(Self(text.into_bytes())),
            Written::Hex(text) => unhex(&text)
                .map(Self)
                .ok_or("expected pairs of hexadecimal digits"),
        }
    }
}

/// A header of a stored response.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Value as received.
    pub value: Content,
}

/// Where the body of a stored response is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// In the row; at most [`MAX_INLINE`] bytes.
    Inline(Content),
    /// In the object store.
    Object {
        /// Key of the object.
        key: String,
        /// Length of the body in bytes.
        total: u64,
    },
    /// Nowhere: the body was over the limit of the object store or could not
    /// be written there. The request ran; its response cannot be replayed.
    Unkept,
}

/// A finished response as it is replayed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Body,
}

impl Response {
    /// Returns the length of the body in bytes, if the body was kept.
    pub fn total(&self) -> Option<u64> {
        match &self.body {
            Body::Inline(content) => Some(content.0.len() as u64),
            Body::Object { total, .. } => Some(*total),
            Body::Unkept => None,
        }
    }
}

/// How far the request of a claim has come.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The owner may dispatch the request, or has done so.
    Running,
    /// The owner declares that it never dispatched the request and never will.
    Abandoned,
    /// The owner dispatched the request and its outcome is not known; the key
    /// is never run again.
    Lost,
    /// The request ran, with this response.
    Done(Response),
}

/// The content of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request that first used the key.
    pub digest: Digest,
    /// Who wrote the claim.
    pub owner: Owner,
    /// Distinguishes this attempt from every other attempt to claim the key.
    pub nonce: id::Nonce,
    /// How far the request has come.
    pub state: State,
}

/// A claim row as the table returns it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Row {
    /// Version that the table gave the row.
    pub version: u64,
    /// Content of the row.
    pub claim: Claim,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// One operation on a claim row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Op {
    /// Reads the row.
    Read,
    /// Writes the row if the condition holds.
    Write {
        /// New content.
        claim: Claim,
        /// When it may be written.
        condition: Condition,
    },
}

/// An operation and the row and attempt it belongs to. Each must be given
/// exactly one [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// The claim.
    pub key: Key,
    /// The attempt that asks; returned with the answer.
    pub nonce: id::Nonce,
    /// What the table is asked to do.
    pub op: Op,
}

/// What the table answered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer {
    /// The write took effect and gave the row this version.
    Written(u64),
    /// The condition did not hold; the row is as given, and nothing changed.
    Conflict(Option<Row>),
    /// The row was read.
    Read(Option<Row>),
    /// No usable answer to a write, or status 503: it may have taken effect
    /// and may still do so.
    Unanswered,
    /// The operation was not sent (circuit open, rate spent), the table
    /// answered 429, or a read failed: nothing changed.
    Unavailable,
}

/// What a claim row means to an agent that wants to run the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Finding {
    /// No row: insert one.
    Free,
    /// The agent's own attempt is in the row: dispatch.
    Held {
        /// Version of the row.
        version: u64,
    },
    /// Never dispatched: take it over by compare-and-set.
    Open {
        /// Version of the row.
        version: u64,
    },
    /// Another agent, or a later run of this one, holds the claim.
    Elsewhere(id::ProcessId),
    /// It was dispatched, or may have been, by a run that cannot tell any
    /// more: unknown, and never run again.
    Unknown,
    /// It ran: replay the response.
    Done(Response),
    /// The key was used with another request.
    Mismatch,
}

/// Judges the row that an attempt found under its key. `mine` is the claim
/// that the attempt writes.
///
/// The caller ensures that no other attempt of the same incarnation has been
/// dispatched and is not yet recorded; [`crate::ledger::Ledger`] keeps one
/// attempt per key for this reason.
pub fn judge(row: Option<&Row>, mine: &Claim) -> Finding {
    let Some(Row { version, claim }) = row else {
        return Finding::Free;
    };
    let version = *version;
    if claim.digest != mine.digest {
        return Finding::Mismatch;
    }
    match &claim.state {
        State::Done(response) => Finding::Done(response.clone()),
        State::Lost => Finding::Unknown,
        State::Abandoned => Finding::Open { version },
        State::Running if claim.nonce == mine.nonce => Finding::Held { version },
        State::Running => judge_running(version, &claim.owner, &mine.owner),
    }
}

fn judge_running(version: u64, owner: &Owner, me: &Owner) -> Finding {
    if owner.agent != me.agent || owner.incarnation > me.incarnation {
        return Finding::Elsewhere(owner.agent.clone());
    }
    if owner.incarnation < me.incarnation {
        return Finding::Unknown;
    }
    Finding::Open { version }
}

impl State {
    fn name(&self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Abandoned => "abandoned",
            Self::Lost => "lost",
            Self::Done(_) => "done",
        }
    }
}

impl fmt::Display for Ask {
    /// Writes the operation as the key=value pairs of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = self.key.row();
        match &self.op {
            Op::Read => write!(f, "op=read row=\"{row}\""),
            Op::Write { claim, condition } => {
                let state = claim.state.name();
                write!(f, "op=write row=\"{row}\" state={state} if=")?;
                match condition {
                    Condition::Absent => f.write_str("absent"),
                    Condition::Version(version) => write!(f, "{version}"),
                }
            }
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    text.as_bytes()
        .chunks(2)
        .map(|pair| {
            let pair = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(pair, 16).ok()
        })
        .collect()
}
