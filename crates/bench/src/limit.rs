//! The upper limit of cache reuse in a run, computed from its turns.
//!
//! A returning turn finds all that its chat computed before, unless no
//! placement could have kept it: the memory of all engines together, used as
//! one cache, has lost it, or so many requests of its chat run already that
//! the bound requires a further engine, which computes the prompt once.

use std::collections::BTreeMap;

use fakes::cache;

use crate::drive::Turn;

/// What the limit depends on besides the turns.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Blocks that the caches of all engines hold together.
    pub blocks: usize,
    /// Tokens in a block.
    pub block: usize,
    /// Requests that the bound allows on one engine at least.
    pub floor: u32,
}

/// Cached tokens over tokens that could be cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reuse {
    /// Tokens that were, or could have been, found in a cache.
    pub cached: u64,
    /// Tokens that returning turns had in common with earlier ones.
    pub known: u64,
}

impl Reuse {
    /// Returns the share.
    pub fn share(self) -> f64 {
        self.cached as f64 / self.known.max(1) as f64
    }
}

/// Returns the reuse that the engines achieved.
pub fn achieved(turns: &[Turn]) -> Reuse {
    let returning = turns.iter().filter(|turn| turn.known > 0);
    returning.fold(Reuse::default(), |sum, turn| Reuse {
        cached: sum.cached + turn.cached,
        known: sum.known + turn.known,
    })
}

#[derive(Default)]
struct Copies {
    running: u32,
    made: u32,
}

/// Returns the reuse that no placement exceeds.
pub fn limit(turns: &[Turn], room: Room) -> Reuse {
    let mut moments: Vec<(base::time::Mono, bool, &Turn)> = turns
        .iter()
        .flat_map(|turn| [(turn.start, true, turn), (turn.end, false, turn)])
        .collect();
    moments.sort_by_key(|(at, starts, _)| (*at, *starts));
    let mut cache = cache::Cache::new(room.blocks);
    let mut chats: BTreeMap<u64, Copies> = BTreeMap::new();
    let mut sum = Reuse::default();
    for (_, starts, turn) in moments {
        let copies = chats.entry(turn.chat).or_default();
        if !starts {
            copies.running -= 1;
            cache.insert(&turn.whole);
            continue;
        }
        copies.running += 1;
        let needed = copies.running.div_ceil(room.floor.max(1));
        let another = needed > copies.made.max(1);
        copies.made = copies.made.max(needed);
        let present = (cache.lookup(&turn.prompt) * room.block) as u64;
        if turn.known > 0 {
            sum.known += turn.known;
            sum.cached += if another { 0 } else { present.min(turn.known) };
        }
    }
    sum
}
