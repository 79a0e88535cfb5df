//! The lab's command line.

use std::{path::PathBuf, process};

use anyhow::Context;
use bpaf::Bpaf;
use lab::{
    arrivals,
    compare::{self, Case},
    outcome::Outcome,
    policy::{self, Policy},
    report,
    site::Site,
    sweep::Setting,
};

/// Columns of the text that explains options.
const COLUMNS: usize = 90;

/// Where outcomes are written, beside the table on standard output.
#[derive(Clone, Debug, Bpaf)]
struct Output {
    /// Write outcomes as lines of JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Write outcomes by kind as CSV
    #[bpaf(argument("FILE"))]
    csv: Option<PathBuf>,
    /// Write a page with plots
    #[bpaf(argument("FILE"))]
    html: Option<PathBuf>,
    /// Write the plot of the worth by second
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
}

/// Which seeds are played.
#[derive(Clone, Copy, Debug, Bpaf)]
struct Seeds {
    /// First seed
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seeds: u64,
}

/// Plays the router's decisions against a model of what it serves
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Plays a site
    #[bpaf(command)]
    Run {
        #[bpaf(external)]
        seeds: Seeds,
        /// today, open, blind, eager, random, two or hash
        #[bpaf(argument("POLICY"), fallback(Policy::Today), display_fallback)]
        policy: Policy,
        /// Write the requests of the first seed as lines of JSON
        #[bpaf(argument("FILE"))]
        record: Option<PathBuf>,
        #[bpaf(external)]
        output: Output,
        /// The site file
        #[bpaf(positional("SITE"))]
        site: PathBuf,
    },
    /// Plays a site with several policies
    #[bpaf(command)]
    Compare {
        #[bpaf(external)]
        seeds: Seeds,
        /// A policy; all without this option
        #[bpaf(argument("POLICY"), many)]
        policy: Vec<Policy>,
        #[bpaf(external)]
        output: Output,
        /// The site file
        #[bpaf(positional("SITE"))]
        site: PathBuf,
    },
    /// Plays a site with several values of one setting
    #[bpaf(command)]
    Sweep {
        #[bpaf(external)]
        seeds: Seeds,
        /// today, open, blind, eager, random, two or hash
        #[bpaf(argument("POLICY"), fallback(Policy::Today), display_fallback)]
        policy: Policy,
        /// The setting and its values, such as routers.count=6,12,24
        #[bpaf(argument("PATH=VALUE,..."))]
        set: Setting,
        #[bpaf(external)]
        output: Output,
        /// The site file
        #[bpaf(positional("SITE"))]
        site: PathBuf,
    },
    /// Plays requests that were recorded
    #[bpaf(command)]
    Replay {
        #[bpaf(external)]
        seeds: Seeds,
        /// A policy; today without this option
        #[bpaf(argument("POLICY"), many)]
        policy: Vec<Policy>,
        #[bpaf(external)]
        output: Output,
        /// The site file
        #[bpaf(positional("SITE"))]
        site: PathBuf,
        /// The recorded requests
        #[bpaf(positional("REQUESTS"))]
        requests: PathBuf,
    },
    /// Shows outcomes that were written as JSON, several files side by side
    #[bpaf(command)]
    Report {
        #[bpaf(external)]
        output: Output,
        /// The site file
        #[bpaf(positional("SITE"))]
        site: PathBuf,
        /// Outcomes
        #[bpaf(positional("OUTCOMES"), some("name a file with outcomes"))]
        outcomes: Vec<PathBuf>,
    },
}

fn main() {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(COLUMNS);
            process::exit(failure.exit_code());
        }
    };
    if let Err(error) = run(command) {
        eprintln!("error: {error:#}");
        process::exit(1);
    }
}

fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Run {
            seeds,
            policy,
            record,
            output,
            site,
        } => {
            let site = Site::load(&site)?;
            if let Some(path) = record {
                arrivals::record(&arrivals::generate(&site, seeds.seed), &path)?;
            }
            let cases = cases(&site, &[policy], seeds, "");
            show(&site, compare::play(cases, true), &output)
        }
        Command::Compare {
            seeds,
            policy,
            output,
            site,
        } => {
            let site = Site::load(&site)?;
            let policies = if policy.is_empty() {
                policy::ALL.to_vec()
            } else {
                policy
            };
            let cases = cases(&site, &policies, seeds, "");
            show(&site, compare::play(cases, true), &output)
        }
        Command::Sweep {
            seeds,
            policy,
            set,
            output,
            site,
        } => {
            let site = Site::load(&site)?;
            let sites = set.sites(&site)?;
            let cases = sites
                .iter()
                .flat_map(|(name, site)| cases(site, &[policy], seeds, name));
            show(&site, compare::play(cases.collect(), true), &output)
        }
        Command::Replay {
            seeds,
            policy,
            output,
            site,
            requests,
        } => {
            let site = Site::load(&site)?;
            let arrivals = arrivals::read(&site, &requests)?;
            let policies = if policy.is_empty() {
                vec![Policy::Today]
            } else {
                policy
            };
            let mut cases = cases(&site, &policies, seeds, "");
            for case in &mut cases {
                case.arrivals = Some(arrivals.clone());
            }
            show(&site, compare::play(cases, true), &output)
        }
        Command::Report {
            output,
            site,
            outcomes,
        } => {
            let site = Site::load(&site)?;
            show(&site, read(&outcomes)?, &output)
        }
    }
}

/// Reads outcomes; those of several files are told apart by the file's name.
fn read(files: &[PathBuf]) -> anyhow::Result<Vec<Outcome>> {
    let mut all = Vec::new();
    for file in files {
        let mut outcomes = report::read_json(file)?;
        let name = file.file_stem().context("the file has no name")?;
        for outcome in outcomes.iter_mut().filter(|_| files.len() > 1) {
            let name = name.to_string_lossy();
            outcome.setting = format!("{name} {}", outcome.setting).trim().to_owned();
        }
        all.extend(outcomes);
    }
    Ok(all)
}

fn cases(site: &Site, policies: &[Policy], seeds: Seeds, setting: &str) -> Vec<Case> {
    let seeds = seeds.seed..seeds.seed + seeds.seeds;
    let case = |policy: Policy, seed| Case {
        site: site.clone(),
        policy,
        seed,
        setting: setting.to_owned(),
        arrivals: None,
    };
    policies
        .iter()
        .flat_map(|policy| seeds.clone().map(|seed| case(*policy, seed)))
        .collect()
}

fn show(site: &Site, outcomes: Vec<Outcome>, output: &Output) -> anyhow::Result<()> {
    println!("{}", compare::HEAD);
    for mean in compare::means(&outcomes, site) {
        println!("{mean}");
    }
    if let Some(path) = &output.json {
        report::write_json(&outcomes, path)?;
    }
    if let Some(path) = &output.csv {
        report::write_csv(&outcomes, path)?;
    }
    if let Some(path) = &output.html {
        report::write_html(&outcomes, site, path)?;
    }
    if let Some(path) = &output.svg {
        report::write_svg(&outcomes, site, path)?;
    }
    Ok(())
}
