//! Runs one measurement: `measure -- SCENARIO OPTIONS`.

use std::env;

use bench::{child, faults, path, placement, recovery, spread};

const SCENARIOS: &str = "path, spread, recovery, late, lostreply, outage, pause, routerdeath, \
                         agentdeath, drain, resend, steady, churn, flap, surge, split, \
                         poison, hotchat";

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if child::serve(&arguments)? {
        return Ok(());
    }
    let Some((scenario, rest)) = arguments.split_first() else {
        anyhow::bail!("name a scenario: {SCENARIOS}");
    };
    match scenario.as_str() {
        "path" => traffic(path::run(parse(path::options(), rest))),
        "spread" => spread::main(&parse(spread::options(), rest)),
        "recovery" => traffic(recovery::run(parse(recovery::options(), rest))),
        name if faults::exists(name) => traffic(faults::run(name, parse(faults::options(), rest))),
        name if placement::exists(name) => {
            traffic(placement::run(name, parse(placement::options(), rest)))
        }
        other => anyhow::bail!("scenario {other:?} does not exist; scenarios: {SCENARIOS}"),
    }
}

fn traffic(measurement: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(measurement)
}

fn parse<T>(options: bpaf::OptionParser<T>, arguments: &[String]) -> T {
    match options.run_inner(bpaf::Args::from(arguments)) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            std::process::exit(failure.exit_code());
        }
    }
}
