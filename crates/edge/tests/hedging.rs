//! Requests that are sent to a second target because the first takes unusually long.

mod site;

use fakes::{
    rows::Rows,
    runner::{self, Behaviour, Runner},
};
use http::StatusCode;
use site::{Response, Router};

/// Requests from which the router learns the usual times.
const USUAL: usize = 150;

struct Site {
    targets: Vec<Runner>,
    router: Router,
    _table: Rows,
}

impl Site {
    async fn start(fraction: &str) -> Self {
        let table = Rows::start().expect("a table");
        fakes::site::configure(&table, 1, &[site::KEY]);
        let targets = (0..4).map(|number| {
            let target = Runner::start(&format!("i-{number}"), Behaviour::ByPath);
            let target = target.expect("a target");
            fakes::site::list_runner(&table, &target, "ready");
            target
        });
        let targets = targets.collect();
        let router = site::router(site::settings(table.address(), &[])).await;
        let fraction = fraction.parse().expect("a fraction");
        router.shared.set_hedging(fraction);
        router.ready().await;
        let site = Self {
            targets,
            router,
            _table: table,
        };
        for number in 0..USUAL {
            let response = site.call("/again/usual", number).await;
            assert_eq!(response.status, StatusCode::OK);
        }
        site
    }

    async fn call(&self, path: &str, number: usize) -> Response {
        let attempt = format!("{}-{number}", path.replace('/', "-"));
        self.router.call(path, &attempt).await
    }

    /// Returns how many runs of requests with this path the targets began.
    fn runs(&self, path: &str) -> usize {
        let runs = self.targets.iter().flat_map(Runner::runs);
        runs.filter(|run| run.path == path).count()
    }

    /// Makes every target behave in this way at its next request.
    fn next(&self, behaviour: Behaviour) {
        for target in &self.targets {
            target.next(behaviour);
        }
    }
}

/// A target never responds: without a second attempt the caller gets 504.
#[tokio::test]
async fn hanging_target() {
    let site = Site::start("0.1").await;
    site.targets[0].set(Behaviour::Hang);
    for number in 0..20 {
        let response = site.call("/again/hedged", number).await;
        assert_eq!(response.status, StatusCode::OK, "{number}");
    }
}

/// A request that may run once only is never sent twice, however long it takes.
#[tokio::test]
async fn once_only() {
    let site = Site::start("0.1").await;
    site.next(Behaviour::Hang);
    let response = site.call("/once/order", 0).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(site.runs("/once/order") <= 1);
}

/// Without the setting, each request has one target at a time.
#[tokio::test]
async fn disabled() {
    let site = Site::start("0").await;
    site.next(Behaviour::Hang);
    let response = site.call("/again/slow", 0).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
}

/// A stream of which the first event does not come is begun at another target, and
/// the caller gets the bytes of one run only.
#[tokio::test]
async fn hanging_stream() {
    let site = Site::start("0.1").await;
    site.targets[0].set(Behaviour::Hang);
    for number in 0..20 {
        let response = site.call("/resume/hedged", number).await;
        assert_eq!(response.body, runner::whole_stream(), "{number}");
        assert!(response.whole);
    }
}
