//! The hash function for the choice of targets, the fingerprints of requests and
//! the checksums of bodies.
//!
//! All processes must compute the same values, because they exchange hashes. The
//! function and the separator are therefore part of the protocol between them.

use xxhash_rust::xxh3;

/// Byte after each part; no id that is hashed contains it.
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

/// Hashes a byte string, without a separator.
pub fn bytes(data: &[u8]) -> u64 {
    xxh3::xxh3_64(data)
}

/// Combines two hashes into one; the order matters.
pub fn mix(a: u64, b: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&a.to_le_bytes(), b)
}
