//! Tells the other routers what this one knows, and hears what they know.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{
    fault::{At, Fault},
    hash, id, span, time,
};
use prost::Message;
use rand::{RngExt, seq::IndexedRandom};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::Notify,
    time as timer,
};

use crate::{
    engines,
    fleet::TargetHash,
    lag::{Lag, State},
    leaving::Leave,
    metrics::Counter,
    news::{
        Aside, Ask, FallAt, Left, LoadAt, MAX_DATAGRAM, MOST_ASIDE, MOST_FALLS, MOST_HOLDS,
        MOST_LEAVES, News,
    },
    readers::{self, Router},
    recall::{self, Recall, Step},
    shared::Shared,
    snapshot,
    view::View,
};

/// Shortest pause between two rounds of news.
const PAUSE: Duration = Duration::from_millis(200);

/// Pause for each peer, so that a router of a large fleet sends no more
/// datagrams a second than one of a small fleet.
const PEER_PAUSE: Duration = Duration::from_millis(10);

/// Time without news after which a peer does not count.
const SILENT_TIME: span::Span = span::Span::from_secs(2);

/// Rounds after the start in which every peer is told: routers that start
/// together find one another before they decide alone.
const FIRST_ROUNDS: u64 = 15;

/// Rounds between two datagrams to a peer that is silent.
const SILENT_ROUNDS: u64 = 8;

/// Time after which a peer that neither speaks nor has a row is forgotten.
const FORGET_TIME: span::Span = span::Span::from_secs(60);

/// Time for fetching a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The other routers.
#[derive(Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    view: Arc<View>,
    known: Mutex<BTreeMap<SocketAddr, Peer>>,
    lag: Mutex<Lag>,
    recall: Mutex<Recall>,
    run: u64,
    sequence: AtomicU64,
    /// Wakes the sender before its pause is over.
    pub wake: Notify,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// Whether the peer has a row in the table or is a seed.
    listed: bool,
    heard: Option<time::Mono>,
    /// Whether the table answers the peer.
    reads: bool,
    /// Whether the peer knows what engines keep of prompts.
    knows: bool,
    /// Targets that its latest news named.
    named: BTreeSet<u64>,
    run: u64,
    sequence: u64,
}

impl Peer {
    fn speaks(&self, now: time::Mono) -> bool {
        self.heard_within(now, SILENT_TIME)
    }

    fn heard_within(&self, now: time::Mono, time: span::Span) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < time)
    }
}

impl Peers {
    /// Knows the seeds only.
    pub fn new(shared: Arc<Shared>, view: Arc<View>) -> Arc<Self> {
        let own = shared.settings.peers;
        let seeds = shared.settings.seeds.iter().filter(|seed| **seed != own);
        let peer = Peer {
            listed: true,
            ..Peer::default()
        };
        let known = seeds.map(|seed| (*seed, peer.clone())).collect();
        let first = shared.settings.first;
        Arc::new(Self {
            shared,
            view,
            known: Mutex::new(known),
            lag: Mutex::default(),
            recall: Mutex::new(Recall::new(first)),
            run: id::random_bits() as u64,
            sequence: AtomicU64::new(0),
            wake: Notify::new(),
        })
    }

    fn known(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn recall(&self) -> MutexGuard<'_, Recall> {
        self.recall.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this router is among those that read the table often.
    pub fn is_reader(&self) -> bool {
        let now = self.shared.clock.now();
        let known = self.known();
        let speaking = known.iter().filter(|(_, peer)| peer.speaks(now));
        let routers = speaking.map(|(address, peer)| Router {
            address: *address,
            reads: peer.reads,
        });
        readers::is_reader(self.shared.settings.peers, routers)
    }

    /// Takes in the row of a router.
    pub fn list(&self, address: SocketAddr) {
        if address != self.shared.settings.peers {
            self.known().entry(address).or_default().listed = true;
        }
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
        let mut round = 0;
        loop {
            self.tell(&socket, round).await;
            self.learn();
            round += 1;
            let peers = u32::try_from(self.known().len()).unwrap_or(u32::MAX);
            let pause = PAUSE.max(PEER_PAUSE.saturating_mul(peers));
            tokio::select! {
                () = timer::sleep(pause) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Sends one round of news.
    async fn tell(&self, socket: &UdpSocket, round: u64) {
        let now = self.shared.clock.now();
        let datagram = self.news(now).encode_to_vec();
        if datagram.len() > MAX_DATAGRAM {
            tracing::debug!(event = "news_long", bytes = datagram.len());
        }
        for address in self.receivers(now, round) {
            if let Err(error) = socket.send_to(&datagram, address).await {
                tracing::debug!(event = "news_unsent", %address, %error);
            }
        }
    }

    /// Returns the peers that get this round of news; silent ones get fewer.
    fn receivers(&self, now: time::Mono, round: u64) -> Vec<SocketAddr> {
        let mut known = self.known();
        known.retain(|_, peer| peer.listed || peer.heard_within(now, FORGET_TIME));
        let live = known.values().filter(|peer| peer.speaks(now)).count();
        let routers = u32::try_from(live).unwrap_or(u32::MAX).saturating_add(1);
        self.shared.routers.store(routers, Ordering::Relaxed);
        known
            .iter()
            .filter(|(_, peer)| {
                peer.speaks(now) || round < FIRST_ROUNDS || round.is_multiple_of(SILENT_ROUNDS)
            })
            .map(|(address, _)| *address)
            .collect()
    }

    fn news(&self, now: time::Mono) -> News {
        let fleet = self.shared.fleet.load();
        let targets = || fleet.iter().flat_map(|fleet| fleet.targets());
        let loads = targets().map(|target| LoadAt {
            target: target.hash.0,
            count: target.own(),
        });
        let aside =
            targets().filter_map(|target| Some(Aside::new(target.hash, target.aside(now)?)));
        let leaves = self.view.listed().leaves(now);
        let falls = self.shared.poison().falls(now);
        News {
            process: self.shared.settings.process.to_string(),
            run: self.run,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            version: self.shared.version().0,
            loads: loads.filter(|load| load.count > 0).collect(),
            holds: self.shared.take_holds(MOST_HOLDS),
            leaves: leaves
                .iter()
                .rev()
                .take(MOST_LEAVES)
                .map(Left::from)
                .collect(),
            aside: aside.take(MOST_ASIDE).collect(),
            reads: self.shared.reads.load(Ordering::Relaxed),
            knows: self.recall().knows(now),
            falls: falls
                .into_iter()
                .rev()
                .take(MOST_FALLS)
                .map(FallAt::from)
                .collect(),
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
                    timer::sleep(PAUSE).await;
                }
            }
        }
    }

    fn take_in(self: &Arc<Self>, address: SocketAddr, news: &News) {
        let now = self.shared.clock.now();
        self.shared.metrics.count(Counter::News);
        if !self.is_next(now, address, news) {
            return;
        }
        if let Some(fleet) = self.shared.fleet.load().as_ref() {
            for load in self.changed_loads(address, news) {
                if let Some(target) = fleet.target(TargetHash(load.target)) {
                    target.told(now, news.run, load.count);
                }
            }
            fleet.hold(now, &news.holds);
            for aside in &news.aside {
                if let Some(target) = fleet.target(TargetHash(aside.target)) {
                    target.outcome(|trust| trust.told(now, aside.time()));
                }
            }
        }
        for fall in &news.falls {
            self.shared.poison().fall(now, (*fall).into());
        }
        self.view.told(
            news.leaves
                .iter()
                .filter_map(|left| Leave::try_from(left).ok()),
        );
        self.catch_up(now, address, news.version);
    }

    /// Returns the loads that a datagram names, and zero for the targets that its
    /// sender named before; a fleet has many more targets than one router uses.
    fn changed_loads(&self, address: SocketAddr, news: &News) -> Vec<LoadAt> {
        let mut known = self.known();
        let peer = known.entry(address).or_default();
        let named: BTreeSet<u64> = news.loads.iter().map(|load| load.target).collect();
        let ended = peer.named.difference(&named);
        let mut loads = news.loads.clone();
        loads.extend(ended.map(|target| LoadAt {
            target: *target,
            count: 0,
        }));
        peer.named = named;
        loads
    }

    /// Returns whether a datagram is newer than what came from its sender.
    fn is_next(&self, now: time::Mono, address: SocketAddr, news: &News) -> bool {
        let mut known = self.known();
        let peer = known.entry(address).or_default();
        if !peer.speaks(now) {
            tracing::info!(event = "peer_heard", peer = news.process, %address);
        }
        if peer.run == news.run && peer.sequence >= news.sequence {
            return false;
        }
        *peer = Peer {
            listed: peer.listed,
            heard: Some(now),
            reads: news.reads,
            knows: news.knows,
            named: std::mem::take(&mut peer.named),
            run: news.run,
            sequence: news.sequence,
        };
        true
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
        let listed: Vec<SocketAddr> = self.known().keys().copied().collect();
        let knowing: Vec<SocketAddr> = self
            .known()
            .iter()
            .filter(|(_, peer)| peer.speaks(now) && peer.knows)
            .map(|(address, _)| *address)
            .collect();
        let peer = knowing.choose(&mut rand::rng()).copied();
        let step = self.recall().next(now, peer.is_some());
        match (step, peer) {
            (Step::AskPeer, Some(peer)) => self.fetch(peer, Ask { holds: true }),
            (Step::AskEngines, _) => {
                let rank = |address: &SocketAddr| hash::bytes(address.to_string().as_bytes());
                let others: Vec<u64> = listed.iter().map(rank).collect();
                let own = rank(&self.shared.settings.peers);
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
                    timer::sleep(PAUSE).await;
                }
            }
        }
    }
}
