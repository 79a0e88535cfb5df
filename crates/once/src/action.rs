//! What the ledger asks of the daemon.

use std::fmt;

use base::{id, span::Span};

use crate::{claim, event::Link, refusal::Refusal};

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The target broke off and cannot resume.
    Target,
    /// The request was sent to another incarnation of the agent.
    Incarnation,
    /// The settlement came more than an epoch after the end of the request.
    Forgotten,
    /// The key was dispatched by a run that no longer exists, or its outcome
    /// was lost.
    Claim,
    /// The response, or the part before the offset, is no longer kept.
    Gone,
    /// The id arrived a second time; the first arrival has the reply.
    Duplicate,
    /// The request was cancelled after dispatch.
    Cancelled,
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Offer the request to the gate; answer with [`crate::ledger::Ledger::admitted`] or
    /// [`crate::ledger::Ledger::refused`].
    Admit(id::RequestId),
    /// Remove the request from the gate's queue.
    Withdraw(id::RequestId),
    /// Tell the gate that the admitted request has finished.
    Release(id::RequestId),
    /// Send this to the table; answer once with [`crate::ledger::Ledger::answered`].
    Ask(claim::Ask),
    /// Send the request to the target.
    Dispatch(id::RequestId),
    /// Fetch the target's stream again from the offset.
    Resume {
        /// Request id.
        id: id::RequestId,
        /// First byte of the body that is needed.
        offset: u64,
    },
    /// Cancel the request at the target and drop its stream.
    Stop(id::RequestId),
    /// Reply `Refused`: the request was not run and will not be.
    Refuse {
        /// Request id.
        id: id::RequestId,
        /// Stream for the reply.
        link: Link,
        /// Why.
        why: Refusal,
        /// Time after which the caller may come back, when known.
        after: Option<Span>,
    },
    /// Send the response of request `of` from the offset, as far as it has
    /// come and as it continues.
    Attach {
        /// Request id.
        id: id::RequestId,
        /// Stream for the reply.
        link: Link,
        /// Request whose response it is; another than `id` for a follower.
        of: id::RequestId,
        /// First byte of the body to send.
        offset: u64,
    },
    /// Load the stored response as the kept response of `id`, and send it.
    Replay {
        /// Request id.
        id: id::RequestId,
        /// Stream for the reply, if there still is one.
        link: Option<Link>,
        /// The stored response.
        response: claim::Response,
    },
    /// Reply `Broken`: the outcome is unknown.
    Break {
        /// Request id.
        id: id::RequestId,
        /// Stream for the reply.
        link: Link,
        /// Why.
        cause: Cause,
    },
    /// Drop the kept response bytes.
    Forget(id::RequestId),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Target => "target",
            Self::Incarnation => "incarnation",
            Self::Forgotten => "forgotten",
            Self::Claim => "claim",
            Self::Gone => "gone",
            Self::Duplicate => "duplicate",
            Self::Cancelled => "cancelled",
        })
    }
}

impl fmt::Display for Action {
    /// Writes the action as the key=value pairs of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admit(id) => write!(f, "action=admit request={id}"),
            Self::Withdraw(id) => write!(f, "action=withdraw request={id}"),
            Self::Release(id) => write!(f, "action=release request={id}"),
            Self::Ask(ask) => write!(f, "action=ask {ask}"),
            Self::Dispatch(id) => write!(f, "action=dispatch request={id}"),
            Self::Resume { id, offset } => {
                write!(f, "action=resume request={id} offset={offset}")
            }
            Self::Stop(id) => write!(f, "action=stop request={id}"),
            Self::Refuse { id, link, why, .. } => {
                write!(
                    f,
                    "action=refuse request={id} link={} reason=\"{why}\"",
                    link.0
                )
            }
            Self::Attach {
                id,
                link,
                of,
                offset,
            } => write!(
                f,
                "action=attach request={id} link={} of={of} offset={offset}",
                link.0
            ),
            Self::Replay { id, link, .. } => {
                write!(f, "action=replay request={id}")?;
                match link {
                    Some(link) => write!(f, " link={}", link.0),
                    None => Ok(()),
                }
            }
            Self::Break { id, link, cause } => {
                write!(f, "action=break request={id} link={} cause={cause}", link.0)
            }
            Self::Forget(id) => write!(f, "action=forget request={id}"),
        }
    }
}
