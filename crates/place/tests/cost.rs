//! The choice of a target by expected cost, for prompts with shared parts.

use place::cost::{self, Candidate, PeerTraffic, Prompt, Reason, SpillFactor, Timings};

const SHARED: u32 = 10_000;
const OWN: u32 = 1_000;

fn prompt() -> Prompt {
    Prompt {
        part: Some(7),
        own: OWN,
        fetches: true,
    }
}

fn spill() -> SpillFactor {
    SpillFactor::below(2.0)
}

/// Chooses with the usual spill factor and default timings, without other routers.
fn choose(targets: &[Candidate], prompt: Prompt, seed: u64) -> Option<cost::Choice> {
    let (peers, timings) = (PeerTraffic::default(), Timings::default());
    cost::choose(targets, prompt, spill(), peers, timings, seed)
}

fn targets(count: u64) -> Vec<Candidate> {
    let target = |hash| Candidate {
        hash,
        missing: SHARED + OWN,
        local: true,
        accepting: true,
        unblocked: true,
        ..Candidate::default()
    };
    (1..=count).map(target).collect()
}

/// Routers without knowledge of holders send the same part to the same target.
#[test]
fn same_home() {
    let targets = targets(18);
    let first = choose(&targets, prompt(), 1).expect("a target");
    assert_eq!(first.reason, Reason::Home);
    for seed in 2..100 {
        let other = choose(&targets, prompt(), seed).expect("a target");
        assert_eq!(other.index, first.index);
    }
}

#[test]
fn holder_first() {
    let mut targets = targets(18);
    targets[5].missing = OWN;
    targets[5].load = 1;
    let choice = choose(&targets, prompt(), 1).expect("a target");
    assert_eq!((choice.index, choice.reason), (5, Reason::Holder));
    assert_eq!(choice.source, None);
}

/// A burst on one part spills over to a target that fetches the part from its
/// holder.
#[test]
fn burst_spills() {
    let mut targets = targets(18);
    targets[5].missing = OWN;
    targets[5].load = 30;
    let choice = choose(&targets, prompt(), 1).expect("a target");
    assert_ne!(choice.index, 5);
    assert_eq!(choice.source, Some(5));
}

/// A leaving target gets no work, but others fetch from its cache.
#[test]
fn leaving_source() {
    let mut targets = targets(18);
    targets[5].missing = OWN;
    targets[5].accepting = false;
    let choice = choose(&targets, prompt(), 1).expect("a target");
    assert_ne!(choice.index, 5);
    assert_eq!(choice.source, Some(5));
}

/// Nothing is fetched from a blocked target.
#[test]
fn blocked_source() {
    let mut targets = targets(18);
    targets[5].missing = OWN;
    targets[5].unblocked = false;
    let choice = choose(&targets, prompt(), 1).expect("a target");
    assert_ne!(choice.index, 5);
    assert_eq!(choice.source, None);
}

#[test]
fn fetch_disabled() {
    let mut targets = targets(18);
    targets[5].missing = OWN;
    targets[5].load = 30;
    let plain = Prompt {
        fetches: false,
        ..prompt()
    };
    let choice = choose(&targets, plain, 1).expect("a target");
    assert_eq!(choice.source, None);
}

/// If all targets are blocked, one is tried nevertheless.
#[test]
fn none_trusted() {
    let mut targets = targets(3);
    for target in &mut targets {
        target.unblocked = false;
    }
    let choice = choose(&targets, prompt(), 1).expect("a target");
    assert_eq!(choice.reason, Reason::MostBlocked);
    for target in &mut targets {
        target.accepting = false;
    }
    assert_eq!(choose(&targets, prompt(), 1), None);
}

/// If fewer than a third of the targets are not blocked, they do not get all the work.
#[test]
fn few_trusted() {
    let mut targets = targets(18);
    for target in &mut targets[5..] {
        target.unblocked = false;
    }
    targets[..5].iter_mut().for_each(|target| target.load = 6);
    let choice = cost::choose(
        &targets,
        Prompt::default(),
        spill(),
        PeerTraffic::default(),
        Timings::default(),
        1,
    )
    .expect("a target");
    assert!(choice.index >= 5);
    targets[5].unblocked = true;
    let choice = cost::choose(
        &targets,
        Prompt::default(),
        spill(),
        PeerTraffic::default(),
        Timings::default(),
        1,
    )
    .expect("a target");
    assert!(choice.index <= 5);
}

/// With a third of the requests for one hot part and up-to-date loads, no target
/// gets a request while it has more than twice the mean load plus three.
#[test]
fn hot_part_bound() {
    let mut targets = targets(18);
    let mut held = vec![Vec::new(); 18];
    let mut running: Vec<(usize, u32)> = Vec::new();
    let mut over = 0;
    for number in 0..2_000_u64 {
        running.retain_mut(|(index, left)| {
            *left -= 1;
            if *left == 0 {
                targets[*index].load -= 1;
            }
            *left > 0
        });
        let part = if number % 3 == 0 { 0 } else { number % 80 };
        for (target, held) in targets.iter_mut().zip(&held) {
            let holds = held.contains(&part);
            target.missing = if holds { OWN } else { SHARED + OWN };
        }
        let prompt = Prompt {
            part: Some(part),
            ..prompt()
        };
        let choice = choose(&targets, prompt, number).expect("a target");
        held[choice.index].push(part);
        let total: u32 = targets.iter().map(|target| target.load).sum();
        if f64::from(targets[choice.index].load) > 2.0 * f64::from(total) / 18.0 + 3.0 {
            over += 1;
        }
        targets[choice.index].load += 1;
        running.push((choice.index, 72));
    }
    assert_eq!(over, 0);
}

/// An excluded target must not be fetched from: in an evacuated data centre it may be
/// switched off at any moment.
#[test]
fn excluded_source() {
    let mut targets = targets(18);
    targets[5].missing = OWN;
    targets[5].accepting = false;
    targets[5].excluded = true;
    let choice = choose(&targets, prompt(), 1).expect("a target");
    assert_eq!(choice.source, None);
    assert_eq!(choice.reason, Reason::Home);
}
