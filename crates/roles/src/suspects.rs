//! Quarantine entries between the messages and [`admit::quarantine`].

use std::collections::{BTreeMap, BTreeSet};

use admit::quarantine::{Crash, CrashNumber, Entry, Quarantine, Verdict};
use base::{id, span, time};
use wire::msg;

/// Writes an entry as a message; `service` is empty when it is not known.
pub fn to_message(entry: &Entry, service: &str) -> msg::Suspect {
    let crash = |target: &id::TargetId, number: CrashNumber, repeated| msg::Crash {
        target: target.to_string(),
        number: number.0,
        repeated,
    };
    msg::Suspect {
        fingerprint: entry.fingerprint.0,
        service: service.to_owned(),
        crashes: entry
            .crashes
            .iter()
            .map(|c| crash(&c.target, c.number, c.repeated))
            .collect(),
        excused: entry
            .cleared
            .iter()
            .map(|(target, number)| crash(target, *number, false))
            .collect(),
        remaining: u32::try_from(entry.remaining.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Reads an entry from a message; crashes of targets whose ids are not valid
/// are left out.
pub fn from_message(suspect: &msg::Suspect) -> Entry {
    let crashes = suspect.crashes.iter().filter_map(crash);
    let excused = suspect.excused.iter().filter_map(crash);
    Entry {
        fingerprint: id::Fingerprint(suspect.fingerprint),
        crashes: crashes.collect(),
        cleared: excused
            .map(|crash| (crash.target, crash.number))
            .collect::<BTreeMap<_, _>>(),
        remaining: span::Span::from_millis(suspect.remaining.into()),
        verdict: Verdict::Clear,
    }
}

fn crash(crash: &msg::Crash) -> Option<Crash> {
    Some(Crash {
        target: crash.target.parse().ok()?,
        number: CrashNumber(crash.number),
        repeated: crash.repeated,
    })
}

/// Longest time for which an entry is remembered outside its agents, which
/// apply the term of their service.
pub const LONGEST: span::Span = span::Span::from_secs(24 * 3600);

/// Returns the fingerprints that are refused, as far as these entries tell.
pub fn judge(suspects: &[msg::Suspect]) -> BTreeSet<id::Fingerprint> {
    let now = time::Mono::default();
    let mut quarantine = Quarantine::new(LONGEST, id::Incarnation(0));
    for suspect in suspects {
        quarantine.merge(now, &from_message(suspect));
    }
    suspects
        .iter()
        .map(|suspect| id::Fingerprint(suspect.fingerprint))
        .filter(|print| matches!(quarantine.check(now, *print), Verdict::Refused { .. }))
        .collect()
}
