//! One soak: faults in overlapping series, then a calm end in which all must be
//! well again.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use anyhow::Context;
use fakes::{runner::Behaviour, site::Ports};
use rand::{RngExt, SeedableRng, rngs::ChaCha8Rng, seq::IndexedRandom};
use tokio::{task::JoinSet, time};
use tokio_util::sync::CancellationToken;

use crate::{
    caller::{Caller, Outcome, RULES, Seen},
    checks::{self, Pause, Violations},
    process::Router,
    proxy::{Link, Proxy},
    site::{KEY, Site},
};

/// Routers of a soak.
const ROUTERS: usize = 3;

/// Targets of a soak.
const TARGETS: usize = 4;

/// Callers of a soak.
const CALLERS: usize = 12;

/// Time in which routers recover after the last fault.
const RECOVERY: Duration = Duration::from_secs(6);

/// Longest time between the due end of a fault and its end.
const MOST_DELAY: Duration = Duration::from_millis(500);

/// Bound on the time in which a change of the table takes effect, and a small
/// allowance for this machine.
const BOUND: Duration = Duration::from_millis(2_200);

/// Time after a disturbance of the table from which on its changes take effect in time,
/// with the same allowance.
const CONTACT: Duration = Duration::from_millis(3_200);

/// Tables whose responses are lost together.
const LOST: [&[&str]; 4] = [
    &["op"],
    &["servers"],
    &["op", "servers"],
    &["op", "servers", "members", "refusals"],
];

/// Time from SIGTERM to the end of a process.
const GRACE: Duration = Duration::from_secs(8);

/// Key that the calm end takes away.
const REVOKED: &str = "revoked";

/// Key that the calm end adds.
const ADDED: &str = "added";

/// What a soak did and found.
#[derive(Debug)]
pub struct Report {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that were served.
    pub served: usize,
    /// The faults, in words.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub violations: Violations,
}

struct Soak {
    site: Site,
    routers: Vec<Router>,
    tables: Vec<Proxy>,
    rng: ChaCha8Rng,
    faults: Vec<String>,
    /// Faults that end later.
    ends: Vec<(Instant, End)>,
    seen: Arc<Mutex<Vec<Seen>>>,
    pauses: Vec<Pause>,
    start: Instant,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Target(usize),
    Table(usize),
    Behaviour(usize),
    Row(usize),
    Continue(usize),
    Start(usize),
    Store,
}

/// Runs one seed; `dir` gets settings and logs.
///
/// # Errors
///
/// When the soak itself cannot run.
pub async fn run(program: &Path, dir: &Path, seed: u64, chaos: Duration) -> anyhow::Result<Report> {
    std::fs::create_dir_all(dir).with_context(|| format!("create {}", dir.display()))?;
    let mut soak = Soak::start(program, dir, seed).await?;
    let stop = CancellationToken::new();
    let callers = soak.callers(seed, &stop);
    let late = soak.unready().await;
    anyhow::ensure!(late.is_empty(), "the routers do not start: {late:?}");
    soak.chaos(chaos).await?;
    let mut violations = soak.heal().await?;
    violations.extend(soak.calm().await?);
    stop.cancel();
    callers.join_all().await;
    let seen = soak
        .seen
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    violations.extend(checks::requests(&soak.site, &seen, &soak.pauses));
    let served = seen
        .iter()
        .filter(|seen| matches!(&seen.outcome, Outcome::Whole(status) if status.is_success()));
    Ok(Report {
        requests: seen.len(),
        served: served.count(),
        faults: soak.faults.clone(),
        violations,
    })
}

impl Soak {
    async fn start(program: &Path, dir: &Path, seed: u64) -> anyhow::Result<Self> {
        let mut site = Site::start(TARGETS).await?;
        site.configure(&[KEY, REVOKED]);
        let mut routers = Vec::new();
        let mut tables = Vec::new();
        for number in 0..ROUTERS {
            let table = Proxy::start(site.table.address()).await?;
            let name = format!("router-{number}");
            let ports = Ports::free()?;
            routers.push(Router::start(program, dir, &name, ports, table.address())?);
            tables.push(table);
        }
        Ok(Self {
            site,
            routers,
            tables,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Vec::new(),
            ends: Vec::new(),
            seen: Arc::default(),
            pauses: Vec::new(),
            start: Instant::now(),
        })
    }

    fn callers(&self, seed: u64, stop: &CancellationToken) -> JoinSet<()> {
        let routers: Vec<SocketAddr> = self
            .routers
            .iter()
            .map(|router| router.ports.callers())
            .collect();
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let rng = ChaCha8Rng::seed_from_u64(seed ^ ((number as u64 + 1) << 32));
            let task = call(
                number,
                routers.clone(),
                rng,
                self.seen.clone(),
                stop.clone(),
            );
            callers.spawn(task);
        }
        callers
    }

    /// Waits for the routers; returns those that are not ready in time.
    async fn unready(&self) -> Violations {
        let end = Instant::now() + RECOVERY;
        let mut violations = Vec::new();
        for router in &self.routers {
            while !is_ready(router.ports.ready()).await {
                if Instant::now() >= end {
                    violations.push(format!("{} is not ready", router.name));
                    break;
                }
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        violations
    }

    async fn chaos(&mut self, length: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + length;
        while Instant::now() < end {
            self.strike()?;
            let pause = Duration::from_millis(self.rng.random_range(30..500));
            time::sleep(pause).await;
            let now = Instant::now();
            self.finish(|at| at <= now)?;
            self.revive()?;
        }
        Ok(())
    }

    fn revive(&mut self) -> anyhow::Result<()> {
        self.routers.iter_mut().try_for_each(Router::revive)
    }

    /// Begins one fault.
    fn strike(&mut self) -> anyhow::Result<()> {
        let length = Duration::from_millis(self.rng.random_range(100..2_500));
        let target = self.rng.random_range(0..TARGETS);
        let router = self.rng.random_range(0..ROUTERS);
        let link = match self.rng.random_range(0..4) {
            0 => Link::Delayed(Duration::from_millis(self.rng.random_range(20..300))),
            1 => Link::Reset,
            2 => Link::OneWay,
            _ => Link::Silent,
        };
        let (text, end) = match self.rng.random_range(0..12) {
            0 | 1 => {
                self.site.targets[target].proxy.set(link);
                (
                    format!("target {target} {link:?}"),
                    Some(End::Target(target)),
                )
            }
            2 => {
                self.tables[router].set(link);
                (
                    format!("table of router {router} {link:?}"),
                    Some(End::Table(router)),
                )
            }
            3 | 4 => {
                const FAULTS: [Behaviour; 9] = [
                    Behaviour::Lose,
                    Behaviour::Shed,
                    Behaviour::Busy,
                    Behaviour::Fail,
                    Behaviour::Cross,
                    Behaviour::Unsigned,
                    Behaviour::Cut,
                    Behaviour::Hang,
                    Behaviour::Break(2),
                ];
                let fault = *FAULTS.choose(&mut self.rng).context("there are faults")?;
                self.site.targets[target].runner.set(fault);
                (
                    format!("target {target} {fault:?}"),
                    Some(End::Behaviour(target)),
                )
            }
            5 => {
                self.site.list(target, "draining");
                (format!("target {target} leaves"), Some(End::Row(target)))
            }
            6 => {
                self.site
                    .table
                    .remove("servers", &format!("target-{target}"));
                (
                    format!("row of target {target} is gone"),
                    Some(End::Row(target)),
                )
            }
            7 => {
                self.routers[router].kill();
                (
                    format!("router {router} is killed"),
                    Some(End::Start(router)),
                )
            }
            8 => {
                self.routers[router].signal("STOP")?;
                let start = Instant::now();
                self.pauses.push(Pause {
                    router,
                    start,
                    end: start + length + MOST_DELAY,
                });
                (
                    format!("router {router} stands still"),
                    Some(End::Continue(router)),
                )
            }
            9 => {
                self.routers[router].signal("TERM")?;
                (
                    format!("router {router} gets SIGTERM"),
                    Some(End::Start(router)),
                )
            }
            10 => {
                self.site.table.down(true);
                ("table is down".to_owned(), Some(End::Store))
            }
            _ => {
                self.routers[router].signal("HUP")?;
                self.site.table.forget();
                self.site.configure(&[KEY, REVOKED]);
                (
                    "a new version, a forgotten history and SIGHUP".to_owned(),
                    None,
                )
            }
        };
        let at = self.start.elapsed().as_millis();
        self.faults
            .push(format!("{at} ms: {text} for {} ms", length.as_millis()));
        if let Some(end) = end {
            self.ends.push((Instant::now() + length, end));
        }
        Ok(())
    }

    /// Ends the faults whose end is chosen by `is_due`.
    fn finish(&mut self, is_due: impl Fn(Instant) -> bool) -> anyhow::Result<()> {
        let (due, later): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|(at, _)| is_due(*at));
        self.ends = later;
        for (_, end) in due {
            match end {
                End::Target(target) => self.site.targets[target].proxy.set(Link::Sound),
                End::Table(router) => self.tables[router].set(Link::Sound),
                End::Behaviour(target) => self.site.targets[target].runner.set(Behaviour::ByPath),
                End::Row(target) => self.site.relist(target),
                End::Continue(router) => self.routers[router].signal("CONT")?,
                End::Start(router) => {
                    self.routers[router].kill();
                    self.routers[router].spawn()?;
                }
                End::Store => self.site.table.down(false),
            }
        }
        Ok(())
    }

    /// Ends all faults and waits until the routers are well.
    async fn heal(&mut self) -> anyhow::Result<Violations> {
        self.finish(|_| true)?;
        time::sleep(MOST_DELAY).await;
        self.revive()?;
        for target in 0..TARGETS {
            self.site.relist(target);
        }
        self.site.configure(&[KEY, REVOKED]);
        let violations = self.unready().await;
        time::sleep(RECOVERY / 2).await;
        Ok(violations)
    }

    /// Checks the promises that hold while nothing is wrong.
    async fn calm(&mut self) -> anyhow::Result<Violations> {
        let mut violations = self.served().await;
        violations.extend(self.drained().await);
        violations.extend(self.revoked().await);
        violations.extend(self.lost().await?);
        violations.extend(self.returned().await);
        violations.extend(self.stopped().await?);
        Ok(violations)
    }

    /// Each router serves each kind of request.
    async fn served(&self) -> Violations {
        let mut violations = Vec::new();
        for router in &self.routers {
            for (rule, (name, _)) in RULES.iter().enumerate() {
                let attempt = format!("calm-{}-{name}", router.name);
                let outcome = Caller::default()
                    .call(router.ports.callers(), rule, &attempt, KEY)
                    .await;
                if outcome != Outcome::Whole(http::StatusCode::OK) {
                    violations.push(format!("{name} {attempt} after recovery: {outcome:?}"));
                }
            }
        }
        violations
    }

    /// A target that leaves gets no new work after the bound.
    async fn drained(&mut self) -> Violations {
        self.site.list(0, "draining");
        time::sleep(BOUND).await;
        self.late_runs(0).await
    }

    /// Returns the requests that reach a target which left a while ago.
    async fn late_runs(&self, target: usize) -> Violations {
        let before = self.site.targets[target].runner.runs().len();
        time::sleep(Duration::from_secs(1)).await;
        let runs = self.site.targets[target].runner.runs();
        let late = runs.iter().skip(before);
        late.map(|run| {
            let attempt = run.headers.get("x-attempt-id");
            format!("{attempt:?} reached a target after it left")
        })
        .collect()
    }

    /// A key that is taken away is refused everywhere after the bound.
    async fn revoked(&mut self) -> Violations {
        self.site.configure(&[KEY]);
        time::sleep(BOUND).await;
        self.served_revoked("revoked").await
    }

    /// A key that is taken away while responses of the table are lost is refused
    /// everywhere after the bound.
    async fn lost(&mut self) -> anyhow::Result<Violations> {
        self.site.configure(&[KEY, REVOKED]);
        time::sleep(BOUND).await;
        let tables = *LOST.choose(&mut self.rng).context("there are tables")?;
        let length = Duration::from_millis(self.rng.random_range(50..2_500));
        self.site.table.lose(tables);
        self.site.configure(&[KEY]);
        time::sleep(length).await;
        self.site.table.lose(&[]);
        self.faults.push(format!(
            "at the end: responses of {tables:?} lost for {} ms",
            length.as_millis()
        ));
        time::sleep(CONTACT).await;
        Ok(self.served_revoked("lost").await)
    }

    /// The table comes back from an older copy, once or twice, and operators and targets
    /// write again what it lost. Changes that follow take effect within the bound.
    async fn returned(&mut self) -> Violations {
        self.site.configure(&[KEY, REVOKED]);
        time::sleep(BOUND).await;
        for _ in 0..self.rng.random_range(1..3) {
            self.return_table().await;
        }
        let pause = match self.rng.random_bool(0.5) {
            true => Duration::from_millis(self.rng.random_range(0..2_000)),
            false => Duration::ZERO,
        };
        time::sleep(pause).await;
        if self.rng.random_bool(0.5) {
            self.site.list(1, "draining");
            self.site.configure(&[KEY, ADDED]);
        } else {
            self.site.configure(&[KEY, ADDED]);
            self.site.list(1, "draining");
        }
        self.heartbeats();
        self.faults
            .push(format!("changes {} ms after it", pause.as_millis()));
        time::sleep(CONTACT).await;
        let mut violations = self.served_revoked("returned").await;
        let added = self.answered("added", ADDED, http::StatusCode::OK);
        violations.extend(added.await);
        violations.extend(self.late_runs(1).await);
        violations
    }

    /// Lets the table come back from a copy, with or without an outage, and operators and
    /// targets write again.
    async fn return_table(&mut self) {
        let copy = self.site.table.copy();
        self.heartbeats();
        if self.rng.random_bool(0.5) {
            self.site.configure(&[KEY, REVOKED]);
        }
        let age = Duration::from_millis(self.rng.random_range(0..3_000));
        time::sleep(age).await;
        let away = match self.rng.random_bool(0.5) {
            true => Duration::from_millis(self.rng.random_range(50..800)),
            false => Duration::ZERO,
        };
        if !away.is_zero() {
            self.site.table.power().down(None);
            time::sleep(away).await;
        }
        self.site.table.restore(copy);
        self.site.table.power().up();
        let (age, away) = (age.as_millis(), away.as_millis());
        let text = format!("a return of the table after {away} ms, from {age} ms ago");
        self.faults.push(format!("at the end: {text}"));
        if self.rng.random_bool(0.5) {
            self.site.rewrite_config();
        }
        for target in 0..TARGETS {
            self.site.rewrite_row(target);
        }
        self.site.rewrite_config();
    }

    /// Lets targets write their rows again, so that the table's version rises; by few, if
    /// the rows are only renewed, or by many.
    fn heartbeats(&mut self) {
        let most = if self.rng.random_bool(0.5) { 4 } else { 30 };
        for _ in 0..self.rng.random_range(0..most) {
            let target = self.rng.random_range(0..TARGETS);
            self.site.rewrite_row(target);
        }
    }

    /// Returns the routers that accept the key that was taken away.
    async fn served_revoked(&self, step: &str) -> Violations {
        self.answered(step, REVOKED, http::StatusCode::UNAUTHORIZED)
            .await
    }

    /// Returns the routers that do not answer a request with a key with this status.
    async fn answered(&self, step: &str, key: &str, status: http::StatusCode) -> Violations {
        let mut violations = Vec::new();
        for router in &self.routers {
            let attempt = format!("{step}-{}", router.name);
            let outcome = Caller::default()
                .call(router.ports.callers(), 1, &attempt, key)
                .await;
            if outcome != Outcome::Whole(status) {
                violations.push(format!("{step}: the key at {}: {outcome:?}", router.name));
            }
        }
        violations
    }

    /// A planned stop breaks no request off and ends in time with status 0.
    async fn stopped(&mut self) -> anyhow::Result<Violations> {
        let from = Instant::now();
        self.routers[0].signal("TERM")?;
        let mut violations = Vec::new();
        if !self.routers[0].ended(GRACE).await {
            violations.push("a router did not end by itself within its grace time".to_owned());
        }
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        violations.extend(checks::graceful(&self.site, &seen, 0, from));
        Ok(violations)
    }
}

/// Sends requests until it is told to stop.
async fn call(
    number: usize,
    routers: Vec<SocketAddr>,
    mut rng: ChaCha8Rng,
    seen: Arc<Mutex<Vec<Seen>>>,
    stop: CancellationToken,
) {
    let router = number % routers.len();
    let mut caller = Caller::default();
    let mut count = 0;
    while !stop.is_cancelled() {
        count += 1;
        let attempt = format!("attempt-{number}-{count}");
        let rule = rng.random_range(0..RULES.len());
        let start = Instant::now();
        let outcome = caller.call(routers[router], rule, &attempt, KEY).await;
        let request = Seen {
            attempt,
            rule,
            router,
            start,
            end: Instant::now(),
            outcome,
        };
        seen.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(request);
        if rng.random_bool(0.05) {
            caller.leave();
        }
        time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let ask = async {
        let mut stream = tokio::net::TcpStream::connect(address).await?;
        stream
            .write_all(b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            .await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<_, std::io::Error>(answer.starts_with("HTTP/1.1 200"))
    };
    matches!(
        time::timeout(Duration::from_secs(1), ask).await,
        Ok(Ok(true))
    )
}
