//! Starts a whole deployment in this process: stand-ins, agents and routers,
//! each with its own sockets on loopback.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use anyhow::Context;
use base::{hash, id, rate, size, span};
use conf::{
    change::{Change, FleetUpdate},
    settings, state, value,
};
use fakes::{engine, list, object, service, table};
use place::policy;
use roles::{agent, router};
use tokio::{task::JoinHandle, time};
use tokio_util::sync::CancellationToken;

use crate::client;

/// A deployment's size and names.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Data centres.
    pub centres: [&'static str; 3],
    /// The model service.
    pub model: &'static str,
    /// Engines of the model service.
    pub engines: usize,
    /// The plain service and the beginning of its paths.
    pub plain: (&'static str, &'static str),
    /// Instances of the plain service.
    pub instances: usize,
    /// Routers.
    pub routers: usize,
    /// Teams with their weights.
    pub teams: &'static [(&'static str, u32)],
    /// Beginning of a path whose calls may be repeated.
    pub queries: &'static str,
}

/// The deployment of Perdana.
pub const PERDANA: Deployment = Deployment {
    name: "perdana",
    centres: ["shah-alam", "petaling", "subang"],
    model: "drafting",
    engines: 18,
    plain: ("orders", "/orders"),
    instances: 3,
    routers: 3,
    teams: &[
        ("sales-hampers", 300),
        ("sales-corporate", 300),
        ("artwork", 200),
        ("dealers-north", 100),
        ("dealers-south", 100),
        ("dealers-east", 100),
        ("packing", 100),
        ("dies", 100),
        ("ledger", 100),
        ("festive", 100),
    ],
    queries: "/orders/status",
};

/// The deployment of the marshals.
pub const MARSHALS: Deployment = Deployment {
    name: "marshals",
    centres: ["austin", "waco", "san-marcos"],
    model: "crew",
    engines: 12,
    plain: ("dispatch", "/dispatch"),
    instances: 3,
    routers: 3,
    teams: &[
        ("crews-austin", 300),
        ("crews-waco", 200),
        ("crews-san-marcos", 200),
        ("dispatch-desk", 200),
        ("captains", 100),
        ("briefings", 100),
        ("incidents", 100),
        ("rosters", 100),
        ("parades", 100),
        ("training", 100),
    ],
    queries: "/dispatch/rosters",
};

/// Returns the deployment with this name.
///
/// # Errors
///
/// When there is none.
pub fn named(name: &str) -> anyhow::Result<Deployment> {
    match name {
        "perdana" => Ok(PERDANA),
        "marshals" => Ok(MARSHALS),
        other => anyhow::bail!("deployment {other:?} does not exist; use perdana or marshals"),
    }
}

/// How the parts of a deployment are built.
#[derive(Clone, Debug)]
pub struct Options {
    /// How engines behave; each gets its own seed.
    pub engine: engine::Options,
    /// How instances of the plain service behave.
    pub service: service::Options,
    /// How targets are chosen.
    pub tuning: policy::Tuning,
    /// The multiple of the mean load that an engine may carry.
    pub factor: value::Factor,
    /// Load that every engine may carry.
    pub floor: u32,
    /// Requests that wait at one agent.
    pub queue: u32,
    /// Time that a joined engine counts as warming up.
    pub warm_up: span::Span,
    /// Certificates of all processes.
    pub tls: settings::Tls,
    /// Values of the whole fleet that differ from the defaults.
    pub fleet: FleetUpdate,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            engine: engine::Options::default(),
            service: service::Options {
                delay: span::Span::from_millis(5),
                ..service::Options::default()
            },
            tuning: policy::Tuning::default(),
            factor: value::Factor::from_hundredths(125).expect("125 hundredths are valid"),
            floor: 4,
            queue: 32,
            warm_up: span::Span::from_secs(2),
            tls: settings::Tls::default(),
            fleet: FleetUpdate::default(),
        }
    }
}

/// A daemon that runs in this process.
pub struct Process {
    /// Its settings.
    pub settings: settings::Settings,
    /// Stops it gracefully.
    pub stop: CancellationToken,
    /// Ends when it has stopped.
    pub task: JoinHandle<()>,
}

/// An engine with its agent.
pub struct EngineSlot {
    /// The target.
    pub target: id::TargetId,
    /// The stand-in.
    pub engine: engine::Engine,
    /// The agent beside it.
    pub agent: Process,
}

/// An instance of the plain service with its agent.
pub struct PlainSlot {
    /// The target.
    pub target: id::TargetId,
    /// The stand-in.
    pub service: service::Service,
    /// The agent beside it.
    pub agent: Process,
}

/// A running deployment.
pub struct Running {
    /// What was started.
    pub deployment: Deployment,
    /// How it was built.
    pub options: Options,
    /// The table.
    pub table: table::Table,
    /// The object store.
    pub objects: object::Objects,
    /// The instance list.
    pub list: list::List,
    /// Engines.
    pub engines: Vec<EngineSlot>,
    /// Instances of the plain service.
    pub instances: Vec<PlainSlot>,
    /// Routers.
    pub routers: Vec<Process>,
    bootstrap: PathBuf,
    seeds: Vec<SocketAddr>,
}

/// Ports that are given to daemons. They lie below the ports that the system
/// gives to outgoing connections, which could take a port between its choice
/// and its use.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Returns an address on loopback whose port is free now; no two calls of this
/// process return the same until all ports were used.
///
/// # Errors
///
/// When no port is free.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Processes that run at the same time begin at different ports.
    let first = hash::bytes(&std::process::id().to_le_bytes()) as u16;
    for _ in PORTS {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    anyhow::bail!("no port on loopback is free")
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns the key of a team in examples and measurements.
pub fn key(team: &str) -> String {
    format!("key-{team}")
}

/// Returns the key of the operator in examples and measurements.
pub const OPERATOR_KEY: &str = "key-operator";

fn id<T: std::str::FromStr<Err = id::IdError>>(text: &str) -> T {
    text.parse().expect("names in this file are valid ids")
}

/// Returns the changes that make a deployment's first configuration.
pub fn changes(deployment: &Deployment, options: &Options) -> Vec<Change> {
    let (plain, path) = deployment.plain;
    let mut model = state::Service::new(id(deployment.model), state::Kind::Engine);
    model.factor = options.factor;
    model.floor = options.floor;
    model.slots = u32::try_from(options.engine.slots).unwrap_or(u32::MAX);
    model.queue = options.queue;
    model.repeatable = true;
    model.deterministic = true;
    model.fencing = options.engine.checks_fence;
    model.warm_up = options.warm_up;
    let mut service = state::Service::new(id(plain), state::Kind::Plain);
    service.slots = 64;
    service.floor = 16;
    service.warm_up = span::Span::ZERO;
    let rule = |name: &str, prefix: &str, service: &str| {
        let prefix = prefix
            .parse()
            .expect("paths in this file are valid prefixes");
        state::Rule::new(id(name), prefix, id(service))
    };
    let mut queries = rule("queries", deployment.queries, plain);
    queries.class = Some(state::Class::Repeatable);
    let mut operator = state::Operator::new(
        id("operator"),
        [
            state::Role::Read,
            state::Role::Operate,
            state::Role::Administer,
        ],
    );
    operator.keys.insert(value::KeyHash::of(OPERATOR_KEY));
    let mut changes = vec![
        Change::CreateOperator(operator),
        Change::CreateService(model),
        Change::CreateService(service),
        Change::CreateRule(rule("chat", "/v1/chat/completions", deployment.model)),
        Change::CreateRule(rule("plain", path, plain)),
        Change::CreateRule(queries),
    ];
    if options.fleet != FleetUpdate::default() {
        changes.push(Change::UpdateFleet(options.fleet.clone()));
    }
    for (name, weight) in deployment.teams {
        let mut team = state::Team::new(id(name));
        team.weight = weight
            .to_string()
            .parse()
            .expect("weights in this file are valid");
        team.keys.insert(value::KeyHash::of(&key(name)));
        changes.push(Change::CreateTeam(team));
    }
    changes
}

impl Running {
    /// Starts everything and waits until the routers know all targets.
    ///
    /// # Errors
    ///
    /// When a socket or a file cannot be opened, or a process does not get
    /// ready in time.
    pub async fn start(deployment: Deployment, options: Options) -> anyhow::Result<Self> {
        let table = table::Table::start(loopback(), &table::Options::default())?;
        let objects = object::Objects::start(loopback(), &object::Options::default())?;
        let list = list::List::start(loopback(), list::Options::default())?;
        let bootstrap = write_bootstrap(&deployment, &options)?;
        let mut running = Self {
            table,
            objects,
            list,
            engines: Vec::new(),
            instances: Vec::new(),
            routers: Vec::new(),
            bootstrap,
            seeds: Vec::new(),
            deployment,
            options,
        };
        for number in 0..running.deployment.routers {
            let router = running.start_router(number).await?;
            running.seeds.push(router.settings.advertise);
            running.routers.push(router);
        }
        for number in 0..running.deployment.engines {
            let slot = running.start_engine(number).await?;
            running.engines.push(slot);
        }
        for number in 0..running.deployment.instances {
            let slot = running.start_instance(number).await?;
            running.instances.push(slot);
        }
        Ok(running)
    }

    fn centre(&self, number: usize) -> &'static str {
        self.deployment.centres[number % self.deployment.centres.len()]
    }

    fn settings(&self, process: &str, number: usize) -> anyhow::Result<settings::Settings> {
        let peers = free_address()?;
        Ok(settings::Settings {
            process: id(process),
            role: settings::Role::Router,
            data_centre: id(self.centre(number)),
            listen: settings::Listen {
                callers: None,
                peers,
                operators: None,
                health: free_address()?,
            },
            advertise: peers,
            seeds: self.seeds.clone(),
            platform: settings::Platform {
                table: self.table.address(),
                objects: self.objects.address(),
                instances: self.list.address(),
            },
            tls: self.options.tls.clone(),
            limits: settings::Limits {
                body: size::Size(1 << 20),
                ..settings::Limits::default()
            },
            threads: 1,
            control_rate: rate::ByteRate(5 * 1024),
            settle_time: span::Span::from_secs(5),
            drain_time: span::Span::from_secs(30),
            statsd: None,
            log: "info".to_owned(),
            hint_secret: Some(
                SECRET
                    .to_owned()
                    .try_into()
                    .expect("the secret has a valid length"),
            ),
            bootstrap: Some(self.bootstrap.clone()),
            agent: None,
        })
    }

    /// Makes the settings of a router.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub fn router_settings(&self, number: usize) -> anyhow::Result<settings::Settings> {
        let mut settings = self.settings(&format!("router-{number}"), number)?;
        settings.listen.callers = Some(free_address()?);
        settings.listen.operators = Some(free_address()?);
        Ok(settings)
    }

    /// Starts a router.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start_router(&self, number: usize) -> anyhow::Result<Process> {
        let settings = self.router_settings(number)?;
        self.enlist(&settings);
        let stop = CancellationToken::new();
        let running = router::start(settings.clone(), self.options.tuning, stop.clone()).await?;
        Ok(Process {
            settings,
            stop,
            task: tokio::spawn(running),
        })
    }

    /// Starts an engine with its agent.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start_engine(&self, number: usize) -> anyhow::Result<EngineSlot> {
        let engine = engine::Engine::start(
            loopback(),
            engine::Options {
                seed: number as u64,
                ..self.options.engine.clone()
            },
        )?;
        let name = format!("{}-{number}", self.deployment.model);
        let service = self.deployment.model;
        let agent = self
            .start_agent(
                &name,
                number,
                service,
                state::Kind::Engine,
                engine.address(),
            )
            .await?;
        Ok(EngineSlot {
            target: id(&name),
            engine,
            agent,
        })
    }

    /// Starts an instance of the plain service with its agent.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start_instance(&self, number: usize) -> anyhow::Result<PlainSlot> {
        let service = service::Service::start(loopback(), self.options.service.clone())?;
        let name = format!("{}-{number}", self.deployment.plain.0);
        let plain = self.deployment.plain.0;
        let agent = self
            .start_agent(&name, number, plain, state::Kind::Plain, service.address())
            .await?;
        Ok(PlainSlot {
            target: id(&name),
            service,
            agent,
        })
    }

    /// Makes the settings of the agent of a target.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub fn agent_settings(
        &self,
        name: &str,
        number: usize,
        service: &str,
        kind: state::Kind,
        address: SocketAddr,
    ) -> anyhow::Result<settings::Settings> {
        let mut settings = self.settings(&format!("agent-{name}"), number)?;
        settings.role = settings::Role::Agent;
        settings.hint_secret = None;
        settings.agent = Some(settings::Agent {
            target: id(name),
            address,
            service: id(service),
            kind,
            slots: None,
            weight: value::Weight::default(),
            orders: (kind == state::Kind::Engine).then_some(address),
        });
        Ok(settings)
    }

    /// Starts the agent of a target that runs already.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start_agent(
        &self,
        name: &str,
        number: usize,
        service: &str,
        kind: state::Kind,
        address: SocketAddr,
    ) -> anyhow::Result<Process> {
        let settings = self.agent_settings(name, number, service, kind, address)?;
        self.enlist(&settings);
        let stop = CancellationToken::new();
        let running = agent::start(settings.clone(), stop.clone()).await?;
        Ok(Process {
            settings,
            stop,
            task: tokio::spawn(running),
        })
    }

    /// Adds a process to the instance list.
    pub(crate) fn enlist(&self, settings: &settings::Settings) {
        self.list.add(list::Instance {
            id: settings.process.to_string(),
            address: settings.advertise.to_string(),
            data_centre: settings.data_centre.to_string(),
            service: settings
                .agent
                .as_ref()
                .map(|agent| agent.service.to_string()),
            state: list::State::Live,
        });
    }

    /// Returns the addresses at which routers accept callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers
            .iter()
            .filter_map(|router| router.settings.listen.callers)
            .collect()
    }

    /// Stops all daemons gracefully.
    pub async fn stop(mut self) {
        let routers = std::mem::take(&mut self.routers);
        let engines = std::mem::take(&mut self.engines);
        let instances = std::mem::take(&mut self.instances);
        let (agents, _engines): (Vec<_>, Vec<_>) = engines
            .into_iter()
            .map(|slot| (slot.agent, slot.engine))
            .unzip();
        let (others, _services): (Vec<_>, Vec<_>) = instances
            .into_iter()
            .map(|slot| (slot.agent, slot.service))
            .unzip();
        let agents = agents.into_iter().chain(others);
        for process in routers.into_iter().chain(agents) {
            process.stop.cancel();
            process.task.await.ok();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        std::fs::remove_file(&self.bootstrap).ok();
    }
}

/// Time for a deployment to answer its first request.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a router answers a request with success.
///
/// # Errors
///
/// When it does not in time.
pub async fn ready(router: SocketAddr, call: &client::Call) -> anyhow::Result<()> {
    let caller = client::Caller::default();
    let end = Instant::now() + READY_TIMEOUT;
    loop {
        let received = caller.send(router, call.clone()).await;
        if received.status.is_some_and(|status| status.is_success()) {
            return Ok(());
        }
        if Instant::now() > end {
            let body = String::from_utf8_lossy(&received.body).into_owned();
            anyhow::bail!("router {router} is not ready: {:?} {body}", received.status);
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

/// Signs location hints in examples and measurements.
const SECRET: &str = "an example secret that signs hints";

fn write_bootstrap(deployment: &Deployment, options: &Options) -> anyhow::Result<PathBuf> {
    let name = format!(
        "ebonywall-{}-{}-{:032x}.json",
        deployment.name,
        std::process::id(),
        base::id::random_bits()
    );
    let path = std::env::temp_dir().join(name);
    let json = serde_json::to_vec_pretty(&changes(deployment, options))?;
    std::fs::write(&path, json).context("write bootstrap file")?;
    Ok(path)
}
