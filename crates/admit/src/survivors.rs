//! Remembers when requests with a prompt part were last answered.

use std::collections::BTreeMap;

use base::{id, time};

/// Number of answered parts after which the older ones are forgotten, about
/// 300 KB.
const MAX_SURVIVORS: usize = 8_192;

/// When requests with a part were last answered, for the parts that were used
/// most recently.
#[derive(Clone, Debug, Default)]
pub struct Survivors {
    current: BTreeMap<id::PartHash, time::Mono>,
    previous: BTreeMap<id::PartHash, time::Mono>,
}

impl Survivors {
    /// Records that a request with the part was answered.
    pub fn record(&mut self, part: id::PartHash, answered: time::Mono) {
        if self.current.len() >= MAX_SURVIVORS && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        let known = self.latest(part).unwrap_or_default();
        self.current.insert(part, known.max(answered));
    }

    /// Returns when a request with the part was last answered.
    pub fn latest(&self, part: id::PartHash) -> Option<time::Mono> {
        let current = self.current.get(&part);
        current.or_else(|| self.previous.get(&part)).copied()
    }
}
