//! The bound on the loads of targets, with routers that each see only a part of
//! the traffic.

mod simulation;

use base::span::Span;
use simulation::{Pattern, Report};

/// Maximum percentage of the requests in five seconds that reach a target above
/// the bound.
const MAX_OVER: u32 = 3;

/// Requests a second per target at the large site.
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

fn run(name: &str, pattern: Pattern, seed: u64) -> Report {
    let report = simulation::simulate(pattern, seed);
    println!("{name} {} routers: {report:?}", pattern.routers);
    assert!(
        report.over * 100 <= report.sends * MAX_OVER,
        "{name}: {report:?}"
    );
    report
}

/// A fifth of the requests have the same prompt part. When each of a hundred
/// routers sent updates to all others once a second, one request in seven went
/// to a target above the bound.
#[test]
fn hot_part() {
    for (routers, targets) in [(6, 18), (29, 49), (103, 180)] {
        let hot = Pattern {
            hot: 0.2,
            ..pattern(routers, targets)
        };
        run("hot", hot, 2);
    }
}

/// The load is twice as high as usual.
#[test]
fn twice_the_load() {
    let mut twice = pattern(103, 180);
    twice.rate *= 2.0;
    run("twice", twice, 3);
}

/// All relays stop at the same moment; the next routers in the ranking replace
/// them.
#[test]
fn relays_stop() {
    let stop = Pattern {
        hot: 0.1,
        stop: Some(Span::from_secs(5)),
        ..pattern(103, 180)
    };
    run("stop", stop, 4);
}

/// Targets are replaced one after the other at twice the usual load. All routers
/// must not choose the same empty target before they learn of one another's
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
    let drawn = run("empty", empty, 7);
    println!("as if alone: {crowded:?}");
    assert!(drawn.over * 3 < crowded.over);
}

/// One update in twenty is lost.
#[test]
fn lossy_links() {
    let lossy = Pattern {
        hot: 0.1,
        loss: 0.05,
        ..pattern(103, 180)
    };
    run("lossy", lossy, 5);
}

/// At the size that the system is designed for, the number of updates that a
/// router sends does not grow with the fleet.
#[test]
fn design_size() {
    let design = Pattern {
        length: Span::from_secs(5),
        ..pattern(360, 180)
    };
    let report = run("design", design, 6);
    assert!(report.messages < 500.0, "{report:?}");
}
