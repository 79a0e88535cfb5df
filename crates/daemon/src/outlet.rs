//! The response of one request between the task that reads it from the target
//! and the reply stream that takes it to a router.
//!
//! The two ends are independent, so that the reply stream can break and
//! another one continue from an offset. The buffer between them has a window:
//! a slow router stops the reading from the target.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use tokio::sync::Notify;
use wire::msg;

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
        behind: 2 * 1024,
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
    Broken(msg::Broken),
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
    Broken(msg::Broken),
    /// The request was not run.
    Refused(msg::Refused),
}

/// What the writer must do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Write more.
    More,
    /// Read the response from the target again, from this offset.
    Rewind(u64),
    /// Stop; the response is no longer wanted.
    Stop,
}

#[derive(Debug, Default)]
struct State {
    head: Option<msg::Head>,
    pieces: VecDeque<Bytes>,
    /// Offset of the first byte in `pieces`.
    start: u64,
    /// Offset behind the last byte in `pieces`.
    end: u64,
    /// Offset that the reader takes next.
    next: u64,
    head_taken: bool,
    reader: u64,
    attached: bool,
    rewind: Option<u64>,
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
            next: start,
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

    /// Writes the head; a second head, after a rewind, is ignored.
    pub fn head(&self, head: msg::Head) {
        self.lock().head.get_or_insert(head);
        self.readable.notify_waiters();
    }

    /// Writes a piece of the body.
    pub fn push(&self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        let mut state = self.lock();
        state.end += bytes.len() as u64;
        state.pieces.push_back(bytes);
        drop(state);
        self.readable.notify_waiters();
    }

    /// Ends the writing; only the first end counts.
    pub fn finish(&self, finish: Finish) {
        self.lock().finish.get_or_insert(finish);
        self.readable.notify_waiters();
        self.writable.notify_waiters();
    }

    /// Tells the writer to stop.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.writable.notify_waiters();
        self.readable.notify_waiters();
    }

    /// Returns the offset behind the last byte written.
    pub fn written(&self) -> u64 {
        self.lock().end
    }

    /// Returns whether a reader is attached.
    pub fn attached(&self) -> bool {
        self.lock().attached
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

    /// Waits until the writer may write or must do something else.
    pub async fn demand(&self) -> Demand {
        loop {
            let notified = self.writable.notified();
            {
                let mut state = self.lock();
                if state.stopped {
                    return Demand::Stop;
                }
                if let Some(offset) = state.rewind.take() {
                    state.pieces.clear();
                    state.start = offset;
                    state.end = offset;
                    return Demand::Rewind(offset);
                }
                let waiting = state.end.saturating_sub(state.next);
                if waiting < self.window.ahead as u64 {
                    return Demand::More;
                }
            }
            notified.await;
        }
    }

    /// Waits until the writer must do something else than to write.
    pub async fn interrupted(&self) {
        loop {
            let notified = self.writable.notified();
            {
                let state = self.lock();
                if state.stopped || state.rewind.is_some() {
                    return;
                }
            }
            notified.await;
        }
    }

    /// Attaches a reader at an offset and supersedes the previous one.
    ///
    /// # Errors
    ///
    /// When the bytes at the offset are no longer held and `rewind` is false.
    pub fn attach(&self, offset: u64, head_taken: bool, rewind: bool) -> Result<u64, Gone> {
        let mut state = self.lock();
        let held = (state.start..=state.end).contains(&offset);
        if !held {
            if !rewind {
                return Err(Gone {
                    offset,
                    start: state.start,
                });
            }
            state.rewind = Some(offset);
            state.finish = None;
        }
        state.next = offset;
        state.head_taken = head_taken;
        state.reader += 1;
        state.attached = true;
        let reader = state.reader;
        drop(state);
        self.readable.notify_waiters();
        self.writable.notify_waiters();
        Ok(reader)
    }

    /// Detaches a reader, unless another one has taken over; returns whether
    /// the outlet is without a reader now.
    pub fn detach(&self, reader: u64) -> bool {
        let mut state = self.lock();
        if state.reader != reader {
            return false;
        }
        state.attached = false;
        true
    }

    /// Waits for what a reader receives next.
    pub async fn next(&self, reader: u64) -> Piece {
        loop {
            let notified = self.readable.notified();
            if let Some(piece) = self.take(reader) {
                self.writable.notify_waiters();
                return piece;
            }
            notified.await;
        }
    }

    fn take(&self, reader: u64) -> Option<Piece> {
        let mut state = self.lock();
        if state.reader != reader {
            return Some(Piece::Superseded);
        }
        if let Some(Finish::Refused(refused)) = &state.finish {
            return Some(Piece::Refused(refused.clone()));
        }
        if !state.head_taken && state.head.is_some() {
            state.head_taken = true;
            return state.head.clone().map(Piece::Head);
        }
        if state.rewind.is_some() {
            return None;
        }
        if state.head_taken && state.next < state.end {
            return Some(Piece::Data(state.advance(self.window.behind)));
        }
        match &state.finish {
            Some(Finish::Whole) => Some(Piece::End(state.end)),
            Some(Finish::Broken(broken)) => Some(Piece::Broken(broken.clone())),
            _ => None,
        }
    }
}

impl State {
    /// Takes the next piece for the reader and drops what is too far behind.
    fn advance(&mut self, behind: usize) -> msg::Data {
        let mut offset = self.start;
        let mut found = Bytes::new();
        for piece in &self.pieces {
            let end = offset + piece.len() as u64;
            if self.next < end {
                found = piece.slice((self.next - offset) as usize..);
                break;
            }
            offset = end;
        }
        let data = msg::Data {
            offset: self.next,
            bytes: found,
        };
        self.next += data.bytes.len() as u64;
        while let Some(first) = self.pieces.front() {
            let end = self.start + first.len() as u64;
            if end + behind as u64 > self.next {
                break;
            }
            self.start = end;
            self.pieces.pop_front();
        }
        data
    }
}
