//! Digests of the members, with which two processes find the parts that differ.

use base::hash;

use crate::member;

/// Number of parts that are compared by digest. 64 digests take 256 bytes, and
/// with 1,110 members a part that differs takes 18 load records.
pub const PARTS: u64 = 64;

/// Returns the part that a member belongs to.
pub(crate) fn part(entry: &member::Entry) -> u64 {
    entry.key % PARTS
}

/// Returns the digest of each part of the reporting members.
pub fn part_digests(members: &member::Members) -> Vec<u32> {
    let mut digests = vec![0; usize::try_from(PARTS).unwrap_or(0)];
    for entry in members.entries() {
        if entry.state != member::State::Reported {
            continue;
        }
        let run = entry.member.incarnation.0 * 2 + u64::from(entry.leaving);
        if let Some(digest) = usize::try_from(part(entry))
            .ok()
            .and_then(|part| digests.get_mut(part))
        {
            *digest ^= (hash::mix(entry.key, run) >> 32) as u32;
        }
    }
    digests
}

/// Combines the digests of all parts.
pub fn combined(parts: &[u32]) -> u64 {
    parts
        .iter()
        .fold(0, |sum, digest| hash::mix(sum, u64::from(*digest)))
}
