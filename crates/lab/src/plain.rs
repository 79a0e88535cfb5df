//! A model of a target of a plain service: requests take slots in their order.

use std::collections::VecDeque;

use base::span;

/// A target.
#[derive(Clone, Debug)]
pub struct Plain {
    work: span::Span,
    slots: usize,
    queue: usize,
    /// Factor on the time of its work.
    pub slowness: f64,
    running: Vec<u64>,
    waiting: VecDeque<u64>,
}

/// A request that has got a slot, and the time that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started {
    /// The request.
    pub number: u64,
    /// Its time.
    pub time: span::Span,
}

impl Plain {
    /// Makes an empty target.
    pub fn new(work: span::Span, slots: u32, queue: u32) -> Self {
        Self {
            work,
            slots: slots as usize,
            queue: queue as usize,
            slowness: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Returns the requests that it has.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Takes a request; returns whether it had room.
    pub fn take(&mut self, number: u64) -> bool {
        let has_room = self.running.len() + self.waiting.len() < self.slots + self.queue;
        if has_room {
            self.waiting.push_back(number);
        }
        has_room
    }

    /// Gives a free slot to the next request; `factor` varies the time of its work.
    pub fn start(&mut self, factor: f64) -> Option<Started> {
        if self.running.len() >= self.slots {
            return None;
        }
        let number = self.waiting.pop_front()?;
        self.running.push(number);
        let micros = self.work.as_micros() as f64 * factor * self.slowness;
        Some(Started {
            number,
            time: span::Span::from_micros(micros as u64),
        })
    }

    /// Ends a request, or removes it from the queue.
    pub fn end(&mut self, number: u64) {
        self.running.retain(|other| *other != number);
        self.waiting.retain(|other| *other != number);
    }

    /// Forgets everything; returns the requests that it had.
    pub fn crash(&mut self) -> Vec<u64> {
        let running = self.running.drain(..);
        running.chain(self.waiting.drain(..)).collect()
    }
}
