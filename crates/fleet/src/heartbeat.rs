//! Heartbeats of all members in one byte each.
//!
//! Both sides of an exchange usually know the same members in most parts, so a
//! part's digest identifies the members whose heartbeats follow, and a member
//! takes one byte instead of a load record of about 16 bytes. Heartbeats merge
//! as a maximum per run, like reports, so late, repeated and reordered messages
//! do no harm.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::collections::BTreeMap;

use base::{hash, id, time};
use wire::msg;

use crate::{digest, member};

/// Number of heartbeat values; 0 stands for an unknown heartbeat.
const MODULUS: u64 = 255;

/// Maximum number of steps by which a newer heartbeat is ahead. With one
/// heartbeat a second this is 127 s, twice the removal timeout of a silent
/// member.
const MAX_AHEAD: u64 = MODULUS / 2;

/// Interval between two heartbeats, in microseconds.
const INTERVAL_MICROS: u64 = 1_000_000;

/// Size of the tags, the lengths and the bit set of parts, in bytes.
const FRAMING: usize = 24;

/// Size of a part's digest and member count, in bytes.
const PART_OVERHEAD: usize = 5;

/// A counter from 1 to 255 that a process advances every second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Heartbeat(u8);

impl Heartbeat {
    /// Returns the heartbeat at the time `now` of the process's own clock.
    pub fn at(now: time::Mono) -> Self {
        Self(u8::try_from(now.0 / INTERVAL_MICROS % MODULUS + 1).unwrap_or(1))
    }

    /// Decodes a heartbeat from a message; returns `None` for 0 and for numbers
    /// above 255.
    pub fn read(number: u32) -> Option<Self> {
        u8::try_from(number).ok().filter(|n| *n > 0).map(Self)
    }

    /// Returns the number that a message carries.
    pub fn number(self) -> u32 {
        u32::from(self.0)
    }

    /// Returns whether this heartbeat is newer than another of the same run.
    pub fn follows(self, other: Self) -> bool {
        let ahead = (MODULUS + u64::from(self.0) - u64::from(other.0)) % MODULUS;
        (1..=MAX_AHEAD).contains(&ahead)
    }
}

/// Returns the reporting members by part, each part in the order of process
/// ids.
fn members_by_part(members: &member::Members) -> BTreeMap<u64, Vec<&member::Entry>> {
    let mut by_part: BTreeMap<u64, Vec<&member::Entry>> = BTreeMap::new();
    for entry in members.entries() {
        if entry.state == member::State::Reported {
            let part = digest::part(entry);
            by_part.entry(part).or_default().push(entry);
        }
    }
    by_part
}

/// Encodes the heartbeats of as many parts as fit in `limit` bytes. `turn`
/// selects the parts; with a different one in each message every part is sent
/// eventually. Returns `None` if no part fits.
pub fn write(
    now: time::Mono,
    members: &member::Members,
    turn: u64,
    limit: usize,
) -> Option<msg::Heartbeats> {
    let by_part = members_by_part(members);
    let digests = digest::part_digests(members);
    let mut left = limit.checked_sub(FRAMING)?;
    let mut order: Vec<u64> = by_part.keys().copied().collect();
    order.sort_by_key(|part| hash::mix(turn, *part));
    let mut parts = 0_u64;
    for part in order {
        let size = by_part[&part].len();
        if size > usize::from(u8::MAX) {
            continue;
        }
        let Some(rest) = left.checked_sub(PART_OVERHEAD + size) else {
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
    let (mut sizes, mut heartbeats) = (Vec::new(), Vec::new());
    for (part, entries) in &by_part {
        if parts & (1 << part) == 0 {
            continue;
        }
        message.digests.extend(
            usize::try_from(*part)
                .ok()
                .and_then(|part| digests.get(part)),
        );
        sizes.push(u8::try_from(entries.len()).unwrap_or(u8::MAX));
        heartbeats.extend(
            entries
                .iter()
                .map(|entry| match entry.member.process == *own {
                    true => Heartbeat::at(now).0,
                    false => entry.heartbeat.map_or(0, |heartbeat| heartbeat.0),
                }),
        );
    }
    message.sizes = sizes.into();
    message.heartbeats = heartbeats.into();
    (parts != 0).then_some(message)
}

/// Merges the heartbeats of the parts in which both sides know the same runs;
/// returns false if the message is not valid.
pub fn merge(now: time::Mono, members: &mut member::Members, message: &msg::Heartbeats) -> bool {
    let digests = digest::part_digests(members);
    let by_part = members_by_part(members);
    let included: Vec<u64> = (0..digest::PARTS)
        .filter(|part| message.parts & (1 << part) != 0)
        .collect();
    let total: usize = message.sizes.iter().map(|size| usize::from(*size)).sum();
    if message.digests.len() != included.len()
        || message.sizes.len() != included.len()
        || message.heartbeats.len() != total
    {
        return false;
    }
    let mut received: Vec<(id::ProcessId, id::Incarnation, Heartbeat)> = Vec::new();
    let mut rest: &[u8] = &message.heartbeats;
    for ((part, theirs), size) in included.iter().zip(&message.digests).zip(&message.sizes) {
        let (heartbeats, next) = rest.split_at(usize::from(*size));
        rest = next;
        let entries = by_part.get(part).map_or(&[][..], Vec::as_slice);
        let own = usize::try_from(*part).ok().and_then(|p| digests.get(p));
        if own != Some(theirs) || entries.len() != heartbeats.len() {
            continue;
        }
        for (entry, number) in entries.iter().zip(heartbeats) {
            if let Some(heartbeat) = Heartbeat::read(u32::from(*number)) {
                let member = &entry.member;
                received.push((member.process.clone(), member.incarnation, heartbeat));
            }
        }
    }
    for (process, incarnation, heartbeat) in received {
        members.apply_heartbeat(now, &process, incarnation, heartbeat);
    }
    true
}
