//! Chooses the target with the least expected cost for a prompt.
//!
//! Load pattern: returning chats share long prompt parts, which an engine reads
//! again unless it holds them. Routers tell one another who holds what; a part
//! that nobody holds goes to the target that all routers rank first for it, so
//! that it is read once for the fleet and not once for each router. A burst on
//! one part spills to other targets, which fetch the part from a holder instead
//! of reading it again. A hundred routers that hear of one another's requests a
//! little late must not all choose the same empty target: each looks at a few that
//! it draws. See [the design page](../../../docs/design.md),
//! section 6.3.

use std::collections::BTreeMap;

use base::{hash, span};

use crate::latency::LatencyModel;

/// Part of the time of reading a prompt token that fetching one is taken to cost.
/// The transfer takes far less; the rest keeps chats where they are.
const FETCH_RATIO: f64 = 0.25;

/// Prompt tokens from which fetching is cheaper than reading: setting up a
/// transfer takes the time of reading some hundred tokens.
const MIN_FETCH_TOKENS: u32 = 400;

/// Prompt tokens whose reading delays a request as long as a running one does: by
/// its share of a batch step and of the prompts read between steps.
const RUNNING_REQUEST_TOKENS: f64 = 100.0;

/// Prompt tokens that a target in another data centre is taken to read more. The
/// path takes less; the bytes on it are shared by all.
const REMOTE_TOKENS: f64 = 150.0;

/// Part of the bound on loads, in hundredths, above which a target is passed
/// over, because other routers choose at the same moment.
const SPILL_PERCENT: f64 = 80.0;

/// Least factor on the mean load above which a target is passed over, in
/// hundredths: a target at the mean is never passed over.
const MIN_SPILL_PERCENT: u64 = 110;

/// Requests beyond the factor that a target may have, so that a mean near zero
/// does not spread every request.
const SPILL_MARGIN_REQUESTS: u64 = 3;

/// Requests of other routers that may reach a target before this router hears of
/// them, if all look at the same few targets and choose the least loaded: as many
/// as lie between the level above which a target is passed over and the bound.
const MAX_UNSEEN_PER_TARGET: f64 = 3.0;

/// Targets of a class that a request looks at in any case. The less loaded of two
/// sampled at random is nearly as good as the least loaded of all, and never all
/// routers' choice.
const MIN_SAMPLE: usize = 2;

/// One in so many of the targets must have answered lately for the others to
/// be passed over.
const TRUSTED_DIVISOR: usize = 3;

/// A target as the choice sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Hash of the target's id.
    pub hash: u64,
    /// Requests believed to be at the target.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens sent to the target and not read yet.
    pub pending: u32,
    /// Prompt tokens that the target is not known to hold.
    pub missing: u32,
    /// Delay expected from failures, in microseconds.
    pub penalty: u64,
    /// Hundredths by which its work takes longer than that of others; 0 where it
    /// is not slow.
    pub slowdown: u32,
    /// Whether the target is in the router's own data centre.
    pub local: bool,
    /// Whether the target takes new work. One that leaves may still be fetched
    /// from.
    pub accepting: bool,
    /// Whether the target answered lately.
    pub trusted: bool,
}

/// A prompt as the choice sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the longest part that other requests share.
    pub part: Option<u64>,
    /// Tokens of the part that is the request's own.
    pub own: u32,
    /// Whether targets can fetch parts from one another.
    pub fetches: bool,
}

/// What other routers do at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerTraffic {
    /// Their requests for the service that this router has not heard of yet.
    pub unseen: f64,
}

impl PeerTraffic {
    /// Returns at how many of some equal targets a request looks. A load that a
    /// router believes is older the more requests others send meanwhile; where all
    /// choose the least loaded of all targets, an empty one gets all of them.
    fn sample_size(self, targets: usize) -> usize {
        let size = targets as f64 * MAX_UNSEEN_PER_TARGET / self.unseen.max(f64::EPSILON);
        (size.ceil().min(targets as f64) as usize).max(MIN_SAMPLE)
    }
}

/// What work takes at the targets of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timings {
    /// Time of reading a prompt token, in microseconds.
    pub prefill: f64,
    /// Time of a request that reads nothing and waits for nobody.
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

    /// Returns the time until a candidate has read or fetched a prompt and answers.
    fn micros(self, candidate: &Candidate, read: u32, fetched: u32) -> u64 {
        let slowdown = f64::from(candidate.slowdown) / 100.0;
        let work = self.prefill_time(read.saturating_add(candidate.pending))
            + f64::from(candidate.load) * RUNNING_REQUEST_TOKENS * self.prefill;
        let remote = if candidate.local { 0.0 } else { REMOTE_TOKENS };
        let path = (f64::from(fetched) * FETCH_RATIO + remote) * self.prefill;
        let base_delay = self.base.as_micros() as f64 * slowdown;
        (work * (1.0 + slowdown) + path + base_delay) as u64 + candidate.penalty
    }
}

/// Factor on the mean load above which a target is passed over, in hundredths.
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
    /// Nobody holds them, and it is first in their ranking.
    Home,
    /// It is the cheapest of the others.
    Cheapest,
    /// Every target is above the spill level.
    Saturated,
    /// Too few of the targets that take new work answered lately.
    Untrusted,
}

impl Utilization {
    /// Returns the load in hundredths of the slots.
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
            Self::Untrusted => "untrusted",
        })
    }
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Position among the candidates.
    pub index: usize,
    /// Why.
    pub reason: Reason,
    /// Expected cost in microseconds.
    pub micros: u64,
    /// Position of a candidate from which the target can fetch what it lacks.
    pub source: Option<usize>,
    /// The load of all targets that could have been chosen.
    pub utilization: Utilization,
    /// Load from which a target was passed over.
    pub spill_load: u64,
}

/// The load of the targets of a service that take new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Utilization {
    /// Number of the targets.
    pub targets: u64,
    /// Their requests.
    pub load: u64,
    /// Requests that they run at once.
    pub slots: u64,
}

/// Chooses a target; `seed` breaks ties and draws the targets that are considered.
pub fn choose(
    candidates: &[Candidate],
    prompt: Prompt,
    spill: SpillFactor,
    peers: PeerTraffic,
    timings: Timings,
    seed: u64,
) -> Option<Choice> {
    let filters = enough_trusted(candidates);
    let eligible = |c: &Candidate| c.accepting && (c.trusted || !filters);
    let open = || candidates.iter().enumerate().filter(|(_, c)| eligible(c));
    let utilization = utilization(open().map(|(_, c)| c));
    let spill_load =
        utilization.load * spill.0 / (100 * utilization.targets.max(1)) + SPILL_MARGIN_REQUESTS;
    let full = |c: &Candidate| u64::from(c.load) >= spill_load;
    let holder = prompt
        .part
        .and_then(|_| best_holder(candidates, prompt.own));
    let home = prompt.part.filter(|_| holder.is_none()).and_then(|part| {
        let ranked =
            open().max_by_key(|(_, c)| (!full(c), c.slowdown == 0, hash::mix(c.hash, part)));
        ranked.map(|(index, _)| index)
    });
    let least = holder.map(|index| candidates[index].missing);
    let cost = |index: usize, c: &Candidate| {
        let (read, fetched) = match (home == Some(index), least) {
            // Other routers send the part there too.
            (true, _) => (prompt.own, 0),
            (false, Some(least)) if prompt.fetches && c.missing > least => {
                (least, c.missing - least)
            }
            _ => (c.missing, 0),
        };
        timings.micros(c, read, fetched)
    };
    let class = |(_, c): &(usize, &Candidate)| Class {
        full: full(c),
        holds: Some(c.missing) == least,
        local: c.local,
        slow: c.slowdown > 0,
    };
    let sampled = sample(open(), class, peers, seed);
    let considered = sampled.into_iter().chain(home);
    let key = |index: usize| {
        let c = &candidates[index];
        (full(c), cost(index, c), hash::mix(c.hash, seed), index)
    };
    let (is_full, micros, _, index) = considered.map(key).min()?;
    let chosen = &candidates[index];
    let source = holder.filter(|holder| {
        let gain = chosen.missing.saturating_sub(candidates[*holder].missing);
        prompt.fetches && *holder != index && gain >= MIN_FETCH_TOKENS
    });
    let reason = if !filters {
        Reason::Untrusted
    } else if is_full {
        Reason::Saturated
    } else if home == Some(index) {
        Reason::Home
    } else if prompt.part.is_some() && Some(chosen.missing) == least {
        Reason::Holder
    } else {
        Reason::Cheapest
    };
    Some(Choice {
        index,
        reason,
        micros,
        source,
        utilization,
        spill_load,
    })
}

/// What makes targets equal for a prompt, but for their loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    full: bool,
    holds: bool,
    local: bool,
    slow: bool,
}

/// Draws the targets that a request looks at, some of each class.
fn sample<'a>(
    open: impl Iterator<Item = (usize, &'a Candidate)>,
    class: impl Fn(&(usize, &Candidate)) -> Class,
    peers: PeerTraffic,
    seed: u64,
) -> Vec<usize> {
    let mut classes: BTreeMap<Class, Vec<(u64, usize)>> = BTreeMap::new();
    for candidate in open {
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

/// Returns whether enough targets answered lately to do without the others:
/// those that remain would otherwise get all the work.
fn enough_trusted(candidates: &[Candidate]) -> bool {
    let open = candidates.iter().filter(|c| c.accepting);
    let trusted = open.clone().filter(|c| c.trusted).count();
    trusted * TRUSTED_DIVISOR >= open.count() && trusted > 0
}

/// Returns a candidate that holds all shared parts, whether it takes new work or
/// not.
fn best_holder(candidates: &[Candidate], own: u32) -> Option<usize> {
    let holders = candidates.iter().enumerate().filter(|(_, c)| c.trusted);
    let (index, best) = holders.min_by_key(|(_, c)| (c.missing, !c.accepting, c.load))?;
    (best.missing <= own).then_some(index)
}

fn utilization<'a>(open: impl Iterator<Item = &'a Candidate>) -> Utilization {
    open.fold(Utilization::default(), |sum, candidate| Utilization {
        targets: sum.targets + 1,
        load: sum.load + u64::from(candidate.load),
        slots: sum.slots + u64::from(candidate.slots),
    })
}
