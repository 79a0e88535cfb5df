//! Crashes that count towards a quarantine entry.

use std::collections::{BTreeMap, BTreeSet};

use wire::msg;

/// Returns the latest crash of each target.
pub(crate) fn latest(crashes: impl Iterator<Item = msg::Crash>) -> Vec<msg::Crash> {
    let mut latest: BTreeMap<String, u64> = BTreeMap::new();
    for crash in crashes {
        let number = latest.entry(crash.target).or_default();
        *number = crash.number.max(*number);
    }
    latest
        .into_iter()
        .map(|(target, number)| msg::Crash {
            target,
            number,
            repeated: false,
        })
        .collect()
}

/// Returns the crashes that are not excused, each only once.
pub(crate) fn pending(
    crashes: impl Iterator<Item = msg::Crash>,
    excused: &[msg::Crash],
) -> Vec<msg::Crash> {
    let pending: BTreeSet<msg::Crash> = crashes
        .filter(|crash| {
            let of_target = excused.iter().find(|e| e.target == crash.target);
            of_target.is_none_or(|excused| excused.number < crash.number)
        })
        .collect();
    pending.into_iter().collect()
}
