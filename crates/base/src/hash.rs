//! The hash function used for placement, fingerprints and body checks.
//!
//! All processes of a fleet must compute the same values, so the function and
//! the separators are part of the protocol.

use xxhash_rust::xxh3;

/// Separates parts; no id contains it.
const SEPARATOR: u8 = 0;

/// Hashes the parts in order; parts are separated, so `["ab", "c"]` and
/// `["a", "bc"]` differ.
pub fn parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut state = xxh3::Xxh3::new();
    for part in parts {
        state.update(part);
        state.update(&[SEPARATOR]);
    }
    state.digest()
}

/// Hashes one run of bytes.
pub fn bytes(data: &[u8]) -> u64 {
    xxh3::xxh3_64(data)
}

/// Mixes two hashes into one.
pub fn mix(a: u64, b: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&a.to_le_bytes(), b)
}
