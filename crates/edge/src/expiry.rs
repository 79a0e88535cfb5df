//! Decides which rows of routers are removed because the routers are down.
//!
//! Load pattern: instances are replaced every day and leave their rows behind.
//! Each row gets heartbeats for ever, and the more rows there are, the less
//! often heartbeats are sent. A router that comes back after its row was removed
//! notices this and writes the row again.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{span, time};

/// Time without an update after which a router's row is removed. It is longer
/// than regions are usually separated, and than it takes to replace an instance
/// under the same name.
const EXPIRY_TIME: span::Span = span::Span::from_secs(600);

/// Maximum number of rows that are removed at a time.
const MAX_REMOVED: usize = 4;

/// Rows are removed only if at least one in this many of the other routers is
/// up; otherwise this router may itself be cut off. The share is low enough for
/// a fleet in which all instances were replaced twice.
const LIVE_DIVISOR: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Entry {
    address: SocketAddr,
    /// Since when no update has arrived from the router.
    silent_since: Option<time::Mono>,
}

/// The table rows of routers.
#[derive(Clone, Debug, Default)]
pub struct Members(BTreeMap<String, Entry>);

impl Members {
    /// Returns whether there is a row with this key.
    pub fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// Adds or replaces a row.
    pub fn put(&mut self, key: &str, address: SocketAddr) {
        let entry = Entry {
            address,
            silent_since: None,
        };
        self.0.insert(key.to_owned(), entry);
    }

    /// Removes a row. Returns its address, unless another row has the same
    /// address.
    pub fn remove(&mut self, key: &str) -> Option<SocketAddr> {
        let address = self.0.remove(key)?.address;
        let is_used = self.0.values().any(|entry| entry.address == address);
        (!is_used).then_some(address)
    }

    /// Removes all rows but those with the given keys. Returns the addresses of
    /// the removed rows, unless other rows have them.
    pub fn retain(&mut self, keys: &[&str]) -> Vec<SocketAddr> {
        let old: Vec<String> = self
            .0
            .keys()
            .filter(|key| !keys.contains(&key.as_str()))
            .cloned()
            .collect();
        old.iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Returns the keys of the rows to remove now.
    pub fn expired(
        &mut self,
        now: time::Mono,
        own: SocketAddr,
        is_live: impl Fn(SocketAddr) -> bool,
    ) -> Vec<String> {
        let (mut live, mut others, mut expired) = (0, 0, Vec::new());
        for (key, entry) in &mut self.0 {
            if entry.address == own {
                continue;
            }
            others += 1;
            if is_live(entry.address) {
                live += 1;
                entry.silent_since = None;
                continue;
            }
            let since = *entry.silent_since.get_or_insert(now);
            if now.since(since) >= EXPIRY_TIME {
                expired.push(key.clone());
            }
        }
        if live * LIVE_DIVISOR < others {
            return Vec::new();
        }
        expired.truncate(MAX_REMOVED);
        expired
    }
}
