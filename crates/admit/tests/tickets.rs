//! Guards against lost and doubled requests: every offered request ends in
//! exactly one of run, refused and cancelled, whatever the order of events.

mod common;

use std::collections::BTreeMap;

use admit::{
    bound::Rule,
    gate::{Gate, Queue, Settings},
    group::Standing,
    ticket::{Cancelled, Event, Ticket, Verdict},
};
use base::{id, span::Span, time::Mono};
use common::{gate, member, process, report, ticket};
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
    gate: Gate,
    now: Mono,
    fates: BTreeMap<id::RequestId, Fate>,
    tickets: Vec<Ticket>,
}

impl World {
    fn pick(&self, index: usize) -> Option<Ticket> {
        let len = self.tickets.len();
        (len > 0).then(|| self.tickets[index % len].clone())
    }

    fn set(&mut self, id: id::RequestId, expected: Option<Fate>, fate: Fate) {
        let before = self.fates.insert(id, fate);
        assert_eq!(before, expected, "request {id} becomes {fate:?}");
        if fate == Fate::Running {
            let cap = self.gate.cap(self.now);
            assert!(self.gate.load() <= cap, "load above cap {cap}");
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

    fn offer(&mut self, ticket: Ticket) {
        let id = ticket.id;
        let offered = self.gate.offer(self.now, ticket);
        let fate = match offered.verdict {
            Verdict::Run => Fate::Running,
            Verdict::Queued => Fate::Queued,
            Verdict::Refused { .. } => Fate::Refused,
        };
        self.set(id, None, fate);
        self.apply(offered.events);
    }

    /// Offers a request once more while it is queued or running.
    fn again(&mut self, ticket: Ticket) {
        let known = self.fates[&ticket.id];
        if matches!(known, Fate::Queued | Fate::Running) {
            let offered = self.gate.offer(self.now, ticket);
            assert!(matches!(offered.verdict, Verdict::Refused { .. }));
            assert!(offered.events.is_empty());
        }
    }

    fn finish(&mut self, id: id::RequestId) {
        let events = self.gate.finish(self.now, id);
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
        assert_eq!(self.gate.cancel(id), expected);
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
                let ticket = Ticket {
                    priority,
                    deadline: self.now + Span::from_millis(life),
                    ..ticket(self.tickets.len() as u128, &format!("team-{team}"))
                };
                self.tickets.push(ticket.clone());
                self.offer(ticket);
            }
            Step::Again { index } => {
                if let Some(ticket) = self.pick(index) {
                    self.again(ticket);
                }
            }
            Step::Finish { index } => {
                if let Some(ticket) = self.pick(index) {
                    self.finish(ticket.id);
                }
            }
            Step::Cancel { index } => {
                if let Some(ticket) = self.pick(index) {
                    self.cancel(ticket.id);
                }
            }
            Step::Wait { millis } => self.now = self.now + Span::from_millis(millis),
            Step::Expire => {
                let events = self.gate.expire(self.now);
                self.apply(events);
                let now = self.now;
                assert!(self.gate.next_expiry().is_none_or(|next| next > now));
            }
            Step::Members { loads } => {
                let members = (1..)
                    .zip(loads)
                    .map(|(index, load)| member(index, Standing::Up, load))
                    .collect();
                let events = self.gate.group(self.now, members);
                self.apply(events);
            }
            Step::Report {
                peer,
                sequence,
                load,
            } => {
                let events = self.gate.report(self.now, &report(peer, sequence, load));
                self.apply(events);
            }
            Step::Stand { standing } => {
                let events = self.gate.standing(self.now, standing);
                self.apply(events);
                if !standing.takes_work() {
                    assert_eq!(self.gate.queued(), 0);
                }
            }
        }
        let count = |wanted| self.fates.values().filter(|fate| **fate == wanted).count();
        assert_eq!(self.gate.load() as usize, count(Fate::Running));
        assert_eq!(self.gate.queued() as usize, count(Fate::Queued));
    }

    /// Lets all time pass: nothing may remain queued.
    fn end(mut self) {
        self.now = self.now + Span::from_secs(10);
        let events = self.gate.expire(self.now);
        self.apply(events);
        assert!(self.fates.values().all(|fate| *fate != Fate::Queued));
        assert_eq!(self.gate.next_expiry(), None);
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
            bound: Rule { floor: 2, slots: 6, ..Rule::default() },
            queue: Queue { length: 6, team: 3, ..Queue::default() },
        };
        let mut world = World {
            gate: gate(settings),
            now: Mono(0),
            fates: BTreeMap::new(),
            tickets: Vec::new(),
        };
        for step in steps {
            world.take(step);
        }
        world.end();
    }
}

#[test]
fn refusal_has_time() {
    let mut gate = Gate::new(process(0), common::fixed(1), 7);
    let mut spans = Vec::new();
    for id in 0..40 {
        let offered = gate.offer(common::at(0), ticket(id, "a"));
        if let Verdict::Refused { after, .. } = offered.verdict {
            spans.push(after);
        }
    }
    assert_eq!(spans.len(), 35);
    assert!(spans.iter().all(|after| *after >= Span::from_millis(50)));
    assert!(spans.iter().all(|after| *after <= Span::from_secs(45)));
    // Callers that were refused together must not come back together.
    spans.sort_unstable();
    spans.dedup();
    assert!(spans.len() > 30, "only {} different spans", spans.len());
}
