//! Connections of clients outside our control: which give way to new ones, and how
//! many there may be.

use std::{net::Ipv4Addr, time::Duration};

use base::{size::Size, time::Mono};
use edge::clients::{State, choose_evicted, max_callers};
use fakes::site::Ports;
use platform::settings::Settings;

fn state(address: u8, last: u64) -> State {
    State {
        address: Ipv4Addr::new(10, 0, 0, address).into(),
        is_busy: false,
        last: Mono(last),
        stalled: None,
        is_ahead: false,
    }
}

fn busy(stalled: Option<u64>) -> State {
    State {
        is_busy: true,
        stalled: stalled.map(Duration::from_millis),
        ..state(1, 0)
    }
}

/// The longest unused connection gives way, of the address with the most.
#[test]
fn unused_first() {
    let connections = [busy(Some(9_000)), state(1, 7), state(1, 5), state(1, 6)];
    assert_eq!(choose_evicted(&connections), Some(2));
    let addresses = [state(1, 1), state(2, 9), state(2, 8)];
    assert_eq!(choose_evicted(&addresses), Some(2));
}

/// A request in progress gives way only if its client stopped or sends ahead.
#[test]
fn busy_stay() {
    assert_eq!(choose_evicted(&[busy(None), busy(Some(20))]), None);
    let stopped = [busy(None), busy(Some(600)), busy(Some(700))];
    assert_eq!(choose_evicted(&stopped), Some(2));
    let ahead = State {
        is_ahead: true,
        ..busy(None)
    };
    assert_eq!(choose_evicted(&[busy(None), ahead]), Some(1));
}

/// Connections leave memory and descriptors for everything else, also on the
/// smallest instance.
#[test]
fn smallest_instance() {
    let ports = Ports::free().expect("free ports");
    let text = ports.settings("router-1", ports.callers());
    let mut settings = Settings::decode(&text).expect("valid settings");
    settings.memory = Size(112 << 20);
    settings.max_files = Some(2_870);
    assert_eq!(max_callers(&settings), 896);
    settings.max_files = Some(300);
    assert_eq!(max_callers(&settings), 75);
    settings.memory = Size(512 << 20);
    settings.max_files = Some(8_192);
    assert_eq!(max_callers(&settings), 3_840);
    settings.max_files = Some(0);
    assert_eq!(max_callers(&settings), 16);
}
