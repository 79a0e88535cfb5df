//! What reaches the table when a long outage ends: reads and writes a second
//! of a few hundred clients that all have work waiting.
//!
//! Each client polls one row, as every process does for the configuration, and
//! writes a row of its own, as an agent does for claims. During the outage each
//! client ends up with one read and one write that it repeats whenever the
//! answer says to come back. The policy `naive` repeats after a fixed second
//! and has no share, breaker or slow start; it is the baseline.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{rate::Rate, span::Span};
use bpaf::Bpaf;
use fakes::{fault::Outage, platform::Counts, table as fake};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use store::{
    breaker, error,
    limiter::Policy,
    rates::Rates,
    service,
    table::{self, Op, Outcome, Table},
};
use tokio::{sync::mpsc, task::JoinSet};

/// Load on the table when an outage ends
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub struct Options {
    /// Number of clients
    #[bpaf(argument("COUNT"), fallback(300))]
    clients: u32,
    /// Seconds of the outage
    #[bpaf(argument("SECONDS"), fallback(60))]
    outage: u64,
    /// Seconds that are observed afterwards
    #[bpaf(argument("SECONDS"), fallback(60))]
    after: u64,
    /// How the table is down: refuse or hang
    #[bpaf(argument("MODE"), fallback("refuse".to_owned()))]
    mode: String,
    /// Table client: full or naive
    #[bpaf(argument("POLICY"), fallback("full".to_owned()))]
    policy: String,
    /// Writes per second of all clients together in normal operation
    #[bpaf(argument("RATE"), fallback(100.0))]
    writes: f64,
    /// Seed of the clients' timing
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
}

/// Rates of the platform's table, as on the design page, section 1.3.
const PLATFORM: Rates = Rates {
    reads: Rate(2000.0),
    writes: Rate(400.0),
};

/// Interval between two polls of a client, as on the design page, section 2.7.
const POLL: Duration = Duration::from_secs(30);

/// Normal operation before the outage.
const WARM_UP: Duration = Duration::from_secs(5);

/// Interval of the samples from which peaks are computed.
const SAMPLE: Duration = Duration::from_millis(100);

/// Samples in one second.
const WINDOW: usize = 10;

/// Pause of the naive client before it repeats a call.
const NAIVE_PAUSE: Duration = Duration::from_secs(1);

/// Longest delay that is told apart, in milliseconds.
const MAX_DELAY: u64 = 3_600_000;

/// The row that all clients poll.
const HEAD: &str = "conf/head";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
}

/// A call that succeeded.
#[derive(Clone, Copy, Debug)]
struct Success {
    client: u32,
    kind: Kind,
    at: Instant,
}

struct Client {
    index: u32,
    table: Table,
    naive: bool,
    successes: mpsc::UnboundedSender<Success>,
}

impl Client {
    fn succeed(&self, kind: Kind) {
        let success = Success {
            client: self.index,
            kind,
            at: Instant::now(),
        };
        self.successes.send(success).ok();
    }

    /// Returns how long to wait before a call is repeated.
    fn pause(&self, after: Option<Span>) -> Duration {
        match after {
            Some(after) if !self.naive => after.duration(),
            _ => NAIVE_PAUSE,
        }
    }

    async fn poll(self: Arc<Self>, mut random: SmallRng) {
        loop {
            tokio::time::sleep(POLL.mul_f64(random.random())).await;
            while let Err(fault) = self.table.read(HEAD).await {
                tokio::time::sleep(self.pause(error::retry_after(&fault))).await;
            }
            self.succeed(Kind::Read);
        }
    }

    async fn write(self: Arc<Self>, mut random: SmallRng, interval: Duration) {
        for number in 0_u64.. {
            tokio::time::sleep(interval.mul_f64(2.0 * random.random::<f64>())).await;
            self.write_one(number).await;
            self.succeed(Kind::Write);
        }
    }

    /// Repeats a write until it is known to be carried out.
    async fn write_one(&self, number: u64) {
        let key = format!("claim/{}", self.index);
        let Ok(op) = Op::put(&key, &number) else {
            return;
        };
        loop {
            let pause = match self.table.transact(std::slice::from_ref(&op)).await {
                Outcome::Committed(_) | Outcome::Conflict(_) => return,
                Outcome::NotSent {
                    retry_after: after, ..
                } => self.pause(Some(after)),
                Outcome::Unknown(_) if self.written(&key, number).await => return,
                Outcome::Unknown(fault) => self.pause(error::retry_after(&fault)),
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Resolves a lost reply.
    async fn written(&self, key: &str, number: u64) -> bool {
        match self.table.read(key).await {
            Ok(Some(row)) => row.value == number,
            _ => false,
        }
    }
}

fn policy(options: &Options) -> anyhow::Result<Policy> {
    let naive = Policy {
        rates: Rates {
            reads: Rate(1e9),
            writes: Rate(1e9),
        },
        burst: 1_000_000,
        max_attempts: 1,
        breaker: breaker::Limits {
            failures: u32::MAX,
            ..Policy::default().breaker
        },
        ..Policy::default()
    };
    match options.policy.as_str() {
        "full" => Ok(Policy {
            rates: PLATFORM.equal_share(options.clients),
            ..Policy::default()
        }),
        "naive" => Ok(naive),
        other => anyhow::bail!("policy {other:?} does not exist; policies: full, naive"),
    }
}

fn mode(options: &Options) -> anyhow::Result<Outage> {
    match options.mode.as_str() {
        "refuse" => Ok(Outage::Refuse),
        "hang" => Ok(Outage::Hang),
        other => anyhow::bail!("mode {other:?} does not exist; modes: refuse, hang"),
    }
}

/// Starts the two loops of every client.
fn start(
    options: &Options,
    peer: SocketAddr,
    successes: &mpsc::UnboundedSender<Success>,
) -> anyhow::Result<JoinSet<()>> {
    let policy = policy(options)?;
    let interval = Duration::from_secs_f64(f64::from(options.clients) / options.writes);
    let mut loops = JoinSet::new();
    for index in 0..options.clients {
        let table = Table::new(service::Options {
            policy: policy.clone(),
            ..table::options(peer)
        });
        let client = Arc::new(Client {
            index,
            table,
            naive: options.policy == "naive",
            successes: successes.clone(),
        });
        let random = |salt| SmallRng::seed_from_u64(options.seed ^ (u64::from(index) << 32) ^ salt);
        loops.spawn(client.clone().poll(random(1)));
        loops.spawn(client.write(random(2), interval));
    }
    Ok(loops)
}

/// Samples the table's counters for a time.
async fn sample(table: &fake::Table, time: Duration) -> Vec<Counts> {
    let mut ticks = tokio::time::interval(SAMPLE);
    let mut samples = Vec::new();
    let end = Instant::now() + time;
    while Instant::now() < end {
        ticks.tick().await;
        samples.push(table.counts());
    }
    samples
}

/// Returns the largest increase of a counter within a second.
fn peak(samples: &[Counts], count: impl Fn(&Counts) -> u64) -> u64 {
    let windows = samples.windows(WINDOW + 1);
    let increases = windows.map(|window| count(&window[WINDOW]) - count(&window[0]));
    increases.max().unwrap_or(0)
}

/// Returns the mean increase of a counter in a second.
fn mean(samples: &[Counts], count: impl Fn(&Counts) -> u64) -> f64 {
    let seconds = samples.len() as f64 / WINDOW as f64;
    let total = samples.last().map_or(0, &count) - samples.first().map_or(0, &count);
    total as f64 / seconds
}

fn print_course(samples: &[Counts]) {
    println!("second  reads/s  writes/s  limited/s  served/s");
    let seconds = samples.chunks(WINDOW).map(|chunk| chunk[0]);
    let seconds: Vec<Counts> = seconds.chain(samples.last().copied()).collect();
    for (second, pair) in seconds.windows(2).enumerate() {
        let (before, after) = (pair[0], pair[1]);
        println!(
            "{second:>6}  {:>7}  {:>8}  {:>9}  {:>8}",
            after.reads - before.reads,
            after.writes - before.writes,
            after.limited - before.limited,
            after.served - before.served,
        );
    }
}

/// Collects how long after the end of the outage each client's first call of a
/// kind succeeded, in milliseconds.
fn delays(successes: &[Success], end: Instant, kind: Kind) -> Histogram<u64> {
    let mut delays =
        Histogram::new_with_bounds(1, MAX_DELAY, 3).expect("the bounds and digits are allowed");
    let mut seen = std::collections::BTreeSet::new();
    for success in successes {
        if success.kind == kind && success.at >= end && seen.insert(success.client) {
            let delay = success.at.duration_since(end).as_millis();
            delays.saturating_record(u64::try_from(delay).unwrap_or(MAX_DELAY));
        }
    }
    delays
}

/// Runs the measurement.
///
/// # Errors
///
/// When the table cannot be started or an option is not valid.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let table = fake::Table::start(listen, &fake::Options::default())?;
    let outage = mode(&options)?;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut loops = start(&options, table.address(), &sender)?;

    let normal = sample(&table, WARM_UP).await;
    table.faults(|faults| faults.outage = outage);
    let down = sample(&table, Duration::from_secs(options.outage)).await;
    table.faults(|faults| faults.outage = Outage::None);
    let end = Instant::now();
    let after = sample(&table, Duration::from_secs(options.after)).await;
    loops.shutdown().await;

    let mut successes = Vec::new();
    while let Ok(success) = receiver.try_recv() {
        successes.push(success);
    }
    report(&options, &[normal, down, after], &successes, end);
    Ok(())
}

fn report(options: &Options, phases: &[Vec<Counts>; 3], successes: &[Success], end: Instant) {
    let [normal, down, after] = phases;
    print_course(after);
    let reads = |counts: &Counts| counts.reads;
    let writes = |counts: &Counts| counts.writes;
    let both = |counts: &Counts| counts.reads + counts.writes;
    // The second half of the outage, when every client has noticed it.
    let late = &down[down.len() / 2..];
    let limited = after
        .last()
        .map_or(0, |last| last.limited - after[0].limited);
    let (read, write) = (
        delays(successes, end, Kind::Read),
        delays(successes, end, Kind::Write),
    );
    println!(
        "scenario=recovery policy={} mode={} clients={} outage_s={} normal_per_s={:.0} \
         outage_per_s={:.0} reads_peak_per_s={} writes_peak_per_s={} limited={limited} \
         clients_read={} read_p50_ms={} read_max_ms={} clients_written={} write_p50_ms={} \
         write_max_ms={}",
        options.policy,
        options.mode,
        options.clients,
        options.outage,
        mean(normal, both),
        mean(late, both),
        peak(after, reads),
        peak(after, writes),
        read.len(),
        read.value_at_quantile(0.5),
        read.max(),
        write.len(),
        write.value_at_quantile(0.5),
        write.max(),
    );
}
