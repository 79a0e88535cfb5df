//! Decides which rows of routers are removed because nobody hears these any more.
//!
//! Load pattern: instances are replaced every day and leave their rows behind. Each
//! row is greeted for ever, and the more there are, the rarer all greetings get. A
//! router that comes back after its row was removed sees that and writes it again.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{span, time};

/// Time without a word after which a router's row is removed. Longer than regions
/// part for, and than an instance takes to be replaced under its name.
const EXPIRY_TIME: span::Span = span::Span::from_secs(600);

/// Rows that are removed at a time.
const MAX_REMOVED: usize = 4;

/// One in so many of the other routers must be heard for rows to be removed: a
/// router that hears fewer may itself be cut off. Low enough for a fleet all of
/// whose instances were replaced twice.
const HEARD_DIVISOR: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Entry {
    address: SocketAddr,
    /// Since when the router is not heard.
    silent: Option<time::Mono>,
}

/// The rows of routers.
#[derive(Clone, Debug, Default)]
pub struct Members(BTreeMap<String, Entry>);

impl Members {
    /// Returns whether there is a row.
    pub fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// Takes in a row.
    pub fn put(&mut self, key: &str, address: SocketAddr) {
        let entry = Entry {
            address,
            silent: None,
        };
        self.0.insert(key.to_owned(), entry);
    }

    /// Takes in that a row was removed; returns the address that it had, unless
    /// another row has it too.
    pub fn remove(&mut self, key: &str) -> Option<SocketAddr> {
        let address = self.0.remove(key)?.address;
        let is_used = self.0.values().any(|entry| entry.address == address);
        (!is_used).then_some(address)
    }

    /// Keeps only some rows, after all were read; returns the addresses of the
    /// others.
    pub fn retain(&mut self, keys: &[&str]) -> Vec<SocketAddr> {
        let old: Vec<String> = self
            .0
            .keys()
            .filter(|key| !keys.contains(&key.as_str()))
            .cloned()
            .collect();
        old.iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Returns the rows that are to be removed now.
    pub fn expired(
        &mut self,
        now: time::Mono,
        own: SocketAddr,
        is_live: impl Fn(SocketAddr) -> bool,
    ) -> Vec<String> {
        let (mut heard, mut others, mut gone) = (0, 0, Vec::new());
        for (key, entry) in &mut self.0 {
            if entry.address == own {
                continue;
            }
            others += 1;
            if is_live(entry.address) {
                heard += 1;
                entry.silent = None;
                continue;
            }
            let since = *entry.silent.get_or_insert(now);
            if now.since(since) >= EXPIRY_TIME {
                gone.push(key.clone());
            }
        }
        if heard * HEARD_DIVISOR < others {
            return Vec::new();
        }
        gone.truncate(MAX_REMOVED);
        gone
    }
}
