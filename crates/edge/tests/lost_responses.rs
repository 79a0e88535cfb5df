//! The table loses responses, or its connections go silent, while routers wait for
//! changes.

mod site;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
};
use site::Router;
use tokio::{
    io,
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};
use tokio_util::task::AbortOnDropHandle;

/// Time after an acknowledgement within which a change has to be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after the end of a disturbance of the table from which on routers count as
/// undisturbed.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Interval of the heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time for which a router waits for changes at most; none of its waiting calls ends by
/// itself before the checks of these tests.
const QUIET: Duration = Duration::from_millis(2_000);

struct Site {
    table: Arc<Rows>,
    routers: Vec<Router>,
    _targets: Arc<Vec<Runner>>,
    _heartbeats: AbortOnDropHandle<()>,
}

impl Site {
    /// Starts routers that reach the table through `address`, or directly.
    async fn start(count: usize, address: Option<(Arc<Rows>, SocketAddr)>) -> Self {
        let (table, address) = match address {
            Some(given) => given,
            None => {
                let table = Arc::new(Rows::start().expect("a table"));
                let address = table.address();
                (table, address)
            }
        };
        fakes::site::configure(&table, 1, &[site::KEY]);
        let runner = |number| Runner::start(&format!("i-{number}"), Behaviour::Echo);
        let targets: Result<Vec<_>, _> = (0..6).map(runner).collect();
        let targets = Arc::new(targets.expect("targets"));
        let heartbeats = tokio::spawn(heartbeats(table.clone(), targets.clone()));
        time::sleep(Duration::from_millis(100)).await;
        let first = site::settings(address, &[]);
        let seeds = [first.peers];
        let mut routers = vec![site::router(first).await];
        while routers.len() < count {
            routers.push(site::router(site::settings(address, &seeds)).await);
        }
        for router in &routers {
            router.ready().await;
        }
        // All rows have been read, and all calls that wait have begun.
        time::sleep(QUIET).await;
        Self {
            table,
            routers,
            _targets: targets,
            _heartbeats: AbortOnDropHandle::new(heartbeats),
        }
    }

    fn versions(&self) -> Vec<u64> {
        let versions = self.routers.iter().map(|it| it.shared.version().0);
        versions.collect()
    }

    /// Loses the responses of tables while version 2 is written, and checks when it is in
    /// force.
    async fn check_lost(&self, tables: &[&str], lost: Duration) {
        self.table.lose(tables);
        fakes::site::configure(&self.table, 2, &["other"]);
        let acknowledged = time::Instant::now();
        time::sleep(lost).await;
        self.table.lose(&[]);
        let ended = time::Instant::now();
        let bound = (acknowledged + APPLY_TIME).max(ended + CONTACT_TIME);
        time::sleep_until(bound).await;
        let versions = self.versions();
        assert!(versions.iter().all(|version| *version == 2), "{versions:?}");
    }
}

/// Writes the rows of the targets again and again, one after the other.
async fn heartbeats(table: Arc<Rows>, targets: Arc<Vec<Runner>>) {
    loop {
        for target in targets.iter() {
            fakes::site::list_runner(&table, target, "ready");
            time::sleep(HEARTBEAT / targets.len() as u32).await;
        }
    }
}

/// The responses that bring a configuration are lost at all routers at once, so that
/// none can tell the others. Their calls wait on as if nothing had changed.
#[tokio::test]
async fn lost_change() {
    let site = Site::start(3, None).await;
    site.check_lost(&["op"], Duration::from_millis(350)).await;
}

/// The same at a router that is alone.
#[tokio::test]
async fn lost_alone() {
    let site = Site::start(1, None).await;
    site.check_lost(&["op"], Duration::from_millis(350)).await;
}

/// The responses to all calls are lost, so that none shows that there is a change.
#[tokio::test]
async fn lost_all() {
    let site = Site::start(3, None).await;
    let tables = ["op", "servers", "members", "refusals"];
    site.check_lost(&tables, Duration::from_millis(350)).await;
}

/// Responses are lost for so long that the checks are lost as well.
#[tokio::test]
async fn lost_checks() {
    let site = Site::start(3, None).await;
    site.check_lost(&["op"], Duration::from_millis(2_500)).await;
}

/// Six routers, only some of which read the table often: the others learn the version
/// from them.
#[tokio::test]
async fn lost_change_six() {
    for lost in [350, 1_500] {
        let site = Site::start(6, None).await;
        site.check_lost(&["op"], Duration::from_millis(lost)).await;
    }
}

/// An operator lifts a refusal by removing its row, and the responses that bring the
/// removal are lost.
#[tokio::test]
async fn lost_lift() {
    let site = Site::start(1, None).await;
    let refused = || site.routers[0].shared.crash_parts().refused().count();
    let part = edge::fleet::part_hash("deadly").to_string();
    site.table.put("refusals", &part, b"other-router");
    site::until("the part is refused", || refused() == 1).await;
    time::sleep(QUIET).await;
    site.table.lose(&["refusals"]);
    site.table.remove("refusals", &part);
    time::sleep(Duration::from_millis(350)).await;
    site.table.lose(&[]);
    time::sleep(CONTACT_TIME).await;
    assert_eq!(refused(), 0);
}

/// Passes connections on to an address. Those that are open when the count changes go
/// silent for good: they neither deliver anything further nor close.
async fn silent_proxy(to: SocketAddr) -> (SocketAddr, watch::Sender<u32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let (sender, silenced) = watch::channel(0);
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let mut silenced = silenced.clone();
            silenced.mark_unchanged();
            tokio::spawn(async move {
                let mut server = TcpStream::connect(to).await?;
                tokio::select! {
                    copied = io::copy_bidirectional(&mut caller, &mut server) => copied.map(|_| ()),
                    _ = silenced.changed() => {
                        time::sleep(Duration::from_secs(60)).await;
                        Ok(())
                    }
                }
            });
        }
    });
    (address, sender)
}

/// Open connections to the table go silent without a reset, and new ones work.
#[tokio::test]
async fn silent_connections() {
    let table = Arc::new(Rows::start().expect("a table"));
    let (address, silence) = silent_proxy(table.address()).await;
    let site = Site::start(3, Some((table, address))).await;
    silence.send_modify(|count| *count += 1);
    let silenced = time::Instant::now();
    time::sleep(Duration::from_millis(100)).await;
    fakes::site::configure(&site.table, 2, &["other"]);
    time::sleep_until(silenced + CONTACT_TIME).await;
    let versions = site.versions();
    assert!(versions.iter().all(|version| *version == 2), "{versions:?}");
}

/// Without a disturbance the heartbeats cause no calls beyond the usual ones.
#[tokio::test]
async fn calm() {
    let site = Site::start(1, None).await;
    let shared = &site.routers[0].shared;
    let checks = || {
        let text = shared.metrics.render(shared).expect("metrics");
        let mut lines = text.lines();
        let line = lines.find(|line| line.starts_with("ebonywall_feed_checks_total"));
        line.expect("a counter").to_owned()
    };
    let before = checks();
    time::sleep(3 * QUIET).await;
    assert_eq!(checks(), before);
}
