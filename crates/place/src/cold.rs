//! Divides the requests that a cold target bears among the routers.
//!
//! Load pattern: a target that has just started, or has lost its state, crashes if
//! it gets more than a few requests in a second, and a hundred routers choose it at
//! the same moment because it is idle. Routers cannot ask one another for each
//! request, and some of them may be cut off from the others. The limit is therefore
//! divided in advance, by a ranking that each router computes on its own.
//!
//! Only half of the limit is divided. A router that hears from a majority of the
//! known routers ranks those that it hears from; any other ranks all of them. Two
//! groups with different views then send half of the limit each at most. See [the
//! note](../../../docs/design/cold-targets.md).

use std::collections::VecDeque;

use base::{hash, span, time};

/// Time after its start in which a router that does not hear from a majority of the
/// others sends nothing to a cold target: it may not have found them yet.
pub const DISCOVERY_TIME: span::Span = span::Span::from_secs(3);

/// The time over which a share is counted, in microseconds.
const SECOND_MICROS: u64 = 1_000_000;

/// Smallest time between two requests if the target bears less than two a second.
const MIN_SLOW_INTERVAL_MICROS: u64 = 2_000_000;

/// Added to the time over which a share is counted. A request reaches its target
/// some milliseconds after the router has sent it, and not all take equally long.
const DELAY_MARGIN_MICROS: u64 = 50_000;

/// Largest time over which a share is counted, for extremely small limits.
const MAX_WINDOW_MICROS: u64 = 600_000_000;

/// Maximum number of remembered sends to a target. A share is not larger.
const MAX_SENDS: usize = 1_024;

/// Another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Hash of its address.
    pub address: u64,
    /// Whether this router has heard from it recently.
    pub live: bool,
}

/// The routers, as one of them knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Hash of this router's address.
    pub own: u64,
    /// The other routers that are listed or were heard from.
    pub others: Vec<Member>,
    /// Whether the list of the routers has been read since this one started.
    pub listed: bool,
}

/// What one router may send to a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Number of requests in any time of this length.
    pub requests: u32,
    /// The length.
    pub window: span::Span,
}

/// The requests that a router recently sent to one target.
#[derive(Clone, Debug, Default)]
pub struct Sends {
    /// Requests that are about to be sent.
    reserved: u32,
    times: VecDeque<time::Mono>,
}

impl Sends {
    /// Reserves a request that is about to be sent.
    pub fn reserve(&mut self) {
        self.reserved = self.reserved.saturating_add(1);
    }

    /// Replaces a reservation by a request that is sent now.
    pub fn record(&mut self, now: time::Mono) {
        self.release();
        if self.times.len() == MAX_SENDS {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Releases the reservation of a request that is not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns the number of requests that count within `window`, and forgets older
    /// ones.
    pub fn count(&mut self, now: time::Mono, window: span::Span) -> u32 {
        while self
            .times
            .front()
            .is_some_and(|sent| now.since(*sent) >= window)
        {
            self.times.pop_front();
        }
        let sent = u32::try_from(self.times.len()).unwrap_or(u32::MAX);
        self.reserved.saturating_add(sent)
    }
}

/// Returns how many requests a router may send to a cold target now. `age` is the
/// time since the router started, `limit` the number of requests that the target
/// bears in a second from all routers, `sends` what the router sent to it.
pub fn allowance(
    members: &Members,
    age: span::Span,
    target: u64,
    limit: f64,
    now: time::Mono,
    sends: &mut Sends,
) -> u32 {
    let quota = quota(members, age, target, limit);
    quota
        .requests
        .saturating_sub(sends.count(now, quota.window))
}

/// Returns the part of `limit` that a router may use. It changes with the members,
/// and with `age` up to [`DISCOVERY_TIME`] or the window, whichever is longer.
pub fn quota(members: &Members, age: span::Span, target: u64, limit: f64) -> Quota {
    let half = limit / 2.0;
    let window = window(half);
    let live = members.others.iter().filter(|member| member.live).count();
    let hears_majority = 2 * (live + 1) > members.others.len() + 1;
    // An earlier process at this router's address may have used the share.
    let is_new = age < window || (age < DISCOVERY_TIME && !hears_majority);
    if is_new || !members.listed || half.is_nan() || half <= 0.0 {
        return Quota {
            requests: 0,
            window,
        };
    }
    let weight = |address: u64| (hash::mix(address, target), address);
    let own = weight(members.own);
    let ranked = members
        .others
        .iter()
        .filter(|member| member.live || !hears_majority);
    let (mut routers, mut before) = (1, 0);
    for member in ranked {
        routers += 1;
        before += u32::from(weight(member.address) > own);
    }
    let total = (half as u32).clamp(1, MAX_SENDS as u32);
    let senders = total.min(routers);
    let requests = match before < senders {
        true => total / senders + u32::from(before < total % senders),
        false => 0,
    };
    Quota { requests, window }
}

/// Returns the time over which a share of `half` requests a second is counted.
fn window(half: f64) -> span::Span {
    let micros = if half >= 1.0 {
        SECOND_MICROS
    } else {
        let interval = SECOND_MICROS as f64 / half.max(0.0);
        (interval as u64).clamp(MIN_SLOW_INTERVAL_MICROS, MAX_WINDOW_MICROS)
    };
    span::Span::from_micros(micros + DELAY_MARGIN_MICROS)
}
