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
    cache_sync::{self, CacheSync, Step},
    engines,
    exchange::{Exchange, Outgoing},
    gossip,
    lag::{Lag, VersionState},
    metrics::Counter,
    readers::{self, Router},
    relays::{self, CentreHash},
    shared::Shared,
    snapshot,
    target_list::Departure,
    update::{
        CachedPart, CrashEntry, DepartureEntry, MAX_CACHED, MAX_CRASHES, MAX_DATAGRAM,
        MAX_DEPARTURES, MAX_JOINED, SnapshotRequest, TargetRow, Update,
    },
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
    cache_sync: Mutex<CacheSync>,
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
            uses_relays: false,
        };
        let run = id::random_bits() as u64;
        let exchange = Exchange::new(own, run, &settings.seeds);
        let first = settings.bootstrap;
        Arc::new(Self {
            shared,
            view,
            exchange: Mutex::new(exchange),
            lag: Mutex::default(),
            cache_sync: Mutex::new(CacheSync::new(first)),
            wake: Notify::new(),
        })
    }

    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cache_sync(&self) -> MutexGuard<'_, CacheSync> {
        self.cache_sync
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this router is among those that read the table often.
    pub fn is_reader(&self) -> bool {
        let heard = self.exchange().live_peers(self.shared.clock.now());
        let routers = heard.iter().map(|peer| Router {
            rank: peer.rank,
            reads_table: peer.reads_table,
        });
        readers::is_reader(relays::rank(self.shared.settings.peers), routers)
    }

    /// Returns the position of the latest change of a target that the relays tell,
    /// if they read the table; a router that is no reader need not do so then.
    pub fn relayed_change(&self) -> Option<Position> {
        if self.is_reader() {
            return None;
        }
        let relays = self.exchange().relayed_change(self.shared.clock.now())?;
        Some(Position(relays))
    }

    /// Takes in the row of a router.
    pub fn add_listed(&self, address: SocketAddr) {
        self.exchange().add_listed(address);
    }

    /// Takes in that a router's row was removed.
    pub fn remove_listed(&self, address: SocketAddr) {
        self.exchange().remove_listed(address);
    }

    /// Returns whether this router hears another one.
    pub fn is_live(&self, address: SocketAddr) -> bool {
        let now = self.shared.clock.now();
        self.exchange().is_live(now, address)
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
        tokio::spawn(self.clone().serve_snapshots(listener));
        tokio::spawn(self.clone().receive(socket.clone()));
        loop {
            self.send_round(&socket).await;
            self.sync_cached_parts();
            let pause = self.exchange().interval().duration();
            tokio::select! {
                () = timer::sleep(pause) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Sends one round of news.
    async fn send_round(&self, socket: &UdpSocket) {
        let now = self.shared.clock.now();
        let outgoing = self.round(now);
        let base = self.update(now);
        let holds = self.shared.take_announcements(MAX_CACHED);
        for letter in outgoing {
            for datagram in datagrams(&base, &letter, &holds) {
                for address in &letter.receivers {
                    if let Err(error) = socket.send_to(&datagram, address).await {
                        tracing::debug!(event = "news_unsent", %address, %error);
                    }
                }
            }
        }
    }

    fn round(&self, now: time::Mono) -> Vec<Outgoing> {
        let fleet = self.shared.fleet.load();
        let loads = fleet.as_ref().map(|fleet| fleet.loads());
        let mut exchange = self.exchange();
        let before = exchange.plan().clone();
        let outgoing = exchange.round(now, &loads.unwrap_or_default());
        let plan = exchange.plan();
        if *plan != before {
            let (mesh, is_relay) = (plan.mesh, plan.is_relay);
            let through = join_addresses(&plan.own);
            tracing::info!(event = "relays", mesh, is_relay, through);
        }
        self.shared.peer_loads.record(now, &exchange.freshness(now));
        let routers = exchange.routers(now);
        self.shared.routers.store(routers, Ordering::Relaxed);
        outgoing
    }

    /// Returns what every receiver of a round gets.
    fn update(&self, now: time::Mono) -> Update {
        let fleet = self.shared.fleet.load();
        let told = fleet.as_ref().map(|fleet| gossip::collect(fleet, now));
        let told = told.unwrap_or_default();
        let mut listed = self.view.target_list();
        let departures = listed.departures(now, MAX_DEPARTURES);
        let joined = listed.joined(now, MAX_JOINED).into_iter();
        let joined = joined.map(|(position, target)| TargetRow::new(position, target));
        let joined = joined.collect();
        let last_change = listed.last_change().0;
        drop(listed);
        let falls = self.shared.poison().recent_crashes(now);
        Update {
            process: self.shared.settings.process.to_string(),
            version: self.shared.version().0,
            departures: departures.iter().map(DepartureEntry::from).collect(),
            joined,
            last_change,
            suspensions: told.suspensions,
            slow: told.slow,
            reads_table: self.shared.reads_table.load(Ordering::Relaxed),
            cache_synced: self.cache_sync().can_answer(now),
            crashes: falls
                .into_iter()
                .rev()
                .take(MAX_CRASHES)
                .map(CrashEntry::from)
                .collect(),
            ..Update::default()
        }
    }

    async fn receive(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, address)) => match Update::decode(&buffer[..length]) {
                    Ok(update) => self.apply(address, &update),
                    Err(error) => tracing::info!(event = "news_unreadable", %address, %error),
                },
                Err(error) => {
                    tracing::warn!(event = "news_failed", %error);
                    timer::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    fn apply(self: &Arc<Self>, address: SocketAddr, update: &Update) {
        let now = self.shared.clock.now();
        self.shared.metrics.count(Counter::GossipDatagrams);
        let mut exchange = self.exchange();
        let is_new = !exchange.is_live(now, address);
        let Some(changes) = exchange.receive(now, address, update) else {
            return;
        };
        let relays = exchange.aggregates(now);
        drop(exchange);
        if is_new {
            tracing::info!(event = "peer_heard", peer = update.process, %address);
        }
        if let Some(fleet) = self.shared.fleet.load().as_ref() {
            let learned = gossip::apply(fleet, now, update, &changes);
            if relays {
                self.shared.announce_cached(learned.into_iter());
            }
        }
        for fall in &update.crashes {
            self.shared.poison().record_crash(now, (*fall).into());
        }
        let departures = update.departures.iter();
        self.view.apply_peer_changes(
            departures.filter_map(|left| Departure::try_from(left).ok()),
            &update.joined,
        );
        self.fetch_if_behind(now, address, update.version);
    }

    /// Fetches a snapshot from a peer that has a newer configuration, or while
    /// no target is known.
    fn fetch_if_behind(self: &Arc<Self>, now: time::Mono, address: SocketAddr, version: u64) {
        let state = VersionState {
            own: self.shared.version(),
            peer: id::Version(version),
            no_targets: self.shared.fleet.load().is_none(),
            feed_works: self.shared.feed_works.load(Ordering::Relaxed),
        };
        let mut lag = self.lag.lock().unwrap_or_else(PoisonError::into_inner);
        if !lag.is_due(now, state, rand::rng().random()) {
            return;
        }
        drop(lag);
        self.fetch(address, SnapshotRequest { cached: false });
    }

    /// Learns what engines keep of prompts, once after the start.
    fn sync_cached_parts(self: &Arc<Self>) {
        if self.cache_sync().is_done() {
            return;
        }
        let fleet = self.shared.fleet.load_full();
        let (Some(fleet), Some(routes)) = (fleet, self.shared.routes.load_full()) else {
            return;
        };
        let now = self.shared.clock.now();
        // Routers that start together share the engines before they have heard
        // of one another.
        let listed: Vec<SocketAddr> = self.exchange().addresses().collect();
        let heard = self.exchange().live_peers(now).into_iter();
        let knowing: Vec<SocketAddr> = heard
            .filter(|peer| peer.cache_synced)
            .map(|peer| peer.address)
            .collect();
        let peer = knowing.choose(&mut rand::rng()).copied();
        let step = self.cache_sync().next(now, peer.is_some());
        match (step, peer) {
            (Step::AskPeer, Some(peer)) => self.fetch(peer, SnapshotRequest { cached: true }),
            (Step::AskEngines, _) => {
                let others: Vec<u64> = listed.into_iter().map(relays::rank).collect();
                let own = relays::rank(self.shared.settings.peers);
                let share = fleet.targets().filter(|target| {
                    let kind = routes.config.services.get(&target.row.service);
                    kind.is_some_and(|kind| kind.engines)
                        && cache_sync::is_own_share(target.hash.0, own, &others)
                });
                for target in share {
                    tokio::spawn(engines::query(self.shared.clone(), target.clone()));
                }
            }
            _ => {}
        }
    }

    fn fetch(self: &Arc<Self>, address: SocketAddr, ask: SnapshotRequest) {
        let peers = self.clone();
        tokio::spawn(async move {
            match timer::timeout(FETCH_TIMEOUT, snapshot::fetch(address, ask)).await {
                Ok(Ok(snapshot)) => {
                    peers.view.adopt_snapshot(&snapshot);
                    if ask.cached {
                        let holds = snapshot.cached.len();
                        tracing::info!(event = "kept_parts", source = "peer", %address, holds);
                        peers.cache_sync().finish();
                    }
                }
                Ok(Err(fault)) => tracing::info!(event = "snapshot_failed", %fault),
                Err(_) => tracing::info!(event = "snapshot_late", %address),
            }
        });
    }

    /// Sends a snapshot to each peer that connects.
    async fn serve_snapshots(self: Arc<Self>, listener: TcpListener) {
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
fn datagrams(base: &Update, letter: &Outgoing, holds: &[CachedPart]) -> Vec<Vec<u8>> {
    let loads = letter.update.clone();
    let mut update = Update {
        process: base.process.clone(),
        version: base.version,
        departures: base.departures.clone(),
        joined: base.joined.clone(),
        last_change: base.last_change,
        suspensions: base.suspensions.clone(),
        slow: base.slow.clone(),
        reads_table: base.reads_table,
        cache_synced: base.cache_synced,
        crashes: base.crashes.clone(),
        ..loads
    };
    let holds = if letter.cached { holds } else { &[] };
    update.cached = holds.to_vec();
    if update.encoded_len() <= MAX_DATAGRAM || holds.is_empty() {
        let datagram = update.encode_to_vec();
        if datagram.len() > MAX_DATAGRAM {
            tracing::debug!(event = "news_long", bytes = datagram.len());
        }
        return vec![datagram];
    }
    // The loads go last: a message with an older number would be ignored.
    let parts = Update {
        sequence: update.sequence - 1,
        cached: std::mem::take(&mut update.cached),
        version: base.version,
        last_change: base.last_change,
        reads_table: base.reads_table,
        cache_synced: base.cache_synced,
        process: base.process.clone(),
        run: update.run,
        centre: update.centre,
        share: update.share,
        uses_relays: update.uses_relays,
        ..Update::default()
    };
    vec![parts.encode_to_vec(), update.encode_to_vec()]
}

fn join_addresses(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    addresses.join(",")
}
