//! The state of an engine: batch, cache, responses, orders and record.

use std::collections::{BTreeMap, VecDeque};

use base::time;

use crate::{
    batch, cache, clock, engine, events, fault, orders, prompt, record,
    stream::{self, Stage},
};

/// Chats whose blocks are remembered for KV export before unusable ones are
/// dropped.
const CHATS: usize = 16_384;

/// Why a request is rejected without running.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The model is not loaded.
    #[error("model {0:?} is not loaded")]
    Model(String),
    /// The queue is full.
    #[error("the queue is full")]
    Full,
    /// Rejected on demand.
    #[error("rejected on demand")]
    Demand,
}

/// A request for [`State::add`].
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: String,
    /// The chat's hash, if the caller sent it.
    pub chat: Option<String>,
    /// Urgency; a larger number runs first.
    pub priority: i32,
    /// The request.
    pub request: prompt::Chat,
}

/// The state of an engine.
#[derive(Debug)]
pub struct State {
    options: engine::Options,
    /// Faults that are switched on.
    pub faults: engine::Faults,
    /// Randomness of the faults.
    pub random: fault::Random,
    /// What the engine did.
    pub record: record::Record,
    /// Orders and what they loaded.
    pub desk: orders::Desk,
    /// Published cache events.
    pub events: events::Events,
    batch: batch::Batch,
    cache: cache::Cache,
    chats: BTreeMap<String, Vec<cache::Block>>,
    streams: BTreeMap<String, stream::Stream>,
    finished: VecDeque<(time::Mono, String)>,
}

impl State {
    /// Starts with an empty cache.
    pub fn new(options: engine::Options) -> Self {
        Self {
            faults: engine::Faults::default(),
            random: fault::Random::new(options.seed),
            record: record::Record::default(),
            desk: orders::Desk::new(options.loaded(), options.checks_fence),
            events: events::Events::default(),
            batch: batch::Batch::new(options.slots),
            cache: cache::Cache::new(options.cache_tokens / options.block_tokens),
            chats: BTreeMap::new(),
            streams: BTreeMap::new(),
            finished: VecDeque::new(),
            options,
        }
    }

    /// Queues a request.
    pub fn add(&mut self, arrival: Arrival) -> Result<stream::Stream, Rejection> {
        let checked = self.check(&arrival.request);
        if checked.is_err() {
            self.record.rejected += 1;
        }
        let version = checked?;
        let text = arrival.request.text();
        let output = prompt::Output::new(&arrival.request, &text, &version, self.options.salt);
        let stream = stream::Stream::new(arrival.request.stream);
        self.streams.insert(arrival.id.clone(), stream.clone());
        self.batch.add(batch::Job {
            id: arrival.id,
            model: arrival.request.model,
            text,
            chat: arrival.chat,
            priority: arrival.priority,
            output,
            stream: stream.clone(),
        });
        self.record_level();
        Ok(stream)
    }

    /// Returns the version of the requested model.
    fn check(&mut self, request: &prompt::Chat) -> Result<String, Rejection> {
        if self.faults.reject.draw(&mut self.random) {
            return Err(Rejection::Demand);
        }
        let level = self.batch.level();
        if level.waiting as usize >= self.options.queue {
            return Err(Rejection::Full);
        }
        let version = self.desk.loaded.models.get(&request.model).cloned();
        match version {
            None if !self.options.models.is_empty() => Err(Rejection::Model(request.model.clone())),
            version => Ok(version.unwrap_or_default()),
        }
    }

    /// Starts waiting requests and produces due tokens; returns false when a
    /// request has crashed the engine.
    pub fn step(&mut self) -> bool {
        let now = clock::now();
        for step in self.batch.step(now, self.options.pace) {
            match step {
                batch::Step::First(job) => self.first(now, &job),
                batch::Step::Last(job) => self.last(now, &job),
            }
        }
        while let Some((ticket, job)) = self.batch.take() {
            *self.record.executions.entry(job.id.clone()).or_default() += 1;
            if self.crashes(&job) {
                return false;
            }
            let first = now + self.prefill(&job);
            self.batch.run(ticket, job, first);
        }
        self.expire(now);
        self.record_level();
        true
    }

    /// Returns when the next token is due.
    pub fn due(&self) -> Option<time::Mono> {
        self.batch.due()
    }

    fn crashes(&self, job: &batch::Job) -> bool {
        let Some(marker) = &self.faults.crash_marker else {
            return false;
        };
        let marker = marker.as_bytes();
        !marker.is_empty() && job.text.windows(marker.len()).any(|part| part == marker)
    }

    /// Returns the time to the first token, which falls with cached tokens.
    fn prefill(&mut self, job: &batch::Job) -> base::span::Span {
        let blocks = cache::blocks(&job.text, self.options.block_tokens);
        let tokens = cache::tokens(&job.text) as u64;
        let cached = (self.cache.lookup(&blocks) * self.options.block_tokens) as u64;
        self.record.prompt_tokens += tokens;
        self.record.cached_tokens += cached;
        match cached {
            0 => self.record.misses += 1,
            _ => self.record.hits += 1,
        }
        job.stream.start(cached);
        let prefill = self.options.prefill.as_micros() * tokens.saturating_sub(cached);
        base::span::Span::from_micros(self.options.first.as_micros() + prefill)
    }

    fn first(&mut self, now: time::Mono, job: &batch::Job) {
        self.store(now, &job.text, job.chat.as_deref());
    }

    fn last(&mut self, now: time::Mono, job: &batch::Job) {
        self.record.output_tokens += job.output.count();
        let mut text = job.text.clone();
        prompt::append(&mut text, "assistant", &job.output.text());
        self.store(now, &text, job.chat.as_deref());
        self.finished.push_back((now, job.id.clone()));
    }

    fn store(&mut self, now: time::Mono, text: &[u8], chat: Option<&str>) {
        let blocks = cache::blocks(text, self.options.block_tokens);
        self.insert(now, &blocks);
        if let Some(chat) = chat {
            self.remember(chat, blocks);
        }
    }

    fn insert(&mut self, now: time::Mono, blocks: &[cache::Block]) {
        let change = self.cache.insert(blocks);
        let (loss, random) = (&mut self.faults.event_loss, &mut self.random);
        self.events.add(now, &change, || loss.draw(random));
    }

    fn remember(&mut self, chat: &str, blocks: Vec<cache::Block>) {
        self.chats.insert(chat.to_owned(), blocks);
        if self.chats.len() > CHATS {
            let cache = &self.cache;
            self.chats.retain(|_, blocks| cache.present(blocks) > 0);
        }
        if self.chats.len() > CHATS {
            self.chats.pop_first();
        }
    }

    /// Returns the cached blocks of a chat, if there are any.
    pub fn export(&mut self, chat: &str) -> Option<Vec<cache::Block>> {
        let blocks = self.chats.get(chat)?;
        let present = self.cache.lookup(blocks);
        (present > 0).then(|| blocks[..present].to_vec())
    }

    /// Adds the blocks of a chat.
    pub fn import(&mut self, chat: &str, blocks: Vec<cache::Block>) {
        self.insert(clock::now(), &blocks);
        self.remember(chat, blocks);
        self.record.imports += 1;
    }

    /// Returns a response that is still kept.
    pub fn stream(&self, id: &str) -> Option<stream::Stream> {
        self.streams.get(id).cloned()
    }

    /// Returns a kept response other than the given one, for crossed responses.
    pub fn other(&self, id: &str) -> Option<(String, stream::Stream)> {
        let mut others = self.streams.iter().filter(|(other, _)| *other != id);
        others
            .next_back()
            .map(|(id, stream)| (id.clone(), stream.clone()))
    }

    /// Cancels a request; returns whether it is known.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(stream) = self.streams.get(id).cloned() else {
            return false;
        };
        if self.batch.cancel(id) {
            self.record.cancelled += 1;
            stream.end(Stage::Broken);
            self.streams.remove(id);
        }
        self.record_level();
        true
    }

    /// Loses everything that a restart loses; the record stays.
    pub fn crash(&mut self) {
        for stream in self.streams.values() {
            stream.end(Stage::Broken);
        }
        self.streams.clear();
        self.finished.clear();
        self.chats.clear();
        self.batch = batch::Batch::new(self.options.slots);
        self.cache = cache::Cache::new(self.options.cache_tokens / self.options.block_tokens);
        self.events = events::Events::default();
        self.desk = orders::Desk::new(self.options.loaded(), self.options.checks_fence);
        self.record.crashes += 1;
        self.record_level();
    }

    /// Returns the load as the engine reports it, which lags.
    pub fn reported(&self) -> record::Level {
        let lag = self.faults.load_lag.unwrap_or(self.options.load_lag);
        let now = clock::now().0;
        self.record
            .at(time::Mono(now.saturating_sub(lag.as_micros())))
    }

    fn expire(&mut self, now: time::Mono) {
        while let Some((at, _)) = self.finished.front() {
            if now.since(*at) < self.options.keep {
                break;
            }
            let Some((_, id)) = self.finished.pop_front() else {
                break;
            };
            let done = self.streams.get(&id).map(stream::Stream::stage) == Some(Stage::Done);
            if done {
                self.streams.remove(&id);
            }
        }
    }

    fn record_level(&mut self) {
        self.record.level(clock::now(), self.batch.level());
    }
}
