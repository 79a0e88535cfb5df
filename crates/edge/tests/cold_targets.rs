//! The limit of requests to cold targets, at the routers.

mod site;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{cores::Cores, id, rate::Rate, span::Span, time::Mono};
use edge::{
    cold::{
        self, ColdLimit, MAX_HOPS, Routers, TableRead,
        state::{ColdState, Evidence},
    },
    decide::{Query, ServiceState},
    exchange::Exchange,
    fleet::{Fleet, PrefixChain},
    relays::{self, CentreHash, Router},
    target_list::TargetList,
    update::TargetRow,
};
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
};
use http::StatusCode;
use place::{cold::Members, contention::ContentionModel, latency::LatencyModel, region::Placement};
use platform::{
    rows::Position,
    settings::Settings,
    target::{self as row, MAX_COLD},
};
use prost::Message;
use tokio::time;

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn row(id: &str, cold_ms: u64) -> row::Target {
    row::Target {
        id: id.parse().expect("an id"),
        address: ([127, 0, 0, 1], 80).into(),
        service: "s".parse().expect("an id"),
        centre: "c".parse().expect("an id"),
        slots: 8,
        leaving: false,
        cold: Span::from_millis(cold_ms),
        started_at: 1,
    }
}

/// Rows that only count down the cold time are heartbeats: if they counted as
/// changes, each would make all routers read the table and rebuild their targets.
#[test]
fn countdown_is_no_change() {
    let mut list = TargetList::default();
    assert!(list.put(at(0), Position::from(1), row("a", 3_000)));
    assert!(!list.put(at(1_000), Position::from(2), row("a", 2_000)));
    assert!(!list.put(at(2_300), Position::from(3), row("a", 900)));
    assert_eq!(list.last_change(), Position::from(1));
    assert!(list.put(at(3_000), Position::from(4), row("a", 0)), "warm");
    assert_eq!(list.last_change(), Position::from(4));
    assert!(!list.put(at(4_000), Position::from(5), row("a", 0)));
    assert!(
        list.put(at(5_000), Position::from(6), row("a", 3_000)),
        "cold"
    );
    assert!(
        list.put(at(6_500), Position::from(7), row("a", 3_000)),
        "again"
    );
    assert_eq!(list.last_change(), Position::from(7));
}

/// Other routers learn of a target that turns, with the time that is left, and from
/// a sender that knows nothing of cold targets they learn nothing new.
#[test]
fn turns_are_announced() {
    let mut list = TargetList::default();
    list.put(at(0), Position::from(1), row("a", 0));
    list.put(at(10_000), Position::from(2), row("a", 3_000));
    let joined = list.joined(at(11_000), 4);
    let [(position, target)] = &joined[..] else {
        panic!("{joined:?}");
    };
    assert_eq!(target.cold, Span::from_millis(2_000));
    let sent = TargetRow::new(*position, target);
    let mut other = TargetList::default();
    let (position, target) = sent.target().expect("valid");
    other.put_announced(at(500), position, target);
    let old = TargetRow {
        cold: None,
        ..sent.clone()
    };
    let (position, target) = old.target().expect("valid");
    assert!(!other.put_announced(at(600), position, target));
    let (_, until) = other.cold(&row("a", 0).id, 1).expect("known");
    assert_eq!(until, Some(at(2_500)));
    let huge = TargetRow {
        cold: Some(u32::MAX),
        ..sent
    };
    assert_eq!(huge.cold_time(), MAX_COLD);
}

/// A version that does not know the new fields decodes an announcement with them.
#[test]
fn fields_are_optional() {
    #[derive(Clone, PartialEq, Message)]
    struct OldRow {
        #[prost(string, tag = "1")]
        id: String,
        #[prost(uint64, tag = "8")]
        position: u64,
    }
    let sent = TargetRow {
        hops: 1,
        ..TargetRow::new(Position::from(7).into(), &row("a", 3_000))
    };
    let old = OldRow::decode(&sent.encode_to_vec()[..]).expect("decodes");
    assert_eq!((old.id.as_str(), old.position), ("a", 7));
    let added = sent.encoded_len()
        - TargetRow {
            cold: None,
            hops: 0,
            ..sent.clone()
        }
        .encoded_len();
    assert!(added <= 8, "{added} bytes for each row");
}

fn read(began: u64, position: u64) -> Option<TableRead> {
    Some(TableRead {
        began: at(began),
        position: Position::from(position),
    })
}

/// A target that did not respond may have restarted. A row that was written before
/// must not end this, and one that was written after must.
#[test]
fn silent_until_row() {
    let mut cold = ColdState::default();
    cold.apply_row(at(0), Position::from(5), None, read(0, 5));
    assert!(!cold.is_cold(at(0)), "judged by its row");
    cold.suspect(at(100), Evidence::Silent, None);
    cold.apply_row(at(150), Position::from(6), None, read(50, 8));
    assert!(cold.is_cold(at(150)), "the read began before");
    cold.apply_row(at(750), Position::from(9), None, read(700, 12));
    assert!(cold.is_cold(at(750)), "the row may be older");
    cold.apply_row(at(1_400), Position::from(12), None, read(1_350, 20));
    assert!(cold.is_cold(at(1_400)), "the row is older than the read");
    cold.apply_row(at(2_000), Position::from(21), None, None);
    assert!(!cold.is_cold(at(2_000)));
    assert_eq!(cold.warm_since(at(2_000)), None, "it never was cold");
}

/// Without rows, a target that was silent is limited for the cold time after its
/// first response, or for a longer time without one, and not for good.
#[test]
fn silent_without_rows() {
    let expire = |cold: &mut ColdState, now| {
        cold.expire(at(now), Span::from_secs(3), Span::from_secs(6));
        cold.is_cold(at(now))
    };
    let mut cold = ColdState::default();
    cold.suspect(at(1_000), Evidence::Silent, None);
    cold.record_response(at(1_500));
    cold.record_response(at(4_000));
    assert!(expire(&mut cold, 4_400));
    assert!(!expire(&mut cold, 4_600));
    cold.suspect(at(5_000), Evidence::Silent, None);
    assert!(expire(&mut cold, 10_900));
    assert!(!expire(&mut cold, 11_000));
}

/// What a target says in a response holds over an earlier row, in both directions.
#[test]
fn responses() {
    let mut cold = ColdState::default();
    cold.apply_row(at(0), Position::from(1), Some(at(3_000)), None);
    cold.apply_response(at(500), Span::ZERO);
    cold.apply_row(at(600), Position::from(1), Some(at(3_000)), None);
    assert!(!cold.is_cold(at(600)));
    cold.apply_response(at(700), Span::from_millis(900));
    cold.apply_row(at(800), Position::from(2), None, None);
    assert!(cold.is_cold(at(1_500)));
    assert!(!cold.is_cold(at(1_600)));
    assert_eq!(cold.warm_since(at(1_600)), Some(at(1_600)));
}

/// Two routers that tell each other late what a target said must not prolong its
/// cold time for good.
#[test]
fn statements_end() {
    const DELAY: u64 = 700;
    let mut routers = [ColdState::default(), ColdState::default()];
    routers[0].apply_response(at(0), Span::from_secs(3));
    let mut delayed: Vec<(u64, usize, Span, u32)> = Vec::new();
    for now in (0..20_000).step_by(100) {
        let due = delayed.extract_if(.., |(due, ..)| *due <= now);
        for (_, to, left, hops) in due.collect::<Vec<_>>() {
            routers[to].apply_statement(at(now), left, hops);
        }
        for (from, router) in routers.iter().enumerate() {
            if let Some((left, hops)) = router.statement(at(now))
                && hops < MAX_HOPS
            {
                delayed.push((now + DELAY, 1 - from, left, hops + 1));
            }
        }
    }
    assert!(routers[1].statement(at(1_000)).is_some());
    let latest = 3_000 + u64::from(MAX_HOPS) * DELAY;
    for router in &routers {
        assert!(!router.is_cold(at(latest)), "{router:?}");
    }
}

fn limit(rate: f64, settings: &Settings) -> ColdLimit {
    let routers = Routers {
        members: Members {
            own: 1,
            others: Vec::new(),
            listed: true,
        },
        version: 1,
        started: at(0),
    };
    let cold_time = Span::from_secs(3);
    ColdLimit::new(Arc::new(routers), &settings.bounds, Rate(rate), cold_time)
}

fn settings() -> Settings {
    let mut settings = site::settings(([127, 0, 0, 1], 9).into(), &[]);
    settings.bounds.cold_overage = 1.0;
    settings.bounds.cold_allowance = 0;
    settings
}

/// Selects a target `count` times and sends to it at once; returns the ids.
fn select(fleet: &Fleet, cold: Option<&ColdLimit>, now: u64, count: u64) -> Vec<Option<String>> {
    let (latency, centre) = (LatencyModel::default(), "c".parse().expect("an id"));
    let service: id::ServiceId = "s".parse().expect("an id");
    let select = |seed| {
        let state = ServiceState {
            placement: Placement::default(),
            contention: ContentionModel::default(),
            targets: fleet.service(&service),
            capabilities: None,
            latency: &latency,
            centre: &centre,
            rate: Rate(1.0),
            routers: 1,
            staleness: Span::ZERO,
            load_factor: 2.0,
            cold,
        };
        let query = Query {
            chain: &PrefixChain::default(),
            tried: &[],
            seed,
        };
        let selection = state.select(at(now), query)?;
        if let Some(cold) = cold {
            let grant = cold.reserve(at(now), &selection.target);
            grant.expect("the share is free").sent(at(now));
        }
        Some(selection.target.row.id.to_string())
    };
    (0..count).map(select).collect()
}

/// A cold target gets this router's share and no more; requests go elsewhere, or
/// nowhere. Without a limit the choice is the same as for warm targets.
#[test]
fn shares() {
    let rows = [row("a", 3_000)];
    let fleet = Fleet::new(&rows.iter().collect::<Vec<_>>(), None);
    let target = fleet.targets().next().expect("one");
    let settings = settings();
    let limit = limit(8.0, &settings);
    let count = |now| {
        select(&fleet, Some(&limit), now, 9)
            .iter()
            .flatten()
            .count()
    };
    assert_eq!(count(5_000), 9, "not cold");
    target
        .cold()
        .apply_row(at(6_500), Position::from(1), Some(at(9_500)), None);
    assert_eq!(count(6_500), 4, "half of the limit");
    assert_eq!(count(7_400), 0, "the share is used");
    assert_eq!(count(7_600), 4);
    assert_eq!(count(9_600), 9, "warm");
    assert!(select(&fleet, None, 6_500, 9).iter().all(Option::is_some));
}

/// Two decisions at the same moment must not both use the last share, and a request
/// whose connection opens late uses it until a second after it was sent.
#[test]
fn last_share() {
    let rows = [row("a", 0)];
    let fleet = Fleet::new(&rows.iter().collect::<Vec<_>>(), None);
    let target = fleet.targets().next().expect("one");
    let settings = settings();
    let limit = limit(2.0, &settings);
    target
        .cold()
        .apply_row(at(4_000), Position::from(1), Some(at(90_000)), None);
    assert!(limit.may_send(at(5_000), target));
    let mut first = limit.reserve(at(5_000), target).expect("free");
    assert!(limit.reserve(at(5_000), target).is_none());
    assert!(!limit.may_send(at(6_300), target));
    first.sent(at(5_400));
    drop(first);
    assert!(!limit.may_send(at(6_300), target));
    assert!(limit.may_send(at(6_500), target));
    drop(limit.reserve(at(6_500), target));
    assert!(limit.may_send(at(6_500), target), "nothing was sent");
}

/// A data centre that returns as a whole is idle. Without a ramp, all requests of
/// the first moments go there.
#[test]
fn ramp() {
    let ids: Vec<String> = (0..6).map(|number| format!("t{number}")).collect();
    let rows: Vec<_> = ids.iter().map(|id| row(id, 0)).collect();
    let fleet = Fleet::new(&rows.iter().collect::<Vec<_>>(), None);
    let mut flights = Vec::new();
    for target in fleet.targets() {
        let number: u32 = target.row.id.as_str()[1..].parse().expect("a number");
        if number < 3 {
            target
                .cold()
                .apply_row(at(0), Position::from(1), Some(at(9_000)), None);
            continue;
        }
        for _ in 0..20 {
            flights.push(target.begin(at(9_000), &PrefixChain::default(), 0).0);
        }
    }
    let settings = settings();
    let limit = limit(80.0, &settings);
    let mut returned = |now: u64| {
        let mut count = 0;
        for seed in 0..30 {
            let chosen = select(&fleet, Some(&limit), now + seed, 1);
            let id = chosen[0].as_ref().expect("a target");
            let target = fleet.targets().find(|target| target.row.id.as_str() == id);
            let target = target.expect("listed");
            flights.push(target.begin(at(now + seed), &PrefixChain::default(), 0).0);
            count += usize::from(ids[..3].contains(id));
        }
        count
    };
    let early = returned(9_050);
    assert!(
        (1..=15).contains(&early),
        "{early} of 30, at most an even part"
    );
    let middle = returned(10_500);
    assert!(middle > 15, "{middle} of 30, to reach half of the mean");
    assert_eq!(
        returned(12_100),
        30,
        "less load than others, and warm for long"
    );
}

/// The routers that are listed and those that were heard from are known; one that
/// has been silent for two seconds is not counted as live any more.
#[test]
fn members_of_exchange() {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let router = |port| Router {
        address: address(port),
        rank: relays::rank(address(port)),
        centre: CentreHash(1),
        share: Cores(100),
        uses_relays: false,
    };
    let mut own = Exchange::new(router(1), 1, &[address(2), address(3)]);
    let mut other = Exchange::new(router(2), 2, &[address(1)]);
    let mut unlisted = Exchange::new(router(4), 4, &[address(1)]);
    for (port, exchange) in [(2, &mut other), (4, &mut unlisted)] {
        let sent = exchange.round(at(100), &BTreeMap::new());
        own.receive(at(100), address(port), &sent[0].update);
    }
    let live = |now| {
        let members = cold::members(&own, at(now), relays::rank(address(1)), true);
        assert_eq!(members.others.len(), 3);
        let live = members.others.iter().filter(|member| member.live);
        live.map(|member| member.address).collect::<BTreeSet<_>>()
    };
    assert_eq!(
        live(200),
        [2, 4].map(|port| relays::rank(address(port))).into()
    );
    assert!(live(2_200).is_empty());
}

fn configure(table: &Rows, version: u64, cold: &str) {
    let config = format!(
        r#"{{"version":{version},"routes":[{{"name":"again","hostname":"h.example","prefix":"/again/",
        "type":"idempotent","timeout_ms":1500,"service":"service","max_attempts":2}}],
        "services":[{{"name":"service","max_connections":100{cold}}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}},"tenants":[{{"name":"team","api_keys":["{}"]}}]}}"#,
        site::KEY
    );
    table.put("op", "config", config.as_bytes());
}

fn list(table: &Rows, target: &Runner, born: u64, cold_ms: u64) {
    let (id, address) = (target.id(), target.address());
    let value = format!(
        r#"{{"service":"service","address":"{address}","zone":"north","batch_slots":16,
        "state":"ready","born":{born},"cold_remaining_ms":{cold_ms}}}"#
    );
    table.put("servers", id, value.as_bytes());
}

struct Site {
    routers: Vec<site::Router>,
    targets: [Runner; 2],
    table: Rows,
}

/// Starts routers with two targets, of which the first has this cold time.
async fn start(routers: usize, cold_ms: u64) -> Site {
    let table = Rows::start().expect("a table");
    configure(&table, 1, r#","cold_start_s":3,"cold_per_s":8"#);
    let targets = ["i-1", "i-2"].map(|id| Runner::start(id, Behaviour::Echo).expect("a target"));
    list(&table, &targets[0], 1, cold_ms);
    list(&table, &targets[1], 1, 0);
    let mut started = Vec::new();
    for _ in 0..routers {
        let router = site::router(site::settings(table.address(), &[])).await;
        router.ready().await;
        started.push(router);
    }
    // Shares are used from a second after the start.
    time::sleep(Duration::from_millis(1_200)).await;
    Site {
        routers: started,
        targets,
        table,
    }
}

impl Site {
    /// Sends requests at all routers for a time, and returns how many the first
    /// target got.
    async fn burst(&self, length: Duration) -> usize {
        let before = self.targets[0].runs().len();
        let (begin, mut number) = (Instant::now(), 0);
        while begin.elapsed() < length {
            for router in &self.routers {
                number += 1;
                let response = router.call("/again/a", &format!("r{number}")).await;
                assert_eq!(response.status, StatusCode::OK);
            }
        }
        self.targets[0].runs().len() - before
    }

    fn is_cold(&self, router: usize) -> bool {
        let shared = &self.routers[router].shared;
        shared.cold_targets(shared.clock.now()) > 0
    }
}

/// Three routers together send at most the limit to a target that is cold by its
/// row, and some; all callers are served by the other target.
#[tokio::test(flavor = "multi_thread")]
async fn limited_by_row() {
    let site = start(3, 60_000).await;
    let got = site.burst(Duration::from_millis(900)).await;
    assert!((2..=8).contains(&got), "{got} in 0.9 s");
    let shared = &site.routers[0].shared;
    let text = shared.metrics.render(shared).expect("renders");
    assert!(text.contains("ebonywall_cold_targets 1"), "{text}");
}

/// The row that shows a new run says whether it is cold, and rows that only count
/// down do not replace the targets.
#[tokio::test(flavor = "multi_thread")]
async fn new_run() {
    let site = start(1, 0).await;
    assert!(!site.is_cold(0), "listed when the router started");
    list(&site.table, &site.targets[0], 2, 60_000);
    site::until("the run is known", || site.is_cold(0)).await;
    assert!(site.burst(Duration::from_millis(600)).await <= 4);
    list(&site.table, &site.targets[0], 2, 0);
    site::until("a later row was read", || !site.is_cold(0)).await;
    let fleet = site.routers[0].shared.fleet.load_full().expect("known");
    list(&site.table, &site.targets[0], 2, 0);
    list(&site.table, &site.targets[0], 3, 0);
    let is_known = || {
        let fleet = site.routers[0].shared.fleet.load_full().expect("known");
        fleet.targets().any(|target| target.row.started_at == 3)
    };
    site::until("a run that is not cold is known", is_known).await;
    assert!(!site.is_cold(0), "its row says that it is not cold");
    let later = site.routers[0].shared.fleet.load_full().expect("known");
    assert!(!Arc::ptr_eq(&fleet, &later));
    let fleet = later;
    list(&site.table, &site.targets[0], 3, 60_000);
    site::until("the target turned cold", || site.is_cold(0)).await;
    let cold = site.routers[0].shared.fleet.load_full().expect("known");
    assert!(!Arc::ptr_eq(&fleet, &cold));
    list(&site.table, &site.targets[0], 3, 50_000);
    time::sleep(Duration::from_millis(1_500)).await;
    let later = site.routers[0].shared.fleet.load_full().expect("known");
    assert!(Arc::ptr_eq(&cold, &later));
}

/// A target that closed a connection is limited until its next row, and is not
/// limited where the configuration sets no limit.
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection() {
    let site = start(1, 0).await;
    site.targets[0].set(Behaviour::Lose);
    site.targets[1].set(Behaviour::Lose);
    site.routers[0].call("/again/a", "lost").await;
    assert!(site.is_cold(0));
    for target in &site.targets {
        target.set(Behaviour::Echo);
    }
    let heartbeat = || {
        for target in &site.targets {
            list(&site.table, target, 1, 0);
        }
        !site.is_cold(0)
    };
    site::until("rows were read", heartbeat).await;
    configure(&site.table, 2, "");
    let shared = &site.routers[0].shared;
    site::until("no limit", || shared.version() == id::Version(2)).await;
    site.targets[0].set(Behaviour::Lose);
    site.targets[1].set(Behaviour::Lose);
    site.routers[0].call("/again/a", "lost-2").await;
    assert!(!site.is_cold(0));
}

/// All targets are cold and the share is used: the request is refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn none_accepts() {
    let site = start(1, 60_000).await;
    list(&site.table, &site.targets[1], 1, 60_000);
    let shared = &site.routers[0].shared;
    site::until("both are cold", || {
        shared.cold_targets(shared.clock.now()) == 2
    })
    .await;
    let mut refused = 0;
    for number in 0..20 {
        let begin = Instant::now();
        let response = site.routers[0]
            .call("/again/a", &format!("r{number}"))
            .await;
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            assert!(begin.elapsed() < Duration::from_millis(300));
            refused += 1;
        }
    }
    assert!(refused >= 4, "{refused}");
}
