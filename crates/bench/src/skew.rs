//! The load of engines against the bound, from the engines' own records, at
//! every change of any engine's work.

use std::collections::BTreeMap;

use base::time;
use fakes::record;

/// The work of one engine and the times at which it was up.
#[derive(Clone, Debug)]
pub struct Course {
    /// Its name.
    pub name: String,
    /// Every change of its work.
    pub changes: Vec<record::Change>,
    /// When it came up, and when it went down or began to leave.
    pub up: Vec<(time::Mono, Option<time::Mono>)>,
}

/// The configured bound.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Multiple of the mean load.
    pub factor: f64,
    /// Load that every engine may carry.
    pub floor: u32,
}

impl Bound {
    /// Returns the load that an engine may have when the mean is `total / up`.
    pub fn allowed(self, total: u32, up: u32) -> u32 {
        let share = self.factor * f64::from(total) / f64::from(up.max(1));
        (share.ceil() as u32).max(self.floor)
    }

    /// Returns a load relative to the mean, which counts as no less than the
    /// floor allows.
    fn relative(self, load: u32, total: u32, up: u32) -> f64 {
        let mean = f64::from(total) / f64::from(up.max(1));
        f64::from(load) / mean.max(f64::from(self.floor) / self.factor)
    }
}

/// The worst moments of a run.
#[derive(Clone, Debug, Default)]
pub struct Skew {
    /// Largest load over max(mean, floor / factor), at the moment that was
    /// worst against the bound.
    pub skew: f64,
    /// What the bound, a whole number of requests, allowed at that moment.
    pub bound: f64,
    /// Largest load over mean, without the floor.
    pub plain: f64,
    /// Mean of the mean loads, each for as long as it lasted.
    pub mean: f64,
    /// Most requests by which an engine exceeded the bound.
    pub excess: u32,
    /// Times that a request began above the bound.
    pub begun_over: u32,
    /// Most requests by which a beginning request exceeded the bound.
    pub begun_excess: u32,
    /// Share of time in which an engine was above the bound.
    pub time_over: f64,
    /// Mean load in each second, for the report.
    pub course: Vec<f64>,
    /// The first moments above the bound, for the report.
    pub moments: Vec<String>,
}

/// Moments above the bound that are described.
const DESCRIBED: usize = 12;

#[derive(Clone, Copy)]
enum Event {
    Load(u32),
    Up(bool),
}

/// Returns the worst moments from `from` to `to`.
pub fn worst(courses: &[Course], bound: Bound, from: time::Mono, to: time::Mono) -> Skew {
    let mut events = BTreeMap::new();
    for (engine, course) in courses.iter().enumerate() {
        for (number, change) in course.changes.iter().enumerate() {
            let key = (change.at, 1, engine, number);
            events.insert(key, Event::Load(change.level.outstanding()));
        }
        for (number, (start, end)) in course.up.iter().enumerate() {
            events.insert((*start, 0, engine, 2 * number), Event::Up(true));
            if let Some(end) = end {
                events.insert((*end, 2, engine, 2 * number + 1), Event::Up(false));
            }
        }
    }
    let mut loads = vec![(0u32, false); courses.len()];
    let mut skew = Skew::default();
    let mut ratio = f64::MIN;
    let mut last: Option<(time::Mono, f64, bool)> = None;
    let mut elapsed = 0.0;
    for ((at, _, engine, _), event) in events {
        let before = loads[engine].0;
        match event {
            Event::Load(load) => loads[engine].0 = load,
            Event::Up(up) => loads[engine].1 = up,
        }
        if at < from || at > to {
            continue;
        }
        let up = || loads.iter().filter(|(_, up)| *up).map(|(load, _)| *load);
        let (total, count) = (up().sum::<u32>(), up().count() as u32);
        let allowed = bound.allowed(total, count);
        let most = up().max().unwrap_or(0);
        let mean = f64::from(total) / f64::from(count.max(1));
        if let Some((since, mean, over)) = last {
            let span = at.since(since).as_secs_f64();
            elapsed += span;
            skew.mean += mean * span;
            let second = at.since(from).as_millis() as usize / 1000;
            if skew.course.len() <= second {
                skew.course.push(mean);
            }
            skew.time_over += if over { span } else { 0.0 };
        }
        last = Some((at, mean, most > allowed));
        if f64::from(most) / f64::from(allowed.max(1)) > ratio {
            ratio = f64::from(most) / f64::from(allowed.max(1));
            skew.skew = bound.relative(most, total, count);
            skew.bound = bound.relative(allowed, total, count);
        }
        if total > 0 {
            skew.plain = skew.plain.max(f64::from(most) / mean);
        }
        skew.excess = skew.excess.max(most.saturating_sub(allowed));
        let (load, is_up) = loads[engine];
        if is_up && load > before && load > allowed {
            skew.begun_over += 1;
            skew.begun_excess = skew.begun_excess.max(load - allowed);
            if skew.moments.len() < DESCRIBED {
                skew.moments.push(format!(
                    "over at_us={} engine={} load={load} allowed={allowed} total={total} up={count}",
                    at.0, courses[engine].name
                ));
            }
        }
    }
    skew.mean /= f64::max(elapsed, 1e-9);
    skew.time_over /= f64::max(elapsed, 1e-9);
    skew
}
