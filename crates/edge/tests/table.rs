//! Configuration and targets from the table and from other routers.

mod site;

use std::time::Duration;

use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
};
use http::StatusCode;
use site::Router;
use tokio::time;

/// Time within which changes of the table must take effect.
const BOUND: Duration = Duration::from_secs(2);

async fn start(table: &Rows) -> Router {
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    router
}

fn targets(table: &Rows) -> [Runner; 2] {
    ["i-1", "i-2"].map(|id| {
        let runner = Runner::start(id, Behaviour::Echo).expect("a target");
        fakes::site::list_runner(table, &runner, "ready");
        runner
    })
}

fn open(router: &Router) -> usize {
    let fleet = router.shared.fleet.load();
    let targets = fleet.iter().flat_map(|fleet| fleet.targets());
    targets.filter(|target| !target.row.leaving).count()
}

#[tokio::test]
async fn unready() {
    let table = Rows::start().expect("a table");
    let router = site::router(site::settings(table.address(), &[])).await;
    time::sleep(Duration::from_millis(300)).await;
    assert!(!router.shared.is_ready());
    let response = router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
}

/// A target that is leaving, or was removed, gets no new requests within the
/// time bound.
#[tokio::test]
async fn leaving_targets() {
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 1, &[site::KEY]);
    let [first, second] = targets(&table);
    let router = start(&table).await;
    assert_eq!(open(&router), 2);
    let changed = time::Instant::now();
    fakes::site::list_runner(&table, &first, "draining");
    site::until("one target left", || open(&router) == 1).await;
    assert!(changed.elapsed() < BOUND);
    let changed = time::Instant::now();
    table.remove("servers", second.id());
    site::until("no target left", || open(&router) == 0).await;
    assert!(changed.elapsed() < BOUND);
    let response = router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// A newer version takes effect within the time bound, also when the table has
/// dropped the history; an older version has no effect.
#[tokio::test]
async fn versions() {
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 3, &[site::KEY]);
    let [_first, _second] = targets(&table);
    let router = start(&table).await;
    assert_eq!(router.call("/once/a", "a1").await.status, StatusCode::OK);
    let changed = time::Instant::now();
    table.forget();
    fakes::site::configure(&table, 8, &["other"]);
    site::until("the version is in force", || router.shared.version().0 == 8).await;
    assert!(changed.elapsed() < BOUND);
    let response = router.call("/once/a", "a2").await;
    assert_eq!(response.status, StatusCode::UNAUTHORIZED);
    fakes::site::configure(&table, 7, &[site::KEY]);
    time::sleep(Duration::from_millis(300)).await;
    assert_eq!(router.shared.version().0, 8);
}

/// Rows of targets that cannot be decoded are ignored, and the other rows still
/// apply.
#[tokio::test]
async fn foreign_rows() {
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 1, &[site::KEY]);
    let [_first, _second] = targets(&table);
    table.put("servers", "i-3", b"not json");
    table.put("servers", "i 4", b"");
    let router = start(&table).await;
    assert_eq!(open(&router), 2);
    assert_eq!(router.call("/once/a", "a1").await.status, StatusCode::OK);
}

/// Another writer's entry among the targets must not end the router, nor keep it
/// from following the other entries, also when it starts again.
#[tokio::test]
async fn odd_entries() {
    const VALID: &str = r#"{"service":"s1","address":"127.0.0.1:9","zone":"z1","batch_slots":4,"state":"ready","born":1}"#;
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 1, &[site::KEY]);
    let [first, _second] = targets(&table);
    let running = start(&table).await;
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    table.put("servers", "i-3", nested.as_bytes());
    let rows = [
        VALID.replace("4", &nested),
        VALID.replace("4", "1e999"),
        VALID.replace("4", "99999999999999999999"),
        VALID.replace(":9", ":70000"),
    ];
    for (number, row) in rows.iter().enumerate() {
        table.put("servers", &format!("i-{}", number + 4), row.as_bytes());
    }
    let started = start(&table).await;
    fakes::site::list_runner(&table, &first, "draining");
    for router in [&running, &started] {
        site::until("one target left", || open(router) == 1).await;
        assert_eq!(router.call("/once/a", "a1").await.status, StatusCode::OK);
    }
}

/// A router that cannot read the table gets configuration and targets from a
/// peer.
#[tokio::test]
async fn from_peer() {
    let table = Rows::start().expect("a table");
    let refusing = Rows::start().expect("a table");
    refusing.down(true);
    fakes::site::configure(&table, 1, &[site::KEY]);
    let [first, _second] = targets(&table);
    let router = start(&table).await;
    let seeds = [router.shared.settings.peers];
    let isolated = site::router(site::settings(refusing.address(), &seeds)).await;
    isolated.ready().await;
    assert_eq!(isolated.call("/once/a", "a1").await.status, StatusCode::OK);
    let changed = time::Instant::now();
    fakes::site::configure(&table, 2, &["other"]);
    fakes::site::list_runner(&table, &first, "draining");
    site::until("the version is in force", || {
        isolated.shared.version().0 == 2
    })
    .await;
    site::until("one target left", || open(&isolated) == 1).await;
    assert!(changed.elapsed() < BOUND);
}

/// Routers find one another through their rows in the table.
#[tokio::test]
async fn registered() {
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 1, &[site::KEY]);
    let [_first, _second] = targets(&table);
    let first = start(&table).await;
    site::until("a row", || table.keys("members").len() == 1).await;
    let second = start(&table).await;
    let routers = |router: &Router| {
        router
            .shared
            .routers
            .load(std::sync::atomic::Ordering::Relaxed)
    };
    site::until("both know both", || {
        routers(&first) == 2 && routers(&second) == 2
    })
    .await;
}

fn cached(router: &Router) -> usize {
    let fleet = router.shared.fleet.load();
    let targets = fleet.iter().flat_map(|fleet| fleet.targets());
    targets
        .filter(|target| target.cached_parts().len() == 1)
        .count()
}

/// After a loss of all routers each engine is queried once, and all routers
/// learn the results. A router that starts later asks a peer instead.
#[tokio::test]
async fn cached_parts() {
    let table = Rows::start().expect("a table");
    let options = fakes::site::Options {
        engines: true,
        ..Default::default()
    };
    fakes::site::configure_with(&table, 1, &[site::KEY], options);
    let runners = targets(&table);
    for (number, runner) in runners.iter().enumerate() {
        runner.keep(&format!("part-{number}"), 5_000);
        runner.keep("short", 20);
    }
    let settings = site::settings(table.address(), &[]);
    let seeds = [settings.peers];
    let other = site::settings(table.address(), &seeds);
    let (first, second) = tokio::join!(site::router(settings), site::router(other));
    site::until("both know both", || {
        cached(&first) == 2 && cached(&second) == 2
    })
    .await;
    let lists = || runners.iter().map(Runner::lists).sum::<usize>();
    assert_eq!(lists(), 2);
    // Before this time the results of other routers may still be missing.
    time::sleep(Duration::from_millis(3_300)).await;
    let third = site::router(site::settings(table.address(), &seeds)).await;
    site::until("the third knows both", || cached(&third) == 2).await;
    assert_eq!(lists(), 2);
}
