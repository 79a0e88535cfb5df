//! Runs one measurement: `measure -- SCENARIO OPTIONS`.

use std::env;

fn main() -> anyhow::Result<()> {
    let mut arguments = env::args().skip(1);
    let scenario = arguments.next().unwrap_or_default();
    let rest: Vec<String> = arguments.collect();
    match scenario.as_str() {
        "spread" => bench::spread::main(&rest),
        other => anyhow::bail!("scenario {other:?} does not exist; scenarios: spread"),
    }
}
