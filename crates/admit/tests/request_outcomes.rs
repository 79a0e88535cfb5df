//! Guards against lost and doubled requests: every offered request ends in
//! exactly one of run, refused and cancelled, whatever the order of events.

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

/// One step of a history. Indices choose among the requests offered so far.
#[derive(Clone, Debug)]
enum Step {
    Offer { team: u8, priority: u32, life: u64 },
    Again { index: usize },
    Finish { index: usize },
    Cancel { index: usize },
    Wait { millis: u64 },
    Expire,
    Members { loads: Vec<Option<u32>> },
    Report { peer: u32, sequence: u64, load: u32 },
    Stand { standing: Standing },
}

fn step() -> impl Strategy<Value = Step> {
    let standing = prop_oneof![
        6 => Just(Standing::Up),
        2 => Just(Standing::Warming),
        1 => Just(Standing::Leaving),
        1 => Just(Standing::Down),
    ];
    let offer = (0u8..4, 0u32..3, 0u64..2_000).prop_map(|(team, priority, life)| Step::Offer {
        team,
        priority,
        life,
    });
    let loads = prop::collection::vec(prop::option::of(0u32..40), 0..6);
    let index = any::<usize>();
    prop_oneof![
        12 => offer,
        1 => index.prop_map(|index| Step::Again { index }),
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
        1 => standing.prop_map(|standing| Step::Stand { standing }),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Queued,
    Running,
    Finished,
    Refused,
    Cancelled,
}

/// What the caller of the gate knows about each request.
struct World {
    controller: AdmissionController,
    now: Mono,
    fates: BTreeMap<id::RequestId, Fate>,
    requests: Vec<Request>,
}

impl World {
    fn pick(&self, index: usize) -> Option<Request> {
        let len = self.requests.len();
        (len > 0).then(|| self.requests[index % len].clone())
    }

    fn set(&mut self, id: id::RequestId, expected: Option<Fate>, fate: Fate) {
        let before = self.fates.insert(id, fate);
        assert_eq!(before, expected, "request {id} becomes {fate:?}");
        if fate == Fate::Running {
            let cap = self.controller.cap(self.now);
            assert!(self.controller.load() <= cap, "load above cap {cap}");
        }
    }

    fn apply(&mut self, events: Vec<Event>) {
        for event in events {
            let fate = match event {
                Event::Run(_) => Fate::Running,
                Event::Refused { .. } => Fate::Refused,
            };
            self.set(event.id(), Some(Fate::Queued), fate);
        }
    }

    fn offer(&mut self, request: Request) {
        let id = request.id;
        let offered = self.controller.offer(self.now, request);
        let fate = match offered.verdict {
            Verdict::Run => Fate::Running,
            Verdict::Queued => Fate::Queued,
            Verdict::Refused { .. } => Fate::Refused,
        };
        self.set(id, None, fate);
        self.apply(offered.events);
    }

    /// Offers a request once more while it is queued or running.
    fn again(&mut self, request: Request) {
        let known = self.fates[&request.id];
        if matches!(known, Fate::Queued | Fate::Running) {
            let offered = self.controller.offer(self.now, request);
            assert!(matches!(offered.verdict, Verdict::Refused { .. }));
            assert!(offered.events.is_empty());
        }
    }

    fn finish(&mut self, id: id::RequestId) {
        let events = self.controller.finish(self.now, id);
        if self.fates[&id] == Fate::Running {
            self.fates.insert(id, Fate::Finished);
        } else {
            assert!(events.is_empty(), "finishing {id} had an effect");
        }
        self.apply(events);
    }

    fn cancel(&mut self, id: id::RequestId) {
        let expected = match self.fates[&id] {
            Fate::Queued => Cancelled::Queued,
            Fate::Running => Cancelled::Running,
            Fate::Finished | Fate::Refused | Fate::Cancelled => Cancelled::Unknown,
        };
        assert_eq!(self.controller.cancel(id), expected);
        if expected == Cancelled::Queued {
            self.fates.insert(id, Fate::Cancelled);
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Offer {
                team,
                priority,
                life,
            } => {
                let request = Request {
                    priority,
                    deadline: self.now + Span::from_millis(life),
                    ..request(self.requests.len() as u128, &format!("team-{team}"))
                };
                self.requests.push(request.clone());
                self.offer(request);
            }
            Step::Again { index } => {
                if let Some(request) = self.pick(index) {
                    self.again(request);
                }
            }
            Step::Finish { index } => {
                if let Some(request) = self.pick(index) {
                    self.finish(request.id);
                }
            }
            Step::Cancel { index } => {
                if let Some(request) = self.pick(index) {
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
            Step::Stand { standing } => {
                let events = self.controller.set_standing(self.now, standing);
                self.apply(events);
                if !standing.accepts_work() {
                    assert_eq!(self.controller.queued(), 0);
                }
            }
        }
        let count = |wanted| self.fates.values().filter(|fate| **fate == wanted).count();
        assert_eq!(self.controller.load() as usize, count(Fate::Running));
        assert_eq!(self.controller.queued() as usize, count(Fate::Queued));
    }

    /// Lets all time pass: nothing may remain queued.
    fn end(mut self) {
        self.now = self.now + Span::from_secs(10);
        let events = self.controller.expire(self.now);
        self.apply(events);
        assert!(self.fates.values().all(|fate| *fate != Fate::Queued));
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
    fn one_fate(steps in prop::collection::vec(step(), 1..120)) {
        let settings = Settings {
            bound: Params { floor: 2, slots: 6, ..Params::default() },
            queue: QueueLimits { total: 6, per_team: 3, ..QueueLimits::default() },
        };
        let mut world = World {
            controller: controller(settings),
            now: Mono(0),
            fates: BTreeMap::new(),
            requests: Vec::new(),
        };
        for step in steps {
            world.take(step);
        }
        world.end();
    }
}

#[test]
fn refusal_has_time() {
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
    // Callers that were refused together must not come back together.
    spans.sort_unstable();
    spans.dedup();
    assert!(spans.len() > 30, "only {} different spans", spans.len());
}
