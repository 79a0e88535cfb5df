//! The stand-ins of a soak: a table, and targets behind proxies.

use anyhow::Context;
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
    site,
};

use crate::proxy::Proxy;

/// Key that is always valid.
pub const KEY: &str = "key";

/// A target behind its proxy.
#[derive(Debug)]
pub struct Target {
    /// The target.
    pub runner: Runner,
    /// The link to it.
    pub proxy: Proxy,
    born: u64,
    /// The state in its latest row.
    state: &'static str,
}

/// Table and targets.
#[derive(Debug)]
pub struct Site {
    /// The table.
    pub table: Rows,
    /// The targets.
    pub targets: Vec<Target>,
    version: u64,
    /// The keys of the latest configuration.
    keys: Vec<&'static str>,
}

impl Site {
    /// Starts the stand-ins and writes their rows.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub async fn start(targets: usize) -> anyhow::Result<Self> {
        let mut site = Self {
            table: Rows::start().context("start table")?,
            targets: Vec::new(),
            version: 0,
            keys: Vec::new(),
        };
        for number in 0..targets {
            let runner = Runner::start(&format!("target-{number}"), Behaviour::ByPath)?;
            let proxy = Proxy::start(runner.address()).await?;
            site.targets.push(Target {
                runner,
                proxy,
                born: 1,
                state: "ready",
            });
            site.list(number, "ready");
        }
        site.configure(&[KEY]);
        Ok(site)
    }

    /// Writes the row of a target.
    pub fn list(&mut self, index: usize, state: &'static str) {
        let target = &mut self.targets[index];
        target.state = state;
        let address = target.proxy.address();
        site::list(&self.table, target.runner.id(), address, state, target.born);
    }

    /// Writes the row of a target that has started again.
    pub fn relist(&mut self, index: usize) {
        self.targets[index].born += 1;
        self.list(index, "ready");
    }

    /// Writes the next version of the configuration.
    pub fn configure(&mut self, keys: &[&'static str]) {
        self.version += 1;
        self.keys = keys.to_vec();
        self.rewrite_config();
    }

    /// Writes the latest configuration again.
    pub fn rewrite_config(&self) {
        site::configure(&self.table, self.version, &self.keys);
    }

    /// Writes the row of a target again, as a heartbeat.
    pub fn rewrite_row(&mut self, index: usize) {
        self.list(index, self.targets[index].state);
    }
}
