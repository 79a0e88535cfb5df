//! Runners that leave just after open connections to the store have gone silent.

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

/// Number of routers.
const ROUTERS: u8 = 6;

/// Number of runners.
const RUNNERS: usize = 18;

/// Number of runners that leave.
const LEAVERS: usize = 4;

/// Time after the connections have gone silent at which runners leave.
const LEAVES_AFTER: Duration = Duration::from_millis(1_000);

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which the leaving runners serve longer than `drain_ms`.
const LINGER: Duration = Duration::from_millis(1_500);

/// Mean interval of the requests at all routers together.
const INTERVAL: Duration = Duration::from_micros(17_800);

/// Time for which requests are sent before the connections go silent.
const BEFORE: Duration = Duration::from_secs(4);

/// Time for which requests are sent after that.
const AFTER: Duration = Duration::from_secs(7);

/// Time until the first event of an answer.
const FIRST_EVENT: Duration = Duration::from_millis(60);

/// Events of an answer.
const EVENTS: u32 = 20;

/// Time between two events.
const GAP: Duration = Duration::from_millis(60);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-briefs","hostname":"site.example","prefix":"/briefs/","type":"streaming","timeout_ms":12000,"target_latency_ms":1200,"priority":1,"service":"briefs","max_attempts":1,"public":false,"session_affinity":true,"resumable":false,"target_gap_ms":800}],"services":[{"name":"briefs","health_path":"/healthz","max_connections":370,"protocol":"h1","tls_enabled":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"sales","api_keys":["key-sales"],"priority":1}]}"#;

fn work(runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    thread::sleep(FIRST_EVENT);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        runner.fields(request)
    );
    stream.write_all(head.as_bytes())?;
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(GAP);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// What a consumer saw of one request.
struct Seen {
    attempt: String,
    sent: Instant,
    status: u16,
    whole: bool,
}

fn brief(address: SocketAddr, attempt: String) -> JoinHandle<Seen> {
    let request = format!(
        "POST /briefs/2f HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 12000\r\nApi-Key: key-sales\r\nContent-Length: {}\r\n\r\n{attempt}",
        attempt.len()
    );
    thread::spawn(move || {
        let sent = Instant::now();
        let answer = http::call(address, request.as_bytes(), Duration::from_secs(13));
        Seen {
            attempt,
            sent,
            status: answer.status,
            whole: answer.whole,
        }
    })
}

/// Sends requests until an end, each at the next router and at a random time.
struct Traffic {
    briefs: Vec<JoinHandle<Seen>>,
    next: Instant,
    random: u64,
}

impl Traffic {
    fn new() -> Self {
        Self {
            briefs: Vec::new(),
            next: Instant::now(),
            random: 1,
        }
    }

    fn send_until(&mut self, routers: &[Router], end: Instant) {
        while self.next < end {
            thread::sleep(self.next.saturating_duration_since(Instant::now()));
            // A linear congruential generator.
            self.random = self
                .random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let number = self.briefs.len();
            let router = &routers[(self.random >> 33) as usize % routers.len()];
            self.briefs
                .push(brief(router.frontend, format!("brief-{number}")));
            self.next += INTERVAL.mul_f64(2.0 * (self.random >> 11) as f64 / (1_u64 << 53) as f64);
        }
    }
}

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("op", "config", Some(CONFIG));
    let zones = ["shah-alam", "petaling", "subang"];
    let runners: io::Result<Vec<Arc<Runner>>> = (0..RUNNERS)
        .map(|number| {
            let id = format!("i-{}", number + 1);
            Runner::start(&store, &id, "briefs", zones[number % 3], false, work)
        })
        .collect();
    let runners = runners?;
    let folder = Folder::new()?;
    let routers = Site::new(ROUTERS, store.address)?.start(&folder)?;
    thread::sleep(Duration::from_secs(1));
    let mut traffic = Traffic::new();
    traffic.send_until(&routers, Instant::now() + BEFORE);

    let silent = Instant::now();
    if trouble {
        store.silence();
        record.add_at(silent, "all open connections to the store go silent");
    }
    traffic.send_until(&routers, silent + LEAVES_AFTER);
    let leavers = &runners[..LEAVERS];
    let mut acked = Instant::now();
    for leaver in leavers {
        leaver.leaving.store(true, Ordering::Relaxed);
        acked = store.put("servers", &leaver.id, None);
        let id = &leaver.id;
        record.add_at(
            acked,
            format_args!("the store acknowledges that {id} is gone"),
        );
    }
    let ends = acked + DRAIN + LINGER;
    record.add_at(ends, "the runners that leave end");
    let touch = if trouble { silent + CONTACT } else { silent };
    let due = touch.max(acked + DRAIN);
    record.add_at(due, "from now on they must get no request");
    traffic.send_until(&routers, ends);
    for leaver in leavers {
        leaver.end();
    }
    traffic.send_until(&routers, silent + AFTER);
    let seen = traffic.briefs.into_iter();
    let seen: Vec<Seen> = seen.filter_map(|brief| brief.join().ok()).collect();
    judge(record, due, &routers, &runners, &seen)
}

fn judge(
    record: &Record,
    due: Instant,
    routers: &[Router],
    runners: &[Arc<Runner>],
    seen: &[Seen],
) -> io::Result<Verdict> {
    // Taken from the consumer and sent on by a router that was in touch all the while.
    let sent_late: Vec<&str> = seen
        .iter()
        .filter(|brief| brief.sent > due)
        .map(|brief| brief.attempt.as_str())
        .collect();
    let mut late = Vec::new();
    for (index, runner) in runners.iter().enumerate() {
        for request in runner.requests() {
            let attempt = request.attempt();
            let is_late = index < LEAVERS && sent_late.contains(&attempt);
            let mark = if is_late { "BROKEN " } else { "" };
            record.add_at(
                request.at,
                format_args!("{mark}{} gets {attempt}", runner.id),
            );
            if is_late {
                late.push(attempt.to_owned());
            }
        }
    }
    let (mut served, mut lost) = (0, 0);
    for brief in seen {
        let Seen {
            attempt,
            status,
            whole,
            ..
        } = brief;
        record.add_at(
            brief.sent,
            format_args!("{attempt} sent; answered {status}, complete: {whole}"),
        );
        let is_served = *status == 200 && *whole;
        served += u32::from(is_served);
        lost += u32::from(!is_served && late.contains(attempt));
    }
    for router in routers {
        for line in router.log_lines("event=target") {
            record.add(format_args!("log of {}: {line}", router.name));
        }
    }
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(Verdict {
        broken: !late.is_empty(),
        seen: format!(
            "{} requests reached runners later than drain_ms after the store acknowledged that \
             they are gone, from routers in touch; {lost} of them were cut off ({served} of {} \
             requests served)",
            late.len(),
            seen.len()
        ),
    })
}
