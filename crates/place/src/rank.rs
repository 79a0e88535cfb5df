//! Weighted rendezvous hashing.

use std::cmp::Reverse;

use base::id;

use crate::view;

/// Low bits of a sort key that hold the index of the target. The other 48 bits
/// suffice to order the distances of a few hundred targets.
const INDEX_BITS: u32 = 16;

/// 2^-53: the distance between neighbouring values of a hash mapped to (0, 1).
const UNIT: f64 = 1.0 / (1u64 << 53) as f64;

/// Number of targets that are found by a linear scan before the rest is sorted.
/// Most choices need only one or two targets.
const SCANNED: u32 = 4;

/// The targets of a view by preference for one chat, best first.
pub(crate) struct Ranking {
    keys: Vec<u64>,
    taken: u32,
}

impl Ranking {
    /// Ranks all targets with a weight above zero for a chat. `local` raises the
    /// weight of the targets in one data centre.
    pub(crate) fn new(
        view: &view::View,
        chat: id::ChatHash,
        local: Option<LocalPreference>,
    ) -> Self {
        let is_uniform = view.is_uniform() && local.is_none();
        let targets = view.targets().iter().zip(view.hashes()).zip(0u64..);
        let keys = targets
            .filter(|((target, _), _)| target.weight > 0)
            .map(|((target, seed), index)| {
                let hash = mix(chat.0 ^ seed);
                let distance = if is_uniform {
                    // With equal weights, the inverted hashes have the same order
                    // as the distances.
                    !hash
                } else {
                    distance(hash, effective_weight(target, &local))
                };
                distance >> INDEX_BITS << INDEX_BITS | index
            })
            .collect();
        Self { keys, taken: 0 }
    }
}

/// A preference for the targets of one data centre.
pub(crate) struct LocalPreference<'a> {
    /// The preferred data centre.
    pub(crate) centre: &'a id::DataCentre,
    /// Factor on the weights of its targets.
    pub(crate) factor: f64,
}

fn effective_weight(target: &view::Target, local: &Option<LocalPreference>) -> f64 {
    let factor = match local {
        Some(local) if target.centre == *local.centre => local.factor,
        _ => 1.0,
    };
    f64::from(target.weight) * factor
}

impl Iterator for Ranking {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        let key = match self.taken {
            ..SCANNED => {
                let (at, _) = self.keys.iter().enumerate().min_by_key(|(_, key)| **key)?;
                self.keys.swap_remove(at)
            }
            _ => {
                if self.taken == SCANNED {
                    self.keys.sort_unstable_by_key(|key| Reverse(*key));
                }
                self.keys.pop()?
            }
        };
        self.taken += 1;
        Some((key & ((1 << INDEX_BITS) - 1)) as usize)
    }
}

/// Returns the distance of a target from a chat. The nearest target ranks first.
///
/// `-ln(u) / weight` with uniform `u` is an exponential variable with rate
/// `weight`. A target is therefore the nearest with a probability in proportion to
/// its weight, and a change of one weight moves chats only from or to that target.
fn distance(hash: u64, weight: f64) -> u64 {
    let uniform = ((hash >> 11) as f64 + 0.5) * UNIT;
    // The bits of positive floats have the same order as the floats.
    (-uniform.ln() / weight).to_bits()
}

/// Spreads the bits of a number (the finalizer of SplitMix64). Both inputs are
/// hashes already, so a full hash function is not needed.
fn mix(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
