//! Streams that may be resumed, from runners one of which spoils some of its
//! answers.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    record::Record,
    router::{Folder, Router, Site},
    runner::{Request, Runner},
    store::Store,
};

/// Events of each stream.
const EVENTS: u32 = 20;

/// Time between two events.
const GAP: Duration = Duration::from_millis(15);

/// The faulty runner spoils one answer in this many, less than 5 in 100.
const SPOILED_ONE_IN: u32 = 21;

/// The event that stray bytes follow in an answer with chunks. In one that ends with
/// its connection, a second answer follows the last event.
const STRAY_AFTER: u32 = 9;

/// Consumers at work at the same time.
const CONSUMERS: u32 = 6;

/// Requests of each consumer.
const REQUESTS: u32 = 80;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-letters","hostname":"site.example","prefix":"/letters/","type":"streaming","timeout_ms":10000,"target_latency_ms":600,"priority":0,"service":"letters","max_attempts":2,"public":false,"session_affinity":true,"resumable":true,"target_gap_ms":800}],"services":[{"name":"letters","health_path":"/healthz","max_connections":370,"protocol":"h1","tls_enabled":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"sales","api_keys":["key-sales"],"priority":1}]}"#;

fn event(attempt: &str, number: u32) -> String {
    format!("id: {number}\ndata: piece {number} of {EVENTS} of {attempt}\n\n")
}

/// Runs a stream, from the event after `Last-Event-Id` on. Answers with an even
/// number have chunks, the others end with their connection.
fn work(runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    let last = request.head.field("last-event-id");
    let first = last.and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
    let chunked = request.number.is_multiple_of(2);
    let framing = match chunked {
        true => "Transfer-Encoding: chunked",
        false => "Connection: close",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
        runner.fields(request)
    );
    stream.write_all(head.as_bytes())?;
    let mut write = |bytes: &str| match chunked {
        true => write!(stream, "{:x}\r\n{bytes}\r\n", bytes.len()),
        false => stream.write_all(bytes.as_bytes()),
    };
    // The first spoiled answer ends with its connection, the next has chunks.
    let is_turn = request.number.is_multiple_of(SPOILED_ONE_IN);
    let spoiled = runner.faulty && is_turn && first == 1;
    for number in first..=EVENTS {
        thread::sleep(GAP);
        let mut bytes = event(request.attempt(), number);
        if spoiled && chunked && number == STRAY_AFTER {
            bytes.push_str(&event("another-request", 3));
        }
        if spoiled && !chunked && number == EVENTS {
            bytes.push_str(&head);
            bytes.extend((1..=EVENTS).map(|number| event(request.attempt(), number)));
        }
        write(&bytes)?;
    }
    if chunked {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(chunked)
}

/// What a consumer saw of one request.
struct Seen {
    attempt: String,
    sent: Instant,
    answer: http::Answer,
}

fn consume(address: SocketAddr, consumer: u32) -> Vec<Seen> {
    let requests = (1..=REQUESTS).map(|number| {
        let attempt = format!("letter-{consumer}-{number}");
        let body = format!("{{\"letter\":\"{attempt}\"}}");
        let request = format!(
            "POST /letters/2f HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: 10000\r\nApi-Key: key-sales\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let sent = Instant::now();
        let answer = http::call(address, request.as_bytes(), Duration::from_secs(10));
        Seen {
            attempt,
            sent,
            answer,
        }
    });
    requests.collect()
}

/// Returns the events of a complete answer that are missing or not its own, if any.
fn fault(seen: &Seen) -> Option<String> {
    let answer = &seen.answer;
    let is_success = answer.status == 200 && answer.whole;
    if !is_success {
        return None;
    }
    let text = String::from_utf8_lossy(&answer.body);
    let events: Vec<&str> = text.split_inclusive("\n\n").collect();
    let own: Vec<String> = (1..=EVENTS).map(|n| event(&seen.attempt, n)).collect();
    if events == own {
        return None;
    }
    let ids: Vec<&str> = text
        .lines()
        .filter_map(|it| it.strip_prefix("id: "))
        .collect();
    Some(format!("ids {}", ids.join(" ")))
}

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("op", "config", Some(CONFIG));
    let zones = ["shah-alam", "petaling", "subang"];
    let runners: io::Result<Vec<Arc<Runner>>> = (0..3)
        .map(|number| {
            let id = format!("i-{}", number + 1);
            let faulty = trouble && number == 0;
            Runner::start(&store, &id, "letters", zones[number], faulty, work)
        })
        .collect();
    let runners = runners?;
    let folder = Folder::new()?;
    let routers = Site::new(2, store.address)?.start(&folder)?;
    thread::sleep(Duration::from_secs(1));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let router = &routers[consumer as usize % routers.len()];
            let address = router.frontend;
            thread::spawn(move || consume(address, consumer))
        })
        .collect();
    let seen: Vec<Seen> = consumers
        .into_iter()
        .flat_map(|consumer| consumer.join().unwrap_or_default())
        .collect();
    for runner in &runners {
        for request in runner.requests() {
            let last = request.head.field("last-event-id").unwrap_or("none");
            record.add_at(
                request.at,
                format_args!(
                    "{} runs {}, Last-Event-Id {last}",
                    runner.id,
                    request.attempt()
                ),
            );
        }
    }
    report(record, &routers, &runners, &seen)
}

fn report(
    record: &Record,
    routers: &[Router],
    runners: &[Arc<Runner>],
    seen: &[Seen],
) -> io::Result<Verdict> {
    let complete = seen
        .iter()
        .filter(|seen| seen.answer.status == 200 && seen.answer.whole);
    let complete = complete.count();
    let (mut faults, mut endless) = (0, 0);
    for request in seen {
        let answer = &request.answer;
        let (status, whole) = (answer.status, answer.whole);
        let fault = fault(request);
        let attempt = &request.attempt;
        record.add_at(
            request.sent,
            format_args!("{attempt} sent; answered {status}, complete: {whole}"),
        );
        if let Some(fault) = fault {
            faults += 1;
            let end = event(attempt, EVENTS);
            endless += u32::from(!answer.body.ends_with(end.as_bytes()));
            record.add_at(
                request.sent,
                format_args!("BROKEN {attempt} ended as complete with {fault}"),
            );
            for router in routers {
                for line in router.log_lines(&format!("id={attempt} ")) {
                    record.add(format_args!("log of {}: {line}", router.name));
                }
            }
        }
    }
    if complete * 10 < seen.len() * 9 {
        return Err(io::Error::other("fewer than nine in ten were served"));
    }
    let ran: Vec<String> = runners
        .iter()
        .map(|runner| format!("{} ran {}", runner.id, runner.requests().len()))
        .collect();
    Ok(Verdict {
        broken: faults > 0,
        seen: format!(
            "{faults} of {complete} complete streams lack events, {endless} of them the last one \
             ({} requests; {})",
            seen.len(),
            ran.join(", ")
        ),
    })
}
