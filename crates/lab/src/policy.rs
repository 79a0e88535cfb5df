//! How a router chooses targets: as it does, or as a baseline would.

use std::{fmt, str::FromStr};

use base::{hash, time};
use edge::decide::{Query, Selection, ServiceState};
use place::{cost, latency::Task};
use rand::{RngExt, rngs::ChaCha8Rng};

/// Load of a target relative to the mean above which bounded hashing goes on to the
/// next one.
const HASH_BOUND: f64 = 1.25;

/// A way to choose targets, and whether requests are refused under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// What the router does.
    Today,
    /// The same without refusing.
    Open,
    /// The same without what is known of slow targets.
    Blind,
    /// The same without the limit on prompts after a loss of all routers.
    Eager,
    /// A target at random.
    Random,
    /// The less loaded of two targets at random.
    Two,
    /// The first target for the shared part, by consistent hashing, that is not
    /// above the mean load by a quarter.
    Hash,
}

/// All policies.
pub const ALL: [Policy; 7] = [
    Policy::Today,
    Policy::Open,
    Policy::Blind,
    Policy::Eager,
    Policy::Random,
    Policy::Two,
    Policy::Hash,
];

/// Reports a text that names no policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no policy; use today, open, blind, eager, random, two or hash")]
pub struct PolicyError(String);

impl Policy {
    fn name(self) -> &'static str {
        match self {
            Self::Today => "today",
            Self::Open => "open",
            Self::Blind => "blind",
            Self::Eager => "eager",
            Self::Random => "random",
            Self::Two => "two",
            Self::Hash => "hash",
        }
    }

    /// Returns whether requests are refused because of the load.
    pub fn sheds(self) -> bool {
        matches!(self, Self::Today | Self::Blind | Self::Eager)
    }

    /// Returns whether prompts are limited after a loss of all routers.
    pub fn limits_cold_prompts(self) -> bool {
        self.sheds() && self != Self::Eager
    }

    /// Returns whether routers learn which targets are slow.
    pub fn times(self) -> bool {
        self != Self::Blind
    }

    /// Chooses a target.
    pub fn choose(
        self,
        now: time::Mono,
        beliefs: &ServiceState,
        ask: Query,
        random: &mut ChaCha8Rng,
    ) -> Option<Selection> {
        if matches!(self, Self::Today | Self::Open | Self::Blind | Self::Eager) {
            return beliefs.select(now, ask);
        }
        let candidates: Vec<cost::Candidate> = beliefs
            .targets
            .iter()
            .map(|target| target.candidate(now, ask.chain, beliefs.centre))
            .collect();
        let open: Vec<usize> = (0..candidates.len())
            .filter(|index| {
                let row = &beliefs.targets[*index].row;
                let c = &candidates[*index];
                c.accepting && c.unblocked && !ask.tried.contains(&row.id)
            })
            .collect();
        let mut draw = || open.get(random.random_range(0..open.len().max(1))).copied();
        let index = match self {
            Self::Two => {
                let pair = draw().into_iter().chain(draw());
                pair.min_by_key(|index| candidates[*index].load)
            }
            Self::Hash => hashed(&candidates, &open, ask),
            _ => draw(),
        }?;
        Some(pick(beliefs, &candidates, index))
    }
}

fn hashed(candidates: &[cost::Candidate], open: &[usize], ask: Query) -> Option<usize> {
    let key = ask.chain.shared().last().map_or(ask.seed, |part| part.0);
    let total: u32 = open.iter().map(|index| candidates[*index].load).sum();
    let bound = f64::from(total + 1) * HASH_BOUND / open.len().max(1) as f64;
    let has_room = |index: usize| f64::from(candidates[index].load) < bound.ceil();
    let ranked = open.iter().copied();
    ranked.max_by_key(|index| (has_room(*index), hash::mix(candidates[*index].hash, key)))
}

fn pick(beliefs: &ServiceState, candidates: &[cost::Candidate], index: usize) -> Selection {
    let chosen = candidates[index];
    Selection {
        target: beliefs.targets[index].clone(),
        source: None,
        missing: chosen.missing,
        task: Task {
            tokens: chosen.missing,
            ..Task::default()
        },
        contention: None,
        load: chosen.load,
        cold: false,
        withheld: 0,
        choice: cost::Choice {
            index,
            reason: cost::Reason::Cheapest,
            micros: 0,
            source: None,
            utilization: cost::Utilization::default(),
            spill_load: 0,
        },
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for Policy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let found = ALL.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| PolicyError(text.to_owned()))
    }
}
