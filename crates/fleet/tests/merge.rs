//! Merging of reports under loss, repetition and reordering.

mod common;

use base::{id, span};
use common::{agent, at, later, members};
use fleet::member::{self, Standing};
use proptest::{prelude::*, sample};

fn standings() -> impl Strategy<Value = Standing> {
    sample::select(vec![
        Standing::Warming,
        Standing::Up,
        Standing::Leaving,
        Standing::Down,
    ])
}

/// Returns reports of two members, one for each (incarnation, sequence).
fn reports() -> impl Strategy<Value = Vec<member::Member>> {
    let report = (1..=2_u16, 1..=3_u64, 1..=4_u64, standings(), 0..5_u64);
    prop::collection::vec(report, 1..30).prop_map(|all| {
        let mut unique: Vec<member::Member> = Vec::new();
        for (nth, incarnation, sequence, standing, version) in all {
            let mut report = later(&agent(nth, "crew"), incarnation, sequence, standing);
            report.version = id::Version(version);
            report.load = u32::try_from(incarnation * 10 + sequence).expect("small");
            let repeated = unique.iter().any(|other| {
                other.process == report.process
                    && other.incarnation == report.incarnation
                    && other.sequence == report.sequence
            });
            if !repeated {
                unique.push(report);
            }
        }
        unique
    })
}

/// Returns reports in two orders, the second with repetitions.
fn orders() -> impl Strategy<Value = (Vec<member::Member>, Vec<member::Member>)> {
    reports().prop_flat_map(|all| {
        let mut doubled = all.clone();
        doubled.extend(all.iter().step_by(2).cloned());
        (Just(all), Just(doubled).prop_shuffle())
    })
}

fn merged(reports: &[member::Member]) -> Vec<member::Row> {
    let mut members = members();
    for report in reports {
        members.report(at(1), report.clone());
    }
    members.targets(at(1000))
}

proptest! {
    #[test]
    fn any_order((first, second) in orders()) {
        // Guards against a state that depends on the order of messages.
        prop_assert_eq!(merged(&first), merged(&second));
    }

    #[test]
    fn leaving_final(all in reports(), order in any::<u64>()) {
        // Guards against a leaving incarnation that takes new work again.
        let mut members = members();
        let mut left: Vec<(id::ProcessId, id::Incarnation)> = Vec::new();
        let turn = usize::try_from(order % all.len() as u64).expect("small");
        for report in all[turn..].iter().chain(&all[..turn]) {
            members.report(at(1), report.clone());
            for row in members.targets(at(1000)) {
                let run = (row.member.process.clone(), row.member.incarnation);
                if row.standing == Standing::Leaving {
                    left.push(run);
                } else {
                    prop_assert!(!left.contains(&run));
                }
            }
        }
    }

    #[test]
    fn lost_reports(all in reports(), kept in any::<u64>()) {
        // Guards against a lost report that changes the effect of later ones.
        let some: Vec<member::Member> = all
            .iter()
            .enumerate()
            .filter(|(nth, _)| kept >> (nth % 64) & 1 == 1)
            .map(|(_, report)| report.clone())
            .collect();
        let mut members = members();
        for report in some.iter().chain(&all) {
            members.report(at(1), report.clone());
        }
        prop_assert_eq!(members.targets(at(1000)), merged(&all));
    }

    #[test]
    fn ages_add(held in prop::collection::vec(0..5_u64, 1..8)) {
        // Guards against a report that circulates for ever because each process
        // starts its age from zero.
        let mut report = agent(1, "crew");
        let mut total = 0;
        for seconds in held {
            let mut members = members();
            members.report(at(7), report.clone());
            total += seconds;
            let relayed = members.relayed(at(7 + seconds), &report.process);
            report = relayed.expect("it is known");
            prop_assert_eq!(report.age, span::Span::from_secs(total));
        }
    }
}
