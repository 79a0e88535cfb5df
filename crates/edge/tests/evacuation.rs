//! Evacuation of data centres, and routes and teams that may use certain regions
//! only.

mod site;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use base::{id::DataCentre, span::Span, time::Mono};
use edge::{
    evacuation::{Evacuation, Evacuations},
    fleet::{TargetHash, part_hash},
    shared::Shared,
    update::{EvacuationEntry, Scope, Snapshot, Update},
    view::View,
};
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
    site::Options,
};
use http::StatusCode;
use platform::rows::{Era, Position, Row};
use proptest::prelude::*;
use prost::Message;
use site::{Response, Router};
use tokio::time::{self, Instant};

/// Time from the change of the row until no request may reach the data centre.
const BOUND: Duration = Duration::from_millis(5_000);

/// Time in which a router without the table learns of a change from its peers.
const PEER_BOUND: Duration = Duration::from_millis(1_500);

const CENTRES: [&str; 2] = ["north", "south"];

fn centre(name: &str) -> DataCentre {
    name.parse().expect("an id")
}

fn state(name: &str, position: u64, active: bool) -> Evacuation {
    Evacuation {
        centre: centre(name),
        position: Position::from(position),
        active,
    }
}

fn at(millis: u64) -> Mono {
    Mono(0) + Span::from_millis(millis)
}

fn names(evacuations: &Evacuations) -> Vec<String> {
    let active = evacuations.active().into_iter();
    active.map(|centre| centre.to_string()).collect()
}

fn entries(evacuations: &mut Evacuations, millis: u64, update: &Update) -> Vec<EvacuationEntry> {
    evacuations.report(at(millis)).entries(update)
}

proptest! {
    /// Routers receive rows and announcements in any order, some of them repeatedly
    /// or late; all must end with the same set, that of the highest positions.
    #[test]
    fn any_order(
        changes in prop::collection::vec((0..4_usize, any::<bool>()), 1..30),
        order in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 0..60),
    ) {
        let name = |index: usize| format!("c{index}");
        let states: Vec<_> = changes
            .iter()
            .enumerate()
            .map(|(at, (index, active))| state(&name(*index), at as u64 + 1, *active))
            .collect();
        let mut expected = Evacuations::default();
        expected.apply_rows(at(0), states.clone());
        let mut mixed = Evacuations::default();
        for (index, from_peer) in order {
            let one = vec![index.get(&states).clone()];
            match from_peer {
                true => mixed.merge(at(0), one),
                false => mixed.apply_rows(at(0), one),
            };
        }
        mixed.merge(at(0), states.clone());
        prop_assert_eq!(mixed.all(), expected.all());
        let last = |index: usize| changes.iter().rev().find(|(at, _)| *at == index);
        let active = (0..4).filter(|index| last(*index).is_some_and(|(_, active)| *active));
        prop_assert_eq!(names(&mixed), active.map(name).collect::<Vec<_>>());
    }
}

/// A full read ends an evacuation that it does not contain, also one that only a peer
/// knew; one with a higher position stays, because the peer has read a later state.
#[test]
fn full_reads() {
    let mut known = Evacuations::default();
    known.replace(at(0), Position::from(10), vec![state("a", 4, true)]);
    known.merge(at(0), vec![state("b", 15, true), state("c", 30, true)]);
    known.apply_rows(at(0), vec![state("d", 16, true)]);
    assert_eq!(names(&known), ["a", "b", "c", "d"]);
    let changes = known.replace(at(0), Position::from(20), vec![state("d", 16, true)]);
    assert_eq!(changes, [state("a", 20, false), state("b", 20, false)]);
    assert_eq!(names(&known), ["c", "d"]);
}

fn in_era(era: u64, version: u64) -> Position {
    Position {
        era: Era(era),
        version,
    }
}

fn later(name: &str, era: u64, version: u64, active: bool) -> Evacuation {
    Evacuation {
        position: in_era(era, version),
        ..state(name, 0, active)
    }
}

/// After the table has come back from a copy without the row of an evacuation, operators
/// have some time to write it again. A second return gives them that time again.
#[test]
fn lost_rows() {
    let mut known = Evacuations::default();
    known.replace(at(0), 10.into(), Vec::new());
    known.apply_rows(at(0), vec![state("a", 40, true), state("b", 41, true)]);
    assert!(
        known
            .replace(at(1_000), in_era(1, 12), Vec::new())
            .is_empty()
    );
    assert!(known.expire(at(10_900)).is_empty());
    assert!(
        known
            .replace(at(8_000), in_era(2, 9), Vec::new())
            .is_empty()
    );
    assert!(known.expire(at(17_900)).is_empty());
    known.apply_rows(at(17_900), vec![later("a", 2, 11, true)]);
    assert_eq!(known.expire(at(18_000)), [later("b", 2, 9, false)]);
    assert_eq!(names(&known), ["a"]);
    known.apply_rows(at(18_100), vec![later("a", 2, 12, false)]);
    assert!(names(&known).is_empty());
}

/// An evacuation that was withdrawn before the return counts again if the table shows it
/// again, be it the row of the copy or a new one.
#[test]
fn returned_rows() {
    let mut known = Evacuations::default();
    known.replace(at(0), 10.into(), vec![state("a", 5, true)]);
    known.apply_rows(at(0), vec![state("a", 40, false)]);
    known.replace(at(1_000), in_era(1, 12), vec![later("a", 1, 5, true)]);
    assert_eq!(names(&known), ["a"]);
    known.merge(at(1_100), vec![state("a", 40, false)]);
    assert_eq!(names(&known), ["a"]);
    known.apply_rows(at(1_200), vec![later("a", 1, 13, false)]);
    assert!(names(&known).is_empty());
}

/// A router that has started after the return learns of a lost evacuation from one that
/// is cut from the table, and not for longer than operators have to write it again.
#[test]
fn lost_at_peer() {
    let mut fresh = Evacuations::default();
    fresh.replace(at(1_000), in_era(1, 12), Vec::new());
    fresh.merge(at(2_000), vec![state("a", 40, true)]);
    assert_eq!(names(&fresh), ["a"]);
    assert_eq!(fresh.expire(at(11_000)), [later("a", 1, 12, false)]);
    assert!(
        fresh
            .merge(at(12_000), vec![state("a", 40, true)])
            .is_empty()
    );
    fresh.merge(at(12_000), vec![state("b", 41, true)]);
    assert!(names(&fresh).is_empty());
}

/// A late announcement must not bring back an evacuation that was withdrawn, nor one
/// that a full read did not contain. The router that sent it is told.
#[test]
fn late_announcements() {
    let mut known = Evacuations::default();
    known.replace(at(0), Position::from(10), Vec::new());
    known.apply_rows(at(0), vec![state("a", 11, true)]);
    known.apply_rows(at(0), vec![state("a", 12, false)]);
    assert!(entries(&mut known, 6_000, &Update::default()).is_empty());
    let late = vec![state("a", 11, true), state("b", 9, true)];
    assert!(known.merge(at(6_000), late).is_empty());
    assert!(names(&known).is_empty());
    let sent = entries(&mut known, 6_100, &Update::default());
    let sent: Vec<_> = sent.iter().map(Evacuation::try_from).collect();
    let sent: Vec<_> = sent.into_iter().flatten().collect();
    assert!(sent.contains(&state("a", 12, false)));
    assert!(sent.contains(&state("b", 10, false)));
}

/// Changes are in every datagram for a second and then in some for four more,
/// evacuations in heartbeats as long as they last. Nothing else is sent: an update
/// without evacuations has no further byte.
#[test]
fn announced() {
    let heartbeat = Update {
        uses_relays: true,
        scope: Scope::Nothing.into(),
        ..Update::default()
    };
    let loads = Update {
        scope: Scope::Own.into(),
        ..heartbeat.clone()
    };
    // In how many of twelve rounds the evacuation is sent.
    let sent = |known: &mut Evacuations, millis: u64, update: &Update| {
        let rounds = (0..12).map(|_| entries(known, millis, update));
        rounds.map(|entries| entries.len()).sum::<usize>()
    };
    let mut known = Evacuations::default();
    known.replace(at(0), Position::from(1), Vec::new());
    assert_eq!(sent(&mut known, 0, &heartbeat), 0);
    assert_eq!(Snapshot::default().encoded_len(), 0);
    assert_eq!(Update::default().encoded_len(), 0);
    for (start, active) in [(1_000, true), (61_000, false)] {
        let position = start + u64::from(active);
        known.apply_rows(at(start), vec![state("a", position, active)]);
        assert_eq!(sent(&mut known, start + 900, &loads), 12);
        assert_eq!(sent(&mut known, start + 4_900, &loads), 3);
        assert_eq!(sent(&mut known, start + 4_900, &heartbeat), 12);
        assert_eq!(sent(&mut known, start + 5_100, &loads), 0);
        let lasting = if active { 12 } else { 0 };
        assert_eq!(sent(&mut known, start + 59_000, &heartbeat), lasting);
    }
}

/// Many evacuations with long names must not fill the datagram; they take turns.
#[test]
fn many_evacuations() {
    let mut known = Evacuations::default();
    let name = |number: u64| format!("{number:060}");
    let rows = (1..=40).map(|number| state(&name(number), number, true));
    known.apply_rows(at(0), rows.collect());
    for millis in [100, 2_000, 60_000] {
        let mut seen = BTreeSet::new();
        for _ in 0..160 {
            let update = Update {
                evacuations: entries(&mut known, millis, &Update::default()),
                ..Update::default()
            };
            assert!(update.encoded_len() < 300, "{}", update.encoded_len());
            seen.extend(update.evacuations.into_iter().map(|entry| entry.centre));
        }
        assert_eq!(seen.len(), 40);
    }
}

/// A table, and one target in each of two data centres.
struct Site {
    table: Rows,
    targets: [Runner; 2],
}

impl Site {
    fn start(options: Options) -> Self {
        let table = Rows::start().expect("a table");
        fakes::site::configure_with(&table, 1, &[site::KEY], options);
        let targets = CENTRES.map(|centre| {
            let runner = Runner::start(&format!("i-{centre}"), Behaviour::ByPath);
            let runner = runner.expect("a target");
            fakes::site::list_in(&table, &runner, centre);
            runner
        });
        Self { table, targets }
    }

    async fn router(&self) -> Router {
        start(self.table.address(), &[]).await
    }

    fn runs(&self) -> [usize; 2] {
        [0, 1].map(|index| self.targets[index].runs().len())
    }
}

async fn start(table: SocketAddr, seeds: &[SocketAddr]) -> Router {
    let mut settings = site::settings(table, seeds);
    let regions = CENTRES.into_iter().zip(["east", "west"]);
    let regions = regions.map(|(name, region)| (centre(name), region.parse().expect("an id")));
    settings.regions = regions.collect();
    let router = site::router(settings).await;
    router.ready().await;
    router
}

fn evacuated(router: &Router) -> Vec<String> {
    let evacuated = router.shared.evacuated.load();
    evacuated.iter().map(ToString::to_string).collect()
}

/// Waits until exactly these data centres are evacuated, and returns how long it took.
async fn until_evacuated(router: &Router, names: &[&str]) -> Duration {
    let started = Instant::now();
    site::until("the set is in force", || evacuated(router) == names).await;
    started.elapsed()
}

async fn calls(router: &Router, label: &str, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let response = router.call("/again/a", &format!("{label}-{number}")).await;
        served += usize::from(response.status == StatusCode::OK);
    }
    served
}

fn is_refused(response: &Response) -> bool {
    response.status == StatusCode::SERVICE_UNAVAILABLE
        && response.headers.contains_key("retry-after")
}

fn metric(router: &Router, name: &str) -> String {
    let text = router.shared.metrics.render(&router.shared);
    let text = text.expect("metrics");
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split(' ').next_back());
    value.unwrap_or_default().to_owned()
}

/// While the table is slow, the evacuation still takes effect in time, the other data
/// centre gets all requests, and the first one gets some again afterwards. An evacuation
/// of an unknown data centre and a malformed name have no effect.
#[tokio::test]
async fn slow_table() {
    let site = Site::start(Options::default());
    let router = site.router().await;
    // The router is in the north and prefers targets there while none is loaded.
    assert_eq!(calls(&router, "before", 20).await, 20);
    assert_eq!(site.runs(), [20, 0]);
    site.table.slow(Duration::from_millis(500));
    fakes::site::evacuate(&site.table, "elsewhere");
    fakes::site::evacuate(&site.table, "not a name");
    fakes::site::evacuate(&site.table, "north");
    assert!(until_evacuated(&router, &["elsewhere", "north"]).await < BOUND);
    assert_eq!(calls(&router, "during", 20).await, 20);
    assert_eq!(site.runs(), [20, 20]);
    assert_eq!(metric(&router, "ebonywall_evacuated_data_centres"), "2");
    assert_eq!(metric(&router, "ebonywall_kept_from_evacuated_total"), "20");
    fakes::site::withdraw(&site.table, "north");
    until_evacuated(&router, &["elsewhere"]).await;
    assert_eq!(calls(&router, "after", 20).await, 20);
    assert_eq!(site.runs(), [40, 20]);
}

/// An evacuation that is withdrawn twice follows the latest row, also when the table
/// forgets its history in between.
#[tokio::test]
async fn withdrawn_twice() {
    let site = Site::start(Options::default());
    let router = site.router().await;
    for forgets in [false, true] {
        fakes::site::evacuate(&site.table, "north");
        if forgets {
            site.table.forget();
        }
        assert!(until_evacuated(&router, &["north"]).await < BOUND);
        fakes::site::withdraw(&site.table, "north");
        if forgets {
            site.table.forget();
        }
        until_evacuated(&router, &[]).await;
    }
    assert_eq!(calls(&router, "after", 20).await, 20);
    assert_eq!(site.runs(), [20, 0]);
}

/// With all data centres evacuated, requests are refused at once as not run; the router
/// in one of them keeps answering.
#[tokio::test]
async fn all_evacuated() {
    let site = Site::start(Options::default());
    let router = site.router().await;
    for name in CENTRES {
        fakes::site::evacuate(&site.table, name);
    }
    assert!(until_evacuated(&router, &CENTRES).await < BOUND);
    let started = Instant::now();
    for path in ["/once/a", "/again/a", "/stream/a", "/resume/a"] {
        let response = router.call(path, &format!("all{}", &path[1..3])).await;
        assert!(is_refused(&response), "{response:?}");
    }
    assert!(started.elapsed() < Duration::from_millis(400));
    assert_eq!(site.runs(), [0, 0]);
    assert_eq!(metric(&router, "ebonywall_not_permitted_total"), "4");
    assert!(router.shared.is_ready());
}

/// Neither a retry nor a resumed stream goes to an evacuated data centre; a stream that
/// runs there finishes.
#[tokio::test]
async fn retries() {
    let site = Site::start(Options::default());
    let router = site.router().await;
    fakes::site::evacuate(&site.table, "south");
    until_evacuated(&router, &["south"]).await;
    site.targets[0].next(Behaviour::Endless);
    let running = router.call("/stream/a", "running");
    let change = async {
        site::until("the stream runs", || site.targets[0].streams() == 1).await;
        fakes::site::withdraw(&site.table, "south");
        fakes::site::evacuate(&site.table, "north");
        until_evacuated(&router, &["north"]).await;
        time::sleep(Duration::from_millis(200)).await;
        assert_eq!(site.targets[0].streams(), 1);
        let [first, second] = &site.targets;
        let before = first.runs().len();
        second.next(Behaviour::Shed);
        assert!(is_refused(&router.call("/again/a", "shed").await));
        second.next(Behaviour::Fail);
        let failed = router.call("/again/a", "failed").await;
        assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
        second.next(Behaviour::Break(2));
        assert!(!router.call("/resume/a", "broken").await.whole);
        assert_eq!(first.runs().len(), before);
    };
    tokio::join!(running, change);
}

/// A router that starts during an evacuation, without the table, is not ready before it
/// knows the set; later it learns of changes from its peer in time.
#[tokio::test]
async fn from_peer() {
    let site = Site::start(Options::default());
    fakes::site::evacuate(&site.table, "north");
    let router = site.router().await;
    assert_eq!(evacuated(&router), ["north"]);
    let refusing = Rows::start().expect("a table");
    refusing.down(true);
    let seeds = [router.shared.settings.peers];
    let isolated = start(refusing.address(), &seeds).await;
    assert_eq!(evacuated(&isolated), ["north"]);
    assert_eq!(calls(&isolated, "isolated", 20).await, 20);
    assert_eq!(site.runs(), [0, 20]);
    fakes::site::withdraw(&site.table, "north");
    assert!(until_evacuated(&isolated, &[]).await < PEER_BOUND);
    fakes::site::evacuate(&site.table, "south");
    assert!(until_evacuated(&isolated, &["south"]).await < PEER_BOUND);
    // What only the peer told stays until a read of the table does not contain it.
    router.stop().await;
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(evacuated(&isolated), ["south"]);
    for version in 0..40 {
        fakes::site::configure(&refusing, version, &[site::KEY]);
    }
    refusing.down(false);
    until_evacuated(&isolated, &[]).await;
}

/// A snapshot carries the set, also evacuations that ended, for a router that has not
/// received an update with them.
#[test]
fn snapshots() {
    let view = || {
        let table = SocketAddr::from(([127, 0, 0, 1], 9));
        View::new(Shared::new(site::settings(table, &[])))
    };
    let row = |name: &str, position, value: Option<&'static [u8]>| Row {
        key: format!("evacuate/{name}"),
        position: Position::from(position),
        value: value.map(Into::into),
    };
    let first = view();
    let rows = [row("a", 5, Some(b"")), row("b", 6, Some(b""))];
    first.apply_evacuation_rows(&rows, Some(Position::from(7)));
    first.apply_evacuation_rows(&[row("a", 8, None)], None);
    let snapshot = first.snapshot().encode_to_vec();
    let second = view();
    second.adopt_snapshot(&Snapshot::decode(&snapshot[..]).expect("a snapshot"));
    assert_eq!(names(&second.evacuations()), ["b"]);
    let late = EvacuationEntry::from(&state("a", 5, true));
    second.apply_peer_evacuations(&[late]);
    assert_eq!(names(&second.evacuations()), ["b"]);
}

/// A router that starts during an evacuation asks no engine there for its cached parts,
/// and no engine is told to fetch from one there, unlike from one that is leaving.
#[tokio::test]
async fn engines() {
    let site = Site::start(Options {
        engines: true,
        ..Options::default()
    });
    let [north, south] = &site.targets;
    fakes::site::evacuate(&site.table, "north");
    let router = site.router().await;
    site::until("the south is asked", || south.lists() == 1).await;
    time::sleep(Duration::from_millis(300)).await;
    assert_eq!(north.lists(), 0);
    fakes::site::withdraw(&site.table, "north");
    until_evacuated(&router, &[]).await;
    fakes::site::list_runner(&site.table, north, "draining");
    let held = || router.shared.fleet.load_full().expect("targets");
    let hash = TargetHash::of(&north.id().parse().expect("an id"));
    let is_leaving = || held().target(hash).is_some_and(|target| target.row.leaving);
    site::until("the north is leaving", is_leaving).await;
    let fetches = || {
        let runs = south.runs().into_iter();
        let fetching = runs.filter(|run| run.headers.contains_key("kv-fetch"));
        fetching.count()
    };
    for (part, evacuates) in [("first", false), ("second", true)] {
        if evacuates {
            fakes::site::evacuate(&site.table, "north");
            until_evacuated(&router, &["north"]).await;
        }
        let target = held().target(hash).expect("the target").clone();
        target.add_cached(router.shared.clock.now(), part_hash(part));
        let mut request = site::request("/again/a", part);
        let prefix = format!("{part}:5000,own-{part}:100");
        let prefix = prefix.parse().expect("a prefix");
        request.headers_mut().insert("x-prompt-prefix", prefix);
        assert_eq!(router.send(request).await.status, StatusCode::OK);
        assert_eq!(fetches(), 1);
    }
    assert_eq!(site.runs(), [0, 2]);
}

/// Requests of a route or a team with regions reach no other region, also when the
/// targets there fail; without a target in the regions they are refused as not run.
#[tokio::test]
async fn homes() {
    for (rule, team, expected) in [
        (&["west"][..], &[][..], [0, 20]),
        (&[][..], &["east", "nowhere"][..], [20, 0]),
        (&["west"][..], &["east"][..], [0, 0]),
        (&["nowhere"][..], &[][..], [0, 0]),
    ] {
        let site = Site::start(Options {
            rule_regions: rule,
            team_regions: team,
            ..Options::default()
        });
        let router = site.router().await;
        let served = calls(&router, "home", 20).await;
        assert_eq!(site.runs(), expected);
        assert_eq!(served, expected.into_iter().sum::<usize>());
        for target in &site.targets {
            target.set(Behaviour::Fail);
        }
        let last = router.call("/again/a", "last").await;
        match served {
            0 => assert!(is_refused(&last), "{last:?}"),
            _ => assert_eq!(last.status, StatusCode::INTERNAL_SERVER_ERROR),
        }
        assert_eq!(site.runs(), expected.map(|runs| runs + runs.min(1)));
    }
}
