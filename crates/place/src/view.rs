//! A snapshot of what a router knows of the targets of one service.

use std::{collections::BTreeMap, fmt, sync::Arc};

use base::{hash, id, span};

use crate::policy;

/// Whether a target accepts new work, as far as the router knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// In the instance list; its agent has not reported yet.
    Listed,
    /// Joined or came back `age` ago. Its cache does not hold the chats that rank
    /// it first yet.
    Warming {
        /// Time since it joined.
        age: span::Span,
    },
    /// Came back repeatedly, the last time `age` ago. Treated like `Warming`, but no
    /// cache is imported to it, because it is likely to lose the cache again.
    Flapping {
        /// Time since it came back.
        age: span::Span,
    },
    /// Accepts new work.
    Up,
    /// Finishes its work and accepts no more.
    Leaving,
    /// Does not answer.
    Down,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Listed => "listed",
            Self::Warming { .. } => "warming",
            Self::Flapping { .. } => "flapping",
            Self::Up => "up",
            Self::Leaving => "leaving",
            Self::Down => "down",
        })
    }
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The target's id. Its hash decides which chats rank the target first.
    pub id: id::TargetId,
    /// The process of the agent beside the target.
    pub process: id::ProcessId,
    /// Capacity relative to other targets, in hundredths. A target with 0 gets no
    /// chats.
    pub weight: u32,
    /// The target's data centre.
    pub centre: id::DataCentre,
    /// Whether it accepts new work.
    pub standing: Standing,
    /// Outstanding requests in the latest report, plus those that this router has
    /// sent since.
    pub load: u32,
    /// Outstanding requests that the load bound allowed in the latest report.
    pub cap: u32,
}

impl Target {
    /// Returns whether the target appears to be at its cap.
    pub fn is_full(&self) -> bool {
        self.load >= self.cap
    }

    /// Returns whether the target answers, and so can export its cache.
    pub fn is_alive(&self) -> bool {
        !matches!(self.standing, Standing::Listed | Standing::Down)
    }

    /// Returns whether the target accepts new work.
    pub fn accepts_work(&self) -> bool {
        let accepts = match self.standing {
            Standing::Warming { .. } | Standing::Flapping { .. } | Standing::Up => true,
            Standing::Listed | Standing::Leaving | Standing::Down => false,
        };
        self.weight > 0 && accepts
    }
}

/// The targets of one service, immutable once built.
#[derive(Clone, Debug)]
pub struct View {
    targets: Vec<Arc<Target>>,
    hashes: Vec<u64>,
    processes: BTreeMap<id::ProcessId, usize>,
    /// Whether all weights above zero are equal.
    uniform: bool,
    tuning: policy::Tuning,
}

impl View {
    /// Creates a view. If a target occurs twice, its last entry is used.
    pub fn new(targets: Vec<Target>, tuning: policy::Tuning) -> Self {
        let unique: BTreeMap<_, _> = targets.into_iter().map(|t| (t.id.clone(), t)).collect();
        let targets: Vec<_> = unique.into_values().map(Arc::new).collect();
        let hashes = targets
            .iter()
            .map(|target| hash::bytes(target.id.as_str().as_bytes()))
            .collect();
        let processes = targets
            .iter()
            .enumerate()
            .map(|(index, target)| (target.process.clone(), index))
            .collect();
        let mut weights = targets.iter().map(|t| t.weight).filter(|w| *w > 0);
        let first = weights.next();
        let uniform = weights.all(|weight| Some(weight) == first);
        Self {
            targets,
            hashes,
            processes,
            uniform,
            tuning,
        }
    }

    /// Returns all targets in the order of their ids.
    pub fn targets(&self) -> &[Arc<Target>] {
        &self.targets
    }

    /// Returns the parameters of the choice.
    pub fn tuning(&self) -> &policy::Tuning {
        &self.tuning
    }

    /// Returns the target beside the agent with this process id, such as the owner
    /// of a claim.
    pub fn by_process(&self, process: &id::ProcessId) -> Option<&Arc<Target>> {
        self.processes.get(process).map(|at| &self.targets[*at])
    }

    /// Returns the target with this id.
    pub fn by_target(&self, target: &id::TargetId) -> Option<&Arc<Target>> {
        self.targets
            .binary_search_by(|known| known.id.cmp(target))
            .ok()
            .map(|at| &self.targets[at])
    }

    pub(crate) fn is_uniform(&self) -> bool {
        self.uniform
    }

    pub(crate) fn hashes(&self) -> &[u64] {
        &self.hashes
    }
}
