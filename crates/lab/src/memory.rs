//! The prompt parts that an engine keeps, in limited memory.

use std::collections::BTreeMap;

/// Identifies a part of a prompt that requests share.
pub type PartId = u64;

/// Kept parts; those that were used least recently yield first.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    parts: BTreeMap<PartId, Kept>,
    tokens: u64,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

impl Memory {
    /// Returns whether a part is kept, and marks it as used.
    pub fn touch(&mut self, part: PartId) -> bool {
        self.uses += 1;
        let uses = self.uses;
        let kept = self.parts.get_mut(&part);
        kept.map(|kept| kept.used = uses).is_some()
    }

    /// Returns whether a part is kept.
    pub fn holds(&self, part: PartId) -> bool {
        self.parts.contains_key(&part)
    }

    /// Keeps a part.
    pub fn keep(&mut self, part: PartId, tokens: u32) {
        self.uses += 1;
        let kept = Kept {
            tokens,
            used: self.uses,
        };
        if self.parts.insert(part, kept).is_none() {
            self.tokens += u64::from(tokens);
        }
    }

    /// Drops parts until they take no more than `most` tokens.
    pub fn shrink(&mut self, most: u64) {
        while self.tokens > most {
            let oldest = self.parts.iter().min_by_key(|(_, kept)| kept.used);
            let Some((part, kept)) = oldest.map(|(part, kept)| (*part, *kept)) else {
                return;
            };
            self.parts.remove(&part);
            self.tokens -= u64::from(kept.tokens);
        }
    }

    /// Returns the tokens of all kept parts.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
