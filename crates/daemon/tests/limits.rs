//! Guards the limits of teams: operators set them, so a request over one must
//! be refused with a time to come back, and a finished one must make room.

use base::{rate::Rate, time::Mono};
use conf::state::Team;
use roles::limits::{Limits, Over};

fn team(rate: Option<f64>, open: Option<u32>) -> Team {
    let mut team = Team::new("crew".parse().unwrap());
    team.rate = rate.map(Rate);
    team.open = open;
    team
}

#[test]
fn without_limits() {
    let limits = Limits::default();
    assert!(limits.take(Mono(0), &team(None, None)).unwrap().is_none());
}

#[test]
fn open_requests() {
    let limits = Limits::default();
    let team = team(None, Some(1));
    let first = limits.take(Mono(0), &team).unwrap();
    assert_eq!(limits.take(Mono(0), &team).unwrap_err(), Over::Open);
    drop(first);
    assert!(limits.take(Mono(0), &team).is_ok());
}

#[test]
fn rate_of_requests() {
    let limits = Limits::default();
    let team = team(Some(2.0), None);
    for _ in 0..2 {
        limits.take(Mono(0), &team).unwrap();
    }
    let over = limits.take(Mono(0), &team).unwrap_err();
    assert_eq!(over.after().as_millis(), 500);
    assert!(limits.take(Mono(500_000), &team).is_ok());
    assert!(limits.take(Mono(500_000), &team).is_err());
}
