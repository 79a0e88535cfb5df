//! Guards the cost of a change at the design size: each of 2,200 changes a day
//! is applied by every process, and with 34,000 teams a copy of the whole
//! configuration would show in the traffic's latency.

use std::time::Instant;

use base::{id, span::Span};
use conf::{
    change::{Change, TeamUpdate},
    difference,
    state::{Configuration, Team},
    value::KeyHash,
};

const TEAMS: u64 = 34_000;

/// Entries that a change may copy in the map of teams and in the map of keys:
/// one chunk, or the two parts of a chunk that is split. Times are printed and
/// not compared, because they depend on the machine and its load.
const COPIED: usize = 257;

fn team(number: u64) -> id::TeamId {
    format!("team-{number:05}").parse().unwrap()
}

fn full() -> Configuration {
    let teams = (0..TEAMS).map(|number| {
        let mut entry = Team::new(team(number));
        entry.keys.insert(KeyHash::of(&number.to_string()));
        Change::CreateTeam(entry)
    });
    let start = Configuration::default();
    start.apply(&Change::Batch(teams.collect())).unwrap()
}

/// Returns the median time of `run`, which is less disturbed by other processes
/// than the mean.
fn median(mut run: impl FnMut(u64)) -> Span {
    let mut times: Vec<Span> = (0..101)
        .map(|number| {
            let start = Instant::now();
            run(number);
            Span::from(start.elapsed())
        })
        .collect();
    times.sort();
    times[times.len() / 2]
}

#[test]
fn change_cost() {
    let mut configuration = full();
    assert_eq!(configuration.teams().len(), 34_000);
    let update = median(|number| {
        let mut update = TeamUpdate::new(team(number * 331));
        update.open = Some(Some(7));
        configuration = configuration.apply(&Change::UpdateTeam(update)).unwrap();
    });
    let create = median(|number| {
        let mut entry = Team::new(format!("new-{number}").parse().unwrap());
        entry.keys.insert(KeyHash::of(&format!("new {number}")));
        configuration = configuration.apply(&Change::CreateTeam(entry)).unwrap();
    });
    let before = configuration.clone();
    let change = Change::DeleteTeam(team(5));
    let after = configuration.apply(&change).unwrap();
    let compare = median(|_| {
        assert_eq!(difference::between(&before, &after).len(), 1);
    });
    let find = median(|number| {
        let key = KeyHash::of(&(number + 10).to_string());
        assert!(after.team_of(&key).is_some());
    });
    println!(
        "change_cost teams={TEAMS} update_us={} create_us={} difference_us={} key_us={}",
        update.as_micros(),
        create.as_micros(),
        compare.as_micros(),
        find.as_micros(),
    );
    assert!(after.teams().copied(before.teams()) <= COPIED);
    assert!(before.teams().copied(after.teams()) <= COPIED);
}

#[test]
fn snapshot_size() {
    let configuration = full();
    let start = Instant::now();
    let text = serde_json::to_string(&configuration).unwrap();
    let written = Span::from(start.elapsed());
    let start = Instant::now();
    let read: Configuration = serde_json::from_str(&text).unwrap();
    println!(
        "snapshot teams={TEAMS} bytes={} write_ms={} read_ms={}",
        text.len(),
        written.as_millis(),
        Span::from(start.elapsed()).as_millis(),
    );
    assert_eq!(read, configuration);
}

/// Each change copies one chunk, whatever was changed before.
#[test]
fn copies_bounded() {
    let mut configuration = full();
    for number in (0..TEAMS).step_by(97) {
        let mut entry = Team::new(format!("team-{number:05}-b").parse().unwrap());
        entry.keys.insert(KeyHash::of(&format!("b {number}")));
        let next = configuration.apply(&Change::CreateTeam(entry)).unwrap();
        assert!(next.teams().copied(configuration.teams()) <= COPIED);
        configuration = next;
    }
}
