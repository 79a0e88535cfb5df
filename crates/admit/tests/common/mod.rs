//! Builders for requests, members and admission controllers.
#![allow(dead_code)] // Each test file is a separate crate and uses only some of the functions.

use admit::{
    bound::Params,
    controller::{AdmissionController, QueueLimits, Settings},
    group::{LoadReport, Member, Standing},
    request::{Event, Request},
};
use base::{id, span::Span, time::Mono};

pub fn process(index: u32) -> id::ProcessId {
    format!("agent-{index}").parse().unwrap()
}

pub fn target(index: u32) -> id::TargetId {
    format!("runner-{index}").parse().unwrap()
}

/// Returns the time this many milliseconds after the start.
pub fn at(millis: u64) -> Mono {
    Mono(0) + Span::from_millis(millis)
}

/// Returns a request with a deadline in one hour.
pub fn request(id: u128, team: &str) -> Request {
    Request {
        id: id::RequestId(id),
        team: team.parse().unwrap(),
        weight: 1,
        priority: 0,
        deadline: at(3_600_000),
    }
}

pub fn report(index: u32, sequence: u64, load: u32) -> LoadReport {
    LoadReport {
        process: process(index),
        incarnation: id::Incarnation(1),
        sequence: id::Sequence(sequence),
        load,
        age: Span::ZERO,
    }
}

pub fn member(index: u32, standing: Standing, load: Option<u32>) -> Member {
    Member {
        process: process(index),
        standing,
        report: load.map(|load| report(index, 1, load)),
    }
}

/// Returns settings with a fixed cap: the floor equals the slots.
pub fn fixed(cap: u32) -> Settings {
    Settings {
        bound: Params {
            floor: cap,
            slots: cap,
            ..Params::default()
        },
        queue: QueueLimits::default(),
    }
}

/// Returns the admission controller of agent 0.
pub fn controller(settings: Settings) -> AdmissionController {
    AdmissionController::new(process(0), settings, 1)
}

/// Returns the ids of the requests that the events dispatch.
pub fn dispatched(events: &[Event]) -> Vec<u128> {
    events
        .iter()
        .filter_map(|event| match event {
            Event::Run(id) => Some(id.0),
            Event::Refused { .. } => None,
        })
        .collect()
}
