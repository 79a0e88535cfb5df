//! A drill of the store, after which an operator evacuates a zone again.

use std::time::Duration;

use crate::{
    Verdict,
    deployment::{CAAP, Deployment},
    record::Record,
};

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time after the store's return at which the zone is evacuated again: later than
/// `contact_ms`, so that the store is stable.
const SETTLED: Duration = Duration::from_millis(4_200);

/// `evacuation_ms`.
const EVACUATION: Duration = Duration::from_millis(5_000);

/// Time for which requests are watched after that.
const WATCHED: Duration = Duration::from_secs(4);

/// Interval of the consumers' requests.
const INTERVAL: Duration = Duration::from_millis(100);

/// The zone that is evacuated.
const ZONE: &str = "nord-b";

/// Plays the case.
///
/// # Errors
///
/// When it cannot run.
pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(record, CAAP, 2)?;
    let key = format!("evacuate/{ZONE}");
    let copy = deployment.store.copy();
    record.say(&format!(
        "a copy of the store is made at version {}",
        deployment.store.version()
    ));
    let copied = record.now();
    let at = |seconds| copied + Duration::from_millis(seconds);
    deployment.send_until(at(2_000), INTERVAL);
    let version = deployment.store.put("op", &key, "{}");
    record.say(&format!(
        "{ZONE} is evacuated; acknowledged at version {version:?}"
    ));
    deployment.send_until(at(8_500), INTERVAL);
    let version = deployment.store.remove("op", &key);
    record.say(&format!(
        "{ZONE} is taken back; acknowledged at version {version:?}"
    ));
    deployment.send_until(at(9_500), INTERVAL);
    if trouble {
        record.say(&format!(
            "drill: the store goes away at version {}",
            deployment.store.version()
        ));
        deployment.store.leave();
    }
    deployment.sleep_until(record.now() + AWAY);
    if trouble {
        deployment.store.restore(copy);
        for runner in &deployment.runners {
            runner.report();
        }
        // What the operator wrote is written again.
        deployment.store.put("op", &key, "{}");
        deployment.store.remove("op", &key);
        record.say(&format!(
            "the store is back from the copy; with what is written again it is at version {}",
            deployment.store.version()
        ));
    }
    let returned = record.now();
    deployment.send_until(returned + SETTLED, INTERVAL);
    let version = deployment.store.put("op", &key, "{}");
    let acked = record.now();
    record.say(&format!(
        "{ZONE} is evacuated again; acknowledged at version {version:?}"
    ));
    deployment.send_until(acked + EVACUATION + WATCHED, INTERVAL);
    let exchanges = deployment.exchanges();
    for router in &deployment.routers {
        let events = [
            "table_lost",
            "table_regained",
            "history_gone",
            "evacuated",
            "evacuation_ended",
            "evacuation",
        ];
        router.copy_log(record, &events);
    }
    let inside = deployment.runners.iter().filter(|it| it.zone() == ZONE);
    let late: Vec<_> = inside
        .flat_map(|runner| runner.arrivals())
        .filter(|arrival| arrival.at > acked + EVACUATION)
        .collect();
    record.say(&format!(
        "{} requests reach the runner of {ZONE} more than evacuation_ms after the \
         acknowledgement, of {} sent then",
        late.len(),
        exchanges
            .iter()
            .filter(|it| it.sent > acked + EVACUATION)
            .count(),
    ));
    deployment.check_served(acked)?;
    Ok(late.is_empty())
}
