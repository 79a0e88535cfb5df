//! Signs of life of all members in one byte each.
//!
//! Both sides of an exchange usually know the same members in most parts, so
//! that a part's digest says whose beats follow, and a member costs one byte
//! instead of a load record of about 16. Beats merge as a maximum per run, like
//! reports, so that late, repeated and reordered messages do no harm.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::collections::BTreeMap;

use base::{hash, id, time};
use wire::msg;

use crate::{digest, member};

/// Values of a beat; 0 is kept for an unknown one.
const VALUES: u64 = 255;

/// Steps up to which a beat counts as the newer one. With a beat a second these
/// are 127 s, twice the silence after which a member is removed.
const AHEAD: u64 = VALUES / 2;

/// Microseconds between two beats.
const STEP: u64 = 1_000_000;

/// Tags, lengths and the bits of the parts, in bytes.
const FRAME: usize = 24;

/// Bytes of a part's digest and size.
const PART: usize = 5;

/// A counter from 1 to 255 that a process advances every second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Beat(u8);

impl Beat {
    /// Returns the beat of a process whose own clock shows `now`.
    pub fn at(now: time::Mono) -> Self {
        Self(u8::try_from(now.0 / STEP % VALUES + 1).unwrap_or(1))
    }

    /// Reads a beat from a message; 0 and numbers above 255 are none.
    pub fn read(number: u32) -> Option<Self> {
        u8::try_from(number).ok().filter(|n| *n > 0).map(Self)
    }

    /// Returns the number for a message.
    pub fn number(self) -> u32 {
        u32::from(self.0)
    }

    /// Returns whether this beat is newer than another of the same run.
    pub fn follows(self, other: Self) -> bool {
        let ahead = (VALUES + u64::from(self.0) - u64::from(other.0)) % VALUES;
        (1..=AHEAD).contains(&ahead)
    }
}

/// The reporting members by part, each part in the order of process ids.
fn rows(members: &member::Members) -> BTreeMap<u64, Vec<&member::Entry>> {
    let mut rows: BTreeMap<u64, Vec<&member::Entry>> = BTreeMap::new();
    for entry in members.entries() {
        if entry.state == member::State::Reported {
            let part = digest::part(entry);
            rows.entry(part).or_default().push(entry);
        }
    }
    rows
}

/// Writes the beats of as many parts as `limit` bytes hold. `turn` chooses the
/// parts; with another one in each message every part has its turn.
pub fn write(
    now: time::Mono,
    members: &member::Members,
    turn: u64,
    limit: usize,
) -> Option<msg::Heartbeats> {
    let rows = rows(members);
    let digests = digest::parts(members);
    let mut left = limit.checked_sub(FRAME)?;
    let mut order: Vec<u64> = rows.keys().copied().collect();
    order.sort_by_key(|part| hash::mix(turn, *part));
    let mut parts = 0_u64;
    for part in order {
        let size = rows[&part].len();
        if size > usize::from(u8::MAX) {
            continue;
        }
        let Some(rest) = left.checked_sub(PART + size) else {
            break;
        };
        left = rest;
        parts |= 1 << part;
    }
    let own = &members.own().process;
    let mut message = msg::Heartbeats {
        parts,
        ..Default::default()
    };
    let (mut sizes, mut beats) = (Vec::new(), Vec::new());
    for (part, entries) in &rows {
        if parts & (1 << part) == 0 {
            continue;
        }
        message.digests.extend(
            usize::try_from(*part)
                .ok()
                .and_then(|part| digests.get(part)),
        );
        sizes.push(u8::try_from(entries.len()).unwrap_or(u8::MAX));
        beats.extend(
            entries
                .iter()
                .map(|entry| match entry.member.process == *own {
                    true => Beat::at(now).0,
                    false => entry.beat.map_or(0, |beat| beat.0),
                }),
        );
    }
    message.sizes = sizes.into();
    message.heartbeats = beats.into();
    (parts != 0).then_some(message)
}

/// Merges the beats of the parts in which both sides know the same runs; returns
/// false when the message is not valid.
pub fn merge(now: time::Mono, members: &mut member::Members, message: &msg::Heartbeats) -> bool {
    let digests = digest::parts(members);
    let rows = rows(members);
    let named: Vec<u64> = (0..digest::PARTS)
        .filter(|part| message.parts & (1 << part) != 0)
        .collect();
    let total: usize = message.sizes.iter().map(|size| usize::from(*size)).sum();
    if message.digests.len() != named.len()
        || message.sizes.len() != named.len()
        || message.heartbeats.len() != total
    {
        return false;
    }
    let mut newer: Vec<(id::ProcessId, id::Incarnation, Beat)> = Vec::new();
    let mut rest: &[u8] = &message.heartbeats;
    for ((part, theirs), size) in named.iter().zip(&message.digests).zip(&message.sizes) {
        let (beats, next) = rest.split_at(usize::from(*size));
        rest = next;
        let entries = rows.get(part).map_or(&[][..], Vec::as_slice);
        let own = usize::try_from(*part).ok().and_then(|p| digests.get(p));
        if own != Some(theirs) || entries.len() != beats.len() {
            continue;
        }
        for (entry, number) in entries.iter().zip(beats) {
            if let Some(beat) = Beat::read(u32::from(*number)) {
                let member = &entry.member;
                newer.push((member.process.clone(), member.incarnation, beat));
            }
        }
    }
    for (process, incarnation, beat) in newer {
        members.beat(now, &process, incarnation, beat);
    }
    true
}
