//! Runs one measurement: `measure -- SCENARIO OPTIONS`.

use std::env;

use bench::{child, path, recovery};

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if child::serve(&arguments)? {
        return Ok(());
    }
    let Some((scenario, rest)) = arguments.split_first() else {
        anyhow::bail!("name a scenario: path, recovery");
    };
    let runtime = tokio::runtime::Runtime::new()?;
    match scenario.as_str() {
        "path" => runtime.block_on(path::run(parse(path::options(), rest))),
        "recovery" => runtime.block_on(recovery::run(parse(recovery::options(), rest))),
        other => anyhow::bail!("scenario {other:?} does not exist; scenarios: path, recovery"),
    }
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
