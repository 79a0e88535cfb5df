//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Maximum length of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The blank line that terminates an event.
const TERMINATOR: &[u8] = b"\n\n";

/// Why a stream cannot be forwarded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event id is not greater than the one before it.
    #[error("event id {found} follows event id {last}")]
    Unordered {
        /// The preceding id.
        last: u64,
        /// The id that was received.
        found: u64,
    },
    /// An event id fits between the last two events that were forwarded, or repeats the
    /// last one. It may continue the stream, so that the last one does not belong to it.
    #[error("event id {found} shows that the forwarded event id {last} may be stray")]
    Contradicted {
        /// The id that was forwarded.
        last: u64,
        /// The id that was received.
        found: u64,
    },
    /// A line does not begin with the name of a field, for example the status line of
    /// another response.
    #[error("a line of an event has no field name")]
    Malformed,
    /// An event is longer than 256 KiB.
    #[error("event exceeds 256 KiB")]
    TooLong,
}

impl EventError {
    /// Returns whether all events that were forwarded belong to the stream, so that it can
    /// be resumed after them.
    pub fn is_resumable(self) -> bool {
        !matches!(self, Self::Contradicted { .. })
    }
}

/// What the bytes of one read completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completed {
    /// The complete events up to the fault, if there is one.
    pub events: Bytes,
    /// Why the stream cannot be continued after these events.
    pub error: Option<EventError>,
}

/// The state after a complete event.
#[derive(Clone, Copy, Debug)]
struct Boundary {
    /// Offset of the end of the event in the bytes that were split.
    end: usize,
    /// Id of the last event so far.
    last: Option<u64>,
    /// Id of the event before it.
    previous: Option<u64>,
    /// Number of events with an id so far.
    count: u64,
}

impl Boundary {
    fn read_line(&mut self, line: &[u8]) -> Result<(), EventError> {
        if !is_field(line) {
            return Err(EventError::Malformed);
        }
        let Some(found) = parse_id(line) else {
            return Ok(());
        };
        match self.last {
            Some(last) if found <= last => Err(EventError::Unordered { last, found }),
            _ => {
                self.previous = self.last;
                self.last = Some(found);
                self.count += 1;
                Ok(())
            }
        }
    }
}

/// Buffers the bytes of a stream until an event is complete. Only complete events
/// are forwarded, so that a stream that breaks within an event can be resumed at
/// another target.
#[derive(Debug)]
pub struct EventBuffer {
    buffer: BytesMut,
    /// Id of the last event that was returned. A stream is resumed after it, so that
    /// an event which is not returned must not count.
    last: Option<u64>,
    /// Id of the event before it, or the same id if that one is certain.
    previous: Option<u64>,
    /// Number of returned events with an id.
    count: u64,
}

impl EventBuffer {
    /// Creates a buffer; `last` is the id of the last event that the caller already
    /// received, if any.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last,
            previous: last,
            count: 0,
        }
    }

    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of returned events that had an id.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event, before the stream is resumed at another target. What
    /// that one sends says nothing about the events that were returned before.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.previous = self.last;
    }

    /// Appends bytes and returns the events that are now complete. After an error,
    /// nothing more of the same response can be appended.
    pub fn push(&mut self, bytes: &[u8]) -> Completed {
        // The bytes buffered before contain no terminator, so only the new ones are
        // searched. Searching a long event again for each of many short pieces
        // would take seconds.
        let searched = self.buffer.len().saturating_sub(TERMINATOR.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let new = self.buffer[searched..].windows(TERMINATOR.len());
        let Some(end) = new.rev().position(|end| end == TERMINATOR) else {
            let is_long = self.buffer.len() > MAX_EVENT_BYTES;
            return Completed {
                events: Bytes::new(),
                error: is_long.then_some(EventError::TooLong),
            };
        };
        let mut events = self.buffer.split_to(self.buffer.len() - end).freeze();
        let (boundary, error) = self.check(&events);
        events.truncate(boundary.end);
        let error = error.map(|error| match error {
            EventError::Unordered { last, found }
                if self.last == Some(last) && self.previous.is_none_or(|id| id < found) =>
            {
                EventError::Contradicted { last, found }
            }
            error => error,
        });
        self.last = boundary.last;
        self.previous = boundary.previous;
        self.count = boundary.count;
        Completed { events, error }
    }

    /// Returns the end of the events that can be forwarded, and what is wrong with the
    /// one that follows.
    fn check(&self, events: &[u8]) -> (Boundary, Option<EventError>) {
        let start = Boundary {
            end: 0,
            last: self.last,
            previous: self.previous,
            count: self.count,
        };
        let mut sound = vec![start];
        let mut next = start;
        for line in events.split_inclusive(|byte| *byte == b'\n') {
            next.end += line.len();
            if line == b"\n" {
                sound.push(next);
            } else if let Err(error) = next.read_line(line) {
                return (last_certain(&sound, error), Some(error));
            }
        }
        (next, None)
    }
}

/// Returns the last of the boundaries before which no event is in doubt.
///
/// If an event comes too late in the order, it may be the one that does not belong to
/// the stream, or the events before it that have its id or a larger one.
fn last_certain(sound: &[Boundary], error: EventError) -> Boundary {
    let is_certain = |boundary: &&Boundary| match error {
        EventError::Unordered { found, .. } => boundary.last.is_none_or(|last| last < found),
        _ => true,
    };
    let certain = sound.iter().rev().find(is_certain);
    // If the caller already has an event with such an id, none of the new ones is in
    // doubt.
    *certain.unwrap_or(&sound[sound.len() - 1])
}

/// Returns whether a line of an event has the name of a field before its colon, or is
/// a comment.
fn is_field(line: &[u8]) -> bool {
    let mut name = line.iter().take_while(|byte| !b":\r\n".contains(byte));
    // Bytes above 127 may be the byte order mark at the start of a stream.
    name.all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(byte) || !byte.is_ascii())
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
