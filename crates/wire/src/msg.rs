//! The messages, as prost types. Field numbers are part of the protocol and are
//! never given to another field.

/// A header of a request or an answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Header {
    /// Lower-case name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value as received.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// How often a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Class {
    /// May be run again after a broken link.
    Repeatable = 0,
    /// Runs at most once and has no idempotency key.
    Once = 1,
    /// Runs at most once for its idempotency key.
    Keyed = 2,
}

/// Whether a process takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// Known from the instance list alone.
    Listed = 0,
    /// Joined lately; its caches are cold.
    Warming = 1,
    /// Takes new work.
    Up = 2,
    /// Takes no new work and finishes what it has.
    Leaving = 3,
    /// Its target does not answer.
    Down = 4,
}

/// The two roles of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Accepts callers.
    Router = 0,
    /// Stands beside one target.
    Agent = 1,
}

/// What every reply tells about its sender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SenderStatus {
    /// Process id.
    #[prost(string, tag = "1")]
    pub process: String,
    /// Run of that process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Configuration version in use.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Outstanding requests, queued ones included.
    #[prost(uint32, tag = "4")]
    pub load: u32,
    /// Outstanding requests that the bound allows now.
    #[prost(uint32, tag = "5")]
    pub cap: u32,
    /// Whether it takes new work.
    #[prost(enumeration = "Standing", tag = "6")]
    pub standing: i32,
    /// Present epoch of an agent's ledger; 0 from a router.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
    /// Orders the reports of a run, as in [`Load`].
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// Requests in `load` that wait in the agent's queue.
    #[prost(uint32, tag = "9")]
    pub waiting: u32,
}

/// Asks an agent to run a request at its target.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Run {
    /// Request id, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: bytes::Bytes,
    /// Service id.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Team id.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Run of the agent that the router knows; 0 when it knows none.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Chat for placement and cache.
    #[prost(fixed64, tag = "5")]
    pub chat: u64,
    /// Larger runs first.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Milliseconds that remain until the deadline.
    #[prost(uint32, tag = "7")]
    pub remaining: u32,
    /// 1 for the first try.
    #[prost(uint32, tag = "8")]
    pub attempt: u32,
    /// How often it may be run.
    #[prost(enumeration = "Class", tag = "9")]
    pub class: i32,
    /// Idempotency key of the caller; empty when there is none.
    #[prost(string, tag = "10")]
    pub key: String,
    /// SHA-256 of method, path and body; set with a key.
    #[prost(bytes = "bytes", tag = "11")]
    pub digest: bytes::Bytes,
    /// Content fingerprint for quarantine.
    #[prost(fixed64, tag = "12")]
    pub fingerprint: u64,
    /// HTTP method.
    #[prost(string, tag = "13")]
    pub method: String,
    /// Path with query.
    #[prost(string, tag = "14")]
    pub path: String,
    /// Headers to pass on.
    #[prost(message, repeated, tag = "15")]
    pub headers: Vec<Header>,
    /// Whole body.
    #[prost(bytes = "bytes", tag = "16")]
    pub body: bytes::Bytes,
    /// Bytes of the answer that the caller already has.
    #[prost(uint64, tag = "17")]
    pub delivered: u64,
    /// Address of the agent whose engine may hold this chat's cache; empty when none.
    #[prost(string, tag = "18")]
    pub cache_source: String,
    /// The router's stamp.
    #[prost(message, optional, tag = "19")]
    pub sender: Option<SenderStatus>,
    /// Fair-share weight of the team.
    #[prost(uint32, tag = "20")]
    pub weight: u32,
    /// The freshest loads of other agents of the service, at most 8.
    #[prost(message, repeated, tag = "21")]
    pub loads: Vec<Load>,
    /// Latest epoch of the agent's ledger that the router knows; 0 for none.
    #[prost(uint64, tag = "22")]
    pub epoch: u64,
    /// What is known of the request's content and of all that was in flight at
    /// the same crashes.
    #[prost(message, repeated, tag = "23")]
    pub suspects: Vec<Suspect>,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Reason {
    /// No reason given.
    None = 0,
    /// The target is at its bound and the queue is full.
    Bound = 1,
    /// The team's share of the queue is full.
    Share = 2,
    /// The deadline passed while it waited.
    Deadline = 3,
    /// The target is leaving.
    Leaving = 4,
    /// The target does not answer.
    Down = 5,
    /// The content crashed targets.
    Quarantine = 6,
    /// The table cannot be asked, so the key cannot be claimed.
    Table = 7,
    /// Another agent holds the claim.
    Claimed = 8,
    /// The key was used with another request.
    Mismatch = 9,
    /// The router meant another run of this agent.
    Incarnation = 10,
    /// The agent serves another service.
    Service = 11,
    /// The router settled the request before it arrived.
    Tombstone = 12,
    /// The caller left.
    Cancelled = 13,
    /// The message was not valid.
    Invalid = 14,
}

/// States that the request was not run here and will not be.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Refused {
    /// Why.
    #[prost(enumeration = "Reason", tag = "1")]
    pub reason: i32,
    /// Milliseconds after which the caller may come back.
    #[prost(uint32, tag = "2")]
    pub after: u32,
    /// Process ids of less loaded agents of the service.
    #[prost(string, repeated, tag = "3")]
    pub peers: Vec<String>,
    /// Process id of the agent that holds the claim.
    #[prost(string, tag = "4")]
    pub owner: String,
}

/// Begins an answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Head {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers to pass on.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Request id that the target echoed, 16 bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub id: bytes::Bytes,
    /// Whether this is a stored answer.
    #[prost(bool, tag = "4")]
    pub replayed: bool,
    /// Whether the stream can continue elsewhere from an offset.
    #[prost(bool, tag = "5")]
    pub resumable: bool,
}

/// A piece of the answer's body.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Data {
    /// Offset of the first byte.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: bytes::Bytes,
}

/// Ends a whole answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct End {
    /// Length of the whole body.
    #[prost(uint64, tag = "1")]
    pub total: u64,
}

/// Ends an answer that is not whole.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Interrupted {
    /// What failed, for the log.
    #[prost(string, tag = "1")]
    pub cause: String,
    /// Whether the target may have run it.
    #[prost(bool, tag = "2")]
    pub dispatched: bool,
    /// Bytes of the body that were sent.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Whether another target may continue from the offset.
    #[prost(bool, tag = "4")]
    pub resumable: bool,
    /// What is known of the request's content after a crash.
    #[prost(message, repeated, tag = "5")]
    pub suspects: Vec<Suspect>,
}

/// One frame of an agent's reply stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reply {
    /// Set on the first frame and when the sender's state has changed.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<SenderStatus>,
    /// What the frame says; a frame may hold only a stamp.
    #[prost(oneof = "Part", tags = "2, 3, 4, 5, 6")]
    pub part: Option<Part>,
}

/// The kinds of reply frame.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Part {
    /// Not run.
    #[prost(message, tag = "2")]
    Refused(Refused),
    /// The answer begins.
    #[prost(message, tag = "3")]
    Head(Head),
    /// More of the body.
    #[prost(message, tag = "4")]
    Data(Data),
    /// The answer is whole.
    #[prost(message, tag = "5")]
    End(End),
    /// The answer is not whole.
    #[prost(message, tag = "6")]
    Interrupted(Interrupted),
}

/// Asks what became of a request after a broken link.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Settle {
    /// Request id, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: bytes::Bytes,
    /// Run of the agent that the request was sent to.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Bytes of the answer's body that the router has.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Whether the router has the head.
    #[prost(bool, tag = "4")]
    pub has_head: bool,
    /// Milliseconds that remain until the deadline.
    #[prost(uint32, tag = "5")]
    pub remaining: u32,
    /// Epoch that the `Run` message carried.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
}

/// Tells that the caller left.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Cancel {
    /// Request id, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: bytes::Bytes,
}

/// Asks an agent for the KV cache that its engine holds of a chat.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CacheRequest {
    /// The chat, as in [`Run`].
    #[prost(fixed64, tag = "1")]
    pub chat: u64,
}

/// All that a process knows of a member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Member {
    /// Process id.
    #[prost(string, tag = "1")]
    pub process: String,
    /// Run of that process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Orders the reports of a run.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Router or agent.
    #[prost(enumeration = "Role", tag = "4")]
    pub role: i32,
    /// IP address and port for other processes.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Data centre.
    #[prost(string, tag = "6")]
    pub centre: String,
    /// Service of an agent's target.
    #[prost(string, tag = "7")]
    pub service: String,
    /// An agent's target.
    #[prost(string, tag = "8")]
    pub target: String,
    /// Capacity of the target relative to others, in hundredths.
    #[prost(uint32, tag = "9")]
    pub weight: u32,
    /// Whether it takes new work.
    #[prost(enumeration = "Standing", tag = "10")]
    pub standing: i32,
    /// Configuration version in use.
    #[prost(uint64, tag = "11")]
    pub version: u64,
    /// Outstanding requests.
    #[prost(uint32, tag = "12")]
    pub load: u32,
    /// Outstanding requests that the bound allows.
    #[prost(uint32, tag = "13")]
    pub cap: u32,
    /// Time since the report left its source, in tenths of a second; the sum of
    /// the times that it was held, so that no two clocks are compared.
    #[prost(uint32, tag = "14")]
    pub age: u32,
}

/// A load report, smaller than a member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Load {
    /// First 8 bytes of the hash of the process id.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// Run of that process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Orders the reports of a run.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Outstanding requests.
    #[prost(uint32, tag = "4")]
    pub load: u32,
    /// Outstanding requests that the bound allows.
    #[prost(uint32, tag = "5")]
    pub cap: u32,
    /// Configuration version in use.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// Time since the report left its source, in tenths of a second.
    #[prost(uint32, tag = "7")]
    pub age: u32,
    /// Whether it takes new work.
    #[prost(enumeration = "Standing", tag = "8")]
    pub standing: i32,
}

/// Load reports in columns of equal length; about 15 bytes for a report that
/// takes 33 bytes as a [`Load`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Loads {
    /// Hash of process id and incarnation.
    #[prost(fixed64, repeated, tag = "1")]
    pub runs: Vec<u64>,
    /// Orders the reports of a run.
    #[prost(uint64, repeated, tag = "2")]
    pub sequences: Vec<u64>,
    /// Outstanding requests times 8, plus the standing.
    #[prost(uint32, repeated, tag = "3")]
    pub states: Vec<u32>,
    /// Outstanding requests that the bound allows.
    #[prost(uint32, repeated, tag = "4")]
    pub caps: Vec<u32>,
    /// Time since the reports left their sources, in tenths of a second.
    #[prost(uint32, repeated, tag = "5")]
    pub ages: Vec<u32>,
    /// Configuration versions, as the difference to the sender's version.
    #[prost(sint64, repeated, tag = "6")]
    pub version_offsets: Vec<i64>,
}

/// A crash of a target.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Crash {
    /// Target id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Tells the crashes of the target apart; a larger number is a later one.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Whether the target had crashed before within the term of a quarantine,
    /// with none of the same requests in flight.
    #[prost(bool, tag = "3")]
    pub repeated: bool,
}

/// A request content that was in flight at crashes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Suspect {
    /// Content fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Service id; empty when the sender does not know it.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The crashes that count against it.
    #[prost(message, repeated, tag = "7")]
    pub crashes: Vec<Crash>,
    /// For each target, the latest crash that is excused.
    #[prost(message, repeated, tag = "8")]
    pub excused: Vec<Crash>,
    /// Milliseconds until the entry ends.
    #[prost(uint32, tag = "4")]
    pub remaining: u32,
}

/// One exchange between two processes, in either direction.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Exchange {
    /// Sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<SenderStatus>,
    /// Members, most valuable news first.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
    /// Loads of members that the receiver is expected to know.
    #[prost(message, optional, tag = "13")]
    pub loads: Option<Loads>,
    /// Quarantine entries.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<Suspect>,
    /// Runs of which the sender wants the member record, as in [`Loads`].
    #[prost(fixed64, repeated, tag = "5")]
    pub wanted: Vec<u64>,
    /// Runs of which the sender's report is old, as in [`Loads`].
    #[prost(fixed64, repeated, tag = "6")]
    pub stale: Vec<u64>,
    /// Part of all members that a new process asks for, below `parts`.
    #[prost(uint32, tag = "7")]
    pub part: u32,
    /// Number of parts; 0 when the sender asks for none.
    #[prost(uint32, tag = "8")]
    pub parts: u32,
    /// Number of members that report to the sender, itself included.
    #[prost(uint32, tag = "9")]
    pub known: u32,
    /// Whether the message holds urgent news alone; the answer is kept short.
    #[prost(bool, tag = "10")]
    pub urgent: bool,
    /// Combined hash of process, incarnation and leaving state of all members
    /// that report to the sender.
    #[prost(fixed64, tag = "11")]
    pub digest: u64,
    /// The same for each part of the members, shortened; sent while digests
    /// differ.
    #[prost(fixed32, repeated, tag = "12")]
    pub digests: Vec<u32>,
    /// The sender's own heartbeat, as in [`Heartbeats`].
    #[prost(uint32, tag = "14")]
    pub heartbeat: u32,
    /// Signs of life of some parts of the members.
    #[prost(message, optional, tag = "15")]
    pub heartbeats: Option<Heartbeats>,
}

/// Signs of life, one byte for each member of the named parts.
///
/// A heartbeat is a counter from 1 to 255 that a process advances every second and
/// that then begins again; 0 stands for an unknown one.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Heartbeats {
    /// One bit for each part that the message has.
    #[prost(fixed64, tag = "1")]
    pub parts: u64,
    /// Digest of each of these parts, as in [`Exchange::digests`]. A receiver
    /// whose digest differs can't tell whose heartbeats they are and ignores them.
    #[prost(fixed32, repeated, tag = "2")]
    pub digests: Vec<u32>,
    /// Number of members of each of these parts, so that a receiver can skip a
    /// part; at most 255.
    #[prost(bytes = "bytes", tag = "4")]
    pub sizes: bytes::Bytes,
    /// Heartbeats of the members of these parts, in the order of their process ids.
    #[prost(bytes = "bytes", tag = "3")]
    pub heartbeats: bytes::Bytes,
}

/// Asks a peer for configuration changes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChangesSince {
    /// Last version that the asker has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// One accepted configuration change, or a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Change {
    /// Version that the change produced.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The change's row in the table, as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub row: bytes::Bytes,
    /// Whether the row is a snapshot of the whole configuration at this version.
    #[prost(bool, tag = "3")]
    pub snapshot: bool,
}
