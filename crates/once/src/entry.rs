//! The entry of one request id in a ledger.

use std::collections::BTreeSet;

use base::{id, time::Mono};

use crate::{
    action::Cause,
    claim,
    event::{Class, Link},
    refusal::Refusal,
};

/// State of a request id, as shown in logs and queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Waits at the gate.
    Queued,
    /// Admitted; waits for the claim.
    Claiming,
    /// Sent to the target.
    Dispatched,
    /// The target has begun to respond.
    Answering,
    /// Receives the response of another request with the same key.
    Following(id::RequestId),
    /// The response is complete.
    Done,
    /// Dispatched, and its outcome is unknown.
    Broken(Cause),
    /// Not run, and never will be.
    Tombstone,
}

impl State {
    /// Tells whether nothing more happens to the request.
    pub fn finished(self) -> bool {
        matches!(self, Self::Done | Self::Broken(_) | Self::Tombstone)
    }

    /// Tells whether the target has the request.
    pub fn runs(self) -> bool {
        matches!(self, Self::Dispatched | Self::Answering)
    }

    /// Tells whether the outcome is unknown.
    pub fn failed(self) -> bool {
        matches!(self, Self::Broken(_))
    }
}

/// One request id in a ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Entry {
    pub(crate) state: State,
    /// Why it was not run, for a tombstone.
    pub(crate) why: Option<Refusal>,
    pub(crate) link: Option<Link>,
    pub(crate) deadline: Mono,
    pub(crate) class: Class,
    pub(crate) followers: BTreeSet<id::RequestId>,
    /// Request whose response this one receives.
    pub(crate) of: id::RequestId,
    pub(crate) resumable: bool,
    /// Bytes `kept..produced` of the body are at hand.
    pub(crate) kept: u64,
    pub(crate) produced: u64,
    /// Whether the bytes of a finished response are counted as retained.
    pub(crate) retained: bool,
}

impl Entry {
    pub(crate) fn new(id: id::RequestId, link: Option<Link>, class: Class, deadline: Mono) -> Self {
        Self {
            state: State::Queued,
            why: None,
            link,
            deadline,
            class,
            followers: BTreeSet::new(),
            of: id,
            resumable: false,
            kept: 0,
            produced: 0,
            retained: false,
        }
    }

    pub(crate) fn key(&self) -> Option<&claim::Key> {
        match &self.class {
            Class::Keyed { key, .. } => Some(key),
            _ => None,
        }
    }

    /// Whether the request runs on without a link. Only a repeatable request
    /// is worth less than the rest of its run; the others may be settled later,
    /// and a key's outcome is recorded. Another caller may wait for it too.
    pub(crate) fn detached(&self) -> bool {
        let single = self.class != Class::Repeatable && self.state.runs();
        single || !self.followers.is_empty()
    }

    /// Returns why the request of a tombstone was not run.
    pub(crate) fn refusal(&self) -> Refusal {
        self.why.clone().unwrap_or(Refusal::Tombstone)
    }
}
