//! Sends updates to the other routers and receives theirs.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use admit::crash_parts::{Change, Report};
use base::{
    fault::{At, Fault},
    hash, id, time,
};
use platform::rows::{Era, Position};
use prost::Message;
use rand::{RngExt, seq::IndexedRandom};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{Notify, Semaphore},
    time as timer,
};

use crate::{
    cache_sync::{self, CacheSync, Step},
    clients::{Connections, LimitReached, MAX_PEERS},
    cold, crash_reports, engines,
    exchange::{Exchange, Outgoing},
    lag::{Lag, VersionState},
    listen,
    metrics::Counter,
    readers::{self, Router},
    refusals::{RefusalKey, RowChange},
    relays::{self, CentreHash},
    shared::Shared,
    snapshot::{self, MAX_SENDING},
    target_list::Departure,
    target_status,
    update::{
        self, CachedPart, CrashEntry, DepartureEntry, MAX_CACHED, MAX_CONTENTS, MAX_CRASHES,
        MAX_DATAGRAM, MAX_DEPARTURES, MAX_JOINED, SnapshotRequest, TargetRow, Update,
    },
    view::View,
};

/// Pause after an error of the socket or the listener.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Timeout for the transfer of a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The connection to the other routers.
#[derive(Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    view: Arc<View>,
    exchange: Mutex<Exchange>,
    lag: Mutex<Lag>,
    cache_sync: Mutex<CacheSync>,
    /// Number of rounds of updates so far.
    rounds: AtomicUsize,
    /// Whether the rows of the routers have been read.
    listed: AtomicBool,
    /// Starts the next round before its interval has passed.
    pub wake: Notify,
}

impl Peers {
    /// Creates the state of a router that knows only the seeds.
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
            rounds: AtomicUsize::new(0),
            listed: AtomicBool::new(false),
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
        let live = self.exchange().live_peers(self.shared.clock.now());
        let routers = live.iter().map(|peer| Router {
            rank: peer.rank,
            reads_table: peer.reads_table,
        });
        readers::is_reader(relays::rank(self.shared.settings.peers), routers)
    }

    /// Returns the table position of the latest change of a target that the
    /// relays reported, if they read the table; this router can then read less
    /// often. Returns `None` if this router is among those that read often.
    pub fn relayed_change(&self) -> Option<Position> {
        if self.is_reader() {
            return None;
        }
        self.exchange().relayed_change(self.shared.clock.now())
    }

    /// Adds a router that has a row in the table.
    pub fn add_listed(&self, address: SocketAddr) {
        self.exchange().add_listed(address);
    }

    /// Records that the rows of the routers have been read.
    pub fn set_listed(&self) {
        self.listed.store(true, Ordering::Relaxed);
    }

    /// Marks a router as having no row any more.
    pub fn remove_listed(&self, address: SocketAddr) {
        self.exchange().remove_listed(address);
    }

    /// Returns whether a router recently sent an update.
    pub fn is_live(&self, address: SocketAddr) -> bool {
        let now = self.shared.clock.now();
        self.exchange().is_live(now, address)
    }

    /// Exchanges updates with the other routers until the runtime ends.
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
            let interval = self.exchange().interval().duration();
            tokio::select! {
                () = timer::sleep(interval) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Sends the updates of one round.
    async fn send_round(&self, socket: &UdpSocket) {
        let now = self.shared.clock.now();
        let outgoing = self.round(now);
        let common = self.update(now);
        let cached = self.shared.take_announcements(MAX_CACHED);
        let evacuations = self.view.evacuations().report(now);
        for mut message in outgoing {
            message.update.evacuations = evacuations.entries(&message.update);
            for datagram in datagrams(&common, &message, &cached) {
                for address in &message.receivers {
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
        let own = relays::rank(self.shared.settings.peers);
        let listed = self.listed.load(Ordering::Relaxed);
        let members = cold::members(&exchange, now, own, listed);
        self.shared.set_cold_members(members);
        let routers = exchange.routers(now);
        self.shared.routers.store(routers, Ordering::Relaxed);
        outgoing
    }

    /// Returns the fields that all updates of a round have in common.
    fn update(&self, now: time::Mono) -> Update {
        let fleet = self.shared.fleet.load();
        let status = fleet
            .as_ref()
            .map(|fleet| target_status::collect(fleet, now));
        let status = status.unwrap_or_default();
        let mut target_list = self.view.target_list();
        let departures = target_list.departures(now, MAX_DEPARTURES);
        let joined = target_list.joined(now, MAX_JOINED).into_iter();
        let joined = joined.map(|(source, target)| TargetRow::new(source, &target));
        let mut joined: Vec<TargetRow> = joined.collect();
        if let Some(fleet) = fleet.as_ref() {
            let max = MAX_JOINED - joined.len().min(MAX_JOINED);
            joined.extend(cold::statements(
                &self.shared,
                fleet,
                now,
                &target_list,
                max,
            ));
        }
        let last_change = target_list.last_change();
        drop(target_list);
        let (crashes, refused_contents) = self.report_contents(now);
        let mut update = Update {
            process: self.shared.settings.process.to_string(),
            version: self.shared.version().0,
            departures: departures.iter().map(DepartureEntry::from).collect(),
            joined,
            last_change: last_change.version,
            change_era: last_change.era.0,
            era: self.shared.eras.latest().0,
            blocked: status.blocked,
            slow: status.slow,
            reads_table: self.shared.reads_table.load(Ordering::Relaxed),
            cache_synced: self.cache_sync().can_answer(now),
            crashes,
            refused_contents,
            ..Update::default()
        };
        let report = self.report_crashes(now);
        let round = self.rounds.fetch_add(1, Ordering::Relaxed);
        crash_reports::write(&mut update, now, &report, round);
        update
    }

    /// Refuses the prompt parts whose crashes are sufficient by now, and returns
    /// what the other routers may not know yet.
    fn report_crashes(&self, now: time::Mono) -> Report {
        let mut crash_parts = self.shared.crash_parts();
        crash_parts.evaluate(now);
        let changes = crash_parts.take_changes();
        let report = crash_parts.report(now);
        drop(crash_parts);
        for change in &changes {
            match change {
                Change::Refused { parts, crashes } => {
                    self.shared.metrics.count(Counter::RefusedParts);
                    tracing::warn!(event = "part_crashes_targets", part = %parts, crashes);
                }
                Change::Admitted(parts) => tracing::info!(event = "part_admitted", part = %parts),
            }
        }
        let changes = changes.into_iter().map(RowChange::from);
        self.shared.queue_refusal_changes(changes.collect());
        report
    }

    /// Returns crashes of contents that the other routers may not know yet, and has
    /// the rows of forgotten ones removed.
    fn report_contents(&self, now: time::Mono) -> (Vec<CrashEntry>, Vec<update::RefusedContent>) {
        let mut poison = self.shared.poison();
        let crashes = poison.recent_crashes(now);
        let refused = poison.refused(now, MAX_CONTENTS);
        let forgotten = poison.take_forgotten();
        drop(poison);
        let removed = forgotten.into_iter().map(|content| RowChange {
            key: RefusalKey::Content(content),
            targets: None,
        });
        self.shared.queue_refusal_changes(removed.collect());
        let crashes = crashes.iter().rev().take(MAX_CRASHES);
        let crashes = crashes.map(|report| crash_reports::write_content(now, report));
        let refused = refused.iter();
        let refused = refused.map(|refused| crash_reports::write_refused(now, refused));
        (crashes.collect(), refused.collect())
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
        self.shared.metrics.count(Counter::UpdatesReceived);
        let mut exchange = self.exchange();
        let is_new = !exchange.is_live(now, address);
        self.shared.eras.learn(Era(update.era), "peer");
        let Some(changes) = exchange.receive(now, address, update) else {
            return;
        };
        let aggregates = exchange.aggregates(now);
        drop(exchange);
        if is_new {
            tracing::info!(event = "peer_heard", peer = update.process, %address);
        }
        if let Some(fleet) = self.shared.fleet.load().as_ref() {
            cold::apply_statements(&self.shared, now, fleet, update);
            let learned = target_status::apply(fleet, now, update, &changes);
            if aggregates {
                self.shared.announce_cached(learned.into_iter());
            }
        }
        let report = crash_reports::read(update, now);
        self.shared.crash_parts().merge(now, report);
        for crash in &update.crashes {
            let report = crash_reports::read_content(now, crash);
            self.shared.poison().record_crash(now, report);
        }
        for refused in &update.refused_contents {
            let refused = crash_reports::read_refused(now, refused);
            self.shared.poison().adopt(now, refused);
        }
        self.view.apply_peer_evacuations(&update.evacuations);
        let departures = update.departures.iter();
        self.view.apply_peer_changes(
            departures.filter_map(|entry| Departure::try_from(entry).ok()),
            &update.joined,
        );
        let version = id::Version(update.version);
        let changes = &self.shared.known_changes;
        changes.send_if_modified(|changes| changes.record_version(now, version));
        self.fetch_if_behind(now, address, update.version);
    }

    /// Fetches a snapshot from a peer that has a newer configuration, or from
    /// any peer while no target is known.
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

    /// Learns which prompt parts engines have cached, once after the start.
    fn sync_cached_parts(self: &Arc<Self>) {
        if self.cache_sync().is_done() {
            return;
        }
        let fleet = self.shared.fleet.load_full();
        let (Some(fleet), Some(routes)) = (fleet, self.shared.routes.load_full()) else {
            return;
        };
        let now = self.shared.clock.now();
        self.shared.cold_prompts().start(now);
        // Uses all known routers, not only live ones: routers that start
        // together divide the engines among themselves before they have received
        // updates from one another.
        let known: Vec<SocketAddr> = self.exchange().addresses().collect();
        let live = self.exchange().live_peers(now).into_iter();
        let synced: Vec<SocketAddr> = live
            .filter(|peer| peer.cache_synced)
            .map(|peer| peer.address)
            .collect();
        let peer = synced.choose(&mut rand::rng()).copied();
        let step = self.cache_sync().next(now, peer.is_some());
        match (step, peer) {
            (Step::AskPeer, Some(peer)) => self.fetch(peer, SnapshotRequest { cached: true }),
            (Step::AskEngines, _) => {
                let others: Vec<u64> = known.into_iter().map(relays::rank).collect();
                let own = relays::rank(self.shared.settings.peers);
                let evacuated = self.shared.evacuated.load();
                let share = fleet.targets().filter(|target| {
                    let kind = routes.config.services.get(&target.row.service);
                    kind.is_some_and(|kind| kind.engines)
                        && !evacuated.contains(&target.row.centre)
                        && cache_sync::is_own_share(target.hash.0, own, &others)
                });
                for target in share {
                    tokio::spawn(engines::query(self.shared.clone(), target.clone()));
                }
            }
            _ => {}
        }
    }

    fn fetch(self: &Arc<Self>, address: SocketAddr, request: SnapshotRequest) {
        let peers = self.clone();
        tokio::spawn(async move {
            match timer::timeout(FETCH_TIMEOUT, snapshot::fetch(address, request)).await {
                Ok(Ok(snapshot)) => {
                    peers.view.adopt_snapshot(&snapshot);
                    if request.cached {
                        let holds = snapshot.cached.len();
                        tracing::info!(event = "kept_parts", source = "peer", %address, holds);
                        peers.cache_sync().finish();
                        peers.shared.cold_prompts().finish();
                    }
                }
                Ok(Err(fault)) => tracing::info!(event = "snapshot_failed", %fault),
                Err(_) => tracing::info!(event = "snapshot_late", %address),
            }
        });
    }

    /// Sends a snapshot to each peer that connects.
    async fn serve_snapshots(self: Arc<Self>, listener: TcpListener) {
        let connections = Connections::new(MAX_PEERS);
        let sending = Arc::new(Semaphore::new(MAX_SENDING));
        loop {
            let accepted = listener.accept().await;
            let admitted = listen::admit(&self.shared, &connections, accepted).await;
            let Some((stream, slot)) = admitted else {
                continue;
            };
            let address = slot.connection.client.address();
            // A new connection does not take the place of one that is being served.
            slot.connection.client.set_writing(true);
            let peer = SocketAddr::new(address, 0);
            let sent = snapshot::send(self.view.clone(), stream, peer, sending.clone());
            let shared = self.shared.clone();
            tokio::spawn(async move {
                let sent = timer::timeout(FETCH_TIMEOUT, sent);
                let sent = tokio::select! {
                    sent = sent => sent,
                    () = slot.connection.evicted() => return,
                };
                match sent {
                    Ok(Ok(())) => {}
                    Ok(Err(fault)) => shared.limit_reached(LimitReached::Snapshot, &fault),
                    Err(_) => shared.limit_reached(LimitReached::Snapshot, &address),
                }
            });
        }
    }
}

/// Encodes an update. The cached prompt parts go into a datagram of their own if
/// they do not fit.
fn datagrams(common: &Update, message: &Outgoing, cached: &[CachedPart]) -> Vec<Vec<u8>> {
    let loads = message.update.clone();
    let mut update = Update {
        process: common.process.clone(),
        version: common.version,
        departures: common.departures.clone(),
        joined: common.joined.clone(),
        last_change: common.last_change,
        change_era: common.change_era,
        era: common.era,
        blocked: common.blocked.clone(),
        slow: common.slow.clone(),
        reads_table: common.reads_table,
        cache_synced: common.cache_synced,
        crashes: common.crashes.clone(),
        refused_contents: common.refused_contents.clone(),
        part_crashes: common.part_crashes.clone(),
        refused_parts: common.refused_parts.clone(),
        cleared_parts: common.cleared_parts.clone(),
        ..loads
    };
    let cached = if message.cached { cached } else { &[] };
    update.cached = cached.to_vec();
    if update.encoded_len() <= MAX_DATAGRAM || cached.is_empty() {
        let datagram = update.encode_to_vec();
        if datagram.len() > MAX_DATAGRAM {
            tracing::debug!(event = "news_long", bytes = datagram.len());
        }
        return vec![datagram];
    }
    // Only the second datagram carries loads. It gets the higher sequence
    // number, because receivers ignore a datagram with a lower number than the
    // one before.
    let parts = Update {
        sequence: update.sequence - 1,
        cached: std::mem::take(&mut update.cached),
        version: common.version,
        last_change: common.last_change,
        change_era: common.change_era,
        era: common.era,
        reads_table: common.reads_table,
        cache_synced: common.cache_synced,
        process: common.process.clone(),
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
