//! Decides whether crashes at the same moment show that a prompt part is their cause.
//!
//! Load pattern: several requests with the part come at once, at several routers, and
//! crash a target each; the next ones come seconds later, as many at once. Crashes
//! at one moment do not follow one another, so that three groups would be needed.
//! Against it: all targets, or those of a data centre, crash together and no part is
//! the cause. Then the targets that are left have no work of their own for seconds,
//! or some of the crashed ones ran no request with the part.

use std::collections::BTreeMap;

use base::{span, time};

/// Number of crashes from which fewer than three steps suffice: after the fifth one
/// only a few more requests with the part may reach targets.
const BURST_CRASHES: usize = 5;

/// Time between two crashes from which they are not of one moment.
const MOMENT: span::Span = span::Span::from_millis(500);

/// Time after the fifth crash in which other requests have to be answered, and
/// requests with the part would be. Routers have three seconds to refuse the part.
const SETTLE_TIME: span::Span = span::Span::from_millis(1_500);

/// Number of other requests that have to be answered in that time.
const MIN_SURVIVALS: u32 = 2;

/// Of so many crashes with the part one may be without it: another target may crash at
/// the same time, or its router may not have noticed the request with the part.
const CRASHES_PER_OTHER: usize = 5;

/// If there are more crashes than this for each one with the part, at the same moments
/// and without it, all targets crash for another reason, and it was in use at one of
/// them each time.
const MAX_OTHERS: usize = 5;

/// Length of a slot in which answers are counted, in microseconds.
const SLOT_MICROS: u64 = 100_000;

/// Number of slots that are kept.
const MAX_SLOTS: usize = 60;

/// A crash at which the part was in use.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// When the target crashed.
    pub at: time::Mono,
    /// When the router came to know of it.
    pub known: time::Mono,
    /// How many crashes of the part had followed one another with this one.
    pub level: u32,
}

/// How many requests of a service began to be answered in each of the latest slots.
#[derive(Clone, Debug, Default)]
pub struct Answers(BTreeMap<u64, u32>);

impl Answers {
    /// Counts an answer.
    pub fn record(&mut self, answered: time::Mono) {
        *self.0.entry(slot(answered)).or_default() += 1;
        while self.0.len() > MAX_SLOTS {
            self.0.pop_first();
        }
    }

    /// Returns the number of answers after the slot of `from`, up to the one of `until`.
    fn count(&self, from: time::Mono, until: time::Mono) -> u32 {
        let slots = self
            .0
            .range(slot(from) + 1..=slot(until).max(slot(from) + 1));
        slots.map(|(_, count)| count).sum()
    }
}

fn slot(at: time::Mono) -> u64 {
    at.0 / SLOT_MICROS
}

/// Returns whether targets crashed at the same moments as a part's crashes, so many
/// that the part does not explain them; `others` are the crashes without it.
pub fn is_bystander(steps: &[time::Mono], others: impl Iterator<Item = time::Mono>) -> bool {
    let is_near = |at: time::Mono| {
        let near = |step: &time::Mono| at.since(*step).max(step.since(at)) < MOMENT;
        steps.iter().any(near)
    };
    others.filter(|at| is_near(*at)).count() > steps.len() * MAX_OTHERS
}

/// Returns whether there are enough crashes of a part for [`is_cause`]; `others` is the
/// number of crashes of the service since the first one at which it was not in use.
pub fn may_be_cause(crashes: u32, others: usize) -> bool {
    usize::try_from(crashes)
        .is_ok_and(|crashes| crashes >= BURST_CRASHES && others * CRASHES_PER_OTHER <= crashes)
}

/// Returns whether the crashes of a part, in the order of their times and without an
/// answer in between, show that it is their cause.
pub fn is_cause(now: time::Mono, steps: &[Step], answers: &Answers) -> bool {
    let Some(first) = steps.first_chunk::<BURST_CRASHES>() else {
        return false;
    };
    let gaps = steps.windows(2);
    let moments = 1 + gaps.filter(|pair| pair[1].at > pair[0].at + MOMENT).count();
    let level = steps
        .iter()
        .map(|step| step.level)
        .max()
        .unwrap_or_default();
    // A busy router may read late of crashes at one moment; they seem to have happened
    // one after the other.
    let is_burst = usize::try_from(level).is_ok_and(|level| moments <= level);
    let known = first.iter().map(|step| step.known).max();
    let is_settled = known.is_some_and(|known| now >= known + SETTLE_TIME);
    let fifth = first[BURST_CRASHES - 1].at;
    is_burst && is_settled && answers.count(fifth, fifth + SETTLE_TIME) >= MIN_SURVIVALS
}
