//! Converts reports of crashes and refused prompt parts to and from the messages
//! between routers, which carry ages instead of times.

use admit::crash_parts::{self, Report, Suspect};
use base::{id, span, time};

use crate::update::{
    ClearedPart, MAX_REFUSED, MAX_SUSPECTS, PartCrash, RefusedPart, SuspectPart, Update,
};

/// Puts a report into an update, as much of it as fits. The refused parts that do
/// not fit in one update are sent in turn; `round` numbers the updates.
pub fn write(update: &mut Update, now: time::Mono, report: &Report, round: usize) {
    let mut space = MAX_SUSPECTS;
    for crash in &report.crashes {
        let mut entry = PartCrash {
            target: crash.target,
            service: crash.service.to_string(),
            age: millis(now.since(crash.at)),
            suspects: Vec::new(),
        };
        let suspects = crash.suspects.iter().take(space);
        entry.suspects = suspects
            .map(|(part, suspect)| SuspectPart {
                part: part.0,
                index: suspect.index,
                level: suspect.level,
            })
            .collect();
        space -= entry.suspects.len();
        if !entry.suspects.is_empty() {
            update.part_crashes.push(entry);
        }
    }
    let groups = report.refused.chunks(MAX_REFUSED);
    let group = round % groups.len().max(1);
    let refused = groups.skip(group).take(1).flatten();
    update.refused_parts = refused
        .map(|refused| RefusedPart {
            part: refused.part.0,
            age: millis(now.since(refused.crashed)),
            remaining: millis(refused.until.since(now)),
        })
        .collect();
    let cleared = report.cleared.iter().take(MAX_REFUSED);
    update.cleared_parts = cleared
        .map(|cleared| ClearedPart {
            part: cleared.part.0,
            age: millis(now.since(cleared.answered)),
        })
        .collect();
}

/// Reads the report of an update. Crashes with a malformed service are left out.
pub fn read(update: &Update, now: time::Mono) -> Report {
    let crashes = update.part_crashes.iter();
    let refused = update.refused_parts.iter();
    let cleared = update.cleared_parts.iter();
    Report {
        crashes: crashes
            .filter_map(|entry| {
                Some(crash_parts::Crash {
                    target: entry.target,
                    service: entry.service.parse().ok()?,
                    at: before(now, entry.age),
                    suspects: entry.suspects.iter().map(suspected).collect(),
                })
            })
            .collect(),
        refused: refused
            .map(|entry| crash_parts::RefusedPart {
                part: id::PartHash(entry.part),
                crashed: before(now, entry.age),
                until: now + span::Span::from_millis(entry.remaining.into()),
            })
            .collect(),
        cleared: cleared
            .map(|entry| crash_parts::ClearedPart {
                part: id::PartHash(entry.part),
                answered: before(now, entry.age),
            })
            .collect(),
    }
}

fn suspected(suspect: &SuspectPart) -> (id::PartHash, Suspect) {
    let entry = Suspect {
        index: suspect.index,
        level: suspect.level,
    };
    (id::PartHash(suspect.part), entry)
}

fn millis(age: span::Span) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

fn before(now: time::Mono, millis: u32) -> time::Mono {
    let age = span::Span::from_millis(millis.into());
    time::Mono(now.0.saturating_sub(age.as_micros()))
}
