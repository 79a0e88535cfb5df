//! Start-time fair queueing by team, then by priority, then by deadline.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use base::{id, span, time};

use crate::request::Request;

/// Virtual time that one request of a team of weight 1 costs.
const REQUEST_COST: u64 = 1 << 20;

/// Time for which a team without requests is remembered, and length of each of
/// the two periods over which the peak load of the other teams is measured.
const PEAK_PERIOD: span::Span = span::Span::from_secs(15);

/// Time for which a team counts as backlogged after one of its requests had to
/// wait.
const BACKLOG_TIME: span::Span = span::Span::from_secs(5);

/// Slots kept free in addition to those that the other teams used recently.
const SPARE_SLOTS: u32 = 1;

/// One more slot is kept free for each `SLOTS_PER_SPARE` slots of the cap.
/// Without it 1.3% of the other teams' requests waited during a surge (16 slots,
/// ten teams), with it 0.4%; it cost the surging team a tenth of its throughput.
const SLOTS_PER_SPARE: u32 = 16;

/// Load from which a team counts as surging, in halves of its fair share. The
/// threshold is above the share because random arrivals often put a team
/// slightly above it.
const SURGE_HALVES: u32 = 3;

/// A team's fair share in halves.
const SHARE_HALVES: u32 = 2;

/// Sort key of one team's queue: priority, deadline, number of arrival.
type QueueKey = (Reverse<u32>, time::Mono, u64);

#[derive(Clone, Debug)]
struct Queued {
    request: Request,
    expiry: time::Mono,
}

#[derive(Clone, Debug, Default)]
struct Team {
    weight: u64,
    running: u32,
    queue: BTreeMap<QueueKey, Queued>,
    /// Virtual start time of the next request.
    virtual_start: u64,
    /// Virtual finish time of the latest dispatched request.
    virtual_finish: u64,
    /// When a request of it last arrived, was dispatched or finished.
    last_active: time::Mono,
    /// Until when it counts as backlogged.
    backlogged_until: time::Mono,
    /// Refused requests since its latest dispatch.
    refusals: u32,
}

/// The running and the queued requests of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    teams: BTreeMap<id::TeamId, Team>,
    running: BTreeMap<id::RequestId, id::TeamId>,
    queued: BTreeMap<id::RequestId, (id::TeamId, QueueKey)>,
    expiries: BTreeSet<(time::Mono, id::RequestId)>,
    /// Virtual time: the virtual start time of the latest dispatched request.
    virtual_now: u64,
    /// Number of arrivals so far; keeps requests with equal keys in order.
    arrivals: u64,
    /// Highest number of running requests without those of the largest team, in
    /// the current and in the previous period.
    peaks: [u32; 2],
    period_start: time::Mono,
}

impl FairQueue {
    pub(crate) fn running(&self) -> u32 {
        count(self.running.len())
    }

    pub(crate) fn queued(&self) -> u32 {
        count(self.queued.len())
    }

    pub(crate) fn queued_of(&self, team: &id::TeamId) -> u32 {
        self.teams
            .get(team)
            .map_or(0, |team| count(team.queue.len()))
    }

    pub(crate) fn refusals_of(&self, team: &id::TeamId) -> u32 {
        self.teams.get(team).map_or(0, |team| team.refusals)
    }

    pub(crate) fn contains(&self, id: id::RequestId) -> bool {
        self.is_running(id) || self.queued.contains_key(&id)
    }

    pub(crate) fn is_running(&self, id: id::RequestId) -> bool {
        self.running.contains_key(&id)
    }

    pub(crate) fn next_expiry(&self) -> Option<time::Mono> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Returns the first queued request whose wait has expired, if any.
    pub(crate) fn expired(&self, now: time::Mono) -> Option<&Request> {
        let (expiry, id) = self.expiries.first()?;
        let (team, key) = self.queued.get(id)?;
        let queued = self.teams.get(team)?.queue.get(key)?;
        (*expiry <= now).then_some(&queued.request)
    }

    pub(crate) fn first_queued(&self) -> Option<id::RequestId> {
        self.queued.keys().next().copied()
    }

    /// Adds a request to its team's queue.
    pub(crate) fn push(&mut self, now: time::Mono, request: Request, expiry: time::Mono) {
        let virtual_now = self.virtual_now;
        let team = self.teams.entry(request.team.clone()).or_default();
        team.weight = u64::from(request.weight.max(1));
        team.last_active = now;
        if team.queue.is_empty() {
            team.virtual_start = team.virtual_finish.max(virtual_now);
        }
        self.arrivals += 1;
        let key = (Reverse(request.priority), request.deadline, self.arrivals);
        self.queued.insert(request.id, (request.team.clone(), key));
        self.expiries.insert((expiry, request.id));
        team.queue.insert(key, Queued { request, expiry });
    }

    /// Removes a queued request.
    pub(crate) fn remove(&mut self, id: id::RequestId) -> Option<Request> {
        let (team, key) = self.queued.remove(&id)?;
        let queued = self.teams.get_mut(&team)?.queue.remove(&key)?;
        self.expiries.remove(&(queued.expiry, id));
        Some(queued.request)
    }

    /// Returns whether a team is large, uses at least its fair share, and was
    /// backlogged recently or runs most of the requests.
    pub(crate) fn is_above_share(&self, now: time::Mono, team: &id::TeamId, cap: u32) -> bool {
        let weights: u64 = self.teams.values().map(|team| team.weight).sum();
        self.teams
            .get(team)
            .is_some_and(|team| self.exceeds_share(now, team, cap, weights, SHARE_HALVES))
    }

    /// Marks a team as backlogged because a request of it had to wait.
    pub(crate) fn note_backlog(&mut self, now: time::Mono, team: &id::TeamId) {
        if let Some(team) = self.teams.get_mut(team) {
            team.backlogged_until = now + BACKLOG_TIME;
        }
    }

    /// Records that a request of the team was refused.
    pub(crate) fn note_refusal(&mut self, team: &id::TeamId) {
        if let Some(team) = self.teams.get_mut(team) {
            team.refusals = team.refusals.saturating_add(1);
        }
    }

    /// Returns the last queued request of the team with the longest queue
    /// relative to its weight.
    pub(crate) fn last_of_longest(&self) -> Option<id::RequestId> {
        let longest = self
            .teams
            .values()
            .filter(|team| !team.queue.is_empty())
            .max_by_key(|team| team.queue.len() as u64 * REQUEST_COST / team.weight)?;
        longest.queue.values().next_back().map(|w| w.request.id)
    }

    /// Returns the last queued request of a team.
    pub(crate) fn last_of(&self, team: &id::TeamId) -> Option<id::RequestId> {
        let team = self.teams.get(team)?;
        team.queue.values().next_back().map(|w| w.request.id)
    }

    /// Returns the weight of one team and all other teams with queued requests,
    /// relative to that of the one team; at least 1.
    pub(crate) fn contention(&self, team: &id::TeamId) -> u64 {
        let own = self.teams.get(team).map_or(1, |team| team.weight.max(1));
        let others: u64 = self
            .teams
            .iter()
            .filter(|(name, other)| *name != team && !other.queue.is_empty())
            .map(|(_, other)| other.weight)
            .sum();
        (own + others).div_ceil(own)
    }

    /// Dispatches the next request if one may run within `cap`.
    pub(crate) fn dispatch(&mut self, now: time::Mono, cap: u32) -> Option<id::RequestId> {
        if self.running() >= cap || self.queued.is_empty() {
            return None;
        }
        self.rotate_period(now);
        let weights: u64 = self.teams.values().map(|team| team.weight).sum();
        let load = self.load_without_largest();
        let unused_peak = self.peaks[0].max(self.peaks[1]).saturating_sub(load);
        let name = self
            .teams
            .iter()
            .filter(|(_, team)| !team.queue.is_empty())
            .filter(|(_, team)| self.may_run(now, team, cap, weights, unused_peak))
            .min_by_key(|(_, team)| team.virtual_start)
            .map(|(name, _)| name.clone())?;
        let id = self.start_next(now, &name)?;
        self.record_peak();
        Some(id)
    }

    /// Returns whether a team may use one more of the `cap` slots.
    ///
    /// A surging team must leave free the slots that the others used recently
    /// and some spare ones, so that requests of the others start immediately.
    fn may_run(
        &self,
        now: time::Mono,
        team: &Team,
        cap: u32,
        weights: u64,
        unused_peak: u32,
    ) -> bool {
        if !self.is_surging(now, team, cap, weights) || self.teams.len() == 1 {
            return true;
        }
        let reserve = (unused_peak + SPARE_SLOTS + cap / SLOTS_PER_SPARE).min(cap / 2);
        self.running() + reserve < cap
    }

    /// Returns whether a team is far above its fair share, more than two thirds
    /// as large as the largest team by weight, and either backlogged or using
    /// most of the slots.
    fn is_surging(&self, now: time::Mono, team: &Team, cap: u32, weights: u64) -> bool {
        self.exceeds_share(now, team, cap, weights, SURGE_HALVES)
    }

    /// As [`FairQueue::is_surging`], with a threshold of `halves` halves of the
    /// team's fair share.
    fn exceeds_share(
        &self,
        now: time::Mono,
        team: &Team,
        cap: u32,
        weights: u64,
        halves: u32,
    ) -> bool {
        if 2 * team.running < halves * fair_share(team, cap, weights) {
            return false;
        }
        let is_large = self.teams.values().all(|other| {
            3 * u64::from(team.running) * other.weight > 2 * u64::from(other.running) * team.weight
        });
        is_large && (now < team.backlogged_until || 2 * team.running > cap)
    }

    fn start_next(&mut self, now: time::Mono, name: &id::TeamId) -> Option<id::RequestId> {
        let team = self.teams.get_mut(name)?;
        let (_, queued) = team.queue.pop_first()?;
        let id = queued.request.id;
        self.virtual_now = self.virtual_now.max(team.virtual_start);
        team.virtual_finish = team.virtual_start + REQUEST_COST / team.weight.min(REQUEST_COST);
        team.virtual_start = team.virtual_finish;
        team.running += 1;
        team.last_active = now;
        team.refusals = 0;
        self.queued.remove(&id);
        self.expiries.remove(&(queued.expiry, id));
        self.running.insert(id, name.clone());
        Some(id)
    }

    /// Removes a running request; returns whether there was one.
    pub(crate) fn finish(&mut self, now: time::Mono, id: id::RequestId) -> bool {
        let Some(name) = self.running.remove(&id) else {
            return false;
        };
        if let Some(team) = self.teams.get_mut(&name) {
            team.running -= 1;
            team.last_active = now;
        }
        true
    }

    /// Starts a new period if the current one is over, and removes teams that
    /// have had no requests for a period.
    fn rotate_period(&mut self, now: time::Mono) {
        if now.since(self.period_start) < PEAK_PERIOD {
            return;
        }
        self.period_start = now;
        self.peaks = [0, self.peaks[0]];
        self.teams.retain(|_, team| {
            team.running > 0 || !team.queue.is_empty() || now.since(team.last_active) < PEAK_PERIOD
        });
    }

    /// Returns the number of running requests without those of the largest team.
    fn load_without_largest(&self) -> u32 {
        let largest = self.teams.values().map(|team| team.running).max();
        self.running() - largest.unwrap_or(0)
    }

    fn record_peak(&mut self) {
        self.peaks[0] = self.peaks[0].max(self.load_without_largest());
    }
}

/// Returns the fair share of a team: the slots of `cap` that it may always use.
fn fair_share(team: &Team, cap: u32, weights: u64) -> u32 {
    let slots = u64::from(cap) * team.weight / weights.max(1);
    u32::try_from(slots).unwrap_or(cap).max(1)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
