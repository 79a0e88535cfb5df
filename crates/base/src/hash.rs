//! The hash function for placement, fingerprints and body checks.
//!
//! All processes of a fleet must compute the same values, so the function and
//! the separator are part of the protocol.

use xxhash_rust::xxh3;

/// Byte after each part; it cannot occur in an id.
const SEPARATOR: u8 = 0;

/// Hashes the parts in order, each followed by a separator, so that
/// `["ab", "c"]` and `["a", "bc"]` differ.
pub fn parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut state = xxh3::Xxh3::new();
    for part in parts {
        state.update(part);
        state.update(&[SEPARATOR]);
    }
    state.digest()
}

/// Hashes a byte string.
pub fn bytes(data: &[u8]) -> u64 {
    xxh3::xxh3_64(data)
}

/// Combines two hashes.
pub fn mix(a: u64, b: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&a.to_le_bytes(), b)
}
