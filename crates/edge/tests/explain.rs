//! Explanations of decisions: they agree with the decisions, change nothing, and are
//! limited in rate and size.

mod site;

use std::{collections::BTreeSet, sync::Arc};

use base::{hash, id, rate::Rate, span::Span, time::Mono};
use edge::{
    cold::{ColdLimit, Routers},
    decide::{Capabilities, Query, ServiceState},
    explain::{
        Explainer, MAX_RATE, RateLimit,
        answer::answer,
        client,
        query::{Caller, MAX_LENGTH, Question},
        report::{Admission, Choice, Exclusion, Hedge, Outcome, Report, Target},
        table::Table,
        targets,
    },
    fleet::{Fleet, PrefixChain},
    metrics,
};
use expect_test::expect;
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
    site::Options,
};
use http::{StatusCode, Uri};
use place::{
    contention::{ContentionModel, Figure},
    latency::LatencyModel,
    region::Placement,
};
use platform::{load::Load, request::Part, target as row};
use rand::{RngExt, SeedableRng, rngs::ChaCha8Rng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const STATES: u64 = 1_000;

fn centre(name: &str) -> id::DataCentre {
    name.parse().expect("an id")
}

fn part(id: &str, tokens: u32) -> Part {
    Part {
        id: id.to_owned(),
        tokens,
    }
}

/// Creates targets in random states: loaded, leaving, paused, blocked, slow, cold,
/// contended, with some parts cached.
fn fleet(random: &mut ChaCha8Rng, now: Mono, chain: &PrefixChain) -> Fleet {
    let rows: Vec<_> = (0..random.random_range(1..24))
        .map(|number| row::Target {
            id: format!("i-{number}").parse().expect("an id"),
            address: ([127, 0, 0, 1], number).into(),
            service: "s".parse().expect("an id"),
            centre: centre(["north", "south", "west"][random.random_range(0..3)]),
            slots: random.random_range(1..64),
            leaving: random.random_bool(0.1),
            cold: Span::ZERO,
            started_at: 1,
        })
        .collect();
    let fleet = Fleet::new(&rows.iter().collect::<Vec<_>>(), None);
    for target in fleet.targets() {
        if random.random_bool(0.5) {
            target.set_peer_load(now, 1, random.random_range(1..60));
        }
        if random.random_bool(0.5) {
            target.report(
                now,
                Load {
                    running: random.random_range(0..40),
                    ..Load::default()
                },
            );
        }
        if random.random_bool(0.1) {
            target.report_pause(now, Span::from_secs(1));
        }
        if random.random_bool(0.2) {
            target.update_breaker(|breaker| breaker.merge(now, Span::from_secs(1)));
        }
        if random.random_bool(0.3) {
            target.report_contention(Figure {
                percent: random.random_range(50..300),
                at: now,
            });
        }
        if random.random_bool(0.2) {
            target.cold().apply_statement(now, Span::from_secs(3), 1);
        }
        for part in chain.shared() {
            if random.random_bool(0.2) {
                target.add_cached(now, part);
            }
        }
    }
    fleet
}

/// An operator must not be told of another target than the one that the router would
/// choose, in whatever state the targets are.
#[test]
fn explained_target_is_selected() {
    let now = Mono(0) + Span::from_secs(100);
    let service = "s".parse().expect("an id");
    let own = centre("north");
    let evacuated = BTreeSet::from([centre("west")]);
    let table = "127.0.0.1:1".parse().expect("an address");
    let bounds = site::settings(table, &[]).bounds;
    let mut outcomes = BTreeSet::new();
    let mut selected = 0;
    for seed in 0..STATES {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let parts: Vec<_> = (0..random.random_range(0..4))
            .map(|number| part(&format!("p{number}"), random.random_range(0..2_000)))
            .collect();
        let chain = PrefixChain::new(&parts);
        let fleet = fleet(&mut random, now, &chain);
        let mut contention = ContentionModel::default();
        for figures in 0..50_u64 {
            let figure = |percent, at| Figure {
                percent,
                at: Mono(0) + Span::from_millis(at),
            };
            contention.record(
                Some(figure(100 + figures as u32, figures)),
                figure(101, figures + 10),
            );
        }
        let cold = ColdLimit::new(
            Arc::new(Routers::default()),
            &bounds,
            Rate(random.random_range(1.0..20.0)),
            Span::from_secs(3),
        );
        let latency = LatencyModel::default();
        let state = ServiceState {
            targets: fleet.service(&service),
            capabilities: Some(Capabilities {
                engines: true,
                fetches: random.random_bool(0.5),
            }),
            latency: &latency,
            contention,
            centre: &own,
            rate: Rate(random.random_range(0.0..100.0)),
            routers: random.random_range(1..100),
            staleness: Span::from_millis(random.random_range(0..300)),
            load_factor: 2.0,
            placement: Placement {
                evacuated: &evacuated,
                ..Placement::default()
            },
            cold: random.random_bool(0.5).then_some(&cold),
        };
        let query = Query {
            chain: &chain,
            tried: &[],
            seed: hash::mix(seed, 1),
        };
        let before = state.select(now, query);
        let targets = targets::describe(&state, now, query);
        let after = state.select(now, query);
        assert_eq!(format!("{before:?}"), format!("{after:?}"), "seed {seed}");
        let wins = targets.iter().filter(|one| one.outcome == Outcome::Wins);
        let wins: Vec<_> = wins.map(|one| (one.id.as_str(), one.cost_us)).collect();
        let chosen = before.iter();
        let chosen: Vec<_> = chosen
            .map(|chosen| (chosen.target.row.id.as_str(), Some(chosen.choice.micros)))
            .collect();
        assert_eq!(wins, chosen, "seed {seed}");
        selected += wins.len();
        outcomes.extend(targets.iter().map(|one| format!("{:?}", one.outcome)));
        assert!(contention.is_known());
    }
    assert!(selected > 500, "{selected} of {STATES} had a target");
    let all = [
        "Blocked",
        "ColdLimit",
        "CostsMore",
        "Evacuated",
        "Full",
        "Leaving",
        "NotSampled",
        "Paused",
        "Tie",
        "Wins",
    ];
    assert_eq!(outcomes.iter().collect::<Vec<_>>(), all);
}

/// A malformed question must get an error that says what was expected and found, and
/// no explanation of another request.
#[test]
fn bad_queries() {
    let long = format!("host=h&path=/{}", "x".repeat(MAX_LENGTH));
    let queries = [
        "",
        "host=h",
        "host=&path=/x",
        "host=h&path=x",
        "host=h&path=/x&tenant=t",
        "host=h&path=/x&host=i",
        "host=h&path=/x&left",
        "host=h&path=/x&left=-1",
        "host=h&path=/x&left=4294967296",
        "host=h&path=/x&seed=1.5",
        "host=h&path=/x&key=k&team=t",
        "host=h&path=/x&prompt=a:1,b",
        "host=h&path=/x&prompt=a:1,,b:2",
        "host=h&path=/x&prompt=:5",
        "host=h&path=/x&prompt=a:4294967295,b:1",
        "host=h&path=/%2",
        "host=h&path=/%zz",
        "host=h&path=/%ff",
        &long,
    ];
    let errors = queries.map(|query| match Question::decode(query) {
        Ok(question) => format!("{question:?}\n"),
        Err(error) => format!("{error}\n"),
    });
    expect![[r#"
        expected a path, found none
        expected a path, found none
        expected a host, found none
        expected a path that begins with "/", found "x"
        expected host, path, key, team, prompt, left or seed, found "tenant"
        expected one host, found a second one
        expected NAME=VALUE, found "left"
        expected a whole number from 0 to 4294967295 in left, found "-1"
        expected a whole number from 0 to 4294967295 in left, found "4294967296"
        expected a whole number from 0 to 18446744073709551615 in seed, found "1.5"
        expected a key or a team, found both
        expected ID:TOKENS with 0 to 4294967295 tokens in prompt, found "b"
        expected ID:TOKENS with 0 to 4294967295 tokens in prompt, found ""
        expected ID:TOKENS with 0 to 4294967295 tokens in prompt, found ":5"
        expected at most 4294967295 tokens in prompt, found 4294967296
        expected two hexadecimal digits after % in path, found "%2"
        expected two hexadecimal digits after % in path, found "%zz"
        expected UTF-8 in path, found other bytes
        expected a query of at most 16384 bytes, found 16397 bytes
    "#]]
    .assert_eq(&errors.concat());
}

/// The command's encoding of a question must not change it.
#[test]
fn round_trip() {
    let question = Question {
        host: "h.example".to_owned(),
        path: "/a b/&=%+é".to_owned(),
        caller: Caller::Key("k&y=1".to_owned()),
        prompt: vec![part("a:b", 10), part("c d", 20)],
        left_ms: Some(500),
        seed: u64::MAX,
    };
    assert_eq!(Question::decode(&question.encode()), Ok(question));
}

/// More questions in a second would take time from callers.
#[test]
fn rate_limit() {
    let mut limit = RateLimit::default();
    let at = |millis| Mono(0) + Span::from_millis(millis);
    let admitted = (0..100)
        .filter(|number| limit.admit(at(number * 10)))
        .count();
    assert_eq!(admitted, MAX_RATE);
    assert!(limit.admit(at(1_000)), "the first one is a second ago");
    assert!(!limit.admit(at(1_005)));
}

/// Operators read the table under pressure: it must stay aligned and complete.
#[test]
fn table() {
    let target = |id: &str, outcome| Target {
        id: id.to_owned(),
        centre: "north".to_owned(),
        slots: 16,
        outcome,
        ..Target::default()
    };
    let report = Report {
        router: "router-1".to_owned(),
        centre: "north".to_owned(),
        version: 12,
        seed: 7,
        rule: Some("chat".to_owned()),
        service: Some("engines".to_owned()),
        team: None,
        left_ms: Some(970),
        admission: Admission {
            admitted: true,
            shed_probability: Some(0.125),
            random: Some(0.5),
            ..Admission::default()
        },
        choice: Some(Choice {
            target: "i-1".to_owned(),
            reason: "cheapest".to_owned(),
            cost_us: 8_806,
            source: Some("10.3.64.12:8600".to_owned()),
            spill_load: 11,
            utilization_percent: 43.75,
        }),
        targets: vec![
            Target {
                load: 3,
                missing_tokens: 86,
                cost_us: Some(8_806),
                ..target("i-1", Outcome::Wins)
            },
            Target {
                load: 12,
                contention_percent: -20,
                cost_us: Some(112_000),
                ..target("i-long-name", Outcome::Full)
            },
            Target {
                cold: true,
                paused_ms: Some(750),
                blocked: true,
                ..target("i-3", Outcome::Paused)
            },
            Target {
                excluded: Some(Exclusion::Evacuated),
                ..target("i-4", Outcome::Evacuated)
            },
        ],
        hedge: Some(Hedge {
            outcome: "utilization".to_owned(),
            delay_ms: Some(120),
            target: Some("i-long-name".to_owned()),
        }),
    };
    expect![[r#"
        router router-1 in north, configuration 12, seed 7
        rule chat, service engines, team none, 970 ms left
        would be sent (shed below 0.125, drawn 0.500)
        target i-1: cheapest, cost 8806 us, targets full from load 11, 44% of the slots in use, fetches from 10.3.64.12:8600
        second attempt: utilization, after 120 ms, target i-long-name

        target       centre  load   contention  missing  cost       state                         outcome
        i-1          north   3/16   0%          86       8806 us    -                             wins
        i-long-name  north   12/16  -20%        0        112000 us  -                             full
        i-3          north   0/16   0%          0        -          cold, paused 750 ms, blocked  paused
        i-4          north   0/16   0%          0        -          -                             evacuated
    "#]].assert_eq(&Table(&report).to_string());
}

/// A refusal without targets must say why and when to return.
#[test]
fn table_of_refusal() {
    let report = Report {
        router: "router-1".to_owned(),
        centre: "north".to_owned(),
        admission: Admission {
            reason: Some("not-ready".to_owned()),
            retry_after_ms: Some(700),
            ..Admission::default()
        },
        ..Report::default()
    };
    expect![[r#"
        router router-1 in north, configuration 0, seed 0
        rule none, service none, team none
        would be refused: not-ready, retry after 700 ms
    "#]]
    .assert_eq(&Table(&report).to_string());
}

fn question(path: &str, caller: Caller) -> Question {
    Question {
        host: "h.example".to_owned(),
        path: path.to_owned(),
        caller,
        seed: 3,
        ..Question::default()
    }
}

/// A question must reach no target, change no counter of the decision, and get no
/// answer on the callers' listener. The metrics must still be served beside it.
#[tokio::test]
async fn running_router() {
    let table = Rows::start().expect("a table");
    fakes::site::configure_with(&table, 1, &[site::KEY], Options::default());
    let runners = ["north", "south"].map(|centre| {
        let runner = Runner::start(&format!("i-{centre}"), Behaviour::ByPath).expect("a target");
        fakes::site::list_in(&table, &runner, centre);
        runner
    });
    fakes::site::evacuate(&table, "south");
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    let shared = &router.shared;
    let evacuated = || shared.evacuated.load().len() == 1;
    site::until("the evacuation is known", evacuated).await;
    let targets = || shared.fleet.load().iter().flat_map(|f| f.targets()).count() == 2;
    site::until("the targets are known", targets).await;
    metrics::serve(shared.clone())
        .await
        .expect("the metrics address");

    let ask = async |question: &Question| {
        let answer = client::ask(shared.settings.metrics, &question.encode()).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        serde_json::from_slice::<Report>(&answer.body).expect("a report")
    };
    let metrics = || {
        let text = shared.metrics.render(shared).expect("metrics");
        // The control thread of the router counts these all the time.
        let other = ["table_", "news_", "log_"].map(|name| format!("ebonywall_{name}"));
        let lines = text.lines();
        let lines = lines.filter(|line| !other.iter().any(|name| line.starts_with(name)));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    let before = metrics();
    let report = ask(&question("/again/x", Caller::Key(site::KEY.to_owned()))).await;
    assert!(report.admission.admitted, "{report:?}");
    let target = report.choice.as_ref().map(|choice| choice.target.as_str());
    assert_eq!(target, Some("i-north"));
    let outcomes: Vec<_> = report.targets.iter().map(|target| target.outcome).collect();
    assert!(outcomes.contains(&Outcome::Evacuated), "{outcomes:?}");
    assert_eq!(
        report.hedge.map(|hedge| hedge.outcome).as_deref(),
        Some("off")
    );
    let report = ask(&question("/again/x", Caller::Team("team".to_owned()))).await;
    assert!(report.admission.admitted, "{report:?}");
    for (path, caller, reason) in [
        ("/again/x", Caller::Anonymous, "unknown-key"),
        ("/again/x", Caller::Key("other".to_owned()), "unknown-key"),
        ("/none/x", Caller::Key(site::KEY.to_owned()), "no-rule"),
    ] {
        let report = ask(&question(path, caller)).await;
        assert!(!report.admission.admitted);
        assert_eq!(report.admission.reason.as_deref(), Some(reason));
    }
    assert_eq!(metrics(), before);
    assert!(runners.iter().all(|runner| runner.runs().is_empty()));

    let stream = TcpStream::connect(shared.settings.metrics).await;
    let mut stream = stream.expect("connects");
    let request = b"GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("sends");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("reads");
    assert!(text.contains("ebonywall_requests_total"), "{text}");

    let callers = client::ask(shared.settings.callers, "host=h.example&path=/again/x").await;
    let status = callers.expect("an answer").status;
    assert_ne!(status, StatusCode::OK, "not on the callers' listener");

    let expired = Question {
        left_ms: Some(10),
        ..question("/again/x", Caller::Key(site::KEY.to_owned()))
    };
    let report = answer(shared, shared.clock.now(), &expired);
    assert_eq!(report.admission.reason.as_deref(), Some("expired-unsent"));
    fakes::site::evacuate(&table, "north");
    let evacuated = || shared.evacuated.load().len() == 2;
    site::until("the second evacuation is known", evacuated).await;
    let asked = question("/again/x", Caller::Key(site::KEY.to_owned()));
    let report = answer(shared, shared.clock.now(), &asked);
    let reason = report.admission.reason.as_deref();
    assert_eq!(reason, Some("no-permitted-target"));
    assert_eq!(report.choice, None);
}

/// Errors have the status that the command's exit codes depend on.
#[test]
fn statuses() {
    let table = "127.0.0.1:1".parse().expect("an address");
    let explainer = Explainer::new(edge::shared::Shared::new(site::settings(table, &[])));
    let status = |query: &str| {
        let uri: Uri = format!("/explain?{query}").parse().expect("a URI");
        explainer.respond(&uri).status()
    };
    assert_eq!(status("host=h"), StatusCode::BAD_REQUEST);
    let long = "x".repeat(MAX_LENGTH + 1);
    assert_eq!(status(&long), StatusCode::URI_TOO_LONG);
    assert_eq!(status("host=h&path=/x"), StatusCode::OK);
    let mut many = (0..1_000).map(|_| status("host=h&path=/x"));
    assert!(many.any(|status| status == StatusCode::TOO_MANY_REQUESTS));
}
