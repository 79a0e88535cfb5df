//! The placement policies and their parameters.

use std::{fmt, str::FromStr};

use base::span;

/// How a target is chosen. All but [`Policy::Full`] are baselines for
/// comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// A random target in proportion to the weights.
    Random,
    /// The least loaded target relative to its weight.
    Least,
    /// The first target of the chat's ranking, regardless of its load.
    Hash,
    /// The first target of the chat's ranking that is below its cap.
    Bounded,
    /// Like `Bounded`, with warm-up, hints, KV cache import, the less loaded of two
    /// targets after a refusal, and a preference for the same data centre.
    #[default]
    Full,
}

impl Policy {
    /// Every policy, the baselines first.
    pub const ALL: [Self; 5] = [
        Self::Random,
        Self::Least,
        Self::Hash,
        Self::Bounded,
        Self::Full,
    ];
}

/// The error for a text that is not the name of a policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a policy; use random, least, hash, bounded or full")]
pub struct PolicyError(String);

impl FromStr for Policy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        Self::ALL
            .into_iter()
            .find(|policy| policy.to_string() == text)
            .ok_or_else(|| PolicyError(text.to_owned()))
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Random => "random",
            Self::Least => "least",
            Self::Hash => "hash",
            Self::Bounded => "bounded",
            Self::Full => "full",
        })
    }
}

/// Parameters of the choice. They must be the same in every router, because routers
/// with different parameters send the same chat to different targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// The policy in use.
    pub policy: Policy,
    /// Prompt tokens from which importing the KV cache is cheaper than
    /// computing it again; `None` if it never is.
    pub import_tokens: Option<u32>,
    /// Half of the typical time between two turns of a chat. It estimates the age
    /// of a chat, to distinguish chats that began after a target joined from older
    /// ones. It is low because an overestimated age costs more than an
    /// underestimated one: a young chat that is taken for an old one moves twice.
    pub turn_time: span::Span,
    /// Factor on the weight of targets in the router's own data centre, for new
    /// chats. With a factor above 1, a chat that returns without a hint through
    /// another data centre goes to a target that does not hold its cache.
    pub local_factor: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            policy: Policy::Full,
            import_tokens: None,
            turn_time: span::Span::from_secs(30),
            local_factor: 1.0,
        }
    }
}

/// Costs of obtaining the KV cache of a prompt, by import or by computing it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImportCosts {
    /// Fixed cost of one import, the export at the source included.
    pub setup: span::Span,
    /// Cost of transferring the cache of 1,000 tokens.
    pub transfer: span::Span,
    /// Cost of computing the cache of 1,000 tokens.
    pub prefill: span::Span,
}

impl ImportCosts {
    /// Returns the number of tokens from which importing the cache is cheaper
    /// than computing it, or `None` if it never is.
    ///
    /// Importing `t` thousand tokens costs `setup + t × transfer`, computing them
    /// `t × prefill`.
    pub fn min_tokens(&self) -> Option<u32> {
        let gain = self
            .prefill
            .as_micros()
            .checked_sub(self.transfer.as_micros())
            .filter(|gain| *gain > 0)?;
        let tokens = (self.setup.as_micros().saturating_mul(1_000)).div_ceil(gain);
        u32::try_from(tokens).ok()
    }
}
