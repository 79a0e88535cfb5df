//! Reads the bodies of requests and responses, for every router that accepts
//! callers.
//!
//! A request may be answered before its body has arrived. If the router then
//! closed the connection, the unread bytes would make the kernel reset it, and
//! the caller might lose the response. The router therefore reads and discards
//! the rest of the body, up to a limit of bytes and time.

pub mod memory;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use memory::{BudgetExceeded, Client, Reservation};

/// Largest part of a refused request's body that is discarded, in bytes; about
/// what a caller on a fast link sends before the response reaches it.
const MAX_DISCARDED: usize = 8 * 1024 * 1024;

/// Longest time for which a body is discarded. The response has reached the
/// caller long before.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a body was not read completely.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is larger than the limit, in bytes.
    #[error("the body has more than {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    Timeout(Duration),
    /// The connection closed before the end of the body, or the body is
    /// malformed.
    #[error("the body cannot be read: {0}")]
    Broken(String),
    /// The body's memory was taken back, because others needed it and its client
    /// made no progress.
    #[error("the body made no progress while others needed its memory")]
    Stalled,
    /// The bodies of all connections together reached the memory limit.
    #[error("{0}")]
    OutOfMemory(#[from] BudgetExceeded),
}

/// Capacity of the buffer for a body that has just begun, in bytes. Most bodies
/// are smaller.
const FIRST_CAPACITY: usize = 16 * 1024;

/// Reads a request body. On an error other than [`ReadError::Broken`], discards
/// the rest of the body in the background.
///
/// # Errors
///
/// When the body exceeds `limit` bytes or the memory budget, does not arrive
/// within `within`, is malformed or incomplete, or its memory is taken back because
/// its client makes no progress.
pub async fn read(
    headers: &HeaderMap,
    mut body: Incoming,
    limit: usize,
    within: Duration,
    reservation: Reservation,
) -> Result<Bytes, ReadError> {
    let client = reservation.sender();
    let released = async {
        match &client {
            Some(client) => client.released().await,
            None => std::future::pending().await,
        }
    };
    let body_read = tokio::select! {
        body_read = time::timeout(within, collect(&mut body, limit, reservation)) => body_read,
        () = released => Ok(Err(ReadError::Stalled)),
    };
    let error = match body_read {
        Ok(Ok(bytes)) => return Ok(bytes),
        Ok(Err(error)) => error,
        Err(_) => ReadError::Timeout(within),
    };
    if !matches!(error, ReadError::Broken(_)) {
        discard(headers, body, client);
    }
    Err(error)
}

/// Reads a body without a time limit.
///
/// The reservation covers the buffer's capacity, and the former buffer as well
/// while its bytes are copied into a larger one. Once a body has shown that it is
/// not small, its declared length is reserved as a whole, so that it cannot be
/// stopped half-way by another that also needs more.
///
/// # Errors
///
/// When the body exceeds `limit` bytes or the memory budget, or is malformed or
/// incomplete.
pub async fn collect(
    body: &mut Incoming,
    limit: usize,
    mut reservation: Reservation,
) -> Result<Bytes, ReadError> {
    let declared = body.size_hint().exact();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared.is_some_and(|length| length > limit) {
        return Err(ReadError::TooLarge(limit));
    }
    let mut bytes = Vec::new();
    let client = reservation.sender();
    let mut waiting = client.as_deref().map(Waiting::new);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if let Some(client) = &client {
            client.record_moved(data.len());
        }
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(ReadError::TooLarge(limit));
        }
        let former = bytes.capacity();
        if length > former {
            let capacity = next_capacity(former, length, declared, limit);
            drop(waiting);
            reservation.grow_patiently(capacity).await?;
            waiting = client.as_deref().map(Waiting::new);
            let mut larger = Vec::with_capacity(capacity);
            larger.extend_from_slice(&bytes);
            bytes = larger;
            reservation.shrink(former);
        }
        bytes.extend_from_slice(&data);
    }
    drop(waiting);
    Ok(reservation.into_bytes(bytes))
}

/// Returns the capacity of the next buffer for a body of `length` bytes so far.
fn next_capacity(former: usize, length: usize, declared: Option<usize>, limit: usize) -> usize {
    match declared {
        Some(declared) if length > FIRST_CAPACITY => declared.max(length),
        Some(declared) => declared.min(FIRST_CAPACITY).max(length),
        None => (2 * former).max(FIRST_CAPACITY).min(limit).max(length),
    }
}

/// Marks that the process waits for a client's body, until dropped.
struct Waiting<'a>(&'a Client);

impl<'a> Waiting<'a> {
    fn new(client: &'a Client) -> Self {
        client.set_reading(true);
        Self(client)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set_reading(false);
    }
}

/// Returns whether a status is that of a final response. A target in trouble may send
/// any three digits, and HTTP libraries accept most of them.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads and discards, in the background, the body of a request that is answered
/// without it.
///
/// A caller that sent `Expect: 100-continue` has sent no body yet.
pub fn discard(headers: &HeaderMap, mut body: Incoming, client: Option<Arc<Client>>) {
    if body.is_end_stream() || headers.contains_key(header::EXPECT) {
        return;
    }
    if let Some(client) = &client {
        client.set_discarding(true);
    }
    tokio::spawn(async move {
        if time::timeout(DISCARD_TIMEOUT, discard_frames(&mut body))
            .await
            .is_err()
        {
            tracing::debug!(event = "body_not_dropped", reason = "late");
        }
        if let Some(client) = &client {
            client.set_discarding(false);
        }
    });
}

async fn discard_frames(body: &mut Incoming) {
    let mut discarded = 0;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => discarded += frame.data_ref().map_or(0, Bytes::len),
            Err(error) => {
                tracing::debug!(event = "body_not_dropped", %error);
                return;
            }
        }
        if discarded > MAX_DISCARDED {
            tracing::debug!(event = "body_not_dropped", reason = "large");
            return;
        }
    }
}
