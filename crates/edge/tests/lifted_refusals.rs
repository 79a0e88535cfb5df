//! An operator removes the stored row of a refusal. No router writes it again, and
//! none refuses again what another router still sends or has queued.

mod site;

use std::{net::SocketAddr, time::Duration};

use base::id;
use edge::fleet;
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
};
use http::StatusCode;
use site::Router;
use tokio::time;

/// Part that is refused.
const PART: &str = "deadly";

/// Time in which a queued write, a heartbeat or a late read would bring the refusal
/// back: writes are delayed by up to 0.5 s and repeated after 1 s.
const QUIET: Duration = Duration::from_millis(2_500);

struct Site {
    table: Rows,
    _target: Runner,
}

impl Site {
    fn start(behaviour: Behaviour) -> Self {
        let table = Rows::start().expect("a table");
        fakes::site::configure(&table, 1, &[site::KEY]);
        let target = Runner::start("i-0", behaviour).expect("a target");
        fakes::site::list_runner(&table, &target, "ready");
        Self {
            table,
            _target: target,
        }
    }

    async fn router(&self, seeds: &[SocketAddr]) -> Router {
        let router = site::router(site::settings(self.table.address(), seeds)).await;
        router.ready().await;
        router
    }

    fn store_part(&self) {
        self.table.put("refusals", &part(), b"other-router");
    }

    fn keys(&self) -> Vec<String> {
        self.table.keys("refusals")
    }
}

fn part() -> String {
    fleet::part_hash(PART).to_string()
}

fn refused(router: &Router) -> usize {
    router.shared.crash_parts().refused().count()
}

/// Checks for some time that the part is not refused and has no row.
async fn stays_lifted(site: &Site, router: &Router) {
    let end = time::Instant::now() + QUIET;
    while time::Instant::now() < end {
        assert_eq!(refused(router), 0, "refused again");
        assert!(site.keys().is_empty(), "written again: {:?}", site.keys());
        time::sleep(Duration::from_millis(1)).await;
    }
}

/// The row is removed while the router has its refusal queued for a write, as the
/// router has just adopted it.
#[tokio::test]
async fn queued_write() {
    let site = Site::start(Behaviour::Echo);
    let router = site.router(&[]).await;
    site.store_part();
    site::until("the row is read", || refused(&router) == 1).await;
    site.table.remove("refusals", &part());
    site::until("the removal is read", || refused(&router) == 0).await;
    stays_lifted(&site, &router).await;
}

/// Another router, which cannot read the table, goes on to refuse the part and to
/// send that.
#[tokio::test]
async fn cut_off_peer() {
    let (site, cut) = (Site::start(Behaviour::Echo), Site::start(Behaviour::Echo));
    site.store_part();
    cut.store_part();
    let router = site.router(&[]).await;
    let peer = cut.router(&[router.shared.settings.peers]).await;
    site::until("both refuse", || refused(&router) + refused(&peer) == 2).await;
    cut.table.down(true);
    // The write that the adoption may have queued is over.
    time::sleep(Duration::from_millis(1_000)).await;
    site.table.remove("refusals", &part());
    site::until("the removal is read", || refused(&router) == 0).await;
    stays_lifted(&site, &router).await;
    assert_eq!(refused(&peer), 1);
}

/// A router learns of a refusal from another one while it cannot read the table,
/// and the row is removed before the table is back.
#[tokio::test]
async fn late_write() {
    let (site, cut) = (Site::start(Behaviour::Echo), Site::start(Behaviour::Echo));
    let late = cut.router(&[]).await;
    cut.table.down(true);
    site.store_part();
    let router = site.router(&[late.shared.settings.peers]).await;
    site::until("the peer refuses", || refused(&late) == 1).await;
    // The write is tried, and fails.
    time::sleep(Duration::from_millis(1_000)).await;
    cut.store_part();
    cut.table.remove("refusals", &part());
    cut.table.down(false);
    site::until("the removal is read", || refused(&late) == 0).await;
    stays_lifted(&cut, &late).await;
    assert_eq!(refused(&router), 1);
}

/// The same for the row of a content.
#[tokio::test]
async fn late_content() {
    let site = Site::start(Behaviour::Crash);
    let router = site.router(&[]).await;
    let key = crash_content(&site, &router).await;
    let value = site.table.value("refusals", &key).expect("a value");

    let late = Site::start(Behaviour::Echo);
    let peer = late.router(&[router.shared.settings.peers]).await;
    late.table.down(true);
    let refuses = || peer.shared.poison().crashes(content(&key)) >= 2;
    site::until("the peer knows the crashes", refuses).await;
    // The peer uses the refusal, and would store it.
    let response = peer.call("/once/a", "later").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    time::sleep(Duration::from_millis(1_000)).await;
    late.table.put("refusals", &key, &value);
    late.table.remove("refusals", &key);
    late.table.down(false);
    site::until("the removal is read", || {
        peer.shared.poison().crashes(content(&key)) == 0
    })
    .await;
    let end = time::Instant::now() + QUIET;
    while time::Instant::now() < end {
        assert!(late.keys().is_empty(), "written again: {:?}", late.keys());
        assert_eq!(peer.shared.poison().crashes(content(&key)), 0);
        time::sleep(Duration::from_millis(1)).await;
    }
}

/// Crashes the target until the content is refused, and returns the key of its row.
async fn crash_content(site: &Site, router: &Router) -> String {
    for number in 0..6 {
        let response = router.call("/once/a", &format!("crash-{number}")).await;
        if response.status == StatusCode::SERVICE_UNAVAILABLE && !site.keys().is_empty() {
            break;
        }
        time::sleep(Duration::from_millis(600)).await;
    }
    site::until("the refusal is stored", || site.keys().len() == 1).await;
    site.keys().remove(0)
}

fn content(key: &str) -> id::Fingerprint {
    let text = key.strip_prefix("content-").expect("the key of a content");
    text.parse().expect("a fingerprint")
}
