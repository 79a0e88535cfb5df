//! Random sequences of events on one ledger. They guard against what single
//! sessions do not reach: a second dispatch, a dispatch after a refusal, and a
//! gate slot that is never released.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use base::{id, span::Span, time::Mono};
use common::{digest, key, owner, response};
use once::{
    action::Action,
    claim::{Answer, Ask, Condition, Op, Row},
    epoch::Epoch,
    event::{Class, Link, Offer, Settle},
    ledger::{Ledger, Limits, State},
    refusal::Refusal,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const REQUESTS: u128 = 6;

/// An event by number and the request it concerns.
type Step = (u8, u128);

#[derive(Default)]
struct World {
    now: Mono,
    link: u64,
    row: Option<Row>,
    asks: Vec<Ask>,
    gate: BTreeSet<id::RequestId>,
    slots: BTreeMap<id::RequestId, i32>,
    dispatched: BTreeSet<id::RequestId>,
    refused: BTreeSet<id::RequestId>,
    running: BTreeSet<id::RequestId>,
}

impl World {
    fn act(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Admit(id) => {
                    self.gate.insert(id);
                }
                Action::Withdraw(id) => {
                    self.gate.remove(&id);
                }
                Action::Release(id) => *self.slots.entry(id).or_insert(0) -= 1,
                Action::Ask(ask) => self.asks.push(ask),
                Action::Dispatch(id) => {
                    prop_assert!(self.dispatched.insert(id), "second dispatch");
                    prop_assert!(!self.refused.contains(&id), "dispatch after refusal");
                    self.running.insert(id);
                }
                Action::Refuse { id, why, .. } if why != Refusal::Stale => {
                    self.refused.insert(id);
                    prop_assert!(!self.running.contains(&id), "refused while running");
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn step(&mut self, ledger: &mut Ledger, (event, request): Step) -> Result<(), TestCaseError> {
        let id = id::RequestId(request);
        let now = self.now;
        self.link += 1;
        let link = Link(self.link);
        let actions = match event {
            0..=2 => ledger.offer(now, self.offer(request, link)),
            3..=6 if self.gate.remove(&id) => {
                *self.slots.entry(id).or_insert(0) += 1;
                ledger.admitted(now, id)
            }
            7 if self.gate.remove(&id) => ledger.refused(now, id, Refusal::Bound, None),
            8..=11 => self.serve(ledger, event),
            12 | 13 if self.running.remove(&id) => {
                let body = (request > 2).then(|| response("x"));
                ledger.complete(now, id, 1, body)
            }
            14 if self.running.remove(&id) => {
                // Proven unsent: the ledger may refuse it.
                self.dispatched.remove(&id);
                ledger.unsent(now, id)
            }
            15 if self.running.remove(&id) => ledger.broken(now, id),
            16 => ledger.settle(now, self.settle(id, link)),
            17 => ledger.cancel(now, id),
            18 => {
                self.now = now + Span::from_secs(if request == 6 { 70 } else { 7 });
                ledger.expire(self.now)
            }
            19 => ledger.link_lost(now, id, Link(self.link - 1)),
            20 => ledger.delivered(id),
            _ => Vec::new(),
        };
        for action in &actions {
            if let Action::Stop(id) = action {
                self.running.remove(id);
            }
        }
        self.act(actions)
    }

    fn offer(&self, request: u128, link: Link) -> Offer {
        let class = match request {
            1 => Class::Repeatable,
            2 => Class::Once,
            _ => Class::Keyed {
                key: key("die-7"),
                digest: digest(if request == 6 { 2 } else { 1 }),
                nonce: id::Nonce(link.0.into()),
            },
        };
        Offer {
            id: id::RequestId(request),
            link,
            incarnation: id::Incarnation(1),
            // A copy that is sent again has the epoch of its original.
            epoch: Epoch::FIRST,
            class,
            remaining: Span::from_secs(20),
        }
    }

    fn settle(&self, id: id::RequestId, link: Link) -> Settle {
        Settle {
            id,
            link,
            incarnation: id::Incarnation(1),
            epoch: Epoch::FIRST,
            offset: 0,
        }
    }

    fn serve(&mut self, ledger: &mut Ledger, event: u8) -> Vec<Action> {
        let Some(ask) = self.asks.pop() else {
            return Vec::new();
        };
        let answer = match (event, &ask.op) {
            (9, _) => Answer::Unavailable,
            (_, Op::Read) => Answer::Read(self.row.clone()),
            (10, Op::Write { .. }) => {
                self.write(&ask);
                Answer::Unanswered
            }
            _ => self.write(&ask),
        };
        ledger.answered(self.now, &ask.key, ask.nonce, answer)
    }

    fn write(&mut self, ask: &Ask) -> Answer {
        let Op::Write { claim, condition } = &ask.op else {
            return Answer::Unavailable;
        };
        let present = self.row.as_ref().map(|row| row.version);
        let wanted = match condition {
            Condition::Absent => None,
            Condition::Version(version) => Some(*version),
        };
        if present != wanted {
            return Answer::Conflict(self.row.clone());
        }
        let version = present.unwrap_or(0) + 1;
        let claim = claim.clone();
        self.row = Some(Row { version, claim });
        Answer::Written(version)
    }
}

#[test]
fn random_events() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(3_000), rng);
    let steps = prop::collection::vec((0..21_u8, 1..=REQUESTS), 1..120);
    runner
        .run(&steps, |steps| {
            let mut world = World::default();
            let me = owner(common::AGENT, 1);
            let mut ledger = Ledger::new(me, Limits::default(), Mono(0));
            for step in steps {
                world.step(&mut ledger, step)?;
                for (id, slots) in &world.slots {
                    let held = matches!(
                        ledger.state(*id),
                        Some(State::Claiming | State::Dispatched | State::Answering)
                    );
                    prop_assert_eq!(*slots, i32::from(held), "slots of {}", id);
                }
            }
            Ok(())
        })
        .unwrap();
}
