//! The bound on the outstanding requests of one target, relative to the mean of
//! its group.

use base::span;

/// Parameters of the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Params {
    /// Highest load of a target, as a multiple of the mean load.
    pub factor: f64,
    /// Load that every target may have, however low the mean is.
    pub floor: u32,
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// Age up to which the load in a peer's report is used unchanged.
    pub fresh_age: span::Span,
    /// Age from which a peer's report counts as no load. Between `fresh_age` and
    /// `max_age` the estimate decreases linearly, so the bound is kept as long as
    /// no peer's load decreases faster than that.
    pub max_age: span::Span,
    /// Safety margin in square roots of the total load: the total may decrease by
    /// that much while a newly dispatched request or one before it runs. Under
    /// a steady load of independent requests the total varies by about one
    /// square root.
    pub margin: f64,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            factor: 1.25,
            floor: 4,
            slots: 16,
            fresh_age: span::Span::from_secs(1),
            max_age: span::Span::from_secs(10),
            margin: 0.0,
        }
    }
}

impl Params {
    /// Returns a conservative (low) estimate of a peer's load from a report of
    /// the given age.
    pub fn estimate(&self, load: u32, age: span::Span) -> u32 {
        let load = load.min(self.slots);
        if age <= self.fresh_age {
            return load;
        }
        let remaining = self.max_age.as_micros().saturating_sub(age.as_micros());
        let decline = self
            .max_age
            .as_micros()
            .saturating_sub(self.fresh_age.as_micros());
        if remaining == 0 || decline == 0 {
            return 0;
        }
        let scaled = u128::from(load) * u128::from(remaining) / u128::from(decline);
        u32::try_from(scaled).unwrap_or(load).min(load)
    }
}

/// Returns how many requests a target may have outstanding when `total` are
/// outstanding at the `members` targets of its group, itself included.
///
/// The bound holds only if `total` is at most, and `members` at least, the true
/// number.
pub fn cap(params: &Params, total: u64, members: u32) -> u32 {
    let total = (total + 1) as f64;
    let certain = (total - params.margin * total.sqrt()).max(1.0);
    let mean = certain / f64::from(members.max(1));
    let share = (params.factor * mean).ceil();
    // The conversion saturates, and the slots limit the result in any case.
    (share as u32).max(params.floor).min(params.slots)
}

/// Lowers the loads that exceed the bound given the others, until none does,
/// and returns the total of `own` and the lowered loads.
///
/// A correct peer is at or below the bound, so a load above it is wrong or
/// outdated. Lowering it is safe, because it can only reduce this target's cap.
pub(crate) fn plausible_total(params: &Params, own: u32, loads: &mut [u32]) -> u64 {
    let members = loads.len() as f64 + 1.0;
    let mut total = u64::from(own) + loads.iter().map(|load| u64::from(*load)).sum::<u64>();
    loop {
        let before = total;
        for load in loads.iter_mut() {
            let others = total - u64::from(*load);
            let limit = max_load(params, others, members);
            if *load > limit {
                total -= u64::from(*load - limit);
                *load = limit;
            }
        }
        if total == before {
            return total;
        }
    }
}

/// Returns the highest load that one of `members` targets may have when the
/// others together have `others`.
fn max_load(params: &Params, others: u64, members: f64) -> u32 {
    if members <= params.factor {
        return u32::MAX;
    }
    // load <= ceil(factor × (others + load) / members), solved for the load;
    // the ceiling adds less than 1 to the right-hand side.
    let limit = (params.factor * others as f64 + members) / (members - params.factor);
    (limit as u32).max(params.floor)
}
