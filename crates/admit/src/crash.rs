//! Crashes of targets, and what routers send one another about the prompt parts
//! that may be their cause; [`crate::crash_parts`] decides which are refused.

use std::{
    cmp,
    collections::{BTreeMap, BTreeSet},
    iter,
};

use base::{id, time};

use crate::part_set::PartSet;

/// Maximum number of parts that are reported for one crash.
pub const MAX_REPORTED: usize = 24;

/// A crash of a target, and the parts that may be its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash that identifies the run of the target.
    pub target: u64,
    /// Service of the target.
    pub service: id::ServiceId,
    /// When the target crashed.
    pub at: time::Mono,
    /// Parts of the requests at the target that had not been answered for
    /// [`SURVIVAL_TIME`](crate::crash_parts::SURVIVAL_TIME).
    pub suspects: BTreeMap<id::PartHash, Suspect>,
    /// The parts of each of these requests.
    pub prompts: BTreeSet<PartSet>,
}

impl Crash {
    /// Adds a request that may be the cause; `levels` has the [`Suspect::level`] of
    /// each of its parts.
    pub fn add_prompt(&mut self, parts: impl Iterator<Item = id::PartHash>, levels: &[u32]) {
        let levels = levels.iter().copied().chain(iter::repeat(1));
        let suspects = (0..).zip(parts).zip(levels);
        let suspects = suspects.map(|((index, part), level)| (part, Suspect { index, level }));
        let suspects: BTreeMap<_, _> = suspects.collect();
        if !suspects.is_empty() {
            self.prompts.insert(suspects.keys().copied().collect());
            self.suspects.extend(suspects);
        }
    }

    /// Returns the crash with at most `max` suspects, those of the prompts whose
    /// parts have the highest ranks. Prompts are kept or left out as a whole, as their
    /// parts would otherwise seem to be in use without one another; only one that alone
    /// has more than [`MAX_REPORTED`] parts is shortened.
    #[must_use]
    pub fn limited<R: Ord>(&self, max: usize, rank: impl Fn(id::PartHash) -> R) -> Self {
        if self.suspects.len() <= max {
            return self.clone();
        }
        let mut prompts: Vec<_> = self.prompts.iter().collect();
        prompts.sort_by_cached_key(|prompt| {
            let mut ranks: Vec<_> = prompt.parts().map(&rank).collect();
            ranks.sort_unstable_by(|a, b| b.cmp(a));
            cmp::Reverse(ranks)
        });
        let mut crash = Self {
            suspects: BTreeMap::new(),
            prompts: BTreeSet::new(),
            service: self.service.clone(),
            ..*self
        };
        for prompt in prompts {
            let mut prompt = prompt.clone();
            if prompt.len() > max && max >= MAX_REPORTED && crash.prompts.is_empty() {
                let mut parts: Vec<_> = prompt.parts().collect();
                parts.sort_by_cached_key(|part| cmp::Reverse(rank(*part)));
                prompt = parts.into_iter().take(max).collect();
            }
            let added = prompt
                .parts()
                .filter(|part| !crash.suspects.contains_key(part));
            if crash.suspects.len() + added.count() > max {
                continue;
            }
            let known = |part| Some((part, *self.suspects.get(&part)?));
            crash.suspects.extend(prompt.parts().filter_map(known));
            crash.prompts.insert(prompt);
        }
        crash
    }
}

/// A part of a prompt that may be the cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Index of the part in the prompt.
    pub index: u32,
    /// How many crashes of the part had followed one another with this one, as far
    /// as the router knew that sent the request.
    pub level: u32,
}

/// Parts of which one crashes targets; prompts with all of them are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedParts {
    /// The parts.
    pub parts: PartSet,
    /// Time of the latest crash that counted.
    pub crashed: time::Mono,
    /// When its refusal term ends.
    pub until: time::Mono,
}

/// A part that requests were answered with after crashes at which it was in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClearedPart {
    /// The part.
    pub part: id::PartHash,
    /// When the first event of such a response arrived.
    pub answered: time::Mono,
}

/// What a router sends to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Recent crashes, newest first.
    pub crashes: Vec<Crash>,
    /// Refused parts.
    pub refused: Vec<RefusedParts>,
    /// Parts that were cleared recently, the most suspected first.
    pub cleared: Vec<ClearedPart>,
}

/// A change of what is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Prompts with all of these parts are refused from now on.
    Refused {
        /// The parts.
        parts: PartSet,
        /// Number of crashes that this router knows of at which they were in use.
        crashes: u32,
    },
    /// Prompts with these parts are no longer refused.
    Admitted(PartSet),
}
