//! What the threads of a router share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use admit::{
    fleet_retries::{FleetRetryBudget, RetryLimit},
    poison::PoisonTracker,
    shares::TeamShares,
};
use arc_swap::{ArcSwap, ArcSwapOption};
use base::{id, span, time};
use inlet::memory::MemoryBudget;
use place::latency::LatencyModel;
use platform::settings::{Bounds, Settings};

use crate::{
    exchange::LoadFreshness,
    fleet::{Fleet, PartHash, Target},
    metrics::Metrics,
    routes::Routes,
    timing::ServiceSpeeds,
    update::CachedPart,
};

/// Snapshots for traffic, and the state of decisions that span requests.
#[derive(Debug)]
pub struct Shared {
    /// The settings of this process.
    pub settings: Settings,
    /// The process's clock.
    pub clock: time::Clock,
    /// The configuration in force; `None` until one is known.
    pub routes: ArcSwapOption<Routes>,
    /// The targets that take new work; `None` until the table was read.
    pub fleet: ArcSwapOption<Fleet>,
    /// Whether the process has been told to stop.
    pub stopping: AtomicBool,
    /// Whether the table answers this process.
    pub reads_table: AtomicBool,
    /// Whether the feed of the configuration works.
    pub feed_works: AtomicBool,
    /// Routers that share the budget of repeats, this one included.
    pub routers: AtomicU32,
    /// What was told of the requests of other routers.
    pub peer_loads: PeerLoads,
    /// Memory for the bodies of callers and targets.
    pub room: Arc<MemoryBudget>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Bounds, which may change while the process runs.
    pub bounds: ArcSwap<Bounds>,
    repeats: Mutex<FleetRetryBudget>,
    poison: Mutex<PoisonTracker>,
    paces: Mutex<BTreeMap<id::ServiceId, ServiceSpeeds>>,
    shares: Mutex<TeamShares>,
    announcements: Mutex<Vec<CachedPart>>,
}

/// How old the loads are that other routers told, and how many told them; the
/// lines of decisions name both.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Time of the oldest that still counts, in microseconds of the clock.
    at: AtomicU64,
    routers: AtomicU32,
    /// Usual age of a load, in microseconds.
    delay: AtomicU64,
}

impl PeerLoads {
    /// Notes what is known now.
    pub fn record(&self, now: time::Mono, known: &LoadFreshness) {
        let at = now.0.saturating_sub(known.age.as_micros());
        self.at.store(at, Ordering::Relaxed);
        self.routers.store(known.routers, Ordering::Relaxed);
        self.delay.store(known.delay.as_micros(), Ordering::Relaxed);
    }

    /// Returns the usual age of a load.
    pub fn delay(&self) -> span::Span {
        span::Span::from_micros(self.delay.load(Ordering::Relaxed))
    }

    /// Returns the age of the oldest load.
    pub fn age(&self, now: time::Mono) -> span::Span {
        now.since(time::Mono(self.at.load(Ordering::Relaxed)))
    }

    /// Returns the routers whose loads are known.
    pub fn routers(&self) -> u32 {
        self.routers.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Starts with nothing known.
    pub fn new(settings: Settings) -> Arc<Self> {
        let bounds = settings.bounds;
        Arc::new(Self {
            clock: time::Clock::start(),
            routes: ArcSwapOption::empty(),
            fleet: ArcSwapOption::empty(),
            stopping: AtomicBool::new(false),
            reads_table: AtomicBool::new(false),
            feed_works: AtomicBool::new(false),
            routers: AtomicU32::new(INITIAL_ROUTERS),
            peer_loads: PeerLoads::default(),
            room: MemoryBudget::new(settings.memory.as_usize() / BODY_MEMORY_DIVISOR),
            repeats: Mutex::new(FleetRetryBudget::new(rule(&bounds))),
            metrics: Metrics::default(),
            bounds: ArcSwap::from_pointee(bounds),
            poison: Mutex::default(),
            paces: Mutex::default(),
            shares: Mutex::default(),
            announcements: Mutex::default(),
            settings,
        })
    }

    /// Puts other bounds in force.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.repeats().set_limit(rule(&bounds));
        self.bounds.store(Arc::new(bounds));
    }

    /// Returns the budget of repeats.
    pub fn repeats(&self) -> MutexGuard<'_, FleetRetryBudget> {
        self.repeats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn paces(&self) -> MutexGuard<'_, BTreeMap<id::ServiceId, ServiceSpeeds>> {
        self.paces.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how fast the targets of a service give whole responses, or first
    /// events.
    pub fn pace(&self, service: &id::ServiceId) -> LatencyModel {
        let paces = self.paces();
        let known = paces.get(service);
        known
            .map(|known| known.responses.clone())
            .unwrap_or_default()
    }

    /// Learns from a time; returns what `note` does.
    pub fn update_paces<T>(
        &self,
        service: &id::ServiceId,
        note: impl FnOnce(&mut ServiceSpeeds) -> T,
    ) -> T {
        let mut paces = self.paces();
        if paces.len() >= MAX_PACES && !paces.contains_key(service) {
            paces.clear();
        }
        note(paces.entry(service.clone()).or_default())
    }

    /// Returns how the work is divided among teams.
    pub fn shares(&self) -> MutexGuard<'_, TeamShares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the contents that were at crashes of targets.
    pub fn poison(&self) -> MutexGuard<'_, PoisonTracker> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of the configuration in force, 0 before any.
    pub fn version(&self) -> id::Version {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or(id::Version(0), |routes| routes.config.version)
    }

    /// Notes parts that a target keeps, for the other routers.
    pub fn announce_parts(&self, target: &Target, parts: impl Iterator<Item = PartHash>) {
        self.announce_cached(parts.map(|part| CachedPart::new(target.hash, part)));
    }

    /// Notes parts that targets keep, for the other routers.
    pub fn announce_cached(&self, told: impl Iterator<Item = CachedPart>) {
        let mut announcements = self
            .announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if announcements.len() < MAX_ANNOUNCEMENTS {
            announcements.extend(told);
        }
    }

    /// Takes the oldest of what [`Shared::announce_cached`] noted.
    pub fn take_announcements(&self, most: usize) -> Vec<CachedPart> {
        let mut announcements = self
            .announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = announcements.len().min(most);
        announcements.drain(..count).collect()
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let knows = self.routes.load().is_some() && self.fleet.load().is_some();
        knows && !self.stopping.load(Ordering::Relaxed)
    }
}

fn rule(bounds: &Bounds) -> RetryLimit {
    RetryLimit {
        ratio: bounds.retry_ratio,
        allowance: bounds.retry_allowance,
        window: bounds.retry_window,
    }
}

/// One part in so many of the process's memory may hold bodies: half is left for
/// connections and state, and a body is copied once while it is read.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Prompt parts that wait to be told at most; more are not told, and read
/// again at worst.
const MAX_ANNOUNCEMENTS: usize = 1_024;

/// Services whose speed is remembered at most.
const MAX_PACES: usize = 1_024;

/// Routers that are assumed to share the budget of repeats before any is known.
const INITIAL_ROUTERS: u32 = 8;
