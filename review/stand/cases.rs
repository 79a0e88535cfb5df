//! The cases: what is sent when, and whether the rule was broken.

use std::{collections::BTreeMap, env, io, process, sync::Arc, thread, time::Duration};

use crate::site::{CONTACT, DESK, Event, KEY, MODEL, OTHER_KEY, Request, Service, Site};

/// Text that crashes runners.
const DEADLY: &str = "c0ffee";

/// Second after which a case that has not ended is given up.
const LONGEST: f64 = 114.0;

/// Time limit of plain requests.
const PLAIN_LIMIT: Duration = Duration::from_millis(3_000);

/// Time limit of streams.
const STREAM_LIMIT: Duration = Duration::from_millis(12_000);

/// Requests with a deadly content or part that may reach runners late.
const ALLOWED: usize = 3;

/// The result of a case.
struct Verdict {
    broken: bool,
    lines: Vec<String>,
}

/// Plays a case and returns the exit status.
pub fn play(name: &str, record: &str) -> i32 {
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match name {
        "restart" => restart(trouble, record),
        "pair" => pair(trouble, record),
        "burst" => burst(trouble, record),
        "blame" => blame(trouble, record),
        "interim" => interim(trouble, record),
        _ => return 2,
    };
    match result {
        Ok(Some(verdict)) => {
            for line in &verdict.lines {
                println!("{line}");
            }
            i32::from(verdict.broken)
        }
        Ok(None) => 2,
        Err(error) => {
            eprintln!("{error}");
            2
        }
    }
}

/// Starts a deployment, plays `script` from a second after all routers are in
/// rotation, and writes the record.
fn with_site(
    routers: u8,
    services: &[Service],
    record: &str,
    script: impl FnOnce(&Arc<Site>, f64) -> io::Result<()>,
    judge: impl FnOnce(&Site) -> Verdict,
) -> io::Result<Option<Verdict>> {
    let site = Site::start(routers, services, DEADLY)?;
    let watched = site.clone();
    thread::spawn(move || {
        watched.wait(LONGEST);
        watched.end();
        process::exit(2);
    });
    let verdict = if site.ready(10.0) {
        let begin = site.now() + 1.0;
        script(&site, begin)?;
        Some(judge(&site))
    } else {
        None
    };
    site.end();
    let lines = verdict.as_ref().map(|verdict| verdict.lines.clone());
    site.write_record(record, &lines.unwrap_or_default())?;
    Ok(verdict)
}

/// Sends `request(turn)` at a fixed interval until a second, at the routers in turn.
fn repeat(
    site: &Arc<Site>,
    from: f64,
    until: f64,
    interval: f64,
    note: &'static str,
    request: impl Fn(usize) -> Request + Send + 'static,
) {
    let site = site.clone();
    thread::spawn(move || {
        for turn in 0.. {
            let at = from + interval * turn as f64;
            if at >= until {
                return;
            }
            site.wait(at);
            site.spawn(turn, request(turn), note);
        }
    });
}

/// An order, which may run at most once.
fn order(body: String) -> Request {
    Request {
        method: "POST",
        path: "/order/2f".to_owned(),
        key: KEY,
        prompt: String::new(),
        body,
        limit: PLAIN_LIMIT,
    }
}

/// A look-up of an order, which may be repeated.
fn status(number: &str) -> Request {
    Request {
        method: "GET",
        path: format!("/status/{number}/2f"),
        ..order(String::new())
    }
}

/// A request whose answer is a stream.
fn brief(key: &'static str, prompt: String, body: String) -> Request {
    Request {
        path: "/brief/2f".to_owned(),
        key,
        prompt,
        limit: STREAM_LIMIT,
        ..order(body)
    }
}

/// Sends sound orders, no two alike.
fn sound_orders(site: &Arc<Site>, from: f64, until: f64) {
    repeat(site, from, until, 0.05, "sound", |turn| {
        order(format!("order {turn}"))
    });
}

/// Returns the attempts with a note, and the router and time of each.
fn sent(events: &[Event], note: &str) -> BTreeMap<String, (String, f64)> {
    let sent = events
        .iter()
        .filter(|it| it.kind == "sent" && it.note == note);
    sent.map(|it| (it.attempt.clone(), (it.place.clone(), it.at)))
        .collect()
}

/// Judges requests that crash runners: `crashes` is the number of crashes after which,
/// `contact_ms` later, at most three may reach runners.
fn judge_budget(site: &Site, crashes: usize) -> Verdict {
    let events = site.events();
    let deadly = sent(&events, "deadly");
    let all: Vec<f64> = events
        .iter()
        .filter(|it| it.kind == "crash" && deadly.contains_key(&it.attempt))
        .map(|it| it.at)
        .collect();
    let from = all.get(crashes - 1).map(|at| at + CONTACT);
    let mut late: Vec<&str> = Vec::new();
    for it in events.iter().filter(|it| it.kind == "reach") {
        let Some((place, _)) = deadly.get(&it.attempt) else {
            continue;
        };
        let is_late = from.is_some_and(|from| it.at > from) && site.in_touch(place, it.at);
        if is_late && !late.contains(&it.attempt.as_str()) {
            late.push(&it.attempt);
        }
    }
    let lost = |note: &str| {
        let ends = events.iter().filter(|it| it.kind == "answered");
        let ends = ends.filter(|it| it.note.starts_with(note));
        let not_run = ["Status(200)", "Status(503)"];
        ends.filter(|it| !not_run.iter().any(|end| it.note.ends_with(end)))
            .count()
    };
    let broken = late.len() > ALLOWED;
    Verdict {
        broken,
        lines: vec![
            format!(
                "requests that crash runners: {} sent, {} crashes",
                deadly.len(),
                all.len()
            ),
            format!(
                "crash {crashes} at {:.3} s",
                all.get(crashes - 1).unwrap_or(&f64::NAN)
            ),
            format!(
                "reached runners later than contact_ms after it, by machines in touch: {} ({ALLOWED} allowed)",
                late.len()
            ),
            format!(
                "sound requests without an answer, or with 502 or 504: {}",
                lost("sound")
            ),
            format!("BUDGET {}", if broken { "broken" } else { "held" }),
        ],
    }
}

/// A plain request crashes each runner that runs it and is refused; then the routers
/// are restarted in turn.
fn restart(trouble: bool, record: &str) -> io::Result<Option<Verdict>> {
    const LENGTH: f64 = 86.0;
    let script = |site: &Arc<Site>, begin: f64| {
        let end = begin + LENGTH;
        sound_orders(site, begin, end);
        repeat(site, begin + 2.0, end, 1.7, "deadly", |_| {
            order(format!("order {DEADLY}"))
        });
        for index in 0..4 {
            site.wait(begin + 12.0 + 17.5 * index as f64);
            if trouble {
                site.restart_router(index)?;
            }
        }
        site.wait(end + 1.0);
        Ok(())
    };
    let judge = |site: &Site| judge_budget(site, 3);
    with_site(4, &[MODEL, DESK], record, script, judge)
}

/// A repeatable request crashes each runner that runs it; the runners start again
/// under the ids that they had, and one of three has left for good.
fn pair(trouble: bool, record: &str) -> io::Result<Option<Verdict>> {
    const LENGTH: f64 = 50.0;
    let desk = Service {
        keeps_ids: true,
        ..DESK
    };
    let script = |site: &Arc<Site>, begin: f64| {
        let end = begin + LENGTH;
        sound_orders(site, begin, end);
        if trouble {
            site.drain(&format!("{}-2", DESK.name));
        }
        repeat(site, begin + 8.0, end, 2.5, "deadly", |_| status(DEADLY));
        site.wait(end + 1.0);
        Ok(())
    };
    with_site(4, &[MODEL, desk], record, script, |site| {
        judge_budget(site, 3)
    })
}

/// Requests with a prompt part that crashes runners come six at a time.
fn burst(trouble: bool, record: &str) -> io::Result<Option<Verdict>> {
    const LENGTH: f64 = 25.0;
    const GROUP: usize = 6;
    let model = Service {
        runners: 18,
        ..MODEL
    };
    let script = |site: &Arc<Site>, begin: f64| {
        let end = begin + LENGTH;
        repeat(site, begin, end, 0.1, "sound", |turn| {
            let prompt = format!("a0:512,d{:x}:2000,{turn:x}e:300", turn % 40);
            brief(KEY, prompt, format!("brief {turn}"))
        });
        if trouble {
            for index in 0..GROUP {
                repeat(site, begin + 5.0, end, 2.5, "deadly", move |turn| {
                    let own = turn * GROUP + index;
                    let prompt = format!("a0:512,{DEADLY}:400,d{:x}:2000,{own:x}f:300", own % 40);
                    brief(KEY, prompt, format!("deadly {own}"))
                });
            }
        }
        site.wait(end + 2.0);
        Ok(())
    };
    with_site(6, &[model, DESK], record, script, |site| {
        judge_budget(site, 5)
    })
}

/// Requests with a first part that crashes runners have their second part in common
/// with sound requests of the same caller, which come three at a time.
fn blame(trouble: bool, record: &str) -> io::Result<Option<Verdict>> {
    const CALM: f64 = 40.0;
    const LENGTH: f64 = 92.0;
    let script = |site: &Arc<Site>, begin: f64| {
        let end = begin + LENGTH;
        repeat(site, begin, end, 0.15, "other", |turn| {
            let prompt = format!("a0:512,b{:x}:2000,{turn:x}e:300", turn % 40);
            brief(OTHER_KEY, prompt, format!("other {turn}"))
        });
        for index in 0..3 {
            repeat(
                site,
                begin + 0.1 * index as f64,
                end,
                5.0,
                "sound",
                move |turn| {
                    let own = turn * 3 + index;
                    let prompt = format!("a0:512,dd:2000,{own:x}c:300");
                    brief(KEY, prompt, format!("sound {own}"))
                },
            );
        }
        if trouble {
            repeat(site, begin + CALM + 0.5, end, 0.45, "deadly", |turn| {
                let prompt = format!("{DEADLY}:400,dd:2000,{turn:x}f:300");
                brief(KEY, prompt, format!("deadly {turn}"))
            });
        }
        site.wait(end + 2.0);
        Ok(())
    };
    with_site(4, &[MODEL, DESK], record, script, judge_lost)
}

/// Judges sound requests with the caller of requests that crash runners.
fn judge_lost(site: &Site) -> Verdict {
    let events = site.events();
    let (deadly, sound) = (sent(&events, "deadly"), sent(&events, "sound"));
    let crashes: Vec<f64> = events
        .iter()
        .filter(|it| it.kind == "crash" && deadly.contains_key(&it.attempt))
        .map(|it| it.at)
        .collect();
    let last = crashes.iter().take(5).copied().last();
    let until = deadly.values().map(|(_, at)| *at).fold(0.0, f64::max);
    let ran = |attempt: &String| {
        let mut runs = events.iter().filter(|it| it.kind == "run");
        runs.any(|it| it.attempt == *attempt)
    };
    let share = |from: f64, until: f64| {
        let asked: Vec<&String> = sound
            .iter()
            .filter(|(_, (_, at))| *at >= from && *at < until)
            .map(|(attempt, _)| attempt)
            .collect();
        let begun = asked.iter().filter(|attempt| ran(attempt)).count();
        (begun, asked.len())
    };
    let first = deadly
        .values()
        .map(|(_, at)| *at)
        .fold(f64::INFINITY, f64::min);
    let (before, asked_before) = share(0.0, first);
    let (after, asked_after) = match last {
        Some(last) => share(last + 2.0 * CONTACT, until),
        None => (0, 0),
    };
    let enough = asked_before >= 20 && asked_after >= 20;
    let rate = |begun: usize, asked: usize| begun as f64 / asked.max(1) as f64;
    let broken = enough && rate(after, asked_after) < rate(before, asked_before) / 2.0;
    Verdict {
        broken,
        lines: vec![
            format!(
                "requests that crash runners: {} sent, {} crashes",
                deadly.len(),
                crashes.len()
            ),
            format!("sound requests of the same caller before: {before} of {asked_before} began"),
            format!(
                "from 2 x contact_ms after crash {} ({:.3} s): {after} of {asked_after} began",
                crashes.len().min(5),
                last.unwrap_or(f64::NAN)
            ),
            format!("LOST {}", if broken { "broken" } else { "held" }),
        ],
    }
}

/// Two of twelve model runners answer with interim responses without end.
fn interim(trouble: bool, record: &str) -> io::Result<Option<Verdict>> {
    const LENGTH: f64 = 30.0;
    const RUNNERS: usize = 2;
    // Bytes a second from a runner to each of the four routers: 1,600 Mbit/s of the
    // runner's 2,000, and 800 Mbit/s of a router's 1,000.
    const RATE: u32 = 50_000_000;
    let script = |site: &Arc<Site>, begin: f64| {
        let end = begin + LENGTH;
        sound_orders(site, begin, end);
        repeat(site, begin, end, 0.018, "stream", |turn| {
            let prompt = format!("a0:512,b{:x}:2000,{turn:x}e:300", turn % 40);
            brief(KEY, prompt, format!("brief {turn}"))
        });
        site.wait(begin + 8.0);
        if trouble {
            for number in 0..RUNNERS {
                site.order(
                    &format!("{}-{number}", MODEL.name),
                    &format!("endless {RATE}"),
                );
            }
        }
        site.wait(end + 4.0);
        Ok(())
    };
    with_site(4, &[MODEL, DESK], record, script, judge_timeout)
}

/// Judges orders that last longer than the timeout of their route.
fn judge_timeout(site: &Site) -> Verdict {
    /// `timeout_ms` of the route.
    const TIMEOUT: f64 = 1.5;
    let events = site.events();
    let sent = sent(&events, "sound");
    let ends = events
        .iter()
        .filter(|it| it.kind == "answered" && it.note.starts_with("sound"));
    let mut times = Vec::new();
    for it in ends {
        if let Some((place, at)) = sent.get(&it.attempt)
            && site.in_touch(place, *at)
        {
            times.push(it.at - at);
        }
    }
    let count = |limit: f64| times.iter().filter(|took| **took > limit).count();
    let (late, unanswered) = (count(TIMEOUT), count(TIMEOUT + 0.5));
    let broken = unanswered >= 8 && unanswered * 4 > late;
    let longest = times.iter().copied().fold(0.0, f64::max);
    Verdict {
        broken,
        lines: vec![
            format!("{} orders, the longest took {longest:.3} s", times.len()),
            format!("without a final answer at timeout_ms: {late}"),
            format!("half a second later: {unanswered}"),
            format!("CONFIG {}", if broken { "broken" } else { "held" }),
        ],
    }
}
