//! The daemon: a router before the callers or an agent beside a target.

#[cfg(feature = "agents")]
use std::path::PathBuf;

use bpaf::Bpaf;
#[cfg(feature = "agents")]
use conf::settings::{self, Role};
use place::hedge;
#[cfg(feature = "agents")]
use roles::process;

/// Ebonywall daemon
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Accepts callers on the users' platform and sends to targets itself; the
    /// platform names the settings file
    #[bpaf(command)]
    Edge {
        /// Log filter, such as info or edge=debug
        #[bpaf(argument("FILTER"), fallback("info".to_owned()))]
        log: String,
        /// Part of the requests, from 0 to 0.1, that may be sent to a second target
        /// while the first still works on them
        #[bpaf(argument("FRACTION"), fallback(hedge::Fraction::default()))]
        second_attempts: hedge::Fraction,
    },
    /// Accepts callers and forwards their requests to agents
    #[cfg(feature = "agents")]
    #[bpaf(command)]
    Router {
        /// Settings file, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    #[cfg(feature = "agents")]
    /// Stands beside one target and admits its requests
    #[bpaf(command)]
    Agent {
        /// Settings file, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    #[cfg(feature = "agents")]
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
        Command::Edge {
            log,
            second_attempts,
        } => edge::process::run(&log, second_attempts),
        #[cfg(feature = "agents")]
        Command::Router { settings } => process::run(settings::load(&settings)?, Role::Router),
        #[cfg(feature = "agents")]
        Command::Agent { settings } => process::run(settings::load(&settings)?, Role::Agent),
        #[cfg(feature = "agents")]
        Command::Check { settings } => check(&settings::load(&settings)?),
    }
}

#[cfg(feature = "agents")]
fn check(settings: &settings::Settings) -> anyhow::Result<()> {
    if let Some(bootstrap) = &settings.bootstrap {
        settings::load_bootstrap(bootstrap)?;
    }
    println!("{}", settings::effective(settings));
    Ok(())
}
