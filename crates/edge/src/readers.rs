//! Decides which routers read the table often.
//!
//! Load pattern: every call to the table is priced and limited for the whole
//! fleet, and a few routers that read often can tell all others within one
//! round of news. The others read just often enough to meet the bounds by
//! themselves.

use std::net::SocketAddr;

use base::hash;

/// Routers that read the table often. More than one, because a reader may
/// stop, and the others notice after two seconds only.
const READERS: usize = 3;

/// A router as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Router {
    /// Its address for peers.
    pub address: SocketAddr,
    /// Whether the table answers it.
    pub reads: bool,
}

/// Returns whether a router is among those that read often, given the other
/// routers that it hears.
pub fn is_reader(own: SocketAddr, others: impl Iterator<Item = Router>) -> bool {
    let rank = |address: SocketAddr| hash::bytes(address.to_string().as_bytes());
    let before = others.filter(|other| other.reads && rank(other.address) < rank(own));
    before.count() < READERS
}
