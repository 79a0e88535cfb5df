//! The response of one request between the task that reads it from the target
//! and the reply stream that takes it to a router.
//!
//! The two ends are independent, so that the reply stream can break and
//! another one continue from an offset. The buffer between them has a window:
//! a slow router stops the reading from the target. Several requests with one
//! idempotency key read the same outlet.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::id;
use bytes::Bytes;
use tokio::sync::Notify;
use wire::msg;

use crate::body;

/// How much of a response an outlet holds, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Bytes that may wait for the reader.
    pub ahead: usize,
    /// Bytes that the reader has taken and that are kept for another one.
    pub behind: usize,
}

impl Window {
    /// For an engine, which resumes a stream at any offset.
    pub const RESUMABLE: Self = Self {
        ahead: 16 * 1024,
        behind: 0,
    };
    /// For a plain service: a reader may have lost what was in its link, which
    /// is at most the stream window and the send buffer, 16 KiB each.
    pub const PLAIN: Self = Self {
        ahead: 16 * 1024,
        behind: 40 * 1024,
    };
    /// For a keyed request, whose whole response is kept for replay.
    pub const KEPT: Self = Self {
        ahead: 16 * 1024 * 1024,
        behind: 16 * 1024 * 1024,
    };
}

/// Most bytes of a body in one frame, which has at most 64 KiB. A stored
/// response arrives as one piece of any length.
const MAX_DATA: usize = 32 * 1024;

/// What a reader receives next.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// The response begins.
    Head(msg::Head),
    /// More of its body.
    Data(msg::Data),
    /// The response is whole and has this length.
    End(u64),
    /// The response is not whole.
    Broken(msg::Interrupted),
    /// The request was not run.
    Refused(msg::Refused),
    /// Another reader has taken over.
    Superseded,
}

/// How the writing ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Finish {
    /// All bytes have been written.
    Whole,
    /// The target broke off.
    Broken(msg::Interrupted),
    /// The request was not run.
    Refused(msg::Refused),
}

/// A task that writes; a later one supersedes those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Writer(u64);

/// A reply stream that reads; a later one of the same request supersedes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reader(u64);

#[derive(Debug)]
struct Position {
    request: id::RequestId,
    next: u64,
    head_taken: bool,
}

#[derive(Debug, Default)]
struct State {
    head: Option<msg::Head>,
    pieces: VecDeque<Bytes>,
    /// Offset of the first byte in `pieces`.
    start: u64,
    /// Offset behind the last byte in `pieces`.
    end: u64,
    /// Offset up to which any reader has taken the body.
    taken: u64,
    readers: BTreeMap<u64, Position>,
    last_reader: u64,
    writer: u64,
    stopped: bool,
    finish: Option<Finish>,
}

/// The buffer between the two ends.
#[derive(Debug)]
pub struct Outlet {
    window: Window,
    state: Mutex<State>,
    readable: Notify,
    writable: Notify,
}

/// Reports an offset that is no longer held and cannot be read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("offset {offset} is no longer held; the first byte held is {start}")]
pub struct Gone {
    /// The offset asked for.
    pub offset: u64,
    /// The first offset held.
    pub start: u64,
}

impl Outlet {
    /// Makes an empty outlet; the first byte has offset `start`.
    pub fn new(window: Window, start: u64) -> Self {
        let state = State {
            start,
            end: start,
            taken: start,
            ..State::default()
        };
        Self {
            window,
            state: Mutex::new(state),
            readable: Notify::new(),
            writable: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a writer that begins at `offset`, and drops what is held
    /// unless it ends just there.
    pub fn writer(&self, offset: u64) -> Writer {
        let mut state = self.lock();
        state.writer += 1;
        state.finish = None;
        if state.end != offset {
            state.pieces.clear();
            state.start = offset;
            state.end = offset;
            state.taken = offset;
        }
        let writer = Writer(state.writer);
        drop(state);
        self.writable.notify_waiters();
        writer
    }

    /// Writes the head; a second one, of a resumed stream, is ignored.
    pub fn head(&self, head: msg::Head) {
        self.lock().head.get_or_insert(head);
        self.readable.notify_waiters();
    }

    /// Writes a piece of the body; one of a superseded writer is ignored.
    pub fn push(&self, writer: Writer, bytes: Bytes) {
        let mut state = self.lock();
        if bytes.is_empty() || state.writer != writer.0 {
            return;
        }
        state.end += bytes.len() as u64;
        state.pieces.push_back(body::own(bytes));
        drop(state);
        self.readable.notify_waiters();
    }

    /// Ends the writing; only the first end counts.
    pub fn finish(&self, finish: Finish) {
        self.lock().finish.get_or_insert(finish);
        self.readable.notify_waiters();
        self.writable.notify_waiters();
    }

    /// Tells the writer to stop; the response is no longer wanted.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.writable.notify_waiters();
    }

    /// Returns the offsets of the first byte held and behind the last one.
    pub fn held(&self) -> (u64, u64) {
        let state = self.lock();
        (state.start, state.end)
    }

    /// Returns head and body when the response is whole and still held.
    pub fn whole(&self) -> Option<(msg::Head, Vec<u8>)> {
        let state = self.lock();
        if state.finish != Some(Finish::Whole) || state.start != 0 {
            return None;
        }
        let body = state
            .pieces
            .iter()
            .flat_map(|p| p.iter().copied())
            .collect();
        state.head.clone().map(|head| (head, body))
    }

    /// Waits until the writer may write; false when it must stop.
    pub async fn writable(&self, writer: Writer) -> bool {
        loop {
            let notified = self.writable.notified();
            {
                let state = self.lock();
                if state.stopped || state.writer != writer.0 {
                    return false;
                }
                let waiting = state.end.saturating_sub(state.taken);
                if waiting < self.window.ahead as u64 {
                    return true;
                }
            }
            notified.await;
        }
    }

    /// Waits until the writer must stop.
    pub async fn stopped(&self, writer: Writer) {
        loop {
            let notified = self.writable.notified();
            {
                let state = self.lock();
                if state.stopped || state.writer != writer.0 {
                    return;
                }
            }
            notified.await;
        }
    }

    /// Attaches a reader for a request at an offset and supersedes its
    /// previous one.
    ///
    /// # Errors
    ///
    /// When the bytes at the offset are no longer held.
    pub fn attach(
        &self,
        request: id::RequestId,
        offset: u64,
        head_taken: bool,
    ) -> Result<Reader, Gone> {
        let mut state = self.lock();
        if !(state.start..=state.end).contains(&offset) {
            return Err(Gone {
                offset,
                start: state.start,
            });
        }
        state
            .readers
            .retain(|_, position| position.request != request);
        state.last_reader += 1;
        let reader = Reader(state.last_reader);
        let position = Position {
            request,
            next: offset,
            head_taken,
        };
        state.readers.insert(reader.0, position);
        drop(state);
        self.readable.notify_waiters();
        Ok(reader)
    }

    /// Waits for what a reader receives next.
    pub async fn next(&self, reader: Reader) -> Piece {
        loop {
            let notified = self.readable.notified();
            if let Some(piece) = self.lock().take(reader, self.window.behind) {
                self.writable.notify_waiters();
                return piece;
            }
            notified.await;
        }
    }
}

impl State {
    fn take(&mut self, reader: Reader, behind: usize) -> Option<Piece> {
        let Some(position) = self.readers.get_mut(&reader.0) else {
            return Some(Piece::Superseded);
        };
        if let Some(Finish::Refused(refused)) = &self.finish {
            return Some(Piece::Refused(refused.clone()));
        }
        if !position.head_taken
            && let Some(head) = &self.head
        {
            position.head_taken = true;
            return Some(Piece::Head(head.clone()));
        }
        let next = position.next;
        if position.head_taken && next < self.start {
            // Another reader of this request moved the window.
            return Some(Piece::Superseded);
        }
        if position.head_taken && next < self.end {
            let data = self.read(next);
            position_after(&mut self.readers, reader, &data);
            self.trim(behind);
            return Some(Piece::Data(data));
        }
        match &self.finish {
            Some(Finish::Whole) => Some(Piece::End(self.end)),
            Some(Finish::Broken(broken)) => Some(Piece::Broken(broken.clone())),
            _ => None,
        }
    }

    /// Returns the rest of the piece that holds the offset, as far as one frame
    /// carries it.
    fn read(&self, next: u64) -> msg::Data {
        let mut offset = self.start;
        for piece in &self.pieces {
            let end = offset + piece.len() as u64;
            if next < end {
                let from = (next - offset) as usize;
                let bytes = piece.slice(from..piece.len().min(from + MAX_DATA));
                return msg::Data {
                    offset: next,
                    bytes,
                };
            }
            offset = end;
        }
        msg::Data::default()
    }

    /// Drops the pieces that lie too far behind the foremost reader.
    fn trim(&mut self, behind: usize) {
        let foremost = self.readers.values().map(|position| position.next).max();
        self.taken = self.taken.max(foremost.unwrap_or(0));
        while let Some(first) = self.pieces.front() {
            let end = self.start + first.len() as u64;
            if end + behind as u64 > self.taken {
                break;
            }
            self.start = end;
            self.pieces.pop_front();
        }
    }
}

fn position_after(readers: &mut BTreeMap<u64, Position>, reader: Reader, data: &msg::Data) {
    if let Some(position) = readers.get_mut(&reader.0) {
        position.next += data.bytes.len() as u64;
    }
}
