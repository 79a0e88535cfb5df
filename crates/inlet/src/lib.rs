//! Reads bodies of callers and targets, for every router that accepts callers.
//!
//! A request may be answered before its body has come. Closing the connection
//! then would reset it, because of the unread bytes, and the caller might lose
//! the answer; so the rest of the body is read and dropped, within bounds.

pub mod memory;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, header};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use memory::{BudgetExceeded, MemoryBudget, Reservation};

/// Bytes of a refused request's body that are dropped at most, about what a
/// caller sends in the time of the answer's way on a fast link.
const MAX_DISCARDED: usize = 8 * 1024 * 1024;

/// Time for which bytes are dropped at most; the answer has long arrived.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reports a body that was not read whole.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It has more bytes than are allowed.
    #[error("the body has more than {0} bytes")]
    TooLarge(usize),
    /// It did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    Timeout(Duration),
    /// It was broken off or is malformed.
    #[error("the body cannot be read: {0}")]
    Broken(String),
    /// All bodies together take too much memory.
    #[error("{0}")]
    OutOfMemory(#[from] BudgetExceeded),
}

/// Reads a whole body of a caller; the rest of one that is too large is dropped.
///
/// # Errors
///
/// When it is too large, too slow, malformed or broken off, or does not fit into
/// the budget.
pub async fn read(
    headers: &HeaderMap,
    mut body: Incoming,
    limit: usize,
    within: Duration,
    budget: &Arc<MemoryBudget>,
) -> Result<Bytes, ReadError> {
    let whole = time::timeout(within, collect(&mut body, limit, budget)).await;
    let error = match whole {
        Ok(Ok(whole)) => return Ok(whole),
        Ok(Err(error)) => error,
        Err(_) => ReadError::Timeout(within),
    };
    if !matches!(error, ReadError::Broken(_)) {
        discard(headers, body);
    }
    Err(error)
}

/// Reads a whole body.
///
/// # Errors
///
/// When it is too large, malformed or broken off, or does not fit into the budget.
pub async fn collect(
    body: &mut Incoming,
    limit: usize,
    budget: &Arc<MemoryBudget>,
) -> Result<Bytes, ReadError> {
    let mut whole = Vec::new();
    let mut reservation = Reservation::new(budget);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(ReadError::TooLarge(limit));
        }
        reservation.grow(data.len())?;
        whole.extend_from_slice(&data);
    }
    Ok(reservation.into_bytes(whole))
}

/// Drops the body of a request that is answered without it, in the background.
///
/// A caller who waits to be told to continue has sent none.
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
    let mut dropped = 0;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => dropped += frame.data_ref().map_or(0, Bytes::len),
            Err(error) => {
                tracing::debug!(event = "body_not_dropped", %error);
                return;
            }
        }
        if dropped > MAX_DISCARDED {
            tracing::debug!(event = "body_not_dropped", reason = "large");
            return;
        }
    }
}
