//! The operators' service and its transport: length-delimited JSON frames over
//! TCP or TLS, carried by tarpc.

use std::{fmt, io};

use base::id;
use bytes::{Bytes, BytesMut};
use conf::{row::ChangeRow, state::Role};
use serde::{Deserialize, Serialize};
use tarpc::{
    tokio_serde::{self, formats::Json},
    tokio_util::codec::{Decoder, Encoder, Framed, length_delimited::LengthDelimitedCodec},
};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::{
    answer::{Accepted, Answer, Preview},
    command::{Order, Query},
};

/// Largest request in bytes. A batch that creates 500 teams takes 81 KB
/// (`cargo test -p ebonywall-lang --test limits`).
pub const MAX_REQUEST: usize = 256 * 1024;

/// Largest answer in bytes. A configuration of 34,000 teams with a key each
/// takes 5 MB (the same test).
pub const MAX_ANSWER: usize = 32 * 1024 * 1024;

/// Longest reason of an order in bytes; every process keeps reasons in memory.
pub const MAX_WHY: usize = 1024;

/// The service that a router offers to operators.
#[tarpc::service]
pub trait Operator {
    /// Asks what holds.
    async fn ask(key: Key, query: Query) -> Result<Answer, Refusal>;
    /// Orders what should hold. Repeating a call with the same command id is
    /// harmless.
    async fn give(key: Key, given: Given) -> Result<Accepted, Refusal>;
    /// Shows the difference that an order would make.
    async fn preview(key: Key, order: Order) -> Result<Preview, Refusal>;
}

/// The key of an operator. It is not shown in logs.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub String);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// An order with what is recorded about it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Given {
    /// Identifies the command, so that a repeated one is recognised.
    pub id: id::CommandId,
    /// The reason.
    pub why: String,
    /// The version that the operator has seen; the order is refused as a
    /// conflict when another change followed it. None accepts any version.
    pub base: Option<id::Version>,
    /// The order.
    pub order: Order,
}

/// Why a call was not carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The key identifies no operator.
    #[error("the key identifies no operator")]
    Key,
    /// The operator lacks the role.
    #[error("operator {operator} lacks role {role}")]
    Role {
        /// The operator.
        operator: id::OperatorId,
        /// The role that is needed.
        role: Role,
    },
    /// The order does not apply, or the query cannot be answered.
    #[error("{0}")]
    Rejected(String),
    /// Another change was accepted first.
    #[error("{0}")]
    Conflict(Conflict),
    /// The router cannot accept it now; nothing was changed.
    #[error("{0}")]
    Unavailable(String),
    /// It is not known whether the order was accepted.
    #[error("the table does not tell whether command {0} was accepted")]
    Undecided(id::CommandId),
}

/// The changes that were accepted first, and what they changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The changes, oldest first.
    pub winners: Vec<ChangeRow>,
    /// What they changed, one line for each entry.
    pub differences: Vec<String>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "another change was accepted first:")?;
        for row in &self.winners {
            let command = &row.command;
            write!(f, "\n  version {} by {}: ", row.version, command.who)?;
            write!(f, "{}", command.change)?;
            if !command.why.is_empty() {
                write!(f, " ({})", command.why)?;
            }
        }
        write!(f, "\nwhat it changed:")?;
        self.differences
            .iter()
            .try_for_each(|line| write!(f, "\n  {line}"))
    }
}

/// A transport of the service.
pub type Transport<S, In, Out> = tokio_serde::Framed<Framed<S, Frames>, In, Out, Json<In, Out>>;

/// Frames with a length before each. Requests and answers have different
/// limits, so that a router reserves little memory for what it receives.
#[derive(Debug)]
pub struct Frames {
    read: LengthDelimitedCodec,
    write: LengthDelimitedCodec,
}

impl Frames {
    fn new(read: usize, write: usize) -> Self {
        let codec = |limit| {
            LengthDelimitedCodec::builder()
                .max_frame_length(limit)
                .new_codec()
        };
        Self {
            read: codec(read),
            write: codec(write),
        }
    }
}

impl Decoder for Frames {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<BytesMut>, io::Error> {
        self.read.decode(bytes)
    }
}

impl Encoder<Bytes> for Frames {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, bytes: &mut BytesMut) -> Result<(), io::Error> {
        self.write.encode(frame, bytes)
    }
}

/// Makes the transport of a client.
pub fn client_side<S, In, Out>(stream: S) -> Transport<S, In, Out>
where
    S: AsyncRead + AsyncWrite,
{
    let frames = Frames::new(MAX_ANSWER, MAX_REQUEST);
    tokio_serde::Framed::new(Framed::new(stream, frames), Json::default())
}

/// Makes the transport of a router.
pub fn router_side<S, In, Out>(stream: S) -> Transport<S, In, Out>
where
    S: AsyncRead + AsyncWrite,
{
    let frames = Frames::new(MAX_REQUEST, MAX_ANSWER);
    tokio_serde::Framed::new(Framed::new(stream, frames), Json::default())
}
