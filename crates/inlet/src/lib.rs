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
use http::{HeaderMap, header};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use memory::{BudgetExceeded, MemoryBudget, Reservation};

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
    /// The bodies of all connections together reached the memory limit.
    #[error("{0}")]
    OutOfMemory(#[from] BudgetExceeded),
}

/// Reads a request body. On an error other than [`ReadError::Broken`], discards
/// the rest of the body in the background.
///
/// # Errors
///
/// When the body exceeds `limit` bytes or the memory budget, does not arrive
/// within `within`, or is malformed or incomplete.
pub async fn read(
    headers: &HeaderMap,
    mut body: Incoming,
    limit: usize,
    within: Duration,
    budget: &Arc<MemoryBudget>,
) -> Result<Bytes, ReadError> {
    let body_read = time::timeout(within, collect(&mut body, limit, budget)).await;
    let error = match body_read {
        Ok(Ok(bytes)) => return Ok(bytes),
        Ok(Err(error)) => error,
        Err(_) => ReadError::Timeout(within),
    };
    if !matches!(error, ReadError::Broken(_)) {
        discard(headers, body);
    }
    Err(error)
}

/// Reads a body without a time limit.
///
/// # Errors
///
/// When the body exceeds `limit` bytes or the memory budget, or is malformed or
/// incomplete.
pub async fn collect(
    body: &mut Incoming,
    limit: usize,
    budget: &Arc<MemoryBudget>,
) -> Result<Bytes, ReadError> {
    let mut bytes = Vec::new();
    let mut reservation = Reservation::new(budget);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(ReadError::TooLarge(limit));
        }
        reservation.grow(data.len())?;
        bytes.extend_from_slice(&data);
    }
    Ok(reservation.into_bytes(bytes))
}

/// Reads and discards, in the background, the body of a request that is answered
/// without it.
///
/// A caller that sent `Expect: 100-continue` has sent no body yet.
pub fn discard(headers: &HeaderMap, mut body: Incoming) {
    if body.is_end_stream() || headers.contains_key(header::EXPECT) {
        return;
    }
    tokio::spawn(async move {
        if time::timeout(DISCARD_TIMEOUT, discard_frames(&mut body))
            .await
            .is_err()
        {
            tracing::debug!(event = "body_not_dropped", reason = "late");
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
