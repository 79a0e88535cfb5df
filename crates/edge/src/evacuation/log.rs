//! Log lines about evacuations and regions.

use std::collections::BTreeSet;

use base::id;
use platform::{config::Config, settings::Settings};

use super::{Evacuation, Evacuations};
use crate::{fleet::Fleet, shared::Shared};

/// Maximum number of names in one log line.
const MAX_NAMES: usize = 8;

/// Logs which data centres are evacuated or no longer evacuated.
pub fn log_changes(shared: &Shared, changes: &[Evacuation], source: &'static str) {
    let fleet = shared.fleet.load();
    for change in changes {
        let targets = fleet.iter().flat_map(|fleet| fleet.targets());
        let targets = targets.filter(|target| target.row.centre == change.centre);
        tracing::info!(
            event = "evacuation",
            centre = %change.centre,
            active = change.active,
            position = %change.position,
            source,
            targets = targets.count(),
            own = change.centre == shared.settings.centre,
        );
    }
}

/// Logs evacuations of data centres that have no targets and no region and are not the
/// router's own, once for each evacuation.
pub fn log_unknown_centres(shared: &Shared, fleet: &Fleet, evacuations: &mut Evacuations) {
    let settings = &shared.settings;
    for evacuation in evacuations.take_unchecked() {
        let centre = &evacuation.centre;
        let is_known = *centre == settings.centre
            || settings.regions.contains_key(centre)
            || fleet.targets().any(|target| target.row.centre == *centre);
        if !is_known {
            let position = evacuation.position;
            tracing::warn!(event = "evacuation_unknown", %centre, %position);
        }
    }
}

/// Logs regions that a configuration names and no data centre has.
pub fn log_unknown_regions(config: &Config, settings: &Settings) {
    let known: BTreeSet<&id::Region> = settings.regions.values().collect();
    let rules = config.rules.iter().filter_map(|rule| rule.regions.as_ref());
    let teams = config.keys.iter().flat_map(|keys| keys.values());
    let teams = teams.filter_map(|team| team.regions.as_ref());
    let named: BTreeSet<&id::Region> = rules.chain(teams).flatten().collect();
    let unknown: Vec<&str> = named
        .difference(&known)
        .map(|region| region.as_str())
        .collect();
    if !unknown.is_empty() {
        let shown = &unknown[..unknown.len().min(MAX_NAMES)];
        tracing::warn!(
            event = "region_unknown",
            version = %config.version,
            count = unknown.len(),
            regions = shown.join(","),
        );
    }
}
