//! What routers tell one another.
//!
//! News is a datagram that routers send several times a second, to all others or
//! through relays ([`crate::relays`]). It repeats absolute values, so that a lost
//! one does no harm. What must arrive whole is fetched by a [`Snapshot`].

use std::io::{self, Read, Write};

use admit::poison::CrashReport;
use base::{id, span};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use platform::{rows::Position, target as row};
use prost::Message;

use crate::{
    fleet::{PartHash, TargetHash},
    target_list::Departure,
};

/// Longest datagram that is sent, in bytes; longer ones would be split on the
/// way.
pub const MAX_DATAGRAM: usize = 1_400;

/// Parts told in one datagram at most.
pub const MAX_CACHED: usize = 32;

/// Leaves told in one datagram at most.
pub const MAX_DEPARTURES: usize = 10;

/// Targets that began told in one datagram at most.
pub const MAX_JOINED: usize = 4;

/// Crashes told in one datagram at most.
pub const MAX_CRASHES: usize = 10;

/// Targets set aside that are told in one datagram at most.
pub const MAX_SUSPENSIONS: usize = 10;

/// Slow targets told in one datagram at most.
pub const MAX_SLOW: usize = 8;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The sender.
    #[prost(string, tag = "1")]
    pub process: String,
    /// Distinguishes the sender's runs.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Orders the datagrams of one run.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Version of the configuration in force, 0 before any.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Short hashes of targets, each with the count at the same position of
    /// `counts`; targets of the part that are not named have no requests.
    #[prost(fixed32, repeated, tag = "5")]
    pub targets: Vec<u32>,
    /// Prompt parts that the sender sent to targets lately.
    #[prost(message, repeated, tag = "6")]
    pub cached: Vec<CachedPart>,
    /// Targets that leave or are gone.
    #[prost(message, repeated, tag = "7")]
    pub departures: Vec<DepartureEntry>,
    /// Targets that did not answer the sender.
    #[prost(message, repeated, tag = "8")]
    pub suspensions: Vec<Suspension>,
    /// Whether the table answers the sender.
    #[prost(bool, tag = "10")]
    pub reads_table: bool,
    /// Contents that were at crashes of targets.
    #[prost(message, repeated, tag = "11")]
    pub crashes: Vec<CrashEntry>,
    /// Whether the sender knows what engines keep of prompts.
    #[prost(bool, tag = "12")]
    pub cache_synced: bool,
    /// Requests at `targets`.
    #[prost(uint32, repeated, tag = "13")]
    pub counts: Vec<u32>,
    /// Whose requests they are.
    #[prost(enumeration = "Scope", tag = "14")]
    pub scope: i32,
    /// Which part of the targets they are about, from 0.
    #[prost(uint32, tag = "15")]
    pub shard: u32,
    /// Number of parts; 0 counts as 1.
    #[prost(uint32, tag = "16")]
    pub shards: u32,
    /// Routers whose requests are counted.
    #[prost(uint32, tag = "17")]
    pub coverage: u32,
    /// Hash of the sender's data centre.
    #[prost(fixed64, tag = "18")]
    pub centre: u64,
    /// The sender's share of a processor, in thousandths of a core.
    #[prost(uint32, tag = "19")]
    pub share: u32,
    /// Whether the sender tells others through relays.
    #[prost(bool, tag = "20")]
    pub uses_relays: bool,
    /// Whether the sender wants to hear the load of all others from the receiver.
    #[prost(bool, tag = "21")]
    pub wants_totals: bool,
    /// Targets that began.
    #[prost(message, repeated, tag = "22")]
    pub joined: Vec<TargetRow>,
    /// Position of the latest change of a target that the sender knows.
    #[prost(uint64, tag = "23")]
    pub last_change: u64,
    /// Targets that are slow.
    #[prost(message, repeated, tag = "24")]
    pub slow: Vec<SlowTarget>,
}

/// Whose requests a message counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Scope {
    /// Nobody's; the message names no targets.
    Nothing = 0,
    /// The sender's.
    Own = 1,
    /// Those of the sender's data centre.
    Centre = 2,
    /// Those of all routers but the receiver.
    Others = 3,
}

/// A prompt part at a target.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CachedPart {
    /// Hash of the target's id.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Hash of the part's id.
    #[prost(fixed64, tag = "2")]
    pub part: u64,
}

/// Content that was at a target when it crashed.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CrashEntry {
    /// Hash of the content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// Hash of the target's id.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
}

/// A target that leaves.
#[derive(Clone, PartialEq, Message)]
pub struct DepartureEntry {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Position of the change in the table.
    #[prost(uint64, tag = "2")]
    pub position: u64,
    /// Whether its row is gone.
    #[prost(bool, tag = "3")]
    pub gone: bool,
}

/// A target that did not answer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Suspension {
    /// Hash of the target's id.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Milliseconds for which it gets no request.
    #[prost(uint32, tag = "2")]
    pub millis: u32,
}

/// A target that is slow.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlowTarget {
    /// Short hash of the target's id.
    #[prost(fixed32, tag = "1")]
    pub target: u32,
    /// Factor by which it is slower than others, in hundredths.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
    /// Milliseconds since the evidence.
    #[prost(uint32, tag = "3")]
    pub age: u32,
}

/// Asks for a [`Snapshot`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SnapshotRequest {
    /// Whether the parts that targets keep are wanted, and nothing else.
    #[prost(bool, tag = "1")]
    pub cached: bool,
}

/// What a router needs that cannot read the table, or that has just started.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// The configuration as the table holds it, deflated; empty before any.
    #[prost(bytes = "bytes", tag = "1")]
    pub config: bytes::Bytes,
    /// The targets.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetRow>,
    /// Prompt parts that targets keep, if these were asked for.
    #[prost(message, repeated, tag = "3")]
    pub cached: Vec<CachedPart>,
}

/// One target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetRow {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Where it listens.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Where it is.
    #[prost(string, tag = "4")]
    pub centre: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it leaves.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Time of its start.
    #[prost(int64, tag = "7")]
    pub born: i64,
    /// Position of its row in the table.
    #[prost(uint64, tag = "8")]
    pub position: u64,
}

/// Longest configuration that is inflated, in bytes.
const MAX_CONFIG: u64 = 64 * 1024 * 1024;

/// Deflates a configuration: its rules repeat the same words, and a tenth of
/// the bytes goes over links of 10 Mbit/s.
///
/// # Errors
///
/// Never in practice: writing to memory does not fail.
pub fn deflate(config: &[u8]) -> io::Result<bytes::Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(config)?;
    Ok(encoder.finish()?.into())
}

/// Inflates what [`deflate`] made.
///
/// # Errors
///
/// When the bytes are malformed.
pub fn inflate(bytes: &[u8]) -> io::Result<bytes::Bytes> {
    let mut config = Vec::new();
    DeflateDecoder::new(bytes)
        .take(MAX_CONFIG)
        .read_to_end(&mut config)?;
    Ok(config.into())
}

impl From<CrashReport> for CrashEntry {
    fn from(report: CrashReport) -> Self {
        Self {
            content: report.fingerprint.0,
            target: report.target,
        }
    }
}

impl From<CrashEntry> for CrashReport {
    fn from(report: CrashEntry) -> Self {
        Self {
            fingerprint: id::Fingerprint(report.content),
            target: report.target,
        }
    }
}

impl CachedPart {
    /// Makes an entry.
    pub fn new(target: TargetHash, part: PartHash) -> Self {
        Self {
            target: target.0,
            part: part.0,
        }
    }
}

impl Suspension {
    /// Makes an entry.
    pub fn new(target: TargetHash, time: span::Span) -> Self {
        Self {
            target: target.0,
            millis: u32::try_from(time.as_micros() / 1_000).unwrap_or(u32::MAX),
        }
    }

    /// Returns for how long the target gets no request.
    pub fn time(&self) -> span::Span {
        span::Span::from_millis(self.millis.into())
    }
}

impl SlowTarget {
    /// Makes an entry.
    pub fn new(target: TargetHash, factor: f64, age: span::Span) -> Self {
        Self {
            target: target.short(),
            percent: (factor * 100.0) as u32,
            age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the factor by which the target is slower than others.
    pub fn factor(&self) -> f64 {
        f64::from(self.percent) / 100.0
    }

    /// Returns the age of the evidence.
    pub fn age(&self) -> span::Span {
        span::Span::from_millis(self.age.into())
    }
}

impl From<&Departure> for DepartureEntry {
    fn from(departure: &Departure) -> Self {
        Self {
            target: departure.target.to_string(),
            position: departure.position.0,
            gone: departure.gone,
        }
    }
}

impl TryFrom<&DepartureEntry> for Departure {
    type Error = id::IdError;

    fn try_from(left: &DepartureEntry) -> Result<Self, id::IdError> {
        Ok(Self {
            target: left.target.parse()?,
            position: Position(left.position),
            gone: left.gone,
        })
    }
}

impl TargetRow {
    /// Makes a row.
    pub fn new(position: Position, target: &row::Target) -> Self {
        Self {
            id: target.id.to_string(),
            address: target.address.to_string(),
            service: target.service.to_string(),
            centre: target.centre.to_string(),
            slots: target.slots,
            leaving: target.leaving,
            born: target.started_at,
            position: position.0,
        }
    }

    /// Returns the target and the position of its row.
    ///
    /// # Errors
    ///
    /// When an id or the address is malformed.
    pub fn target(&self) -> anyhow::Result<(Position, row::Target)> {
        let target = row::Target {
            id: self.id.parse()?,
            address: self.address.parse()?,
            service: self.service.parse()?,
            centre: self.centre.parse()?,
            slots: self.slots,
            leaving: self.leaving,
            started_at: self.born,
        };
        Ok((Position(self.position), target))
    }
}
