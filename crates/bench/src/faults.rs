//! Faults on separate processes under load, and what callers were told then.
//!
//! Callers send keyed calls (repeated with the same key until they are told
//! done or unknown), single calls without a key, and chats. The audit compares
//! what they were told with what the targets ran.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{hash, span};
use bpaf::Bpaf;
use fakes::{engine, fault, service};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    audit::{Audit, Verdict},
    child::Program,
    client::{self, Call, Caller, Received},
    deploy,
    site::Site,
};

/// Names of the scenarios.
pub const NAMES: [&str; 8] = [
    "late",
    "lostreply",
    "outage",
    "pause",
    "routerdeath",
    "agentdeath",
    "drain",
    "resend",
];

/// Tells whether a scenario has this name.
pub fn exists(name: &str) -> bool {
    NAMES.contains(&name)
}

/// Faults under load
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub struct Options {
    /// Seed of the load and the faults
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Seconds of load
    #[bpaf(argument("SECONDS"), fallback(12))]
    pub seconds: u64,
    /// perdana or marshals
    #[bpaf(argument("NAME"), fallback("marshals".to_owned()))]
    pub deployment: String,
    /// Callers that send at the same time
    #[bpaf(argument("NUMBER"), fallback(24))]
    pub callers: u64,
}

/// Runs a scenario and prints the verdict.
///
/// # Errors
///
/// When the site cannot be started, or something happened that must not.
pub async fn run(name: &str, options: Options) -> anyhow::Result<()> {
    let verdict = run_with(Program::Own, name, &options).await?;
    println!("scenario={name} seed={} {verdict}", options.seed);
    anyhow::ensure!(verdict.sound(), "something happened that must not");
    Ok(())
}

/// Runs a scenario with daemons of this program.
///
/// # Errors
///
/// When the site cannot be started.
pub async fn run_with(program: Program, name: &str, options: &Options) -> anyhow::Result<Verdict> {
    let deployment = deploy::Deployment {
        engines: 4,
        ..deploy::named(&options.deployment)?
    };
    let setup = deploy::Options {
        engine: engine::Options {
            pace: span::Span::from_millis(20),
            ..engine::Options::default()
        },
        service: service::Options {
            delay: span::Span::from_millis(20),
            ..service::Options::default()
        },
        warm_up: span::Span::from_secs(1),
        ..deploy::Options::default()
    };
    let mut site = Site::start(program, deployment, setup).await?;
    let audit = Arc::new(Audit::default());
    let load = Load::new(&site, options, audit.clone(), name == "resend");
    let running = tokio::spawn(load.run());
    let time = Duration::from_secs(options.seconds);
    inject(name, &mut site, options.seed, time).await?;
    running.await?;
    Ok(audit.verdict(&site))
}

/// Causes the faults of a scenario within the time of the load.
async fn inject(name: &str, site: &mut Site, seed: u64, time: Duration) -> anyhow::Result<()> {
    let step = time / 6;
    time::sleep(step).await;
    match name {
        "late" => late(site),
        "lostreply" => site.platform.table.faults(|faults| {
            faults.lost_reply = fault::Chance::Share(0.2);
            faults.lost_request = fault::Chance::Share(0.1);
        }),
        "outage" => {
            site.platform
                .table
                .faults(|faults| faults.outage = fault::Outage::Refuse);
            time::sleep(step).await;
            site.platform
                .table
                .faults(|faults| faults.outage = fault::Outage::Hang);
            time::sleep(step).await;
            site.platform
                .table
                .faults(|faults| faults.outage = fault::Outage::None);
        }
        "pause" => pause(site, seed, step).await,
        "routerdeath" => router_death(site, seed, step).await?,
        "agentdeath" => agent_death(site, seed, step).await?,
        "drain" => drain(site, seed, step).await?,
        _ => {}
    }
    Ok(())
}

fn late(site: &Site) {
    for (engine, _) in &site.engines {
        engine.faults(|faults| {
            faults.crossed = fault::Chance::Share(0.1);
            faults.late = span::Span::from_millis(100);
        });
    }
    for (service, _) in &site.instances {
        service.faults(|faults| {
            faults.crossed = fault::Chance::Share(0.05);
            faults.late = span::Span::from_millis(100);
        });
    }
}

fn pick(seed: u64, salt: u64, count: usize) -> usize {
    (hash::mix(seed, salt) % count as u64) as usize
}

async fn pause(site: &Site, seed: u64, step: Duration) {
    let agent = &site.instances[pick(seed, 1, site.instances.len())].1.daemon;
    let engine = &site.engines[pick(seed, 2, site.engines.len())].1.daemon;
    let router = &site.routers[pick(seed, 3, site.routers.len())].daemon;
    for daemon in [agent, engine, router] {
        daemon.pause();
        time::sleep(step).await;
        daemon.resume();
        time::sleep(step / 4).await;
    }
}

async fn router_death(site: &mut Site, seed: u64, step: Duration) -> anyhow::Result<()> {
    for round in 0..2 {
        let at = pick(seed, round, site.routers.len());
        let program = site.program.clone();
        let router = &mut site.routers[at];
        router.daemon.kill();
        time::sleep(step / 2).await;
        router.restart(&program)?;
        time::sleep(step).await;
    }
    Ok(())
}

async fn agent_death(site: &mut Site, seed: u64, step: Duration) -> anyhow::Result<()> {
    for round in 0..2 {
        let program = site.program.clone();
        let at = pick(seed, round, site.instances.len());
        let agent = &mut site.instances[at].1;
        agent.daemon.kill();
        time::sleep(step / 2).await;
        agent.restart(&program)?;
        let at = pick(seed, round + 10, site.engines.len());
        let agent = &mut site.engines[at].1;
        agent.daemon.kill();
        time::sleep(step / 2).await;
        agent.restart(&program)?;
    }
    Ok(())
}

/// Time for a graceful shutdown, in which the longest chat of the load ends.
const DRAIN_TIME: Duration = Duration::from_secs(15);

async fn drain(site: &mut Site, seed: u64, step: Duration) -> anyhow::Result<()> {
    let program = site.program.clone();
    let at = pick(seed, 1, site.instances.len());
    stop(&mut site.instances[at].1, &program).await?;
    time::sleep(step / 2).await;
    let at = pick(seed, 2, site.engines.len());
    stop(&mut site.engines[at].1, &program).await?;
    time::sleep(step / 2).await;
    let at = pick(seed, 3, site.routers.len());
    stop(&mut site.routers[at], &program).await
}

/// Shuts a process down gracefully and starts it again.
async fn stop(member: &mut crate::site::Member, program: &Program) -> anyhow::Result<()> {
    member.daemon.terminate();
    let ended = member.daemon.ended(DRAIN_TIME).await;
    anyhow::ensure!(
        ended == Some(true),
        "{} did not end with status 0 in time: {ended:?}",
        member.settings.process
    );
    member.restart(program)
}

/// The platform's load balancer: sends to the routers that say they are ready.
struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    all: Vec<SocketAddr>,
    _poll: AbortOnDropHandle<()>,
}

/// Interval of the balancer's health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

impl Balancer {
    fn start(site: &Site) -> Self {
        let routers: Vec<(SocketAddr, SocketAddr)> = site
            .routers
            .iter()
            .map(|router| (router.callers(), router.settings.listen.health))
            .collect();
        let all: Vec<SocketAddr> = routers.iter().map(|(callers, _)| *callers).collect();
        let ready = Arc::new(Mutex::new(all.clone()));
        let shared = ready.clone();
        let poll = AbortOnDropHandle::new(tokio::spawn(async move {
            loop {
                let checks = routers
                    .iter()
                    .map(|(callers, health)| check(*callers, *health));
                let found = futures_util::future::join_all(checks).await;
                *shared.lock().unwrap_or_else(PoisonError::into_inner) =
                    found.into_iter().flatten().collect();
                time::sleep(CHECK_INTERVAL).await;
            }
        }));
        Self {
            ready,
            all,
            _poll: poll,
        }
    }

    fn router(&self, number: u64) -> SocketAddr {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let routers = if ready.is_empty() { &self.all } else { &*ready };
        routers[(number % routers.len() as u64) as usize]
    }
}

async fn check(callers: SocketAddr, health: SocketAddr) -> Option<SocketAddr> {
    let page = async {
        let mut stream = TcpStream::connect(health).await.ok()?;
        let request = b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        answer.starts_with(b"HTTP/1.1 200").then_some(callers)
    };
    time::timeout(CHECK_TIMEOUT, page).await.ok().flatten()
}

/// Callers under load.
struct Load {
    balancer: Balancer,
    keys: Vec<String>,
    model: &'static str,
    path: &'static str,
    seed: u64,
    callers: u64,
    end: Instant,
    audit: Arc<Audit>,
    caller: Caller,
    /// Whether each keyed call is sent through two routers at once.
    twice: bool,
    numbers: AtomicU64,
}

impl Load {
    fn new(site: &Site, options: &Options, audit: Arc<Audit>, twice: bool) -> Self {
        Self {
            balancer: Balancer::start(site),
            keys: (0..site.deployment.teams.len())
                .map(|number| site.key(number))
                .collect(),
            model: site.deployment.model,
            path: site.deployment.plain.1,
            seed: options.seed,
            callers: options.callers,
            end: Instant::now() + Duration::from_secs(options.seconds),
            audit,
            caller: Caller::default(),
            twice,
            numbers: AtomicU64::new(0),
        }
    }

    async fn run(self) {
        let load = Arc::new(self);
        let mut tasks = JoinSet::new();
        for caller in 0..load.callers {
            let load = load.clone();
            tasks.spawn(async move {
                while Instant::now() < load.end {
                    match caller % 3 {
                        0 => load.keyed().await,
                        1 => load.single().await,
                        _ => load.chat(caller).await,
                    }
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    fn number(&self) -> u64 {
        hash::mix(self.numbers.fetch_add(1, Ordering::Relaxed), self.seed)
    }

    fn team(&self, number: u64) -> &str {
        &self.keys[(number / 7 % self.keys.len() as u64) as usize]
    }

    /// Sends a keyed call until its caller knows the outcome.
    async fn keyed(&self) {
        const TRIES: u64 = 6;
        let number = self.number();
        let key = format!("key-{number:016x}");
        for attempt in 0..TRIES {
            let first = self.send_keyed(number, &key, attempt);
            let again = match self.twice {
                true => {
                    let second = self.send_keyed(number, &key, attempt + 1);
                    let (first, second) = tokio::join!(first, second);
                    first && second
                }
                false => first.await,
            };
            if !again {
                return;
            }
            time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Sends a keyed call once; returns whether it should be sent again.
    async fn send_keyed(&self, number: u64, key: &str, attempt: u64) -> bool {
        let body = format!("{{\"order\":{number}}}");
        let call = Call::post(self.path, self.team(number), body.clone())
            .with("idempotency-key", key)
            .with("prefer", "wait=10");
        let received = self.send(number + attempt, call).await;
        self.audit.plain(Some(key), body.as_bytes(), &received);
        !(received.outcome() == "done" && received.complete)
    }

    /// Sends a call that must run at most once and has no key.
    async fn single(&self) {
        let number = self.number();
        let body = format!("{{\"single\":{number}}}");
        let call = Call::post(self.path, self.team(number), body.clone()).with("prefer", "wait=10");
        let received = self.send(number, call).await;
        self.audit.plain(None, body.as_bytes(), &received);
    }

    async fn chat(&self, caller: u64) {
        let number = self.number();
        let text = format!("Chat {caller}, turn {number}.");
        let body = client::chat(self.model, &[("user", &text)], 40);
        let call = Call::post("/v1/chat/completions", self.team(number), body)
            .with("x-chat-id", format!("chat-{caller}"))
            .with("prefer", "wait=20");
        let received = self.send(number, call).await;
        self.audit.chat(&received);
    }

    async fn send(&self, number: u64, call: Call) -> Received {
        let received = self.caller.send(self.balancer.router(number), call).await;
        if received.status.is_none_or(|status| !status.is_success()) {
            // A refused caller does not come back at once.
            time::sleep(Duration::from_millis(50)).await;
        }
        received
    }
}
