//! The data centres in which a request may run, and the load of the remaining ones.

use std::collections::{BTreeMap, BTreeSet};

use base::id::{DataCentre, Region};
use place::{
    cost::{self, Candidate, PeerTraffic, Prompt, SpillFactor, Timings},
    region::{Exclusion, Placement},
};

const CENTRES: [&str; 4] = ["north", "south", "east", "west"];

fn centre(name: &str) -> DataCentre {
    name.parse().expect("an id")
}

fn regions(names: &[&str]) -> BTreeSet<Region> {
    names
        .iter()
        .map(|name| name.parse().expect("an id"))
        .collect()
}

fn placement_map() -> BTreeMap<DataCentre, Region> {
    let pairs = [("north", "r1"), ("south", "r1"), ("east", "r2")];
    let pairs = pairs.into_iter();
    pairs
        .map(|(name, region)| (centre(name), region.parse().expect("an id")))
        .collect()
}

/// Without evacuations and regions nothing is excluded, also where no region is
/// known.
#[test]
fn unrestricted() {
    let map = placement_map();
    let placement = Placement {
        regions: &map,
        ..Placement::default()
    };
    assert!(placement.is_unrestricted());
    for name in CENTRES {
        assert_eq!(placement.exclusion(&centre(name)), None);
    }
}

/// A request with regions must not run in another region, nor where the region is
/// unknown; the regions of route and team both apply, and an evacuation in addition.
#[test]
fn restricted() {
    let map = placement_map();
    let (first, both, second) = (regions(&["r1"]), regions(&["r1", "r2"]), regions(&["r2"]));
    let evacuated = BTreeSet::from([centre("south")]);
    let excluded = |allowed: [Option<&BTreeSet<Region>>; 2]| {
        let placement = Placement {
            evacuated: &evacuated,
            regions: &map,
            allowed,
        };
        assert!(!placement.is_unrestricted());
        CENTRES.map(|name| placement.exclusion(&centre(name)))
    };
    let (evacuated, outside) = (Some(Exclusion::Evacuated), Some(Exclusion::OutsideRegions));
    assert_eq!(excluded([None, None]), [None, evacuated, None, None]);
    assert_eq!(
        excluded([Some(&first), None]),
        [None, evacuated, outside, outside]
    );
    assert_eq!(
        excluded([Some(&both), Some(&second)]),
        [outside, evacuated, None, outside]
    );
    assert_eq!(
        excluded([Some(&first), Some(&second)]),
        [outside, evacuated, outside, outside]
    );
}

/// Replays the load: requests with shared prompt parts at 42 engines in four data
/// centres, one or two of which are evacuated for a time. No request may reach them,
/// by choice or as a cache source, and no remaining engine may exceed twice the mean
/// of the remaining ones and three.
#[test]
fn evacuated_load() {
    const ENGINES: usize = 42;
    const RUNNING: usize = 400;
    let of = |index: usize| centre(CENTRES[index % CENTRES.len()]);
    let mut loads = [0_u32; ENGINES];
    let mut running = std::collections::VecDeque::new();
    for step in 0..6_000_u64 {
        let evacuated: BTreeSet<_> = match step {
            2_000..3_000 => [centre("north")].into(),
            3_000..4_000 => [centre("north"), centre("east")].into(),
            _ => BTreeSet::new(),
        };
        let placement = Placement {
            evacuated: &evacuated,
            ..Placement::default()
        };
        let candidates: Vec<_> = (0..ENGINES)
            .map(|index| {
                let excluded = placement.exclusion(&of(index)).is_some();
                Candidate {
                    hash: index as u64 + 1,
                    load: loads[index],
                    slots: 64,
                    // Some engines hold the shared part.
                    missing: if index % 7 == 0 { 100 } else { 5_100 },
                    accepting: !excluded,
                    unblocked: true,
                    excluded,
                    ..Candidate::default()
                }
            })
            .collect();
        let prompt = Prompt {
            part: Some(step % 9),
            own: 100,
            fetches: true,
        };
        let (peers, timings) = (PeerTraffic::default(), Timings::default());
        let spill = SpillFactor::below(2.0);
        let choice = cost::choose(&candidates, prompt, spill, peers, timings, step);
        let choice = choice.expect("a target remains");
        for index in [Some(choice.index), choice.source].into_iter().flatten() {
            assert_eq!(placement.exclusion(&of(index)), None, "step {step}");
        }
        loads[choice.index] += 1;
        running.push_back(choice.index);
        if running.len() > RUNNING {
            let done = running.pop_front().expect("a request");
            loads[done] -= 1;
        }
        let open: Vec<u32> = (0..ENGINES)
            .filter(|index| placement.exclusion(&of(*index)).is_none())
            .map(|index| loads[index])
            .collect();
        let mean = f64::from(open.iter().sum::<u32>()) / open.len() as f64;
        let highest = f64::from(loads[choice.index]);
        assert!(highest <= 2.0 * mean + 3.0, "{highest} at a mean of {mean}");
    }
}
