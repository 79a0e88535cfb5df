//! Calls to the target beside an agent.

use std::net::SocketAddr;

use base::{
    fault::{At, Fault},
    id,
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time;
use wire::msg;

use crate::{failure::Failure, session};

/// Header with the request id, towards targets and callers.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the priority, towards engines.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Carries the chat under which an engine keeps the KV cache for export.
pub const CHAT_HASH: HeaderName = HeaderName::from_static("x-chat-hash");

/// Header with the fencing token of an order.
pub const FENCE: HeaderName = HeaderName::from_static("x-fence");

/// Time to connect to the target, which stands on the same instance.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time for short calls: load, health, cancel.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time for an order; an engine replies once the weights are loaded.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(1800);

/// Read buffer of one connection, in bytes. Each open stream has a connection,
/// and a token takes a few hundred bytes.
const READ_BUFFER: usize = 4096;

/// Age after which an idle connection is not used again.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Largest response of a short call, in bytes.
const MAX_SHORT: usize = 64 * 1024;

/// Largest exported KV cache, in bytes.
pub const MAX_KV: usize = 64 * 1024 * 1024;

type Http = Client<HttpConnector, Full<Bytes>>;

/// A reply with an unexpected status.
#[derive(Debug, thiserror::Error)]
#[error("target replied with status {0}")]
pub struct Status(pub StatusCode);

/// An engine's report of its load; other fields are ignored.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
}

/// The target's HTTP interface.
#[derive(Clone, Debug)]
pub struct Target {
    address: SocketAddr,
    pooled: Http,
    fresh: Http,
}

fn client(idle: usize) -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .retry_canceled_requests(false)
        .http1_read_buf_exact_size(READ_BUFFER)
        .build(connector)
}

impl Target {
    /// Makes the client; it connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pooled: client(usize::MAX),
            fresh: client(0),
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends a request and returns the head of the response.
    ///
    /// A request that must not be repeated gets a connection of its own: a
    /// pooled one may be closed by the target just as the request is sent, and
    /// then nobody could tell whether it ran.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] is a proof that the target did not run it.
    pub async fn send(
        &self,
        id: id::RequestId,
        run: &msg::Run,
    ) -> Result<Response<Incoming>, Failure> {
        let request = self.request(id, run).map_err(Failure::NotSent)?;
        let http = match run.class() {
            msg::Class::Repeatable => &self.pooled,
            msg::Class::Once | msg::Class::Keyed => &self.fresh,
        };
        session::message("agent", "target", || format!("{} {}", run.method, run.path));
        let answered = http.request(request).await;
        session::message("target", "agent", || match &answered {
            Ok(response) => response.status().as_u16().to_string(),
            Err(cause) if cause.is_connect() => "no connection".to_owned(),
            Err(_) => "connection lost".to_owned(),
        });
        match answered {
            Ok(response) if inlet::is_final(response.status()) => Ok(response),
            Ok(response) => {
                let cause = Status(response.status());
                Err(Failure::Broken(Fault::new(
                    "read response",
                    self.address,
                    cause,
                )))
            }
            Err(cause) => {
                let not_sent = cause.is_connect();
                let fault = Fault::new("send request", self.address, cause);
                Err(match not_sent {
                    true => Failure::NotSent(fault),
                    false => Failure::Broken(fault),
                })
            }
        }
    }

    fn request(&self, id: id::RequestId, run: &msg::Run) -> Result<Request<Full<Bytes>>, Fault> {
        let method: Method = run.method.parse().at("read method", self.address)?;
        let mut builder = Request::builder().method(method).uri(self.uri(&run.path));
        for field in &run.headers {
            builder = builder.header(field.name.as_str(), field.value.as_ref());
        }
        if !run.key.is_empty() {
            builder = builder.header("idempotency-key", run.key.as_str());
        }
        builder
            .header(REQUEST_ID, id.to_string())
            .header(PRIORITY, run.priority)
            .header(CHAT_HASH, id::ChatHash(run.chat).to_string())
            .body(Full::new(run.body.clone()))
            .at("build request", self.address)
    }

    /// Continues a stream of the engine from an offset in bytes.
    ///
    /// # Errors
    ///
    /// When the engine cannot be reached or does not know the stream.
    pub async fn resume(
        &self,
        id: id::RequestId,
        offset: u64,
    ) -> Result<Response<Incoming>, Fault> {
        session::message("agent", "target", || format!("resume at {offset}"));
        let path = format!("/v1/streams/{id}?offset={offset}");
        let request = Request::get(self.uri(&path))
            .header(REQUEST_ID, id.to_string())
            .body(Full::default())
            .at("build request", self.address)?;
        let response = self
            .pooled
            .request(request)
            .await
            .at("resume stream", self.address)?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(Fault::new("resume stream", self.address, Status(status))),
        }
    }

    /// Tells the engine that nobody wants a stream any more.
    pub async fn cancel(&self, id: id::RequestId) -> Result<(), Fault> {
        let path = format!("/v1/streams/{id}");
        self.short(Method::DELETE, &path, Bytes::new())
            .await
            .map(drop)
    }

    /// Checks whether the target answers.
    pub async fn health(&self) -> Result<(), Fault> {
        self.short(Method::GET, "/health", Bytes::new())
            .await
            .map(drop)
    }

    /// Returns the requests that the engine says it has, running and waiting.
    ///
    /// # Errors
    ///
    /// When the engine cannot be reached or its report cannot be read.
    pub async fn load(&self) -> Result<u32, Fault> {
        let body = self.short(Method::GET, "/load", Bytes::new()).await?;
        let load: Load = serde_json::from_slice(&body).at("read load", self.address)?;
        Ok(load.running.saturating_add(load.waiting))
    }

    /// Gives the target an order with its fencing token, on a connection of its
    /// own, see [`Target::send`]. Returns the status of the reply.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] is a proof that the order did not arrive.
    pub async fn order(&self, fence: id::Fence, order: Bytes) -> Result<StatusCode, Failure> {
        let request = Request::post(self.uri("/orders"))
            .header(FENCE, fence.0)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(order))
            .at("build request", self.address)
            .map_err(Failure::NotSent)?;
        let call = time::timeout(ORDER_TIMEOUT, self.fresh.request(request));
        match call.await {
            Ok(Ok(response)) => Ok(response.status()),
            Ok(Err(cause)) if cause.is_connect() => Err(Failure::NotSent(Fault::new(
                "give order",
                self.address,
                cause,
            ))),
            Ok(Err(cause)) => Err(Failure::Broken(Fault::new(
                "give order",
                self.address,
                cause,
            ))),
            Err(cause) => Err(Failure::Broken(Fault::new(
                "give order",
                self.address,
                cause,
            ))),
        }
    }

    /// Reads the KV cache of a chat from the engine.
    pub async fn export(&self, chat: id::ChatHash) -> Result<Bytes, Fault> {
        let request = Request::get(self.uri(&format!("/kv/{chat}")))
            .body(Full::default())
            .at("build request", self.address)?;
        self.collect(request, MAX_KV).await
    }

    /// Writes the KV cache of a chat to the engine.
    pub async fn import(&self, chat: id::ChatHash, cache: Bytes) -> Result<(), Fault> {
        self.short(Method::PUT, &format!("/kv/{chat}"), cache)
            .await
            .map(drop)
    }

    async fn short(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, Fault> {
        let request = Request::builder()
            .method(method)
            .uri(self.uri(path))
            .header(
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            )
            .body(Full::new(body))
            .at("build request", self.address)?;
        self.collect(request, MAX_SHORT).await
    }

    async fn collect(&self, request: Request<Full<Bytes>>, limit: usize) -> Result<Bytes, Fault> {
        let call = async {
            let response = self
                .pooled
                .request(request)
                .await
                .at("call", self.address)?;
            let status = response.status();
            if !status.is_success() {
                return Err(Fault::new("call", self.address, Status(status)));
            }
            let body = http_body_util::Limited::new(response.into_body(), limit);
            let body = body.collect().await.at("read response", self.address)?;
            Ok(body.to_bytes())
        };
        time::timeout(CALL_TIMEOUT, call)
            .await
            .unwrap_or_else(|cause| Err(Fault::new("call", self.address, cause)))
    }
}
