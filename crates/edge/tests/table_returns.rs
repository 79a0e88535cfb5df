//! The table comes back from an older copy: what was written since is gone, and its
//! versions are given out again.

mod site;

use std::{sync::Arc, time::Duration};

use fakes::{
    rows::{EraHeader, Rows},
    runner::{Behaviour, Runner},
};
use site::Router;
use tokio::{sync::watch, time};
use tokio_util::task::AbortOnDropHandle;

/// Time after an acknowledgement within which a configuration has to be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after an acknowledgement from which on a leaving target gets no requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time after an acknowledgement within which an evacuation has to be in force.
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// Time from a return of the table from which on routers count as undisturbed.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Interval of the heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time in which each target has written its row again.
const ALL_ROWS: Duration = Duration::from_millis(1_500);

/// Number of targets.
const TARGETS: usize = 6;

struct Site {
    table: Arc<Rows>,
    routers: Vec<Router>,
    targets: Arc<Vec<Runner>>,
    /// The targets from this index on write no more heartbeats.
    alive: watch::Sender<usize>,
    _heartbeats: AbortOnDropHandle<()>,
}

impl Site {
    async fn start(count: usize) -> Self {
        let table = Arc::new(Rows::start().expect("a table"));
        fakes::site::configure(&table, 1, &[site::KEY, "other"]);
        let runner = |number| Runner::start(&format!("i-{number}"), Behaviour::Echo);
        let targets: Result<Vec<_>, _> = (0..TARGETS).map(runner).collect();
        let targets = Arc::new(targets.expect("targets"));
        for target in targets.iter() {
            fakes::site::list_runner(&table, target, "ready");
        }
        let (alive, living) = watch::channel(TARGETS);
        let heartbeats = tokio::spawn(heartbeats(table.clone(), targets.clone(), living));
        let mut site = Self {
            table,
            routers: Vec::new(),
            targets,
            alive,
            _heartbeats: AbortOnDropHandle::new(heartbeats),
        };
        for _ in 0..count {
            site.add_router().await;
        }
        for router in &site.routers {
            router.ready().await;
        }
        time::sleep(ALL_ROWS).await;
        site
    }

    /// Starts a further router.
    async fn add_router(&mut self) {
        let seeds: Vec<_> = self
            .routers
            .iter()
            .map(|it| it.shared.settings.peers)
            .collect();
        let settings = site::settings(self.table.address(), &seeds);
        self.routers.push(site::router(settings).await);
    }

    fn versions(&self) -> Vec<u64> {
        let versions = self.routers.iter().map(|it| it.shared.version().0);
        versions.collect()
    }

    /// Returns the ids of the targets that a router sends to.
    fn open(&self, router: usize) -> Vec<String> {
        let fleet = self.routers[router].shared.fleet.load();
        let targets = fleet.iter().flat_map(|fleet| fleet.targets());
        let open = targets.filter(|target| !target.row.leaving);
        open.map(|target| target.row.id.to_string()).collect()
    }

    /// Returns whether a router refuses a prompt part.
    fn refuses(&self, router: usize) -> bool {
        let parts = self.routers[router].shared.crash_parts();
        parts.refused().count() > 0
    }

    fn is_evacuated(&self, router: usize) -> bool {
        !self.routers[router].shared.evacuated.load().is_empty()
    }

    /// Stops the heartbeats of a target, the last one, and writes what it reports.
    fn report(&self, state: &str) {
        let last = TARGETS - 1;
        self.alive.send_replace(last);
        fakes::site::list_runner(&self.table, &self.targets[last], state);
    }
}

/// Writes the rows of the targets again and again, one after the other.
async fn heartbeats(table: Arc<Rows>, targets: Arc<Vec<Runner>>, living: watch::Receiver<usize>) {
    loop {
        for (index, target) in targets.iter().enumerate() {
            if index < *living.borrow() {
                fakes::site::list_runner(&table, target, "ready");
            }
            time::sleep(HEARTBEAT / TARGETS as u32).await;
        }
    }
}

/// A version of the configuration is written as the table is back. The versions of the
/// table that routers know have been given out again before they ask for changes, so that
/// the change is below them.
#[tokio::test]
async fn new_config() {
    for count in [1, 3] {
        let site = Site::start(count).await;
        let copy = site.table.copy();
        time::sleep(Duration::from_secs(1)).await;
        fakes::site::configure(&site.table, 2, &[site::KEY, "other"]);
        time::sleep(Duration::from_secs(2)).await;
        let known = site.table.version();
        site.table.restore(copy);
        fakes::site::configure(&site.table, 3, &[site::KEY]);
        while site.table.version() <= known {
            fakes::site::list_runner(&site.table, &site.targets[0], "ready");
        }
        time::sleep(APPLY_TIME.max(CONTACT_TIME)).await;
        let versions = site.versions();
        assert!(versions.iter().all(|version| *version == 3), "{versions:?}");
    }
}

/// The same, twice within a second, with the responses of one era late.
#[tokio::test]
async fn new_config_twice() {
    let site = Site::start(3).await;
    let copy = site.table.copy();
    time::sleep(Duration::from_secs(2)).await;
    fakes::site::configure(&site.table, 2, &[site::KEY, "other"]);
    time::sleep(Duration::from_secs(1)).await;
    site.table.slow(Duration::from_millis(300));
    site.table.restore(copy.clone());
    fakes::site::configure(&site.table, 3, &[site::KEY]);
    time::sleep(Duration::from_millis(700)).await;
    site.table.restore(copy);
    site.table.slow(Duration::ZERO);
    fakes::site::configure(&site.table, 4, &[site::KEY]);
    time::sleep(APPLY_TIME.max(CONTACT_TIME)).await;
    let versions = site.versions();
    assert!(versions.iter().all(|version| *version == 4), "{versions:?}");
}

/// An older configuration in the copy must not come into force again, also not at a
/// router that has just started.
#[tokio::test]
async fn old_config() {
    let mut site = Site::start(2).await;
    let copy = site.table.copy();
    fakes::site::configure(&site.table, 2, &[site::KEY]);
    time::sleep(APPLY_TIME).await;
    site.table.restore(copy);
    site.add_router().await;
    let end = time::Instant::now() + CONTACT_TIME;
    while time::Instant::now() < end {
        assert_eq!(site.versions()[..2], [2, 2]);
        time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(site.versions(), [2, 2, 2]);
}

/// A target reports that it is leaving soon after the table is back. Its row has a lower
/// version than the one that routers know, and it does not write it again.
#[tokio::test]
async fn leaving_target() {
    for pause in [0, 300, 1_500] {
        let site = Site::start(2).await;
        let copy = site.table.copy();
        time::sleep(Duration::from_secs(4)).await;
        site.table.restore(copy);
        time::sleep(Duration::from_millis(pause)).await;
        site.report("draining");
        time::sleep(DRAIN_TIME.max(CONTACT_TIME)).await;
        for router in 0..2 {
            let open = site.open(router);
            assert_eq!(open.len(), TARGETS - 1, "after {pause} ms: {open:?}");
        }
    }
}

/// The row of a target is removed soon after the table is back.
#[tokio::test]
async fn removed_target() {
    let site = Site::start(2).await;
    let copy = site.table.copy();
    time::sleep(Duration::from_secs(4)).await;
    site.table.restore(copy);
    time::sleep(Duration::from_millis(300)).await;
    site.alive.send_replace(TARGETS - 1);
    let last = site.targets[TARGETS - 1].id();
    site.table.remove("servers", last);
    time::sleep(DRAIN_TIME + CONTACT_TIME).await;
    for router in 0..2 {
        let open = site.open(router);
        assert!(!open.iter().any(|id| id == last), "{open:?}");
    }
}

/// A target has left since the copy was made, which shows it as ready. It gets nothing
/// again because of that row, whether it was leaving or its row was removed; a router
/// that has just started learns it from the others.
#[tokio::test]
async fn left_since() {
    for removed in [false, true] {
        let mut site = Site::start(2).await;
        let copy = site.table.copy();
        site.report("draining");
        let last = site.targets[TARGETS - 1].id().to_owned();
        if removed {
            site.table.remove("servers", &last);
        }
        time::sleep(Duration::from_secs(6)).await;
        site.table.restore(copy);
        let returned = time::Instant::now();
        site.add_router().await;
        while returned.elapsed() < CONTACT_TIME {
            for router in 0..2 {
                assert!(!site.open(router).contains(&last), "at {router}");
            }
            time::sleep(Duration::from_millis(10)).await;
        }
        assert!(!site.open(2).contains(&last), "at the new router");
    }
}

/// A target has come since the copy was made. It is not dropped before it had time to
/// write its row again.
#[tokio::test]
async fn joined_since() {
    let site = Site::start(2).await;
    let new = Runner::start("i-new", Behaviour::Echo).expect("a target");
    let copy = site.table.copy();
    fakes::site::list_runner(&site.table, &new, "ready");
    time::sleep(Duration::from_secs(2)).await;
    site.table.restore(copy);
    let returned = time::Instant::now();
    let mut is_back = false;
    while returned.elapsed() < CONTACT_TIME {
        if !is_back && returned.elapsed() > HEARTBEAT {
            is_back = true;
            fakes::site::list_runner(&site.table, &new, "ready");
        }
        for router in 0..2 {
            let open = site.open(router);
            assert_eq!(open.len(), TARGETS + 1, "{open:?}");
        }
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// An operator evacuates a data centre again that was evacuated and taken back between
/// the copy and the return.
#[tokio::test]
async fn evacuated_again() {
    for pause in [0, 300, 4_000] {
        let site = Site::start(2).await;
        let copy = site.table.copy();
        fakes::site::evacuate(&site.table, "north");
        time::sleep(Duration::from_secs(1)).await;
        fakes::site::withdraw(&site.table, "north");
        time::sleep(Duration::from_secs(3)).await;
        assert!(!site.is_evacuated(0) && !site.is_evacuated(1));
        site.table.restore(copy);
        time::sleep(Duration::from_millis(pause)).await;
        fakes::site::evacuate(&site.table, "north");
        time::sleep(EVACUATION_TIME).await;
        let known = [site.is_evacuated(0), site.is_evacuated(1)];
        assert_eq!(known, [true, true], "after {pause} ms");
    }
}

/// The row of an evacuation is lost with the return, and the operator writes it again a
/// while later. The data centre stays evacuated until then, and is taken back as usual.
#[tokio::test]
async fn lost_evacuation() {
    let site = Site::start(2).await;
    let copy = site.table.copy();
    fakes::site::evacuate(&site.table, "north");
    time::sleep(Duration::from_secs(3)).await;
    assert!(site.is_evacuated(0) && site.is_evacuated(1));
    site.table.restore(copy);
    let returned = time::Instant::now();
    while returned.elapsed() < CONTACT_TIME {
        assert!(site.is_evacuated(0) && site.is_evacuated(1));
        time::sleep(Duration::from_millis(10)).await;
    }
    fakes::site::evacuate(&site.table, "north");
    time::sleep(Duration::from_secs(10)).await;
    assert!(site.is_evacuated(0) && site.is_evacuated(1));
    fakes::site::withdraw(&site.table, "north");
    site::until("it is taken back", || {
        !site.is_evacuated(0) && !site.is_evacuated(1)
    })
    .await;
}

/// A refusal that was stored since the copy was made stays in force, and its row is
/// written again.
#[tokio::test]
async fn lost_refusal() {
    let site = Site::start(2).await;
    let copy = site.table.copy();
    let part = edge::fleet::part_hash("deadly").to_string();
    let refused = |router: usize| site.refuses(router);
    site.table.put("refusals", &part, b"other-router");
    site::until("the part is refused", || refused(0) && refused(1)).await;
    time::sleep(Duration::from_secs(2)).await;
    site.table.restore(copy);
    let is_stored = || site.table.keys("refusals").contains(&part);
    site::until("the row is written again", is_stored).await;
    time::sleep(CONTACT_TIME).await;
    assert!(refused(0) && refused(1) && is_stored());
}

/// A refusal that an operator has lifted since the copy was made does not come back, and
/// its row is removed again.
#[tokio::test]
async fn lifted_refusal() {
    let site = Site::start(2).await;
    let part = edge::fleet::part_hash("deadly").to_string();
    let refused = |router: usize| site.refuses(router);
    site.table.put("refusals", &part, b"other-router");
    site::until("the part is refused", || refused(0) && refused(1)).await;
    let copy = site.table.copy();
    site.table.remove("refusals", &part);
    site::until("the refusal is lifted", || !refused(0) && !refused(1)).await;
    time::sleep(Duration::from_secs(2)).await;
    site.table.restore(copy);
    let is_stored = || site.table.keys("refusals").contains(&part);
    site::until("the row is removed again", || !is_stored()).await;
    let end = time::Instant::now() + CONTACT_TIME;
    while time::Instant::now() < end {
        assert!(!refused(0) && !refused(1) && !is_stored());
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// The row of a router that started after the copy was made is written again.
#[tokio::test]
async fn own_row() {
    let mut site = Site::start(1).await;
    let copy = site.table.copy();
    site.add_router().await;
    site.routers[1].ready().await;
    site::until("both rows are there", || {
        site.table.keys("members").len() == 2
    })
    .await;
    time::sleep(ALL_ROWS).await;
    site.table.restore(copy);
    site::until("both rows are back", || {
        site.table.keys("members").len() == 2
    })
    .await;
}

/// Eras that are missing, no numbers or lower than the known one change nothing, and do
/// not keep a router from following the table once the header is right again.
#[tokio::test]
async fn odd_eras() {
    let site = Site::start(1).await;
    site.table.restore(site.table.copy());
    time::sleep(ALL_ROWS).await;
    let odd = [
        EraHeader::Missing,
        EraHeader::Text("soon".to_owned()),
        EraHeader::Text("-1".to_owned()),
        EraHeader::Text("0".to_owned()),
    ];
    for (version, header) in (2..).zip(odd) {
        site.table.set_era_header(header.clone());
        time::sleep(ALL_ROWS).await;
        assert_eq!(site.open(0).len(), TARGETS, "{header:?}");
        site.table.set_era_header(EraHeader::Actual);
        fakes::site::configure(&site.table, version, &[site::KEY]);
        let is_applied = || site.versions() == [version];
        site::until("the configuration is in force", is_applied).await;
    }
}
