//! What callers saw, and what it cost.

use std::collections::BTreeMap;

use base::span;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{engine::Reading, site};

/// What became of the requests of one kind, or of one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seen {
    /// Requests that came.
    pub asked: u32,
    /// Whole responses in time.
    pub timely: u32,
    /// Whole responses that came later, or with long pauses.
    pub late: u32,
    /// Requests that were refused, the last time too.
    pub refused: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests whose callers left.
    pub left: u32,
    /// Worth of all requests, and of those that were served.
    pub owed: f64,
    /// Worth that was earned.
    pub earned: f64,
    /// Time to the first event or response in milliseconds: the middle one, and
    /// the one that 95 in 100 do not exceed.
    pub middle: f64,
    /// As above.
    pub most: f64,
}

/// One second of an outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Second {
    /// Requests that came in it, whenever they ended.
    pub seen: Seen,
    /// The largest load of a target relative to the mean of its service, by
    /// service.
    pub skew: BTreeMap<String, f64>,
    /// The mean load of the service's targets.
    pub load: BTreeMap<String, f64>,
}

/// What a play showed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The site.
    pub site: String,
    /// The policy.
    pub policy: String,
    /// The parameter that was swept, if any.
    #[serde(default)]
    pub setting: String,
    /// The seed.
    pub seed: u64,
    /// By kind.
    pub kinds: BTreeMap<String, Seen>,
    /// All kinds.
    pub all: Seen,
    /// By the second in which requests came.
    pub seconds: Vec<Second>,
    /// Requests that reached targets.
    pub sends: u32,
    /// Those that reached targets over the bound.
    pub over: u32,
    /// Prompt tokens that engines read, those of shared parts among them, and
    /// tokens that they fetched.
    pub read: u64,
    /// As above.
    pub shared: u64,
    /// As above.
    pub fetched: u64,
    /// Messages that routers sent one another, and their bytes.
    pub messages: u64,
    /// As above.
    pub bytes: u64,
}

impl Outcome {
    /// Returns the part of the worth that was earned.
    pub fn worth(&self) -> f64 {
        self.all.part()
    }
}

impl Seen {
    /// Returns the part of the worth that was earned.
    pub fn part(&self) -> f64 {
        match self.owed > 0.0 {
            true => self.earned / self.owed,
            false => 1.0,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The response is whole; it was in time or not.
    Whole(bool),
    /// It was refused.
    Refused,
    /// It failed.
    Failed,
    /// Its caller left.
    Left,
}

/// Counts while a site is played.
#[derive(Debug)]
pub struct Counter {
    kinds: Vec<Count>,
    seconds: Vec<Count>,
    /// What is not counted by kind.
    pub outcome: Outcome,
}

#[derive(Debug)]
struct Count {
    seen: Seen,
    first: Histogram<u64>,
}

impl Default for Count {
    fn default() -> Self {
        Self {
            seen: Seen::default(),
            first: Histogram::new(3).expect("3 digits are allowed"),
        }
    }
}

impl Count {
    fn finish(&self) -> Seen {
        let millis = |quantile| self.first.value_at_quantile(quantile) as f64 / 1_000.0;
        Seen {
            middle: millis(0.5),
            most: millis(0.95),
            ..self.seen.clone()
        }
    }
}

impl Counter {
    /// Starts with nothing.
    pub fn new(site: &site::Site) -> Self {
        let seconds = site.length.as_secs_f64().ceil() as usize;
        Self {
            kinds: site.kinds.iter().map(|_| Count::default()).collect(),
            seconds: (0..seconds.max(1)).map(|_| Count::default()).collect(),
            outcome: Outcome {
                site: site.name.clone(),
                seconds: vec![Second::default(); seconds.max(1)],
                ..Outcome::default()
            },
        }
    }

    /// Returns the position of the second of a time in microseconds.
    pub fn second(&self, at: u64) -> usize {
        ((at / 1_000_000) as usize).min(self.seconds.len() - 1)
    }

    fn each(&mut self, kind: usize, at: u64) -> [&mut Count; 2] {
        let second = self.second(at);
        [&mut self.kinds[kind], &mut self.seconds[second]]
    }

    /// Notes a request of a kind that came at a time.
    pub fn asked(&mut self, kind: usize, at: u64, worth: f64) {
        for count in self.each(kind, at) {
            count.seen.asked += 1;
            count.seen.owed += worth;
        }
    }

    /// Notes the first event of a request that came at a time.
    pub fn first(&mut self, kind: usize, at: u64, took: span::Span) {
        for count in self.each(kind, at) {
            count.first.record(took.as_micros()).ok();
        }
    }

    /// Notes the end of a request that came at a time.
    pub fn end(&mut self, kind: &site::Kind, index: usize, at: u64, end: End) {
        for count in self.each(index, at) {
            let seen = &mut count.seen;
            match end {
                End::Whole(true) => {
                    seen.timely += 1;
                    seen.earned += kind.worth;
                }
                End::Whole(false) => {
                    seen.late += 1;
                    seen.earned += kind.late;
                }
                End::Refused => seen.refused += 1,
                End::Failed => seen.failed += 1,
                End::Left => seen.left += 1,
            }
        }
    }

    /// Notes what an engine reads for a request.
    pub fn reading(&mut self, reading: Reading) {
        self.outcome.read += u64::from(reading.read);
        self.outcome.shared += u64::from(reading.shared);
        self.outcome.fetched += u64::from(reading.fetched);
    }

    /// Returns the outcome.
    pub fn finish(mut self, site: &site::Site) -> Outcome {
        let mut all = Count::default();
        for (kind, count) in site.kinds.iter().zip(&self.kinds) {
            self.outcome.kinds.insert(kind.id.clone(), count.finish());
            all.seen.add(&count.seen);
            all.first.add(&count.first).ok();
        }
        self.outcome.all = all.finish();
        for (second, count) in self.outcome.seconds.iter_mut().zip(&self.seconds) {
            second.seen = count.finish();
        }
        self.outcome
    }
}

impl Seen {
    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.timely += other.timely;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.left += other.left;
        self.owed += other.owed;
        self.earned += other.earned;
    }
}
