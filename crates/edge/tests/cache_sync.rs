//! How routers learn what engines have cached after a loss of routers.

use base::{span::Span, time::Mono};
use edge::cache_sync::{self, CacheSync, Step};

fn at(millis: u64) -> Mono {
    Mono(0) + Span::from_secs(100) + Span::from_millis(millis)
}

#[test]
fn first_start() {
    let mut sync = CacheSync::new(true);
    assert!(sync.can_answer(at(0)));
    assert_eq!(sync.next(at(5_000), false), Step::Wait);
}

/// If one router was lost, it asks a peer and queries no engine.
#[test]
fn one_lost() {
    let mut sync = CacheSync::new(false);
    assert_eq!(sync.next(at(0), false), Step::Wait);
    assert_eq!(sync.next(at(200), true), Step::AskPeer);
    assert_eq!(sync.next(at(400), true), Step::Wait);
    sync.finish();
    assert_eq!(sync.next(at(9_000), true), Step::Wait);
}

/// If all routers were lost, each queries its share of the engines once, and
/// together they query each engine once.
#[test]
fn all_lost() {
    let mut sync = CacheSync::new(false);
    assert_eq!(sync.next(at(0), false), Step::Wait);
    assert_eq!(sync.next(at(1_100), false), Step::AskEngines);
    assert_eq!(sync.next(at(1_600), false), Step::Wait);
    assert!(!sync.can_answer(at(1_600)), "the other shares are missing");
    assert!(sync.can_answer(at(4_200)));
    let routers: Vec<u64> = (1..=6).map(|router| base::hash::mix(router, 0)).collect();
    for target in 1..=18 {
        let asking = routers.iter().filter(|own| {
            let others: Vec<u64> = routers
                .iter()
                .copied()
                .filter(|other| other != *own)
                .collect();
            cache_sync::is_own_share(target, **own, &others)
        });
        assert_eq!(asking.count(), 1);
    }
}

/// A router gives up asking if no peer answers.
#[test]
fn silent_peer() {
    let mut sync = CacheSync::new(false);
    assert_eq!(sync.next(at(0), true), Step::AskPeer);
    assert_eq!(sync.next(at(1_600), true), Step::AskPeer);
    assert_eq!(sync.next(at(3_200), true), Step::Wait);
    assert!(sync.can_answer(at(3_200)));
}
