//! One member with its own socket, which runs the exchange over HTTP/2.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use base::{hash, id, span, time};
use bytes::Bytes;
use fleet::{budget, exchange, member, rules};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode, body::Incoming, client::conn::http2 as client,
    server::conn::http2 as server, service::service_fn,
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{net::TcpListener, net::TcpStream, sync::Notify, task::JoinSet, time as timer};
use wire::{frame, msg};

use crate::meter;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unused connection is closed.
const IDLE: span::Span = span::Span::from_secs(30);

/// Size of a change row, in bytes; a routing rule with its reason and author.
const ROW: usize = 600;

type Sender = client::SendRequest<Full<Bytes>>;

/// What the driver of one member shares between its tasks.
pub struct Peer {
    /// Address of the member's socket.
    pub address: net::SocketAddr,
    /// Bytes and connections of the member.
    pub traffic: Arc<meter::Traffic>,
    state: Mutex<State>,
    links: Mutex<BTreeMap<net::SocketAddr, (Sender, time::Mono)>>,
    loss: f64,
    clock: time::Clock,
    offset: span::Span,
    stopped: AtomicBool,
    news: Notify,
}

/// The state that the control thread of a daemon would own.
pub struct State {
    /// The exchange under measurement.
    pub exchange: exchange::Exchange,
    /// Its byte budget.
    pub budget: budget::Budget,
    /// Configuration version in use.
    pub version: id::Version,
    /// Standing that the member reports.
    pub standing: member::Standing,
    /// Members that were removed after silence.
    pub removed: u64,
    fetching: bool,
    random: u64,
}

impl State {
    fn draw(&mut self) -> u64 {
        self.random = hash::mix(self.random, 1);
        self.random
    }

    fn lost(&mut self, share: f64) -> bool {
        (self.draw() as f64 / u64::MAX as f64) < share
    }
}

impl Peer {
    /// Binds a socket on loopback and prepares the member behind it.
    pub async fn bind(
        make: impl FnOnce(net::SocketAddr) -> member::Member,
        seeds: Vec<net::SocketAddr>,
        loss: f64,
        seed: u64,
    ) -> anyhow::Result<(Arc<Self>, TcpListener)> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("bind")?;
        let address = listener.local_addr()?;
        // Every member's clock starts elsewhere, as on separate instances.
        let offset = span::Span::from_secs(seed % 1_000_000);
        let clock = time::Clock::start();
        let now = clock.now() + offset;
        let own = make(address);
        let version = own.version;
        let standing = own.standing;
        let rules = rules::Rules::default();
        let peer = Self {
            address,
            traffic: Arc::default(),
            state: Mutex::new(State {
                exchange: exchange::Exchange::new(now, own, rules, seeds, seed),
                budget: budget::Budget::joining(now),
                version,
                standing,
                removed: 0,
                fetching: false,
                random: seed,
            }),
            links: Mutex::default(),
            loss,
            clock,
            offset,
            stopped: AtomicBool::new(false),
            news: Notify::new(),
        };
        Ok((Arc::new(peer), listener))
    }

    /// Returns the present time on the member's own clock.
    pub fn now(&self) -> time::Mono {
        self.clock.now() + self.offset
    }

    /// Locks the member's state; never held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the standing or the version that the member reports.
    pub fn change(&self, standing: member::Standing, version: id::Version) {
        let now = self.now();
        let mut state = self.state();
        state.standing = standing;
        state.version = version;
        state.exchange.update(now, standing, version, 0, 16);
        self.news.notify_one();
    }

    /// Ends the member's tasks without any farewell, as a crash does.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Accepts connections and exchanges once per interval until stopped.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        let phase = self.state().draw() % exchange::INTERVAL.as_micros();
        timer::sleep(Duration::from_micros(phase)).await;
        while !self.stopped.load(Ordering::Relaxed) {
            tokio::select! {
                () = self.wait() => {
                    if let Some((to, request)) = self.start() {
                        let peer = Arc::clone(&self);
                        tasks.spawn(async move { peer.exchange(to, request).await });
                    }
                }
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let peer = Arc::clone(&self);
                        tasks.spawn(async move { peer.serve(stream).await });
                    }
                }
                Some(_) = tasks.join_next() => {}
            }
        }
        self.links().clear();
    }

    /// Waits until the next exchange is due; news wake it early.
    async fn wait(&self) {
        loop {
            let now = self.now();
            let due = {
                let mut state = self.state();
                let state = &mut *state;
                state.exchange.due(now, &mut state.budget)
            };
            if due <= now {
                return;
            }
            tokio::select! {
                () = timer::sleep(due.since(now).duration()) => {}
                () = self.news.notified() => {}
            }
        }
    }

    /// Composes the message of an exchange that is due.
    fn start(&self) -> Option<(exchange::Partner, msg::Exchange)> {
        let now = self.now();
        self.links().retain(|_, (_, used)| now.since(*used) < IDLE);
        let mut state = self.state();
        let state = &mut *state;
        let load = u32::try_from(state.draw() % 16).unwrap_or(0);
        state.removed += state.exchange.members.expire(now).len() as u64;
        state
            .exchange
            .update(now, state.standing, state.version, load, 16);
        let to = state.exchange.next_partner(now)?;
        let request = state.exchange.compose(now, &mut state.budget, &to)?;
        Some((to, request))
    }

    async fn exchange(self: Arc<Self>, to: exchange::Partner, request: msg::Exchange) {
        let path = "/exchange";
        let answer = self.call(to.address, path, frame::encode(&request)).await;
        let now = self.now();
        let applied = {
            let mut state = self.state();
            let state = &mut *state;
            match answer {
                Err(_) => {
                    state
                        .exchange
                        .record_failure(now, &to, member::Failure::Other);
                    return;
                }
                Ok(_) if state.lost(self.loss) => return,
                Ok(body) => match read::<msg::Exchange>(&body) {
                    Ok(answer) => state.exchange.apply(now, &mut state.budget, &answer),
                    Err(_) => return,
                },
            }
        };
        self.applied(&applied, to.address).await;
    }

    /// Fetches the changes when the other process has a newer version.
    async fn applied(&self, applied: &exchange::Applied, address: net::SocketAddr) {
        if !applied.changed.is_empty() {
            self.news.notify_one();
        }
        if applied.newer_version.is_none() {
            return;
        }
        let ask = {
            let mut state = self.state();
            if state.fetching {
                return;
            }
            state.fetching = true;
            msg::ChangesSince {
                version: state.version.0,
            }
        };
        let answer = self.call(address, "/changes", frame::encode(&ask)).await;
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        state.fetching = false;
        let Ok(body) = answer else {
            return;
        };
        let sent = frame::encode(&ask).len() as u64 + budget::MESSAGE_OVERHEAD;
        state.budget.charge(now, sent + body.len() as u64);
        if state.lost(self.loss) {
            return;
        }
        if let Ok(change) = read::<msg::Change>(&body) {
            state.version = state.version.max(id::Version(change.version));
            state
                .exchange
                .update(now, state.standing, state.version, 0, 16);
            self.news.notify_one();
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(meter::Counted::new(stream, Arc::clone(&self.traffic)));
        let service = service_fn(move |request| {
            let peer = Arc::clone(&self);
            async move { Ok::<_, Infallible>(peer.handle(request).await) }
        });
        let _ = server::Builder::new(TokioExecutor::new())
            .serve_connection(io, service)
            .await;
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let Ok(body) = request.into_body().collect().await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        let now = self.now();
        if self.stopped.load(Ordering::Relaxed) || self.state().lost(self.loss) {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match path.as_str() {
            "/exchange" => self.exchanged(now, &body),
            _ => self.changes(now, &body),
        }
    }

    fn exchanged(self: &Arc<Self>, now: time::Mono, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(request) = read::<msg::Exchange>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let (answer, applied, address) = {
            let mut state = self.state();
            let state = &mut *state;
            let (answer, applied) = state.exchange.answer(now, &mut state.budget, &request);
            let address = request
                .sender
                .as_ref()
                .and_then(|stamp| stamp.process.parse().ok())
                .and_then(|process| state.exchange.members.get(now, &process))
                .map(|row| row.member.address);
            (answer, applied, address)
        };
        if let Some(address) = address {
            let peer = Arc::clone(self);
            tokio::spawn(async move { peer.applied(&applied, address).await });
        }
        Response::new(Full::new(frame::encode(&answer)))
    }

    fn changes(&self, now: time::Mono, body: &[u8]) -> Response<Full<Bytes>> {
        let mut state = self.state();
        let change = msg::Change {
            version: state.version.0,
            row: Bytes::from(vec![b'x'; ROW]),
            snapshot: false,
        };
        let answer = frame::encode(&change);
        let bytes = (body.len() + answer.len()) as u64 + budget::MESSAGE_OVERHEAD;
        state.budget.charge(now, bytes);
        Response::new(Full::new(answer))
    }

    async fn call(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<Bytes> {
        let answer = timer::timeout(TIMEOUT, self.send(address, path, body)).await;
        match answer {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(error)) => {
                self.links().remove(&address);
                Err(error)
            }
            Err(elapsed) => {
                self.links().remove(&address);
                Err(elapsed.into())
            }
        }
    }

    async fn send(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<Bytes> {
        let mut sender = self.link(address).await?;
        let request = Request::post(format!("http://{address}{path}")).body(Full::new(body))?;
        let answer = sender.send_request(request).await?;
        let lost = answer.status() != StatusCode::OK;
        let body = answer.into_body().collect().await?.to_bytes();
        // The connection is kept: only the message was lost.
        Ok(if lost { Bytes::new() } else { body })
    }

    async fn link(&self, address: net::SocketAddr) -> anyhow::Result<Sender> {
        let now = self.now();
        if let Some((sender, used)) = self.links().get_mut(&address) {
            *used = now;
            return Ok(sender.clone());
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        self.traffic.opened.fetch_add(1, Ordering::Relaxed);
        let io = TokioIo::new(meter::Counted::new(stream, Arc::clone(&self.traffic)));
        let (sender, connection) = client::handshake(TokioExecutor::new(), io).await?;
        tokio::spawn(connection);
        self.links().insert(address, (sender.clone(), now));
        Ok(sender)
    }

    fn links(&self) -> MutexGuard<'_, BTreeMap<net::SocketAddr, (Sender, time::Mono)>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}

fn read<M: prost::Message + Default>(body: &[u8]) -> anyhow::Result<M> {
    let mut reader = frame::Reader::new(frame::MAX_CONTROL);
    reader.push(body);
    reader.next_message()?.context("the body holds no message")
}
