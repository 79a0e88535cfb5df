//! The daemon in the role of a router.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use admit::budget;
use anyhow::Context;
use arc_swap::ArcSwap;
use base::{fault::Fault, hash, id, span, time};
use bytes::Bytes;
use conf::settings;
use futures_util::{FutureExt, stream};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use once::{refusal::Refusal, settle};
use place::policy;
use tokio::sync::mpsc;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use wire::msg;

use crate::{
    agent, body,
    forward::{Forward, Output},
    front, health, hint, limits,
    link::Links,
    listen,
    metrics::Metrics,
    node::{self, Node},
    operate, peers, plan_runner,
    platform::Platform,
    problem::{Code, OUTCOME, Outcome, Problem},
    router_core::{Core, Event, Parts},
    serve, session,
    snapshot::Snapshot,
    target,
};

/// Time after which a caller may come back when no agent gave one, before
/// jitter.
const PAUSE: span::Span = span::Span::from_secs(2);

/// Time during which a leaving router still accepts connections, so that the
/// load balancer notices that it is not ready.
const SETTLE_IN: Duration = Duration::from_secs(1);

/// What the traffic threads of a router share.
pub struct Router {
    /// Settings of this process.
    pub settings: Arc<settings::Settings>,
    /// The state that the control thread publishes.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Connections to agents.
    pub links: Arc<Links>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Tries beyond the first.
    pub retries: Retries,
    /// Limits of teams.
    pub teams: limits::Limits,
    clock: time::Clock,
    signer: Option<hint::Signer>,
    limits: front::Limits,
    events: mpsc::UnboundedSender<Event>,
    seeds: AtomicU64,
}

/// The retry budgets of the teams: one that surges does not use up the others'.
#[derive(Debug, Default)]
pub struct Retries(Mutex<budget::RetryBudgets>);

impl Retries {
    /// Notes a new request of a team.
    pub fn request(&self, team: &id::TeamId) {
        self.lock().record_request(team);
    }

    /// Takes one retry of a team; returns whether there was one.
    pub fn retry(&self, team: &id::TeamId) -> bool {
        self.lock().try_retry(team)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, budget::RetryBudgets> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Router {
    /// Tells the control thread.
    pub fn tell(&self, event: Event) {
        self.events.send(event).ok();
    }

    /// Returns a number that differs between calls.
    pub fn seed(&self) -> u64 {
        hash::mix(self.seeds.fetch_add(1, Ordering::Relaxed), 0)
    }

    /// Returns a time to come back, with jitter of a half either way, so that
    /// callers do not return together.
    pub fn pause(&self) -> span::Span {
        let share = self.seed() % PAUSE.as_micros();
        span::Span::from_micros(PAUSE.as_micros() / 2 + share)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<body::Body> {
        let id = front::new_id();
        self.metrics.count("request");
        session::message("caller", "router", || {
            format!("{} {}", request.method(), request.uri().path())
        });
        let answered = self.serve(id, request).await;
        session::message("router", "caller", || match &answered {
            Ok(response) => format!("{} done", response.status().as_u16()),
            Err(problem) => format!(
                "{} {}",
                problem.code.as_str(),
                problem.code.outcome().as_str()
            ),
        });
        match answered {
            Ok(response) => response,
            Err(problem) => {
                tracing::info!(event = "problem", request = %id, code = problem.code.as_str(), detail = problem.detail);
                self.metrics
                    .count(&format!("problem.{}", problem.code.as_str()));
                problem.response(id)
            }
        }
    }

    async fn serve(
        self: &Arc<Self>,
        id: id::RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<body::Body>, Problem> {
        let snapshot = self.snapshot.load_full();
        let conf = snapshot.conf.clone();
        let (parts, incoming) = front::split(request);
        let team = self
            .open(&snapshot)
            .and_then(|()| front::authenticate(&conf, &parts.headers));
        let team = match team {
            Ok(team) => team,
            Err(problem) => {
                inlet::discard(&parts.headers, incoming, None);
                return Err(problem);
            }
        };
        let body = front::read_body(&parts.headers, incoming, &self.limits).await?;
        let accepted = front::accept(id, &conf, team, &parts, body, &self.limits)?;
        let share = conf.share(&accepted.team, &accepted.service);
        let open = match &share {
            Some(share) => self.teams.take(self.clock.now(), share),
            None => Ok(None),
        };
        let open = open
            .map_err(|over| Problem::new(Code::Overloaded, over.to_string()).after(over.after()))?;
        drop(snapshot);
        // The headers are parts of the connection's read buffer.
        drop(parts);
        self.retries.request(&accepted.team);
        let hint = accepted
            .hint
            .as_deref()
            .and_then(|hint| self.signer.as_ref()?.verify(accepted.chat, hint));
        let chat = accepted.chat;
        let mut forward = Box::new(Forward::new(self.clone(), accepted, hint, open));
        match forward.start().await {
            Output::Head(head) => Ok(self.response(chat, forward, head)),
            Output::NotRun(why, after) => Err(not_run(&why, after.unwrap_or(self.pause()))),
            output => Err(unknown(&output)),
        }
    }

    /// Returns whether this router takes requests.
    fn open(&self, snapshot: &Snapshot) -> Result<(), Problem> {
        let code = match (snapshot.leaving, snapshot.ready) {
            (true, _) => Code::ShuttingDown,
            (false, false) => Code::NotReady,
            (false, true) => return Ok(()),
        };
        let detail = "another router serves this request";
        Err(Problem::new(code, detail).after(self.pause()))
    }

    fn response(
        self: &Arc<Self>,
        chat: id::ChatHash,
        forward: Box<Forward>,
        head: msg::Head,
    ) -> Response<body::Body> {
        let id = forward.id();
        let hint = forward
            .target()
            .and_then(|target| Some(self.signer.as_ref()?.sign(chat, target)));
        let mut response = Response::new(body::stream(stream::unfold(Some(forward), next)));
        let status = u16::try_from(head.status).ok();
        *response.status_mut() = status
            .and_then(|status| StatusCode::from_u16(status).ok())
            .unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        for field in &head.headers {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let value = HeaderValue::from_bytes(&field.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        set(headers, target::REQUEST_ID, &id.to_string());
        set(headers, OUTCOME, Outcome::Done.as_str());
        if head.replayed {
            set(headers, REPLAYED, "true");
        }
        if let Some(hint) = hint {
            set(headers, front::HINT, &hint);
        }
        response
    }
}

/// Header that marks a stored response.
pub const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

fn set(headers: &mut http::HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Reports a response that broke off after its head.
#[derive(Debug, thiserror::Error)]
#[error("the response broke off: {0}")]
struct Aborted(settle::Doubt);

type Step = (Result<Bytes, Fault>, Option<Box<Forward>>);

async fn next(forward: Option<Box<Forward>>) -> Option<Step> {
    let mut forward = forward?;
    match forward.next().await {
        Output::Bytes(bytes) => Some((Ok(bytes), Some(forward))),
        Output::Finish => {
            tracing::info!(event = "done", request = %forward.id(), attempts = forward.attempts());
            None
        }
        Output::Abort(doubt) | Output::Unknown(doubt) => {
            tracing::warn!(event = "aborted", request = %forward.id(), cause = %doubt);
            let fault = Fault::new("read response", forward.id(), Aborted(doubt));
            Some((Err(fault), None))
        }
        Output::Head(_) | Output::NotRun(..) => {
            let doubt = settle::Doubt::Broken;
            let fault = Fault::new("read response", forward.id(), Aborted(doubt));
            Some((Err(fault), None))
        }
    }
}

fn not_run(why: &Refusal, after: span::Span) -> Problem {
    let code = match why {
        Refusal::Bound | Refusal::Share => Code::Overloaded,
        Refusal::Deadline => Code::DeadlineExceeded,
        Refusal::Quarantine => Code::Quarantined,
        Refusal::Table => Code::StoreUnavailable,
        Refusal::Mismatch => Code::KeyMismatch,
        Refusal::Invalid => Code::BadRequest,
        Refusal::Leaving
        | Refusal::Down
        | Refusal::Claimed(_)
        | Refusal::Stale
        | Refusal::Tombstone
        | Refusal::Cancelled => Code::NoTarget,
    };
    let problem = Problem::new(code, format!("the request was not run: {why}"));
    match code {
        Code::KeyMismatch | Code::BadRequest => problem,
        _ => problem.after(after),
    }
}

fn unknown(output: &Output) -> Problem {
    let cause = match output {
        Output::Unknown(doubt) | Output::Abort(doubt) => doubt.to_string(),
        _ => "the response broke a rule of the protocol".to_owned(),
    };
    let detail =
        format!("the request may have run: {cause}; repeat it only with the same Idempotency-Key");
    Problem::new(Code::OutcomeUnknown, detail)
}

async fn peer(
    events: mpsc::UnboundedSender<Event>,
    request: Request<Incoming>,
) -> Response<body::Body> {
    let answered = match request.uri().path() {
        "/exchange" => agent::exchange(request, |s| events.send(Event::Node(s)).is_ok()).await,
        "/changes" => agent::changes(request, |s| events.send(Event::Node(s)).is_ok()).await,
        _ => Ok(peers::status(StatusCode::NOT_FOUND)),
    };
    answered.unwrap_or_else(|fault| peers::invalid(&fault))
}

/// Starts a router on the current runtime; the returned future ends when the
/// process may exit.
///
/// Cancelling `stop` begins a graceful shutdown: the router is not ready at
/// once, accepts no new connections after a settle time, and requests in
/// flight finish.
///
/// # Errors
///
/// When an address cannot be bound or a certificate cannot be read.
pub async fn start(
    settings: settings::Settings,
    tuning: policy::Tuning,
    stop: CancellationToken,
) -> anyhow::Result<impl Future<Output = ()> + Send> {
    let settings = Arc::new(settings);
    let address = settings
        .listen
        .callers
        .context("settings have no listen.callers")?;
    let metrics = Arc::new(Metrics::new(settings.statsd)?);
    let links = Arc::new(Links::new(listen::connector(&settings)?));
    let (events, received) = mpsc::unbounded_channel();
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let health = Arc::new(health::Health::default());
    let secret = settings.hint_secret.as_ref();
    let router = Arc::new(Router {
        snapshot: snapshot.clone(),
        links: links.clone(),
        metrics: metrics.clone(),
        retries: Retries::default(),
        teams: limits::Limits::default(),
        clock: time::Clock::start(),
        signer: secret.map(|secret| hint::Signer::new(secret.as_bytes())),
        limits: limits(&settings),
        events: events.clone(),
        seeds: AtomicU64::new(node::incarnation().0),
        settings: settings.clone(),
    });

    let servers = TaskTracker::new();
    let closed = CancellationToken::new();
    let handler: serve::Handler = Arc::new(move |request| router.clone().handle(request).boxed());
    let callers = listen::callers(&settings, address, handler).await?;
    let caller_stop = CancellationToken::new();
    servers.spawn(callers.run(caller_stop.clone()));
    let peer_events = events.clone();
    let handler: serve::Handler =
        Arc::new(move |request| peer(peer_events.clone(), request).boxed());
    let others = TaskTracker::new();
    others.spawn(listen::peers(&settings, handler).await?.run(closed.clone()));
    let pages = listen::health(&settings, health::handler(health.clone())).await?;
    others.spawn(pages.run(closed.clone()));

    let centre = settings.data_centre.clone();
    let operators = operate::Operators::new(snapshot.clone(), events.clone(), centre);
    if let Some(server) = listen::operators(&settings, operators).await? {
        others.spawn(server.run(closed.clone()));
    }

    let bootstrap = settings.bootstrap_changes()?;
    let control = thread::Builder::new().name("control".to_owned());
    let core_settings = settings.clone();
    let core_events = events.clone();
    let core_health = health.clone();
    control.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime without threads needs only file descriptors");
        runtime.block_on(async move {
            let signals = listen::forward(core_events, Event::Node);
            let platform = Platform::new(&core_settings.platform);
            let incarnation = node::incarnation();
            let process = core_settings.process.clone();
            let node = Node::new(
                core_settings,
                incarnation,
                links.clone(),
                platform.clone(),
                signals.clone(),
            );
            plan_runner::start(plan_runner::Parts {
                process,
                clock: node.clock,
                platform,
                signals,
                links,
                metrics,
                desk: None,
            });
            let parts = Parts {
                bootstrap,
                node,
                snapshot,
                health: core_health,
                tuning,
            };
            Core::new(parts).run(received).await;
        });
    })?;

    Ok(async move {
        stop.cancelled().await;
        health.set(health::State::Leaving);
        tracing::info!(event = "leaving", process = %settings.process);
        tokio::time::sleep(SETTLE_IN).await;
        events.send(Event::Stop).ok();
        caller_stop.cancel();
        servers.close();
        tokio::time::timeout(settings.drain_time.duration(), servers.wait())
            .await
            .ok();
        closed.cancel();
        others.close();
        others.wait().await;
        tracing::info!(event = "drained", process = %settings.process);
    })
}

fn limits(settings: &settings::Settings) -> front::Limits {
    front::Limits {
        body: settings.limits.body.as_usize(),
        body_time: settings.limits.body_time.duration(),
        deadline: settings.limits.deadline,
    }
}
