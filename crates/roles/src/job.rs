//! Runs one request at the target and writes the response to its outlet.

use std::{net::SocketAddr, sync::Arc};

use base::{
    fault::{At, Fault},
    id,
};
use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time;
use wire::{convert, msg};

use crate::{
    failure::Failure,
    link::Links,
    outlet::{Outlet, Writer},
    target::{self, Target},
};

/// Last bytes of a complete stream of server-sent events.
const DONE: &[u8] = b"data: [DONE]";

/// Bytes at the end of a stream in which [`DONE`] is looked for.
const TAIL: usize = 32;

/// Time for the import of a KV cache; computing a long prompt again takes about
/// as long.
const IMPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Headers that concern the connection to the target.
const NOT_PASSED: [&str; 7] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What a job reports to the agent's control thread.
#[derive(Debug)]
pub enum Report {
    /// Nothing was sent to the target.
    NotSent(Fault),
    /// The head arrived and names this request.
    Head {
        /// Whether the stream can be resumed at the target.
        resumable: bool,
        /// Tokens of the prompt that the engine had in its cache, if it says so.
        cached: Option<u64>,
    },
    /// The body is complete.
    Complete(u64),
    /// The response broke off.
    Broken(Fault),
    /// The response names another request.
    Crossed(String),
    /// The target does not resume the stream.
    Unresumed(Fault),
}

/// One attempt to write a response.
pub struct Job {
    /// The request.
    pub id: id::RequestId,
    /// Where it runs.
    pub target: Target,
    /// Connections to the agents of other targets.
    pub links: Arc<Links>,
    /// Takes the response.
    pub outlet: Arc<Outlet>,
    /// Identifies this attempt at the outlet.
    pub writer: Writer,
    /// Takes the reports.
    pub report: Arc<dyn Fn(Report) + Send + Sync>,
    /// Whether the target is an engine, whose streams can be resumed.
    pub engine: bool,
    /// Whether another target continues a broken stream.
    pub deterministic: bool,
}

impl Job {
    /// Sends the request and writes its response. What comes before the body is
    /// boxed, so that an open stream holds no room for it (4 KB).
    pub async fn run(self, run: Arc<msg::Run>) {
        let skip = run.delivered;
        let sent = {
            let send = Box::pin(async {
                self.import(&run).await;
                self.target.send(self.id, &run).await
            });
            tokio::select! {
                sent = send => sent,
                () = self.outlet.stopped(self.writer) => return,
            }
        };
        drop(run);
        match sent {
            Ok(response) => self.receive(response, skip).await,
            Err(Failure::NotSent(fault)) => (self.report)(Report::NotSent(fault)),
            Err(Failure::Broken(fault)) => (self.report)(Report::Broken(fault)),
        }
    }

    /// Writes the response from an offset, from a stream that the target still
    /// has.
    pub async fn resume(self, offset: u64) {
        match self.target.resume(self.id, offset).await {
            Ok(response) => self.receive(response, 0).await,
            Err(fault) => (self.report)(Report::Unresumed(fault)),
        }
    }

    /// Moves the chat's KV cache here when the router names where it may be.
    /// A failure costs only time, so it is not reported to the caller.
    async fn import(&self, run: &msg::Run) {
        let Ok(previous) = run.cache_source.parse() else {
            return;
        };
        let chat = id::ChatHash(run.chat);
        let moved = async {
            let cache = self.export(previous, chat).await?;
            self.target.import(chat, cache).await
        };
        let limited = time::timeout(IMPORT_TIMEOUT, moved).await;
        match limited.unwrap_or_else(|cause| Err(Fault::new("import cache", previous, cause))) {
            Ok(()) => {
                tracing::info!(event = "cache_imported", request = %self.id, %chat, from = %previous)
            }
            Err(fault) => {
                tracing::info!(event = "cache_not_imported", request = %self.id, %chat, cause = %fault)
            }
        }
    }

    /// Reads a chat's KV cache through the agent of the engine that holds it.
    async fn export(&self, agent: SocketAddr, chat: id::ChatHash) -> Result<Bytes, Fault> {
        let asked = msg::CacheRequest { chat: chat.0 };
        let response = match self.links.call(agent, "/cache", &asked).await {
            Ok(response) => response,
            Err(Failure::NotSent(fault) | Failure::Broken(fault)) => return Err(fault),
        };
        let body = Limited::new(response.into_body(), target::MAX_KV);
        let body = body.collect().await.at("read cache", agent)?;
        Ok(body.to_bytes())
    }

    async fn receive(&self, response: Response<Incoming>, skip: u64) {
        let echoed = response.headers().get(target::REQUEST_ID);
        let own = self.id.to_string();
        if echoed.map(header::HeaderValue::as_bytes) != Some(own.as_bytes()) {
            let other = echoed.and_then(|id| id.to_str().ok()).unwrap_or("none");
            return (self.report)(Report::Crossed(other.to_owned()));
        }
        let stream = is_stream(response.headers());
        let resumable = self.engine && stream;
        self.outlet.head(msg::Head {
            status: response.status().as_u16().into(),
            headers: passed(response.headers()),
            id: convert::request_id_bytes(self.id),
            replayed: false,
            resumable: resumable && self.deterministic,
        });
        (self.report)(Report::Head {
            resumable,
            cached: cached(response.headers()),
        });
        self.copy(response.into_body(), skip, stream).await;
    }

    async fn copy(&self, mut body: Incoming, skip: u64, stream: bool) {
        let mut left = skip;
        let mut tail = Vec::new();
        loop {
            if !self.outlet.writable(self.writer).await {
                return;
            }
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.outlet.stopped(self.writer) => return,
            };
            match frame {
                None => break,
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    remember(&mut tail, &data);
                    self.outlet.push(self.writer, cut(data, &mut left));
                }
                Some(Err(cause)) => {
                    let fault = Fault::new("read response", self.target.address(), cause);
                    return (self.report)(Report::Broken(fault));
                }
            }
        }
        if stream && !tail.windows(DONE.len()).any(|window| window == DONE) {
            let fault = Fault::new("read response", self.target.address(), Unfinished);
            return (self.report)(Report::Broken(fault));
        }
        let (_, end) = self.outlet.held();
        (self.report)(Report::Complete(end));
    }
}

/// Reports a stream of events that ended without its last event.
#[derive(Debug, thiserror::Error)]
#[error("the stream ended without its last event")]
struct Unfinished;

/// Returns the part of a piece that the caller does not have yet.
fn cut(data: Bytes, left: &mut u64) -> Bytes {
    let skipped = (*left).min(data.len() as u64);
    *left -= skipped;
    data.slice(skipped as usize..)
}

fn remember(tail: &mut Vec<u8>, data: &[u8]) {
    tail.extend_from_slice(&data[data.len().saturating_sub(TAIL)..]);
    let extra = tail.len().saturating_sub(TAIL);
    tail.drain(..extra);
}

fn is_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

fn cached(headers: &HeaderMap) -> Option<u64> {
    headers.get("x-cached-tokens")?.to_str().ok()?.parse().ok()
}

fn passed(headers: &HeaderMap) -> Vec<msg::Header> {
    headers
        .iter()
        .filter(|(name, _)| !NOT_PASSED.contains(&name.as_str()))
        .map(|(name, value)| msg::Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
