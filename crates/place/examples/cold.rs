//! Measures the time to divide the limit of a cold target among the routers.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use base::{hash, span::Span};
use place::cold::{self, Member, Members};

const ROUNDS: u64 = 20_000;

fn main() {
    for routers in [23, 103, 360] {
        let other = |index| Member {
            address: hash::mix(index, 1),
            live: true,
        };
        let members = Members {
            own: 1,
            others: (1..routers).map(other).collect(),
            listed: true,
        };
        let begin = Instant::now();
        for target in 0..ROUNDS {
            let quota = cold::quota(&members, Span::from_secs(60), target, 26.0);
            black_box(quota);
        }
        let time: Duration = begin.elapsed() / ROUNDS as u32;
        let bytes = members.others.len() * size_of::<Member>();
        println!("{routers} routers: {time:?} a quota, {bytes} bytes for the members");
    }
}
