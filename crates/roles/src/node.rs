//! The control state that routers and agents have in common: members, the
//! exchange with other processes and the configuration in use.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use base::{hash, id, span, time};
use conf::{command, history, row, settings, state};
use fleet::{budget, convert, exchange, member, rules};
use tokio::sync::{mpsc, oneshot};
use wire::msg;

use crate::{commit, failure::Failure, follow, link::Links, platform::Platform};

/// Time after the start during which a process waits for a peer to tell its
/// version, before the table alone decides that it is up to date.
const JOIN_WAIT: span::Span = span::Span::from_secs(2);

/// Part of the table's rates that an agent of a plain service gets, relative to
/// other processes.
const CLAIM_WEIGHT: f64 = 20.0;

/// What concerns the common state.
#[derive(Debug)]
pub enum Signal {
    /// Another process started an exchange.
    Received(Box<msg::Exchange>, oneshot::Sender<msg::Exchange>),
    /// An exchange that this process started has ended.
    Answered(
        exchange::Partner,
        Result<Box<msg::Exchange>, member::Failure>,
    ),
    /// A message of another process had this stamp.
    Stamp(msg::SenderStatus),
    /// Another process asks for the changes after a version.
    Asked(id::Version, oneshot::Sender<Vec<msg::Change>>),
    /// Changes arrived, or the head of the table was read.
    Offer(
        Vec<Arc<row::ChangeRow>>,
        Option<row::Head>,
        Option<oneshot::Sender<id::Version>>,
    ),
    /// A snapshot of the configuration arrived.
    Snapshot(Box<row::Snapshot>),
    /// A command is to be prepared.
    Prepare(
        Box<row::Command>,
        history::Answers,
        oneshot::Sender<Result<command::Proposal, command::Refusal>>,
    ),
    /// Peers to ask for changes, with the version here.
    Peers(oneshot::Sender<(Vec<SocketAddr>, id::Version)>),
    /// A fetch of changes has ended.
    Fetched,
    /// The instance list was read.
    Instances(member::Instances),
    /// The common state is to be read.
    Inspect(Inspect),
}

/// Reads the common state on the control thread.
pub struct Inspect(Box<dyn FnOnce(&Node) + Send>);

impl Inspect {
    /// Makes it of a function that sends what it reads.
    pub fn new(look: impl FnOnce(&Node) + Send + 'static) -> Self {
        Self(Box::new(look))
    }
}

impl std::fmt::Debug for Inspect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Inspect")
    }
}

/// What a signal changed.
#[derive(Debug, Default)]
pub struct Changed {
    /// Whether members or loads changed.
    pub members: bool,
    /// Quarantine entries that were new.
    pub suspects: Vec<msg::Suspect>,
    /// Whether a newer configuration is in use.
    pub configuration: bool,
    /// The incarnation that the fleet knows of this process, when it is above
    /// its own.
    pub renumber: Option<id::Incarnation>,
    /// Whether the instance list says that this instance leaves.
    pub leaving: bool,
}

/// The common state; owned by the control thread.
pub struct Node {
    /// This process's clock.
    pub clock: time::Clock,
    /// Settings of this process.
    pub settings: Arc<settings::Settings>,
    /// Members and exchange.
    pub exchange: exchange::Exchange,
    /// Budget of control traffic.
    pub budget: budget::Budget,
    /// The accepted changes and the configuration in use.
    pub history: history::History,
    /// Connections to other processes.
    pub links: Arc<Links>,
    /// The platform's services.
    pub platform: Platform,
    due: time::Mono,
    polls: follow::Polls,
    /// Processes that told their version since the start.
    answered: BTreeSet<id::ProcessId>,
    signals: mpsc::UnboundedSender<Signal>,
}

/// Bits of an incarnation below the time of the start.
const RANDOM_BITS: u32 = 20;

/// Makes the incarnation of this run: the time of the start orders the runs,
/// and random bits keep two runs of one millisecond apart.
pub fn incarnation() -> id::Incarnation {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis() as u64);
    let random = base::id::random_bits() as u64 & ((1 << RANDOM_BITS) - 1);
    id::Incarnation((millis << RANDOM_BITS) | random)
}

fn own(settings: &settings::Settings, incarnation: id::Incarnation) -> member::Member {
    let agent = settings.agent.as_ref();
    member::Member {
        process: settings.process.clone(),
        incarnation,
        sequence: id::Sequence(0),
        role: match settings.role {
            settings::Role::Router => member::Role::Router,
            settings::Role::Agent => member::Role::Agent,
        },
        address: settings.advertise,
        centre: settings.data_centre.clone(),
        service: agent.map(|agent| agent.service.clone()),
        target: agent.map(|agent| agent.target.clone()),
        weight: agent.map_or(0, |agent| agent.weight.get()),
        standing: member::Standing::Listed,
        version: id::Version::default(),
        load: 0,
        cap: 0,
        age: span::Span::ZERO,
    }
}

impl Node {
    /// Makes the state of a starting process.
    pub fn new(
        settings: Arc<settings::Settings>,
        incarnation: id::Incarnation,
        links: Arc<Links>,
        platform: Platform,
        signals: mpsc::UnboundedSender<Signal>,
    ) -> Self {
        let clock = time::Clock::start();
        let now = clock.now();
        let exchange = exchange::Exchange::new(
            now,
            own(&settings, incarnation),
            rules::Rules::default(),
            settings.seeds.clone(),
            incarnation.0,
        );
        Self {
            clock,
            exchange,
            budget: budget::Budget::joining(now),
            history: history::History::new(),
            links,
            platform,
            due: now,
            polls: follow::Polls::new(now, incarnation.0, settings.role),
            answered: BTreeSet::new(),
            signals,
            settings,
        }
    }

    /// Returns this process's stamp.
    pub fn stamp(&self) -> msg::SenderStatus {
        convert::sender_status_record(self.exchange.members.own())
    }

    /// Returns the bytes of control traffic since the start.
    pub fn control_bytes(&self) -> u64 {
        self.budget.spent()
    }

    /// Returns when [`Node::tick`] has something to do.
    pub fn due(&mut self) -> time::Mono {
        let now = self.clock.now();
        self.exchange.due(now, &mut self.budget).min(self.due)
    }

    /// Returns the configuration in use.
    pub fn conf(&self) -> &Arc<state::Configuration> {
        self.history.configuration()
    }

    /// Returns what a command needs.
    pub fn commit(&self) -> commit::Commit {
        commit::Commit {
            platform: self.platform.clone(),
            links: self.links.clone(),
            signals: self.signals.clone(),
        }
    }

    /// Starts the exchange that is due, and once in an interval removes silent
    /// members and reads from the platform; returns whether members changed.
    pub fn tick(&mut self) -> bool {
        let now = self.clock.now();
        if self.exchange.due(now, &mut self.budget) <= now {
            self.start_exchange(now);
        }
        if self.due > now {
            return false;
        }
        self.due = now + exchange::INTERVAL;
        self.poll(now);
        let removed = self.exchange.members.expire(now);
        let known: BTreeSet<SocketAddr> = self
            .exchange
            .members
            .known()
            .map(|member| member.address)
            .chain(self.settings.seeds.iter().copied())
            .collect();
        self.links.retain(|peer| known.contains(peer));
        for process in &removed {
            tracing::warn!(event = "member_removed", process = %process, reason = "silent");
        }
        !removed.is_empty()
    }

    fn start_exchange(&mut self, now: time::Mono) {
        let Some(partner) = self.exchange.next_partner(now) else {
            return;
        };
        let Some(message) = self.exchange.compose(now, &mut self.budget, &partner) else {
            return;
        };
        let links = self.links.clone();
        let signals = self.signals.clone();
        tokio::spawn(async move {
            let answer = call(&links, partner.address, &message).await;
            signals.send(Signal::Answered(partner, answer)).ok();
        });
    }

    /// Takes in a signal.
    pub fn signal(&mut self, signal: Signal) -> Changed {
        let now = self.clock.now();
        match signal {
            Signal::Received(message, reply) => {
                let (answer, applied) = self.exchange.answer(now, &mut self.budget, &message);
                reply.send(answer).ok();
                self.applied(now, applied, sender(&message))
            }
            Signal::Answered(partner, Ok(message)) => {
                if let Some(process) = &partner.process {
                    self.exchange.members.record_success(process);
                }
                let applied = self.exchange.apply(now, &mut self.budget, &message);
                self.applied(now, applied, sender(&message))
            }
            Signal::Answered(partner, Err(failure)) => {
                self.exchange.record_failure(now, &partner, failure);
                tracing::debug!(event = "exchange_failed", peer = %partner.address);
                Changed {
                    members: true,
                    ..Changed::default()
                }
            }
            Signal::Stamp(stamp) => self.stamped(now, &stamp),
            Signal::Asked(version, reply) => {
                reply.send(follow::told(&self.history, version)).ok();
                Changed::default()
            }
            Signal::Offer(rows, head, reply) => {
                let changed = self.offer(rows, head);
                if let Some(reply) = reply {
                    reply.send(self.history.version()).ok();
                }
                changed
            }
            Signal::Snapshot(snapshot) => self.adopt(*snapshot),
            Signal::Prepare(command, answers, reply) => {
                reply
                    .send(command::prepare(&self.history, *command, answers))
                    .ok();
                Changed::default()
            }
            Signal::Peers(reply) => {
                reply.send((self.peers(now), self.history.version())).ok();
                Changed::default()
            }
            Signal::Inspect(Inspect(look)) => {
                look(self);
                Changed::default()
            }
            Signal::Fetched => {
                self.polls.fetching = false;
                Changed::default()
            }
            Signal::Instances(list) => {
                let changed = self.exchange.members.apply_list(now, &list);
                for process in &changed {
                    tracing::info!(event = "instance_changed", process = %process);
                }
                let own = &self.settings.process;
                let leaving = |entry: &member::Instance| entry.leaving && entry.process == *own;
                Changed {
                    members: !changed.is_empty(),
                    leaving: list.instances.iter().any(leaving),
                    ..Changed::default()
                }
            }
        }
    }

    /// Takes in change rows and the head of the table.
    fn offer(&mut self, rows: Vec<Arc<row::ChangeRow>>, head: Option<row::Head>) -> Changed {
        let before = self.history.version();
        for row in rows {
            match self.history.offer(row) {
                history::Offer::Forked(fork) => {
                    tracing::error!(event = "configuration_forked", fork = %fork);
                }
                history::Offer::Unusable(cause) => {
                    tracing::error!(event = "change_unusable", %cause);
                }
                _ => {}
            }
        }
        if let Some(head) = head {
            self.observe(head);
        }
        self.adopted(before)
    }

    fn adopt(&mut self, snapshot: row::Snapshot) -> Changed {
        let before = self.history.version();
        if let history::Adoption::Forked(fork) = self.history.adopt(snapshot) {
            tracing::error!(event = "configuration_forked", fork = %fork);
        }
        self.adopted(before)
    }

    fn adopted(&mut self, before: id::Version) -> Changed {
        let version = self.history.version();
        if version > before {
            tracing::info!(event = "configuration_adopted", version = %version, previous = %before);
        }
        Changed {
            configuration: version > before,
            ..Changed::default()
        }
    }

    fn observe(&mut self, head: row::Head) {
        match self.history.observe(head) {
            history::HeadView::Same => {}
            history::HeadView::Ahead(_) => self.fetch(None),
            history::HeadView::Restored(from) => {
                tracing::warn!(event = "table_restored", missing_from = %from, version = %self.history.version());
                self.write_back();
            }
            history::HeadView::Unverified(version) => {
                tracing::warn!(event = "table_unverified", head = %version, version = %self.history.version());
            }
            history::HeadView::Forked(fork) => {
                tracing::error!(event = "configuration_forked", fork = %fork);
            }
        }
    }

    /// Writes the changes that a restored table lacks back to it.
    fn write_back(&self) {
        let Some(transaction) = self.history.write_back() else {
            return;
        };
        let commit = self.commit();
        tokio::spawn(async move {
            commit.platform.commit(&transaction).await;
            follow::read_head(&commit).await;
        });
    }

    /// Fetches newer changes, from a peer or else from the table.
    fn fetch(&mut self, peer: Option<SocketAddr>) {
        if std::mem::replace(&mut self.polls.fetching, true) {
            return;
        }
        let commit = self.commit();
        let version = self.history.version();
        tokio::spawn(async move {
            follow::fetch(&commit, peer, version).await;
            commit.signals.send(Signal::Fetched).ok();
        });
    }

    /// Reads what is due from the platform.
    fn poll(&mut self, now: time::Mono) {
        self.share();
        let commit = self.commit();
        if self.polls.head(now, self.history.head().is_some()) {
            tokio::spawn(async move { follow::read_head(&commit).await });
        }
        let commit = self.commit();
        if self.polls.list(now) {
            tokio::spawn(async move { follow::read_list(&commit).await });
        }
        if !self.history.is_ready() && self.history.version().0 == 0 && self.polls.snapshot(now) {
            let commit = self.commit();
            tokio::spawn(async move { follow::read_snapshot(&commit).await });
        }
    }

    /// Divides the table's rates among the members: an agent of a plain service
    /// writes claims and gets a larger part.
    fn share(&self) {
        let now = self.clock.now();
        let fleet = self.conf().fleet();
        let weight = |service: Option<&id::ServiceId>| {
            let service = service.and_then(|id| self.conf().services().get(id));
            match service.is_some_and(|service| service.kind == state::Kind::Plain) {
                true => CLAIM_WEIGHT,
                false => 1.0,
            }
        };
        let rows = self.exchange.members.rows(now);
        let total: f64 = rows
            .iter()
            .map(|row| weight(row.member.service.as_ref()))
            .sum();
        let own = weight(self.exchange.members.own().service.as_ref());
        self.platform
            .share(fleet.table_reads, fleet.table_writes, own, total.max(own));
    }

    /// Returns up to three peers to ask for changes; they change with time.
    fn peers(&self, now: time::Mono) -> Vec<SocketAddr> {
        let own = &self.settings.process;
        let mut rows = self.exchange.members.rows(now);
        rows.retain(|row| {
            row.member.process != *own
                && !matches!(
                    row.standing,
                    member::Standing::Listed | member::Standing::Down
                )
        });
        let turn = now.0;
        rows.sort_by_key(|row| hash::mix(turn, member::process_key(&row.member.process)));
        rows.truncate(history::ASKED);
        rows.iter().map(|row| row.member.address).collect()
    }

    /// Has the instance list read soon, for an agent that is not known here.
    pub fn seek(&mut self, now: time::Mono) {
        if self.polls.seek(now) {
            self.due = now;
        }
    }

    /// Returns whether this process may serve: it uses a configuration and no
    /// source that it can reach has a newer one.
    pub fn ready(&mut self) -> bool {
        let now = self.clock.now();
        if self.history.is_ready() {
            return self.history.version().0 > 0;
        }
        let joined = !self.answered.is_empty() || now.since(time::Mono(0)) > JOIN_WAIT;
        if !joined {
            return false;
        }
        let reporting = self.exchange.members.reporting().saturating_sub(1);
        let answers = history::Answers {
            known: reporting,
            answered: self.answered.len(),
            newest: self.history.newest(),
        };
        let readiness = self.history.readiness(answers);
        self.polls.explain(now, &readiness);
        readiness == history::Readiness::Ready && self.history.version().0 > 0
    }

    fn stamped(&mut self, now: time::Mono, stamp: &msg::SenderStatus) -> Changed {
        let Ok(known) = convert::sender_status(stamp) else {
            return Changed::default();
        };
        self.exchange.apply_status(now, &known);
        self.heard(now, &known.process, known.version);
        Changed {
            members: true,
            ..Changed::default()
        }
    }

    fn applied(
        &mut self,
        now: time::Mono,
        applied: exchange::Applied,
        sender: Option<id::ProcessId>,
    ) -> Changed {
        if applied.invalid > 0 {
            tracing::warn!(event = "exchange_invalid", records = applied.invalid);
        }
        for process in &applied.changed {
            let row = self.exchange.members.get(now, process);
            let standing = row.map_or("removed".to_owned(), |row| format!("{:?}", row.standing));
            tracing::info!(event = "member_changed", process = %process, standing = standing.to_lowercase());
        }
        if let Some(sender) = sender {
            let newer = applied.newer_version.unwrap_or_default();
            self.answered.insert(sender.clone());
            self.heard(now, &sender, newer);
        }
        Changed {
            members: true,
            suspects: applied.suspects,
            renumber: applied.higher_incarnation,
            ..Changed::default()
        }
    }

    /// Notes a peer's version and asks it for its changes when it is newer.
    fn heard(&mut self, now: time::Mono, peer: &id::ProcessId, version: id::Version) {
        if self.history.hear(version) {
            let address = self.address(now, peer);
            self.fetch(address);
        }
    }

    /// Returns the address of a member.
    pub fn address(&self, now: time::Mono, process: &id::ProcessId) -> Option<SocketAddr> {
        let row = self.exchange.members.get(now, process)?;
        Some(row.member.address)
    }

    /// Sets what this process tells about itself.
    pub fn tell(&mut self, standing: member::Standing, load: u32, cap: u32) {
        let now = self.clock.now();
        let version = self.history.version();
        self.exchange.update(now, standing, version, load, cap);
    }
}

fn sender(message: &msg::Exchange) -> Option<id::ProcessId> {
    message.sender.as_ref()?.process.parse().ok()
}

/// Time for one exchange; a partner that does not answer counts as failed.
const EXCHANGE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

async fn call(
    links: &Links,
    peer: SocketAddr,
    message: &msg::Exchange,
) -> Result<Box<msg::Exchange>, member::Failure> {
    let exchange = async {
        let response = links.call(peer, "/exchange", message).await;
        match response {
            Ok(response) => Links::read(peer, "/exchange", response)
                .await
                .map(Box::new)
                .map_err(|_| member::Failure::Other),
            Err(Failure::NotSent(_)) => Err(member::Failure::Refused),
            Err(Failure::Broken(_)) => Err(member::Failure::Other),
        }
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(member::Failure::Other))
}
