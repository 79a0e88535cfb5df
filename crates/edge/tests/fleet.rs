//! What a router knows about the state of its targets.

use std::{collections::BTreeSet, sync::Arc};

use base::{id::DataCentre, span::Span, time::Mono};
use edge::fleet::{Fleet, PrefixChain, Target};
use platform::{load::Load, request::Part, target as row};

fn target() -> Arc<Target> {
    let row = row::Target {
        id: "a".parse().expect("an id"),
        address: ([127, 0, 0, 1], 80).into(),
        service: "s".parse().expect("an id"),
        centre: "c".parse().expect("an id"),
        slots: 64,
        cold: Span::ZERO,
        leaving: false,
        started_at: 1,
    };
    let fleet = Fleet::new(&[&row], None);
    fleet.targets().next().expect("one target").clone()
}

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn load(target: &Target, now: Mono) -> u32 {
    let centre: DataCentre = "c".parse().expect("an id");
    target.candidate(now, &PrefixChain::default(), &centre).load
}

#[test]
fn own_and_peers() {
    let target = target();
    let request = target.begin(at(1), &PrefixChain::default(), 0).0;
    target.set_peer_load(at(1), 7, 3);
    target.set_peer_load(at(1), 8, 2);
    assert_eq!(load(&target, at(2)), 6);
    target.set_peer_load(at(3), 8, 0);
    drop(request);
    assert_eq!(load(&target, at(4)), 3);
    assert_eq!(load(&target, at(5_000)), 0, "loads of a silent peer expire");
}

/// When responses are lost, requests that the target has finished are still
/// counted. Without the target's own report, a router overestimated the mean
/// load and sent requests to targets above the bound.
#[test]
fn lost_responses() {
    let target = target();
    let requests: Vec<_> = (0..20)
        .map(|_| target.begin(at(1), &PrefixChain::default(), 0).0)
        .collect();
    assert_eq!(load(&target, at(100)), 20);
    let report = Load {
        running: 2,
        waiting: 0,
        slots: 64,
        pace: None,
    };
    target.report(at(200), report);
    assert_eq!(load(&target, at(210)), 3);
    let more = target.begin(at(220), &PrefixChain::default(), 0).0;
    assert_eq!(load(&target, at(230)), 4);
    assert_eq!(load(&target, at(2_000)), 21, "an old report has no effect");
    drop((requests, more));
}

#[test]
fn cached_parts() {
    let target = target();
    let parts = [("x", 500), ("y", 9_000), ("own", 300)].map(|(id, tokens)| Part {
        id: id.to_owned(),
        tokens,
    });
    let chain = PrefixChain::new(&parts);
    let centre: DataCentre = "c".parse().expect("an id");
    let missing = |now| target.candidate(now, &chain, &centre).missing;
    assert_eq!(missing(at(0)), 9_800);
    for part in chain.shared() {
        target.add_cached(at(1), part);
    }
    assert_eq!(missing(at(2)), 300);
    let mut after = parts.clone();
    after[0].id = "z".to_owned();
    assert_eq!(
        target
            .candidate(at(3), &PrefixChain::new(&after), &centre)
            .missing,
        9_800,
        "another part before it"
    );
    let shared: Vec<_> = chain.shared().collect();
    let kept: BTreeSet<_> = target
        .cached_parts()
        .into_iter()
        .map(|(_, part)| part)
        .collect();
    assert_eq!(kept, shared.into_iter().collect());
}

/// A target that restarts with the same id has no state from before.
#[test]
fn restarted_target() {
    let first = target();
    let request = first.begin(at(1), &PrefixChain::default(), 0).0;
    let fleet = Fleet::new(&[&first.row], None);
    let mut row = first.row.clone();
    row.leaving = true;
    let same = Fleet::new(&[&row], Some(&fleet));
    let kept = same.targets().next().expect("one target");
    assert!(Arc::ptr_eq(
        &kept.pool,
        &fleet.targets().next().expect("one target").pool
    ));
    row.started_at = 2;
    let other = Fleet::new(&[&row], Some(&same));
    assert_eq!(load(other.targets().next().expect("one target"), at(2)), 0);
    drop(request);
}
