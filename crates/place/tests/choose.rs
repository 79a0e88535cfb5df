//! The rules of the full policy: which target is tried first, the effect of a
//! refusal, and that no request goes to a target that cannot run it.

mod common;

use base::span::Span;
use common::{COUNT, query, refusal, target, targets, tuning, view};
use expect_test::expect;
use place::{
    choose::{Choice, Query, Reason, Refusal, choose},
    policy::{Policy, Tuning},
    view::{Standing, Target, View},
};
use proptest::prelude::*;

const OLD_CHAT: u32 = 20;

/// Returns indices of the targets in the order of their rank for a chat.
fn ranking(query: &Query) -> Vec<usize> {
    let mut open = targets(COUNT);
    let mut ranks = Vec::new();
    for _ in 0..COUNT {
        let chosen = choose(&view(open.clone()), query, 0).target.unwrap();
        let index = open.iter().position(|t| t.id == chosen.id).unwrap();
        open[index].weight = 0;
        ranks.push(index);
    }
    ranks
}

fn warming(secs: u64) -> Standing {
    Standing::Warming {
        age: Span::from_secs(secs),
    }
}

fn importing(targets: Vec<Target>) -> View {
    let tuning = Tuning {
        import_tokens: Some(1_000),
        ..Tuning::default()
    };
    View::new(targets, tuning)
}

fn chosen(choice: &Choice) -> Option<&Target> {
    choice.target.as_deref()
}

#[test]
fn full_spills() {
    let query = query(1, OLD_CHAT);
    let ranks = ranking(&query);
    let mut targets = targets(COUNT);
    targets[ranks[0]].load = 8;
    let choice = choose(&view(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[ranks[1]]));
    assert_eq!(choice.reason, Reason::Spill);
    assert_eq!(choice.previous, None);
    // If importing the cache is cheaper, the home is named as its holder.
    let choice = choose(&importing(targets.clone()), &query, 0);
    assert_eq!(choice.previous.as_deref(), Some(&targets[ranks[0]]));
}

#[test]
fn all_full_stays_home() {
    // The loads are stale and the home's agent queues requests, so that the home
    // may still accept this one.
    let query = query(1, OLD_CHAT);
    let home = ranking(&query)[0];
    let mut targets = targets(COUNT);
    targets.iter_mut().for_each(|target| target.load = 8);
    let choice = choose(&view(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[home]));
    assert_eq!(choice.reason, Reason::Saturated);
}

#[test]
fn warming_home() {
    let old = query(1, OLD_CHAT);
    let ranks = ranking(&old);
    let mut targets = targets(COUNT);
    targets[ranks[0]].standing = warming(120);
    let choice = choose(&view(targets.clone()), &old, 0);
    assert_eq!(chosen(&choice), Some(&targets[ranks[1]]));
    assert_eq!(choice.reason, Reason::Previous);
    // New chats, and chats that began after it joined, go to the joining target.
    for turns in [0, 1, 2] {
        let choice = choose(&view(targets.clone()), &query(1, turns), 0);
        assert_eq!(chosen(&choice), Some(&targets[ranks[0]]), "turns {turns}");
    }
}

#[test]
fn warming_imports() {
    let mut old = query(1, OLD_CHAT);
    let ranks = ranking(&old);
    let mut targets = targets(COUNT);
    targets[ranks[0]].standing = warming(1);
    let choice = choose(&importing(targets.clone()), &old, 0);
    assert_eq!(choice.reason, Reason::Import);
    assert_eq!(chosen(&choice), Some(&targets[ranks[0]]));
    assert_eq!(choice.previous.as_deref(), Some(&targets[ranks[1]]));
    // Below the threshold, computing the cache is cheaper.
    old.prompt_tokens = 999;
    let choice = choose(&importing(targets.clone()), &old, 0);
    assert_eq!(choice.reason, Reason::Previous);
    // A flapping target is likely to lose the cache again.
    old.prompt_tokens = 1_000;
    targets[ranks[0]].standing = Standing::Flapping { age: Span::ZERO };
    let choice = choose(&importing(targets), &old, 0);
    assert_eq!(choice.reason, Reason::Previous);
}

#[test]
fn leaving_home_moves_once() {
    let query = query(1, OLD_CHAT);
    let ranks = ranking(&query);
    for (joining, leaving) in [(0, 1), (1, 0)] {
        let mut targets = targets(COUNT);
        targets[ranks[joining]].standing = warming(1);
        targets[ranks[leaving]].standing = Standing::Leaving;
        let choice = choose(&view(targets.clone()), &query, 0);
        assert_eq!(chosen(&choice), Some(&targets[ranks[joining]]));
        assert_eq!(choice.reason, Reason::Joining);
        let choice = choose(&importing(targets.clone()), &query, 0);
        assert_eq!(choice.previous.as_deref(), Some(&targets[ranks[leaving]]));
    }
}

#[test]
fn hint_first() {
    let mut query = query(1, OLD_CHAT);
    let ranks = ranking(&query);
    let mut targets = targets(COUNT);
    let hinted = ranks[7];
    query.hint = Some(targets[hinted].id.clone());
    let choice = choose(&view(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[hinted]));
    assert_eq!(choice.reason, Reason::Hint);
    // A leaving target accepts no work, but its cache can be imported.
    targets[hinted].standing = Standing::Leaving;
    let choice = choose(&importing(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[ranks[0]]));
    assert_eq!(choice.previous.as_deref(), Some(&targets[hinted]));
    // A target that does not answer cannot export its cache.
    targets[hinted].standing = Standing::Down;
    let choice = choose(&importing(targets.clone()), &query, 0);
    assert_eq!(choice.previous, None);
    // A hint that names no member is ignored.
    query.hint = Some(target(99).id);
    assert_eq!(choose(&view(targets), &query, 0).reason, Reason::Home);
}

#[test]
fn refusal_takes_less_loaded() {
    let mut query = query(1, OLD_CHAT);
    let ranks = ranking(&query);
    let mut targets = targets(COUNT);
    query.refusals = vec![refusal(&targets[ranks[0]])];
    targets[ranks[1]].load = 5;
    targets[ranks[2]].load = 4;
    let choice = choose(&view(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[ranks[2]]));
    assert_eq!(choice.reason, Reason::Choice);
    // The load counts relative to the cap.
    targets[ranks[1]].cap = 16;
    let choice = choose(&view(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[ranks[1]]));
}

#[test]
fn refusal_names_peers() {
    let mut query = query(1, OLD_CHAT);
    let ranks = ranking(&query);
    let mut targets = targets(COUNT);
    // The refusing agent knows the loads better than the router, which considers
    // these two targets full.
    let (first, second) = (ranks[8], ranks[5]);
    targets[first].load = 9;
    targets[second].load = 10;
    let peers = [first, second].map(|index| targets[index].process.clone());
    query.refusals = vec![Refusal {
        target: targets[ranks[0]].id.clone(),
        peers: peers.to_vec(),
    }];
    let choice = choose(&view(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[first]));
    // A named peer that has refused as well is not tried again.
    query.refusals.push(refusal(&targets[first]));
    let choice = choose(&view(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[second]));
}

#[test]
fn equal_loads_prefer_local() {
    let mut query = query(1, OLD_CHAT);
    let ranks = ranking(&query);
    let mut targets = targets(COUNT);
    query.refusals = vec![refusal(&targets[ranks[0]])];
    query.centre = "here".parse().unwrap();
    let choice = choose(&view(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[ranks[1]]));
    targets[ranks[2]].centre = query.centre.clone();
    let choice = choose(&view(targets.clone()), &query, 0);
    assert_eq!(chosen(&choice), Some(&targets[ranks[2]]));
}

#[test]
fn local_factor_new_chats() {
    let preferring = Tuning {
        local_factor: 2.0,
        ..Tuning::default()
    };
    let (plain, local) = (view(targets(COUNT)), View::new(targets(COUNT), preferring));
    let mut own = 0;
    for chat in 0..1_000 {
        let returning = query(chat, 1);
        let expected = choose(&plain, &returning, 0).target;
        assert_eq!(choose(&local, &returning, 0).target, expected);
        let target = choose(&local, &query(chat, 0), 0).target.unwrap();
        own += u32::from(target.centre == returning.centre);
    }
    // A third of the targets, with twice the weight, gets half of the chats.
    assert!((450..550).contains(&own), "{own} of 1000 local");
}

#[test]
fn listed_last() {
    let mut targets = targets(2);
    targets[0].standing = Standing::Listed;
    targets[1].standing = Standing::Down;
    let choice = choose(&view(targets.clone()), &query(1, 0), 0);
    assert_eq!(chosen(&choice), Some(&targets[0]));
    assert_eq!(choice.reason, Reason::Unproven);
    targets[0].standing = Standing::Leaving;
    let choice = choose(&view(targets), &query(1, 0), 0);
    assert_eq!((chosen(&choice), choice.reason), (None, Reason::None));
}

#[test]
fn log_line() {
    let mut targets = targets(4);
    targets[0].standing = Standing::Down;
    targets[1].load = 8;
    targets[2].load = 8;
    let lines: Vec<_> = [0, 1, 5, 13, 14, 15, 16]
        .into_iter()
        .map(|chat| choose(&importing(targets.clone()), &query(chat, 3), 0).to_string())
        .collect();
    expect![[r#"
        target=runner-3 reason=home
        target=runner-3 reason=spill rejected=runner-0:down
        target=runner-3 reason=spill previous=runner-1 rejected=runner-1:full,runner-2:full
        target=runner-3 reason=spill previous=runner-1 rejected=runner-1:full
        target=runner-3 reason=spill previous=runner-2 rejected=runner-2:full,runner-1:full,runner-0:down
        target=runner-3 reason=spill rejected=runner-0:down
        target=runner-3 reason=spill previous=runner-1 rejected=runner-1:full"#]]
    .assert_eq(&lines.join("\n"));
    targets.iter_mut().for_each(|t| t.standing = Standing::Down);
    let choice = choose(&view(targets), &query(0, 0), 0);
    assert!(
        choice
            .to_string()
            .starts_with("target=none reason=none rejected=")
    );
}

#[test]
fn long_log_line() {
    let mut targets = targets(COUNT);
    targets.iter_mut().for_each(|t| t.standing = Standing::Down);
    let choice = choose(&view(targets), &query(0, 0), 0);
    assert_eq!((choice.rejected.len(), choice.omitted), (8, 4));
}

fn standing() -> impl Strategy<Value = Standing> {
    prop_oneof![
        4 => Just(Standing::Up),
        1 => (0u64..2_000).prop_map(warming),
        1 => Just(Standing::Flapping { age: Span::ZERO }),
        1 => Just(Standing::Listed),
        1 => Just(Standing::Leaving),
        1 => Just(Standing::Down),
    ]
}

fn any_target(index: u32) -> impl Strategy<Value = Target> {
    (standing(), 0u32..12, 0u32..10, 0u32..3).prop_map(move |(standing, load, cap, weight)| {
        Target {
            standing,
            load,
            cap,
            weight: weight * 100,
            ..target(index)
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any view, a request goes to a target that accepts work and has not
    /// refused it, if there is such a target.
    #[test]
    fn valid_choice(
        targets in (1u32..12).prop_flat_map(|n| (0..n).map(any_target).collect::<Vec<_>>()),
        policy in prop::sample::select(Policy::ALL.to_vec()),
        import_tokens in prop::option::of(0u32..2_000),
        local_factor in 1.0f64..3.0,
        chat: u64,
        turns in 0u32..30,
        hint in prop::option::of(0u32..13),
        refused in prop::collection::vec((0u32..12, prop::collection::vec(0u32..13, 0..3)), 0..3),
        seed: u64,
    ) {
        let tuning = Tuning { import_tokens, local_factor, ..tuning(policy) };
        let refusals = refused.iter().map(|(index, peers)| Refusal {
            target: target(*index).id,
            peers: peers.iter().map(|peer| target(*peer).process).collect(),
        });
        let query = Query {
            hint: hint.map(|index| target(index).id),
            refusals: refusals.collect(),
            ..query(chat, turns)
        };
        let view = View::new(targets.clone(), tuning);
        let choice = choose(&view, &query, seed);
        let has_refused = |target: &Target| query.refusals.iter().any(|refusal| refusal.target == target.id);
        match chosen(&choice) {
            Some(target) => {
                prop_assert!(target.accepts_work() || choice.reason == Reason::Unproven);
                prop_assert!(!has_refused(target));
                let previous = choice.previous.as_ref();
                prop_assert!(previous.is_none_or(|previous| previous.id != target.id));
                prop_assert!(previous.is_none_or(|previous| previous.is_alive()));
            }
            None => prop_assert!(!targets.iter().any(|target| target.accepts_work() && !has_refused(target))),
        }
        prop_assert_eq!(&choose(&view, &query, seed), &choice);
    }
}
