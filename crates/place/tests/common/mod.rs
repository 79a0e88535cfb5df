//! Builders for views and queries.
#![allow(dead_code)] // Each test file is a separate crate and uses only some of these.

use base::{hash, id};
use place::{
    choose::{Query, Refusal},
    policy::{Policy, Tuning},
    view::{Standing, Target, View},
};

/// Number of targets in most tests.
pub const COUNT: u32 = 12;

/// Returns an idle target that is up and in one of three data centres.
pub fn target(index: u32) -> Target {
    Target {
        id: target_id(index),
        process: format!("agent-{index}").parse().unwrap(),
        weight: 100,
        centre: format!("centre-{}", index % 3).parse().unwrap(),
        standing: Standing::Up,
        load: 0,
        cap: 8,
    }
}

pub fn target_id(index: u32) -> id::TargetId {
    format!("runner-{index}").parse().unwrap()
}

/// Returns `count` idle targets.
pub fn targets(count: u32) -> Vec<Target> {
    (0..count).map(target).collect()
}

pub fn tuning(policy: Policy) -> Tuning {
    Tuning {
        policy,
        ..Tuning::default()
    }
}

/// Returns a view under the full policy.
pub fn view(targets: Vec<Target>) -> View {
    View::new(targets, tuning(Policy::Full))
}

/// Returns a query of the chat with this number.
pub fn query(chat: u64, turns: u32) -> Query {
    Query {
        chat: id::ChatHash(hash::mix(chat, 0)),
        turns,
        prompt_tokens: 1_000,
        centre: "centre-0".parse().unwrap(),
        hint: None,
        refusals: Vec::new(),
    }
}

/// Returns a refusal by a target that names no peers.
pub fn refusal(target: &Target) -> Refusal {
    Refusal {
        target: target.id.clone(),
        peers: Vec::new(),
    }
}
