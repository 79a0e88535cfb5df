//! Chooses the target with the least expected cost for a prompt.
//!
//! Load pattern: returning chats share long prompt parts, which an engine prefills
//! again unless its cache holds them. Routers exchange which target holds which
//! part. A part that no target holds goes to the target that all routers rank first
//! for it, so that it is prefilled once for the fleet and not once per router. A
//! burst on one part spills over to other targets, which fetch the part from a
//! holder instead of prefilling it. A hundred routers that learn of one another's
//! requests with a delay must not all choose the same idle target, so each considers
//! only a small random sample. A target whose latest figure says that it is less
//! contended than others is considered too, while its load is near the mean. See
//! [the design page](../../../docs/design.md),
//! section 6.3.

use std::collections::BTreeMap;

use base::{hash, span};

use crate::latency::LatencyModel;

/// Assumed cost of fetching a prompt token, as a fraction of the time to prefill it.
/// The transfer takes far less; the excess keeps chats at the target that holds
/// their cache.
const FETCH_RATIO: f64 = 0.25;

/// Prompt tokens from which fetching is cheaper than prefilling: setting up a
/// transfer takes as long as prefilling some hundred tokens.
const MIN_FETCH_TOKENS: u32 = 400;

/// Delay by one running request, expressed in prefilled prompt tokens: its share of
/// a batch step and of the prompts that are prefilled between steps.
const RUNNING_REQUEST_TOKENS: f64 = 100.0;

/// Extra cost of a target in another data centre, expressed in prefilled prompt
/// tokens. The network delay alone is less, but all share the bandwidth between
/// data centres.
const REMOTE_TOKENS: f64 = 150.0;

/// Percentage of the load bound above which a target counts as full. The rest is
/// left for requests that other routers send at the same moment.
const SPILL_PERCENT: f64 = 80.0;

/// Lower bound of the spill factor, in percent of the mean load, so that a target
/// with the mean load never counts as full.
const MIN_SPILL_PERCENT: u64 = 110;

/// Requests that a target may have beyond the factor times the mean, so that with a
/// mean near zero not every request spills over.
const SPILL_MARGIN_REQUESTS: u64 = 3;

/// Requests of other routers that may reach a target before this router learns of
/// them, if all routers sample the same targets and choose the least loaded. They
/// must fit between the spill load and the load bound.
const MAX_UNSEEN_PER_TARGET: f64 = 3.0;

/// Smallest sample of a class. The less loaded of two random targets is nearly as
/// good as the least loaded of all, and not the choice of all routers at the same moment.
const MIN_SAMPLE: usize = 2;

/// Contention, in percent, below which a target is considered in addition to the
/// random sample. Smaller differences do not outweigh one running request.
const LESS_CONTENDED_PERCENT: i32 = -5;

/// Requests that such a target may have beyond the mean. Without a limit close to
/// the mean, three to four times as many requests reached targets above the load
/// bound in the replay of `edge/tests/contention.rs`, because each router returned
/// to the targets whose figures it had just seen.
const LESS_CONTENDED_MARGIN: u64 = 1;

/// Blocked targets are excluded only if at least one in this many accepting
/// targets is not blocked.
const UNBLOCKED_DIVISOR: usize = 3;

/// The properties of a target that the choice uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Hash of the target's id.
    pub hash: u64,
    /// Estimated outstanding requests at the target.
    pub load: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens sent to the target that it has not prefilled yet.
    pub pending: u32,
    /// Prompt tokens that the target is not known to hold.
    pub missing: u32,
    /// Expected delay by failures, in microseconds.
    pub penalty: u64,
    /// How much longer its work takes than that of other targets, in percent; 0 if
    /// it is not slow.
    pub slowdown: u32,
    /// How much longer its work takes than at a typical target because of other
    /// workloads on its instance, in percent; negative if it takes less time.
    pub contention: i32,
    /// Requests at the target according to its latest report, and those that this
    /// router sent since.
    pub reported: u32,
    /// Whether the target is in the router's own data centre.
    pub local: bool,
    /// Whether the target accepts new work. Others can still fetch prompt parts from
    /// one that does not.
    pub accepting: bool,
    /// Whether the target's breaker admits requests.
    pub unblocked: bool,
    /// Whether the target must not be used at all, not even as a cache source. It then
    /// must not be accepting either.
    pub excluded: bool,
}

/// The properties of a prompt that the choice uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the longest part that is shared with other requests.
    pub part: Option<u64>,
    /// Tokens of the part that is not shared.
    pub own: u32,
    /// Whether targets can fetch parts from one another.
    pub fetches: bool,
}

/// Concurrent requests of other routers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerTraffic {
    /// Estimated requests for the service that this router has not learned of yet.
    pub unseen: f64,
}

impl PeerTraffic {
    /// Returns how many of `targets` equal targets a request considers. The more
    /// requests other routers send before this one learns of them, the staler its
    /// load estimates are. If all routers considered all targets, they would all send
    /// to the same idle one.
    fn sample_size(self, targets: usize) -> usize {
        let size = targets as f64 * MAX_UNSEEN_PER_TARGET / self.unseen.max(f64::EPSILON);
        (size.ceil().min(targets as f64) as usize).max(MIN_SAMPLE)
    }
}

/// Times of work at the targets of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timings {
    /// Time to prefill one prompt token, in microseconds.
    pub prefill: f64,
    /// Time of a request that prefills nothing and does not wait.
    pub base: span::Span,
}

impl From<&LatencyModel> for Timings {
    fn from(model: &LatencyModel) -> Self {
        Self {
            prefill: model.prefill(),
            base: model.base(),
        }
    }
}

impl Default for Timings {
    fn default() -> Self {
        Self::from(&LatencyModel::default())
    }
}

impl Timings {
    fn prefill_time(self, tokens: u32) -> f64 {
        f64::from(tokens) * self.prefill
    }

    /// Returns the expected time until a candidate responds, in microseconds, where
    /// it prefills `prefilled` tokens and fetches `fetched` tokens. The base time is
    /// counted only as far as it exceeds that of the candidate with `least`
    /// contention.
    fn micros(self, candidate: &Candidate, prefilled: u32, fetched: u32, least: i32) -> u64 {
        let contention = f64::from(candidate.contention) / 100.0;
        let excess = f64::from(candidate.contention - least) / 100.0;
        let slowdown = f64::from(candidate.slowdown) / 100.0;
        let work = self.prefill_time(prefilled.saturating_add(candidate.pending))
            + f64::from(candidate.load) * RUNNING_REQUEST_TOKENS * self.prefill;
        let remote = if candidate.local { 0.0 } else { REMOTE_TOKENS };
        let path = (f64::from(fetched) * FETCH_RATIO + remote) * self.prefill;
        let base_delay = self.base.as_micros() as f64 * (slowdown + excess);
        (work * (1.0 + slowdown) * (1.0 + contention) + path + base_delay) as u64
            + candidate.penalty
    }
}

/// Load above which a target counts as full, in percent of the mean load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpillFactor(u64);

impl SpillFactor {
    /// Returns the factor that keeps loads below `bound` times the mean.
    pub fn below(bound: f64) -> Self {
        Self(((bound * SPILL_PERCENT) as u64).max(MIN_SPILL_PERCENT))
    }
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It holds the shared parts.
    Holder,
    /// No target holds them, and it is first in their ranking.
    Home,
    /// It has the least expected cost of the sampled targets.
    Cheapest,
    /// Every target is at or above the spill load.
    Saturated,
    /// Most targets that accept new work are blocked, so that none is excluded.
    MostBlocked,
}

impl Utilization {
    /// Returns the load in percent of the slots, 0 without slots.
    pub fn percent(self) -> f64 {
        match self.slots {
            0 => 0.0,
            slots => self.load as f64 * 100.0 / slots as f64,
        }
    }
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::Holder => "holder",
            Self::Home => "home",
            Self::Cheapest => "cheapest",
            Self::Saturated => "saturated",
            Self::MostBlocked => "untrusted",
        })
    }
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index of the target among the candidates.
    pub index: usize,
    /// Why it was chosen.
    pub reason: Reason,
    /// Expected cost in microseconds.
    pub micros: u64,
    /// Index of the candidate from which the target can fetch the missing parts.
    pub source: Option<usize>,
    /// The load of all eligible targets.
    pub utilization: Utilization,
    /// Load from which a target counted as full.
    pub spill_load: u64,
}

impl Choice {
    /// Returns whether the target was chosen for want of a better one.
    pub fn is_impaired(&self) -> bool {
        matches!(self.reason, Reason::Saturated | Reason::MostBlocked)
    }
}

/// The total load of the eligible targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Utilization {
    /// Number of the targets.
    pub targets: u64,
    /// Estimated requests at the targets.
    pub load: u64,
    /// Requests that the targets run concurrently.
    pub slots: u64,
}

/// Chooses a target, or returns `None` if none accepts work. `seed` breaks ties and
/// selects the sample of targets.
pub fn choose(
    candidates: &[Candidate],
    prompt: Prompt,
    spill: SpillFactor,
    peers: PeerTraffic,
    timings: Timings,
    seed: u64,
) -> Option<Choice> {
    Comparison::new(candidates, prompt, spill, timings).choose(peers, seed)
}

/// How [`choose`] compares one candidate with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// Whether it may be chosen: it accepts work and is not excluded as blocked.
    pub is_eligible: bool,
    /// Whether it is in the sample that this request considers.
    pub is_considered: bool,
    /// The considered candidate with the least rank is chosen.
    pub rank: Rank,
}

/// Order of preference of the candidates, the least being the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the candidate counts as full.
    pub is_full: bool,
    /// Expected cost in microseconds.
    pub micros: u64,
    /// Decides between equal costs.
    tie: u64,
    index: usize,
}

/// Returns, for each candidate, what [`choose`] compares with the same arguments.
pub fn assess(
    candidates: &[Candidate],
    prompt: Prompt,
    spill: SpillFactor,
    peers: PeerTraffic,
    timings: Timings,
    seed: u64,
) -> Vec<Assessment> {
    let comparison = Comparison::new(candidates, prompt, spill, timings);
    let considered: Vec<_> = comparison.considered(peers, seed).collect();
    let assess = |(index, candidate)| Assessment {
        is_eligible: comparison.accepts(candidate),
        is_considered: considered.contains(&index),
        rank: comparison.rank(index, seed),
    };
    candidates.iter().enumerate().map(assess).collect()
}

/// What the choice derives from all candidates together.
struct Comparison<'a> {
    candidates: &'a [Candidate],
    prompt: Prompt,
    timings: Timings,
    excludes_blocked: bool,
    utilization: Utilization,
    spill_load: u64,
    /// Index of the candidate that holds the shared parts.
    holder: Option<usize>,
    /// Index of the candidate that is first in the ranking, if none holds the parts.
    home: Option<usize>,
    min_missing: Option<u32>,
    least_contention: i32,
}

impl<'a> Comparison<'a> {
    fn new(
        candidates: &'a [Candidate],
        prompt: Prompt,
        spill: SpillFactor,
        timings: Timings,
    ) -> Self {
        let holder = prompt
            .part
            .and_then(|_| best_holder(candidates, prompt.own));
        let mut comparison = Self {
            candidates,
            prompt,
            timings,
            excludes_blocked: enough_unblocked(candidates),
            utilization: Utilization::default(),
            spill_load: 0,
            holder,
            home: None,
            min_missing: holder.map(|index| candidates[index].missing),
            least_contention: 0,
        };
        let utilization = utilization(comparison.eligible().map(|(_, c)| c));
        comparison.utilization = utilization;
        comparison.spill_load =
            utilization.load * spill.0 / (100 * utilization.targets.max(1)) + SPILL_MARGIN_REQUESTS;
        comparison.home = prompt.part.filter(|_| holder.is_none()).and_then(|part| {
            let ranked = comparison.eligible().max_by_key(|(_, c)| {
                let hash = hash::mix(c.hash, part);
                (!comparison.is_full(c), c.slowdown == 0, hash)
            });
            ranked.map(|(index, _)| index)
        });
        let contention = comparison.eligible().map(|(_, c)| c.contention);
        comparison.least_contention = contention.fold(0, i32::min);
        comparison
    }

    fn accepts(&self, c: &Candidate) -> bool {
        c.accepting && (c.unblocked || !self.excludes_blocked)
    }

    fn eligible(&self) -> impl Iterator<Item = (usize, &'a Candidate)> {
        let candidates = self.candidates.iter().enumerate();
        candidates.filter(|(_, c)| self.accepts(c))
    }

    fn is_full(&self, c: &Candidate) -> bool {
        u64::from(c.load) >= self.spill_load
    }

    fn cost(&self, index: usize) -> u64 {
        let c = &self.candidates[index];
        let (prefilled, fetched) = match (self.home == Some(index), self.min_missing) {
            // All routers send this part to its home, so that the shared tokens are
            // prefilled there anyway and are not counted as a cost of this request.
            (true, _) => (self.prompt.own, 0),
            (false, Some(least)) if self.prompt.fetches && c.missing > least => {
                (least, c.missing - least)
            }
            _ => (c.missing, 0),
        };
        let least_contention = self.least_contention;
        self.timings.micros(c, prefilled, fetched, least_contention)
    }

    fn rank(&self, index: usize, seed: u64) -> Rank {
        let c = &self.candidates[index];
        Rank {
            is_full: self.is_full(c),
            micros: self.cost(index),
            tie: hash::mix(c.hash, seed),
            index,
        }
    }

    /// Returns the indices of the candidates that a request considers.
    fn considered(&self, peers: PeerTraffic, seed: u64) -> impl Iterator<Item = usize> {
        let class = |(_, c): &(usize, &Candidate)| Class {
            full: self.is_full(c),
            holds: Some(c.missing) == self.min_missing,
            local: c.local,
            slow: c.slowdown > 0,
        };
        let sampled = sample(self.eligible(), class, peers, seed);
        let idle = |c: &Candidate| {
            let load = u64::from(c.load.max(c.reported)).saturating_sub(LESS_CONTENDED_MARGIN);
            load * self.utilization.targets <= self.utilization.load
        };
        let idle = self.eligible().filter(|(_, c)| !self.is_full(c) && idle(c));
        let less_contended = less_contended(idle, seed);
        sampled.into_iter().chain(self.home).chain(less_contended)
    }

    fn choose(&self, peers: PeerTraffic, seed: u64) -> Option<Choice> {
        let considered = self.considered(peers, seed);
        let Rank {
            is_full,
            micros,
            index,
            ..
        } = considered.map(|index| self.rank(index, seed)).min()?;
        let chosen = &self.candidates[index];
        let source = self.holder.filter(|holder| {
            let gain = chosen
                .missing
                .saturating_sub(self.candidates[*holder].missing);
            self.prompt.fetches && *holder != index && gain >= MIN_FETCH_TOKENS
        });
        let reason = if !self.excludes_blocked {
            Reason::MostBlocked
        } else if is_full {
            Reason::Saturated
        } else if self.home == Some(index) {
            Reason::Home
        } else if self.prompt.part.is_some() && Some(chosen.missing) == self.min_missing {
            Reason::Holder
        } else {
            Reason::Cheapest
        };
        Some(Choice {
            index,
            reason,
            micros,
            source,
            utilization: self.utilization,
            spill_load: self.spill_load,
        })
    }
}

/// Targets of the same class differ, for a prompt, in their loads only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    full: bool,
    holds: bool,
    local: bool,
    slow: bool,
}

/// Returns the indices of the targets that a request considers: a random sample of
/// each class.
fn sample<'a>(
    eligible: impl Iterator<Item = (usize, &'a Candidate)>,
    class: impl Fn(&(usize, &Candidate)) -> Class,
    peers: PeerTraffic,
    seed: u64,
) -> Vec<usize> {
    let mut classes: BTreeMap<Class, Vec<(u64, usize)>> = BTreeMap::new();
    for candidate in eligible {
        let key = hash::mix(candidate.1.hash, seed);
        let same = classes.entry(class(&candidate)).or_default();
        same.push((key, candidate.0));
    }
    let sampled = classes.into_values().flat_map(|mut same| {
        let size = peers.sample_size(same.len());
        if size < same.len() {
            same.select_nth_unstable(size);
            same.truncate(size);
        }
        same
    });
    sampled.map(|(_, index)| index).collect()
}

/// Returns the index of a random target of those that are known to be less contended
/// than a typical one.
fn less_contended<'a>(
    eligible: impl Iterator<Item = (usize, &'a Candidate)>,
    seed: u64,
) -> Option<usize> {
    let known = eligible.filter(|(_, c)| c.contention <= LESS_CONTENDED_PERCENT);
    let drawn = known.min_by_key(|(_, c)| hash::mix(c.hash, seed));
    drawn.map(|(index, _)| index)
}

/// Returns whether enough accepting targets are not blocked, so that the blocked
/// ones can be excluded. With fewer, the others would get more work than they can
/// process.
fn enough_unblocked(candidates: &[Candidate]) -> bool {
    let accepting = candidates.iter().filter(|c| c.accepting);
    let unblocked = accepting.clone().filter(|c| c.unblocked).count();
    unblocked * UNBLOCKED_DIVISOR >= accepting.count() && unblocked > 0
}

/// Returns the index of an unblocked candidate that holds all shared parts, whether it
/// accepts new work or not. An excluded candidate is none.
fn best_holder(candidates: &[Candidate], own: u32) -> Option<usize> {
    let holders = candidates.iter().enumerate();
    let holders = holders.filter(|(_, c)| c.unblocked && !c.excluded);
    let (index, best) = holders.min_by_key(|(_, c)| (c.missing, !c.accepting, c.load))?;
    (best.missing <= own).then_some(index)
}

fn utilization<'a>(eligible: impl Iterator<Item = &'a Candidate>) -> Utilization {
    eligible.fold(Utilization::default(), |sum, candidate| Utilization {
        targets: sum.targets + 1,
        load: sum.load + u64::from(candidate.load),
        slots: sum.slots + u64::from(candidate.slots),
    })
}
