//! A drill of the store, and a change of the manifest that is written as soon as it is back.

use std::time::Duration;

use crate::{
    Verdict,
    deployment::{self, Deployment, OTHER_KEY, PERDANA},
    record::Record,
};

/// Number of runners.
const RUNNERS: usize = 12;

/// Time from the copy to the change of the manifest before the drill.
const CHANGE: Duration = Duration::from_secs(1);

/// Age of the copy that the store comes back from.
const COPY_AGE: Duration = Duration::from_secs(4);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time after the acknowledgement from which requests are watched: much more than
/// `config_apply_ms`, `outer_ms` and `contact_ms` together.
const SETTLED: Duration = Duration::from_secs(12);

/// Time for which they are watched.
const WATCHED: Duration = Duration::from_secs(3);

/// Interval of the consumers' requests.
const INTERVAL: Duration = Duration::from_millis(100);

/// Plays the case.
///
/// # Errors
///
/// When it cannot run.
pub fn play(record: &Record, trouble: bool) -> Verdict {
    let places = (0..RUNNERS).map(|index| deployment::plain_place(PERDANA, index));
    let mut deployment = Deployment::start_places(record, PERDANA, 2, places.collect())?;
    let copy = deployment.store.copy();
    record.say(&format!(
        "a copy of the store is made at version {}",
        deployment.store.version()
    ));
    let copied = record.now();
    deployment.send_until(copied + CHANGE, INTERVAL);
    let version = deployment.put_manifest(8, true);
    record.say(&format!(
        "manifest 8 is written; acknowledged at version {version:?}"
    ));
    deployment.send_until(copied + COPY_AGE, INTERVAL);
    if trouble {
        record.say(&format!(
            "drill: the store goes away at version {}",
            deployment.store.version()
        ));
        deployment.store.leave();
    }
    deployment.sleep_until(copied + COPY_AGE + AWAY);
    if trouble {
        deployment.store.restore(copy);
        // What the operator wrote is written again.
        deployment.put_manifest(8, true);
    }
    let version = deployment.put_manifest(9, false);
    if trouble {
        // So is what the runners wrote.
        for runner in &deployment.runners {
            runner.report();
        }
    }
    let acked = record.now();
    record.say(&format!(
        "manifest 9, without the key {OTHER_KEY}, is acknowledged at version {version:?}; the \
         store is at version {}",
        deployment.store.version()
    ));
    deployment.send_until(acked + SETTLED, INTERVAL);
    let mut router = 0;
    while record.now() < acked + SETTLED + WATCHED {
        deployment.send_other(router);
        deployment.send(router);
        router = (router + 1) % deployment.routers.len();
        std::thread::sleep(INTERVAL);
    }
    let exchanges = deployment.exchanges();
    for router in &deployment.routers {
        let events = ["config", "history_gone", "table_lost", "table_regained"];
        router.copy_log(record, &events);
    }
    let late = exchanges
        .iter()
        .filter(|it| it.key == OTHER_KEY && it.sent > acked + SETTLED);
    let run = late.clone().filter(|it| it.status == 200).count();
    record.say(&format!(
        "{run} of {} orders with the key that manifest 9 took away were run, 12 s and more \
         after its acknowledgement",
        late.count()
    ));
    deployment.check_served(acked)?;
    Ok(run == 0)
}
