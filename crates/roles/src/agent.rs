//! The daemon in the role of an agent.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

use anyhow::Context;
use arc_swap::ArcSwap;
use base::{fault::Fault, id};
use conf::settings;
use futures_util::FutureExt;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use once::event;
use prost::Message;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use wire::{convert, frame, msg};

use crate::{
    agent_core::{Attached, Core, Event, Parts},
    body, claims, health,
    link::Links,
    listen,
    metrics::Metrics,
    node::{self, Node, Signal},
    peers, plan_orders, plan_runner,
    platform::Platform,
    reply, serve,
    target::Target,
};

struct Agent {
    events: mpsc::UnboundedSender<Event>,
    stamp: Arc<ArcSwap<msg::SenderStatus>>,
    links: AtomicU64,
    target: Target,
    plans: Arc<Notify>,
}

impl Agent {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<body::Body> {
        let answered = match request.uri().path() {
            "/run" => self.run(request).await,
            "/settle" => self.settle(request).await,
            "/cancel" => self.cancel(request).await,
            "/cache" => self.cache(request).await,
            "/exchange" => self.exchange(request).await,
            "/changes" => self.changes(request).await,
            "/plans" => Ok(self.plans()),
            _ => Ok(peers::status(StatusCode::NOT_FOUND)),
        };
        answered.unwrap_or_else(|fault| peers::invalid(&fault))
    }

    fn link(&self) -> event::Link {
        event::Link(self.links.fetch_add(1, Ordering::Relaxed))
    }

    async fn run(&self, request: Request<Incoming>) -> Result<Response<body::Body>, Fault> {
        let run: msg::Run = peers::message(request, frame::MAX_RUN).await?;
        let id = run.id.clone();
        Ok(self.stream(&id, |link, reply| Event::Run(Box::new(run), link, reply)))
    }

    async fn settle(&self, request: Request<Incoming>) -> Result<Response<body::Body>, Fault> {
        let settle: msg::Settle = peers::message(request, frame::MAX_CONTROL).await?;
        let id = settle.id.clone();
        Ok(self.stream(&id, |link, reply| Event::Settle(settle, link, reply)))
    }

    fn stream(
        &self,
        id: &[u8],
        event: impl FnOnce(event::Link, oneshot::Sender<Attached>) -> Event,
    ) -> Response<body::Body> {
        let (reply, attached) = oneshot::channel();
        let link = self.link();
        self.events.send(event(link, reply)).ok();
        let id = convert::request_id(id).unwrap_or_default();
        let body = reply::body(id, link, attached, self.stamp.clone(), self.events.clone());
        Response::new(body)
    }

    async fn cancel(&self, request: Request<Incoming>) -> Result<Response<body::Body>, Fault> {
        let cancel: msg::Cancel = peers::message(request, frame::MAX_CONTROL).await?;
        if let Ok(id) = convert::request_id(&cancel.id) {
            self.events.send(Event::Cancel(id)).ok();
        }
        Ok(peers::status(StatusCode::OK))
    }

    /// Passes on the KV cache of a chat; the target is reached only here.
    async fn cache(&self, request: Request<Incoming>) -> Result<Response<body::Body>, Fault> {
        let asked: msg::CacheRequest = peers::message(request, frame::MAX_CONTROL).await?;
        let exported = self.target.export(id::ChatHash(asked.chat)).await;
        Ok(match exported {
            Ok(cache) => Response::new(body::full(cache)),
            Err(_) => peers::status(StatusCode::NOT_FOUND),
        })
    }

    /// A router has opened a step of a plan.
    fn plans(&self) -> Response<body::Body> {
        self.plans.notify_one();
        peers::status(StatusCode::OK)
    }

    async fn exchange(&self, request: Request<Incoming>) -> Result<Response<body::Body>, Fault> {
        let events = &self.events;
        exchange(request, |signal| events.send(Event::Node(signal)).is_ok()).await
    }

    async fn changes(&self, request: Request<Incoming>) -> Result<Response<body::Body>, Fault> {
        let events = &self.events;
        changes(request, |signal| events.send(Event::Node(signal)).is_ok()).await
    }
}

/// Tells another process the configuration changes that it lacks.
pub(crate) async fn changes(
    request: Request<Incoming>,
    signal: impl FnOnce(Signal) -> bool,
) -> Result<Response<body::Body>, Fault> {
    let asked: msg::ChangesSince = peers::message(request, frame::MAX_CONTROL).await?;
    let (reply, answer) = oneshot::channel();
    signal(Signal::Asked(id::Version(asked.version), reply));
    Ok(match answer.await {
        Ok(changes) => peers::replies(&changes),
        Err(_) => peers::status(StatusCode::SERVICE_UNAVAILABLE),
    })
}

/// Answers an exchange that another process started.
pub(crate) async fn exchange(
    request: Request<Incoming>,
    signal: impl FnOnce(Signal) -> bool,
) -> Result<Response<body::Body>, Fault> {
    let message: msg::Exchange = peers::message(request, frame::MAX_CONTROL).await?;
    debug_assert!(message.encoded_len() <= frame::MAX_CONTROL);
    let (reply, answer) = oneshot::channel();
    signal(Signal::Received(Box::new(message), reply));
    Ok(match answer.await {
        Ok(answer) => peers::reply(&answer),
        Err(_) => peers::status(StatusCode::SERVICE_UNAVAILABLE),
    })
}

/// Starts an agent on the current runtime; the returned future ends when the
/// process may exit.
///
/// Cancelling `stop` begins a graceful shutdown: new work is refused at once
/// and requests in flight finish.
///
/// # Errors
///
/// When an address cannot be bound or a certificate cannot be read.
pub async fn start(
    settings: settings::Settings,
    stop: CancellationToken,
) -> anyhow::Result<impl Future<Output = ()> + Send> {
    let settings = Arc::new(settings);
    let own = settings.agent.clone().context("settings have no agent")?;
    let metrics = Arc::new(Metrics::new(settings.statsd)?);
    let links = Arc::new(Links::new(listen::connector(&settings)?));
    let (events, received) = mpsc::unbounded_channel();
    let stamp = Arc::new(ArcSwap::from_pointee(msg::SenderStatus::default()));
    let health = Arc::new(health::Health::default());
    let target = Target::new(own.address);
    let platform = Platform::new(&settings.platform);
    let agent = Arc::new(Agent {
        target: target.clone(),
        plans: platform.plans.clone(),
        events: events.clone(),
        stamp: stamp.clone(),
        links: AtomicU64::new(1),
    });

    let handler: serve::Handler = Arc::new(move |request| agent.clone().handle(request).boxed());
    let servers = TaskTracker::new();
    let closed = CancellationToken::new();
    servers.spawn(listen::peers(&settings, handler).await?.run(closed.clone()));
    let pages = listen::health(&settings, health::handler(health.clone())).await?;
    servers.spawn(pages.run(closed.clone()));

    let control = thread::Builder::new().name("control".to_owned());
    let (done, ended) = oneshot::channel();
    let traffic = tokio::runtime::Handle::current();
    let core_settings = settings.clone();
    let core_events = events.clone();
    let ready = health.clone();
    let core_stop = stop.clone();
    control.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime without threads needs only file descriptors");
        runtime.block_on(async move {
            let incarnation = node::incarnation();
            let signals = listen::forward(core_events.clone(), Event::Node);
            let process = core_settings.process.clone();
            let node = Node::new(
                core_settings,
                incarnation,
                links.clone(),
                platform.clone(),
                signals.clone(),
            );
            let ordering = Arc::new(AtomicBool::new(false));
            let hands = plan_orders::Hands {
                target: own.target.clone(),
                incarnation,
                orders: own.orders.map(Target::new),
                events: core_events.clone(),
                clock: node.clock,
                metrics: metrics.clone(),
                ordering: ordering.clone(),
                stop: core_stop,
            };
            plan_runner::start(plan_runner::Parts {
                process,
                clock: node.clock,
                platform: platform.clone(),
                signals,
                links,
                metrics: metrics.clone(),
                desk: Some(plan_orders::Desk::new(hands)),
            });
            let asks = claims::start(
                platform.clone(),
                node.clock,
                core_events.clone(),
                metrics.clone(),
            );
            let parts = Parts {
                node,
                incarnation,
                target,
                traffic,
                asks,
                objects: platform.objects,
                ordering,
                health: ready,
                events: core_events,
                stamp,
                metrics,
            };
            Core::new(parts, own).run(received).await;
        });
        done.send(()).ok();
    })?;

    Ok(async move {
        let mut ended = ended;
        tokio::select! {
            () = stop.cancelled() => {
                health.set(health::State::Leaving);
                events.send(Event::Stop).ok();
                let drained = tokio::time::timeout(settings.drain_time.duration(), ended);
                drained.await.ok();
            }
            // The instance leaves without a signal, and nothing is in flight.
            _ = &mut ended => health.set(health::State::Leaving),
        }
        closed.cancel();
        servers.close();
        servers.wait().await;
    })
}
