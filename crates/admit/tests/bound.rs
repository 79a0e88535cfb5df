//! Tests the bound: no target exceeds its multiple of the mean load, even if
//! load reports are delayed, lost, repeated or wrong.

mod common;

use std::collections::BTreeMap;

use admit::{
    bound::{Params, cap},
    controller::{AdmissionController, Settings},
    group::{LoadReport, Member, PeerGroup, Standing},
    request::{Event, Verdict},
};
use base::{id, span::Span, time::Mono};
use common::{at, member, process, report, request};
use proptest::prelude::*;

const PARAMS: Params = Params {
    factor: 1.5,
    floor: 2,
    slots: 12,
    fresh_age: Span::from_millis(500),
    max_age: Span::from_secs(4),
    margin: 0.0,
};

/// Number of agents in a simulation.
const AGENTS: usize = 6;

#[test]
fn cap_values() {
    let params = Params {
        factor: 1.25,
        floor: 4,
        slots: 16,
        ..Params::default()
    };
    for (total, members, expected) in [
        (0, 0, 4),
        (0, 12, 4),
        (47, 12, 5),
        (48, 12, 6),
        (119, 12, 13),
        (10_000, 12, 16),
        (u64::MAX - 1, 1, 16),
    ] {
        assert_eq!(cap(&params, total, members), expected, "total {total}");
    }
}

#[test]
fn estimate_declines() {
    for (age, expected) in [(0, 10), (500, 10), (2_250, 5), (3_999, 0), (60_000, 0)] {
        assert_eq!(
            PARAMS.estimate(10, Span::from_millis(age)),
            expected,
            "{age}"
        );
    }
    assert_eq!(PARAMS.estimate(u32::MAX, Span::ZERO), 12);
}

fn group(members: Vec<Member>) -> PeerGroup {
    let mut group = PeerGroup::new(process(0));
    group.set_members(at(0), members);
    group
}

fn peers(loads: &[u32]) -> Vec<Member> {
    (1..)
        .zip(loads)
        .map(|(index, load)| member(index, Standing::Up, Some(*load)))
        .collect()
}

#[test]
fn missing_reports() {
    let group = group(peers(&[8, 8, 8, 8, 8]));
    assert_eq!(group.cap(at(0), &PARAMS, 8), 12);
    assert_eq!(group.cap(at(2_250), &PARAMS, 8), 8);
    assert_eq!(group.cap(at(4_000), &PARAMS, 8), 3);
    assert_eq!(group.cap(at(60_000), &PARAMS, 8), 3);
}

#[test]
fn unreported_peer_counts() {
    let mut members = peers(&[8, 8]);
    let without = group(members.clone()).cap(at(0), &PARAMS, 8);
    members.push(member(3, Standing::Listed, None));
    let with = group(members).cap(at(0), &PARAMS, 8);
    assert_eq!((without, with), (12, 10));
}

#[test]
fn leaving_not_counted() {
    for standing in [Standing::Leaving, Standing::Down] {
        let mut members = peers(&[6, 6]);
        members.push(member(3, standing, Some(0)));
        assert_eq!(group(members).cap(at(0), &PARAMS, 6), 10);
    }
}

#[test]
fn unlisted_lowers_cap() {
    // An idle target may have joined that is not in the member list yet.
    let mut with_idle = group(peers(&[8, 8]));
    with_idle.apply_report(at(0), &report(7, 1, 0));
    assert_eq!(with_idle.cap(at(0), &PARAMS, 8), 10);
    // A busy target may have left, so that its report must not raise the cap.
    let mut with_busy = group(peers(&[2, 2]));
    with_busy.apply_report(at(0), &report(7, 1, 12));
    assert_eq!(with_busy.cap(at(0), &PARAMS, 2), 4);
    // The report counts only until the member list has had time to change.
    assert_eq!(with_idle.cap(at(10_000), &PARAMS, 8), 5);
}

#[test]
fn late_report_ignored() {
    let mut group = group(Vec::new());
    group.set_members(at(0), peers(&[0]));
    group.apply_report(at(10), &report(1, 5, 2));
    group.apply_report(at(20), &report(1, 4, 10));
    assert_eq!(group.cap(at(20), &PARAMS, 2), 4);
    // The first report of a restarted peer replaces those before the restart.
    let restarted = LoadReport {
        incarnation: id::Incarnation(2),
        ..report(1, 1, 0)
    };
    group.apply_report(at(30), &restarted);
    group.apply_report(at(40), &report(1, 6, 10));
    assert_eq!(group.cap(at(40), &PARAMS, 2), 3);
}

#[test]
fn repeated_report_ages() {
    let mut group = group(peers(&[10]));
    // The same report again, by a route on which it took over two seconds.
    let slow = LoadReport {
        age: Span::from_millis(2_250),
        ..report(1, 1, 10)
    };
    group.apply_report(at(0), &slow);
    assert_eq!(group.cap(at(0), &PARAMS, 4), 8);
    // A copy by a faster route does not reduce the age of the report.
    group.apply_report(at(100), &report(1, 1, 10));
    assert_eq!(group.cap(at(100), &PARAMS, 4), 7);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Peers that report wrong loads must not raise the caps of others.
    #[test]
    fn wrong_reports(
        mean in 0u32..9,
        own in 0u32..9,
        wrong in prop::collection::vec(any::<u32>(), 1..3),
    ) {
        let honest = vec![mean; 11];
        let mut some_wrong = honest.clone();
        some_wrong[..wrong.len()].copy_from_slice(&wrong);
        let expected = group(peers(&honest)).cap(at(0), &PARAMS, own);
        let got = group(peers(&some_wrong)).cap(at(0), &PARAMS, own);
        // A wrong report can at most look like the highest load within the
        // bound.
        let margin = wrong.len() as u32;
        prop_assert!(got <= expected + margin, "{expected} became {got}");
    }

    /// The cap is computed from low estimates, so it never exceeds the cap of an
    /// agent that knows all loads, if no peer's load has decreased since its report.
    #[test]
    fn below_exact_cap(
        own in 0u32..12,
        loads in prop::collection::vec((0u32..12, 0u64..6_000, 0u32..4), 0..12),
    ) {
        let mut true_total = u64::from(own);
        let mut members = Vec::new();
        for (index, (load, age, gained)) in (1..).zip(&loads) {
            true_total += u64::from(load + gained);
            let report = LoadReport { age: Span::from_millis(*age), ..report(index, 1, *load) };
            members.push(Member { report: Some(report), ..member(index, Standing::Up, None) });
        }
        let exact = cap(&PARAMS, true_total, loads.len() as u32 + 1);
        let mut group = PeerGroup::new(process(0));
        group.set_members(at(10_000), members);
        prop_assert!(group.cap(at(10_000), &PARAMS, own) <= exact);
    }
}

/// One step of a simulation of several agents.
#[derive(Clone, Debug)]
enum Step {
    Offer {
        agent: usize,
    },
    Finish {
        agent: usize,
    },
    Wait {
        millis: u64,
    },
    /// An agent sends a load report, which may be delivered later.
    Send {
        agent: usize,
    },
    /// A report is delivered, possibly not for the first time. Reports without
    /// such a step are lost.
    Deliver {
        message: usize,
        agent: usize,
    },
    Join {
        agent: usize,
    },
    Leave {
        agent: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let agent = 0..AGENTS;
    let deliver = (any::<usize>(), agent.clone());
    prop_oneof![
        12 => agent.clone().prop_map(|agent| Step::Offer { agent }),
        8 => agent.clone().prop_map(|agent| Step::Finish { agent }),
        6 => (0u64..1_500).prop_map(|millis| Step::Wait { millis }),
        6 => agent.clone().prop_map(|agent| Step::Send { agent }),
        10 => deliver.prop_map(|(message, agent)| Step::Deliver { message, agent }),
        1 => agent.clone().prop_map(|agent| Step::Join { agent }),
        1 => agent.prop_map(|agent| Step::Leave { agent }),
    ]
}

/// Simulated agents with their true loads.
struct Simulation {
    now: Mono,
    controllers: Vec<AdmissionController>,
    up: [bool; AGENTS],
    running: Vec<Vec<id::RequestId>>,
    messages: Vec<(Mono, LoadReport)>,
    offered: u128,
}

impl Simulation {
    fn new() -> Self {
        let settings = Settings {
            bound: PARAMS,
            ..Settings::default()
        };
        let mut simulation = Self {
            now: Mono(0),
            controllers: (0..AGENTS as u32)
                .map(|agent| AdmissionController::new(process(agent), settings, u64::from(agent)))
                .collect(),
            up: [true; AGENTS],
            running: vec![Vec::new(); AGENTS],
            messages: Vec::new(),
            offered: 0,
        };
        simulation.update_members();
        simulation
    }

    /// Sends the list of the agents that are up to all agents, before anything
    /// else happens.
    fn update_members(&mut self) {
        for agent in 0..AGENTS {
            let members = (0..AGENTS as u32)
                .filter(|peer| self.up[*peer as usize])
                .map(|peer| member(peer, Standing::Up, None))
                .collect();
            let events = self.controllers[agent].set_members(self.now, members);
            self.apply(agent, events);
        }
    }

    fn apply(&mut self, agent: usize, events: Vec<Event>) {
        for event in events {
            if let Event::Run(id) = event {
                self.dispatch(agent, id);
            }
        }
    }

    fn dispatch(&mut self, agent: usize, id: id::RequestId) {
        self.running[agent].push(id);
        let members = self.up.iter().filter(|up| **up).count();
        let total: usize = (0..AGENTS)
            .filter(|peer| self.up[*peer])
            .map(|peer| self.running[peer].len())
            .sum();
        let mean = total as f64 / members as f64;
        let bound = (PARAMS.factor * mean).ceil().max(f64::from(PARAMS.floor));
        let load = self.running[agent].len();
        assert!(
            load as f64 <= bound,
            "load {load}, bound {bound}, mean {mean}"
        );
    }

    /// Returns whether an agent may finish a request without breaking the
    /// assumption of the bound: no load drops below the estimate from any of its
    /// earlier reports.
    fn may_decline(&self, agent: usize) -> bool {
        let after = self.running[agent].len() as u32 - 1;
        self.messages
            .iter()
            .filter(|(_, report)| report.process == process(agent as u32))
            .all(|(sent, report)| PARAMS.estimate(report.load, self.now.since(*sent)) <= after)
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Offer { agent } if self.up[agent] => {
                self.offered += 1;
                let offered = self.controllers[agent].offer(self.now, request(self.offered, "a"));
                if offered.verdict == Verdict::Run {
                    self.dispatch(agent, id::RequestId(self.offered));
                }
                self.apply(agent, offered.events);
            }
            Step::Finish { agent } => {
                if !self.running[agent].is_empty() && self.may_decline(agent) {
                    let id = self.running[agent].remove(0);
                    let events = self.controllers[agent].finish(self.now, id);
                    self.apply(agent, events);
                }
            }
            Step::Wait { millis } => {
                self.now = self.now + Span::from_millis(millis);
                for agent in 0..AGENTS {
                    let events = self.controllers[agent].expire(self.now);
                    self.apply(agent, events);
                }
            }
            Step::Send { agent } => {
                let load = self.controllers[agent].load();
                let sequence = self.messages.len() as u64;
                let report = report(agent as u32, sequence, load);
                self.messages.push((self.now, report));
            }
            Step::Deliver { message, agent } if !self.messages.is_empty() => {
                let (sent, report) = &self.messages[message % self.messages.len()];
                let report = LoadReport {
                    age: self.now.since(*sent),
                    ..report.clone()
                };
                let events = self.controllers[agent].apply_report(self.now, &report);
                self.apply(agent, events);
            }
            Step::Join { agent } if !self.up[agent] => {
                self.up[agent] = true;
                self.update_members();
                let events = self.controllers[agent].set_standing(self.now, Standing::Up);
                self.apply(agent, events);
            }
            Step::Leave { agent }
                if self.up[agent] && self.up.iter().filter(|up| **up).count() > 1 =>
            {
                self.up[agent] = false;
                let events = self.controllers[agent].set_standing(self.now, Standing::Leaving);
                self.apply(agent, events);
                self.update_members();
            }
            Step::Offer { .. } | Step::Deliver { .. } | Step::Join { .. } | Step::Leave { .. } => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The bound holds for the true loads at every dispatch of every agent.
    #[test]
    fn bound_holds(steps in prop::collection::vec(step(), 1..200)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply_step(step);
        }
    }
}

#[test]
fn reports_raise_cap() {
    // `bound_holds` would also pass if no request were ever admitted.
    let mut simulation = Simulation::new();
    let mut peak = 0;
    for round in 0..20 {
        for agent in 0..AGENTS {
            for _ in 0..2 {
                simulation.apply_step(Step::Offer { agent });
            }
            simulation.apply_step(Step::Send { agent });
        }
        let newest = simulation.messages.len() - AGENTS;
        for message in newest..simulation.messages.len() {
            for agent in 0..AGENTS {
                simulation.apply_step(Step::Deliver { message, agent });
            }
        }
        simulation.apply_step(Step::Wait { millis: 100 });
        let loads: BTreeMap<_, _> = simulation
            .running
            .iter()
            .map(Vec::len)
            .enumerate()
            .collect();
        peak = loads.values().copied().max().unwrap_or(0);
        assert!(round < 15 || peak > 2, "loads {loads:?}");
    }
    assert_eq!(peak, PARAMS.slots as usize);
}

#[test]
fn margin_lowers_cap() {
    // Without a margin a target at its cap exceeds the bound as soon as the
    // others finish a few requests.
    let params = Params {
        floor: 4,
        slots: 32,
        margin: 2.0,
        ..Params::default()
    };
    assert_eq!(cap(&params, 143, 12), 13);
    assert_eq!(
        cap(
            &Params {
                margin: 0.0,
                ..params
            },
            143,
            12
        ),
        15
    );
    assert_eq!(cap(&params, 0, 12), 4);
}
