//! Tests that requests from other clients at an engine are detected, and that
//! delayed or single wrong reports cause no false alarm.

mod common;

use admit::external::{Finding, LoadMonitor};
use common::at;

const SECOND: u64 = 1_000;

#[test]
fn late_report() {
    let mut monitor = LoadMonitor::default();
    monitor.record_own(at(0), 9);
    monitor.record_own(at(SECOND), 2);
    for second in 1..10 {
        assert_eq!(monitor.check_report(at(second * SECOND), 9), None);
    }
}

#[test]
fn single_report() {
    let mut monitor = LoadMonitor::default();
    monitor.record_own(at(0), 2);
    for second in 0..30 {
        let reported = if second % 3 == 2 { 2 } else { 9 };
        assert_eq!(monitor.check_report(at(second * SECOND), reported), None);
    }
}

#[test]
fn foreign_work() {
    let mut monitor = LoadMonitor::default();
    monitor.record_own(at(0), 4);
    monitor.record_own(at(SECOND), 2);
    let findings: Vec<_> = (11..20)
        .filter_map(|second| {
            monitor.check_report(at(second * SECOND), if second < 16 { 5 } else { 2 })
        })
        .collect();
    let began = Finding::Began {
        reported: 5,
        own: 2,
    };
    assert_eq!(findings, [began, Finding::Ended]);
}
