//! What the path through router and agent adds to calling an engine directly.
//!
//! Router, agent and engine run as processes of their own, so that the processor
//! time and memory of each can be read and saturation is that of router and
//! agent. This process holds the callers only. Both ways are measured in one
//! run, in turns, on the same engine.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::span;
use bpaf::Bpaf;
use fakes::engine;
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use crate::{
    child::{self, Daemon, Program, Stand},
    client::{self, Call, Caller},
    deploy,
};

/// Latency and memory of the path
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub struct Options {
    /// Seconds of each measurement
    #[bpaf(argument("SECONDS"), fallback(3))]
    seconds: u64,
    /// Concurrent streams, separated by commas
    #[bpaf(argument("LIST"), fallback("1,100,2000".to_owned()))]
    streams: String,
    /// Log filter of the daemons
    #[bpaf(argument("FILTER"), fallback("warn".to_owned()))]
    log: String,
}

/// Tokens of one response.
const TOKENS: u32 = 20;

/// Memory goal for each open stream, in bytes.
const STREAM_GOAL: u64 = 16 * 1024;

/// Callers at saturation and at half of it.
const CALLERS: usize = 400;

/// Latency goal at half of saturation.
const ADDED_GOAL: Duration = Duration::from_millis(1);

struct Bench {
    engine: Stand,
    router: Daemon,
    agent: Daemon,
    front: SocketAddr,
    call: Call,
    direct: Call,
    /// As the two above, with one token: many requests a second.
    short: Call,
    short_direct: Call,
}

impl Bench {
    /// Drives one way and prints the processor time that each process used, in
    /// percent of one core.
    async fn drive(
        &self,
        name: &str,
        to: SocketAddr,
        call: &Call,
        count: usize,
        rate: Option<f64>,
        time: Duration,
    ) -> Way {
        let processes = [
            self.router.id(),
            self.agent.id(),
            self.engine.id(),
            std::process::id(),
        ];
        let before = processes.map(child::processor);
        let way = drive(to, call, count, rate, time).await;
        let seconds = way.elapsed.as_secs_f64();
        let [router, agent, engine, callers] = std::array::from_fn(|process| {
            (child::processor(processes[process]) - before[process]) / seconds * 100.0
        });
        println!(
            "processor way={name} streams={count} router_percent={router:.0} agent_percent={agent:.0} engine_percent={engine:.0} callers_percent={callers:.0}"
        );
        way
    }
}

/// Results of one way.
struct Way {
    first: Histogram<u64>,
    done: u64,
    failed: u64,
    elapsed: Duration,
}

impl Way {
    fn rate(&self) -> f64 {
        self.done as f64 / self.elapsed.as_secs_f64()
    }
}

/// Runs the measurement.
///
/// # Errors
///
/// When the deployment cannot be started.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let bench = start(&options).await?;
    let time = Duration::from_secs(options.seconds);
    let mut worst_stream = 0;
    for count in options.streams.split(',') {
        let count: usize = count.trim().parse()?;
        let idle = (bench.router.memory(), bench.agent.memory());
        let engine = bench.engine.address();
        let direct = bench
            .drive("direct", engine, &bench.direct, count, None, time)
            .await;
        let watch = tokio::spawn(peak(bench.router.id(), bench.agent.id(), time));
        let path = bench
            .drive("path", bench.front, &bench.call, count, None, time)
            .await;
        let busy = watch.await?;
        report(count, &direct, &path);
        let grown = (busy.0.saturating_sub(idle.0)) + (busy.1.saturating_sub(idle.1));
        let stream = grown / count as u64;
        if count >= 1000 {
            worst_stream = worst_stream.max(stream);
        }
        println!(
            "memory streams={count} router_kib={} agent_kib={} grown_per_stream_bytes={stream}",
            busy.0 / 1024,
            busy.1 / 1024
        );
    }
    let engine = bench.engine.address();
    let saturated = bench
        .drive("saturated", bench.front, &bench.short, CALLERS, None, time)
        .await;
    let half = saturated.rate() / 2.0;
    let rate = Some(half);
    let direct = bench
        .drive(
            "direct_half",
            engine,
            &bench.short_direct,
            CALLERS,
            rate,
            time,
        )
        .await;
    let path = bench
        .drive("path_half", bench.front, &bench.short, CALLERS, rate, time)
        .await;
    let added = added(&direct, &path, 99.0);
    println!(
        "half saturated_rps={:.0} rps={half:.0} direct_rps={:.0} path_rps={:.0} added_p50_us={} direct_p99_us={} path_p99_us={} added_p99_us={added} goal_us={}",
        saturated.rate(),
        direct.rate(),
        path.rate(),
        self::added(&direct, &path, 50.0),
        direct.first.value_at_quantile(0.99),
        path.first.value_at_quantile(0.99),
        ADDED_GOAL.as_micros()
    );
    println!(
        "path added_p99_us={added} goal_us={} stream_bytes={worst_stream} stream_goal={STREAM_GOAL} failed={}",
        ADDED_GOAL.as_micros(),
        path.failed + saturated.failed
    );
    Ok(())
}

fn added(direct: &Way, path: &Way, percentile: f64) -> i64 {
    let quantile = percentile / 100.0;
    path.first.value_at_quantile(quantile) as i64 - direct.first.value_at_quantile(quantile) as i64
}

fn report(count: usize, direct: &Way, path: &Way) {
    let us = |way: &Way, quantile| way.first.value_at_quantile(quantile);
    println!(
        "streams={count} direct_rps={:.0} path_rps={:.0} ratio={:.3} added_p50_us={} added_p99_us={} added_p999_us={} path_p50_us={} path_p99_us={} path_p999_us={} failed={}",
        direct.rate(),
        path.rate(),
        path.rate() / direct.rate(),
        added(direct, path, 50.0),
        added(direct, path, 99.0),
        added(direct, path, 99.9),
        us(path, 0.5),
        us(path, 0.99),
        us(path, 0.999),
        path.failed + direct.failed,
    );
}

async fn peak(router: u32, agent: u32, time: Duration) -> (u64, u64) {
    let end = Instant::now() + time;
    let mut most = (0, 0);
    while Instant::now() < end {
        most.0 = most.0.max(crate::child::memory(router));
        most.1 = most.1.max(crate::child::memory(agent));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    most
}

/// Keeps `count` streams open, or sends at a fixed rate with `count` callers.
async fn drive(
    to: SocketAddr,
    call: &Call,
    count: usize,
    rate: Option<f64>,
    time: Duration,
) -> Way {
    let caller = Arc::new(Caller::default());
    let start = Instant::now();
    let end = start + time;
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let caller = caller.clone();
        let call = call.clone();
        let interval = rate.map(|rate| Duration::from_secs_f64(count as f64 / rate));
        tasks.spawn(async move {
            let mut first = Histogram::<u64>::new(3).expect("3 digits are allowed");
            let (mut done, mut failed) = (0, 0);
            // The callers start spread over one interval, or over 200 ms.
            let spread = interval.unwrap_or(Duration::from_millis(200));
            tokio::time::sleep(spread.mul_f64(number as f64 / count as f64)).await;
            let mut due = Instant::now();
            while Instant::now() < end {
                let received = caller.send(to, call.clone()).await;
                let whole = received.complete && received.body.ends_with(b"data: [DONE]\n\n");
                if whole {
                    done += 1;
                    first.record(received.first.as_micros() as u64).ok();
                } else {
                    failed += 1;
                }
                if let Some(interval) = interval {
                    due += interval;
                    tokio::time::sleep_until(due.into()).await;
                }
            }
            (first, done, failed)
        });
    }
    let mut way = Way {
        first: Histogram::new(3).expect("3 digits are allowed"),
        done: 0,
        failed: 0,
        elapsed: Duration::ZERO,
    };
    while let Some(Ok((first, done, failed))) = tasks.join_next().await {
        way.first.add(first).ok();
        way.done += done;
        way.failed += failed;
    }
    way.elapsed = start.elapsed();
    way
}

async fn start(options: &Options) -> anyhow::Result<Bench> {
    let deployment = deploy::Deployment {
        engines: 0,
        instances: 0,
        routers: 0,
        ..deploy::PERDANA
    };
    let engine = engine::Options {
        slots: 8192,
        queue: 8192,
        pace: span::Span::from_millis(39),
        first: span::Span::from_millis(20),
        prefill: span::Span::ZERO,
        // Streams end well; a short memory keeps the engine from growing with the
        // number of requests.
        keep: span::Span::from_secs(1),
        ..engine::Options::default()
    };
    let mut setup = deploy::Options {
        engine: engine.clone(),
        floor: 8192,
        queue: 8192,
        warm_up: span::Span::ZERO,
        ..deploy::Options::default()
    };
    setup.service.delay = span::Span::ZERO;
    let running = deploy::Running::start(deployment, setup).await?;
    let engine = Stand::start("engine", &engine)?;
    let mut router = running.router_settings(0)?;
    router.threads = 2;
    router.log = options.log.clone();
    router.limits.connections = 16_384;
    let mut agent = running.agent_settings(
        "drafting-0",
        0,
        "drafting",
        conf::state::Kind::Engine,
        engine.address(),
    )?;
    agent.threads = 2;
    agent.log = options.log.clone();
    agent.seeds = vec![router.advertise];
    let front = router.listen.callers.expect("a router accepts callers");
    let call = |tokens| {
        let messages = [("user", "Draft a short brief.")];
        let body = client::chat("drafting", &messages, tokens);
        Call::post("/v1/chat/completions", &deploy::key("sales-hampers"), body)
    };
    let bench = Bench {
        direct: call(TOKENS).with("x-request-id", "0"),
        short: call(1),
        short_direct: call(1).with("x-request-id", "0"),
        engine,
        router: Daemon::start(&Program::Own, &router)?,
        agent: Daemon::start(&Program::Own, &agent)?,
        front,
        call: call(TOKENS),
    };
    deploy::ready(front, &bench.call).await?;
    // The bootstrap file must outlive the start of the daemons.
    drop(running);
    Ok(bench)
}
