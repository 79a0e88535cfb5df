//! The ports that routers of one test process get.

use std::{net::TcpListener, thread};

use fakes::site::Ports;

/// Number of threads, and of routers that each of them starts one after the other.
const THREADS: usize = 8;
const ROUTERS: usize = 250;

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
