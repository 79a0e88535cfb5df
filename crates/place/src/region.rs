//! Decides in which data centres a request may run.
//!
//! Load: an operator evacuates one of a few data centres while callers keep sending
//! at full rate, and some routes or teams may use the data centres of certain regions
//! only. The remaining data centres carry the load from the next decision on, so each
//! decision evaluates the state in force and stores no result.

use std::collections::{BTreeMap, BTreeSet};

use base::id::{DataCentre, Region};

static NO_CENTRES: BTreeSet<DataCentre> = BTreeSet::new();
static NO_REGIONS: BTreeMap<DataCentre, Region> = BTreeMap::new();

/// Where a request may run.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Data centres that get no new work.
    pub evacuated: &'a BTreeSet<DataCentre>,
    /// Regions of the data centres.
    pub regions: &'a BTreeMap<DataCentre, Region>,
    /// Regions that the route and the team name; each restriction applies.
    pub allowed: [Option<&'a BTreeSet<Region>>; 2],
}

/// Why a request may not run in a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The data centre is evacuated.
    Evacuated,
    /// The data centre is in none of the allowed regions, or its region is unknown.
    OutsideRegions,
}

impl Default for Placement<'_> {
    /// Excludes nothing.
    fn default() -> Self {
        Self {
            evacuated: &NO_CENTRES,
            regions: &NO_REGIONS,
            allowed: [None; 2],
        }
    }
}

impl Placement<'_> {
    /// Returns whether the request may run in all data centres.
    pub fn is_unrestricted(&self) -> bool {
        self.evacuated.is_empty() && self.allowed.iter().all(Option::is_none)
    }

    /// Returns why the request may not run in a data centre, and `None` if it may.
    pub fn exclusion(&self, centre: &DataCentre) -> Option<Exclusion> {
        if self.evacuated.contains(centre) {
            return Some(Exclusion::Evacuated);
        }
        let region = || self.regions.get(centre);
        let mut allowed = self.allowed.iter().flatten();
        let is_inside = allowed.all(|allowed| region().is_some_and(|own| allowed.contains(own)));
        (!is_inside).then_some(Exclusion::OutsideRegions)
    }
}
