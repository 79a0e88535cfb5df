//! Which routers read the table often.

use std::net::SocketAddr;

use edge::{
    readers::{self, Router},
    relays,
};
use platform::rows::Position;

fn routers(count: u8) -> Vec<Router> {
    let router = |number| Router {
        rank: relays::rank(SocketAddr::from(([10, 0, 0, number], 7_340))),
        reads_table: true,
    };
    (1..=count).map(router).collect()
}

fn readers(routers: &[Router]) -> Vec<u64> {
    let reads_table = |router: &&Router| {
        let others = routers.iter().copied();
        readers::is_reader(
            router.rank,
            others.filter(|other| other.rank != router.rank),
        )
    };
    routers
        .iter()
        .filter(reads_table)
        .map(|router| router.rank)
        .collect()
}

#[test]
fn few_readers() {
    assert_eq!(readers(&routers(29)).len(), 3);
    assert_eq!(readers(&routers(2)).len(), 2);
    assert_eq!(readers(&routers(1)).len(), 1);
}

/// If the table answers only some routers, these become the readers.
#[test]
fn refused_readers() {
    let mut routers = routers(6);
    let first = readers(&routers);
    for router in &mut routers {
        router.reads_table = !first.contains(&router.rank);
    }
    let serving: Vec<_> = routers
        .iter()
        .filter(|router| router.reads_table)
        .copied()
        .collect();
    assert_eq!(readers(&serving).len(), 3);
    let now = readers(&routers);
    assert!(serving.iter().all(|router| now.contains(&router.rank)));
}

/// All routers read more often if the time bound for leaving targets is shorter.
#[test]
fn shorter_bound() {
    let millis = base::span::Span::from_millis;
    assert_eq!(readers::interval(millis(2_000), false), millis(1_400));
    assert_eq!(readers::interval(millis(3_000), true), millis(600));
    assert_eq!(readers::interval(millis(500), false), millis(350));
    assert_eq!(readers::interval(millis(500), true), millis(350));
}

/// A router reads the table itself if its relays are down, report a change that
/// it does not know, or have reported nothing new for a long time.
#[test]
fn skipped_reads() {
    let (known, span) = (Position::from(7), base::span::Span::from_secs);
    assert!(readers::may_skip(known, Some(Position::from(7)), span(3)));
    assert!(!readers::may_skip(known, Some(Position::from(8)), span(3)));
    assert!(!readers::may_skip(known, None, span(3)));
    assert!(!readers::may_skip(known, Some(Position::from(7)), span(11)));
}
