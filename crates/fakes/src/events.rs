//! KV cache events of an engine, published late and with gaps.

use std::collections::VecDeque;

use base::{span, time};
use serde::{Deserialize, Serialize};

use crate::cache;

/// Events that an engine retains; older ones are a gap to a slow reader.
const RETAINED: usize = 4096;

/// What happened to blocks of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The blocks were added.
    Stored,
    /// The blocks were evicted.
    Evicted,
}

/// One event; a missing sequence number is a lost event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in the engine's sequence, from 1.
    pub sequence: u64,
    /// What happened.
    pub kind: Kind,
    /// The blocks, as 16 hexadecimal digits each.
    pub blocks: Vec<String>,
}

/// The response to `GET /kv/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Events in order of sequence.
    pub events: Vec<Event>,
    /// The `after` of the next call.
    pub next: u64,
}

/// The events of one engine.
#[derive(Debug, Default)]
pub struct Events {
    last: u64,
    kept: VecDeque<(time::Mono, Event)>,
}

impl Events {
    /// Adds the events of a change of the cache; `lost` drops events but still
    /// uses up their sequence numbers.
    pub fn add(&mut self, now: time::Mono, change: &cache::Change, mut lost: impl FnMut() -> bool) {
        let kinds = [
            (Kind::Stored, &change.stored),
            (Kind::Evicted, &change.evicted),
        ];
        for (kind, blocks) in kinds.into_iter().filter(|(_, blocks)| !blocks.is_empty()) {
            self.last += 1;
            if lost() {
                continue;
            }
            let blocks = blocks.iter().map(|block| format!("{block:016x}")).collect();
            let event = Event {
                sequence: self.last,
                kind,
                blocks,
            };
            self.kept.push_back((now, event));
            if self.kept.len() > RETAINED {
                self.kept.pop_front();
            }
        }
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    pub fn after(&self, now: time::Mono, after: u64, lag: span::Span) -> Page {
        let events: Vec<Event> = self
            .kept
            .iter()
            .filter(|(at, event)| event.sequence > after && now.since(*at) >= lag)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence);
        Page { events, next }
    }
}
