//! Runs one measurement: `measure -- SCENARIO OPTIONS`.

use std::env;

use bench::{child, path};

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if child::serve(&arguments)? {
        return Ok(());
    }
    let Some((scenario, rest)) = arguments.split_first() else {
        anyhow::bail!("name a scenario: path");
    };
    let runtime = tokio::runtime::Runtime::new()?;
    match scenario.as_str() {
        "path" => runtime.block_on(path::run(parse(path::options(), rest))),
        other => anyhow::bail!("scenario {other:?} does not exist; scenarios: path"),
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
