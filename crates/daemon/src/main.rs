//! The daemon: a router before the callers or an agent beside a target.

mod explain;

#[cfg(feature = "agents")]
use std::path::PathBuf;
use std::process::{self, ExitCode};

use bpaf::{Args, Bpaf};
#[cfg(feature = "agents")]
use conf::settings::{self, Role};
use place::hedge;
#[cfg(feature = "agents")]
use roles::process as roles_process;

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
        /// Fraction of the requests, from 0 to 0.1, that may be sent to a second target
        /// while the first still works on them
        #[bpaf(argument("FRACTION"), fallback(hedge::Fraction::default()))]
        second_attempts: hedge::Fraction,
    },
    /// Asks a router of the users' platform where a request would go now, and why;
    /// exits with 0 if it would be sent, 1 if it would be refused, 2 after wrong
    /// arguments, and 3 if the router gives no explanation
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::arguments))] explain::Arguments),
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

/// Exit code after wrong arguments. 1 means that a command ran and failed.
const USAGE: i32 = 2;

fn main() -> anyhow::Result<ExitCode> {
    let parsed = command().run_inner(Args::current_args());
    let command = parsed.unwrap_or_else(|failure| {
        failure.print_message(WIDTH);
        process::exit(if failure.exit_code() == 0 { 0 } else { USAGE })
    });
    match command {
        Command::Edge {
            log,
            second_attempts,
        } => edge::process::run(&log, second_attempts)?,
        Command::Explain(arguments) => return Ok(arguments.run()),
        #[cfg(feature = "agents")]
        Command::Router { settings } => {
            roles_process::run(settings::load(&settings)?, Role::Router)?;
        }
        #[cfg(feature = "agents")]
        Command::Agent { settings } => {
            roles_process::run(settings::load(&settings)?, Role::Agent)?;
        }
        #[cfg(feature = "agents")]
        Command::Check { settings } => check(&settings::load(&settings)?)?,
    }
    Ok(ExitCode::SUCCESS)
}

/// Width of messages about arguments, in characters.
const WIDTH: usize = 100;

#[cfg(feature = "agents")]
fn check(settings: &settings::Settings) -> anyhow::Result<()> {
    if let Some(bootstrap) = &settings.bootstrap {
        settings::load_bootstrap(bootstrap)?;
    }
    println!("{}", settings::effective(settings));
    Ok(())
}
