//! A loss of all routers, after which all callers return within a second.

use std::path::Path;

use base::{rate::Rate, span::Span};
use lab::{
    compare::{self, Case},
    outcome::Seen,
    policy::Policy,
    site::{Fault, Site, What},
};

/// Returns a site of 23 routers and 42 engines, `share` of whose routers are lost for
/// 0.8 s. `times` is the rate of requests and `parts` the number of prompt parts,
/// relative to those of the site file.
fn site(times: f64, parts: u32, share: f64) -> Site {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("sites/all-routers.toml");
    let mut site = Site::load(&path).expect("a site");
    site.length = Span::from_secs(14);
    site.routers.count = 23;
    site.routers.centres = 4;
    site.services[0].targets = 42;
    for kind in &mut site.kinds[..3] {
        kind.rate = Rate(kind.rate.0 * times);
        kind.parts *= parts;
        kind.repeatable = true;
    }
    site.faults = vec![Fault {
        at: Span::from_secs(6),
        length: Span::from_millis(800),
        what: What::Lose(share),
    }];
    site
}

/// Plays three seeds; returns what became of the requests from the second before the
/// loss on.
fn play(site: &Site, policy: Policy) -> Seen {
    let cases = (1..=3).map(|seed| Case {
        site: site.clone(),
        policy,
        seed,
        setting: String::new(),
        arrivals: None,
    });
    let mut sum = Seen::default();
    for outcome in compare::play(cases.collect(), false) {
        for second in &outcome.seconds[5..12] {
            sum.asked += second.seen.asked;
            sum.timely += second.seen.timely;
            sum.late += second.seen.late;
            sum.refused += second.seen.refused;
            sum.failed += second.seen.failed;
            sum.left += second.seen.left;
        }
    }
    println!("{policy}: {sum:?}");
    sum
}

/// Engines that have cached many long parts: without a limit, the routers have them
/// read again elsewhere, and the engines work on that for seconds.
#[test]
fn many_parts() {
    for (times, parts) in [(8.0, 16), (6.0, 40)] {
        let site = site(times, parts, 1.0);
        let [eager, today] = [Policy::Eager, Policy::Today].map(|policy| play(&site, policy));
        assert!(today.timely * 10 > eager.timely * 12);
        assert!(today.failed + today.left < eager.failed + eager.left);
    }
}

/// Where the engines can read all prompts in time, nearly none is refused by the
/// limit, and a loss of one router has no effect.
#[test]
fn few_parts() {
    for (times, parts, share) in [(4.0, 4, 1.0), (8.0, 16, 0.05), (6.0, 40, 0.05)] {
        let site = site(times, parts, share);
        let [eager, today] = [Policy::Eager, Policy::Today].map(|policy| play(&site, policy));
        assert!(today.timely * 100 > eager.timely * 99);
        assert!(today.refused * 100 < eager.refused * 100 + today.asked);
    }
}
