//! A drill of the store, after which a runner drains.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    deployment::{Deployment, PERDANA},
    record::Record,
};

/// Age of the copy that the store comes back from.
const COPY_AGE: Duration = Duration::from_secs(9);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time after the store's return at which the runner reports that it is draining: later
/// than `contact_ms`, so that the store is stable.
const SETTLED: Duration = Duration::from_millis(3_300);

/// Time after `drain_ms` at which consumers send again, after a quiet spell.
const QUIET: Duration = Duration::from_millis(200);

/// Number of requests that each router gets then.
const BURST: u32 = 12;

/// Interval of the requests of a burst.
const BURST_INTERVAL: Duration = Duration::from_millis(4);

/// Time after the first request of the burst at which the runner exits: it has served
/// for `drain_ms` and a little longer.
const EXIT: Duration = Duration::from_millis(50);

/// Time for which consumers send further requests.
const WATCHED: Duration = Duration::from_secs(2);

/// Interval of the consumers' requests.
const INTERVAL: Duration = Duration::from_millis(100);

/// Plays the case.
///
/// # Errors
///
/// When it cannot run.
pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(record, PERDANA, 2)?;
    let copy = deployment.store.copy();
    record.say(&format!(
        "a copy of the store is made at version {}",
        deployment.store.version()
    ));
    deployment.send_until(record.now() + COPY_AGE, INTERVAL);
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
        record.say(&format!(
            "the store is back from the copy; with the runners' reports it is at version {}",
            deployment.store.version()
        ));
    }
    let returned = record.now();
    deployment.send_until(returned + SETTLED, INTERVAL);
    let leaving = &deployment.runners[0];
    let version = leaving.drain();
    let acked = record.now();
    let id = leaving.id().to_owned();
    record.say(&format!(
        "{id} reports that it is draining; the store acknowledges it at version {version:?}"
    ));
    let drain = Duration::from_millis(PERDANA.drain_ms);
    deployment.sleep_until(acked + drain + QUIET);
    let burst = record.now();
    for _ in 0..BURST {
        for router in 0..deployment.routers.len() {
            deployment.send(router);
        }
        thread::sleep(BURST_INTERVAL);
    }
    deployment.sleep_until(burst + EXIT);
    leaving.close();
    record.say(&format!("{id} exits"));
    deployment.send_until(burst + WATCHED, INTERVAL);
    let exchanges = deployment.exchanges();
    for router in &deployment.routers {
        router.copy_log(
            record,
            &["table_lost", "table_regained", "history_gone", "target"],
        );
    }
    let late: Vec<_> = deployment.runners[0]
        .arrivals()
        .into_iter()
        .filter(|arrival| arrival.at > acked + drain)
        .collect();
    for arrival in &late {
        let sent = exchanges.iter().find(|it| it.attempt == arrival.attempt);
        record.say(&format!(
            "{} reaches {id} {:.3} s after the acknowledgement; it was sent at {:.3} s to \
             router {} and answered: {}",
            arrival.attempt,
            (arrival.at - acked).as_secs_f64(),
            sent.map_or(0.0, |it| it.sent.as_secs_f64()),
            sent.map_or(0, |it| it.router + 1),
            sent.map_or(0, |it| it.status),
        ));
    }
    let failed = exchanges.iter().filter(|it| it.sent >= burst);
    record.say(&format!(
        "{} of the orders sent from then on were not answered with success",
        failed.filter(|it| it.status != 200).count()
    ));
    deployment.check_served(acked)?;
    Ok(late.is_empty())
}
