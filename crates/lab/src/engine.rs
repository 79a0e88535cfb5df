//! A model of an engine: it batches requests, reads prompts in chunks between the
//! tokens of its batch, and keeps what it has read.

use base::{span, time};

use crate::{
    memory::{Memory, PartId},
    site,
};

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its number.
    pub number: u64,
    /// The part that it shares with others, and the part's tokens.
    pub shared: Option<(PartId, u32)>,
    /// Prompt tokens of its own.
    pub own: u32,
    /// Tokens of its response.
    pub output: u32,
    /// Urgency, 0 first.
    pub rank: u8,
    /// Whether it fetches the shared part from another engine that keeps it.
    pub fetches: bool,
}

/// What happened to a request in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The request.
    pub number: u64,
    /// Events that it has sent so far.
    pub events: u32,
    /// Whether the response is whole.
    pub whole: bool,
}

/// Prompt tokens that an engine read, read again or fetched for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Tokens that it read.
    pub read: u32,
    /// Those of shared parts among them.
    pub shared: u32,
    /// Tokens that it fetched.
    pub fetched: u32,
}

#[derive(Clone, Debug)]
struct Run {
    job: Job,
    unread: u32,
    /// When a transfer ends that it waits for.
    ready: time::Mono,
    tokens: u32,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    rules: site::Engine,
    slots: usize,
    queue: usize,
    /// Factor on the time of its work.
    pub slowness: f64,
    memory: Memory,
    running: Vec<Run>,
    waiting: Vec<Run>,
    /// When the latest transfer ends.
    transfers: time::Mono,
    /// Whether a step is under way.
    pub stepping: bool,
}

impl Engine {
    /// Makes an empty engine.
    pub fn new(rules: site::Engine, slots: u32, queue: u32) -> Self {
        Self {
            rules,
            slots: slots as usize,
            queue: queue as usize,
            slowness: 1.0,
            memory: Memory::default(),
            running: Vec::new(),
            waiting: Vec::new(),
            transfers: time::Mono(0),
            stepping: false,
        }
    }

    /// Returns the requests that it has.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Returns whether it keeps a part.
    pub fn holds(&self, part: PartId) -> bool {
        self.memory.holds(part)
    }

    /// Takes a request; returns what it reads, or nothing when it has no room.
    pub fn take(&mut self, now: time::Mono, job: Job) -> Option<Reading> {
        if self.running.len() + self.waiting.len() >= self.slots + self.queue {
            return None;
        }
        let mut reading = Reading {
            read: job.own,
            ..Reading::default()
        };
        let mut ready = now;
        if let Some((part, tokens)) = job.shared
            && !self.memory.touch(part)
        {
            if job.fetches {
                reading.fetched = tokens;
                ready = self.transfer(now, tokens);
            } else {
                reading.read += tokens;
                reading.shared = tokens;
            }
            self.memory.keep(part, tokens);
        }
        self.waiting.push(Run {
            unread: reading.read,
            ready,
            tokens: 0,
            job,
        });
        Some(reading)
    }

    /// Returns when a transfer ends; transfers run one after the other.
    fn transfer(&mut self, now: time::Mono, tokens: u32) -> time::Mono {
        let micros = f64::from(tokens) / self.rules.fetch * 1_000.0;
        let time = self.rules.setup.as_micros() + micros as u64;
        self.transfers = self.transfers.max(now) + span::Span::from_micros(time);
        self.transfers
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, number: u64) {
        for runs in [&mut self.running, &mut self.waiting] {
            runs.retain(|run| run.job.number != number);
        }
    }

    /// Forgets everything; returns the requests that it had.
    pub fn crash(&mut self) -> Vec<u64> {
        let runs = self.running.drain(..).chain(self.waiting.drain(..));
        let numbers = runs.map(|run| run.job.number).collect();
        self.memory = Memory::default();
        numbers
    }

    /// Ends a step; returns what it brought and how long the next one takes, if
    /// there is work for it.
    pub fn step(&mut self, now: time::Mono) -> (Vec<Progress>, Option<span::Span>) {
        self.fill(now);
        let mut chunk = self.rules.chunk;
        let mut progress = Vec::new();
        for run in &mut self.running {
            if run.unread > 0 {
                let read = run.unread.min(chunk);
                run.unread -= read;
                chunk -= read;
                continue;
            }
            run.tokens += 1;
            let whole = run.tokens >= run.job.output;
            if whole || run.tokens == 1 || run.tokens.is_multiple_of(self.rules.event) {
                progress.push(Progress {
                    number: run.job.number,
                    events: run.tokens.div_ceil(self.rules.event),
                    whole,
                });
            }
        }
        self.running.retain(|run| run.tokens < run.job.output);
        self.yield_memory();
        let read = self.rules.chunk - chunk;
        (progress, self.pause(now, read))
    }

    /// Gives free slots to the most urgent requests whose transfers have ended.
    fn fill(&mut self, now: time::Mono) {
        self.waiting.sort_by_key(|run| run.job.rank);
        let mut index = 0;
        while self.running.len() < self.slots && index < self.waiting.len() {
            match self.waiting[index].ready <= now {
                true => self.running.push(self.waiting.remove(index)),
                false => index += 1,
            }
        }
    }

    /// Drops kept parts where running requests need the memory. A running request
    /// is never put back; an engine whose requests alone need more than all memory
    /// is not modelled.
    fn yield_memory(&mut self) {
        let used: u64 = self
            .running
            .iter()
            .map(|run| u64::from(run.job.own) + u64::from(run.tokens))
            .sum();
        self.memory.shrink(self.rules.memory.saturating_sub(used));
    }

    fn pause(&self, now: time::Mono, read: u32) -> Option<span::Span> {
        if self.running.is_empty() {
            let ready = self.waiting.iter().map(|run| run.ready).min()?;
            return Some(ready.max(now + self.rules.step).since(now));
        }
        let rules = &self.rules;
        let slots = rules.slot.as_micros() * self.running.len() as u64;
        let reading = f64::from(read) / rules.read * 1_000.0;
        let micros = (rules.step.as_micros() + slots) as f64 + reading;
        Some(span::Span::from_micros((micros * self.slowness) as u64))
    }
}
