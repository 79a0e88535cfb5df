//! The messages, as prost types. Field numbers are part of the protocol and must
//! never be reused for another field.

/// A header of a request or a response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Header {
    /// Name in lower case.
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
    /// May be run again after a connection failure.
    Repeatable = 0,
    /// Runs at most once and has no idempotency key.
    Once = 1,
    /// Runs at most once for its idempotency key.
    Keyed = 2,
}

/// Whether a process accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// Known only from the instance list.
    Listed = 0,
    /// Joined recently; its caches are cold.
    Warming = 1,
    /// Accepts new work.
    Up = 2,
    /// Accepts no new work and finishes the requests that it has.
    Leaving = 3,
    /// The process's target does not respond.
    Down = 4,
}

/// The two roles of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Accepts callers.
    Router = 0,
    /// Runs next to one target and forwards requests to it.
    Agent = 1,
}

/// The state of a process, sent with its messages.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SenderStatus {
    /// Process id.
    #[prost(string, tag = "1")]
    pub process: String,
    /// Incarnation of that process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Configuration version in use.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Outstanding requests, queued ones included.
    #[prost(uint32, tag = "4")]
    pub load: u32,
    /// Largest number of outstanding requests that the load bound allows now.
    #[prost(uint32, tag = "5")]
    pub cap: u32,
    /// Whether it accepts new work.
    #[prost(enumeration = "Standing", tag = "6")]
    pub standing: i32,
    /// Current epoch of an agent's ledger; 0 from a router.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
    /// Orders the reports of an incarnation, as in [`Load`].
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
    /// Incarnation of the agent that the router knows; 0 when it knows none.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Hash of the chat, for placement and the KV cache.
    #[prost(fixed64, tag = "5")]
    pub chat: u64,
    /// Priority; requests with larger values run first.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Milliseconds that remain until the deadline.
    #[prost(uint32, tag = "7")]
    pub remaining: u32,
    /// Number of the attempt, counted from 1.
    #[prost(uint32, tag = "8")]
    pub attempt: u32,
    /// How often the request may be run.
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
    /// Headers to forward.
    #[prost(message, repeated, tag = "15")]
    pub headers: Vec<Header>,
    /// Request body.
    #[prost(bytes = "bytes", tag = "16")]
    pub body: bytes::Bytes,
    /// Bytes of the response body that the caller already has.
    #[prost(uint64, tag = "17")]
    pub delivered: u64,
    /// Address of the agent whose engine may have this chat's KV cache; empty when
    /// there is none.
    #[prost(string, tag = "18")]
    pub cache_source: String,
    /// State of the router.
    #[prost(message, optional, tag = "19")]
    pub sender: Option<SenderStatus>,
    /// Fair-share weight of the team.
    #[prost(uint32, tag = "20")]
    pub weight: u32,
    /// Latest load reports of at most 8 other agents of the service.
    #[prost(message, repeated, tag = "21")]
    pub loads: Vec<Load>,
    /// Latest epoch of the agent's ledger that the router knows; 0 for none.
    #[prost(uint64, tag = "22")]
    pub epoch: u64,
    /// Quarantine entries of the request's content and of the contents that were in
    /// flight at the same crashes.
    #[prost(message, repeated, tag = "23")]
    pub suspects: Vec<Suspect>,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Reason {
    /// No reason given.
    None = 0,
    /// The target is at its load bound and the queue is full.
    Bound = 1,
    /// The team's share of the queue is full.
    Share = 2,
    /// The deadline passed while the request was queued.
    Deadline = 3,
    /// The target is leaving.
    Leaving = 4,
    /// The target does not respond.
    Down = 5,
    /// The content crashed targets.
    Quarantine = 6,
    /// The table is unavailable, so the idempotency key cannot be claimed.
    Table = 7,
    /// Another agent has claimed the idempotency key.
    Claimed = 8,
    /// The idempotency key was used with another request.
    Mismatch = 9,
    /// The request was sent to another incarnation of this agent.
    Incarnation = 10,
    /// The agent serves another service.
    Service = 11,
    /// The router's [`Settle`] message for the request arrived before it.
    Tombstone = 12,
    /// The caller disconnected.
    Cancelled = 13,
    /// The message was not valid.
    Invalid = 14,
}

/// The agent did not run the request and will not run it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Refused {
    /// Why the request was not run.
    #[prost(enumeration = "Reason", tag = "1")]
    pub reason: i32,
    /// Milliseconds after which the caller may retry.
    #[prost(uint32, tag = "2")]
    pub after: u32,
    /// Process ids of agents of the service with less load.
    #[prost(string, repeated, tag = "3")]
    pub peers: Vec<String>,
    /// Process id of the agent that has claimed the idempotency key.
    #[prost(string, tag = "4")]
    pub owner: String,
}

/// The head of a response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Head {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers to forward.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Request id that the target returned, 16 bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub id: bytes::Bytes,
    /// Whether this is a stored response.
    #[prost(bool, tag = "4")]
    pub replayed: bool,
    /// Whether another target can continue the stream from an offset.
    #[prost(bool, tag = "5")]
    pub resumable: bool,
}

/// A part of the response body.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Data {
    /// Offset of the first byte in the body.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: bytes::Bytes,
}

/// Ends a complete response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct End {
    /// Length of the body, in bytes.
    #[prost(uint64, tag = "1")]
    pub total: u64,
}

/// Ends an incomplete response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Interrupted {
    /// What failed, for the log.
    #[prost(string, tag = "1")]
    pub cause: String,
    /// Whether the target may have processed the request.
    #[prost(bool, tag = "2")]
    pub dispatched: bool,
    /// Bytes of the body that were sent.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Whether another target may continue from the offset.
    #[prost(bool, tag = "4")]
    pub resumable: bool,
    /// Quarantine entries of the request's content after a crash.
    #[prost(message, repeated, tag = "5")]
    pub suspects: Vec<Suspect>,
}

/// One frame of an agent's reply stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reply {
    /// Set on the first frame and when the sender's state has changed.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<SenderStatus>,
    /// Content of the frame; absent when the frame has only the sender's state.
    #[prost(oneof = "Part", tags = "2, 3, 4, 5, 6")]
    pub part: Option<Part>,
}

/// The kinds of reply frame.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Part {
    /// The request was not run.
    #[prost(message, tag = "2")]
    Refused(Refused),
    /// The response head.
    #[prost(message, tag = "3")]
    Head(Head),
    /// A part of the body.
    #[prost(message, tag = "4")]
    Data(Data),
    /// The response is complete.
    #[prost(message, tag = "5")]
    End(End),
    /// The response is incomplete.
    #[prost(message, tag = "6")]
    Interrupted(Interrupted),
}

/// Asks for the outcome of a request after a connection failure.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Settle {
    /// Request id, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: bytes::Bytes,
    /// Incarnation of the agent that the request was sent to.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Bytes of the response body that the router has.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Whether the router has the response head.
    #[prost(bool, tag = "4")]
    pub has_head: bool,
    /// Milliseconds that remain until the deadline.
    #[prost(uint32, tag = "5")]
    pub remaining: u32,
    /// Epoch that the `Run` message carried.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
}

/// Reports that the caller disconnected.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Cancel {
    /// Request id, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: bytes::Bytes,
}

/// Asks an agent for its engine's KV cache of a chat.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CacheRequest {
    /// Hash of the chat, as in [`Run`].
    #[prost(fixed64, tag = "1")]
    pub chat: u64,
}

/// The full report of a member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Member {
    /// Process id.
    #[prost(string, tag = "1")]
    pub process: String,
    /// Incarnation of that process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Orders the reports of an incarnation.
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
    /// Whether it accepts new work.
    #[prost(enumeration = "Standing", tag = "10")]
    pub standing: i32,
    /// Configuration version in use.
    #[prost(uint64, tag = "11")]
    pub version: u64,
    /// Outstanding requests.
    #[prost(uint32, tag = "12")]
    pub load: u32,
    /// Largest number of outstanding requests that the load bound allows.
    #[prost(uint32, tag = "13")]
    pub cap: u32,
    /// Age of the report, in tenths of a second. It is the sum of the times for
    /// which each process kept the report, so no two clocks are compared.
    #[prost(uint32, tag = "14")]
    pub age: u32,
}

/// A load report, which is smaller than a [`Member`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Load {
    /// First 8 bytes of the hash of the process id.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// Incarnation of that process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Orders the reports of an incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Outstanding requests.
    #[prost(uint32, tag = "4")]
    pub load: u32,
    /// Largest number of outstanding requests that the load bound allows.
    #[prost(uint32, tag = "5")]
    pub cap: u32,
    /// Configuration version in use.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// Age of the report, in tenths of a second, as in [`Member`].
    #[prost(uint32, tag = "7")]
    pub age: u32,
    /// Whether it accepts new work.
    #[prost(enumeration = "Standing", tag = "8")]
    pub standing: i32,
}

/// Load reports as columns of equal length. A report takes about 15 bytes, compared
/// with 33 bytes as a [`Load`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Loads {
    /// Hashes of process id and incarnation.
    #[prost(fixed64, repeated, tag = "1")]
    pub runs: Vec<u64>,
    /// Orders the reports of an incarnation.
    #[prost(uint64, repeated, tag = "2")]
    pub sequences: Vec<u64>,
    /// Outstanding requests times 8, plus the [`Standing`].
    #[prost(uint32, repeated, tag = "3")]
    pub states: Vec<u32>,
    /// Largest number of outstanding requests that the load bound allows.
    #[prost(uint32, repeated, tag = "4")]
    pub caps: Vec<u32>,
    /// Ages of the reports, in tenths of a second, as in [`Member`].
    #[prost(uint32, repeated, tag = "5")]
    pub ages: Vec<u32>,
    /// Configuration versions, as differences from the sender's version.
    #[prost(sint64, repeated, tag = "6")]
    pub version_offsets: Vec<i64>,
}

/// A crash of a target.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Crash {
    /// Target id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Number of the crash of this target; a later crash has a larger number.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Whether the target had already crashed within the duration of a quarantine,
    /// with none of the same requests in flight.
    #[prost(bool, tag = "3")]
    pub repeated: bool,
}

/// A quarantine entry: a request content that was in flight at crashes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Suspect {
    /// Content fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Service id; empty when the sender does not know it.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Crashes that count towards the quarantine of the content.
    #[prost(message, repeated, tag = "7")]
    pub crashes: Vec<Crash>,
    /// For each target, the latest crash that no longer counts.
    #[prost(message, repeated, tag = "8")]
    pub excused: Vec<Crash>,
    /// Milliseconds until the entry expires.
    #[prost(uint32, tag = "4")]
    pub remaining: u32,
}

/// A gossip exchange between two processes; request and reply have the same form.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Exchange {
    /// State of the sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<SenderStatus>,
    /// Member reports, the most important first.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
    /// Load reports of members that the receiver probably knows.
    #[prost(message, optional, tag = "13")]
    pub loads: Option<Loads>,
    /// Quarantine entries.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<Suspect>,
    /// Incarnations whose [`Member`] report the sender requests, as hashes as in
    /// [`Loads`].
    #[prost(fixed64, repeated, tag = "5")]
    pub wanted: Vec<u64>,
    /// Incarnations for which the sender has only an old report, as hashes as in
    /// [`Loads`].
    #[prost(fixed64, repeated, tag = "6")]
    pub stale: Vec<u64>,
    /// Index of the part of the members that a new process requests, less than
    /// `parts`.
    #[prost(uint32, tag = "7")]
    pub part: u32,
    /// Number of parts; 0 when the sender requests none.
    #[prost(uint32, tag = "8")]
    pub parts: u32,
    /// Number of members that report to the sender, itself included.
    #[prost(uint32, tag = "9")]
    pub known: u32,
    /// Whether the message has only urgent updates; the reply is then kept short.
    #[prost(bool, tag = "10")]
    pub urgent: bool,
    /// Combined hash of process, incarnation and leaving state of all members
    /// that report to the sender.
    #[prost(fixed64, tag = "11")]
    pub digest: u64,
    /// The same hash for each part of the members, shortened; sent while the digests
    /// of the two processes differ.
    #[prost(fixed32, repeated, tag = "12")]
    pub digests: Vec<u32>,
    /// Heartbeat counter of the sender, as in [`Heartbeats`].
    #[prost(uint32, tag = "14")]
    pub heartbeat: u32,
    /// Heartbeats of some parts of the members.
    #[prost(message, optional, tag = "15")]
    pub heartbeats: Option<Heartbeats>,
}

/// Heartbeats, one byte for each member of the listed parts.
///
/// A heartbeat is a counter that a process increments every second, from 1 to 255
/// and then from 1 again; 0 means that it is unknown.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Heartbeats {
    /// Bit set of the parts in the message.
    #[prost(fixed64, tag = "1")]
    pub parts: u64,
    /// Digest of each of these parts, as in [`Exchange::digests`]. A receiver whose
    /// digest differs cannot assign the heartbeats to members and ignores them.
    #[prost(fixed32, repeated, tag = "2")]
    pub digests: Vec<u32>,
    /// Number of members of each of these parts, at most 255, so that a receiver can
    /// skip a part.
    #[prost(bytes = "bytes", tag = "4")]
    pub sizes: bytes::Bytes,
    /// Heartbeats of the members of these parts, in the order of their process ids.
    #[prost(bytes = "bytes", tag = "3")]
    pub heartbeats: bytes::Bytes,
}

/// Asks a peer for configuration changes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChangesSince {
    /// Latest version that the sender has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// One accepted configuration change, or a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Change {
    /// Version that the change produced.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Row of the change in the table, as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub row: bytes::Bytes,
    /// Whether the row is a snapshot of the whole configuration at this version.
    #[prost(bool, tag = "3")]
    pub snapshot: bool,
}
