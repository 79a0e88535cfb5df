//! Cuts an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event that is kept until its end comes, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Ends an event.
const TERMINATOR: &[u8] = b"\n\n";

/// Why a stream cannot be forwarded further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The ids do not increase.
    #[error("event {found} follows event {last}")]
    Unordered {
        /// Last id before it.
        last: u64,
        /// The id.
        found: u64,
    },
    /// An event is longer than 256 KiB.
    #[error("an event is too long")]
    TooLong,
}

/// Collects the bytes of a stream until events are whole, so that a stream
/// which breaks off within an event can go on elsewhere.
#[derive(Debug)]
pub struct EventBuffer {
    buffer: BytesMut,
    last: Option<u64>,
    /// Events with ids that came.
    count: u64,
}

impl EventBuffer {
    /// Starts after an event that the caller already has, if any.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last,
            count: 0,
        }
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many events with ids came.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether part of an event is left.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets a part of an event, before the stream goes on elsewhere.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Adds bytes and returns the whole events.
    ///
    /// # Errors
    ///
    /// When ids do not increase or an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        // What was there before holds no end. A long event in short pieces would
        // take seconds if it were searched again for each of them.
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
