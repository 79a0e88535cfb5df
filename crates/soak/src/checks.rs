//! The promises, checked from what callers and targets saw.

use std::{collections::BTreeMap, time::Instant};

use fakes::site::MOST_RUNS;

use crate::{
    caller::{Outcome, RULES, Seen},
    site::Site,
};

/// Violations of promises, in words.
pub type Violations = Vec<String>;

/// Returns how often each attempt was run.
fn runs(site: &Site) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for run in site.targets.iter().flat_map(|target| target.runner.runs()) {
        let attempt = run
            .headers
            .get("x-attempt-id")
            .and_then(|id| id.to_str().ok());
        *runs
            .entry(attempt.unwrap_or_default().to_owned())
            .or_insert(0) += 1;
    }
    runs
}

/// A time in which a router's process stood still.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// Position of the router.
    pub router: usize,
    /// When it began.
    pub start: Instant,
    /// When it ended.
    pub end: Instant,
}

/// Checks each request for itself.
///
/// A router that stood still cannot know how long a request waited for it, and
/// gives it the whole time limit of its rule from then on (seed 136), so that
/// its answer may come after the caller's time.
pub fn requests(site: &Site, seen: &[Seen], pauses: &[Pause]) -> Violations {
    let runs = runs(site);
    let mut violations = Vec::new();
    for request in seen {
        let (name, once) = RULES[request.rule];
        let count = runs.get(&request.attempt).copied().unwrap_or(0);
        let attempt = &request.attempt;
        let most = if once { 1 } else { MOST_RUNS };
        if count > most {
            violations.push(format!(
                "{name} {attempt} ran {count} times, {most} at most"
            ));
        }
        match &request.outcome {
            Outcome::Whole(status)
                if matches!(status.as_u16(), 408 | 421 | 429 | 503) && count > 0 =>
            {
                violations.push(format!("{name} {attempt} was answered {status} and ran"));
            }
            Outcome::Wrong(body) => {
                violations.push(format!("{name} {attempt} got another body: {body:?}"));
            }
            Outcome::Silent if !pauses.iter().any(|pause| covers(pause, request)) => {
                violations.push(format!("{name} {attempt} got no answer in its time"));
            }
            _ => {}
        }
    }
    violations
}

fn covers(pause: &Pause, request: &Seen) -> bool {
    pause.router == request.router && pause.start <= request.end && pause.end >= request.start
}

/// Checks that a planned stop broke nothing off: the requests of one router
/// from a moment on, while nothing else is wrong.
///
/// A request that crosses the close of its connection and that no target ran
/// was not read by the router; its caller may send it again (seed 134: neither
/// the router nor a target had seen the attempt).
pub fn graceful(site: &Site, seen: &[Seen], router: usize, from: Instant) -> Violations {
    let runs = runs(site);
    let broken = seen.iter().filter(|request| {
        let crossed = request.outcome == Outcome::Closed && !runs.contains_key(&request.attempt);
        request.router == router
            && request.end >= from
            && matches!(request.outcome, Outcome::Cut | Outcome::Closed)
            && !crossed
    });
    let text = |request: &Seen| {
        format!(
            "{} {} was broken off by a planned stop",
            RULES[request.rule].0, request.attempt
        )
    };
    broken.map(text).collect()
}
