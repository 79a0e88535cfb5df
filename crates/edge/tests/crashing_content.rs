//! A request that crashes each target that runs it comes again, with the same
//! content, while routers start.

mod site;

use std::time::Duration;

use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
};
use http::StatusCode;
use site::Router;
use tokio::time;

/// Number of targets.
const TARGETS: usize = 6;

struct Site {
    table: Rows,
    targets: Vec<Runner>,
}

impl Site {
    fn start(usual: Behaviour) -> Self {
        let table = Rows::start().expect("a table");
        fakes::site::configure(&table, 1, &[site::KEY]);
        let targets = (0..TARGETS).map(|number| {
            let target = Runner::start(&format!("i-{number}"), usual).expect("a target");
            fakes::site::list_runner(&table, &target, "ready");
            target
        });
        let targets = targets.collect();
        Self { table, targets }
    }

    async fn router(&self) -> Router {
        let router = site::router(site::settings(self.table.address(), &[])).await;
        router.ready().await;
        router
    }

    fn runs(&self) -> usize {
        self.targets.iter().map(|target| target.runs().len()).sum()
    }
}

/// Sends a request that crashes targets until it is refused, and returns how many
/// crashed.
async fn crash(site: &Site, router: &Router, path: &str) -> usize {
    for number in 0..6 {
        let response = router.call(path, &format!("crash-{number}")).await;
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            return site.runs();
        }
        time::sleep(Duration::from_millis(200)).await;
    }
    panic!("not refused after {} crashes", site.runs());
}

/// A router that starts after the crashes learns of them from the others.
#[tokio::test]
async fn started_later() {
    for path in ["/once/a", "/again/a"] {
        let site = Site::start(Behaviour::Crash);
        let first = site.router().await;
        let crashes = crash(&site, &first, path).await;
        // The others send each crash by itself for 3 s.
        time::sleep(Duration::from_secs(4)).await;
        let second = site.router().await;
        time::sleep(Duration::from_secs(2)).await;
        let response = second.call(path, "later").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert_eq!(site.runs(), crashes, "{path}");
    }
}

/// All routers are killed, and one that starts finds the refusal in the table only.
#[tokio::test]
async fn all_restarted() {
    let before = Site::start(Behaviour::Crash);
    let router = before.router().await;
    crash(&before, &router, "/once/a").await;
    let is_stored = || before.table.keys("refusals").len() == 1;
    site::until("the refusal is stored", is_stored).await;
    let key = before.table.keys("refusals").remove(0);
    let value = before.table.value("refusals", &key).expect("a value");

    for is_lost in [false, true] {
        start_stored(&key, &value, is_lost).await;
    }
}

/// Starts a router that finds the refusal in the table, and lifts it; `is_lost` is
/// whether the table loses its history then.
async fn start_stored(key: &str, value: &[u8], is_lost: bool) {
    let after = Site::start(Behaviour::Echo);
    after.table.put("refusals", key, value);
    after.table.put("refusals", "content-x", b"not a hash");
    after.table.put("refusals", "content-00", b"not a message");
    let router = after.router().await;
    time::sleep(Duration::from_secs(1)).await;
    let response = router.call("/once/a", "later").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(after.runs(), 0);
    let other = router.call("/once/b", "other").await;
    assert_eq!(other.status, StatusCode::OK);
    after.table.remove("refusals", key);
    if is_lost {
        after.table.forget();
    }
    time::sleep(Duration::from_secs(1)).await;
    let response = router.call("/once/a", "lifted").await;
    assert_eq!(response.status, StatusCode::OK);
}
