//! Weighted rendezvous hashing.

use std::{cmp::Reverse, collections::BinaryHeap};

use base::{hash, id};

use crate::view;

/// 2^-53: the distance between the values that a hash is mapped to.
const STEP: f64 = 1.0 / (1u64 << 53) as f64;

/// The targets of a view by preference for one chat, best first.
///
/// A heap instead of a sorted list, because most choices look at one or two
/// targets only.
pub(crate) struct Ranking(BinaryHeap<Reverse<(u64, usize)>>);

impl Ranking {
    /// Ranks all targets; `factor` scales the weight of a target.
    pub(crate) fn new(
        view: &view::View,
        chat: id::ChatHash,
        factor: impl Fn(&view::Target) -> f64,
    ) -> Self {
        let entries: Vec<_> = view
            .targets()
            .iter()
            .zip(view.hashes())
            .enumerate()
            .filter(|(_, (target, _))| target.weight > 0)
            .map(|(index, (target, seed))| {
                let weight = f64::from(target.weight) * factor(target);
                Reverse((distance(chat, *seed, weight), index))
            })
            .collect();
        Self(BinaryHeap::from(entries))
    }
}

impl Iterator for Ranking {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.0.pop().map(|Reverse((_, index))| index)
    }
}

/// Returns the sort key of a target for a chat; the lowest wins.
///
/// `-ln(u) / weight` with uniform `u` is an exponential variable with rate
/// `weight`, so a target is the lowest with a probability in proportion to its
/// weight, and a change of one weight moves chats only from or to that target.
fn distance(chat: id::ChatHash, seed: u64, weight: f64) -> u64 {
    let bits = hash::mix(chat.0, seed) >> 11;
    let uniform = (bits as f64 + 0.5) * STEP;
    // The bits of positive floats order as the floats do.
    (-uniform.ln() / weight).to_bits()
}
