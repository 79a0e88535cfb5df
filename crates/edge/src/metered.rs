//! Connection to a target whose reads are counted.
//!
//! Load pattern: a target sends interim responses without end. The HTTP library
//! drops each one as soon as it is parsed and reports none, so that no limit on the
//! size of its buffer applies, and its task always has something to read.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes that a target sends before the head of its final
/// response is complete. The head itself may fill the library's read buffer of
/// 64 KiB, and the library reads on in the body before the head reaches the
/// request.
const MAX_HEAD_BYTES: u64 = 256 * 1024;

/// Number of bytes after which a connection lets the other tasks of the thread run.
/// Interim responses of so many bytes are parsed in about a millisecond.
const TURN_BYTES: usize = 64 * 1024;

/// Added to the count of read bytes while the head of no response is awaited.
const NOT_AWAITED: u64 = 1 << 63;

/// Error of a connection whose target sent too much before the head of its final
/// response was complete.
#[derive(Debug, thiserror::Error)]
#[error("more than {MAX_HEAD_BYTES} bytes before the end of the response head")]
pub struct HeadTooLong;

/// Counts what a target sent since the latest request on a connection, until the
/// head of the response was received.
#[derive(Clone, Debug)]
pub struct Meter(Arc<AtomicU64>);

impl Default for Meter {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(NOT_AWAITED)))
    }
}

impl Meter {
    /// Starts to count, as a request is sent.
    pub fn start(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Stops to count, as the head of the response was received.
    pub fn stop(&self) {
        self.0.store(NOT_AWAITED, Ordering::Relaxed);
    }

    /// Returns whether the target has sent something, but no complete head.
    pub fn has_begun(&self) -> bool {
        (1..NOT_AWAITED).contains(&self.0.load(Ordering::Relaxed))
    }

    /// Adds read bytes; returns whether they are too many.
    fn add(&self, count: usize) -> bool {
        let read = self.0.load(Ordering::Relaxed);
        if read >= NOT_AWAITED {
            return false;
        }
        let read = read.saturating_add(count as u64).min(NOT_AWAITED - 1);
        self.0.store(read, Ordering::Relaxed);
        read > MAX_HEAD_BYTES
    }
}

/// A connection that fails when its meter is at the limit, and that is read a limited
/// number of bytes at a time.
#[derive(Debug)]
pub struct Metered<T> {
    stream: T,
    meter: Meter,
    /// Bytes that were read since the other tasks were able to run.
    turn: usize,
}

impl<T> Metered<T> {
    /// Counts the reads of a connection.
    pub fn new(stream: T, meter: Meter) -> Self {
        Self {
            stream,
            meter,
            turn: 0,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.turn = 0;
        }
        ready!(read)?;
        let count = buffer.filled().len() - before;
        self.turn += count;
        match self.meter.add(count) {
            true => Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, HeadTooLong))),
            false => Poll::Ready(Ok(())),
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
