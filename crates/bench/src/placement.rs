//! Placement and overload: cache reuse, load skew and what callers received
//! while engines join, leave and fail and while teams and chats surge.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use anyhow::Context;
use base::{hash, span, time};
use bpaf::Bpaf;
use bytes::Bytes;
use conf::state;
use fakes::{clock, engine};
use place::policy;
use roles::agent;
use tokio::time::sleep;
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use crate::{
    client::{Call, Caller},
    deploy, drive, limit, relay, report, skew, trace,
};

/// Names of the scenarios.
pub const NAMES: [&str; 7] = [
    "steady", "churn", "flap", "surge", "split", "poison", "hotchat",
];

/// Tells whether a scenario has this name.
pub fn exists(name: &str) -> bool {
    NAMES.contains(&name)
}

/// Placement and overload
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub struct Options {
    /// random, least, hash, bounded or full
    #[bpaf(argument("NAME"), fallback(policy::Policy::Full))]
    policy: policy::Policy,
    /// Seed of the trace and the faults
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// perdana or marshals
    #[bpaf(argument("NAME"), fallback("perdana".to_owned()))]
    deployment: String,
    /// Seconds of load
    #[bpaf(argument("SECONDS"), fallback(20))]
    seconds: u64,
    /// Callers for each engine; each has one chat at a time
    #[bpaf(argument("NUMBER"), fallback(48))]
    callers: u64,
    /// Log filter of the daemons; their log lines go to standard error
    #[bpaf(argument("FILTER"), fallback("off".to_owned()))]
    log: String,
}

/// Tokens that the cache of an engine holds: about twice what its part of the
/// chats needs.
const CACHE_TOKENS: usize = 144 * 1024;

/// Costs of the stand-in engines: moving a block of 64 tokens takes 0.2 ms at
/// each side, computing a token 0.1 ms.
const COSTS: policy::ImportCosts = policy::ImportCosts {
    setup: span::Span::from_millis(5),
    transfer: span::Span::from_micros(6250),
    prefill: span::Span::from_millis(100),
};

/// Load that every engine may carry: a quarter of its slots, where no request
/// slows another.
const FLOOR: u32 = 8;

/// Time that a joined engine counts as warming up; five minutes of a
/// deployment at the scale of the trace.
const WARM_UP: span::Span = span::Span::from_secs(4);

/// Time from the start of the daemons to the load, so that all engines are up.
const SETTLE: Duration = Duration::from_secs(5);

/// Time for which a crashed engine stays down.
const RESTART: span::Span = span::Span::from_secs(1);

/// Interval at which crashes are looked for.
const WATCH: Duration = Duration::from_millis(5);

/// Load of the surging team, as a multiple of all other callers.
const SURGE: u64 = 1;

/// In hotchat, one in this many chats is the hot one.
const HOT_SHARE: u64 = 4;

/// Text that crashes an engine.
const MARKER: &str = "poisonous content";

/// Times that the caller of a poisonous request resends it.
const POISON_TRIES: usize = 12;

/// Runs a scenario and prints its figures.
///
/// # Errors
///
/// When the deployment cannot be started.
pub async fn run(name: &str, options: Options) -> anyhow::Result<()> {
    roles::logs::init(&options.log);
    let mut site = Site::start(name, &options).await?;
    let seconds = Duration::from_secs(options.seconds);
    let from = clock::now();
    let start = Instant::now();
    let control = site.control().await?;
    let hot = if name == "hotchat" { HOT_SHARE } else { 0 };
    let load = drive::Load::new(&site.running, options.seed, start + seconds, hot);
    let load = Arc::new(load);
    let callers = options.callers * site.running.engines.len() as u64;
    let base = tokio::spawn(load.clone().run(callers, None, load.end));
    let surge = inject(name, &mut site, &load, callers, seconds).await?;
    sleep(load.end.saturating_duration_since(Instant::now())).await;
    let to = clock::now();
    base.await?;
    let spent = site.control().await? - control;
    let lasted = start.elapsed().as_secs_f64();
    let turns = load.take();
    let options_used = &site.running.options;
    let courses = site.courses(from);
    let room = limit::Room {
        blocks: options_used.engine.cache_tokens / options_used.engine.block_tokens
            * site.running.engines.len(),
        block: options_used.engine.block_tokens,
        floor: options_used.floor,
    };
    let bound = skew::Bound {
        factor: options_used.factor.get(),
        floor: options_used.floor,
    };
    let report = report::Report {
        scenario: name.to_owned(),
        policy: options.policy.to_string(),
        seed: options.seed,
        deployment: options.deployment.clone(),
        reuse: limit::achieved(&turns),
        limit: limit::limit(&turns, room),
        skew: skew::worst(&courses, bound, from, to),
        crashed: site.crashed(),
        control: spent / lasted / site.running.routers.len() as f64,
        surge,
        turns,
    };
    report.print();
    Ok(())
}

/// A deployment under measurement.
struct Site {
    running: deploy::Running,
    caller: Caller,
    /// Engines that were drained, by name.
    gone: Vec<deploy::EngineSlot>,
    /// When engines were drained.
    drained: BTreeMap<String, time::Mono>,
    /// When engines crashed.
    crashes: Arc<Mutex<Vec<(String, time::Mono)>>>,
    watches: Vec<AbortOnDropHandle<()>>,
    relays: Vec<relay::Relay>,
    next: usize,
}

/// Engines of `split` that are reached through relays.
const RELAYED: usize = 4;

impl Site {
    async fn start(name: &str, options: &Options) -> anyhow::Result<Self> {
        let mut deployment = deploy::named(&options.deployment)?;
        let engines = deployment.engines;
        if name == "split" {
            deployment.engines -= RELAYED;
        }
        let setup = deploy::Options {
            engine: engine::Options {
                cache_tokens: CACHE_TOKENS,
                ..engine::Options::default()
            },
            tuning: policy::Tuning {
                policy: options.policy,
                turn_time: span::Span::from(trace::TURN_TIME),
                import_tokens: COSTS.min_tokens(),
                ..policy::Tuning::default()
            },
            warm_up: WARM_UP,
            floor: FLOOR,
            ..deploy::Options::default()
        };
        let running = deploy::Running::start(deployment, setup).await?;
        let mut site = Self {
            running,
            caller: Caller::default(),
            gone: Vec::new(),
            drained: BTreeMap::new(),
            crashes: Arc::default(),
            watches: Vec::new(),
            relays: Vec::new(),
            next: engines,
        };
        while site.running.engines.len() < engines {
            site.start_relayed().await?;
        }
        let deployment = &site.running.deployment;
        let body = crate::client::chat(deployment.model, &[("user", "Ready?")], 1);
        let key = deploy::key(deployment.teams[0].0);
        let call = Call::post("/v1/chat/completions", &key, body);
        for router in site.running.callers() {
            deploy::ready(router, &call).await?;
        }
        sleep(SETTLE).await;
        Ok(site)
    }

    /// Starts an engine whose agent is reached through a relay.
    async fn start_relayed(&mut self) -> anyhow::Result<()> {
        let number = self.running.engines.len();
        let service = self.running.deployment.model;
        let name = format!("{service}-{number}");
        let options = engine::Options {
            seed: number as u64,
            ..self.running.options.engine.clone()
        };
        let engine = engine::Engine::start(([127, 0, 0, 1], 0).into(), options)?;
        let kind = state::Kind::Engine;
        let address = engine.address();
        let mut settings = self
            .running
            .agent_settings(&name, number, service, kind, address)?;
        let relay = relay::Relay::start(settings.listen.peers).await?;
        settings.advertise = relay.address();
        self.running.enlist(&settings);
        let stop = CancellationToken::new();
        let task = tokio::spawn(agent::start(settings.clone(), stop.clone()).await?);
        self.relays.push(relay);
        self.running.engines.push(deploy::EngineSlot {
            target: name.parse()?,
            engine,
            agent: deploy::Process {
                settings,
                stop,
                task,
            },
        });
        Ok(())
    }

    /// Drains an engine and starts a cold one in its place.
    async fn replace(&mut self, at: usize) -> anyhow::Result<()> {
        let number = self.next;
        self.next += 1;
        let fresh = self.running.start_engine(number).await?;
        let mut slot = std::mem::replace(&mut self.running.engines[at], fresh);
        let name = slot.target.to_string();
        let process = slot.agent.settings.process.to_string();
        self.running.list.leave(&process);
        self.drained.insert(name, clock::now());
        slot.agent.stop.cancel();
        (&mut slot.agent.task).await?;
        self.running.list.remove(&process);
        self.gone.push(slot);
        Ok(())
    }

    /// Returns the bytes that all routers have spent on control.
    async fn control(&self) -> anyhow::Result<f64> {
        let mut sum = 0.0;
        for router in &self.running.routers {
            let call = Call {
                method: http::Method::GET,
                path: "/control".to_owned(),
                key: String::new(),
                headers: Vec::new(),
                body: Bytes::new(),
            };
            let received = self.caller.send(router.settings.listen.health, call).await;
            let text = String::from_utf8_lossy(&received.body).into_owned();
            let bytes: u64 = text.trim().parse().context("read control bytes")?;
            sum += bytes as f64;
        }
        Ok(sum)
    }

    fn slots(&self) -> impl Iterator<Item = &deploy::EngineSlot> {
        self.running.engines.iter().chain(&self.gone)
    }

    /// Returns the number of engines that crashed, and of all crashes.
    fn crashed(&self) -> (usize, u64) {
        let crashes: Vec<u64> = self
            .slots()
            .map(|slot| slot.engine.read(|record| record.crashes))
            .collect();
        let engines = crashes.iter().filter(|count| **count > 0).count();
        (engines, crashes.iter().sum())
    }

    /// Returns the course of every engine.
    ///
    /// An engine that joins or comes back counts as up from its first request
    /// on, because its agent takes work only after a health check.
    fn courses(&self, from: time::Mono) -> Vec<skew::Course> {
        let crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        let course = |slot: &deploy::EngineSlot| {
            let name = slot.target.to_string();
            let changes = slot.engine.read(|record| record.changes.clone());
            let first = |after: time::Mono| {
                let mut later = changes.iter().filter(|change| change.at > after);
                later.find(|change| change.level.outstanding() > 0)
            };
            let mut ends: Vec<time::Mono> = crashes
                .iter()
                .filter(|(crashed, _)| *crashed == name)
                .map(|(_, at)| *at)
                .collect();
            ends.extend(self.drained.get(&name));
            let joined = self.number(&name) >= self.running.deployment.engines + self.relays.len();
            let mut start = match joined {
                true => first(from).map(|change| change.at),
                false => Some(from),
            };
            let mut up = Vec::new();
            for end in ends {
                if let Some(start) = start.filter(|start| *start < end) {
                    up.push((start, Some(end)));
                }
                start = first(end).map(|change| change.at);
            }
            let left = self.drained.contains_key(&name);
            if let Some(start) = start.filter(|_| !left) {
                up.push((start, None));
            }
            skew::Course { name, changes, up }
        };
        self.slots().map(course).collect()
    }

    fn number(&self, name: &str) -> usize {
        let number = name.rsplit('-').next();
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Notes when engines crash: the moment at which their work became nothing.
    fn watch(&mut self) {
        for at in 0..self.running.engines.len() {
            let reader = self.running.engines[at].engine.reader();
            let name = self.running.engines[at].target.to_string();
            let crashes = self.crashes.clone();
            let mut known = 0;
            let watch = tokio::spawn(async move {
                loop {
                    let (count, last) =
                        reader.read(|record| (record.crashes, record.changes.last().copied()));
                    if count > known {
                        known = count;
                        let idle = last.filter(|change| change.level.outstanding() == 0);
                        let at = idle.map_or_else(clock::now, |change| change.at);
                        let mut crashes = crashes.lock().unwrap_or_else(PoisonError::into_inner);
                        crashes.push((name.clone(), at));
                    }
                    sleep(WATCH).await;
                }
            });
            self.watches.push(AbortOnDropHandle::new(watch));
        }
    }
}

/// Carries out what a scenario does to the deployment during the load; returns
/// when the surge began, if there was one.
async fn inject(
    name: &str,
    site: &mut Site,
    load: &Arc<drive::Load>,
    callers: u64,
    seconds: Duration,
) -> anyhow::Result<Option<report::Surge>> {
    site.watch();
    let seed = load.seed;
    let engines = site.running.engines.len() as u64;
    let pick = |salt: u64| (hash::mix(seed, salt) % engines) as usize;
    match name {
        "churn" => {
            let step = seconds / 5;
            for round in 0..3 {
                sleep(step).await;
                site.replace(pick(round)).await?;
            }
        }
        "flap" => {
            let first = pick(1);
            let second = (first + 1 + pick(2) % (engines as usize - 1)) % engines as usize;
            let rounds = seconds.as_secs() / 4;
            for round in 1..rounds {
                sleep(Duration::from_secs(2)).await;
                site.running.engines[first].engine.crash(Some(RESTART));
                sleep(Duration::from_secs(2)).await;
                if round % 2 == 0 {
                    site.running.engines[second].engine.crash(Some(RESTART));
                }
            }
        }
        "split" => split(site, seconds).await,
        "surge" => {
            let half = seconds / 2;
            sleep(half).await;
            let at = clock::now();
            load.clone()
                .run(callers * SURGE, Some(SURGING), load.end)
                .await;
            return Ok(Some(report::Surge { team: SURGING, at }));
        }
        "poison" => {
            for slot in &site.running.engines {
                slot.engine.faults(|faults| {
                    faults.crash_marker = Some(MARKER.to_owned());
                    faults.restart = Some(RESTART);
                });
            }
            sleep(seconds / 4).await;
            poison(site, load).await;
        }
        _ => {}
    }
    Ok(None)
}

/// Index of the surging team, one of the small ones.
const SURGING: usize = 5;

/// Cuts the connections to some agents in turn: each router notices it by its
/// own requests, and the agents' own exchanges still reach all.
async fn split(site: &mut Site, seconds: Duration) {
    let rounds = seconds.as_secs() / 4;
    for round in 1..rounds as usize {
        sleep(Duration::from_secs(2)).await;
        let count = site.relays.len();
        let pair = [round % count, (round + 1) % count];
        for at in pair {
            site.relays[at].cut(true);
        }
        sleep(Duration::from_secs(2)).await;
        for at in pair {
            site.relays[at].cut(false);
        }
    }
}

/// Sends a request that crashes engines, again and again with new request ids
/// and through all routers.
async fn poison(site: &Site, load: &drive::Load) {
    let body = crate::client::chat(load.model, &[("user", MARKER)], 20);
    for attempt in 0..POISON_TRIES {
        let call = Call::post("/v1/chat/completions", &load.keys[0], body.clone());
        let router = load.routers[attempt % load.routers.len()];
        let received = site.caller.send(router, call).await;
        println!(
            "poison attempt={attempt} status={} outcome={}",
            received.status.map_or(0, |status| status.as_u16()),
            received.outcome()
        );
        sleep(Duration::from_millis(300)).await;
    }
}
