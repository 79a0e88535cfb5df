//! The control state that routers and agents have in common: members, the
//! exchange with other processes and the configuration in use.

use std::{net::SocketAddr, sync::Arc};

use base::{id, span, time};
use conf::{settings, state};
use fleet::{budget, convert, exchange, member, rules};
use tokio::sync::{mpsc, oneshot};
use wire::msg;

use crate::{failure::Failure, link::Links};

/// What concerns the common state.
#[derive(Debug)]
pub enum Signal {
    /// Another process started an exchange.
    Received(msg::Exchange, oneshot::Sender<msg::Exchange>),
    /// An exchange that this process started has ended.
    Answered(exchange::Partner, Result<msg::Exchange, member::Failure>),
    /// A message of another process had this stamp.
    Stamp(msg::Stamp),
}

/// What a signal changed.
#[derive(Debug, Default)]
pub struct Changed {
    /// Whether members or loads changed.
    pub members: bool,
    /// Quarantine entries that were new.
    pub suspects: Vec<msg::Suspect>,
    /// Version of the configuration that a peer has and this process has not.
    pub newer: Option<(id::Version, SocketAddr)>,
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
    /// The configuration in use.
    pub conf: Arc<state::Configuration>,
    /// Connections to other processes.
    pub links: Arc<Links>,
    due: time::Mono,
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
            conf: Arc::default(),
            links,
            due: now,
            signals,
            settings,
        }
    }

    /// Returns this process's stamp.
    pub fn stamp(&self) -> msg::Stamp {
        convert::stamp_record(self.exchange.members.own())
    }

    /// Returns when [`Node::tick`] has something to do.
    pub fn due(&self) -> time::Mono {
        self.due
    }

    /// Starts the exchange of this interval and removes silent members.
    pub fn tick(&mut self) -> bool {
        let now = self.clock.now();
        if self.due > now {
            return false;
        }
        self.due = now + exchange::INTERVAL;
        self.start_exchange(now);
        let removed = self.exchange.members.expire(now);
        for process in &removed {
            tracing::warn!(event = "member_removed", process = %process, reason = "silent");
        }
        !removed.is_empty()
    }

    fn start_exchange(&mut self, now: time::Mono) {
        let Some(partner) = self.exchange.partner(now) else {
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
                    self.exchange.members.success(process);
                }
                let applied = self.exchange.apply(now, &mut self.budget, &message);
                self.applied(now, applied, sender(&message))
            }
            Signal::Answered(partner, Err(failure)) => {
                self.exchange.failed(now, &partner, failure);
                tracing::debug!(event = "exchange_failed", peer = %partner.address);
                Changed {
                    members: true,
                    ..Changed::default()
                }
            }
            Signal::Stamp(stamp) => self.stamped(now, &stamp),
        }
    }

    fn stamped(&mut self, now: time::Mono, stamp: &msg::Stamp) -> Changed {
        let Ok(known) = convert::stamp(stamp) else {
            return Changed::default();
        };
        self.exchange.stamp(now, &known);
        let newer = (known.version > self.conf.version())
            .then(|| self.address(now, &known.process))
            .flatten()
            .map(|address| (known.version, address));
        Changed {
            members: true,
            newer,
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
        let newer = applied.newer.and_then(|version| {
            let address = self.address(now, &sender?)?;
            Some((version, address))
        });
        Changed {
            members: true,
            suspects: applied.suspects,
            newer,
        }
    }

    /// Returns the address of a member.
    pub fn address(&self, now: time::Mono, process: &id::ProcessId) -> Option<SocketAddr> {
        let row = self.exchange.members.get(now, process)?;
        Some(row.member.address)
    }

    /// Uses a newer configuration.
    pub fn adopt(&mut self, conf: Arc<state::Configuration>) {
        tracing::info!(event = "configuration_adopted", version = %conf.version(), previous = %self.conf.version());
        self.conf = conf;
    }

    /// Sets what this process tells about itself.
    pub fn tell(&mut self, standing: member::Standing, load: u32, cap: u32) {
        let now = self.clock.now();
        let version = self.conf.version();
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
) -> Result<msg::Exchange, member::Failure> {
    let exchange = async {
        let response = links.call(peer, "/exchange", message).await;
        match response {
            Ok(response) => Links::read(peer, "/exchange", response)
                .await
                .map_err(|_| member::Failure::Other),
            Err(Failure::NotSent(_)) => Err(member::Failure::Refused),
            Err(Failure::Broken(_)) => Err(member::Failure::Other),
        }
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(member::Failure::Other))
}
