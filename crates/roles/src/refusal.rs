//! Refusals between the messages and the decision crates.

use base::span;
use once::refusal::Refusal;
use wire::msg;

/// Writes a refusal as a message.
pub fn to_message(why: &Refusal, after: Option<span::Span>) -> msg::Refused {
    let (reason, owner) = match why {
        Refusal::Bound => (msg::Reason::Bound, String::new()),
        Refusal::Share => (msg::Reason::Share, String::new()),
        Refusal::Deadline => (msg::Reason::Deadline, String::new()),
        Refusal::Leaving => (msg::Reason::Leaving, String::new()),
        Refusal::Down => (msg::Reason::Down, String::new()),
        Refusal::Quarantine => (msg::Reason::Quarantine, String::new()),
        Refusal::Table => (msg::Reason::Table, String::new()),
        Refusal::Claimed(owner) => (msg::Reason::Claimed, owner.to_string()),
        Refusal::Mismatch => (msg::Reason::Mismatch, String::new()),
        Refusal::Stale => (msg::Reason::Incarnation, String::new()),
        Refusal::Tombstone => (msg::Reason::Tombstone, String::new()),
        Refusal::Cancelled => (msg::Reason::Cancelled, String::new()),
        Refusal::Invalid => (msg::Reason::Invalid, String::new()),
    };
    let after = after.map_or(0, span::Span::as_millis);
    msg::Refused {
        reason: reason.into(),
        after: u32::try_from(after).unwrap_or(u32::MAX),
        peers: Vec::new(),
        owner,
    }
}

/// Reads a refusal from a message. A reason of a later version counts as a
/// target that is down: the request was not run, and another may be tried.
pub fn from_message(refused: &msg::Refused) -> Refusal {
    match refused.reason() {
        msg::Reason::Bound => Refusal::Bound,
        msg::Reason::Share => Refusal::Share,
        msg::Reason::Deadline => Refusal::Deadline,
        msg::Reason::Leaving => Refusal::Leaving,
        msg::Reason::Quarantine => Refusal::Quarantine,
        msg::Reason::Table => Refusal::Table,
        msg::Reason::Claimed => match refused.owner.parse() {
            Ok(owner) => Refusal::Claimed(owner),
            Err(_) => Refusal::Table,
        },
        msg::Reason::Mismatch => Refusal::Mismatch,
        msg::Reason::Incarnation => Refusal::Stale,
        msg::Reason::Tombstone => Refusal::Tombstone,
        msg::Reason::Cancelled => Refusal::Cancelled,
        msg::Reason::Invalid => Refusal::Invalid,
        msg::Reason::None | msg::Reason::Down | msg::Reason::Service => Refusal::Down,
    }
}
