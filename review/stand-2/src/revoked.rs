//! A key that a manifest takes away, while the store loses answers for a moment.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    record::Record,
    router::{Folder, Router, Site},
    runner::{HEARTBEAT, Request, Runner},
    store::{Counts, Store},
};

/// Runners, each of which sends heartbeats to the store.
const RUNNERS: usize = 21;

/// Time between the last two manifests.
const STORM_GAP: Duration = Duration::from_millis(330);

/// Time for which answers are lost before the last manifest is written.
const LOSS_BEFORE: Duration = Duration::from_millis(50);

/// Time for which answers are lost after that.
const LOSS_AFTER: Duration = Duration::from_millis(350);

/// Largest part of the answers that may be lost, in hundredths.
const MAX_LOST: u32 = 35;

/// `config_apply_ms` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which requests are sent after the last manifest.
const WATCH: Duration = Duration::from_secs(8);

/// Interval of these requests.
const INTERVAL: Duration = Duration::from_millis(100);

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-orders","hostname":"site.example","prefix":"/orders/","type":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"orders","max_attempts":1,"public":false}}],"services":[{{"name":"orders","health_path":"/healthz","max_connections":110,"protocol":"h1","tls_enabled":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"dealers","api_keys":[{keys}]}}]}}"#
    )
}

fn work(runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    thread::sleep(Duration::from_millis(20));
    let body = format!("done {}", request.attempt());
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{body}",
        runner.fields(request),
        body.len()
    );
    stream.write_all(answer.as_bytes())?;
    Ok(true)
}

/// What a consumer saw of one request.
struct Seen {
    attempt: String,
    router: usize,
    revoked: bool,
    sent: Instant,
    status: u16,
}

fn order(address: SocketAddr, router: usize, number: usize, key: &str) -> JoinHandle<Seen> {
    let attempt = format!("order-{router}-{key}-{number}");
    let revoked = key == "key-old";
    let request = format!(
        "POST /orders/2f HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 1500\r\nApi-Key: {key}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    thread::spawn(move || Seen {
        sent: Instant::now(),
        status: http::call(address, request.as_bytes(), Duration::from_secs(2)).status,
        attempt,
        router,
        revoked,
    })
}

/// The times of the case.
struct Times {
    /// When the store acknowledged the manifest that takes the key away.
    acked: Instant,
    /// From when on the routers are in touch again.
    touch: Instant,
    /// Answers of the store in the disturbance.
    counts: Counts,
}

/// Writes the manifests, and loses the answers of the feeds that bring the last one.
fn write_manifests(record: &Record, store: &Store, trouble: bool) -> Times {
    let both = r#""key-old","key-new""#;
    let acked = store.put("op", "config", Some(&config(9, both)));
    record.add_at(acked, "the store acknowledges manifest 9, with key-old");
    thread::sleep(STORM_GAP - LOSS_BEFORE);
    if trouble {
        record.add_at(
            store.lose("op"),
            "the store begins to lose answers of feeds",
        );
    }
    thread::sleep(LOSS_BEFORE);
    let acked = store.put("op", "config", Some(&config(12, r#""key-new""#)));
    record.add_at(acked, "the store acknowledges manifest 12, without key-old");
    thread::sleep(LOSS_AFTER);
    let (ended, counts) = store.keep();
    if trouble {
        let Counts { made, lost } = counts;
        record.add_at(
            ended,
            format_args!("the loss ends: {lost} of {made} answers"),
        );
    }
    Times {
        acked,
        touch: if trouble { ended + CONTACT } else { acked },
        counts,
    }
}

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    let both = r#""key-old","key-new""#;
    store.put("op", "config", Some(&config(7, both)));
    let zones = ["shah-alam", "petaling", "subang"];
    let runners: io::Result<Vec<Arc<Runner>>> = (0..RUNNERS)
        .map(|number| {
            thread::sleep(HEARTBEAT / RUNNERS as u32);
            let id = format!("i-{}", number + 1);
            Runner::start(&store, &id, "orders", zones[number % 3], false, work)
        })
        .collect();
    let runners = runners?;
    let folder = Folder::new()?;
    let routers = Site::new(3, store.address)?.start(&folder)?;
    thread::sleep(Duration::from_secs(4));
    let times = write_manifests(record, &store, trouble);
    let mut orders = Vec::new();
    while times.acked.elapsed() < WATCH {
        for (index, router) in routers.iter().enumerate() {
            for key in ["key-old", "key-new"] {
                orders.push(order(router.frontend, index, orders.len(), key));
            }
        }
        thread::sleep(INTERVAL);
    }
    let seen = orders.into_iter().filter_map(|order| order.join().ok());
    judge(
        record,
        &times,
        &routers,
        &runners,
        &seen.collect::<Vec<_>>(),
    )
}

fn judge(
    record: &Record,
    times: &Times,
    routers: &[Router],
    runners: &[Arc<Runner>],
    seen: &[Seen],
) -> io::Result<Verdict> {
    let Counts { made, lost } = times.counts;
    if lost * 100 > made * MAX_LOST {
        return Err(io::Error::other(format!(
            "{lost} of {made} answers lost: too many"
        )));
    }
    let due = (times.acked + CONFIG_APPLY).max(times.touch);
    record.add_at(due, "from now on each router has to refuse key-old");
    let mut stale = 0;
    for order in seen {
        let Seen {
            attempt, status, ..
        } = order;
        let name = &routers[order.router].name;
        let is_stale = order.revoked && order.sent > due && *status == 200;
        let mark = if is_stale { "BROKEN " } else { "" };
        record.add_at(
            order.sent,
            format_args!("{mark}{attempt} sent to {name}: {status}"),
        );
        stale += u32::from(is_stale);
    }
    for runner in runners {
        for request in runner.requests() {
            let attempt = request.attempt();
            record.add_at(request.at, format_args!("{} runs {attempt}", runner.id));
        }
    }
    for router in routers {
        for line in router.log_lines("event=config ") {
            record.add(format_args!("log of {}: {line}", router.name));
        }
    }
    let mut fresh = seen.iter().filter(|order| !order.revoked);
    if fresh.any(|order| order.status != 200) {
        return Err(io::Error::other(
            "an order with the other key was not served",
        ));
    }
    Ok(Verdict {
        broken: stale > 0,
        seen: format!(
            "{stale} orders with the key that was taken away ran although they were sent later \
             than config_apply_ms after the acknowledgement, at routers in touch \
             (answers lost: {lost} of {made})"
        ),
    })
}
