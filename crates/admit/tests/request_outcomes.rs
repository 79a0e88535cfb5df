//! Tests that no request is lost or run twice: every offered request has exactly
//! one outcome of finished, refused and cancelled, in any order of events.

mod common;

use std::collections::BTreeMap;

use admit::{
    bound::Params,
    controller::{AdmissionController, QueueLimits, Settings},
    group::Standing,
    request::{Cancelled, Event, Request, Verdict},
};
use base::{id, span::Span, time::Mono};
use common::{controller, member, process, report, request};
use proptest::prelude::*;

/// One step of a simulation. Indices select one of the requests offered so far.
#[derive(Clone, Debug)]
enum Step {
    Offer {
        team: u8,
        priority: u32,
        lifetime: u64,
    },
    OfferAgain {
        index: usize,
    },
    Finish {
        index: usize,
    },
    Cancel {
        index: usize,
    },
    Wait {
        millis: u64,
    },
    Expire,
    Members {
        loads: Vec<Option<u32>>,
    },
    Report {
        peer: u32,
        sequence: u64,
        load: u32,
    },
    SetStanding {
        standing: Standing,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let standing = prop_oneof![
        6 => Just(Standing::Up),
        2 => Just(Standing::Warming),
        1 => Just(Standing::Leaving),
        1 => Just(Standing::Down),
    ];
    let offer = (0u8..4, 0u32..3, 0u64..2_000).prop_map(|(team, priority, lifetime)| Step::Offer {
        team,
        priority,
        lifetime,
    });
    let loads = prop::collection::vec(prop::option::of(0u32..40), 0..6);
    let index = any::<usize>();
    prop_oneof![
        12 => offer,
        1 => index.prop_map(|index| Step::OfferAgain { index }),
        8 => index.prop_map(|index| Step::Finish { index }),
        3 => index.prop_map(|index| Step::Cancel { index }),
        6 => (0u64..700).prop_map(|millis| Step::Wait { millis }),
        4 => Just(Step::Expire),
        2 => loads.prop_map(|loads| Step::Members { loads }),
        4 => (1u32..8, 0u64..9, 0u32..100).prop_map(|(peer, sequence, load)| Step::Report {
            peer,
            sequence,
            load,
        }),
        1 => standing.prop_map(|standing| Step::SetStanding { standing }),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Queued,
    Running,
    Finished,
    Refused,
    Cancelled,
}

/// An admission controller, and the state of each request as its caller sees it.
struct Simulation {
    controller: AdmissionController,
    now: Mono,
    states: BTreeMap<id::RequestId, State>,
    requests: Vec<Request>,
}

impl Simulation {
    fn request_at(&self, index: usize) -> Option<Request> {
        let len = self.requests.len();
        (len > 0).then(|| self.requests[index % len].clone())
    }

    fn set_state(&mut self, id: id::RequestId, expected: Option<State>, state: State) {
        let before = self.states.insert(id, state);
        assert_eq!(before, expected, "request {id} becomes {state:?}");
        if state == State::Running {
            let cap = self.controller.cap(self.now);
            assert!(self.controller.load() <= cap, "load above cap {cap}");
        }
    }

    fn apply(&mut self, events: Vec<Event>) {
        for event in events {
            let state = match event {
                Event::Run(_) => State::Running,
                Event::Refused { .. } => State::Refused,
            };
            self.set_state(event.id(), Some(State::Queued), state);
        }
    }

    fn offer(&mut self, request: Request) {
        let id = request.id;
        let offered = self.controller.offer(self.now, request);
        let state = match offered.verdict {
            Verdict::Run => State::Running,
            Verdict::Queued => State::Queued,
            Verdict::Refused { .. } => State::Refused,
        };
        self.set_state(id, None, state);
        self.apply(offered.events);
    }

    /// Offers a request again while it is queued or running.
    fn offer_again(&mut self, request: Request) {
        let state = self.states[&request.id];
        if matches!(state, State::Queued | State::Running) {
            let offered = self.controller.offer(self.now, request);
            assert!(matches!(offered.verdict, Verdict::Refused { .. }));
            assert!(offered.events.is_empty());
        }
    }

    fn finish(&mut self, id: id::RequestId) {
        let events = self.controller.finish(self.now, id);
        if self.states[&id] == State::Running {
            self.states.insert(id, State::Finished);
        } else {
            assert!(events.is_empty(), "finishing {id} had an effect");
        }
        self.apply(events);
    }

    fn cancel(&mut self, id: id::RequestId) {
        let expected = match self.states[&id] {
            State::Queued => Cancelled::Queued,
            State::Running => Cancelled::Running,
            State::Finished | State::Refused | State::Cancelled => Cancelled::Unknown,
        };
        assert_eq!(self.controller.cancel(id), expected);
        if expected == Cancelled::Queued {
            self.states.insert(id, State::Cancelled);
        }
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Offer {
                team,
                priority,
                lifetime,
            } => {
                let request = Request {
                    priority,
                    deadline: self.now + Span::from_millis(lifetime),
                    ..request(self.requests.len() as u128, &format!("team-{team}"))
                };
                self.requests.push(request.clone());
                self.offer(request);
            }
            Step::OfferAgain { index } => {
                if let Some(request) = self.request_at(index) {
                    self.offer_again(request);
                }
            }
            Step::Finish { index } => {
                if let Some(request) = self.request_at(index) {
                    self.finish(request.id);
                }
            }
            Step::Cancel { index } => {
                if let Some(request) = self.request_at(index) {
                    self.cancel(request.id);
                }
            }
            Step::Wait { millis } => self.now = self.now + Span::from_millis(millis),
            Step::Expire => {
                let events = self.controller.expire(self.now);
                self.apply(events);
                let now = self.now;
                assert!(self.controller.next_expiry().is_none_or(|next| next > now));
            }
            Step::Members { loads } => {
                let members = (1..)
                    .zip(loads)
                    .map(|(index, load)| member(index, Standing::Up, load))
                    .collect();
                let events = self.controller.set_members(self.now, members);
                self.apply(events);
            }
            Step::Report {
                peer,
                sequence,
                load,
            } => {
                let events = self
                    .controller
                    .apply_report(self.now, &report(peer, sequence, load));
                self.apply(events);
            }
            Step::SetStanding { standing } => {
                let events = self.controller.set_standing(self.now, standing);
                self.apply(events);
                if !standing.accepts_work() {
                    assert_eq!(self.controller.queued(), 0);
                }
            }
        }
        let count = |wanted| {
            self.states
                .values()
                .filter(|state| **state == wanted)
                .count()
        };
        assert_eq!(self.controller.load() as usize, count(State::Running));
        assert_eq!(self.controller.queued() as usize, count(State::Queued));
    }

    /// Advances the time past every wait; no request may remain queued.
    fn finish_all_waits(mut self) {
        self.now = self.now + Span::from_secs(10);
        let events = self.controller.expire(self.now);
        self.apply(events);
        assert!(self.states.values().all(|state| *state != State::Queued));
        assert_eq!(self.controller.next_expiry(), None);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn single_outcome(steps in prop::collection::vec(step(), 1..120)) {
        let settings = Settings {
            bound: Params { floor: 2, slots: 6, ..Params::default() },
            queue: QueueLimits { total: 6, per_team: 3, ..QueueLimits::default() },
        };
        let mut simulation = Simulation {
            controller: controller(settings),
            now: Mono(0),
            states: BTreeMap::new(),
            requests: Vec::new(),
        };
        for step in steps {
            simulation.apply_step(step);
        }
        simulation.finish_all_waits();
    }
}

#[test]
fn refusal_retry_after() {
    let mut controller = AdmissionController::new(process(0), common::fixed(1), 7);
    let mut spans = Vec::new();
    for id in 0..40 {
        let offered = controller.offer(common::at(0), request(id, "a"));
        if let Verdict::Refused { retry_after, .. } = offered.verdict {
            spans.push(retry_after);
        }
    }
    assert_eq!(spans.len(), 35);
    assert!(
        spans
            .iter()
            .all(|retry_after| *retry_after >= Span::from_millis(50))
    );
    assert!(
        spans
            .iter()
            .all(|retry_after| *retry_after <= Span::from_secs(45))
    );
    // Callers that are refused at the same time must not retry at the same time.
    spans.sort_unstable();
    spans.dedup();
    assert!(spans.len() > 30, "only {} different spans", spans.len());
}
