//! A runner that leaves just after open connections to the store have gone silent.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, atomic::Ordering},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    record::Record,
    router::{Folder, Router, Site},
    runner::{Request, Runner},
    store::Store,
};

/// Time after the connections have gone silent at which the runner leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(300);

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which the runner serves longer than `drain_ms`.
const LINGER: Duration = Duration::from_millis(950);

/// Time of an order's work.
const WORK: Duration = Duration::from_millis(300);

/// Orders that are sent to each router as soon as it is in touch again.
const ORDERS: usize = 6;

/// Interval of the orders after these.
const INTERVAL: Duration = Duration::from_millis(250);

/// Number of orders after these, at each router.
const ROUNDS: usize = 12;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-orders","hostname":"site.example","prefix":"/orders/","type":"non_idempotent","timeout_ms":1500,"target_latency_ms":600,"priority":2,"service":"orders","max_attempts":1,"public":false}],"services":[{"name":"orders","health_path":"/healthz","max_connections":110,"protocol":"h1","tls_enabled":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"dealers","api_keys":["key-dealer"]}]}"#;

fn work(runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    thread::sleep(WORK);
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
    sent: Instant,
    status: u16,
}

fn order(address: SocketAddr, attempt: String) -> JoinHandle<Seen> {
    let request = format!(
        "POST /orders/2f HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 1500\r\nApi-Key: key-dealer\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    thread::spawn(move || Seen {
        sent: Instant::now(),
        status: http::call(address, request.as_bytes(), Duration::from_secs(2)).status,
        attempt,
    })
}

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("op", "config", Some(CONFIG));
    let zones = ["shah-alam", "petaling", "subang"];
    let runners: io::Result<Vec<Arc<Runner>>> = (0..3)
        .map(|number| {
            let id = format!("i-{}", number + 1);
            Runner::start(&store, &id, "orders", zones[number], false, work)
        })
        .collect();
    let runners = runners?;
    let folder = Folder::new()?;
    let routers = Site::new(3, store.address)?.start(&folder)?;
    thread::sleep(Duration::from_secs(2));
    let mut orders = Vec::new();
    send(&routers, &mut orders, "before", 4);
    thread::sleep(Duration::from_secs(1));

    let silent = Instant::now();
    if trouble {
        store.silence();
        record.add_at(silent, "all open connections to the store go silent");
    }
    thread::sleep(LEAVES_AFTER);
    let leaver = &runners[2];
    leaver.leaving.store(true, Ordering::Relaxed);
    let acked = store.put("servers", &leaver.id, None);
    record.add_at(
        acked,
        format_args!("the store acknowledges that {} is gone", leaver.id),
    );
    let ends = acked + DRAIN + LINGER;
    let ending = leaver.clone();
    let end = thread::spawn(move || {
        thread::sleep(ends.saturating_duration_since(Instant::now()));
        ending.end();
    });
    record.add_at(ends, format_args!("{} ends", leaver.id));
    let touch = if trouble { silent + CONTACT } else { silent };
    let due = touch.max(acked + DRAIN);
    record.add_at(
        due,
        format_args!("from now on {} must get no request", leaver.id),
    );
    thread::sleep((due + Duration::from_millis(50)).saturating_duration_since(Instant::now()));
    send(&routers, &mut orders, "after", ORDERS);
    for round in 0..ROUNDS {
        thread::sleep(INTERVAL);
        send(&routers, &mut orders, &format!("round-{round}"), 1);
    }
    let _ = end.join();
    let seen = orders.into_iter().filter_map(|order| order.join().ok());
    judge(record, due, &routers, &runners, &seen.collect::<Vec<_>>())
}

fn send(routers: &[Router], orders: &mut Vec<JoinHandle<Seen>>, name: &str, count: usize) {
    for number in 0..count {
        for (index, router) in routers.iter().enumerate() {
            let attempt = format!("order-{name}-{index}-{number}");
            orders.push(order(router.frontend, attempt));
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn judge(
    record: &Record,
    due: Instant,
    routers: &[Router],
    runners: &[Arc<Runner>],
    seen: &[Seen],
) -> io::Result<Verdict> {
    let leaver = &runners[2];
    let mut late = Vec::new();
    for runner in runners {
        for request in runner.requests() {
            let attempt = request.attempt();
            let is_late = runner.id == leaver.id && request.at > due;
            let mark = if is_late { "BROKEN " } else { "" };
            record.add_at(
                request.at,
                format_args!("{mark}{} runs {attempt}", runner.id),
            );
            if is_late {
                late.push(attempt.to_owned());
            }
        }
    }
    let mut lost = 0;
    let mut served = 0;
    for order in seen {
        let Seen {
            attempt, status, ..
        } = order;
        record.add_at(order.sent, format_args!("{attempt} sent: {status}"));
        served += u32::from(*status == 200);
        lost += u32::from(*status != 200 && late.contains(attempt));
    }
    for router in routers {
        for line in router.log_lines("event=t") {
            record.add(format_args!("log of {}: {line}", router.name));
        }
    }
    if served == 0 {
        return Err(io::Error::other("no order was served"));
    }
    Ok(Verdict {
        broken: !late.is_empty(),
        seen: format!(
            "{} orders reached {} later than drain_ms after the store acknowledged that it is \
             gone, from routers in touch; {lost} of them got no answer of a runner \
             ({served} of {} orders served)",
            late.len(),
            leaver.id,
            seen.len()
        ),
    })
}
