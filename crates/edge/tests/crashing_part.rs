//! Requests that share a prompt part crash each target that starts to respond
//! to them, and no two of them are alike.

mod site;

use std::time::{Duration, Instant};

use edge::fleet;
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
};
use http::StatusCode;
use site::{Response, Router};
use tokio::time;

/// Number of targets.
const TARGETS: usize = 8;

/// Part that crashes targets.
const DEADLY: &str = "deadly";

/// Time after the fifth crash from which at most [`ALLOWED`] requests with the
/// part may reach targets: `contact_ms` of the platform's rules.
const CONTACT: Duration = Duration::from_secs(3);

/// Number of requests with the part that may reach targets from then on.
const ALLOWED: usize = 3;

struct Site {
    table: Rows,
    targets: Vec<Runner>,
}

impl Site {
    fn start() -> Self {
        let table = Rows::start().expect("a table");
        fakes::site::configure(&table, 1, &[site::KEY]);
        let targets = (0..TARGETS).map(|number| {
            let target = Runner::start(&format!("i-{number}"), Behaviour::ByPath);
            let target = target.expect("a target");
            target.crash_on(Some(DEADLY));
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

    /// Returns how many requests with the part reached targets.
    fn deadly_runs(&self) -> usize {
        let runs = self.targets.iter().flat_map(Runner::runs);
        runs.filter(|run| run.has_part(DEADLY)).count()
    }
}

/// Sends a request whose path and last part are its own.
async fn call(router: &Router, number: usize, shared: &str) -> Response {
    let name = format!("{}{number}", shared.replace([',', ':'], "-"));
    let mut request = site::request(&format!("/stream/{name}"), &name);
    let prefix = format!("{shared},own-{number}:100");
    let headers = request.headers_mut();
    headers.insert("x-prompt-prefix", prefix.parse().expect("a prefix"));
    router.send(request).await
}

async fn sound(router: &Router, number: usize) -> Response {
    call(router, number, "first:1000,second:500").await
}

async fn deadly(router: &Router, number: usize) -> Response {
    call(router, number, "first:1000,second:500,deadly:50").await
}

/// A part that crashes targets is in requests that have nothing else in common
/// with one another and share their other parts with sound requests.
#[tokio::test]
async fn crashes_go_on() {
    let site = Site::start();
    let router = site.router().await;
    let mut served = 0;
    let mut late = 0;
    let mut fifth = None;
    for step in 0..100 {
        served += usize::from(sound(&router, step).await.status == StatusCode::OK);
        if step % 4 == 0 {
            let before = site.deadly_runs();
            deadly(&router, step).await;
            let after = site.deadly_runs();
            if after == 5 {
                fifth.get_or_insert(Instant::now());
            }
            let over = fifth.is_some_and(|fifth| fifth.elapsed() > CONTACT);
            late += if over { after - before } else { 0 };
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    assert!(late <= ALLOWED, "{late} requests with the part were sent");
    assert!(served >= 90, "{served} of 100 sound requests were served");
    assert_eq!(site.table.keys("refusals").len(), 1);
}

/// A part that crashes targets comes together with a part that sound requests of
/// the same caller have, too seldom to be answered between the crashes.
#[tokio::test]
async fn rare_companion() {
    let site = Site::start();
    let router = site.router().await;
    assert_eq!(
        call(&router, 0, "first:1000,shared:500").await.status,
        StatusCode::OK
    );
    for step in 1..50 {
        sound(&router, step).await;
        if step % 5 == 0 {
            call(&router, 100 + step, "deadly:50,shared:500").await;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    let before = site.deadly_runs();
    let refused = call(&router, 200, "deadly:50,shared:500").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(site.deadly_runs(), before);
    let response = call(&router, 201, "first:1000,shared:500").await;
    assert_eq!(response.status, StatusCode::OK);
}

/// A router that starts when all others have lost their memory, or that receives
/// no updates, finds the refused part in the table only.
#[tokio::test]
async fn stored_refusal() {
    let site = Site::start();
    let part = fleet::part_hash(DEADLY).to_string();
    site.table.put("refusals", &part, b"router-1");
    site.table.put("refusals", "not a hash", b"");
    let router = site.router().await;
    let refuses = || router.shared.crash_parts().refused().count() == 1;
    site::until("the row is read", refuses).await;
    let response = deadly(&router, 1).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(site.deadly_runs(), 0);
    assert_eq!(sound(&router, 2).await.status, StatusCode::OK);
    for target in &site.targets {
        target.crash_on(None);
    }
    site.table.remove("refusals", &part);
    let admits = || router.shared.crash_parts().refused().count() == 0;
    site::until("the removal is read", admits).await;
    assert_eq!(deadly(&router, 3).await.status, StatusCode::OK);
}
