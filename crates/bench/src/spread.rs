//! How fast news reach every member, and what the exchange costs.
//!
//! All members run in one process, each with its own socket on loopback and
//! its own clock, over HTTP/2 by hyper without TLS. A share of the messages is
//! lost, requests and answers alike.

use std::{
    net,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::{hash, id, span};
use bpaf::Bpaf;
use fleet::member;
use tokio::{runtime, time as timer};

use crate::{meter, peer};

/// Threads that run the members.
const THREADS: usize = 4;

/// Targets of one service, as at the design size.
const GROUP: usize = 33;

/// Addresses that a process has in its settings.
const SEEDS: usize = 3;

/// Rounds of a new version and a leaving state.
const ROUNDS: usize = 5;

/// Longest wait for one piece of news.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time between two looks at all members.
const LOOK: Duration = Duration::from_millis(25);

/// Time until news are everywhere, and cost of the exchange
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub struct Options {
    /// Number of members
    #[bpaf(argument("N"), fallback(50))]
    members: usize,
    /// Messages that are lost, in percent
    #[bpaf(argument("PERCENT"), fallback(10))]
    loss: u32,
    /// Seed of all random choices
    #[bpaf(argument("S"), fallback(1))]
    seed: u64,
    /// Length of the steady phase in seconds
    #[bpaf(argument("SECONDS"), fallback(30))]
    steady: u64,
}

/// Runs the scenario on a few threads of its own.
///
/// # Errors
///
/// When the threads or the sockets cannot be made.
pub fn main(options: &Options) -> anyhow::Result<()> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(run(options))
}

struct Fleet {
    peers: Vec<Arc<peer::Peer>>,
    loss: f64,
    seed: u64,
}

impl Fleet {
    async fn add(&mut self) -> anyhow::Result<Arc<peer::Peer>> {
        let nth = self.peers.len();
        let seed = hash::mix(self.seed, nth as u64);
        let known = self.peers.len() as u64;
        let seeds: Vec<net::SocketAddr> = (0..SEEDS.min(nth))
            .map(|i| self.peers[(hash::mix(seed, i as u64) % known) as usize].address)
            .collect();
        let (added, listener) =
            peer::Peer::bind(|address| describe(nth, address), seeds, self.loss, seed).await?;
        tokio::spawn(Arc::clone(&added).run(listener));
        self.peers.push(Arc::clone(&added));
        Ok(added)
    }

    /// Gives every member the instance list, as at the start of a whole fleet.
    fn list(&self) {
        let instances: Vec<member::Instance> = self.peers.iter().map(|p| instance(p)).collect();
        let list = member::Instances {
            revision: 1,
            instances,
        };
        for peer in &self.peers {
            peer.state().exchange.members.apply_list(peer.now(), &list);
        }
    }

    /// Waits until all members agree; returns the seconds or none.
    async fn until(&self, holds: impl Fn(&peer::Peer) -> bool) -> Option<f64> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if self.peers.iter().all(|peer| holds(peer)) {
                return Some(start.elapsed().as_secs_f64());
            }
            timer::sleep(LOOK).await;
        }
        None
    }

    fn bytes(&self) -> Vec<u64> {
        let load = |peer: &Arc<peer::Peer>| peer.traffic.bytes.load(Ordering::Relaxed);
        self.peers.iter().map(load).collect()
    }

    fn sum(&self, count: impl Fn(&peer::Peer) -> u64) -> u64 {
        self.peers.iter().map(|peer| count(peer)).sum()
    }
}

fn instance(peer: &peer::Peer) -> member::Instance {
    let own = peer.state().exchange.members.own().clone();
    member::Instance {
        process: own.process,
        role: own.role,
        address: own.address,
        centre: own.centre,
        service: own.service,
        leaving: false,
    }
}

/// Makes a third of the members routers, as at the design size.
fn describe(nth: usize, address: net::SocketAddr) -> member::Member {
    let router = nth.is_multiple_of(3);
    let service = format!("model-{}", nth / 3 * 2 / GROUP);
    let text = |text: String| text.parse().expect("the text is a valid id");
    let name = if router { "router" } else { "agent" };
    member::Member {
        process: format!("{name}-austin-{nth:04}")
            .parse()
            .expect("a valid id"),
        // Milliseconds of the wall clock, as a daemon takes them at its start.
        incarnation: id::Incarnation(1_780_000_000_000 + nth as u64),
        sequence: id::Sequence(1),
        role: if router {
            member::Role::Router
        } else {
            member::Role::Agent
        },
        address,
        centre: "san-marcos".parse().expect("a valid id"),
        service: (!router).then(|| service.parse().expect("a valid id")),
        target: (!router).then(|| text(format!("engine-{nth:04}"))),
        weight: 100,
        standing: member::Standing::Up,
        version: id::Version(1000),
        load: 0,
        cap: 16,
        age: span::Span::ZERO,
    }
}

async fn run(options: &Options) -> anyhow::Result<()> {
    let before = meter::memory()?;
    let mut fleet = Fleet {
        peers: Vec::new(),
        loss: f64::from(options.loss) / 100.0,
        seed: options.seed,
    };
    for _ in 0..options.members {
        fleet.add().await?;
    }
    fleet.list();
    let count = options.members;
    let start = fleet
        .until(|peer| peer.state().exchange.members.reporting() >= count)
        .await;
    let reporting = |peer: &peer::Peer| peer.state().exchange.members.reporting() as u64;
    println!(
        "all {count} members know each other after {}; {} of {} pairs are known",
        show(start),
        fleet.sum(reporting),
        count * count
    );

    let steady = steady(&fleet, options.steady).await?;
    let (version, leaving) = news(&fleet).await;
    let join = join(&mut fleet).await?;
    let memory = (meter::memory()? - before) / count as u64;
    println!(
        "members={count} loss={} seed={} start_s={} version_s={version:.2} \
         leaving_s={leaving:.2} {steady} {join} memory_bytes={memory}",
        options.loss,
        options.seed,
        show(start),
    );
    Ok(())
}

/// Measures bytes, processor time, ages and false removals without events.
async fn steady(fleet: &Fleet, seconds: u64) -> anyhow::Result<String> {
    // The join allowance and the first pulses shall not count as steady.
    timer::sleep(Duration::from_secs(20)).await;
    let processor = meter::processor()?;
    let bytes = fleet.bytes();
    let spent = fleet.sum(|peer| peer.state().budget.spent());
    let packets = fleet.sum(|peer| peer.traffic.packets.load(Ordering::Relaxed));
    let opened = fleet.sum(|peer| peer.traffic.opened.load(Ordering::Relaxed));
    let removed = fleet.sum(|peer| peer.state().removed);
    let clock = Instant::now();
    timer::sleep(Duration::from_secs(seconds)).await;
    let elapsed = clock.elapsed().as_secs_f64();
    let each = elapsed * fleet.peers.len() as f64;
    let processor = meter::processor()?.as_secs_f64() - processor.as_secs_f64();
    let mut rates: Vec<f64> = fleet
        .bytes()
        .iter()
        .zip(&bytes)
        .map(|(after, before)| (after - before) as f64 / elapsed)
        .collect();
    rates.sort_by(f64::total_cmp);
    let spent = fleet.sum(|peer| peer.state().budget.spent()) - spent;
    let packets = fleet.sum(|peer| peer.traffic.packets.load(Ordering::Relaxed)) - packets;
    let opened = fleet.sum(|peer| peer.traffic.opened.load(Ordering::Relaxed)) - opened;
    let removed = fleet.sum(|peer| peer.state().removed) - removed;
    let (group, all) = ages(fleet);
    Ok(format!(
        "bytes_per_s={:.0} bytes_per_s_max={:.0} budget_per_s={:.0} packets_per_s={:.1} \
         opened_per_s={:.3} core_percent={:.3} removed={removed} group_age_mean_s={:.1} \
         group_age_p99_s={:.1} age_mean_s={:.1} age_p99_s={:.1} age_max_s={:.1}",
        rates.iter().sum::<f64>() / rates.len() as f64,
        rates.last().copied().unwrap_or_default(),
        spent as f64 / each,
        packets as f64 / each,
        opened as f64 / each,
        processor / each * 100.0,
        group.mean(),
        group.quantile(0.99),
        all.mean(),
        all.quantile(0.99),
        all.quantile(1.0),
    ))
}

struct Sample(Vec<f64>);

impl Sample {
    fn mean(&self) -> f64 {
        self.0.iter().sum::<f64>() / self.0.len().max(1) as f64
    }

    fn quantile(&self, share: f64) -> f64 {
        let last = self.0.len().saturating_sub(1);
        let nth = (last as f64 * share).round() as usize;
        self.0.get(nth).copied().unwrap_or_default()
    }
}

/// Returns the ages of the load reports in the own service group of agents,
/// and of all members at all members.
fn ages(fleet: &Fleet) -> (Sample, Sample) {
    let (mut group, mut all) = (Vec::new(), Vec::new());
    for peer in &fleet.peers {
        let now = peer.now();
        let state = peer.state();
        let members = &state.exchange.members;
        let own = members.own();
        for row in members.rows(now) {
            if row.member.process == own.process {
                continue;
            }
            let age = row.age.as_secs_f64();
            all.push(age);
            if own.service.is_some() && row.member.service == own.service {
                group.push(age);
            }
        }
    }
    group.sort_by(f64::total_cmp);
    all.sort_by(f64::total_cmp);
    (Sample(group), Sample(all))
}

/// Returns the longest time until a new version and a leaving state were
/// known everywhere.
async fn news(fleet: &Fleet) -> (f64, f64) {
    let (mut versions, mut leavings) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        let first = &fleet.peers[round * 7 % fleet.peers.len()];
        let target = {
            let (standing, version) = {
                let state = first.state();
                (state.standing, state.version.next())
            };
            first.change(standing, version);
            version
        };
        let version = fleet.until(|peer| peer.state().version >= target).await;
        let leaver = &fleet.peers[(round * 7 + 1) % fleet.peers.len()];
        let process = {
            let mut state = leaver.state();
            state.standing = member::Standing::Leaving;
            let (standing, version) = (state.standing, state.version);
            state
                .exchange
                .update(leaver.now(), standing, version, 0, 16);
            state.exchange.members.own().process.clone()
        };
        let leaving = fleet
            .until(|peer| {
                let row = peer.state().exchange.members.get(peer.now(), &process);
                row.is_some_and(|row| row.standing == member::Standing::Leaving)
            })
            .await;
        println!(
            "round {round}: version everywhere after {}, leaving after {}",
            show(version),
            show(leaving)
        );
        versions.push(version.unwrap_or(f64::INFINITY));
        leavings.push(leaving.unwrap_or(f64::INFINITY));
        timer::sleep(Duration::from_secs(2)).await;
    }
    let most = |times: &[f64]| times.iter().copied().fold(0.0, f64::max);
    (most(&versions), most(&leavings))
}

/// Measures a process that joins a running fleet.
async fn join(fleet: &mut Fleet) -> anyhow::Result<String> {
    let count = fleet.peers.len();
    let start = Instant::now();
    let added = fleet.add().await?;
    let process = added.state().exchange.members.own().process.clone();
    let (mut learned, mut known, mut bytes) = (None, None, 0);
    while start.elapsed() < PATIENCE && (learned.is_none() || known.is_none()) {
        if learned.is_none() && added.state().exchange.members.reporting() > count {
            learned = Some(start.elapsed().as_secs_f64());
            bytes = added.traffic.bytes.load(Ordering::Relaxed);
        }
        let everywhere = fleet.peers.iter().all(|peer| {
            let members = &peer.state().exchange.members;
            members.get(peer.now(), &process).is_some()
        });
        if known.is_none() && everywhere {
            known = Some(start.elapsed().as_secs_f64());
        }
        timer::sleep(LOOK).await;
    }
    Ok(format!(
        "join_learned_s={} join_known_s={} join_bytes={bytes}",
        show(learned),
        show(known)
    ))
}

fn show(seconds: Option<f64>) -> String {
    seconds.map_or("never".to_owned(), |seconds| format!("{seconds:.2}"))
}
