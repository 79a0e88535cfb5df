//! Continuous batching: requests take slots in order of priority and each
//! running request produces a token per pace.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use base::{span, time};

use crate::{prompt, record, stream};

/// A request on its way through an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request's id.
    pub id: String,
    /// The model that the events name.
    pub model: String,
    /// The conversation's text.
    pub text: Vec<u8>,
    /// Identifies the chat for KV export, if the caller named it.
    pub chat: Option<String>,
    /// Urgency; a larger number runs first.
    pub priority: i32,
    /// The tokens to generate.
    pub output: prompt::Output,
    /// The response.
    pub stream: stream::Stream,
}

#[derive(Debug)]
struct Running {
    job: Job,
    next: u64,
}

/// Identifies a request in a batch, in order of arrival.
pub type Ticket = u64;

/// What happened to a running request.
#[derive(Debug)]
pub enum Step {
    /// The request produced its first token; its prompt is computed.
    First(Job),
    /// The request produced its last token.
    Last(Job),
}

/// The requests of an engine.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    tickets: Ticket,
    waiting: BTreeMap<(Reverse<i32>, Ticket), Job>,
    running: BTreeMap<Ticket, Running>,
    due: BTreeSet<(time::Mono, Ticket)>,
}

impl Batch {
    /// Makes an empty batch with a number of slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            tickets: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Adds a request to the queue.
    pub fn add(&mut self, job: Job) {
        self.tickets += 1;
        let key = (Reverse(job.priority), self.tickets);
        self.waiting.insert(key, job);
    }

    /// Takes the next waiting request if a slot is free.
    pub fn take(&mut self) -> Option<(Ticket, Job)> {
        if self.running.len() >= self.slots {
            return None;
        }
        let ((_, ticket), job) = self.waiting.pop_first()?;
        Some((ticket, job))
    }

    /// Runs a request; its first token is due at the given time.
    pub fn run(&mut self, ticket: Ticket, job: Job, first: time::Mono) {
        self.running.insert(ticket, Running { job, next: 0 });
        self.due.insert((first, ticket));
    }

    /// Returns when the next token is due.
    pub fn due(&self) -> Option<time::Mono> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Produces the tokens that are due.
    pub fn step(&mut self, now: time::Mono, pace: span::Span) -> Vec<Step> {
        let mut steps = Vec::new();
        while let Some(&(at, ticket)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.pop_first();
            let Some(running) = self.running.get_mut(&ticket) else {
                continue;
            };
            if running.next == 0 {
                steps.push(Step::First(running.job.clone()));
            }
            running.token();
            if running.next < running.job.output.count() {
                self.due.insert((at + pace, ticket));
                continue;
            }
            if let Some(running) = self.running.remove(&ticket) {
                running.finish();
                steps.push(Step::Last(running.job));
            }
        }
        steps
    }

    /// Removes a request, whether it waits or runs.
    pub fn cancel(&mut self, id: &str) -> bool {
        let waiting = self.waiting.iter().find(|(_, job)| job.id == id);
        if let Some(key) = waiting.map(|(key, _)| *key) {
            self.waiting.remove(&key);
            return true;
        }
        let running = self.running.iter().find(|(_, run)| run.job.id == id);
        let Some(ticket) = running.map(|(ticket, _)| *ticket) else {
            return false;
        };
        self.running.remove(&ticket);
        self.due.retain(|(_, due)| *due != ticket);
        true
    }

    /// Returns the work in the batch.
    pub fn level(&self) -> record::Level {
        let count = |length| u32::try_from(length).unwrap_or(u32::MAX);
        record::Level {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
        }
    }
}

impl Running {
    fn token(&mut self) {
        if self.job.stream.events() {
            let token = self.job.output.token(self.next);
            let event = prompt::event(&self.job.id, &self.job.model, Some(&token));
            self.job.stream.push(&event);
        }
        self.next += 1;
    }

    fn finish(&self) {
        let job = &self.job;
        let ending = if job.stream.events() {
            prompt::event(&job.id, &job.model, None) + prompt::DONE
        } else {
            prompt::whole(&job.id, &job.model, &job.output.text())
        };
        job.stream.push(&ending);
        job.stream.end(stream::Stage::Done);
    }
}
