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
    /// An event is longer than 256 KiB.
    #[error("event exceeds 256 KiB")]
    TooLong,
}

/// Buffers the bytes of a stream until an event is complete. Only complete events
/// are forwarded, so that a stream that breaks within an event can be resumed at
/// another target.
#[derive(Debug)]
pub struct EventBuffer {
    buffer: BytesMut,
    /// Id of the last complete event.
    last: Option<u64>,
    /// Number of complete events with an id.
    count: u64,
}

impl EventBuffer {
    /// Creates a buffer; `last` is the id of the last event that the caller already
    /// received, if any.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last,
            count: 0,
        }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of complete events that had an id.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event, before the stream is resumed at another target.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Appends bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// When the event ids do not increase or an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        // The bytes buffered before contain no terminator, so only the new ones are
        // searched. Searching a long event again for each of many short pieces
        // would take seconds.
        let searched = self.buffer.len().saturating_sub(TERMINATOR.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let new = self.buffer[searched..].windows(TERMINATOR.len());
        let Some(end) = new.rev().position(|end| end == TERMINATOR) else {
            return match self.buffer.len() {
                ..=MAX_EVENT_BYTES => Ok(Bytes::new()),
                _ => Err(EventError::TooLong),
            };
        };
        let events = self.buffer.split_to(self.buffer.len() - end).freeze();
        for line in events.split(|byte| *byte == b'\n') {
            if let Some(id) = parse_id(line) {
                self.record_id(id)?;
            }
        }
        Ok(events)
    }

    fn record_id(&mut self, found: u64) -> Result<(), EventError> {
        match self.last {
            Some(last) if found <= last => Err(EventError::Unordered { last, found }),
            _ => {
                self.last = Some(found);
                self.count += 1;
                Ok(())
            }
        }
    }
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
