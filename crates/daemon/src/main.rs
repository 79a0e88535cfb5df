//! The daemon: a router before the callers or an agent beside a target.

use std::path::PathBuf;

use anyhow::{Context, bail};
use bpaf::Bpaf;
use conf::settings::{self, Role};
use daemon::{agent, logs, router};
use place::policy;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Ebonywall daemon
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Accepts callers and forwards their requests to agents
    #[bpaf(command)]
    Router {
        /// Settings file, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Stands beside one target and admits its requests
    #[bpaf(command)]
    Agent {
        /// Settings file, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Checks a settings file and prints the effective settings
    #[bpaf(command)]
    Check {
        /// Settings file, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

fn main() -> anyhow::Result<()> {
    match command().run() {
        Command::Router { settings } => run(settings::load(&settings)?, Role::Router),
        Command::Agent { settings } => run(settings::load(&settings)?, Role::Agent),
        Command::Check { settings } => check(&settings::load(&settings)?),
    }
}

fn check(settings: &settings::Settings) -> anyhow::Result<()> {
    if let Some(bootstrap) = &settings.bootstrap {
        settings::load_bootstrap(bootstrap)?;
    }
    println!("{}", settings::effective(settings));
    Ok(())
}

fn run(settings: settings::Settings, role: Role) -> anyhow::Result<()> {
    if settings.role != role {
        bail!("settings are for role {}, not {role}", settings.role);
    }
    logs::init(&settings.log);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .context("start runtime")?;
    runtime.block_on(async {
        let stop = CancellationToken::new();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let token = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            token.cancel();
        });
        match role {
            Role::Router => {
                router::start(settings, policy::Tuning::default(), stop)
                    .await?
                    .await
            }
            Role::Agent => agent::start(settings, stop).await?.await,
        }
        Ok(())
    })
}
