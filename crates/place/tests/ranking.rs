//! The ranking: chats stay at the target with their cache when targets join, leave
//! or change weight, and spread in proportion to the weights.

mod common;

use std::collections::BTreeMap;

use common::{COUNT, query, target, target_id, targets, view};
use place::{choose::choose, view::Target};

const CHATS: u64 = 6_000;

/// Returns the target chosen for each chat.
fn homes(targets: Vec<Target>) -> Vec<base::id::TargetId> {
    let view = view(targets);
    (0..CHATS)
        .map(|chat| {
            choose(&view, &query(chat, 1), chat)
                .target
                .unwrap()
                .id
                .clone()
        })
        .collect()
}

#[test]
fn join_moves_few() {
    let before = homes(targets(COUNT));
    let after = homes(targets(COUNT + 1));
    let moved: Vec<_> = before.iter().zip(&after).filter(|(a, b)| a != b).collect();
    assert!(moved.iter().all(|(_, to)| **to == target_id(COUNT)));
    let share = moved.len() as f64 / CHATS as f64;
    assert!((share - 1.0 / 13.0).abs() < 0.02, "moved {share}");
}

#[test]
fn leave_spreads_evenly() {
    let before = homes(targets(COUNT));
    let after = homes(targets(COUNT).into_iter().skip(1).collect());
    let mut gained = BTreeMap::new();
    for (from, to) in before.iter().zip(&after) {
        if from == &target_id(0) {
            *gained.entry(to).or_insert(0u32) += 1;
        } else {
            assert_eq!(from, to);
        }
    }
    let mean = CHATS as f64 / 12.0 / 11.0;
    assert_eq!(gained.len(), 11);
    assert!(gained.values().all(|count| f64::from(*count) < 2.0 * mean));
}

#[test]
fn weight_sets_share() {
    let mut heavy = targets(COUNT);
    heavy[0].weight = 300;
    let homes = homes(heavy);
    let count = homes.iter().filter(|home| **home == target_id(0)).count();
    let share = count as f64 / CHATS as f64;
    assert!((share - 3.0 / 14.0).abs() < 0.03, "share {share}");
}

#[test]
fn weight_zero() {
    let mut drained = targets(COUNT);
    drained[0].weight = 0;
    assert!(homes(drained).iter().all(|home| *home != target_id(0)));
}

#[test]
fn order_irrelevant() {
    let mut reversed = targets(COUNT);
    reversed.reverse();
    assert_eq!(homes(targets(COUNT)), homes(reversed));
}

#[test]
fn duplicate_target() {
    let mut twice = targets(COUNT);
    twice.push(target(3));
    assert_eq!(homes(targets(COUNT)), homes(twice));
}
