//! A deployment whose routers and agents are separate processes, so that they
//! can be killed, stopped and continued. The stand-ins run in this process.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use base::id;
use conf::{settings, state};
use fakes::{engine, service};

use crate::{
    child::{Daemon, Program},
    client::{self, Call},
    deploy::{self, Deployment, Running},
};

/// One daemon with its settings.
#[derive(Debug)]
pub struct Member {
    /// What it was started with.
    pub settings: settings::Settings,
    /// The process.
    pub daemon: Daemon,
    /// Directory of its log, when the site is recorded.
    logs: Option<PathBuf>,
}

impl Member {
    fn start(
        program: &Program,
        settings: settings::Settings,
        logs: Option<PathBuf>,
    ) -> anyhow::Result<Self> {
        Ok(Self {
            daemon: launch(program, &settings, logs.as_deref())?,
            settings,
            logs,
        })
    }

    /// Starts the process again after it has ended.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
    pub fn restart(&mut self, program: &Program) -> anyhow::Result<()> {
        self.daemon = launch(program, &self.settings, self.logs.as_deref())?;
        Ok(())
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.settings
            .listen
            .callers
            .unwrap_or(self.settings.advertise)
    }
}

fn launch(
    program: &Program,
    settings: &settings::Settings,
    logs: Option<&Path>,
) -> anyhow::Result<Daemon> {
    match logs {
        Some(logs) => Daemon::logged(program, settings, Some(logs)),
        None => Daemon::start(program, settings),
    }
}

/// A running site.
pub struct Site {
    /// Runs the daemons.
    pub program: Program,
    /// The platform's stand-ins.
    pub platform: Running,
    /// Routers.
    pub routers: Vec<Member>,
    /// Engines with their agents.
    pub engines: Vec<(engine::Engine, Member)>,
    /// Plain services with their agents.
    pub instances: Vec<(service::Service, Member)>,
    /// Names and sizes.
    pub deployment: Deployment,
    /// Directory of the logs of a recorded site.
    logs: Option<PathBuf>,
}

impl Site {
    /// Starts everything and waits until each router serves both services.
    ///
    /// # Errors
    ///
    /// When a part cannot be started or is not ready in time.
    pub async fn start(
        program: Program,
        deployment: Deployment,
        options: deploy::Options,
    ) -> anyhow::Result<Self> {
        Self::recorded(program, deployment, options, None).await
    }

    /// Starts a site whose daemons log the messages of each request, and nothing
    /// else, to files in the directory.
    ///
    /// # Errors
    ///
    /// As [`Site::start`].
    pub async fn recorded(
        program: Program,
        deployment: Deployment,
        options: deploy::Options,
        logs: Option<PathBuf>,
    ) -> anyhow::Result<Self> {
        let empty = Deployment {
            engines: 0,
            instances: 0,
            routers: 0,
            ..deployment.clone()
        };
        let platform = Running::start(empty, options).await?;
        let mut site = Self {
            program,
            platform,
            routers: Vec::new(),
            engines: Vec::new(),
            instances: Vec::new(),
            deployment,
            logs,
        };
        for number in 0..site.deployment.routers {
            let settings = site.platform.router_settings(number)?;
            let router = site.member(settings)?;
            site.routers.push(router);
        }
        for number in 0..site.deployment.engines {
            let slot = site.engine(number)?;
            site.engines.push(slot);
        }
        for number in 0..site.deployment.instances {
            let slot = site.instance(number)?;
            site.instances.push(slot);
        }
        site.ready().await?;
        Ok(site)
    }

    /// Starts a daemon that knows the others as seeds.
    fn member(&self, mut settings: settings::Settings) -> anyhow::Result<Member> {
        settings.seeds = self
            .routers
            .iter()
            .map(|router| router.settings.advertise)
            .collect();
        settings.log = match self.logs {
            Some(_) => format!("{}=trace", roles::session::TARGET),
            None => std::env::var("LOG").unwrap_or("info".to_owned()),
        };
        self.platform.enlist(&settings);
        Member::start(&self.program, settings, self.logs.clone())
    }

    fn engine(&self, number: usize) -> anyhow::Result<(engine::Engine, Member)> {
        let options = engine::Options {
            seed: number as u64,
            ..self.platform.options.engine.clone()
        };
        let engine = engine::Engine::start(SocketAddr::from(([127, 0, 0, 1], 0)), options)?;
        let model = self.deployment.model;
        let name = format!("{model}-{number}");
        let kind = state::Kind::Engine;
        let settings =
            self.platform
                .agent_settings(&name, number, model, kind, engine.address())?;
        Ok((engine, self.member(settings)?))
    }

    fn instance(&self, number: usize) -> anyhow::Result<(service::Service, Member)> {
        let options = self.platform.options.service.clone();
        let service = service::Service::start(SocketAddr::from(([127, 0, 0, 1], 0)), options)?;
        let plain = self.deployment.plain.0;
        let name = format!("{plain}-{number}");
        let kind = state::Kind::Plain;
        let settings =
            self.platform
                .agent_settings(&name, number, plain, kind, service.address())?;
        Ok((service, self.member(settings)?))
    }

    async fn ready(&self) -> anyhow::Result<()> {
        let query = Call::post(self.deployment.queries, &self.key(0), "{}");
        let chat = client::chat(self.deployment.model, &[("user", "ready?")], 1);
        let chat = Call::post("/v1/chat/completions", &self.key(0), chat);
        for router in &self.routers {
            if self.deployment.instances > 0 {
                deploy::ready(router.callers(), &query).await?;
            }
            if self.deployment.engines > 0 {
                deploy::ready(router.callers(), &chat).await?;
            }
        }
        // Every router shall know every agent before faults begin.
        tokio::time::sleep(Duration::from_secs(4)).await;
        Ok(())
    }

    /// Returns the key of a team, by number.
    pub fn key(&self, number: usize) -> String {
        let teams = self.deployment.teams;
        deploy::key(teams[number % teams.len()].0)
    }

    /// Returns the address for callers of a router, by number.
    pub fn router(&self, number: usize) -> SocketAddr {
        self.routers[number % self.routers.len()].callers()
    }

    /// Returns how often each plain request id was executed, over all
    /// instances.
    pub fn executions(&self, by_key: bool) -> std::collections::BTreeMap<String, u32> {
        let mut all = std::collections::BTreeMap::new();
        for (service, _) in &self.instances {
            let record = service.record();
            let counts = if by_key { record.keys } else { record.requests };
            for (id, count) in counts {
                *all.entry(id).or_default() += count;
            }
        }
        all
    }

    /// Returns the agent beside a target.
    pub fn agent(&mut self, target: &id::TargetId) -> Option<&mut Member> {
        let engines = self.engines.iter_mut().map(|(_, member)| member);
        let instances = self.instances.iter_mut().map(|(_, member)| member);
        engines.chain(instances).find(|member| {
            member
                .settings
                .agent
                .as_ref()
                .is_some_and(|a| a.target == *target)
        })
    }
}
