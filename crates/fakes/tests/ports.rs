//! Ports for the routers of tests.

use std::{collections::BTreeSet, net::TcpListener, thread};

use fakes::site::Ports;

/// Number of threads, and of routers that each of them starts one after the other.
const THREADS: usize = 8;
const ROUTERS: usize = 250;

/// Tests of one process start their routers at the same time: when a port was
/// handed out twice, one of them could not listen.
#[test]
fn distinct_ports() {
    let many = || -> Vec<u16> {
        let ports = (0..200).map(|_| Ports::free().expect("free ports"));
        let each = ports.map(|ports| [ports.callers, ports.ready, ports.peers, ports.metrics]);
        each.flatten().collect()
    };
    let threads: Vec<_> = (0..4).map(|_| thread::spawn(many)).collect();
    let all: Vec<u16> = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("no panic"))
        .collect();
    let distinct: BTreeSet<u16> = all.iter().copied().collect();
    assert_eq!(distinct.len(), all.len());
}

/// Tests start routers at the same time. While a port is sought for one, the port of
/// another one that has not been bound yet must stay free.
#[test]
fn handed_out() {
    let bind = || {
        let mut held = Vec::new();
        for _ in 0..ROUTERS {
            let ports = Ports::free().expect("free ports");
            for address in [ports.callers(), ports.ready()] {
                held.push(TcpListener::bind(address).expect("the port is free"));
            }
        }
    };
    let threads: Vec<_> = (0..THREADS).map(|_| thread::spawn(bind)).collect();
    for thread in threads {
        thread.join().expect("all ports were free");
    }
}
