//! Finds the routing rule and the service of a request.

use std::collections::BTreeMap;

use base::{hash, id};
use platform::config::{Config, Rule, Team, WeightedService};

/// A configuration, indexed for requests.
#[derive(Clone, Debug)]
pub struct Routes {
    /// The configuration.
    pub config: Config,
    hosts: BTreeMap<String, BTreeMap<String, usize>>,
}

/// Why a request has no rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No rule matches the host and the path.
    Rule,
    /// The rule needs a key, and no team has the one that was sent.
    Key,
}

impl Routes {
    /// Indexes a configuration.
    pub fn new(config: Config) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
        for (index, rule) in config.rules.iter().enumerate() {
            let prefixes = hosts.entry(rule.host.clone()).or_default();
            prefixes.insert(rule.prefix.clone(), index);
        }
        Self { config, hosts }
    }

    /// Returns the rule of the host whose prefix is the longest that begins the
    /// path, and the team that the key names.
    ///
    /// # Errors
    ///
    /// When no rule matches, or the rule needs a key that no team has.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Rule, Option<&Team>), Denied> {
        let rule = self.rule(host, path).ok_or(Denied::Rule)?;
        let Some(keys) = self.config.keys.as_ref().filter(|_| !rule.public) else {
            return Ok((rule, None));
        };
        let team = key.and_then(|key| keys.get(key)).ok_or(Denied::Key)?;
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

/// Returns the service that runs an attempt: the shares of a rule divide the
/// attempts by their ids.
pub fn service<'a>(
    shares: &'a [WeightedService],
    attempt: &id::AttemptId,
) -> Option<&'a id::ServiceId> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = hash::bytes(attempt.as_str().as_bytes()).checked_rem(total)?;
    let share = shares.iter().find(|share| {
        let weight = u64::from(share.weight);
        let found = point < weight;
        point = point.saturating_sub(weight);
        found
    });
    share.map(|share| &share.service)
}
