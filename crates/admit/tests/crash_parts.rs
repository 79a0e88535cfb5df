//! Tests that a prompt part which crashes targets is refused, and no other.

use std::collections::{BTreeMap, BTreeSet};

use admit::{
    crash_parts::{Change, Crash, CrashParts, RefusedParts, Report},
    part_set::PartSet,
};
use base::{
    id::{PartHash, ServiceId},
    span::Span,
    time::Mono,
};

/// First part, which all requests have.
const FIRST: u64 = 1;

/// Second part, which the requests of one caller have.
const SECOND: u64 = 2;

/// Part that crashes targets.
const DEADLY: u64 = 3;

/// Part of requests that have no other part in common with those above.
const OTHER: u64 = 9;

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn service() -> ServiceId {
    "model".parse().expect("an id")
}

/// A crash of a target with no requests.
fn empty_crash(target: u64, millis: u64) -> Crash {
    Crash {
        target,
        service: service(),
        at: at(millis),
        suspects: BTreeMap::new(),
        prompts: BTreeSet::new(),
    }
}

fn set(parts: &[u64]) -> PartSet {
    parts.iter().map(|part| PartHash(*part)).collect()
}

/// Records a crash of a target with the parts of a request that the tracker's
/// router sent at `sent`.
fn crash_sent(tracker: &mut CrashParts, sent: u64, millis: u64, target: u64, parts: &[u64]) {
    let sent = at(sent);
    let levels = tracker.levels(sent, parts.iter().map(|part| PartHash(*part)));
    let mut crash = empty_crash(target, millis);
    crash.add_prompt(parts.iter().map(|part| PartHash(*part)), &levels);
    tracker.record_crash(at(millis), sent, crash);
}

/// Records a crash 50 ms after the request was sent.
fn crash(tracker: &mut CrashParts, millis: u64, target: u64, parts: &[u64]) {
    crash_sent(tracker, millis - 50, millis, target, parts);
}

fn answer(tracker: &mut CrashParts, begun: u64, parts: &[u64]) {
    let parts = parts.iter().map(|part| PartHash(*part));
    tracker.record_answered(at(begun + 500), &service(), at(begun), parts);
}

/// Answers requests of no part in question, from `begun` on.
fn answer_others(tracker: &mut CrashParts, begun: u64) {
    for number in 0..3 {
        answer(tracker, begun + number, &[OTHER]);
    }
}

fn refuses(tracker: &mut CrashParts, millis: u64, parts: &[u64]) -> bool {
    let parts = parts.iter().map(|part| PartHash(*part));
    tracker.refuses(at(millis), parts, 1, 0.5).is_some()
}

/// A tracker that refuses the part since 4 s after the first of three crashes.
fn refusing() -> CrashParts {
    let mut tracker = CrashParts::default();
    for number in 0..3 {
        let millis = 1_000 + number * 1_000;
        crash(&mut tracker, millis, number, &[FIRST, SECOND, DEADLY]);
        answer_others(&mut tracker, millis + 100);
        answer(&mut tracker, millis + 200, &[FIRST, SECOND]);
    }
    tracker.evaluate(at(4_000));
    tracker
}

#[test]
fn other_contents() {
    let mut tracker = refusing();
    assert!(refuses(&mut tracker, 4_001, &[FIRST, SECOND, DEADLY]));
    assert!(refuses(&mut tracker, 4_001, &[OTHER, DEADLY]));
    assert!(!refuses(&mut tracker, 4_001, &[FIRST, SECOND]));
    assert_eq!(tracker.refused().count(), 1);
}

/// Two crashes may have any part in common by chance.
#[test]
fn two_crashes() {
    let mut tracker = CrashParts::default();
    for number in 1..3 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[FIRST, DEADLY]);
        answer_others(&mut tracker, millis + 100);
    }
    tracker.evaluate(at(10_000));
    assert_eq!(tracker.refused().count(), 0);
}

/// Targets crash faster than answers to other requests with a part that most
/// requests have show that it is sound.
#[test]
fn popular_part() {
    let mut tracker = CrashParts::default();
    for number in 0..5 {
        let millis = 1_000 + number * 100;
        crash(&mut tracker, millis, number, &[FIRST, 100 + number]);
        tracker.evaluate(at(millis));
    }
    answer_others(&mut tracker, 1_300);
    tracker.evaluate(at(1_900));
    answer(&mut tracker, 1_500, &[FIRST]);
    tracker.evaluate(at(3_000));
    assert_eq!(tracker.refused().count(), 0);
}

/// All targets crash together: every part was in use at many crashes, and those
/// that are answered first afterwards say nothing of the others. Some requests
/// were sent to targets whose crash had not been noticed yet.
#[test]
fn all_targets_down() {
    let mut tracker = CrashParts::default();
    for target in 0..50 {
        let millis = 1_000 + target;
        crash_sent(&mut tracker, millis - 1, millis, target, &[FIRST, SECOND]);
    }
    tracker.evaluate(at(3_000));
    answer_others(&mut tracker, 4_000);
    tracker.evaluate(at(5_000));
    assert_eq!(tracker.refused().count(), 0);
}

/// Groups of requests with the part crash as many targets at the same moment, while the
/// other targets answer. Five crashes suffice, before the next group comes.
#[test]
fn bursts() {
    for (size, groups) in [(5, 1), (6, 1), (30, 1), (3, 2), (4, 2)] {
        let mut tracker = CrashParts::default();
        let mut last = 0;
        for group in 0..groups {
            last = 1_000 + group * 3_500;
            for number in 0..size {
                let target = group * 100 + number;
                let parts = [FIRST, DEADLY, 200 + target % 3];
                crash_sent(&mut tracker, last - 50, last + number, target, &parts);
            }
            for step in 0..4 {
                answer(&mut tracker, last + 200 + step * 300, &[FIRST, OTHER]);
                tracker.evaluate(at(last + 700 + step * 200));
            }
        }
        let label = format!("{groups} groups of {size}");
        assert!(!refuses(&mut tracker, last + 1_400, &[DEADLY]), "{label}");
        tracker.evaluate(at(last + 1_700));
        assert!(refuses(&mut tracker, last + 1_701, &[DEADLY]), "{label}");
        assert!(!refuses(&mut tracker, last + 1_702, &[FIRST, OTHER]));
    }
}

/// All targets crash three times, some seconds apart, and are back after two: no part
/// is at fault, though some were in use at many crashes.
#[test]
fn all_targets_down_again() {
    let mut tracker = CrashParts::default();
    for event in 0..3 {
        let millis = 1_000 + event * 6_000;
        for target in 0..12 {
            let parts = [FIRST, SECOND, 100 + target % 2];
            crash_sent(
                &mut tracker,
                millis - 50,
                millis + target,
                event * 100 + target,
                &parts,
            );
        }
        for step in 0..30 {
            let now = millis + 100 + step * 100;
            if step > 20 {
                answer(&mut tracker, now, &[FIRST, SECOND, 100 + step % 3]);
                answer(&mut tracker, now, &[OTHER]);
            }
            tracker.evaluate(at(now));
            assert_eq!(tracker.refused().count(), 0);
        }
    }
}

/// The targets of a data centre crash together, the others go on. Some of the crashed
/// ones ran no request with the part.
#[test]
fn part_of_targets_down() {
    let mut tracker = CrashParts::default();
    for target in 0..20 {
        let part = if target % 3 == 0 {
            100 + target
        } else {
            SECOND
        };
        crash_sent(&mut tracker, 950, 1_000 + target, target, &[FIRST, part]);
    }
    for step in 0..40 {
        answer(&mut tracker, 1_100 + step * 100, &[FIRST, OTHER]);
        tracker.evaluate(at(1_600 + step * 100));
    }
    assert_eq!(tracker.refused().count(), 0);
}

/// A busy router reads reports seconds late, so that targets which crashed together
/// seem to have crashed one after the other.
#[test]
fn late_reports() {
    let mut tracker = CrashParts::default();
    for target in 0..10 {
        let millis = 1_000 + target * 700;
        let mut crash = empty_crash(target, millis);
        crash.add_prompt([PartHash(FIRST)].into_iter(), &[1]);
        let report = Report {
            crashes: vec![crash],
            ..Report::default()
        };
        tracker.merge(at(millis), report);
        answer_others(&mut tracker, millis + 100);
    }
    tracker.evaluate(at(9_000));
    assert_eq!(tracker.refused().count(), 0);
}

/// A request with the part is answered after the second of three crashes.
#[test]
fn answered_between() {
    let mut tracker = CrashParts::default();
    for number in 1..4 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[FIRST, SECOND]);
        answer_others(&mut tracker, millis + 100);
    }
    answer(&mut tracker, 2_500, &[FIRST, SECOND]);
    answer_others(&mut tracker, 3_200);
    tracker.evaluate(at(4_500));
    assert_eq!(tracker.refused().count(), 0);
}

/// Targets that crash whatever they run answer no request of the service, so that
/// no part is the cause.
#[test]
fn nothing_answered() {
    let mut tracker = CrashParts::default();
    answer_others(&mut tracker, 200);
    for target in 0..50 {
        let millis = 1_000 + target * 300;
        crash(&mut tracker, millis, target, &[FIRST, SECOND]);
        tracker.evaluate(at(millis));
    }
    tracker.evaluate(at(18_000));
    assert_eq!(tracker.refused().count(), 0);
}

/// Parts that are always used together cannot be told apart: only prompts with all
/// of them are refused, and each of them stays in use in other prompts.
#[test]
fn always_together() {
    let mut tracker = CrashParts::default();
    for number in 1..6 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[FIRST, SECOND, DEADLY]);
        answer_others(&mut tracker, millis + 100);
        tracker.evaluate(at(millis + 900));
    }
    tracker.evaluate(at(7_000));
    let refused: Vec<_> = tracker.refused().collect();
    assert_eq!(refused, [&set(&[FIRST, SECOND, DEADLY])]);
    assert!(refuses(
        &mut tracker,
        7_001,
        &[FIRST, SECOND, DEADLY, OTHER]
    ));
    for part in [FIRST, SECOND, DEADLY] {
        assert!(!refuses(&mut tracker, 7_002, &[part, OTHER]), "{part}");
    }
}

/// Of two parts that were always used together one is answered without the other,
/// which then has to be the cause.
#[test]
fn answered_companion() {
    let mut tracker = CrashParts::default();
    for number in 1..4 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[DEADLY, SECOND]);
        answer_others(&mut tracker, millis + 100);
    }
    tracker.evaluate(at(4_000));
    assert!(refuses(&mut tracker, 4_001, &[DEADLY, SECOND]));
    assert!(!refuses(&mut tracker, 4_001, &[FIRST, SECOND]));
    assert!(!refuses(&mut tracker, 4_001, &[DEADLY, OTHER]));
    answer(&mut tracker, 50_000, &[FIRST, SECOND]);
    tracker.evaluate(at(50_600));
    assert!(refuses(&mut tracker, 50_601, &[DEADLY, OTHER]));
    assert!(!refuses(&mut tracker, 50_601, &[FIRST, SECOND]));
}

/// A crash without one of two parts that had always been used together shows that
/// the other one is the cause.
#[test]
fn crash_without_companion() {
    let mut tracker = CrashParts::default();
    for number in 1..4 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[DEADLY, SECOND]);
        answer_others(&mut tracker, millis + 100);
    }
    tracker.evaluate(at(4_000));
    crash(&mut tracker, 5_000, 4, &[DEADLY, 20]);
    tracker.evaluate(at(6_000));
    let refused: Vec<_> = tracker.refused().collect();
    assert_eq!(refused, [&set(&[DEADLY])]);
}

/// A sound part was in flight, in requests of its own, at each crash that another
/// part caused. It was answered before the crashes, so the other part is the cause.
#[test]
fn known_companion() {
    let mut tracker = CrashParts::default();
    answer(&mut tracker, 100, &[FIRST, SECOND]);
    for number in 1..4 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[DEADLY, 20 + number]);
        crash(&mut tracker, millis, number, &[FIRST, SECOND]);
        answer_others(&mut tracker, millis + 100);
    }
    tracker.evaluate(at(4_000));
    let refused: Vec<_> = tracker.refused().collect();
    assert_eq!(refused, [&set(&[DEADLY])]);
}

/// Of the first crash only a sound request beside the one that caused it is known. It
/// shares a part with those that crash targets later, which was answered before; the
/// router itself, or another one, knows that.
#[test]
fn partial_first_report() {
    for elsewhere in [false, true] {
        let mut tracker = CrashParts::default();
        let mut other = CrashParts::default();
        let knowing = if elsewhere { &mut other } else { &mut tracker };
        answer(knowing, 100, &[FIRST, SECOND]);
        for number in 1..6 {
            let millis = number * 450;
            let parts = match number {
                1 => [FIRST, SECOND],
                _ => [DEADLY, SECOND],
            };
            crash(&mut tracker, millis, number, &parts);
            answer_others(&mut tracker, millis + 20);
            for step in 0..2 {
                let now = millis + 100 + step * 200;
                other.merge(at(now), tracker.report(at(now)));
                tracker.merge(at(now), other.report(at(now)));
                tracker.evaluate(at(now));
            }
        }
        tracker.evaluate(at(4_000));
        assert!(refuses(&mut tracker, 4_001, &[DEADLY, SECOND]));
        assert!(!refuses(&mut tracker, 4_001, &[FIRST, SECOND]));
    }
}

/// The same, but the shared part was never answered: the parts at the later crashes
/// cannot be told apart, until one more crash is without one of them.
#[test]
fn partial_first_unanswered() {
    let mut tracker = CrashParts::default();
    for number in 1..6 {
        let millis = number * 450;
        let parts = match number {
            1 => [FIRST, SECOND],
            _ => [DEADLY, SECOND],
        };
        crash(&mut tracker, millis, number, &parts);
        answer_others(&mut tracker, millis + 20);
        answer(&mut tracker, millis + 30, &[FIRST]);
        tracker.evaluate(at(millis + 300));
    }
    tracker.evaluate(at(4_000));
    assert!(refuses(&mut tracker, 4_001, &[DEADLY, SECOND]));
    assert!(!refuses(&mut tracker, 4_001, &[FIRST, SECOND]));
    assert!(!refuses(&mut tracker, 4_001, &[FIRST, DEADLY]));
    let mut document = tracker.clone();
    crash(&mut document, 5_000, 6, &[FIRST, SECOND]);
    document.evaluate(at(6_000));
    assert!(refuses(&mut document, 6_001, &[FIRST, SECOND]));
    answer(&mut tracker, 5_000, &[FIRST, SECOND]);
    assert!(refuses(&mut tracker, 6_001, &[FIRST, DEADLY]));
}

/// A part begins to crash targets after it was sound, in prompts of several chats
/// that were never answered.
#[test]
fn new_chats() {
    let mut tracker = CrashParts::default();
    answer(&mut tracker, 100, &[FIRST, DEADLY]);
    for number in 1..5 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[DEADLY, 20 + number / 2]);
        answer_others(&mut tracker, millis + 100);
        tracker.evaluate(at(millis + 900));
    }
    tracker.evaluate(at(6_000));
    assert!(refuses(&mut tracker, 6_001, &[DEADLY, OTHER]));
}

/// A router that knows fewer of the crashes sends the refusal of more parts: the
/// refusal of fewer parts stays, and replaces the other one there.
#[test]
fn wider_refusal() {
    let mut narrow = CrashParts::default();
    narrow.adopt_stored(at(1_000), set(&[DEADLY]));
    let mut wide = CrashParts::default();
    wide.adopt_stored(at(1_000), set(&[DEADLY, SECOND]));
    assert!(!refuses(&mut wide, 1_001, &[DEADLY, OTHER]));
    narrow.merge(at(1_100), wide.report(at(1_100)));
    wide.merge(at(1_100), narrow.report(at(1_100)));
    for tracker in [narrow, wide] {
        let refused: Vec<_> = tracker.refused().collect();
        assert_eq!(refused, [&set(&[DEADLY])]);
    }
}

/// Of the latest crash only a request beside the one that caused it is known, which
/// has another of its parts.
#[test]
fn partial_reports() {
    let mut tracker = CrashParts::default();
    for number in 1..4 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[FIRST, SECOND, DEADLY]);
        answer_others(&mut tracker, millis + 100);
    }
    crash(&mut tracker, 3_900, 4, &[FIRST, SECOND]);
    answer_others(&mut tracker, 3_910);
    tracker.evaluate(at(4_000));
    let refused: Vec<_> = tracker.refused().collect();
    assert_eq!(refused, [&set(&[FIRST, SECOND, DEADLY])]);
    assert!(!refuses(&mut tracker, 4_001, &[FIRST, SECOND, OTHER]));
}

/// The part begins to crash targets after it was sound for a long time.
#[test]
fn sound_before() {
    let mut tracker = CrashParts::default();
    answer(&mut tracker, 900, &[FIRST, DEADLY]);
    for number in 1..4 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[FIRST, DEADLY]);
        answer_others(&mut tracker, millis + 100);
        answer(&mut tracker, millis + 200, &[FIRST]);
    }
    tracker.evaluate(at(4_000));
    assert!(refuses(&mut tracker, 4_001, &[DEADLY]));
}

/// After the term one request tries the part: another crash starts the term
/// again, and an answer ends the refusal.
#[test]
fn trial_after_term() {
    let mut tracker = refusing();
    assert!(refuses(&mut tracker, 63_999, &[DEADLY]));
    assert!(!refuses(&mut tracker, 64_001, &[DEADLY]));
    assert!(
        refuses(&mut tracker, 64_002, &[DEADLY]),
        "a trial is under way"
    );
    crash(&mut tracker, 64_500, 7, &[FIRST, DEADLY]);
    assert!(refuses(&mut tracker, 80_000, &[DEADLY]));
    assert!(!refuses(&mut tracker, 124_501, &[DEADLY]));
    answer(&mut tracker, 124_700, &[FIRST, DEADLY]);
    assert!(!refuses(&mut tracker, 125_300, &[DEADLY]));
    let changes = tracker.take_changes();
    assert_eq!(changes.last(), Some(&Change::Admitted(set(&[DEADLY]))));
}

/// Of many routers about one at a time tries a part after its term.
#[test]
fn trials_of_fleet() {
    let allowed = (0..1_000).filter(|number| {
        let mut tracker = refusing();
        let random = f64::from(*number) / 1_000.0;
        let parts = [PartHash(DEADLY)].into_iter();
        tracker.refuses(at(64_001), parts, 100, random).is_none()
    });
    assert_eq!(allowed.count(), 10);
}

/// A router that has just started has seen no crash and no answer.
#[test]
fn started_router() {
    let report = refusing().report(at(4_000));
    let mut started = CrashParts::default();
    started.merge(at(4_000), report);
    assert!(refuses(&mut started, 4_001, &[FIRST, DEADLY]));
    assert!(!refuses(&mut started, 4_001, &[FIRST, SECOND]));
    let mut stored = CrashParts::default();
    stored.adopt_stored(at(10_000), set(&[DEADLY]));
    assert!(refuses(&mut stored, 10_001, &[DEADLY]));
    stored.lift(at(10_001), &set(&[DEADLY]));
    assert!(!refuses(&mut stored, 10_002, &[DEADLY]));
}

/// Another router refuses a part that this one has answers to: it keeps sending,
/// and tells the other one.
#[test]
fn contradicted_refusal() {
    let mut tracker = CrashParts::default();
    answer(&mut tracker, 5_000, &[SECOND]);
    let refused = RefusedParts {
        parts: set(&[SECOND]),
        crashed: at(4_000),
        until: at(65_000),
    };
    let mut other = CrashParts::default();
    other.adopt(at(5_600), refused);
    assert!(refuses(&mut other, 5_601, &[SECOND]));
    tracker.merge(at(5_600), other.report(at(5_600)));
    assert!(!refuses(&mut tracker, 5_601, &[SECOND]));
    other.merge(at(5_700), tracker.report(at(5_700)));
    assert!(!refuses(&mut other, 5_701, &[SECOND]));
}

/// Targets crash for another reason, and requests with a part are answered between
/// the crashes at another router only.
#[test]
fn answered_elsewhere() {
    let mut tracker = CrashParts::default();
    let mut other = CrashParts::default();
    for number in 1..4 {
        let millis = number * 1_000;
        crash(&mut tracker, millis, number, &[FIRST, SECOND]);
        answer_others(&mut tracker, millis + 100);
        other.merge(at(millis + 100), tracker.report(at(millis + 100)));
        answer(&mut other, millis + 200, &[SECOND]);
        tracker.merge(at(millis + 800), other.report(at(millis + 800)));
    }
    tracker.evaluate(at(4_500));
    let refused: Vec<_> = tracker.refused().collect();
    assert_eq!(refused, [&set(&[FIRST])]);
}

/// What is remembered is limited, whatever crashes and whatever is told.
#[test]
fn limited_memory() {
    let mut tracker = CrashParts::default();
    for target in 0..2_000 {
        let millis = 1_000 + target * 10;
        let parts: Vec<u64> = (0..50).map(|part| target * 50 + part).collect();
        crash(&mut tracker, millis, target, &parts);
    }
    let refused = (0..5_000).map(|part| RefusedParts {
        parts: set(&[part]),
        crashed: at(20_000),
        until: at(90_000),
    });
    refused.for_each(|refused| tracker.adopt(at(21_000), refused));
    let report = tracker.report(at(21_000));
    assert!(report.crashes.len() <= 128);
    assert!(report.refused.len() <= 1_024);
    let parts: BTreeMap<_, _> = report
        .crashes
        .into_iter()
        .flat_map(|crash| crash.suspects)
        .collect();
    assert!(parts.len() <= 128 * 24);
}

/// A refusal is lifted. The crashes that led to it are still known here and at other
/// routers, which have not learned of the lift, and send both.
#[test]
fn lifted_refusal() {
    let mut tracker = refusing();
    let mut other = tracker.clone();
    tracker.lift(at(4_500), &set(&[DEADLY]));
    for millis in (4_600..9_000).step_by(200) {
        answer_others(&mut tracker, millis);
        tracker.evaluate(at(millis));
        let mut report = other.report(at(millis));
        for refused in &mut report.refused {
            // Each datagram makes the crash appear some time later.
            refused.crashed = refused.crashed + Span::from_millis(200);
        }
        tracker.merge(at(millis), report.clone());
        other.merge(at(millis), report);
        assert!(!refuses(&mut tracker, millis, &[FIRST, SECOND, DEADLY]));
    }
    for number in 0..3 {
        let millis = 10_000 + number * 1_000;
        crash(&mut tracker, millis, 10 + number, &[FIRST, SECOND, DEADLY]);
        answer_others(&mut tracker, millis + 100);
        answer(&mut tracker, millis + 200, &[FIRST, SECOND]);
    }
    tracker.evaluate(at(13_100));
    assert!(
        refuses(&mut tracker, 13_101, &[DEADLY]),
        "new crashes count"
    );
}

/// The row of a set of parts is removed because fewer of them are refused now: the
/// crashes go on to count.
#[test]
fn narrowed_row() {
    let mut tracker = CrashParts::default();
    tracker.adopt_stored(at(1_000), set(&[DEADLY, SECOND]));
    tracker.adopt_stored(at(1_100), set(&[DEADLY]));
    tracker.lift(at(1_200), &set(&[DEADLY, SECOND]));
    assert!(refuses(&mut tracker, 1_300, &[DEADLY, SECOND]));
    assert!(!refuses(&mut tracker, 1_300, &[SECOND]));
}
