//! Describes how the choice of a target regards each target of a service.

use base::time;
use place::region;

use super::report::{Exclusion, Outcome, Target};
use crate::decide::{Assessed, Query, ServiceState};

/// Describes all targets of a service, in their order. The one that
/// [`ServiceState::select`] chooses with the same arguments has [`Outcome::Wins`].
pub fn describe(state: &ServiceState, now: time::Mono, query: Query) -> Vec<Target> {
    let assessed = state.assess(now, query);
    let considered = assessed.iter().filter(|one| one.assessment.is_considered);
    let best = considered.map(|one| one.assessment.rank).min();
    let targets = state.targets.iter().zip(&assessed);
    let describe = |(target, one): (&std::sync::Arc<crate::fleet::Target>, &Assessed)| {
        let row = &target.row;
        let Assessed {
            candidate,
            assessment,
            ..
        } = one;
        let exclusion = state.placement.exclusion(&row.centre);
        let excluded = exclusion.map(|exclusion| match exclusion {
            region::Exclusion::Evacuated => Exclusion::Evacuated,
            region::Exclusion::OutsideRegions => Exclusion::OutsideRegions,
        });
        let paused = target.paused_for(now);
        let leaving = target.is_leaving(now);
        let rank = assessment.rank;
        let outcome = match (excluded, best) {
            (Some(Exclusion::Evacuated), _) => Outcome::Evacuated,
            (Some(Exclusion::OutsideRegions), _) => Outcome::OutsideRegions,
            _ if leaving => Outcome::Leaving,
            _ if paused.is_some() => Outcome::Paused,
            _ if one.is_withheld => Outcome::ColdLimit,
            _ if !assessment.is_eligible => Outcome::Blocked,
            (None, Some(best)) if assessment.is_considered => match () {
                () if rank == best => Outcome::Wins,
                () if rank.is_full != best.is_full => Outcome::Full,
                () if rank.micros > best.micros => Outcome::CostsMore,
                () => Outcome::Tie,
            },
            _ => Outcome::NotSampled,
        };
        Target {
            id: row.id.to_string(),
            centre: row.centre.to_string(),
            load: candidate.load,
            slots: candidate.slots,
            contention_percent: candidate.contention,
            missing_tokens: candidate.missing,
            cold: state.cold.is_some() && target.cold().is_cold(now),
            excluded,
            paused_ms: paused.map(|left| left.as_micros().div_ceil(1_000)),
            leaving,
            blocked: !candidate.unblocked,
            cost_us: assessment.is_eligible.then_some(rank.micros),
            outcome,
        }
    };
    targets.map(describe).collect()
}
