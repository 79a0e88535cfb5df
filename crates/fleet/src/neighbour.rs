//! Choice of the neighbours of a process by rendezvous hashing.
//!
//! Every process has a few slots, and each slot holds the member with the
//! highest hash for the slot's salt. The salts change one slot at a time, so
//! that the graph of neighbours keeps changing while most connections are kept.

use base::{hash, id, span, time};

use crate::member;

/// Number of neighbours of one process.
pub const SLOTS: u64 = 6;

/// Number of slots per slot that holds a member of the agent's own service
/// group, where the bound needs recent loads; the other slots connect the
/// groups.
pub const GROUP_EVERY: u64 = 2;

/// Time after which the salt of a slot changes. A new connection with mutual
/// TLS takes about 4 KB; with 6 slots in 120 s this is 0.2 KB/s at each side.
pub const ROTATION_INTERVAL: span::Span = span::Span::from_secs(120);

/// Returns the salt of a slot. The salts of different slots change at different
/// times.
pub fn salt(now: time::Mono, own: u64, slot: u64) -> u64 {
    let turn = ROTATION_INTERVAL.as_micros();
    let shift = turn / SLOTS * slot + own % turn;
    let epoch = (now.0 + shift) / turn;
    hash::mix(hash::mix(own, slot), epoch)
}

/// Returns the candidate with the highest hash for a salt.
pub fn pick<'a>(
    salt: u64,
    candidates: impl Iterator<Item = &'a id::ProcessId>,
) -> Option<&'a id::ProcessId> {
    candidates.max_by_key(|process| hash::mix(salt, member::process_key(process)))
}
