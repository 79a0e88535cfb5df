//! What the control thread does at the size to design for.

mod site;

use std::{sync::Arc, time::Instant};

use base::{span::Span, time::Mono};
use edge::{shared::Shared, view::View};
use platform::{rows::Position, target::Target};

/// Targets of the size to design for.
const TARGETS: usize = 750;

/// A read of the targets each 1.4 s may take 1.2% of a core.
const BOUND: Span = Span::from_micros(1_400_000 * 12 / 1_000);

fn target(number: usize) -> Target {
    Target {
        id: format!("i-{number}").parse().expect("an id"),
        address: format!("10.0.{}.{}:80", number / 250, number % 250)
            .parse()
            .expect("an address"),
        service: "service".parse().expect("an id"),
        centre: "north".parse().expect("an id"),
        slots: 64,
        leaving: false,
        born: 1,
    }
}

/// Rows that change nothing, as nearly all that targets write, cost little. The
/// shortest of some times is compared, which other work on the machine does not
/// lengthen.
#[test]
fn unchanged_rows() {
    let table = "127.0.0.1:1".parse().expect("an address");
    let view: Arc<View> = View::new(Shared::new(site::settings(table, &[])));
    let rows = |position| {
        (0..TARGETS)
            .map(|number| (Position(position), target(number)))
            .collect()
    };
    view.listed().replace(Mono(1), Position(1), rows(1));
    view.publish("table");
    let time = |position| {
        let rows = rows(position);
        let start = Instant::now();
        view.listed().replace(Mono(1), Position(position), rows);
        view.publish("table");
        start.elapsed()
    };
    let shortest = (2..20).map(time).min().expect("some times");
    println!("{TARGETS} rows: {shortest:?}, at most {BOUND}");
    assert!(shortest < BOUND.duration());
}
