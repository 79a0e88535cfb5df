//! Bytes of a socket, processor time and memory of this process.

use std::{
    fs, io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use base::span;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Counts what passes through the sockets of one member.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes in both directions, as the socket carries them.
    pub bytes: AtomicU64,
    /// Reads and writes that moved bytes; about the number of packets, as
    /// control messages are small.
    pub packets: AtomicU64,
    /// Connections that this member opened.
    pub opened: AtomicU64,
}

impl Traffic {
    fn count(&self, bytes: usize) {
        if bytes > 0 {
            self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
            self.packets.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A TCP stream whose bytes are counted.
#[derive(Debug)]
pub struct Counted {
    inner: TcpStream,
    traffic: Arc<Traffic>,
}

impl Counted {
    /// Counts the bytes of `inner` in `traffic`.
    pub fn new(inner: TcpStream, traffic: Arc<Traffic>) -> Self {
        Self { inner, traffic }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.traffic.count(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, data);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.count(written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, parts);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.count(written);
        }
        polled
    }
}

/// Returns the processor time of all threads of this process.
pub fn processor() -> io::Result<span::Span> {
    let mut nanos = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let text = fs::read_to_string(task?.path().join("schedstat")).unwrap_or_default();
        let first = text.split_whitespace().next();
        nanos += first.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(span::Span::from_micros(nanos / 1000))
}

/// Returns the resident memory of this process in bytes.
pub fn memory() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|count| count.parse::<u64>().ok());
    Ok(kib.unwrap_or(0) * 1024)
}
