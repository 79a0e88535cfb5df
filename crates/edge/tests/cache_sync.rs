//! What routers learn of engines after a loss.

use base::{span::Span, time::Mono};
use edge::cache_sync::{self, CacheSync, Step};

fn at(millis: u64) -> Mono {
    Mono(0) + Span::from_secs(100) + Span::from_millis(millis)
}

#[test]
fn first_start() {
    let mut recall = CacheSync::new(true);
    assert!(recall.can_answer(at(0)));
    assert_eq!(recall.next(at(5_000), false), Step::Wait);
}

/// One router was lost: a peer knows, and no engine is asked.
#[test]
fn one_lost() {
    let mut recall = CacheSync::new(false);
    assert_eq!(recall.next(at(0), false), Step::Wait);
    assert_eq!(recall.next(at(200), true), Step::AskPeer);
    assert_eq!(recall.next(at(400), true), Step::Wait);
    recall.finish();
    assert_eq!(recall.next(at(9_000), true), Step::Wait);
}

/// All routers were lost: each asks its share once, and together they ask each
/// engine once.
#[test]
fn all_lost() {
    let mut recall = CacheSync::new(false);
    assert_eq!(recall.next(at(0), false), Step::Wait);
    assert_eq!(recall.next(at(1_100), false), Step::AskEngines);
    assert_eq!(recall.next(at(1_600), false), Step::Wait);
    assert!(!recall.can_answer(at(1_600)), "others ask their shares");
    assert!(recall.can_answer(at(4_200)));
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

/// A peer that never answers is given up.
#[test]
fn silent_peer() {
    let mut recall = CacheSync::new(false);
    assert_eq!(recall.next(at(0), true), Step::AskPeer);
    assert_eq!(recall.next(at(1_600), true), Step::AskPeer);
    assert_eq!(recall.next(at(3_200), true), Step::Wait);
    assert!(recall.can_answer(at(3_200)));
}
