//! The limit on prompt tokens after a loss of all routers.

use admit::cold_prompts::{ColdPrompts, Engines};
use base::{id::ServiceId, span::Span, time::Mono};

const START: Mono = Mono(5_000_000);
const ENGINES: Engines = Engines {
    count: 42,
    prefill: 21.0,
    routers: 23,
};
const REMAINING: Span = Span::from_millis(9_000);

fn send(prompts: &mut ColdPrompts, millis: u64, tokens: u32) -> Result<(), Span> {
    let service: ServiceId = "model".parse().expect("an id");
    let now = START + Span::from_millis(millis);
    prompts.send(now, &service, tokens, ENGINES, REMAINING, 0.5)
}

/// All routers together send at most half of what the engines can read, and callers
/// return when the router knows what engines have cached.
#[test]
fn limited() {
    let mut prompts = ColdPrompts::default();
    prompts.start(START);
    let mut sent = 0_u32;
    for millis in 0..2_000 {
        match send(&mut prompts, millis, 2_000) {
            Ok(()) => sent += 2_000,
            Err(after) => {
                let at = millis + after.as_micros() / 1_000;
                assert!(at >= 600 && after <= Span::from_millis(3_000));
            }
        }
    }
    let read = 42.0 * 2.1 * 1e6 / 21.0 / 23.0;
    // One prompt may exceed the limit.
    assert!(f64::from(sent) <= read * 0.5 + 2_000.0, "{sent} of {read}");
    assert!(f64::from(sent) >= read * 0.5 - 2_000.0, "{sent} of {read}");
}

/// Short prompts, routers that know what engines have cached, and later times are not
/// limited.
#[test]
fn unlimited() {
    let mut prompts = ColdPrompts::default();
    let all = |prompts: &mut ColdPrompts, millis, tokens| {
        (0..1_000).all(|_| send(prompts, millis, tokens).is_ok())
    };
    assert!(all(&mut prompts, 0, 10_000));
    prompts.start(START);
    assert!(all(&mut prompts, 0, 999));
    assert!(!all(&mut prompts, 0, 10_000));
    assert!(all(&mut prompts, 2_000, 10_000));
    prompts.finish();
    assert!(all(&mut prompts, 100, 10_000));
    prompts.start(START);
    assert!(all(&mut prompts, 100, 10_000), "a router starts once");
}

/// The first prompt is sent, however long it is.
#[test]
fn first_prompt() {
    let mut prompts = ColdPrompts::default();
    prompts.start(START);
    assert_eq!(send(&mut prompts, 0, 1_000_000), Ok(()));
    assert!(send(&mut prompts, 1, 1_000).is_err());
}

/// A caller with little time left gets a time that it follows.
#[test]
fn short_time() {
    let mut prompts = ColdPrompts::default();
    prompts.start(START);
    let service: ServiceId = "model".parse().expect("an id");
    let remaining = Span::from_millis(300);
    let mut send = || prompts.send(START, &service, 100_000, ENGINES, remaining, 1.0);
    assert_eq!(send(), Ok(()));
    let after = send();
    assert!(after.expect_err("it is limited") <= Span::from_millis(100));
}
