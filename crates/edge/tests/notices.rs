//! What targets say in their responses about their further use.

mod site;

use std::time::{Duration, Instant};

use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
};
use http::StatusCode;
use site::Router;
use tokio::time;

struct Site {
    router: Router,
    first: Runner,
    second: Runner,
    table: Rows,
}

async fn start() -> Site {
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 1, &[site::KEY]);
    let [first, second] = ["i-1", "i-2"].map(|id| {
        let target = Runner::start(id, Behaviour::ByPath).expect("a target");
        fakes::site::list_runner(&table, &target, "ready");
        target
    });
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    Site {
        router,
        first,
        second,
        table,
    }
}

impl Site {
    /// Sends requests until the first target has got one.
    async fn reach_first(&self) {
        let reached = || self.first.runs().len() + self.first.refusals();
        for number in 0..50 {
            self.router.call("/once/a", &format!("r{number}")).await;
            if reached() > 0 {
                return;
            }
        }
        panic!("the first target got no request");
    }
}

/// A target that says that it is leaving gets no further request, although its row
/// does not show it: no new one, no retry and no stream that is resumed.
#[tokio::test]
async fn sent_after_leave() {
    let site = start().await;
    site.first.leave();
    site.reach_first().await;
    let before = site.first.runs().len();
    for number in 0..10 {
        let name = format!("a{number}");
        let response = site.router.call("/once/a", &name).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    site.second.set(Behaviour::Fail);
    site.router.call("/again/a", "retried").await;
    site.second.set(Behaviour::Break(2));
    site.router.call("/resume/a", "resumed").await;
    assert_eq!(site.first.runs().len(), before);
}

/// A target that has started again under its id and address is not leaving.
#[tokio::test]
async fn leave_before_restart() {
    let site = start().await;
    site.first.leave();
    site.reach_first().await;
    let before = site.first.runs().len();
    let address = site.first.address();
    fakes::site::list(&site.table, "i-1", address, "ready", 2);
    time::sleep(Duration::from_secs(2)).await;
    for number in 0..50 {
        site.router.call("/once/a", &format!("a{number}")).await;
    }
    assert!(site.first.runs().len() > before);
}

/// A target that refuses with `Retry-After` gets no request for that time, and gets
/// some afterwards.
#[tokio::test]
async fn sent_before_retry() {
    let site = start().await;
    site.first.set(Behaviour::Shed);
    site.first.pause("2.5");
    site.reach_first().await;
    let refused = Instant::now();
    let mut number = 0;
    while refused.elapsed() < Duration::from_millis(2_300) {
        number += 1;
        let response = site.router.call("/once/a", &format!("a{number}")).await;
        assert_eq!(response.status, StatusCode::OK);
        time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(site.first.refusals(), 1);
    site.first.set(Behaviour::Echo);
    time::sleep(Duration::from_millis(400)).await;
    let runs = || site.first.runs().len();
    for number in 0..50 {
        site.router.call("/once/a", &format!("b{number}")).await;
    }
    assert!(runs() > 0, "the target is used again");
}

/// If all targets ask for a pause, callers are refused at once and told to come
/// back when the first target can be used, not all at the same moment.
#[tokio::test]
async fn all_paused() {
    let site = start().await;
    for (target, pause) in [(&site.first, "5"), (&site.second, "8")] {
        target.set(Behaviour::Shed);
        target.pause(pause);
    }
    site.router.call("/once/a", "a").await;
    let before = site.first.refusals() + site.second.refusals();
    assert_eq!(before, 2);
    let mut times = Vec::new();
    for number in 0..10 {
        let sent = Instant::now();
        let response = site.router.call("/once/a", &format!("a{number}")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(sent.elapsed() < Duration::from_millis(300));
        let after = response.headers["retry-after"].to_str().expect("a text");
        times.push(after.parse::<f64>().expect("seconds"));
    }
    assert!(
        times.iter().all(|after| (4.0..6.0).contains(after)),
        "{times:?}"
    );
    times.dedup();
    assert!(times.len() > 5, "{times:?}");
    assert_eq!(site.first.refusals() + site.second.refusals(), before);
}
