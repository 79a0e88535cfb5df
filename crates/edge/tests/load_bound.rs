//! The bound on loads, kept by routers that each see a part of the traffic.

mod simulation;

use base::span::Span;
use simulation::{Pattern, Report};

/// Part of the requests, in hundredths, that may reach a target over the bound in
/// five seconds.
const MOST_OVER: u32 = 3;

/// Requests a second that come to one target of the large site.
const RATE: f64 = 5.2;

fn pattern(routers: usize, targets: usize) -> Pattern {
    Pattern {
        routers,
        centres: 5,
        targets,
        rate: RATE * targets as f64,
        work: Span::from_millis(600),
        parts: 5 * targets,
        hot: 0.0,
        short: 0.5,
        loss: 0.005,
        length: Span::from_secs(9),
        stop: None,
        sees_all: false,
        replace: None,
    }
}

fn keeps(name: &str, pattern: Pattern, seed: u64) -> Report {
    let report = simulation::simulate(pattern, seed);
    println!("{name} {} routers: {report:?}", pattern.routers);
    assert!(
        report.over * 100 <= report.sends * MOST_OVER,
        "{name}: {report:?}"
    );
    report
}

/// A fifth of the requests for one prompt part. A hundred routers that each told
/// all others once a second sent one request in seven to targets over the bound.
#[test]
fn hot_part() {
    for (routers, targets) in [(6, 18), (29, 49), (103, 180)] {
        let hot = Pattern {
            hot: 0.2,
            ..pattern(routers, targets)
        };
        keeps("hot", hot, 2);
    }
}

/// Twice the usual load.
#[test]
fn twice_the_load() {
    let mut twice = pattern(103, 180);
    twice.rate *= 2.0;
    keeps("twice", twice, 3);
}

/// All relays stop at the same moment; those that were next in the ranking take
/// their place.
#[test]
fn relays_stop() {
    let stop = Pattern {
        hot: 0.1,
        stop: Some(Span::from_secs(5)),
        ..pattern(103, 180)
    };
    keeps("stop", stop, 4);
}

/// Targets are replaced one after the other under twice the load. On a day with a
/// release the hundred routers all chose the same empty target until they heard of one another's
/// requests.
#[test]
fn empty_targets() {
    let mut empty = Pattern {
        replace: Some(Span::from_millis(300)),
        ..pattern(103, 180)
    };
    empty.rate *= 2.0;
    let crowded = simulation::simulate(
        Pattern {
            sees_all: true,
            ..empty
        },
        7,
    );
    let drawn = keeps("empty", empty, 7);
    println!("as if alone: {crowded:?}");
    assert!(drawn.over * 3 < crowded.over);
}

/// One message in twenty is lost.
#[test]
fn lossy_links() {
    let lossy = Pattern {
        hot: 0.1,
        loss: 0.05,
        ..pattern(103, 180)
    };
    keeps("lossy", lossy, 5);
}

/// The size to design for: the work of a router does not grow with the fleet.
#[test]
fn design_size() {
    let design = Pattern {
        length: Span::from_secs(5),
        ..pattern(360, 180)
    };
    let report = keeps("design", design, 6);
    assert!(report.messages < 500.0, "{report:?}");
}
