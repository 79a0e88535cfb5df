//! A part of prompts that crashes each runner that begins to answer it.

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
    router::{Folder, Site},
    runner::{Request, Runner},
    store::Store,
};

/// Number of routers.
const ROUTERS: u8 = 6;

/// Number of runners.
const RUNNERS: usize = 18;

/// The part that crashes runners, and its length in tokens.
const PART: &str = "deadbeef:512";

/// Time until the first event of an answer.
const FIRST_EVENT: Duration = Duration::from_millis(1_200);

/// Time after which a crashed runner is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// Interval at which it is looked whether a request has to be sent.
const STEP: Duration = Duration::from_millis(5);

/// Time for which a consumer waits.
const DEADLINE: Duration = Duration::from_secs(12);

/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Requests that may reach runners later than that after the fifth crash.
const ALLOWED: usize = 3;

/// How often requests come.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Interval of the sound requests.
    sound: Duration,
    /// Interval of the requests with the part at first.
    first: Duration,
    /// Interval of these requests later.
    later: Duration,
    /// When their interval changes.
    change: Duration,
    /// When the last requests are sent.
    end: Duration,
}

/// The usual traffic of a kind of request; the part comes seldom until it is refused.
pub const USUAL: Rates = Rates {
    sound: Duration::from_millis(41),
    first: Duration::from_millis(500),
    later: Duration::from_millis(41),
    change: Duration::from_secs(12),
    end: Duration::from_secs(76),
};

/// A quiet time.
pub const QUIET: Rates = Rates {
    sound: Duration::from_millis(2_000),
    first: Duration::from_millis(500),
    later: Duration::from_millis(500),
    change: Duration::from_secs(45),
    end: Duration::from_secs(45),
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-briefs","hostname":"site.example","prefix":"/briefs/","type":"streaming","timeout_ms":12000,"target_latency_ms":1200,"priority":1,"service":"briefs","max_attempts":1,"public":false,"session_affinity":true,"resumable":false,"target_gap_ms":800}],"services":[{"name":"briefs","health_path":"/healthz","max_connections":370,"protocol":"h1","tls_enabled":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"sales","api_keys":["key-sales"],"priority":1}]}"#;

fn is_tainted(request: &Request) -> bool {
    request
        .head
        .field("x-prompt-prefix")
        .is_some_and(|it| it.contains(PART))
}

fn work(runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    thread::sleep(FIRST_EVENT);
    if is_tainted(request) {
        runner.crash(BACK_AFTER);
        return Err(io::Error::other("crashed"));
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        runner.fields(request)
    );
    stream.write_all(head.as_bytes())?;
    for number in 1..=10 {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(Duration::from_millis(70));
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// What a consumer saw of one request.
struct Seen {
    attempt: String,
    sent: Instant,
    /// The status, 0 if the answer was not complete.
    status: u16,
}

/// Sends a request, and once more if it is refused, as consumers do: after the time
/// that the answer names, but a third of the time that is left at most. Returns what
/// was sent and answered.
fn brief(address: SocketAddr, attempt: String, parts: String) -> JoinHandle<Vec<Seen>> {
    let send = move |attempt: &str, deadline: Duration| {
        let request = format!(
            "POST /briefs/2f HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Model: m\r\nX-Token-Usage: 2000,80\r\nX-Prompt-Prefix: {parts}\r\n\
             X-Deadline-Ms: {}\r\nApi-Key: key-sales\r\nContent-Length: {}\r\n\r\n{attempt}",
            deadline.as_millis(),
            attempt.len()
        );
        let sent = Instant::now();
        let patience = deadline + Duration::from_secs(1);
        let answer = http::call(address, request.as_bytes(), patience);
        let after = answer
            .head
            .field("retry-after")
            .and_then(|it| it.parse().ok());
        let seen = Seen {
            attempt: attempt.to_owned(),
            sent,
            status: if answer.whole { answer.status } else { 0 },
        };
        (seen, after)
    };
    thread::spawn(move || {
        let start = Instant::now();
        let (first, after) = send(&attempt, DEADLINE);
        let left = DEADLINE.saturating_sub(start.elapsed());
        let (503, Some(after)) = (first.status, after) else {
            return vec![first];
        };
        thread::sleep(Duration::from_secs_f64(after).min(left / 3));
        let left = DEADLINE.saturating_sub(start.elapsed());
        vec![first, send(&format!("{attempt}-again"), left).0]
    })
}

/// Plays the case.
pub fn play(record: &Record, trouble: bool, rates: Rates) -> io::Result<Verdict> {
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
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let (mut sound, mut tainted) = (Vec::new(), Vec::new());
    let (mut next_sound, mut next_tainted) = (start, start);
    while start.elapsed() < rates.end {
        let now = Instant::now();
        if next_sound <= now {
            next_sound += rates.sound;
            let number = sound.len();
            let router = &routers[number % routers.len()];
            let parts = format!(
                "{:x}:119,{:x}:580,{number:x}:130",
                number % 7,
                100 + number % 40
            );
            sound.push(brief(router.frontend, format!("sound-{number}"), parts));
        }
        if trouble && next_tainted <= now {
            let is_first = start.elapsed() < rates.change;
            next_tainted += if is_first { rates.first } else { rates.later };
            let number = tainted.len();
            let router = &routers[number * 5 % routers.len()];
            let other = 100 + number % 40;
            let parts = format!("{PART},{other:x}:580,{number:x}:130");
            tainted.push(brief(router.frontend, format!("tainted-{number}"), parts));
        }
        thread::sleep(STEP);
    }
    let sound = sound.into_iter().filter_map(|request| request.join().ok());
    let sound: Vec<Seen> = sound.flatten().collect();
    let tainted = tainted
        .into_iter()
        .filter_map(|request| request.join().ok());
    let tainted: Vec<Seen> = tainted.flatten().collect();
    for Seen {
        attempt,
        sent,
        status,
    } in sound.iter().chain(&tainted)
    {
        record.add_at(*sent, format_args!("{attempt} sent; answered {status}"));
    }
    let served = sound.iter().filter(|request| request.status == 200).count();
    // The answer was cut off, or a runner had begun and there was none.
    let is_lost = |request: &&Seen| matches!(request.status, 0 | 502);
    let lost: Vec<&str> = sound
        .iter()
        .filter(is_lost)
        .map(|request| request.attempt.as_str())
        .collect();
    let mut crashes: Vec<Instant> = runners.iter().flat_map(|it| it.crashes()).collect();
    crashes.sort();
    for at in &crashes {
        record.add_at(*at, "a runner crashes");
    }
    let due = crashes.get(4).map(|fifth| *fifth + CONTACT);
    let mut late = 0;
    let mut late_attempts = Vec::new();
    for runner in &runners {
        for request in runner.requests() {
            let is_late = is_tainted(&request) && due.is_some_and(|due| request.at > due);
            late += usize::from(is_late);
            if is_late {
                late_attempts.push(request.attempt().to_owned());
            }
            if is_tainted(&request) {
                let mark = if is_late { "LATE " } else { "" };
                let (id, attempt) = (&runner.id, request.attempt());
                record.add_at(request.at, format_args!("{mark}{id} gets {attempt}"));
            }
        }
    }
    let mut cut = 0;
    for request in runners.iter().flat_map(|runner| runner.requests()) {
        let attempt = request.attempt();
        let is_cut = lost.contains(&attempt) && due.is_some_and(|due| request.at > due);
        if is_cut {
            record.add_at(
                request.at,
                format_args!("{attempt} begins, and is cut off by a crash"),
            );
        }
        cut += usize::from(is_cut);
    }
    for router in &routers {
        for text in [
            "event=part_crashes_targets",
            "event=part_admitted",
            "event=target_crashed",
        ] {
            for line in router.log_lines(text) {
                record.add(format_args!("log of {}: {line}", router.name));
            }
        }
        for attempt in &late_attempts {
            for line in router.log_lines(&format!("id={attempt} ")) {
                record.add(format_args!("log of {}: {line}", router.name));
            }
        }
    }
    Ok(Verdict {
        broken: late > ALLOWED,
        seen: format!(
            "{late} of {} requests with the part reached runners later than contact_ms \
             after the fifth crash, and cut off {cut} sound ones ({} crashes; {served} of \
             {} sound requests served)",
            tainted.len(),
            crashes.len(),
            sound.len()
        ),
    })
}
