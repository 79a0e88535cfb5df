//! State that the threads of a router share.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use admit::{
    cold_prompts::ColdPrompts,
    crash_parts::CrashParts,
    fleet_retries::{FleetRetryBudget, RetryLimit},
    poison::PoisonTracker,
    returns::Returns,
    shares::TeamShares,
};
use arc_swap::{ArcSwap, ArcSwapOption};
use base::{id, span, time};
use inlet::memory::MemoryBudget;
use place::{contention::ContentionModel, hedge::Fraction, latency::LatencyModel};
use platform::settings::{Bounds, Settings};
use tokio::sync::{Notify, watch};

use crate::{
    clients::{self, Connections, LimitCounts, LimitReached},
    cold::Routers,
    exchange::LoadFreshness,
    feed::{eras::Eras, known::KnownChanges},
    fleet::{Fleet, Target},
    metrics::Metrics,
    refusals::{RefusalKey, RowChange},
    routes::Routes,
    timing::ServiceLatencies,
    update::CachedPart,
};

/// Snapshots for the traffic thread, and state for decisions across requests.
#[derive(Debug)]
pub struct Shared {
    /// The settings of this process.
    pub settings: Settings,
    /// The process's clock.
    pub clock: time::Clock,
    /// The configuration in force; `None` until one is known.
    pub routes: ArcSwapOption<Routes>,
    /// The targets; `None` until they are known.
    pub fleet: ArcSwapOption<Fleet>,
    /// The evacuated data centres; known before `routes` is.
    pub evacuated: ArcSwap<BTreeSet<id::DataCentre>>,
    /// Whether the process is shutting down.
    pub stopping: AtomicBool,
    /// When the process exits, from the time on at which it accepts no more callers.
    pub exit: OnceLock<time::Mono>,
    /// Whether this process can read the table.
    pub reads_table: AtomicBool,
    /// Whether the feed of the configuration works.
    pub feed_works: AtomicBool,
    /// Number of routers that share the retry budget, including this one.
    pub routers: AtomicU32,
    /// Age and coverage of the loads that other routers reported.
    pub peer_loads: PeerLoads,
    /// Memory for the bodies of requests and responses.
    pub room: Arc<MemoryBudget>,
    /// Connections of callers.
    pub connections: Arc<Connections>,
    /// How often the limits for clients were reached.
    pub limits: LimitCounts,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Bounds, which may change while the process runs.
    pub bounds: ArcSwap<Bounds>,
    /// The routers that the limits of cold targets are divided among.
    pub cold_routers: ArcSwap<Routers>,
    /// The eras of the table that this process has seen.
    pub eras: Eras,
    /// The changes of the table that this process has read.
    pub known_changes: watch::Sender<KnownChanges>,
    /// Signals that rows of refusals have to be written or removed.
    pub refusals_changed: Notify,
    hedging: OnceLock<Fraction>,
    retry_budget: Mutex<FleetRetryBudget>,
    poison: Mutex<PoisonTracker>,
    crash_parts: Mutex<CrashParts>,
    refusal_changes: Mutex<Vec<RowChange>>,
    speeds: Mutex<BTreeMap<id::ServiceId, ServiceLatencies>>,
    shares: Mutex<TeamShares>,
    returns: Mutex<Returns>,
    cold_prompts: Mutex<ColdPrompts>,
    announcements: Mutex<Vec<CachedPart>>,
}

/// How old the loads reported by other routers are, and how many routers they
/// cover. Both are logged with each decision.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Time of the oldest load that is still used, in microseconds of the clock.
    at: AtomicU64,
    routers: AtomicU32,
    /// Typical age of a load, in microseconds.
    delay: AtomicU64,
}

impl PeerLoads {
    /// Records the current state.
    pub fn record(&self, now: time::Mono, known: &LoadFreshness) {
        let at = now.0.saturating_sub(known.age.as_micros());
        self.at.store(at, Ordering::Relaxed);
        self.routers.store(known.routers, Ordering::Relaxed);
        self.delay.store(known.delay.as_micros(), Ordering::Relaxed);
    }

    /// Returns the typical age of a load.
    pub fn delay(&self) -> span::Span {
        span::Span::from_micros(self.delay.load(Ordering::Relaxed))
    }

    /// Returns the age of the oldest load.
    pub fn age(&self, now: time::Mono) -> span::Span {
        now.since(time::Mono(self.at.load(Ordering::Relaxed)))
    }

    /// Returns the number of routers whose loads are known.
    pub fn routers(&self) -> u32 {
        self.routers.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Creates the state of a process that has no configuration and no targets
    /// yet.
    pub fn new(settings: Settings) -> Arc<Self> {
        let bounds = settings.bounds;
        Arc::new(Self {
            clock: time::Clock::start(),
            routes: ArcSwapOption::empty(),
            fleet: ArcSwapOption::empty(),
            evacuated: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            exit: OnceLock::new(),
            reads_table: AtomicBool::new(false),
            feed_works: AtomicBool::new(false),
            routers: AtomicU32::new(INITIAL_ROUTERS),
            peer_loads: PeerLoads::default(),
            room: MemoryBudget::new(settings.memory.as_usize() / BODY_MEMORY_DIVISOR),
            cold_routers: ArcSwap::default(),
            connections: Connections::new(clients::max_callers(&settings)),
            limits: LimitCounts::default(),
            eras: Eras::default(),
            known_changes: watch::Sender::default(),
            refusals_changed: Notify::new(),
            hedging: OnceLock::new(),
            retry_budget: Mutex::new(FleetRetryBudget::new(retry_limit(&bounds))),
            metrics: Metrics::default(),
            bounds: ArcSwap::from_pointee(bounds),
            poison: Mutex::default(),
            crash_parts: Mutex::default(),
            refusal_changes: Mutex::default(),
            speeds: Mutex::default(),
            shares: Mutex::default(),
            returns: Mutex::default(),
            cold_prompts: Mutex::default(),
            announcements: Mutex::default(),
            settings,
        })
    }

    /// Puts new bounds in force.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.retries().set_limit(retry_limit(&bounds));
        self.bounds.store(Arc::new(bounds));
    }

    /// Sets the part of the requests that may be hedged. Only the first call counts.
    pub fn set_hedging(&self, fraction: Fraction) {
        let _ = self.hedging.set(fraction);
    }

    /// Returns the part of the requests that may be hedged, 0 unless it was set.
    pub fn hedging(&self) -> Fraction {
        self.hedging.get().copied().unwrap_or_default()
    }

    /// Returns the retry budget.
    pub fn retries(&self) -> MutexGuard<'_, FleetRetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn speeds(&self) -> MutexGuard<'_, BTreeMap<id::ServiceId, ServiceLatencies>> {
        self.speeds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how long the targets of a service take for a whole response, or
    /// until the first event.
    pub fn latency_model(&self, service: &id::ServiceId) -> LatencyModel {
        let speeds = self.speeds();
        let known = speeds.get(service);
        known
            .map(|known| known.responses.clone())
            .unwrap_or_default()
    }

    /// Returns the contention at the targets of a service.
    pub fn contention_model(&self, service: &id::ServiceId) -> ContentionModel {
        let speeds = self.speeds();
        speeds
            .get(service)
            .map(|known| known.contention)
            .unwrap_or_default()
    }

    /// Returns the measured times of a service.
    pub fn latencies(&self, service: &id::ServiceId) -> ServiceLatencies {
        self.speeds().get(service).cloned().unwrap_or_default()
    }

    /// Updates the measured times of a service with `note`, and returns the
    /// result of `note`.
    pub fn update_latencies<T>(
        &self,
        service: &id::ServiceId,
        note: impl FnOnce(&mut ServiceLatencies) -> T,
    ) -> T {
        let mut speeds = self.speeds();
        if speeds.len() >= MAX_SERVICES && !speeds.contains_key(service) {
            speeds.clear();
        }
        note(speeds.entry(service.clone()).or_default())
    }

    /// Returns how capacity is divided among teams.
    pub fn shares(&self) -> MutexGuard<'_, TeamShares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the completions of services and the callers that were told to return.
    pub fn returns(&self) -> MutexGuard<'_, Returns> {
        self.returns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limit on prompt tokens after a loss of all routers.
    pub fn cold_prompts(&self) -> MutexGuard<'_, ColdPrompts> {
        self.cold_prompts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the contents of requests that targets were running when they
    /// crashed.
    pub fn poison(&self) -> MutexGuard<'_, PoisonTracker> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a request with this content is refused because it crashes
    /// targets. A refusal that is used is stored, for routers that start later.
    pub fn refuses_content(&self, content: id::Fingerprint, may_retry: bool) -> bool {
        let mut poison = self.poison();
        if !poison.is_refused(self.clock.now(), content, may_retry) {
            return false;
        }
        if let Some(targets) = poison.take_unstored(content) {
            drop(poison);
            self.queue_refusal_changes(vec![RowChange {
                key: RefusalKey::Content(content),
                targets: Some(targets),
            }]);
        }
        true
    }

    /// Returns the prompt parts that were in use at crashes.
    pub fn crash_parts(&self) -> MutexGuard<'_, CrashParts> {
        self.crash_parts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of the configuration in force, 0 before any.
    pub fn version(&self) -> id::Version {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or(id::Version(0), |routes| routes.config.version)
    }

    /// Queues parts that a target has cached for announcement to the other
    /// routers.
    pub fn announce_parts(&self, target: &Target, parts: impl Iterator<Item = id::PartHash>) {
        self.announce_cached(parts.map(|part| CachedPart::new(target.hash, part)));
    }

    /// Queues cached parts for announcement to the other routers.
    pub fn announce_cached(&self, parts: impl Iterator<Item = CachedPart>) {
        let mut announcements = self
            .announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if announcements.len() < MAX_ANNOUNCEMENTS {
            announcements.extend(parts);
        }
    }

    /// Removes and returns the oldest queued announcements, at most `max`.
    pub fn take_announcements(&self, max: usize) -> Vec<CachedPart> {
        let mut announcements = self
            .announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = announcements.len().min(max);
        announcements.drain(..count).collect()
    }

    /// Queues changes of the refusals, which the table has to hold.
    pub fn queue_refusal_changes(&self, changes: Vec<RowChange>) {
        let mut queued = self
            .refusal_changes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !changes.is_empty() && queued.len() < MAX_REFUSAL_CHANGES {
            queued.extend(changes);
            self.refusals_changed.notify_one();
        }
    }

    /// Removes and returns the queued changes of the refusals.
    pub fn take_refusal_changes(&self) -> Vec<RowChange> {
        let mut queued = self
            .refusal_changes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut queued)
    }

    /// Returns whether the target is leaving or gone by now.
    pub fn is_leaving(&self, target: &Target) -> bool {
        let fleet = self.fleet.load();
        let known = fleet.as_ref().and_then(|fleet| fleet.target(target.hash));
        known.is_none_or(|known| known.row.leaving)
    }

    /// Returns whether the process exits before a deadline. Requests may still arrive
    /// on connections that were open or have sent a part of one.
    pub fn exits_before(&self, deadline: time::Mono) -> bool {
        self.exit.get().is_some_and(|exit| *exit < deadline)
    }

    /// Counts and logs that a limit for clients was reached.
    pub fn limit_reached(&self, limit: LimitReached, detail: &dyn fmt::Display) {
        self.limits.record(self.clock.now(), limit, detail);
    }

    /// Returns whether this router is ready for requests.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.routes.load().is_some() && self.fleet.load().is_some();
        is_configured && !self.stopping.load(Ordering::Relaxed)
    }
}

fn retry_limit(bounds: &Bounds) -> RetryLimit {
    RetryLimit {
        ratio: bounds.ratio,
        allowance: bounds.allowance,
        window: bounds.window,
    }
}

/// Bodies may take the process's memory divided by this number. Half of the
/// memory is left for connections and state, and a body is copied once while it
/// is read.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Maximum number of cached parts that wait to be announced. Others are not
/// announced; at worst they are read again by another target.
const MAX_ANNOUNCEMENTS: usize = 1_024;

/// Number of queued changes of the refusals from which further ones
/// are not stored.
const MAX_REFUSAL_CHANGES: usize = 1_024;

/// Maximum number of services whose times are remembered.
const MAX_SERVICES: usize = 1_024;

/// Number of routers that are assumed to share the retry budget until others are
/// known.
const INITIAL_ROUTERS: u32 = 8;
