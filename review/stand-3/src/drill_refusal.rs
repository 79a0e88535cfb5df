//! A drill of the store, and later a loss of its history, while requests with a part that
//! crashes runners come again and again.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    crashing::{self, Runners},
    deployment::Deployment,
    http::lock,
    record::Record,
    runner::CRASHING_PART,
};

/// Age of the copy that the store comes back from.
const COPY_AGE: Duration = Duration::from_secs(9);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time from the store's return until it discards its history.
const COMPACTION: Duration = Duration::from_secs(8);

/// Time after a disturbance of the store for which no requests with the part come: longer
/// than `contact_ms`, so that all routers are in touch.
const SETTLED: Duration = Duration::from_millis(3_300);

/// Time for which requests with the part come in the end.
const WATCHED: Duration = Duration::from_secs(5);

/// Plays the case.
///
/// # Errors
///
/// When it cannot run.
pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = crashing::start(record, true)?;
    let runners = crashing::run(&mut deployment, true, |deployment, runners| {
        play_disruptions(deployment, runners, trouble);
    });
    crashing::judge(&mut deployment, &runners, CRASHING_PART)
}

fn play_disruptions(deployment: &Deployment, runners: &Runners, trouble: bool) {
    let Deployment { record, store, .. } = deployment;
    thread::sleep(Duration::from_secs(2));
    let copy = store.copy();
    record.say(&format!(
        "a copy of the store is made at version {}",
        store.version()
    ));
    let copied = record.now();
    record.say("requests with a part that crashes runners begin to come");
    crashing::send_part(deployment, CRASHING_PART, copied + Duration::from_secs(6));
    record.say(&format!(
        "rows of the routers on what they refuse: {:?}",
        store.keys("refusals")
    ));
    deployment.sleep_until(copied + COPY_AGE);
    if trouble {
        let version = store.version();
        record.say(&format!("drill: the store goes away at version {version}"));
        store.leave();
    }
    deployment.sleep_until(record.now() + AWAY);
    if trouble {
        store.restore(copy);
        for runner in lock(runners).iter().filter(|it| it.crashed().is_none()) {
            runner.report();
        }
        // The entries of the runners that had crashed lapse again.
        for runner in lock(runners).iter().filter(|it| it.crashed().is_some()) {
            store.remove("servers", runner.id());
        }
        let version = store.version();
        record.say(&format!(
            "the store is back from the copy; with the runners' reports it is at version {version}"
        ));
    }
    let returned = record.now();
    deployment.sleep_until(returned + SETTLED);
    crashing::send_part(deployment, CRASHING_PART, returned + COMPACTION);
    if trouble {
        store.compact();
        let version = store.version();
        record.say(&format!(
            "the store discards its history up to version {version}"
        ));
    }
    let compacted = record.now();
    deployment.sleep_until(compacted + SETTLED);
    record.say("requests with the part come again");
    crashing::send_part(deployment, CRASHING_PART, compacted + SETTLED + WATCHED);
}
