//! Streams whose length the target tells. The HTTP library drops the response to the
//! caller once so many bytes are written, without asking for its end.

mod site;

use std::time::{Duration, Instant};

use fakes::{
    rows::Rows,
    runner::{self, Behaviour, Runner},
};
use http::{Method, StatusCode};
use site::{Response, Router};
use tokio::time;

/// Part that crashes targets.
const CRASHING: &str = "crashing";

/// Time after the fifth crash from which at most [`ALLOWED`] requests with the part may
/// reach targets.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of requests with the part that may reach targets from then on.
const ALLOWED: usize = 3;

struct Site {
    targets: Vec<Runner>,
    router: Router,
    _table: Rows,
}

impl Site {
    async fn start(targets: usize) -> Self {
        let table = Rows::start().expect("a table");
        fakes::site::configure(&table, 1, &[site::KEY]);
        let targets = (0..targets).map(|number| {
            let target = Runner::start(&format!("i-{number}"), Behaviour::ByPath);
            let target = target.expect("a target");
            target.set_lengths(true);
            target.crash_on(Some(CRASHING));
            fakes::site::list_runner(&table, &target, "ready");
            target
        });
        let targets: Vec<_> = targets.collect();
        let router = site::router(site::settings(table.address(), &[])).await;
        router.ready().await;
        Self {
            targets,
            router,
            _table: table,
        }
    }

    /// Sends a request whose path and last part are its own.
    async fn call(&self, rule: &str, number: usize, shared: &str) -> Response {
        let name = format!("{rule}-{number}");
        let mut request = site::request(&format!("/{rule}/{name}"), &name);
        let prefix = format!("{shared},own-{number}:100");
        let headers = request.headers_mut();
        headers.insert("x-prompt-prefix", prefix.parse().expect("a prefix"));
        self.router.send(request).await
    }

    fn crashes(&self) -> usize {
        let runs = self.targets.iter().flat_map(Runner::runs);
        runs.filter(|run| run.has_part(CRASHING)).count()
    }

    /// Returns the value of a counter.
    fn count(&self, name: &str) -> u64 {
        let shared = &self.router.shared;
        let text = shared.metrics.render(shared).expect("metrics");
        let line = format!("ebonywall_{name}_total ");
        let value = text.lines().find_map(|it| it.strip_prefix(&line));
        value
            .and_then(|value| value.parse().ok())
            .expect("a counter")
    }
}

/// A part that crashes targets is refused although the streams of the sound requests, by
/// which the router sees that their parts are no cause, come with their length.
#[tokio::test]
async fn crashing_part() {
    for rule in ["stream", "resume"] {
        let site = Site::start(8).await;
        let (mut late, mut fifth) = (0, None);
        for step in 0..90 {
            let sound = site.call(rule, step, "first:1000,second:500").await;
            assert!(sound.whole || sound.status != StatusCode::OK);
            if step % 4 == 0 {
                let before = site.crashes();
                let parts = format!("first:1000,{CRASHING}:50");
                site.call(rule, 1_000 + step, &parts).await;
                if site.crashes() >= 5 {
                    fifth.get_or_insert(Instant::now());
                }
                let is_late = fifth.is_some_and(|fifth| fifth.elapsed() > CONTACT_TIME);
                late += if is_late { site.crashes() - before } else { 0 };
            }
            time::sleep(Duration::from_millis(100)).await;
        }
        assert!(fifth.is_some(), "five crashes");
        assert!(
            late <= ALLOWED,
            "{rule}: {late} requests with the part were sent"
        );
    }
}

/// The whole stream reaches the caller, counts as delivered, and leaves its connection
/// for the next request.
#[tokio::test]
async fn delivered() {
    let site = Site::start(1).await;
    for number in 0..10 {
        let response = site.call("stream", number, "first:1000").await;
        assert_eq!(response.body, runner::whole_stream());
        assert!(response.whole);
        assert_eq!(site.count("streamed"), number as u64 + 1);
    }
    assert_eq!(site.targets[0].connections(), 1);
}

/// A response without a body, as to HEAD, is complete with its head.
#[tokio::test]
async fn bodiless() {
    let site = Site::start(1).await;
    let mut request = site::request("/stream/a", "head-1");
    *request.method_mut() = Method::HEAD;
    let response = site.router.send(request).await;
    assert_eq!(response.status, StatusCode::OK);
    assert!(response.body.is_empty());
    assert_eq!(site.count("streamed"), 1);
}
