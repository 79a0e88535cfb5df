//! The daemon: a router before the callers or an agent beside a target.

use std::path::PathBuf;

use bpaf::Bpaf;
use conf::settings::{self, Role};
use daemon::process;

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
        Command::Router { settings } => process::run(settings::load(&settings)?, Role::Router),
        Command::Agent { settings } => process::run(settings::load(&settings)?, Role::Agent),
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
