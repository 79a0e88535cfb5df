//! Runs the soak for some seeds: `soak --program FILE --first SEED --count N`.

use std::{path::PathBuf, time::Duration};

use bpaf::Bpaf;

/// Fault soak of the router
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The daemon
    #[bpaf(argument("FILE"), fallback("target/release/ebonywalld".into()))]
    program: PathBuf,
    /// First seed
    #[bpaf(argument("SEED"))]
    first: u64,
    /// Number of seeds
    #[bpaf(argument("N"), fallback(1))]
    count: u64,
    /// Seconds of faults for each seed
    #[bpaf(argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Folder for settings and logs
    #[bpaf(argument("DIR"), fallback("target/soak".into()))]
    dir: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let options = options().run();
    let runtime = tokio::runtime::Runtime::new()?;
    let mut broken = 0;
    for seed in options.first..options.first + options.count {
        let dir = options.dir.join(seed.to_string());
        let chaos = Duration::from_secs(options.seconds);
        let report = runtime.block_on(soak::run::run(&options.program, &dir, seed, chaos))?;
        println!(
            "seed={seed} requests={} served={} faults={} violations={}",
            report.requests,
            report.served,
            report.faults.len(),
            report.violations.len()
        );
        if !report.violations.is_empty() {
            broken += 1;
            for line in report.violations.iter().chain(&report.faults) {
                println!("  {line}");
            }
        }
    }
    anyhow::ensure!(broken == 0, "{broken} seeds broke a promise");
    Ok(())
}
