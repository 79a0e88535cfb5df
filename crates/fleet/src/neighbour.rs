//! Choice of the neighbours of a process by rendezvous hashing.
//!
//! Every process has a few slots, and each slot holds the member with the
//! highest hash for this process and the slot's salt. The salt of one slot at
//! a time changes, so that the graph of neighbours keeps moving while most
//! connections are kept.

use base::{hash, id, span, time};

use crate::member;

/// Neighbours of one process.
pub const SLOTS: u64 = 6;

/// Every second slot of an agent holds a member of its own service group, where
/// fresh loads are needed for the bound; the others connect the groups.
pub const GROUP_EVERY: u64 = 2;

/// Time after which a slot's salt changes. A new connection with mutual TLS
/// takes about 4 KB; with 6 slots in 120 s this is 0.2 KB/s at each side.
pub const ROTATION_INTERVAL: span::Span = span::Span::from_secs(120);

/// Returns the salt of a slot; slots change one after the other.
pub fn salt(now: time::Mono, own: u64, slot: u64) -> u64 {
    let turn = ROTATION_INTERVAL.as_micros();
    let shift = turn / SLOTS * slot + own % turn;
    let epoch = (now.0 + shift) / turn;
    hash::mix(hash::mix(own, slot), epoch)
}

/// Returns the member with the highest hash for a salt.
pub fn pick<'a>(
    salt: u64,
    candidates: impl Iterator<Item = &'a id::ProcessId>,
) -> Option<&'a id::ProcessId> {
    candidates.max_by_key(|process| hash::mix(salt, member::process_key(process)))
}
