//! Chooses the target with the least expected cost for a prompt.
//!
//! Load pattern: returning chats share long prompt parts, which an engine reads
//! again unless it holds them. All routers rank the same target first for the
//! same part, so a part is read once for the fleet and not once for each
//! router; a burst on one part spills to other targets, at the price of
//! reading it again there. See [the design page](../../../docs/design.md),
//! section 5.4.

use base::hash;

/// Microseconds in which an engine reads a prompt token, until it is learned.
pub const TOKEN_MICROS: u64 = 21;

/// Microseconds by which a running request delays the next one at an engine:
/// its share of a batch step and of the prompts read between steps.
const REQUEST_MICROS: u64 = 2_000;

/// Microseconds that a target in another data centre is taken to be slower.
/// The path takes half a millisecond each way; the bytes are priced.
const FAR_MICROS: u64 = 3_000;

/// Factor on the mean load above which a target is passed over, in hundredths.
/// Below the bound, because other routers choose at the same moment.
const SPILL_PERCENT: u64 = 140;

/// Requests beyond the factor that a target may have, so that a mean near zero
/// does not spread every request.
const SPILL_MARGIN: u64 = 2;

/// A target as the choice sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Hash of the target's id.
    pub hash: u64,
    /// Requests believed to be at the target.
    pub load: u32,
    /// Prompt tokens sent to the target and not read yet.
    pub pending: u32,
    /// Prompt tokens that the target is not known to hold.
    pub missing: u32,
    /// Delay expected from failures, in microseconds.
    pub penalty: u64,
    /// Whether the target is in the router's own data centre.
    pub near: bool,
    /// Whether the target may be tried at all.
    pub open: bool,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// First in the ranking of the prompt's shared part.
    Home,
    /// It holds the prompt or is least loaded.
    Cheapest,
    /// Every target is above the spill level.
    Saturated,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::Home => "home",
            Self::Cheapest => "cheapest",
            Self::Saturated => "saturated",
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
}

/// Chooses a target for a prompt whose longest shared part has the hash `part`;
/// `seed` breaks ties.
pub fn choose(candidates: &[Candidate], part: Option<u64>, seed: u64) -> Option<Choice> {
    let open = || candidates.iter().enumerate().filter(|(_, c)| c.open);
    let home = part.and_then(|part| {
        open()
            .max_by_key(|(_, candidate)| hash::mix(candidate.hash, part))
            .map(|(index, _)| index)
    });
    let level = spill_level(candidates);
    let key = |(index, candidate): (usize, &Candidate)| {
        let full = u64::from(candidate.load) >= level;
        let micros = micros(candidate, home == Some(index));
        (full, micros, hash::mix(candidate.hash, seed), index)
    };
    let (full, micros, _, index) = open().map(key).min()?;
    let reason = match (full, home) {
        (true, _) => Reason::Saturated,
        (_, Some(home)) if home == index => Reason::Home,
        _ => Reason::Cheapest,
    };
    Some(Choice {
        index,
        reason,
        micros,
    })
}

fn micros(candidate: &Candidate, home: bool) -> u64 {
    // The first target of the ranking got the part from other routers.
    let missing = if home { 0 } else { candidate.missing };
    let tokens = u64::from(missing) + u64::from(candidate.pending);
    let far = if candidate.near { 0 } else { FAR_MICROS };
    tokens * TOKEN_MICROS + u64::from(candidate.load) * REQUEST_MICROS + far + candidate.penalty
}

fn spill_level(candidates: &[Candidate]) -> u64 {
    let (count, total) = candidates
        .iter()
        .filter(|candidate| candidate.open)
        .fold((0, 0), |(count, total), candidate| {
            (count + 1, total + u64::from(candidate.load))
        });
    total * SPILL_PERCENT / (100 * u64::max(count, 1)) + SPILL_MARGIN
}
