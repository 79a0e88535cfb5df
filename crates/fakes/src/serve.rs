//! The HTTP interface of an engine.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::{
    body::{self, Body},
    cache, clock, control,
    engine::{self, Shared},
    orders, prompt,
    server::{Dropped, Handler},
    state::{Arrival, Rejection},
    stream, weights,
};

/// Carries the request id, in requests and responses.
pub const REQUEST_ID: &str = "x-request-id";
/// Carries the urgency; a larger number runs first.
pub const PRIORITY: &str = "x-priority";
/// Carries the chat's hash, under which the KV cache is exported.
pub const CHAT_HASH: &str = "x-chat-hash";
/// Carries how many prompt tokens were cached.
pub const CACHED_TOKENS: &str = "x-cached-tokens";
/// Carries the fencing token of an order.
pub const FENCE: &str = "x-fence";

/// Bytes of one block in an exported KV cache.
const BLOCK_BYTES: usize = 8;

/// The response to `GET /load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that have a slot.
    pub running: u32,
    /// Requests that wait for one.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: usize,
}

impl Handler for Shared {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Dropped> {
        if control::matches(&request) {
            let record = self.state().record.clone();
            let switch = |faults: engine::Faults| {
                self.state().faults = faults;
                self.wake();
            };
            return Ok(control::handle(request, &self.power, record, switch).await);
        }
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (&method, split(&path)) {
            (&Method::POST, ("v1/chat/completions", "")) => self.chat(request).await,
            (&Method::GET, ("v1/streams", id)) => self.resume(id, request.uri().query()).await,
            (&Method::DELETE, ("v1/streams", id)) => Ok(self.cancel(id)),
            (&Method::GET, ("load", "")) => Ok(self.load()),
            (&Method::GET, ("health", "")) => Ok(self.health()),
            (&Method::GET, ("kv", "events")) => Ok(self.events(request.uri().query())),
            (&Method::GET, ("kv", chat)) => Ok(self.export(chat).await),
            (&Method::PUT, ("kv", chat)) => Ok(self.import(chat, request).await),
            (&Method::POST, ("orders", "")) => Ok(self.order(request).await),
            _ => Ok(body::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

/// Splits a path into its collection and the name within it.
fn split(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    for collection in ["v1/streams", "kv"] {
        let name = path.strip_prefix(collection);
        if let Some(name) = name.and_then(|name| name.strip_prefix('/')) {
            return (collection, name);
        }
    }
    (path, "")
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads what the caller sent; an absent request id gets a local one.
async fn arrival(request: Request<Incoming>) -> Result<Arrival, String> {
    static UNNAMED: AtomicU64 = AtomicU64::new(1);
    let headers = request.headers();
    let id = text(headers, REQUEST_ID).map_or_else(
        || format!("local-{}", UNNAMED.fetch_add(1, Ordering::Relaxed)),
        str::to_owned,
    );
    let chat = text(headers, CHAT_HASH).map(str::to_owned);
    let priority = text(headers, PRIORITY).and_then(|number| number.parse().ok());
    Ok(Arrival {
        id,
        chat,
        priority: priority.unwrap_or(0),
        request: control::read::<prompt::Chat>(request).await?,
    })
}

impl Shared {
    async fn chat(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        let arrival = match arrival(request).await {
            Ok(arrival) => arrival,
            Err(reason) => return Ok(body::error(StatusCode::BAD_REQUEST, reason)),
        };
        let id = arrival.id.clone();
        let added = self.state().add(arrival);
        let stream = match added {
            Ok(stream) => stream,
            Err(rejection) => return Ok(self.rejection(&rejection)),
        };
        self.wake();
        self.respond(id, stream, 0).await
    }

    fn rejection(&self, rejection: &Rejection) -> Response<Body> {
        let reason = rejection.to_string();
        match rejection {
            Rejection::Model(_) => body::error(StatusCode::NOT_FOUND, reason),
            Rejection::Full | Rejection::Demand => {
                body::retry(StatusCode::SERVICE_UNAVAILABLE, self.options.pace, &reason)
            }
        }
    }

    async fn resume(&self, id: &str, query: Option<&str>) -> Result<Response<Body>, Dropped> {
        let offset = control::query(query, "offset").and_then(|offset| offset.parse().ok());
        let stream = self.state().stream(id);
        match stream {
            Some(stream) => {
                let offset = offset.unwrap_or(0);
                self.respond(id.to_owned(), stream, offset).await
            }
            None => Ok(body::error(StatusCode::NOT_FOUND, "no such stream")),
        }
    }

    /// Sends a response from an offset, subject to the faults.
    async fn respond(
        &self,
        mut id: String,
        mut stream: stream::Stream,
        offset: usize,
    ) -> Result<Response<Body>, Dropped> {
        let faults = self.draw();
        if faults.lost {
            return Err(Dropped);
        }
        let cached = stream.started().await.ok_or(Dropped)?;
        tokio::time::sleep(faults.late.duration()).await;
        if faults.crossed {
            (id, stream) = self.other(&id);
        }
        let body = if stream.events() {
            stream.body(offset, faults.cut)
        } else {
            let bytes = stream.complete().await.ok_or(Dropped)?;
            match faults.cut {
                Some(length) => body::cut(bytes.slice(..length.min(bytes.len()))),
                None => body::full(bytes.slice(offset.min(bytes.len())..)),
            }
        };
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        let kind = match stream.events() {
            true => "text/event-stream",
            false => "application/json",
        };
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
        headers.insert(CACHED_TOKENS, cached.into());
        if let (false, Ok(id)) = (faults.unnamed, HeaderValue::from_str(&id)) {
            headers.insert(REQUEST_ID, id);
        }
        Ok(response)
    }

    /// Returns a response that belongs to another request.
    fn other(&self, id: &str) -> (String, stream::Stream) {
        self.state().other(id).unwrap_or_else(|| {
            let stream = stream::Stream::new(true);
            stream.push(prompt::DONE);
            stream.end(stream::Stage::Done);
            ("another-request".to_owned(), stream)
        })
    }

    fn draw(&self) -> Drawn {
        let mut state = self.state();
        let state = &mut *state;
        let (faults, random) = (&mut state.faults, &mut state.random);
        Drawn {
            lost: faults.lost_reply.draw(random),
            crossed: faults.crossed.draw(random),
            unnamed: faults.unnamed.draw(random),
            cut: faults.cut.draw(random).then_some(faults.cut_after),
            late: faults.late,
        }
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let known = self.state().cancel(id);
        self.wake();
        body::empty(match known {
            true => StatusCode::NO_CONTENT,
            false => StatusCode::NOT_FOUND,
        })
    }

    fn load(&self) -> Response<Body> {
        let level = self.state().reported();
        let load = Load {
            running: level.running,
            waiting: level.waiting,
            slots: self.options.slots,
        };
        body::json(StatusCode::OK, &load)
    }

    fn health(&self) -> Response<Body> {
        let loaded = self.state().desk.loaded.clone();
        body::json(StatusCode::OK, &loaded)
    }

    fn events(&self, query: Option<&str>) -> Response<Body> {
        let after = control::query(query, "after").and_then(|after| after.parse().ok());
        let lag = self.options.event_lag;
        let now = crate::clock::now();
        let page = self.state().events.after(now, after.unwrap_or(0), lag);
        body::json(StatusCode::OK, &page)
    }

    async fn export(&self, chat: &str) -> Response<Body> {
        let blocks = self.state().export(chat);
        let Some(blocks) = blocks else {
            return body::error(StatusCode::NOT_FOUND, "no KV cache for this chat");
        };
        self.transfer(blocks.len()).await;
        let bytes: Vec<u8> = blocks.into_iter().flat_map(u64::to_le_bytes).collect();
        Response::new(body::full(bytes))
    }

    async fn import(&self, chat: &str, request: Request<Incoming>) -> Response<Body> {
        let blocks = body::read(request.into_body()).await.and_then(parse_blocks);
        let blocks = match blocks {
            Ok(blocks) => blocks,
            Err(error) => return body::error(StatusCode::BAD_REQUEST, error.to_string()),
        };
        self.transfer(blocks.len()).await;
        self.state().import(chat, blocks);
        body::empty(StatusCode::NO_CONTENT)
    }

    async fn transfer(&self, blocks: usize) {
        let count = u32::try_from(blocks).unwrap_or(u32::MAX);
        tokio::time::sleep(self.options.block_time.duration() * count).await;
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let fence = text(request.headers(), FENCE).and_then(|fence| fence.parse().ok());
        let order = match control::read::<orders::Order>(request).await {
            Ok(order) => order,
            Err(reason) => return body::error(StatusCode::BAD_REQUEST, reason),
        };
        let accepted = self.state().desk.accept(fence, &order);
        if let Err(refusal) = accepted {
            let status = match refusal {
                orders::Refusal::Stale(..) => StatusCode::CONFLICT,
                orders::Refusal::Field(_) => StatusCode::BAD_REQUEST,
            };
            return body::error(status, refusal.to_string());
        }
        let (begun, crashes) = (clock::now(), self.state().record.crashes);
        if let Err(error) = self.fetch(&order).await {
            return body::retry(StatusCode::BAD_GATEWAY, self.options.load_time, &error);
        }
        let mut state = self.state();
        if state.record.crashes != crashes {
            return body::error(StatusCode::SERVICE_UNAVAILABLE, "the engine has restarted");
        }
        if order.order == orders::Kind::Load {
            state.record.loads.push((begun, clock::now()));
        }
        state.desk.apply(&order);
        state.record.orders.push(crate::record::Order {
            fence,
            text: order.to_string(),
        });
        body::json(StatusCode::OK, &state.desk.loaded)
    }

    /// Takes the time that an order takes, and the weights from the store.
    async fn fetch(&self, order: &orders::Order) -> Result<(), String> {
        let (orders::Kind::Load, Some(model)) = (order.order, &order.model) else {
            return Ok(());
        };
        tokio::time::sleep(self.options.load_time.duration()).await;
        match self.options.weights {
            Some(store) => weights::fetch(store, model)
                .await
                .map_err(|error| format!("cannot fetch the weights of {model:?}: {error}")),
            None => Ok(()),
        }
    }
}

/// The faults that affect one response.
struct Drawn {
    lost: bool,
    crossed: bool,
    unnamed: bool,
    cut: Option<usize>,
    late: base::span::Span,
}

fn parse_blocks(bytes: Bytes) -> io::Result<Vec<cache::Block>> {
    let (blocks, rest) = bytes.as_chunks::<BLOCK_BYTES>();
    if !rest.is_empty() {
        return Err(io::Error::other("KV cache ends within a block"));
    }
    Ok(blocks
        .iter()
        .map(|block| u64::from_le_bytes(*block))
        .collect())
}
