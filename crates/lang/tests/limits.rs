//! Guards against limits of messages that the design size exceeds.

use conf::{
    change::Change,
    state::{Configuration, Team},
    value::KeyHash,
};
use lang::{
    answer::Answer,
    api::{self, Given},
    command::Order,
};

/// Teams of the design size.
const TEAMS: usize = 34_000;

fn team(number: usize) -> Team {
    let id = format!("team-{number}").parse().expect("the id is valid");
    let mut team = Team::new(id);
    team.keys.insert(KeyHash::of(&format!("key-{number}")));
    team
}

fn changes(count: usize) -> Vec<Change> {
    (0..count).map(team).map(Change::CreateTeam).collect()
}

#[test]
fn whole_configuration() {
    let configuration = Configuration::default()
        .apply(&Change::Batch(changes(TEAMS)))
        .expect("the changes apply");
    let answer = Answer::Configuration(Box::new(configuration));
    let size = serde_json::to_vec(&answer).expect("answers are JSON").len();
    println!("answer_bytes={size}");
    assert!(size <= api::MAX_ANSWER, "{size}");
}

#[test]
fn large_batch() {
    let given = Given {
        id: base::id::CommandId(1),
        why: "w".repeat(api::MAX_WHY),
        base: None,
        order: Order::Change(Change::Batch(changes(500))),
    };
    let size = serde_json::to_vec(&given).expect("orders are JSON").len();
    println!("request_bytes={size}");
    assert!(size <= api::MAX_REQUEST, "{size}");
}
