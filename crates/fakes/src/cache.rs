//! The prompt prefix cache of an engine: blocks of tokens in limited memory,
//! evicted in order of last use.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

/// Bytes of text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// A block of tokens, identified by a hash of itself and all blocks before it.
pub type Block = u64;

/// Counts the tokens of a text; a partial token counts as one.
pub fn tokens(text: &[u8]) -> usize {
    text.len().div_ceil(TOKEN_BYTES)
}

/// Returns the complete blocks of a text, in order.
pub fn blocks(text: &[u8], block_tokens: usize) -> Vec<Block> {
    let mut previous = 0;
    text.chunks_exact(block_tokens * TOKEN_BYTES)
        .map(|chunk| {
            previous = xxh3::xxh3_64_with_seed(chunk, previous);
            previous
        })
        .collect()
}

/// Blocks that an insertion added and evicted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Blocks that were not present before.
    pub stored: Vec<Block>,
    /// Blocks that were evicted to make room.
    pub evicted: Vec<Block>,
}

/// The blocks that an engine holds.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    tick: u64,
    used: BTreeMap<Block, u64>,
    order: BTreeMap<u64, Block>,
}

impl Cache {
    /// Makes an empty cache for a number of blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            tick: 0,
            used: BTreeMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Returns how many leading blocks are present and marks them as used.
    pub fn lookup(&mut self, blocks: &[Block]) -> usize {
        let present = self.present(blocks);
        self.touch(&blocks[..present]);
        present
    }

    /// Returns how many leading blocks are present.
    pub fn present(&self, blocks: &[Block]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count()
    }

    /// Adds blocks and evicts those that were used least recently.
    pub fn insert(&mut self, blocks: &[Block]) -> Change {
        let blocks = &blocks[..blocks.len().min(self.capacity)];
        let stored = blocks
            .iter()
            .copied()
            .filter(|block| !self.used.contains_key(block))
            .collect();
        self.touch(blocks);
        let mut evicted = Vec::new();
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&block);
            evicted.push(block);
        }
        Change { stored, evicted }
    }

    /// Marks blocks as used, the first as the most recent: a block is of no use
    /// without those before it, so the last block is evicted first.
    fn touch(&mut self, blocks: &[Block]) {
        for block in blocks.iter().rev() {
            self.tick += 1;
            if let Some(old) = self.used.insert(*block, self.tick) {
                self.order.remove(&old);
            }
            self.order.insert(self.tick, *block);
        }
    }
}
