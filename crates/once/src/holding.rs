//! One agent's hold on one claim row: the conversation with the table from
//! the first insert to the recorded end.

use base::{id, span::Span, time::Mono};

use crate::{
    claim::{self, Answer, Ask, Claim, Condition, Finding, Key, Op, Row, State},
    refusal::Refusal,
};

/// Operations that may stay unanswered before a claim is given up. The caller
/// waits meanwhile, and each operation has the table client's timeout.
const MAX_UNANSWERED: u8 = 3;

/// First and longest pause before the end of a claim is written again.
const FIRST_PAUSE: Span = Span::from_millis(500);
const LONGEST_PAUSE: Span = Span::from_secs(30);

/// What the ledger has to do after an answer of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send this to the table.
    Ask(Ask),
    /// The claim is held: dispatch, or end it.
    Held,
    /// Not run here.
    Refuse(Refusal),
    /// The outcome of the key is unknown.
    Unknown,
    /// The key ran before; replay this response.
    Replay(claim::Response),
    /// Wait until [`Holding::due`].
    Wait,
    /// The end of the claim is recorded or needs no record.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Asked {
    Nothing,
    Claim,
    Read,
    End,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    Claiming,
    Running { version: u64 },
    Ending { end: State, version: Option<u64> },
}

/// An attempt to claim a key, the claim while the request runs, and the
/// record of its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holding {
    key: Key,
    claim: Claim,
    request: id::RequestId,
    phase: Phase,
    asked: Asked,
    unanswered: u8,
    pause: Span,
    due: Option<Mono>,
}

impl Holding {
    /// Makes the holding of a request that has not yet asked the table.
    pub fn new(key: Key, claim: Claim, request: id::RequestId) -> Self {
        Self {
            key,
            claim,
            request,
            phase: Phase::Claiming,
            asked: Asked::Nothing,
            unanswered: 0,
            pause: FIRST_PAUSE,
            due: None,
        }
    }

    /// Returns the request that claims the key.
    pub fn request(&self) -> id::RequestId {
        self.request
    }

    /// Returns the attempt's nonce.
    pub fn nonce(&self) -> id::Nonce {
        self.claim.nonce
    }

    /// Returns the digest of the request.
    pub fn digest(&self) -> claim::Digest {
        self.claim.digest
    }

    /// Tells whether the request has ended and the row does not show it yet.
    pub fn ending(&self) -> bool {
        matches!(self.phase, Phase::Ending { .. })
    }

    /// Tells whether the claim ends without a dispatch.
    pub fn abandoned(&self) -> bool {
        matches!(
            self.phase,
            Phase::Ending {
                end: State::Abandoned,
                ..
            }
        )
    }

    /// Tells whether the table owes an answer.
    pub fn asking(&self) -> bool {
        self.asked != Asked::Nothing
    }

    /// Tells whether the end of a dispatched request is not recorded yet.
    pub fn unrecorded(&self) -> bool {
        self.ending() && !self.abandoned()
    }

    /// Returns the response of a request that is done and not recorded yet.
    pub fn response(&self) -> Option<&claim::Response> {
        match &self.phase {
            Phase::Ending {
                end: State::Done(response),
                ..
            } => Some(response),
            _ => None,
        }
    }

    /// Returns when [`Holding::retry`] has something to do.
    pub fn due(&self) -> Option<Mono> {
        self.due
    }

    /// Asks the table for the claim.
    pub fn start(&mut self) -> Ask {
        self.write_claim(Condition::Absent)
    }

    /// Declares how the claim ends and returns what to ask the table. `None`
    /// means that an operation is still open, whose answer comes first, or
    /// that the table was never asked.
    ///
    /// After this the request must not be dispatched when `end` is
    /// [`State::Abandoned`].
    pub fn end(&mut self, end: State) -> Option<Ask> {
        let version = match self.phase {
            Phase::Running { version } => Some(version),
            _ => None,
        };
        self.phase = Phase::Ending { end, version };
        match self.asked {
            Asked::Nothing => version.map(|version| self.write_end(version)),
            _ => None,
        }
    }

    /// Takes the answer to the last operation.
    pub fn answer(&mut self, now: Mono, answer: Answer) -> Next {
        let asked = self.asked;
        self.asked = Asked::Nothing;
        match self.phase.clone() {
            Phase::Claiming => self.answer_claiming(now, answer),
            Phase::Running { .. } => Next::Held,
            Phase::Ending { end, .. } => self.answer_ending(now, asked, &end, answer),
        }
    }

    /// Asks again after the pause that followed an unavailable table.
    pub fn retry(&mut self, now: Mono) -> Option<Ask> {
        if self.due.is_none_or(|due| due > now) {
            return None;
        }
        self.due = None;
        Some(self.read())
    }

    fn answer_claiming(&mut self, now: Mono, answer: Answer) -> Next {
        match answer {
            Answer::Written(version) => {
                self.phase = Phase::Running { version };
                Next::Held
            }
            Answer::Conflict(row) | Answer::Read(row) => self.found(row.as_ref()),
            Answer::Unanswered if self.unanswered < MAX_UNANSWERED => {
                self.unanswered += 1;
                Next::Ask(self.read())
            }
            Answer::Unanswered | Answer::Unavailable => {
                if self.unanswered > 0 {
                    self.stray(now);
                }
                Next::Refuse(Refusal::Table)
            }
        }
    }

    /// Keeps the holding as one whose row, if any, is to be abandoned when the
    /// table is back.
    fn stray(&mut self, now: Mono) {
        self.phase = Phase::Ending {
            end: State::Abandoned,
            version: None,
        };
        self.wait(now);
    }

    fn found(&mut self, row: Option<&Row>) -> Next {
        match claim::judge(row, &self.claim) {
            Finding::Free => Next::Ask(self.write_claim(Condition::Absent)),
            Finding::Held { version } => {
                self.phase = Phase::Running { version };
                Next::Held
            }
            Finding::Open { version } => Next::Ask(self.write_claim(Condition::Version(version))),
            Finding::Elsewhere(owner) => Next::Refuse(Refusal::Claimed(owner)),
            Finding::Unknown => Next::Unknown,
            Finding::Done(response) => Next::Replay(response),
            Finding::Mismatch => Next::Refuse(Refusal::Mismatch),
        }
    }

    fn answer_ending(&mut self, now: Mono, asked: Asked, end: &State, answer: Answer) -> Next {
        match answer {
            Answer::Written(_) if asked == Asked::End => Next::Ended,
            Answer::Written(version) => Next::Ask(self.write_end(version)),
            Answer::Conflict(row) | Answer::Read(row) => self.found_ending(row, end),
            Answer::Unanswered => Next::Ask(self.read()),
            Answer::Unavailable => {
                self.wait(now);
                Next::Wait
            }
        }
    }

    fn found_ending(&mut self, row: Option<Row>, end: &State) -> Next {
        let Some(row) = row else {
            // A table restored from a backup may have lost the row. Without a
            // dispatch there is nothing to restore.
            return match end {
                State::Abandoned => Next::Ended,
                _ => Next::Ask(self.write_final(Condition::Absent)),
            };
        };
        if row.claim.state != State::Running {
            return Next::Ended;
        }
        if row.claim.nonce == self.claim.nonce {
            return Next::Ask(self.write_end(row.version));
        }
        if row.claim.owner != self.claim.owner || *end != State::Abandoned {
            return Next::Ended;
        }
        // An earlier attempt of this incarnation, also never dispatched.
        self.claim = row.claim;
        Next::Ask(self.write_end(row.version))
    }

    fn wait(&mut self, now: Mono) {
        self.due = Some(now + self.pause);
        let doubled = Span::from_micros(self.pause.as_micros() * 2);
        self.pause = doubled.min(LONGEST_PAUSE);
    }

    fn read(&mut self) -> Ask {
        self.asked = Asked::Read;
        self.ask(Op::Read)
    }

    fn write_claim(&mut self, condition: Condition) -> Ask {
        self.asked = Asked::Claim;
        let claim = self.claim.clone();
        self.ask(Op::Write { claim, condition })
    }

    fn write_end(&mut self, version: u64) -> Ask {
        self.write_final(Condition::Version(version))
    }

    fn write_final(&mut self, condition: Condition) -> Ask {
        self.asked = Asked::End;
        let mut claim = self.claim.clone();
        if let Phase::Ending { end, .. } = &self.phase {
            claim.state = end.clone();
        }
        self.ask(Op::Write { claim, condition })
    }

    fn ask(&self, op: Op) -> Ask {
        Ask {
            key: self.key.clone(),
            nonce: self.claim.nonce,
            op,
        }
    }
}
