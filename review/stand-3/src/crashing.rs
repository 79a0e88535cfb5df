//! Model runners that requests with one part of a prompt crash, and the requests.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    deployment::{self, Deployment, PERDANA},
    http::lock,
    record::Record,
    runner::{Arrival, Place, Runner},
    store::Store,
};

/// Number of model runners.
const RUNNERS: usize = 18;

/// Time after which a crashed runner is back.
const RESTART: Duration = Duration::from_secs(2);

/// Time after a crash at which the store removes the entry: three ping intervals.
const LAPSE: Duration = Duration::from_millis(3_600);

/// Interval of sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

/// Number of sound parts.
const SOUND_PARTS: usize = 10;

/// Interval of the requests with the part.
const BAD_INTERVAL: Duration = Duration::from_millis(300);

/// Crashes after which only some more requests with the part may reach runners.
const MAX_CRASHES: usize = 5;

/// Number of these requests.
const MAX_LATE: usize = 3;

/// The runners, those that have crashed included.
pub type Runners = Arc<Mutex<Vec<Runner>>>;

/// Returns the place of a runner.
fn place(index: usize, is_chunked: bool) -> Place {
    deployment::model_place(PERDANA, index, is_chunked)
}

/// Starts the deployment; streams come in chunks or with their length.
///
/// # Errors
///
/// When a part does not start.
pub fn start(record: &Record, routers: u8, is_chunked: bool) -> io::Result<Deployment> {
    let places = (0..RUNNERS).map(|index| place(index, is_chunked));
    Deployment::start_places(record, PERDANA, routers, places.collect())
}

/// Restarts crashed runners and sends sound requests all the while `play` runs.
pub fn run(
    deployment: &mut Deployment,
    is_chunked: bool,
    play: impl FnOnce(&Deployment, &Runners),
) -> Runners {
    let runners: Runners = Arc::new(Mutex::new(std::mem::take(&mut deployment.runners)));
    let ended = AtomicBool::new(false);
    let deployment = &*deployment;
    thread::scope(|scope| {
        scope.spawn(|| send_sound(deployment, &ended));
        scope.spawn(|| {
            let Deployment { record, store, .. } = deployment;
            restart_crashed(&runners, store, record, is_chunked, &ended);
        });
        play(deployment, &runners);
        ended.store(true, Ordering::Relaxed);
    });
    runners
}

/// Starts crashed runners again, and lets the store remove their entries, until `ended`.
fn restart_crashed(
    runners: &Runners,
    store: &Arc<Store>,
    record: &Record,
    is_chunked: bool,
    ended: &AtomicBool,
) {
    let mut started = 0;
    let mut lapsed = 0;
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
        let mut runners = lock(runners);
        let mut crashes = Vec::new();
        for runner in runners.iter() {
            if let Some(at) = runner.crashed() {
                runner.close();
                crashes.push((at, runner.id().to_owned()));
            }
        }
        crashes.sort();
        let now = record.now();
        if let Some((at, id)) = crashes.get(started)
            && now > *at + RESTART
        {
            let place = place(RUNNERS + started, is_chunked);
            record.line(&format!("{id} is back, as {}", place.id));
            if let Ok(runner) = Runner::start(place, store, record) {
                runners.push(runner);
                started += 1;
            }
        }
        if let Some((at, id)) = crashes.get(lapsed)
            && now > *at + LAPSE
            && store.remove("servers", id).is_some()
        {
            lapsed += 1;
        }
    }
}

/// Sends sound requests to all routers in turn, with several parts in turn, until `ended`.
fn send_sound(deployment: &Deployment, ended: &AtomicBool) {
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        let part = format!("50a0d{:03x}", number % SOUND_PARTS);
        deployment.send_prompt(number % deployment.routers.len(), &part);
        number += 1;
        thread::sleep(SOUND_INTERVAL);
    }
}

/// Sends requests with a part to all routers in turn, until a time of the record.
pub fn send_part(deployment: &Deployment, part: &str, end: Duration) {
    let mut router = 0;
    while deployment.record.now() < end {
        deployment.send_prompt(router, part);
        router = (router + 1) % deployment.routers.len();
        thread::sleep(BAD_INTERVAL);
    }
}

/// Returns whether no more requests with the part than allowed reached runners later than
/// `contact_ms` after the fifth crash.
///
/// # Errors
///
/// When a router has ended or served nothing.
pub fn judge(deployment: &mut Deployment, runners: &Runners, part: &str) -> io::Result<bool> {
    let record = deployment.record.clone();
    let exchanges = deployment.exchanges();
    for router in &deployment.routers {
        let events = [
            "table_lost",
            "history_gone",
            "refusal_stored",
            "part_crashes_targets",
            "part_admitted",
            "part_refused",
        ];
        router.copy_log(&record, &events);
    }
    let runners = lock(runners);
    let mut crashes: Vec<_> = runners.iter().filter_map(Runner::crashed).collect();
    crashes.sort();
    let sound = exchanges
        .iter()
        .filter(|it| it.part.as_deref() != Some(part));
    let answered = sound.clone().filter(|it| it.status == 200).count();
    record.say(&format!(
        "{answered} of {} sound requests were answered; there were {} crashes",
        sound.count(),
        crashes.len()
    ));
    deployment.check_served(record.now())?;
    let Some(fifth) = crashes.get(MAX_CRASHES - 1) else {
        return Ok(true);
    };
    let contact = Duration::from_millis(PERDANA.contact_ms);
    let bad = exchanges
        .iter()
        .filter(|it| it.part.as_deref() == Some(part));
    let bad: Vec<_> = bad.map(|it| it.attempt.clone()).collect();
    let arrivals = runners.iter().flat_map(Runner::arrivals);
    let is_late = |it: &Arrival| it.at > *fifth + contact && bad.contains(&it.attempt);
    let mut late: Vec<_> = arrivals.filter(is_late).collect();
    late.sort_by_key(|arrival| arrival.at);
    for Arrival {
        at,
        attempt,
        runner,
    } in &late
    {
        record.line(&format!(
            "{attempt}, with the part, had reached {runner} at {:.3} s",
            at.as_secs_f64()
        ));
    }
    record.say(&format!(
        "the fifth crash was at {:.3} s; {} requests with the part reached runners later than \
         contact_ms after it",
        fifth.as_secs_f64(),
        late.len()
    ));
    Ok(late.len() <= MAX_LATE)
}
