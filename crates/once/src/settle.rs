//! The router's side of one request: which agent to ask next, when to settle,
//! and what to tell the caller.
//!
//! The caller is told *not-run* only when each agent that was sent the request
//! has proven that it did not run it and never will; *done* only when the
//! response is complete; *unknown* in every other case. A request that must not
//! be repeated goes to a second agent only after such a proof from the first.

use std::{collections::BTreeSet, fmt};

use base::{id, span::Span};

use crate::{epoch::Epoch, refusal::Refusal};

/// Pause before the second settlement in a row; doubled for each further one.
const FIRST_PAUSE: Span = Span::from_millis(100);

/// Bounds of one request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limits {
    /// Agents that are sent the request, resends after a stale epoch excluded.
    pub attempts: u32,
    /// Further agents that are asked to continue a response whose head the
    /// caller has. The caller would lose what it received, so that a refusal
    /// by one busy agent must not end the response.
    pub continuations: u32,
    /// Settlements in a row that bring no byte and no answer before the agent
    /// counts as unreachable, at most 16.
    pub settles: u32,
}

impl Default for Limits {
    /// Eight settlements take 12.7 s with their pauses, which is longer than
    /// an agent keeps an orphaned stream.
    fn default() -> Self {
        Self {
            attempts: 3,
            continuations: 8,
            settles: 8,
        }
    }
}

/// How often a request may run, as far as the router is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// May run again after a broken link.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Runs at most once for its key; an agent may name the owner of a claim.
    Keyed,
}

/// An agent as the router knew it when it sent the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sent {
    /// Process id of the agent.
    pub agent: id::ProcessId,
    /// Its incarnation, which the `Run` message carries.
    pub incarnation: id::Incarnation,
    /// Its epoch, which the `Run` message carries.
    pub epoch: Epoch,
}

/// Why the caller is told that the outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Doubt {
    /// The agent could not be reached to settle the request.
    Unreachable,
    /// The agent reported that the outcome is unknown.
    Broken,
    /// The response broke a rule of the protocol, such as another request's id.
    Crossed,
    /// The deadline passed while the request was at an agent.
    Deadline,
    /// Another agent holds the claim of the key and did not answer.
    Claimed(id::ProcessId),
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => f.pad("unreachable"),
            Self::Broken => f.pad("broken"),
            Self::Crossed => f.pad("crossed"),
            Self::Deadline => f.pad("deadline"),
            Self::Claimed(owner) => write!(f, "claimed by {owner}"),
        }
    }
}

/// What the daemon does next for the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// Choose an agent that is not in [`Request::tried`], call
    /// [`Request::sent`] and send `Run`; or call [`Request::none`]. All but the
    /// first take a token of the retry budget.
    Choose {
        /// Bytes of the response that the caller already has.
        skip: u64,
    },
    /// Send `Run` to this agent, which holds the claim of the key. Takes no
    /// token of the retry budget: it is not a second try.
    Redirect(id::ProcessId),
    /// Send `Run` again to the agent that refused it, with its present
    /// incarnation and epoch.
    Resend(Sent),
    /// Send `Settle` after the pause.
    Settle {
        /// The agent, and the incarnation and epoch of the original `Run`.
        to: Sent,
        /// Bytes of the response that the router has.
        offset: u64,
        /// Time to wait first, so that a cut link is not tried in a loop.
        pause: Span,
    },
    /// Read on.
    Read,
    /// Pass the head to the caller.
    Head,
    /// Pass the bytes of the frame from this index to the caller.
    Pass(usize),
    /// The response is complete: end it.
    Finish,
    /// Tell the caller that the request was not run.
    NotRun {
        /// Why.
        why: Refusal,
        /// Time after which the caller may come back.
        after: Option<Span>,
    },
    /// Tell the caller that the outcome is unknown.
    Unknown(Doubt),
    /// Break off the response, whose head the caller already has.
    Abort(Doubt),
}

/// The head of a response, as far as the decision needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Head {
    /// Request id that the target echoed.
    pub id: id::RequestId,
    /// HTTP status.
    pub status: u16,
    /// Whether it is the response of another request with the same key.
    pub replayed: bool,
    /// Whether another target can continue the body from an offset.
    pub resumable: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    Choosing,
    Open(Sent),
    Settling(Sent),
    /// The caller has its answer; the request may still be live at the agent.
    Ended(Option<Sent>),
}

/// One request at the router that accepted it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request {
    id: id::RequestId,
    class: Class,
    limits: Limits,
    phase: Phase,
    tried: BTreeSet<id::ProcessId>,
    attempts: u32,
    settles: u32,
    resent: bool,
    /// Set once an agent may have run the request without a response.
    doubt: Option<Doubt>,
    claimed: Option<id::ProcessId>,
    head: Option<Head>,
    /// Attempts when the head was passed to the caller.
    begun: u32,
    offset: u64,
}

impl Request {
    /// Makes a request that no agent has been sent; its first step is
    /// [`Step::Choose`] without skip.
    pub fn new(id: id::RequestId, class: Class, limits: Limits) -> Self {
        Self {
            id,
            class,
            limits,
            phase: Phase::Choosing,
            tried: BTreeSet::new(),
            attempts: 0,
            settles: 0,
            resent: false,
            doubt: None,
            claimed: None,
            head: None,
            begun: 0,
            offset: 0,
        }
    }

    /// Returns the request id.
    pub fn id(&self) -> id::RequestId {
        self.id
    }

    /// Returns the agents that have been sent the request.
    pub fn tried(&self) -> &BTreeSet<id::ProcessId> {
        &self.tried
    }

    /// Returns how many agents have been sent the request.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the bytes of the body that the caller has.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Tells whether the caller has the head of the response.
    pub fn begun(&self) -> bool {
        self.head.is_some()
    }

    /// Tells whether the caller has its answer.
    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// Returns the agent that has the request and has not yet ended it.
    pub fn open(&self) -> Option<&Sent> {
        match &self.phase {
            Phase::Open(to) | Phase::Settling(to) => Some(to),
            _ => None,
        }
    }

    /// Returns the agent to send `Cancel` to when the caller has left or the
    /// request was given up.
    pub fn live(&self) -> Option<&Sent> {
        match &self.phase {
            Phase::Ended(to) => to.as_ref(),
            _ => self.open(),
        }
    }

    /// The `Run` message is about to be sent to this agent.
    pub fn sent(&mut self, to: Sent) {
        debug_assert!(self.class == Class::Repeatable || self.doubt.is_none());
        self.tried.insert(to.agent.clone());
        self.attempts += 1;
        self.settles = 0;
        self.phase = Phase::Open(to);
    }

    /// No agent is left to try, or the retry budget is spent.
    pub fn none(&mut self, why: Refusal, after: Option<Span>) -> Step {
        self.give_up(why, after)
    }

    /// The `Run` message was not sent: the connection was refused. This proves
    /// nothing once a settlement was needed, and is then passed over.
    pub fn unsent(&mut self) -> Step {
        let Phase::Open(to) = self.phase.clone() else {
            return Step::Read;
        };
        self.phase = Phase::Choosing;
        if self.claimed.as_ref() == Some(&to.agent) {
            // Every other agent would name the same owner.
            return self.give_up(Refusal::Down, None);
        }
        self.next(Refusal::Down, None)
    }

    /// The agent refused the request. `present` is the incarnation and epoch
    /// of its stamp.
    pub fn refused(
        &mut self,
        why: Refusal,
        after: Option<Span>,
        present: Option<(id::Incarnation, Epoch)>,
    ) -> Step {
        let Some(to) = self.open().cloned() else {
            return Step::Read;
        };
        if self.head.is_some() && self.class != Class::Repeatable {
            // The agent has sent a part of the response, so it did run.
            return self.abort(Doubt::Crossed);
        }
        self.phase = Phase::Choosing;
        match (&why, present) {
            (Refusal::Stale, Some(present)) if !self.resent => self.resend(to, present),
            (Refusal::Claimed(owner), _) => {
                let owner = owner.clone();
                self.redirect(owner)
            }
            (
                Refusal::Bound
                | Refusal::Share
                | Refusal::Leaving
                | Refusal::Down
                | Refusal::Stale
                | Refusal::Tombstone,
                _,
            ) => self.next(why, after),
            _ => self.give_up(why, after),
        }
    }

    /// The head of a response arrived.
    pub fn head(&mut self, head: Head) -> Step {
        if self.open().is_none() {
            return Step::Read;
        }
        if head.id != self.id && !head.replayed {
            return self.failed(Doubt::Crossed);
        }
        match &self.head {
            None => {
                self.head = Some(head);
                self.begun = self.attempts;
                Step::Head
            }
            Some(first) if first.status == head.status => Step::Read,
            Some(_) => self.abort(Doubt::Crossed),
        }
    }

    /// Bytes of the body arrived, the first of which has this offset.
    pub fn data(&mut self, offset: u64, len: usize) -> Step {
        if self.open().is_none() {
            return Step::Read;
        }
        if self.head.is_none() || offset > self.offset {
            return self.link_lost();
        }
        let end = offset.saturating_add(len as u64);
        if end <= self.offset {
            return Step::Read;
        }
        let from = self.offset - offset;
        self.offset = end;
        self.settles = 0;
        Step::Pass(from as usize)
    }

    /// The response ended with a body of this length.
    pub fn end(&mut self, total: u64) -> Step {
        if self.open().is_none() {
            return Step::Read;
        }
        if self.head.is_none() || total > self.offset {
            return self.link_lost();
        }
        if total < self.offset {
            return self.abort(Doubt::Crossed);
        }
        self.phase = Phase::Ended(None);
        Step::Finish
    }

    /// The agent reported that the response broke off; the target may have run
    /// the request if it was dispatched.
    pub fn broken(&mut self, dispatched: bool) -> Step {
        if self.open().is_none() {
            return Step::Read;
        }
        self.phase = Phase::Choosing;
        if dispatched {
            return self.failed(Doubt::Broken);
        }
        self.next(Refusal::Down, None)
    }

    /// The reply stream ended without an answer.
    pub fn link_lost(&mut self) -> Step {
        let Some(to) = self.open().cloned() else {
            return Step::Read;
        };
        if self.settles >= self.limits.settles {
            return self.failed(Doubt::Unreachable);
        }
        let pause = match self.settles {
            0 => Span::ZERO,
            n => Span::from_micros(FIRST_PAUSE.as_micros() << (n - 1).min(16)),
        };
        self.settles += 1;
        self.phase = Phase::Settling(to.clone());
        Step::Settle {
            to,
            offset: self.offset,
            pause,
        }
    }

    /// The agent took the settlement and its reply stream is open, so it is
    /// reachable however long the target needs for its first byte.
    pub fn attached(&mut self) {
        self.settles = 0;
    }

    /// The agent runs in another incarnation, or refuses connections, which
    /// means that the process that had the request is gone.
    pub fn unreachable(&mut self) -> Step {
        match self.open() {
            Some(_) => self.failed(Doubt::Unreachable),
            None => Step::Read,
        }
    }

    /// The deadline passed. The caller is told at once, without settlement.
    pub fn expired(&mut self) -> Step {
        if self.ended() {
            return Step::Read;
        }
        if self.open().is_some() {
            self.doubt.get_or_insert(Doubt::Deadline);
        }
        self.give_up(Refusal::Deadline, None)
    }

    /// The agent may have run the request and cannot deliver its response.
    fn failed(&mut self, doubt: Doubt) -> Step {
        self.doubt = Some(doubt.clone());
        match self.class {
            Class::Repeatable => self.next(Refusal::Down, None),
            _ => self.give_up(Refusal::Down, None),
        }
    }

    /// Goes to another agent, which is safe: the request is repeatable, or
    /// every agent that was sent it has proven that it never runs there.
    fn next(&mut self, why: Refusal, after: Option<Span>) -> Step {
        let spliced = self.head.is_none_or(|head| head.resumable);
        if self.attempts >= self.most_attempts() || !spliced {
            return self.give_up(why, after);
        }
        self.resent = false;
        self.phase = Phase::Choosing;
        Step::Choose { skip: self.offset }
    }

    fn most_attempts(&self) -> u32 {
        match self.head {
            None => self.limits.attempts,
            Some(_) => self.begun + self.limits.continuations,
        }
    }

    fn resend(&mut self, to: Sent, present: (id::Incarnation, Epoch)) -> Step {
        self.resent = true;
        self.attempts -= 1;
        Step::Resend(Sent {
            agent: to.agent,
            incarnation: present.0,
            epoch: present.1,
        })
    }

    fn redirect(&mut self, owner: id::ProcessId) -> Step {
        self.claimed = Some(owner.clone());
        let again = self.tried.contains(&owner);
        if again || self.attempts >= self.limits.attempts {
            let why = Refusal::Claimed(owner);
            return self.give_up(why, None);
        }
        Step::Redirect(owner)
    }

    /// Ends the request without a complete response.
    fn give_up(&mut self, why: Refusal, after: Option<Span>) -> Step {
        if self.ended() {
            return Step::Read;
        }
        let claimed = self.claimed.clone().map(Doubt::Claimed);
        let doubt = self.doubt.clone().or(claimed);
        if self.head.is_some() {
            return self.abort(doubt.unwrap_or(Doubt::Broken));
        }
        self.phase = Phase::Ended(self.open().cloned());
        match doubt {
            // The key was refused for its content; its claim does not matter.
            Some(Doubt::Claimed(_)) if why == Refusal::Mismatch => Step::NotRun { why, after },
            Some(doubt) => Step::Unknown(doubt),
            None => Step::NotRun { why, after },
        }
    }

    fn abort(&mut self, doubt: Doubt) -> Step {
        self.phase = Phase::Ended(self.open().cloned());
        Step::Abort(doubt)
    }
}

impl fmt::Display for Step {
    /// Writes the step as the key=value pairs of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Choose { skip } => write!(f, "step=choose skip={skip}"),
            Self::Redirect(owner) => write!(f, "step=redirect agent={owner}"),
            Self::Resend(to) => write!(f, "step=resend {to}"),
            Self::Settle { to, offset, pause } => {
                write!(f, "step=settle {to} offset={offset} pause={pause}")
            }
            Self::Read => f.write_str("step=read"),
            Self::Head => f.write_str("step=head"),
            Self::Pass(from) => write!(f, "step=pass from={from}"),
            Self::Finish => f.write_str("step=finish outcome=done"),
            Self::NotRun { why, .. } => {
                write!(f, "step=answer outcome=not-run reason=\"{why}\"")
            }
            Self::Unknown(doubt) => {
                write!(f, "step=answer outcome=unknown reason=\"{doubt}\"")
            }
            Self::Abort(doubt) => write!(f, "step=abort outcome=unknown reason=\"{doubt}\""),
        }
    }
}

impl fmt::Display for Sent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            agent,
            incarnation,
            epoch,
        } = self;
        write!(f, "agent={agent} incarnation={incarnation} epoch={epoch}")
    }
}
