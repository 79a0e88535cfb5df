//! Encoding of load reports in columns.

mod common;

use base::{id, span};
use common::agent;
use fleet::{member, pack};
use proptest::prelude::*;
use wire::msg;

fn load(sequence: u64, load: u32, cap: u32, version: u64, age: u64) -> member::Load {
    member::Load {
        process: 0,
        incarnation: id::Incarnation(0),
        sequence: id::Sequence(sequence),
        standing: member::Standing::Leaving,
        version: id::Version(version),
        load,
        cap,
        age: span::Span::from_millis(age * 100),
    }
}

proptest! {
    #[test]
    fn survives_packing(
        sequence in any::<u64>(),
        count in 0..(1_u32 << 29),
        cap in any::<u32>(),
        version in any::<u64>(),
        sender in any::<u64>(),
        age in 0..1000_u64,
    ) {
        // Guards against errors with a version above the sender's and with
        // large values.
        let before = load(sequence, count, cap, version, age);
        let run = member::run_key(&agent(1, "crew").process, id::Incarnation(3));
        let mut loads = msg::Loads::default();
        pack::push(&mut loads, run, &before, id::Version(sender));
        let after = pack::read(&loads, id::Version(sender)).expect("equal columns");
        prop_assert_eq!(after, vec![Ok(pack::RunLoad { run, load: before })]);
    }
}

#[test]
fn size_known() {
    // Guards against messages that exceed their share of the budget.
    let sample = load(300, 12, 16, 998, 150);
    let mut loads = msg::Loads::default();
    for _ in 0..40 {
        pack::push(&mut loads, 7, &sample, id::Version(1000));
    }
    let most = pack::COLUMN_OVERHEAD + 40 * pack::size(&sample, id::Version(1000));
    let bytes = prost::Message::encoded_len(&loads);
    assert!(bytes <= most, "{bytes} bytes, expected at most {most}");
}

#[test]
fn uneven_columns() {
    // Guards against a report that is read from the columns of another.
    let loads = msg::Loads {
        runs: vec![1, 2],
        sequences: vec![1],
        ..Default::default()
    };
    assert_eq!(pack::read(&loads, id::Version(1)), None);
}
