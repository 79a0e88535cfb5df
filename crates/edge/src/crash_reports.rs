//! Converts reports of crashes and refused prompt parts to and from the messages
//! between routers, which carry ages instead of times.

use std::{
    collections::{BTreeMap, BTreeSet},
    iter,
};

use admit::{
    crash_parts::{self, Crash, Report, Suspect},
    part_set::PartSet,
    poison::{CrashReport, RefusedContent},
};
use base::{id, span, time};

use crate::update::{
    self, ClearedPart, CrashEntry, MAX_REFUSED, MAX_SUSPECTS, PartCrash, Prompt, RefusedPart,
    SuspectPart, Update,
};

/// Encodes a crash of a content.
pub fn write_content(now: time::Mono, report: &CrashReport) -> CrashEntry {
    let is_known = report.sent > time::Mono::default();
    CrashEntry {
        content: report.fingerprint.0,
        target: report.target,
        age: millis(now.since(report.at)),
        flight: is_known.then(|| millis(report.at.since(report.sent))),
    }
}

/// Decodes a crash of a content. Routers of earlier versions do not tell when the
/// request was sent.
pub fn read_content(now: time::Mono, entry: &CrashEntry) -> CrashReport {
    let at = before(now, entry.age);
    CrashReport {
        fingerprint: id::Fingerprint(entry.content),
        target: entry.target,
        sent: entry
            .flight
            .map_or(time::Mono::default(), |flight| before(at, flight)),
        at,
    }
}

/// Encodes a content that may be refused.
pub fn write_refused(now: time::Mono, refused: &RefusedContent) -> update::RefusedContent {
    update::RefusedContent {
        content: refused.fingerprint.0,
        targets: refused.targets.clone(),
        age: millis(now.since(refused.crashed)),
    }
}

/// Decodes a content that may be refused.
pub fn read_refused(now: time::Mono, entry: &update::RefusedContent) -> RefusedContent {
    RefusedContent {
        fingerprint: id::Fingerprint(entry.content),
        targets: entry.targets.clone(),
        crashed: before(now, entry.age),
    }
}

/// Puts a report into an update, as much of it as fits. The refused parts that do
/// not fit in one update are sent in turn; `round` numbers the updates.
pub fn write(update: &mut Update, now: time::Mono, report: &Report, round: usize) {
    let mut space = MAX_SUSPECTS;
    let uses = count_uses(report);
    for crash in &report.crashes {
        let crash = crash.limited(space, |part| uses.get(&part).copied());
        space -= crash.suspects.len();
        if !crash.suspects.is_empty() {
            update.part_crashes.push(write_crash(now, &crash));
        }
    }
    let groups = report.refused.chunks(MAX_REFUSED);
    let group = round % groups.len().max(1);
    let refused = groups.skip(group).take(1).flatten();
    update.refused_parts = refused
        .map(|refused| {
            let mut parts = refused.parts.parts().map(|part| part.0);
            RefusedPart {
                part: parts.next().unwrap_or_default(),
                age: millis(now.since(refused.crashed)),
                remaining: millis(refused.until.since(now)),
                others: parts.collect(),
            }
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

/// Returns for each suspect whether no answer is known to a request with it, and at
/// how many crashes it was in use. If prompts have to be left out, those of the
/// likeliest causes have to stay, or the parts in the others seem to be the cause.
fn count_uses(report: &Report) -> BTreeMap<id::PartHash, (bool, u32)> {
    let mut uses: BTreeMap<id::PartHash, (bool, u32)> = BTreeMap::new();
    for part in report
        .crashes
        .iter()
        .flat_map(|crash| crash.suspects.keys())
    {
        uses.entry(*part).or_insert((true, 0)).1 += 1;
    }
    for cleared in &report.cleared {
        if let Some(uses) = uses.get_mut(&cleared.part) {
            uses.0 = false;
        }
    }
    uses
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
                    prompts: read_prompts(entry),
                })
            })
            .collect(),
        refused: refused
            .map(|entry| crash_parts::RefusedParts {
                parts: iter::once(entry.part)
                    .chain(entry.others.iter().copied())
                    .map(id::PartHash)
                    .collect(),
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

fn write_crash(now: time::Mono, crash: &Crash) -> PartCrash {
    let index = |part| crash.suspects.keys().position(|known| *known == part);
    let prompt = |prompt: &PartSet| Prompt {
        suspects: prompt
            .parts()
            .filter_map(|part| u32::try_from(index(part)?).ok())
            .collect(),
    };
    let suspects = crash.suspects.iter();
    PartCrash {
        target: crash.target,
        service: crash.service.to_string(),
        age: millis(now.since(crash.at)),
        suspects: suspects
            .map(|(part, suspect)| SuspectPart {
                part: part.0,
                index: suspect.index,
                level: suspect.level,
            })
            .collect(),
        prompts: crash.prompts.iter().map(prompt).collect(),
    }
}

/// Reads the prompts of a crash. Routers of earlier versions send none: then each
/// part counts as a prompt.
fn read_prompts(entry: &PartCrash) -> BTreeSet<PartSet> {
    let part = |suspect: &SuspectPart| id::PartHash(suspect.part);
    if entry.prompts.is_empty() {
        return entry.suspects.iter().map(|it| part(it).into()).collect();
    }
    let suspect = |index: &u32| entry.suspects.get(usize::try_from(*index).ok()?);
    let prompts = entry.prompts.iter();
    prompts
        .map(|prompt| {
            prompt
                .suspects
                .iter()
                .filter_map(suspect)
                .map(part)
                .collect()
        })
        .collect()
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
