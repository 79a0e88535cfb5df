//! Applies evacuations and regions to requests.

use std::collections::BTreeSet;

use base::{id, span};
use place::region::{Exclusion, Placement};

use crate::{decide::ServiceState, metrics::Counter, request::CallerRequest};

/// Shortest delay before a retry of a request that may run in no data centre. An
/// evacuation lasts for minutes, so an earlier retry would be refused again.
pub const NOT_PERMITTED_RETRY: span::Span = span::Span::from_secs(1);

impl CallerRequest {
    /// Returns where the request may run.
    pub fn placement<'a>(&'a self, evacuated: &'a BTreeSet<id::DataCentre>) -> Placement<'a> {
        let team = self.team.as_ref();
        Placement {
            evacuated,
            regions: &self.shared.settings.regions,
            allowed: [
                self.rule.regions.as_ref(),
                team.and_then(|team| team.regions.as_ref()),
            ],
        }
    }

    /// Counts the request if it may not run at a target of its service.
    pub fn count_exclusions(&self, state: &ServiceState) {
        if state.placement.is_unrestricted() {
            return;
        }
        let targets = state.targets.iter();
        let reasons = targets.filter_map(|target| state.placement.exclusion(&target.row.centre));
        let (evacuated, outside) = reasons.fold((false, false), |found, reason| match reason {
            Exclusion::Evacuated => (true, found.1),
            Exclusion::OutsideRegions => (found.0, true),
        });
        if evacuated {
            self.shared.metrics.count(Counter::KeptFromEvacuated);
        }
        if outside {
            self.shared.metrics.count(Counter::KeptToRegions);
        }
    }
}
