//! What happens at a moment of simulated time, in a queue by time.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr};

use base::{span, time};
use edge::update::Update;

use crate::arrivals::Arrival;

/// What happens.
#[derive(Debug)]
pub enum Event {
    /// A caller's request comes, for the first time or again.
    Arrive(Box<Arrival>),
    /// A request reaches its target.
    Reach(u64),
    /// An engine ends a step.
    Step(usize, usize),
    /// A plain target ends a request.
    Work(usize, usize, u64),
    /// The router learns that a target does not answer.
    Silent(u64),
    /// A caller's time is over.
    Expire(u64),
    /// A router tells others what it knows.
    Round(usize),
    /// A router that has started learns which parts engines have cached.
    Learn(usize),
    /// A router hears another one.
    Hear(usize, SocketAddr, Box<Update>),
    /// A fault begins or ends.
    Fault(usize, bool),
    /// Loads are sampled.
    Sample,
}

struct Due(time::Mono, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Events in the order of their times; those of one time in the order in which
/// they were added.
#[derive(Default)]
pub struct Queue {
    due: BinaryHeap<Reverse<Due>>,
    number: u64,
}

impl Queue {
    /// Adds an event.
    pub fn add(&mut self, at: time::Mono, event: Event) {
        self.number += 1;
        self.due.push(Reverse(Due(at, self.number, event)));
    }

    /// Adds an event that happens after a time.
    pub fn after(&mut self, now: time::Mono, time: span::Span, event: Event) {
        self.add(now + time, event);
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(time::Mono, Event)> {
        let Reverse(Due(at, _, event)) = self.due.pop()?;
        Some((at, event))
    }
}
