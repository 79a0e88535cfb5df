//! The baseline policies, to which the full policy is compared, and the token
//! threshold for importing a KV cache.

mod common;

use std::collections::BTreeMap;

use base::span::Span;
use common::{COUNT, query, refusal, targets, tuning};
use expect_test::expect;
use place::{
    choose::{Reason, choose},
    policy::{ImportCosts, Policy},
    view::{Standing, Target, View},
};

fn chosen(policy: Policy, targets: Vec<Target>, seed: u64) -> Target {
    let view = View::new(targets, tuning(policy));
    let target = choose(&view, &query(1, 3), seed).target;
    target.unwrap().as_ref().clone()
}

#[test]
fn names() {
    for policy in Policy::ALL {
        assert_eq!(policy.to_string().parse(), Ok(policy));
    }
    expect![[r#""Full" is not a policy; use random, least, hash, bounded or full"#]]
        .assert_eq(&"Full".parse::<Policy>().unwrap_err().to_string());
}

#[test]
fn random_follows_weights() {
    let mut targets = targets(3);
    targets[0].weight = 200;
    targets[2].standing = Standing::Down;
    let view = View::new(targets, tuning(Policy::Random));
    let mut counts = BTreeMap::new();
    for seed in 0..3_000 {
        let choice = choose(&view, &query(1, 3), seed);
        *counts.entry(choice.target.unwrap().id.clone()).or_insert(0) += 1;
    }
    let counts: Vec<_> = counts.into_values().collect();
    assert!(
        counts.len() == 2 && (1_900..2_100).contains(&counts[0]),
        "{counts:?}"
    );
}

#[test]
fn least_by_weight() {
    let mut targets = targets(3);
    for (target, load) in targets.iter_mut().zip([4, 3, 5]) {
        target.load = load;
    }
    assert_eq!(chosen(Policy::Least, targets.clone(), 0), targets[1]);
    targets[2].weight = 300;
    assert_eq!(chosen(Policy::Least, targets.clone(), 0), targets[2]);
}

#[test]
fn least_breaks_ties() {
    let ids: Vec<_> = (0..20)
        .map(|seed| chosen(Policy::Least, targets(3), seed).id)
        .collect();
    assert!(ids.iter().any(|id| *id != ids[0]));
}

#[test]
fn hash_ignores_load() {
    let mut targets = targets(COUNT);
    let home = chosen(Policy::Hash, targets.clone(), 0);
    targets.iter_mut().for_each(|target| target.load = 100);
    assert_eq!(chosen(Policy::Hash, targets, 0).id, home.id);
}

#[test]
fn bounded_takes_next() {
    let mut targets = targets(COUNT);
    let home = chosen(Policy::Bounded, targets.clone(), 0);
    for target in targets.iter_mut().filter(|target| target.id == home.id) {
        target.load = target.cap;
    }
    let next = chosen(Policy::Bounded, targets.clone(), 0);
    assert_ne!(next.id, home.id);
    // After a refusal it takes the next in the ranking.
    let view = View::new(targets, tuning(Policy::Bounded));
    let mut query = query(1, 3);
    query.refusals = vec![refusal(&next)];
    let choice = choose(&view, &query, 0);
    assert_eq!(choice.reason, Reason::Spill);
    assert_ne!(choice.target.unwrap().id, next.id);
}

#[test]
fn import_threshold() {
    let costs = |transfer, prefill| ImportCosts {
        setup: Span::from_millis(50),
        transfer: Span::from_millis(transfer),
        prefill: Span::from_millis(prefill),
    };
    // 50 ms + 10 ms per 1,000 tokens, compared to 110 ms per 1,000.
    assert_eq!(costs(10, 110).min_tokens(), Some(500));
    assert_eq!(costs(110, 110).min_tokens(), None);
    assert_eq!(costs(200, 110).min_tokens(), None);
}
