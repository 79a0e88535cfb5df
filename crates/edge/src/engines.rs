//! Queries engines for the prompt parts that they have cached.

use std::{sync::Arc, time::Duration};

use base::fault::{At, Fault};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full, Limited};
use platform::cache::{self, CachedPart};
use tokio::time;

use crate::{
    fleet::{self, Target},
    shared::Shared,
    upstream::SendError,
};

/// Timeout of the query to one engine; the result is useful only while callers
/// are returning.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of an engine's list, in bytes.
const MAX_LIST_BYTES: usize = 1024 * 1024;

/// Minimum length of a part that is recorded; reading a part of this length
/// takes an engine some milliseconds.
const MIN_TOKENS: u32 = 256;

/// Maximum number of parts that are recorded for one engine, the longest first.
const MAX_TAKEN: usize = 64;

/// Queries one engine, records the parts that it has cached, and announces them
/// to the other routers.
pub async fn query(shared: Arc<Shared>, target: Arc<Target>) {
    let id = &target.row.id;
    // A cold engine has cached nothing, and bears few requests.
    if shared.is_cold(shared.clock.now(), &target) {
        return;
    }
    match time::timeout(QUERY_TIMEOUT, list(&target)).await {
        Ok(Ok(parts)) => {
            let parts = longest(parts);
            tracing::info!(event = "kept_parts", source = "target", target = %id, holds = parts.len());
            let now = shared.clock.now();
            for part in parts {
                let part = fleet::part_hash(&part.id);
                target.add_cached(now, part);
                shared.announce_parts(&target, std::iter::once(part));
            }
        }
        Ok(Err(fault)) => tracing::info!(event = "kept_parts_unknown", target = %id, %fault),
        Err(_) => tracing::info!(event = "kept_parts_unknown", target = %id, reason = "late"),
    }
}

async fn list(target: &Target) -> Result<Vec<CachedPart>, Fault> {
    const STEP: &str = "list cached parts";
    let peer = target.row.address;
    let request = Request::get(cache::PATH).header(header::HOST, peer.to_string());
    let request = request.body(Full::new(Bytes::new())).at(STEP, peer)?;
    let (response, _lease) = target.pool.send(request).await.map_err(|failure| {
        let (SendError::NotSent(fault)
        | SendError::Closed(fault)
        | SendError::Unresponsive(fault)
        | SendError::Endless(fault)) = failure;
        fault
    })?;
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
        .collect()
        .await;
    let body = body.at(STEP, peer)?.to_bytes();
    cache::decode(&body).at(STEP, peer)
}

fn longest(mut parts: Vec<CachedPart>) -> Vec<CachedPart> {
    parts.retain(|part| part.tokens >= MIN_TOKENS);
    parts.sort_unstable_by_key(|part| std::cmp::Reverse(part.tokens));
    parts.truncate(MAX_TAKEN);
    parts
}
