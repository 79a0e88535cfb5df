//! Tells the other routers what this one knows, and hears what they know.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};

use base::{
    fault::{At, Fault},
    hash, id, time,
};
use platform::rows::Position;
use prost::Message;
use rand::{RngExt, seq::IndexedRandom};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::Notify,
    time as timer,
};

use crate::{
    engines,
    exchange::{Exchange, Letter},
    gossip,
    lag::{Lag, State},
    leaving::Leave,
    metrics::Counter,
    news::{
        Ask, FallAt, Hold, Left, MAX_DATAGRAM, MOST_FALLS, MOST_HOLDS, MOST_JOINS, MOST_LEAVES,
        News, TargetRow,
    },
    readers::{self, Router},
    recall::{self, Recall, Step},
    relays::{self, CentreHash},
    shared::Shared,
    snapshot,
    view::View,
};

/// Pause after the socket or the listener failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Time for fetching a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The other routers.
#[derive(Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    view: Arc<View>,
    exchange: Mutex<Exchange>,
    lag: Mutex<Lag>,
    recall: Mutex<Recall>,
    /// Wakes the sender before its pause is over.
    pub wake: Notify,
}

impl Peers {
    /// Knows the seeds only.
    pub fn new(shared: Arc<Shared>, view: Arc<View>) -> Arc<Self> {
        let settings = &shared.settings;
        let own = relays::Router {
            address: settings.peers,
            rank: relays::rank(settings.peers),
            centre: CentreHash(hash::bytes(settings.centre.as_str().as_bytes())),
            share: settings.cpu_quota,
            relays: false,
        };
        let run = id::random_bits() as u64;
        let exchange = Exchange::new(own, run, &settings.seeds);
        let first = settings.bootstrap;
        Arc::new(Self {
            shared,
            view,
            exchange: Mutex::new(exchange),
            lag: Mutex::default(),
            recall: Mutex::new(Recall::new(first)),
            wake: Notify::new(),
        })
    }

    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn recall(&self) -> MutexGuard<'_, Recall> {
        self.recall.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this router is among those that read the table often.
    pub fn is_reader(&self) -> bool {
        let heard = self.exchange().heard(self.shared.clock.now());
        let routers = heard.iter().map(|peer| Router {
            rank: peer.rank,
            reads: peer.reads,
        });
        readers::is_reader(relays::rank(self.shared.settings.peers), routers)
    }

    /// Returns the position of the latest change of a target that the relays tell,
    /// if they read the table; a router that is no reader need not do so then.
    pub fn informed(&self) -> Option<Position> {
        if self.is_reader() {
            return None;
        }
        let relays = self.exchange().informed(self.shared.clock.now())?;
        Some(Position(relays))
    }

    /// Takes in the row of a router.
    pub fn list(&self, address: SocketAddr) {
        self.exchange().list(address);
    }

    /// Takes in that a router's row was removed.
    pub fn unlist(&self, address: SocketAddr) {
        self.exchange().unlist(address);
    }

    /// Returns whether this router hears another one.
    pub fn hears(&self, address: SocketAddr) -> bool {
        let now = self.shared.clock.now();
        self.exchange().hears(now, address)
    }

    /// Speaks with the other routers until the runtime ends.
    ///
    /// # Errors
    ///
    /// When the address for peers cannot be bound.
    pub async fn serve(self: Arc<Self>) -> Result<(), Fault> {
        let address = self.shared.settings.peers;
        let socket = Arc::new(UdpSocket::bind(address).await.at("bind", address)?);
        let listener = TcpListener::bind(address).await.at("listen", address)?;
        tokio::spawn(self.clone().answer(listener));
        tokio::spawn(self.clone().hear(socket.clone()));
        loop {
            self.tell(&socket).await;
            self.learn();
            let pause = self.exchange().pause().duration();
            tokio::select! {
                () = timer::sleep(pause) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Sends one round of news.
    async fn tell(&self, socket: &UdpSocket) {
        let now = self.shared.clock.now();
        let letters = self.round(now);
        let base = self.news(now);
        let holds = self.shared.take_holds(MOST_HOLDS);
        for letter in letters {
            for datagram in datagrams(&base, &letter, &holds) {
                for address in &letter.receivers {
                    if let Err(error) = socket.send_to(&datagram, address).await {
                        tracing::debug!(event = "news_unsent", %address, %error);
                    }
                }
            }
        }
    }

    fn round(&self, now: time::Mono) -> Vec<Letter> {
        let fleet = self.shared.fleet.load();
        let loads = fleet.as_ref().map(|fleet| fleet.loads());
        let mut exchange = self.exchange();
        let before = exchange.plan().clone();
        let letters = exchange.round(now, &loads.unwrap_or_default());
        let plan = exchange.plan();
        if *plan != before {
            let (mesh, is_relay) = (plan.mesh, plan.is_relay);
            let through = list(&plan.own);
            tracing::info!(event = "relays", mesh, is_relay, through);
        }
        self.shared.told.note(now, &exchange.knowledge(now));
        let routers = exchange.routers(now);
        self.shared.routers.store(routers, Ordering::Relaxed);
        letters
    }

    /// Returns what every receiver of a round gets.
    fn news(&self, now: time::Mono) -> News {
        let fleet = self.shared.fleet.load();
        let told = fleet.as_ref().map(|fleet| gossip::tell(fleet, now));
        let told = told.unwrap_or_default();
        let mut listed = self.view.listed();
        let leaves = listed.leaves(now, MOST_LEAVES);
        let joins = listed.joins(now, MOST_JOINS).into_iter();
        let joins = joins.map(|(position, target)| TargetRow::new(position, target));
        let joins = joins.collect();
        let changed = listed.changed().0;
        drop(listed);
        let falls = self.shared.poison().falls(now);
        News {
            process: self.shared.settings.process.to_string(),
            version: self.shared.version().0,
            leaves: leaves.iter().map(Left::from).collect(),
            joins,
            changed,
            aside: told.aside,
            slow: told.slow,
            reads: self.shared.reads.load(Ordering::Relaxed),
            knows: self.recall().knows(now),
            falls: falls
                .into_iter()
                .rev()
                .take(MOST_FALLS)
                .map(FallAt::from)
                .collect(),
            ..News::default()
        }
    }

    async fn hear(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, address)) => match News::decode(&buffer[..length]) {
                    Ok(news) => self.take_in(address, &news),
                    Err(error) => tracing::info!(event = "news_unreadable", %address, %error),
                },
                Err(error) => {
                    tracing::warn!(event = "news_failed", %error);
                    timer::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    fn take_in(self: &Arc<Self>, address: SocketAddr, news: &News) {
        let now = self.shared.clock.now();
        self.shared.metrics.count(Counter::News);
        let mut exchange = self.exchange();
        let is_new = !exchange.hears(now, address);
        let Some(changes) = exchange.hear(now, address, news) else {
            return;
        };
        let relays = exchange.serves(now);
        drop(exchange);
        if is_new {
            tracing::info!(event = "peer_heard", peer = news.process, %address);
        }
        if let Some(fleet) = self.shared.fleet.load().as_ref() {
            let learned = gossip::hear(fleet, now, news, &changes);
            if relays {
                self.shared.tell_holds(learned.into_iter());
            }
        }
        for fall in &news.falls {
            self.shared.poison().fall(now, (*fall).into());
        }
        let leaves = news.leaves.iter();
        self.view.told(
            leaves.filter_map(|left| Leave::try_from(left).ok()),
            &news.joins,
        );
        self.catch_up(now, address, news.version);
    }

    /// Fetches a snapshot from a peer that has a newer configuration, or while
    /// no target is known.
    fn catch_up(self: &Arc<Self>, now: time::Mono, address: SocketAddr, version: u64) {
        let state = State {
            own: self.shared.version(),
            told: id::Version(version),
            empty: self.shared.fleet.load().is_none(),
            follows: self.shared.follows.load(Ordering::Relaxed),
        };
        let mut lag = self.lag.lock().unwrap_or_else(PoisonError::into_inner);
        if !lag.is_due(now, state, rand::rng().random()) {
            return;
        }
        drop(lag);
        self.fetch(address, Ask { holds: false });
    }

    /// Learns what engines keep of prompts, once after the start.
    fn learn(self: &Arc<Self>) {
        if self.recall().is_done() {
            return;
        }
        let fleet = self.shared.fleet.load_full();
        let (Some(fleet), Some(routes)) = (fleet, self.shared.routes.load_full()) else {
            return;
        };
        let now = self.shared.clock.now();
        // Routers that start together share the engines before they have heard
        // of one another.
        let listed: Vec<SocketAddr> = self.exchange().listed().collect();
        let heard = self.exchange().heard(now).into_iter();
        let knowing: Vec<SocketAddr> = heard
            .filter(|peer| peer.knows)
            .map(|peer| peer.address)
            .collect();
        let peer = knowing.choose(&mut rand::rng()).copied();
        let step = self.recall().next(now, peer.is_some());
        match (step, peer) {
            (Step::AskPeer, Some(peer)) => self.fetch(peer, Ask { holds: true }),
            (Step::AskEngines, _) => {
                let others: Vec<u64> = listed.into_iter().map(relays::rank).collect();
                let own = relays::rank(self.shared.settings.peers);
                let share = fleet.targets().filter(|target| {
                    let kind = routes.config.services.get(&target.row.service);
                    kind.is_some_and(|kind| kind.engines)
                        && recall::is_own_share(target.hash.0, own, &others)
                });
                for target in share {
                    tokio::spawn(engines::ask(self.shared.clone(), target.clone()));
                }
            }
            _ => {}
        }
    }

    fn fetch(self: &Arc<Self>, address: SocketAddr, ask: Ask) {
        let peers = self.clone();
        tokio::spawn(async move {
            match timer::timeout(FETCH_TIMEOUT, snapshot::fetch(address, ask)).await {
                Ok(Ok(snapshot)) => {
                    peers.view.adopt_snapshot(&snapshot);
                    if ask.holds {
                        let holds = snapshot.holds.len();
                        tracing::info!(event = "kept_parts", source = "peer", %address, holds);
                        peers.recall().learned();
                    }
                }
                Ok(Err(fault)) => tracing::info!(event = "snapshot_failed", %fault),
                Err(_) => tracing::info!(event = "snapshot_late", %address),
            }
        });
    }

    /// Sends a snapshot to each peer that connects.
    async fn answer(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    let sent = snapshot::send(self.view.clone(), stream, address);
                    tokio::spawn(async move {
                        match timer::timeout(FETCH_TIMEOUT, sent).await {
                            Ok(Ok(())) => {}
                            Ok(Err(fault)) => tracing::info!(event = "snapshot_unsent", %fault),
                            Err(_) => tracing::info!(event = "snapshot_unsent", %address),
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    timer::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }
}

/// Encodes a letter; what was learned of prompt parts goes into a datagram of its
/// own if it does not fit.
fn datagrams(base: &News, letter: &Letter, holds: &[Hold]) -> Vec<Vec<u8>> {
    let loads = letter.news.clone();
    let mut news = News {
        process: base.process.clone(),
        version: base.version,
        leaves: base.leaves.clone(),
        joins: base.joins.clone(),
        changed: base.changed,
        aside: base.aside.clone(),
        slow: base.slow.clone(),
        reads: base.reads,
        knows: base.knows,
        falls: base.falls.clone(),
        ..loads
    };
    let holds = if letter.holds { holds } else { &[] };
    news.holds = holds.to_vec();
    if news.encoded_len() <= MAX_DATAGRAM || holds.is_empty() {
        let datagram = news.encode_to_vec();
        if datagram.len() > MAX_DATAGRAM {
            tracing::debug!(event = "news_long", bytes = datagram.len());
        }
        return vec![datagram];
    }
    // The loads go last: a message with an older number would be ignored.
    let parts = News {
        sequence: news.sequence - 1,
        holds: std::mem::take(&mut news.holds),
        version: base.version,
        changed: base.changed,
        reads: base.reads,
        knows: base.knows,
        process: base.process.clone(),
        run: news.run,
        centre: news.centre,
        share: news.share,
        relays: news.relays,
        ..News::default()
    };
    vec![parts.encode_to_vec(), news.encode_to_vec()]
}

fn list(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    addresses.join(",")
}
