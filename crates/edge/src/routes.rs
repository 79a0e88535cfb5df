//! Matches requests with routing rules and services.

use std::collections::BTreeMap;

use base::{hash, id};
use platform::config::{Config, Rule, Team, WeightedService};

/// A configuration with its rules indexed by host and path prefix.
#[derive(Clone, Debug)]
pub struct Routes {
    /// The configuration.
    pub config: Config,
    /// Indexes into the rules of the configuration, by host and path prefix.
    hosts: BTreeMap<String, BTreeMap<String, usize>>,
}

/// Why a request matches no rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No rule matches the host and the path.
    NoRule,
    /// The rule requires a key, and no team has the one that was sent.
    UnknownKey,
}

impl Routes {
    /// Indexes the rules of a configuration.
    pub fn new(config: Config) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
        for (index, rule) in config.rules.iter().enumerate() {
            let prefixes = hosts.entry(rule.host.clone()).or_default();
            prefixes.insert(rule.prefix.clone(), index);
        }
        Self { config, hosts }
    }

    /// Returns the rule of the host with the longest prefix that matches the path,
    /// and the team that the key belongs to. Public rules, and all rules of a
    /// configuration without keys, ignore the key and have no team.
    ///
    /// # Errors
    ///
    /// When no rule matches, or when the rule requires a key and no team has the
    /// one that was sent.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Rule, Option<&Team>), RouteError> {
        let rule = self.rule(host, path).ok_or(RouteError::NoRule)?;
        let Some(keys) = self.config.keys.as_ref().filter(|_| !rule.public) else {
            return Ok((rule, None));
        };
        let team = key
            .and_then(|key| keys.get(key))
            .ok_or(RouteError::UnknownKey)?;
        Ok((rule, Some(team)))
    }

    fn rule(&self, host: &str, path: &str) -> Option<&Rule> {
        let prefixes = self.hosts.get(host)?;
        let slashes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let index = slashes
            .into_iter()
            .find_map(|prefix| prefixes.get(prefix))?;
        self.config.rules.get(*index)
    }
}

/// Selects the service for an attempt by hashing its id over the weights of the
/// rule's shares. Returns `None` if the weights add up to zero.
pub fn select_service<'a>(
    shares: &'a [WeightedService],
    attempt: &id::AttemptId,
) -> Option<&'a id::ServiceId> {
    select_by_hash(shares, hash::bytes(attempt.as_str().as_bytes()))
}

/// Selects the service for an attempt, like [`select_service`], by the hash of its id.
pub fn select_by_hash(shares: &[WeightedService], hash: u64) -> Option<&id::ServiceId> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = hash.checked_rem(total)?;
    let share = shares.iter().find(|share| {
        let weight = u64::from(share.weight);
        let found = point < weight;
        point = point.saturating_sub(weight);
        found
    });
    share.map(|share| &share.service)
}
