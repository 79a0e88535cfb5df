//! Messages that routers exchange.
//!
//! An [`Update`] is a datagram that a router sends several times a second, to
//! all other routers or through relays ([`crate::relays`]). It carries absolute
//! values, so that a lost datagram does no harm. State that has to arrive
//! complete is fetched as a [`Snapshot`].

use std::io::{self, Read, Write};

use base::{id, span};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use platform::{
    rows::{Era, Position},
    target as row,
};
use prost::Message;

use crate::{
    evacuation::Evacuation,
    fleet::TargetHash,
    target_list::{Departure, Source},
};

/// Largest datagram that is sent, in bytes; larger ones would be fragmented on
/// the way.
pub const MAX_DATAGRAM: usize = 1_400;

/// Maximum number of cached prompt parts in one datagram.
pub const MAX_CACHED: usize = 32;

/// Maximum number of departures in one datagram.
pub const MAX_DEPARTURES: usize = 10;

/// Maximum number of new targets in one datagram.
pub const MAX_JOINED: usize = 4;

/// Maximum number of crashes in one datagram.
pub const MAX_CRASHES: usize = 10;

/// Maximum number of refused contents in one datagram.
pub const MAX_CONTENTS: usize = 2;

/// Maximum number of suspected parts of crashes in one datagram.
pub const MAX_SUSPECTS: usize = 32;

/// Maximum number of refused parts, and of cleared ones, in one datagram.
pub const MAX_REFUSED: usize = 8;

/// Maximum number of blocked targets in one datagram.
pub const MAX_BLOCKED: usize = 10;

/// Maximum number of slow targets in one datagram.
pub const MAX_SLOW: usize = 8;

/// A datagram with the sender's current state.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// Name of the sender's process.
    #[prost(string, tag = "1")]
    pub process: String,
    /// Identifies the run of the sender's process.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Orders the datagrams of one run.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Version of the configuration in force at the sender, 0 before it has one.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Short hashes of targets; the request count of each is at the same index
    /// in `counts`. Targets of the shard that are not listed have no requests.
    #[prost(fixed32, repeated, tag = "5")]
    pub targets: Vec<u32>,
    /// Prompt parts that the sender recently found to be cached by targets.
    #[prost(message, repeated, tag = "6")]
    pub cached: Vec<CachedPart>,
    /// Targets that are leaving or whose rows were removed.
    #[prost(message, repeated, tag = "7")]
    pub departures: Vec<DepartureEntry>,
    /// Targets that did not answer the sender and get no requests for some time.
    #[prost(message, repeated, tag = "8")]
    pub blocked: Vec<BlockedTarget>,
    /// Whether the sender can read the table.
    #[prost(bool, tag = "10")]
    pub reads_table: bool,
    /// Contents of requests that targets were running when they crashed.
    #[prost(message, repeated, tag = "11")]
    pub crashes: Vec<CrashEntry>,
    /// Whether the sender knows which prompt parts engines have cached.
    #[prost(bool, tag = "12")]
    pub cache_synced: bool,
    /// Number of requests at each of `targets`.
    #[prost(uint32, repeated, tag = "13")]
    pub counts: Vec<u32>,
    /// Which routers' requests are counted.
    #[prost(enumeration = "Scope", tag = "14")]
    pub scope: i32,
    /// Index of the shard of targets that the counts are about, from 0.
    #[prost(uint32, tag = "15")]
    pub shard: u32,
    /// Number of shards; 0 counts as 1.
    #[prost(uint32, tag = "16")]
    pub shards: u32,
    /// Number of routers whose requests are counted.
    #[prost(uint32, tag = "17")]
    pub coverage: u32,
    /// Hash of the sender's data centre.
    #[prost(fixed64, tag = "18")]
    pub centre: u64,
    /// The sender's CPU share, in thousandths of a core.
    #[prost(uint32, tag = "19")]
    pub share: u32,
    /// Whether the sender communicates through relays.
    #[prost(bool, tag = "20")]
    pub uses_relays: bool,
    /// Whether the sender wants the receiver to send it the total load of all
    /// other routers.
    #[prost(bool, tag = "21")]
    pub wants_totals: bool,
    /// Targets that recently started.
    #[prost(message, repeated, tag = "22")]
    pub joined: Vec<TargetRow>,
    /// Table position of the latest change of a target that the sender knows.
    #[prost(uint64, tag = "23")]
    pub last_change: u64,
    /// Targets that are slower than others.
    #[prost(message, repeated, tag = "24")]
    pub slow: Vec<SlowTarget>,
    /// Prompt parts that were in use when targets crashed.
    #[prost(message, repeated, tag = "25")]
    pub part_crashes: Vec<PartCrash>,
    /// Prompt parts that the sender refuses.
    #[prost(message, repeated, tag = "26")]
    pub refused_parts: Vec<RefusedPart>,
    /// Prompt parts of crashes that requests were answered with later.
    #[prost(message, repeated, tag = "27")]
    pub cleared_parts: Vec<ClearedPart>,
    /// Contents that the sender may refuse, some of them in turn.
    #[prost(message, repeated, tag = "28")]
    pub refused_contents: Vec<RefusedContent>,
    /// Evacuations of data centres, and ends of evacuations.
    #[prost(message, repeated, tag = "40")]
    pub evacuations: Vec<EvacuationEntry>,
    /// The latest era of the table that the sender knows.
    #[prost(uint64, tag = "41")]
    pub era: u64,
    /// The era of `last_change`.
    #[prost(uint64, tag = "42")]
    pub change_era: u64,
}

/// A crash of a target, and the prompt parts that may be its cause.
#[derive(Clone, PartialEq, Message)]
pub struct PartCrash {
    /// Hash that identifies the run of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Service of the target.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Time since the crash, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age: u32,
    /// The parts.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<SuspectPart>,
    /// The requests that may be the cause.
    #[prost(message, repeated, tag = "5")]
    pub prompts: Vec<Prompt>,
}

/// The parts of a request that may be the cause of a crash.
#[derive(Clone, PartialEq, Message)]
pub struct Prompt {
    /// Indexes of the parts in [`PartCrash::suspects`].
    #[prost(uint32, repeated, tag = "1")]
    pub suspects: Vec<u32>,
}

/// A prompt part that may be the cause of a crash.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SuspectPart {
    /// Hash of the part's id.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Index of the part in the prompt.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// How many crashes of the part had followed one another with this one, as far
    /// as the router knew that sent the request.
    #[prost(uint32, tag = "3")]
    pub level: u32,
}

/// A prompt part that is refused.
#[derive(Clone, PartialEq, Message)]
pub struct RefusedPart {
    /// Hash of the part's id.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since the latest crash at which the part was in use, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age: u32,
    /// Time until the end of the refusal term, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub remaining: u32,
    /// Hashes of the ids of further parts: only prompts with all are refused.
    #[prost(fixed64, repeated, tag = "4")]
    pub others: Vec<u64>,
}

/// A prompt part that requests were answered with after a crash.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ClearedPart {
    /// Hash of the part's id.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since the first event of such a response, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age: u32,
}

/// Which routers' requests a message counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Scope {
    /// None; the message lists no targets.
    Nothing = 0,
    /// The sender's own requests.
    Own = 1,
    /// Requests of all routers in the sender's data centre.
    Centre = 2,
    /// Requests of all routers except the receiver.
    Others = 3,
}

/// A prompt part that a target has cached.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CachedPart {
    /// Hash of the target's id.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Hash of the part's id.
    #[prost(fixed64, tag = "2")]
    pub part: u64,
}

/// Content of a request that a target was running when it crashed.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CrashEntry {
    /// Hash of the content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// Hash that identifies the run of the target.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Time since the crash, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age: u32,
    /// Time from the sending of the request to the crash, in milliseconds; none if
    /// it is unknown.
    #[prost(uint32, optional, tag = "4")]
    pub flight: Option<u32>,
}

/// A content that may be refused because it crashes targets.
#[derive(Clone, PartialEq, Message)]
pub struct RefusedContent {
    /// Hash of the content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// For each crash, a hash that identifies the run of the target.
    #[prost(fixed64, repeated, tag = "2")]
    pub targets: Vec<u64>,
    /// Time since the latest crash, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age: u32,
}

/// A target that is leaving or was removed.
#[derive(Clone, PartialEq, Message)]
pub struct DepartureEntry {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Table position of the change.
    #[prost(uint64, tag = "2")]
    pub position: u64,
    /// Whether the target's row was removed.
    #[prost(bool, tag = "3")]
    pub removed: bool,
    /// Start time of the target; absent if the sender does not tell.
    #[prost(int64, optional, tag = "4")]
    pub born: Option<i64>,
    /// The era of `position`.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

/// A target that did not answer and gets no requests for some time.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct BlockedTarget {
    /// Hash of the target's id.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Time for which the target gets no requests, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub millis: u32,
}

/// A target that is slower than others.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlowTarget {
    /// Short hash of the target's id.
    #[prost(fixed32, tag = "1")]
    pub target: u32,
    /// How many times slower than other targets it is, in hundredths.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
    /// Age of the measurement, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age: u32,
}

/// Request for a [`Snapshot`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SnapshotRequest {
    /// Whether to return only the prompt parts that targets have cached.
    #[prost(bool, tag = "1")]
    pub cached: bool,
}

/// State for a router that cannot read the table or has just started.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// The configuration as stored in the table, deflated; empty if there is
    /// none yet.
    #[prost(bytes = "bytes", tag = "1")]
    pub config: bytes::Bytes,
    /// The targets.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetRow>,
    /// Prompt parts that targets have cached, if they were requested.
    #[prost(message, repeated, tag = "3")]
    pub cached: Vec<CachedPart>,
    /// Evacuations of data centres, and ends of evacuations.
    #[prost(message, repeated, tag = "40")]
    pub evacuations: Vec<EvacuationEntry>,
}

/// Whether a data centre is evacuated.
#[derive(Clone, PartialEq, Message)]
pub struct EvacuationEntry {
    /// The data centre.
    #[prost(string, tag = "1")]
    pub centre: String,
    /// Position of the latest known change of the operator's row.
    #[prost(uint64, tag = "2")]
    pub position: u64,
    /// Whether the row exists.
    #[prost(bool, tag = "3")]
    pub active: bool,
    /// The era of `position`.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}

/// The table row of a target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetRow {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The address that the target listens on.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The service that the target belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The target's data centre.
    #[prost(string, tag = "4")]
    pub centre: String,
    /// Number of requests that the target can run concurrently.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether the target is leaving.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Start time of the target.
    #[prost(int64, tag = "7")]
    pub born: i64,
    /// Position of the row in the table.
    #[prost(uint64, tag = "8")]
    pub position: u64,
    /// Time for which the target is still cold, in milliseconds; absent if the
    /// sender does not know of cold targets.
    #[prost(uint32, optional, tag = "9")]
    pub cold: Option<u32>,
    /// Through how many routers the time came from the one that the target told it
    /// in a response, which is 1. If 0, the time is that of the row.
    #[prost(uint32, tag = "10")]
    pub hops: u32,
    /// The era of `position`.
    #[prost(uint64, tag = "11")]
    pub era: u64,
    /// Whether the row may come from the copy from which the table came back.
    #[prost(bool, tag = "12")]
    pub copied: bool,
}

fn position(era: u64, version: u64) -> Position {
    Position {
        era: Era(era),
        version,
    }
}

/// Maximum size of an inflated configuration, in bytes.
const MAX_CONFIG: u64 = 64 * 1024 * 1024;

/// Compresses a configuration with DEFLATE. Its rules are repetitive, so it
/// shrinks to a tenth, which matters on links of 10 Mbit/s.
///
/// # Errors
///
/// Never in practice: writing to memory does not fail.
pub fn deflate(config: &[u8]) -> io::Result<bytes::Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(config)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses the output of [`deflate`].
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

impl CachedPart {
    /// Creates an entry for a part at a target.
    pub fn new(target: TargetHash, part: id::PartHash) -> Self {
        Self {
            target: target.0,
            part: part.0,
        }
    }
}

impl BlockedTarget {
    /// Creates an entry for a target that gets no requests for `time`.
    pub fn new(target: TargetHash, time: span::Span) -> Self {
        Self {
            target: target.0,
            millis: u32::try_from(time.as_micros() / 1_000).unwrap_or(u32::MAX),
        }
    }

    /// Returns for how long the target gets no requests.
    pub fn time(&self) -> span::Span {
        span::Span::from_millis(self.millis.into())
    }
}

impl SlowTarget {
    /// Creates an entry for a target that is slower than others by `factor`,
    /// measured `age` ago.
    pub fn new(target: TargetHash, factor: f64, age: span::Span) -> Self {
        Self {
            target: target.short(),
            percent: (factor * 100.0) as u32,
            age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns how many times slower than other targets the target is.
    pub fn factor(&self) -> f64 {
        f64::from(self.percent) / 100.0
    }

    /// Returns the age of the measurement.
    pub fn age(&self) -> span::Span {
        span::Span::from_millis(self.age.into())
    }
}

impl From<&Departure> for DepartureEntry {
    fn from(departure: &Departure) -> Self {
        Self {
            target: departure.target.to_string(),
            position: departure.position.version,
            removed: departure.removed,
            born: departure.started_at,
            era: departure.position.era.0,
        }
    }
}

impl TryFrom<&DepartureEntry> for Departure {
    type Error = id::IdError;

    fn try_from(entry: &DepartureEntry) -> Result<Self, id::IdError> {
        Ok(Self {
            target: entry.target.parse()?,
            position: position(entry.era, entry.position),
            removed: entry.removed,
            started_at: entry.born,
        })
    }
}

impl From<&Evacuation> for EvacuationEntry {
    fn from(evacuation: &Evacuation) -> Self {
        Self {
            centre: evacuation.centre.to_string(),
            position: evacuation.position.version,
            active: evacuation.active,
            era: evacuation.position.era.0,
        }
    }
}

impl TryFrom<&EvacuationEntry> for Evacuation {
    type Error = id::IdError;

    fn try_from(entry: &EvacuationEntry) -> Result<Self, id::IdError> {
        Ok(Self {
            centre: entry.centre.parse()?,
            position: position(entry.era, entry.position),
            active: entry.active,
        })
    }
}

impl TargetRow {
    /// Encodes the row of a target.
    pub fn new(source: Source, target: &row::Target) -> Self {
        Self {
            id: target.id.to_string(),
            address: target.address.to_string(),
            service: target.service.to_string(),
            centre: target.centre.to_string(),
            slots: target.slots,
            leaving: target.leaving,
            born: target.started_at,
            position: source.position.version,
            cold: Some(u32::try_from(target.cold.as_millis()).unwrap_or(u32::MAX)),
            hops: 0,
            era: source.position.era.0,
            copied: source.copied,
        }
    }

    /// Returns the time for which the target is still cold, zero if it is unknown.
    pub fn cold_time(&self) -> span::Span {
        let cold = span::Span::from_millis(self.cold.unwrap_or_default().into());
        cold.min(row::MAX_COLD)
    }

    /// Decodes the target and where its row is from.
    ///
    /// # Errors
    ///
    /// When an id or the address is malformed.
    pub fn target(&self) -> anyhow::Result<(Source, row::Target)> {
        let target = row::Target {
            id: self.id.parse()?,
            address: self.address.parse()?,
            service: self.service.parse()?,
            centre: self.centre.parse()?,
            slots: self.slots,
            cold: self.cold_time(),
            leaving: self.leaving,
            started_at: self.born,
        };
        let source = Source {
            position: position(self.era, self.position),
            copied: self.copied,
        };
        Ok((source, target))
    }
}
