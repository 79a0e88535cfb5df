//! Measures the time of a choice among 33 targets, the number of targets of a model
//! at the design size.

use std::{hint::black_box, time::Instant};

use base::{hash, id};
use place::{
    choose::{self, Query},
    policy::{Policy, Tuning},
    view::{Standing, Target, View},
};

const TARGETS: u32 = 33;
const ROUNDS: u64 = 1_000_000;

fn target(index: u32, full: bool) -> Target {
    let valid = "the generated id is valid";
    Target {
        id: format!("runner-{index}").parse().expect(valid),
        process: format!("agent-{index}").parse().expect(valid),
        weight: 100,
        centre: format!("centre-{}", index % 3).parse().expect(valid),
        standing: Standing::Up,
        load: if full { 16 } else { index % 16 },
        cap: 16,
    }
}

/// Returns the mean time of a choice in nanoseconds.
fn measure(policy: Policy, full: u32) -> f64 {
    let tuning = Tuning {
        policy,
        ..Tuning::default()
    };
    let targets = (0..TARGETS).map(|index| target(index, index < full));
    let view = View::new(targets.collect(), tuning);
    let mut query = Query {
        chat: id::ChatHash(0),
        turns: 3,
        prompt_tokens: 2_000,
        centre: "centre-1".parse().expect("the id is valid"),
        hint: None,
        refusals: Vec::new(),
    };
    let start = Instant::now();
    for round in 0..ROUNDS {
        query.chat = id::ChatHash(hash::mix(round, 1));
        black_box(choose::choose(&view, black_box(&query), round));
    }
    start.elapsed().as_nanos() as f64 / ROUNDS as f64
}

fn main() {
    for policy in Policy::ALL {
        for full in [0, TARGETS / 2, TARGETS] {
            let nanos = measure(policy, full);
            println!("policy={policy} targets={TARGETS} full={full} choice_ns={nanos:.0}");
        }
    }
}
