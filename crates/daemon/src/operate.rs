//! The service that a router offers to operators.
//!
//! Queries read the router's control state; orders go through
//! [`crate::commit`]. See [the language page](../../../docs/language.md).

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use base::{fault::Fault, hash, id, span};
use conf::{change::Change, command as accept, difference, row, state, value::KeyHash};
use fleet::member;
use futures_util::StreamExt;
use lang::{
    answer::{self, Answer},
    api::{self, Given, Key, Operator as _, Refusal},
    command::{Chat, Order, Query},
};
use place::choose;
use plan::plan::Condition;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel, Config},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, oneshot},
    time,
};
use tokio_rustls::TlsAcceptor;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    commit::{Commit, CommitError},
    node::{Inspect, Node, Signal},
    operate_plan::{self, PlanError},
    past::{Past, PastError},
    platform::Platform,
    router_core::Event,
    snapshot::Snapshot,
    suspects,
};

/// Connections of operators at once. Each may make the router reserve the
/// memory of a largest request before its key is known: 8 MiB together.
const CONNECTIONS: usize = 32;

/// Requests of one connection that run at once; more of them wait.
const REQUESTS: usize = 8;

/// Time for the TLS handshake and the first request, so that connections
/// without a purpose do not take the place of others.
const FIRST_TIME: Duration = Duration::from_secs(10);

/// Time between two requests after which a connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(600);

/// Bytes of change rows in one answer, which is far above the size of the
/// largest row and leaves room for the rest of the answer.
const MAX_ROWS: usize = api::MAX_ANSWER / 2;

/// Time for the last answers of a connection to be sent.
const LAST_TIME: Duration = Duration::from_millis(200);

/// Attempts of an order about a plan whose row changes meanwhile.
const PLAN_ATTEMPTS: usize = 4;

/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The operators' service of one router.
#[derive(Clone)]
pub struct Operators {
    snapshot: Arc<ArcSwap<Snapshot>>,
    events: mpsc::UnboundedSender<Event>,
    centre: id::DataCentre,
    past: Arc<Past>,
}

/// Where operators connect.
pub struct Server {
    /// The listening socket.
    pub listener: TcpListener,
    /// Set when operators connect with TLS.
    pub tls: Option<TlsAcceptor>,
    /// The service.
    pub operators: Operators,
}

impl Server {
    /// Accepts operators until `stop` is cancelled, then finishes the requests
    /// in progress.
    pub async fn run(self, stop: CancellationToken) {
        let open = Arc::new(Semaphore::new(CONNECTIONS));
        let connections = TaskTracker::new();
        while let Some((stream, peer)) = self.accept(&stop).await {
            let Ok(permit) = open.clone().try_acquire_owned() else {
                tracing::warn!(event = "operator_refused", %peer, reason = "connections");
                continue;
            };
            stream.set_nodelay(true).ok();
            let connection = self.operators.clone();
            let (tls, stop) = (self.tls.clone(), stop.clone());
            connections.spawn(async move {
                connect(connection, tls, stream, peer, stop).await;
                drop(permit);
            });
        }
        connections.close();
        connections.wait().await;
    }

    async fn accept(&self, stop: &CancellationToken) -> Option<(TcpStream, SocketAddr)> {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return None,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok(accepted) => return Some(accepted),
                Err(cause) => {
                    tracing::warn!(event = "accept_failed", listener = "operators", %cause);
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn connect(
    operators: Operators,
    tls: Option<TlsAcceptor>,
    stream: TcpStream,
    peer: SocketAddr,
    stop: CancellationToken,
) {
    let Some(tls) = tls else {
        return serve(operators, stream, peer, stop).await;
    };
    match time::timeout(FIRST_TIME, tls.accept(stream)).await {
        Ok(Ok(stream)) => serve(operators, stream, peer, stop).await,
        Ok(Err(cause)) => {
            tracing::info!(event = "handshake_failed", listener = "operators", %peer, %cause);
        }
        Err(_) => tracing::info!(event = "handshake_timeout", listener = "operators", %peer),
    }
}

async fn serve<S>(operators: Operators, stream: S, peer: SocketAddr, stop: CancellationToken)
where
    S: AsyncRead + AsyncWrite + Send + 'static,
{
    let config = Config {
        pending_response_buffer: REQUESTS,
    };
    let channel = BaseChannel::new(config, api::router_side(stream));
    let requests = channel
        .max_concurrent_requests(REQUESTS)
        .execute(operators.serve());
    let mut requests = Box::pin(requests);
    let running = TaskTracker::new();
    let mut patience = FIRST_TIME;
    loop {
        let next = tokio::select! {
            () = stop.cancelled() => break,
            next = time::timeout(patience, requests.next()) => next,
        };
        match next {
            Ok(Some(request)) => {
                running.spawn(request);
            }
            Ok(None) => break,
            // An order that takes long keeps its connection.
            Err(_) if !running.is_empty() => {}
            Err(_) => {
                tracing::info!(event = "operator_idle", %peer);
                break;
            }
        }
        patience = IDLE_TIME;
    }
    finish(&running, requests).await;
}

/// Waits for the requests in progress, while the channel sends their answers.
async fn finish<R>(
    running: &TaskTracker,
    mut requests: impl futures_util::Stream<Item = R> + Unpin,
) {
    running.close();
    let drain = async { while requests.next().await.is_some() {} };
    tokio::select! {
        () = running.wait() => {}
        () = drain => running.wait().await,
    }
    // Polling the channel sends the last answers.
    time::timeout(LAST_TIME, requests.next()).await.ok();
}

impl api::Operator for Operators {
    async fn ask(self, _: Context, key: Key, query: Query) -> Result<Answer, Refusal> {
        let (conf, operator) = self.admit(&key, query.role()).await?;
        self.answer(conf, operator, query).await
    }

    async fn give(self, _: Context, key: Key, given: Given) -> Result<answer::Accepted, Refusal> {
        let (_, operator) = self.admit(&key, given.order.role()).await?;
        let id = given.id;
        let outcome = self.order(&operator.id, given).await;
        match &outcome {
            Ok(accepted) => {
                tracing::info!(event = "order_accepted", command = %id, operator = %operator.id, version = %accepted.version);
            }
            Err(refusal) => {
                tracing::info!(event = "order_refused", command = %id, operator = %operator.id, cause = %refusal);
            }
        }
        outcome
    }

    async fn preview(self, _: Context, key: Key, order: Order) -> Result<answer::Preview, Refusal> {
        let (conf, _) = self.admit(&key, order.role()).await?;
        let base = conf.version();
        if let Order::Change(change) = &order {
            let next = conf.apply(change).map_err(rejected)?;
            let lines = lines(&difference::text(&conf, &next));
            return Ok(answer::Preview { base, lines });
        }
        let platform = self.commit().await?.platform;
        let prepared = self.prepare(&platform, &order).await?;
        let lines = prepared.map_or_else(Vec::new, |prepared| operate_plan::lines(&prepared.plan));
        Ok(answer::Preview { base, lines })
    }
}

impl Operators {
    /// Makes the service; `events` reaches the control thread.
    pub fn new(
        snapshot: Arc<ArcSwap<Snapshot>>,
        events: mpsc::UnboundedSender<Event>,
        centre: id::DataCentre,
    ) -> Self {
        Self {
            snapshot,
            events,
            centre,
            past: Arc::default(),
        }
    }

    /// Reads the common state on the control thread, so that an answer has
    /// what was accepted before the question.
    async fn inspect<T: Send + 'static>(
        &self,
        look: impl FnOnce(&Node) -> T + Send + 'static,
    ) -> Result<T, Refusal> {
        self.control(|reply| {
            let inspect = Inspect::new(move |node| {
                reply.send(look(node)).ok();
            });
            Event::Node(Signal::Inspect(inspect))
        })
        .await
    }

    async fn control<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> Event,
    ) -> Result<T, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.events.send(event(reply)).ok();
        answer
            .await
            .map_err(|_| Refusal::Unavailable(CommitError::Stopping.to_string()))
    }

    /// Identifies the operator and checks the role.
    async fn admit(
        &self,
        key: &Key,
        role: state::Role,
    ) -> Result<(Arc<state::Configuration>, Arc<state::Operator>), Refusal> {
        if !self.snapshot.load().ready {
            let reason = "this router does not know the configuration yet; try another one";
            return Err(Refusal::Unavailable(reason.to_owned()));
        }
        let conf = self.inspect(|node| node.conf().clone()).await?;
        let hash = KeyHash::of(&key.0);
        let operator = conf.operator_of(&hash).cloned().ok_or(Refusal::Key)?;
        if !operator.may(role) {
            return Err(Refusal::Role {
                operator: operator.id.clone(),
                role,
            });
        }
        Ok((conf, operator))
    }

    async fn commit(&self) -> Result<Commit, Refusal> {
        self.inspect(Node::commit).await
    }

    async fn order(&self, who: &id::OperatorId, given: Given) -> Result<answer::Accepted, Refusal> {
        if given.why.len() > api::MAX_WHY {
            let most = api::MAX_WHY;
            return Err(Refusal::Rejected(format!(
                "a reason has at most {most} bytes"
            )));
        }
        let commit = self.commit().await?;
        match &given.order {
            Order::Change(change) => self.commit_change(&commit, who, &given, change).await,
            _ => self.commit_plan(&commit, who, &given).await,
        }
    }

    /// Commits an order about a plan. When a plan changes meanwhile, such as when
    /// a process advances it, the order is prepared again.
    async fn commit_plan(
        &self,
        commit: &Commit,
        who: &id::OperatorId,
        given: &Given,
    ) -> Result<answer::Accepted, Refusal> {
        if let Some(version) = accepted(commit, given.id).await? {
            return Ok(answer::Accepted { version });
        }
        for _ in 0..PLAN_ATTEMPTS {
            let Some(prepared) = self.prepare(&commit.platform, &given.order).await? else {
                break;
            };
            let command = record(who, given, prepared.change.clone());
            let outcome = commit.run_with(command, given.base, &prepared.rows).await;
            if matches!(outcome, Err(CommitError::Changed(_))) {
                continue;
            }
            let version = self.version(commit, outcome).await?;
            self.same(given.id, prepared.change).await?;
            return Ok(answer::Accepted { version });
        }
        let reason = "the plan changes all the time; try again shortly";
        Err(Refusal::Unavailable(reason.to_owned()))
    }

    async fn prepare(
        &self,
        platform: &Platform,
        order: &Order,
    ) -> Result<Option<operate_plan::Prepared>, Refusal> {
        let service = match order {
            Order::Plan(request) => Some(request.service.clone()),
            _ => None,
        };
        let (conf, targets) = self
            .inspect(move |node| {
                let rows = node.exchange.members.targets(node.clock.now());
                let own = rows.into_iter().filter(|row| row.member.service == service);
                let targets: BTreeMap<_, _> = own
                    .filter_map(|row| Some((row.member.target?, condition(row.standing))))
                    .collect();
                (node.conf().clone(), targets)
            })
            .await?;
        operate_plan::prepare(platform, &conf, targets, order)
            .await
            .map_err(|error| match error {
                PlanError::Table(fault) => unread(fault),
                other => Refusal::Rejected(other.to_string()),
            })
    }

    async fn commit_change(
        &self,
        commit: &Commit,
        who: &id::OperatorId,
        given: &Given,
        change: &Change,
    ) -> Result<answer::Accepted, Refusal> {
        if let Change::LiftQuarantine(content) = change {
            self.quarantined(commit, given.id, *content).await?;
        }
        let command = record(who, given, change.clone());
        let outcome = commit.run(command, given.base).await;
        let version = self.version(commit, outcome).await?;
        if let Change::LiftQuarantine(content) = change {
            self.events.send(Event::Lift(*content)).ok();
        }
        self.same(given.id, change.clone()).await?;
        Ok(answer::Accepted { version })
    }

    /// Returns the version of a committed command, or makes the report for the
    /// operator.
    async fn version(
        &self,
        commit: &Commit,
        outcome: Result<id::Version, CommitError>,
    ) -> Result<id::Version, Refusal> {
        match outcome {
            Ok(version) => Ok(version),
            Err(CommitError::Overtaken { base, head }) => {
                Err(self.overtaken(commit, base, head).await?)
            }
            Err(error) => Err(refusal(error)),
        }
    }

    /// Checks that this router knows crashes that count against a content,
    /// unless an earlier attempt of the command has lifted it.
    async fn quarantined(
        &self,
        commit: &Commit,
        command: id::CommandId,
        content: id::Fingerprint,
    ) -> Result<(), Refusal> {
        let suspects = self.quarantine().await?;
        if suspects.iter().any(|entry| entry.fingerprint == content) {
            return Ok(());
        }
        match accepted(commit, command).await? {
            Some(_) => Ok(()),
            None => {
                let reason = format!("content {content} is not in quarantine");
                Err(Refusal::Rejected(reason))
            }
        }
    }

    /// Makes the report for an operator who has seen `base` while the head is
    /// another version.
    async fn overtaken(
        &self,
        commit: &Commit,
        base: id::Version,
        head: id::Version,
    ) -> Result<Refusal, Refusal> {
        if base > head {
            let reason = format!("version {base} does not exist; the newest is {head}");
            return Err(Refusal::Rejected(reason));
        }
        let mut winners = commit.platform.changes(base).await.map_err(unread)?;
        winners.retain(|row| row.version <= head);
        let platform = &commit.platform;
        let old = self.past.at(platform, base).await.map_err(lost)?;
        let new = self.past.at(platform, head).await.map_err(lost)?;
        Ok(Refusal::Conflict(api::Conflict {
            winners: winners.iter().map(|row| row.as_ref().clone()).collect(),
            differences: lines(&difference::text(&old, &new)),
        }))
    }

    /// Checks that an accepted command id stands for this change and not for
    /// another one.
    async fn same(&self, id: id::CommandId, change: Change) -> Result<(), Refusal> {
        let other = self
            .inspect(move |node| {
                let found = node.history.rows().find(|row| row.command.id == id);
                found.filter(|row| row.command.change != change).cloned()
            })
            .await?;
        match other {
            None => Ok(()),
            Some(row) => Err(Refusal::Rejected(format!(
                "command {id} was used for another order, which is version {}",
                row.version
            ))),
        }
    }

    async fn answer(
        &self,
        conf: Arc<state::Configuration>,
        operator: Arc<state::Operator>,
        query: Query,
    ) -> Result<Answer, Refusal> {
        match query {
            Query::Targets => self.targets().await.map(Answer::Targets),
            Query::Teams => Ok(Answer::Teams(owned(conf.teams().values()))),
            Query::Services => Ok(Answer::Services(owned(conf.services().values()))),
            Query::Rules => Ok(Answer::Rules(owned(conf.rules().values()))),
            Query::Operators => Ok(Answer::Operators(owned(conf.operators().values()))),
            Query::Overrides => Ok(Answer::Overrides(owned(conf.overrides().values()))),
            Query::Loads => self.targets().await.map(|all| Answer::Loads(loads(&all))),
            Query::Plans => {
                let platform = self.commit().await?.platform;
                let rows = operate_plan::plans(&platform).await.map_err(unread)?;
                Ok(Answer::Plans(rows.into_iter().map(|row| row.1).collect()))
            }
            Query::Quarantine => self.quarantine().await.map(Answer::Quarantine),
            Query::Configuration(version) => {
                let shown = self.at(&conf, version.unwrap_or(conf.version())).await?;
                Ok(Answer::Configuration(Box::new(shown.as_ref().clone())))
            }
            Query::Difference(from, to) => {
                let (old, new) = (self.at(&conf, from).await?, self.at(&conf, to).await?);
                let lines = lines(&difference::text(&old, &new));
                Ok(Answer::Difference(answer::Difference { from, to, lines }))
            }
            Query::Changes(last) => self.changes(last).await.map(Answer::Changes),
            Query::Lagging => {
                let mut versions = self.versions().await?;
                let own = versions.version;
                versions.list.retain(|member| member.version < own);
                Ok(Answer::Lagging(versions))
            }
            Query::Versions => self.versions().await.map(Answer::Versions),
            Query::Explain(chat) => self.explain(&conf, &chat).map(Answer::Explanation),
            Query::Record(after) => self.record(&conf, after).await.map(Answer::Record),
            Query::Me => Ok(Answer::Me(answer::Me {
                operator: operator.id.clone(),
                roles: operator.roles.iter().copied().collect(),
                version: conf.version(),
            })),
        }
    }

    async fn targets(&self) -> Result<Vec<answer::Target>, Refusal> {
        let snapshot = self.snapshot.load_full();
        let versions = self.versions().await?;
        let version = |process: &id::ProcessId| {
            let member = versions
                .list
                .iter()
                .find(|member| member.process == *process);
            member.map_or(id::Version::default(), |member| member.version)
        };
        let mut targets = Vec::new();
        for (service, group) in &snapshot.groups {
            for target in group.view.targets() {
                targets.push(answer::Target {
                    service: service.clone(),
                    target: target.id.clone(),
                    centre: target.centre.clone(),
                    standing: target.standing.to_string(),
                    weight: target.weight,
                    load: target.load,
                    cap: target.cap,
                    version: version(&target.process),
                });
            }
        }
        Ok(targets)
    }

    async fn quarantine(&self) -> Result<Vec<answer::Suspect>, Refusal> {
        let suspects = self
            .inspect(|node| node.exchange.suspects(node.clock.now()))
            .await?;
        let judged = suspects::judge(&suspects);
        let shown = suspects
            .into_iter()
            .filter(|entry| !entry.crashes.is_empty());
        Ok(shown
            .map(|entry| {
                let fingerprint = id::Fingerprint(entry.fingerprint);
                let targets: BTreeSet<String> = entry
                    .crashes
                    .into_iter()
                    .map(|crash| crash.target)
                    .collect();
                answer::Suspect {
                    fingerprint,
                    service: entry.service,
                    targets: targets.into_iter().collect(),
                    refused: judged.contains(&fingerprint),
                    remaining: span::Span::from_millis(entry.remaining.into()),
                }
            })
            .collect())
    }

    async fn versions(&self) -> Result<answer::Versions, Refusal> {
        self.inspect(|node| {
            let members = &node.exchange.members;
            let mut rows = members.rows(node.clock.now());
            rows.retain(|row| row.standing != member::Standing::Listed);
            rows.sort_by(|left, right| left.member.process.cmp(&right.member.process));
            let own = &node.settings.process;
            let version = node.history.version();
            let list = rows.into_iter().map(|row| answer::Member {
                role: match row.member.role {
                    member::Role::Router => "router".to_owned(),
                    member::Role::Agent => "agent".to_owned(),
                },
                // This process tells its version to others with the next report.
                version: match row.member.process == *own {
                    true => version,
                    false => row.member.version,
                },
                process: row.member.process,
            });
            let list: Vec<answer::Member> = list.collect();
            let lowest = list.iter().map(|member| member.version).min();
            answer::Versions {
                version,
                lowest: lowest.unwrap_or(version),
                members: u32::try_from(list.len()).unwrap_or(u32::MAX),
                list,
            }
        })
        .await
    }

    async fn changes(&self, last: u32) -> Result<Vec<row::ChangeRow>, Refusal> {
        let last = u64::from(last);
        let (from, kept) = self
            .inspect(move |node| {
                let from = id::Version(node.history.version().0.saturating_sub(last));
                (from, node.history.since(from))
            })
            .await?;
        let rows = match kept {
            Some(rows) => rows,
            None => {
                let platform = self.commit().await?.platform;
                platform.changes(from).await.map_err(unread)?
            }
        };
        let latest = fitting(rows.iter().rev());
        Ok(latest.into_iter().rev().collect())
    }

    async fn record(
        &self,
        conf: &state::Configuration,
        after: id::Version,
    ) -> Result<answer::Page, Refusal> {
        let platform = self.commit().await?.platform;
        let rows = platform.changes(after).await.map_err(unread)?;
        Ok(answer::Page {
            changes: fitting(rows.iter()),
            newest: conf.version(),
        })
    }

    async fn at(
        &self,
        conf: &Arc<state::Configuration>,
        version: id::Version,
    ) -> Result<Arc<state::Configuration>, Refusal> {
        let newest = conf.version();
        if version == newest {
            return Ok(conf.clone());
        }
        if version > newest {
            let reason = format!("version {version} does not exist; the newest is {newest}");
            return Err(Refusal::Rejected(reason));
        }
        let platform = self.commit().await?.platform;
        self.past.at(&platform, version).await.map_err(lost)
    }

    fn explain(
        &self,
        conf: &state::Configuration,
        chat: &Chat,
    ) -> Result<answer::Explanation, Refusal> {
        let share = conf
            .share(&chat.team, &chat.service)
            .ok_or_else(|| Refusal::Rejected(format!("team {} does not exist", chat.team)))?;
        if !conf.services().contains_key(&chat.service) {
            let reason = format!("service {} does not exist", chat.service);
            return Err(Refusal::Rejected(reason));
        }
        let owner = [chat.team.as_str(), chat.service.as_str(), &chat.text];
        let hash = id::ChatHash(hash::parts(owner.map(str::as_bytes)));
        let mut explanation = answer::Explanation {
            chat: hash,
            target: None,
            reason: "the service has no agents".to_owned(),
            previous: None,
            passed: Vec::new(),
            share,
        };
        let snapshot = self.snapshot.load_full();
        let Some(group) = snapshot.groups.get(&chat.service) else {
            return Ok(explanation);
        };
        let query = choose::Query {
            chat: hash,
            turns: chat.turns,
            prefix: 0,
            centre: self.centre.clone(),
            hint: None,
            tried: Vec::new(),
        };
        let choice = choose::choose(&group.view, &query, hash.0);
        explanation.target = choice.target.map(|target| target.id.clone());
        explanation.previous = choice.previous.map(|target| target.id.clone());
        explanation.reason = choice.reason.to_string();
        let passed = choice.rejected.into_iter().map(|rejected| answer::Passed {
            target: rejected.target,
            cause: rejected.cause.to_string(),
        });
        explanation.passed = passed.collect();
        Ok(explanation)
    }
}

fn loads(targets: &[answer::Target]) -> Vec<answer::Load> {
    let mut loads: Vec<answer::Load> = Vec::new();
    for target in targets {
        let known = loads.last().map(|load| &load.service);
        if known != Some(&target.service) {
            loads.push(answer::Load {
                service: target.service.clone(),
                open: 0,
                targets: 0,
                load: 0,
                highest: 0,
                cap: 0,
            });
        }
        let Some(load) = loads.last_mut() else {
            continue;
        };
        let is_open = target.weight > 0 && matches!(target.standing.as_str(), "up" | "warming");
        load.open += u32::from(is_open);
        load.targets += 1;
        load.load += target.load;
        load.highest = load.highest.max(target.load);
        load.cap += target.cap;
    }
    loads
}

/// Makes the command that is recorded for an order.
fn record(who: &id::OperatorId, given: &Given, change: Change) -> row::Command {
    row::Command {
        id: given.id,
        who: who.clone(),
        why: given.why.clone(),
        when: now(),
        change,
    }
}

/// Returns the version at which a command was accepted before.
async fn accepted(commit: &Commit, command: id::CommandId) -> Result<Option<id::Version>, Refusal> {
    let key = row::command_key(command);
    let Some(found) = commit.platform.row(&key).await.map_err(unread)? else {
        return Ok(None);
    };
    let recorded: row::CommandRow = found
        .read(&key)
        .map_err(|cause| Refusal::Unavailable(cause.to_string()))?;
    Ok(Some(recorded.version))
}

fn condition(standing: member::Standing) -> Condition {
    match standing {
        member::Standing::Up => Condition::Up,
        _ => Condition::Other,
    }
}

/// Returns the first rows, as far as they fit into an answer.
fn fitting<'a>(rows: impl Iterator<Item = &'a Arc<row::ChangeRow>>) -> Vec<row::ChangeRow> {
    let mut size = 0;
    rows.take_while(|row| {
        let json = serde_json::to_vec(row.as_ref());
        size += json.map_or(0, |json| json.len());
        size <= MAX_ROWS
    })
    .map(|row| row.as_ref().clone())
    .collect()
}

fn owned<'a, T: Clone + 'a>(values: impl Iterator<Item = &'a Arc<T>>) -> Vec<T> {
    values.map(|value| value.as_ref().clone()).collect()
}

fn lines(text: &str) -> Vec<String> {
    text.lines().map(str::to_owned).collect()
}

fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

fn rejected(cause: conf::change::Rejection) -> Refusal {
    Refusal::Rejected(cause.to_string())
}

fn unread(fault: Fault) -> Refusal {
    Refusal::Unavailable(format!("the table does not answer: {fault}"))
}

fn lost(error: PastError) -> Refusal {
    match error {
        PastError::Table(fault) => unread(fault),
        other => Refusal::Unavailable(other.to_string()),
    }
}

fn refusal(error: CommitError) -> Refusal {
    match error {
        CommitError::Refused(accept::Refusal::Rejected(cause)) => rejected(cause),
        CommitError::Conflict(conflict) => Refusal::Conflict(api::Conflict {
            winners: conflict
                .winners
                .iter()
                .map(|row| row.as_ref().clone())
                .collect(),
            differences: lines(&conflict.differences),
        }),
        CommitError::Undecided(id) => Refusal::Undecided(id),
        error => Refusal::Unavailable(error.to_string()),
    }
}
