//! The stand-ins of a soak: a table, targets behind proxies, and what is
//! written to the table.

use anyhow::Context;
use base64::{Engine, engine::general_purpose::STANDARD};
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
};
use serde_json::{Value, json};

use crate::proxy::Proxy;

/// Key that is always valid.
pub const KEY: &str = "key";

/// Targets that may run one request of a rule.
pub const MOST_RUNS: usize = 2;

/// A target behind its proxy.
#[derive(Debug)]
pub struct Target {
    /// The target.
    pub runner: Runner,
    /// The link to it.
    pub proxy: Proxy,
    born: u64,
}

/// Table and targets.
#[derive(Debug)]
pub struct Site {
    /// The table.
    pub table: Rows,
    /// The targets.
    pub targets: Vec<Target>,
    version: u64,
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
        };
        for number in 0..targets {
            let runner = Runner::start(&format!("target-{number}"), Behaviour::ByPath)?;
            let proxy = Proxy::start(runner.address()).await?;
            site.targets.push(Target {
                runner,
                proxy,
                born: 1,
            });
            site.list(number, "ready");
        }
        site.configure(&[KEY]);
        Ok(site)
    }

    /// Writes the row of a target.
    pub fn list(&self, index: usize, state: &str) {
        let target = &self.targets[index];
        let row = json!({"service": "service", "address": target.proxy.address().to_string(),
                         "zone": "north", "batch_slots": 16, "state": state, "born": target.born});
        put(&self.table, "servers", target.runner.id(), &row);
    }

    /// Writes the row of a target that has started again.
    pub fn relist(&mut self, index: usize) {
        self.targets[index].born += 1;
        self.list(index, "ready");
    }

    /// Writes the next version of the configuration.
    pub fn configure(&mut self, keys: &[&str]) {
        self.version += 1;
        let rule = |name: &str, kind: &str, resumable: bool| {
            json!({"name": name, "hostname": "h.example", "prefix": format!("/{name}/"),
                   "type": kind, "timeout_ms": 2000, "service": "service",
                   "max_attempts": MOST_RUNS, "resumable": resumable})
        };
        let config = json!({
            "version": self.version,
            "routes": [rule("once", "non_idempotent", false), rule("again", "idempotent", false),
                       rule("stream", "streaming", false), rule("resume", "streaming", true)],
            "services": [{"name": "service", "max_connections": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "team", "api_keys": keys}],
        });
        put(&self.table, "op", "config", &config);
    }
}

fn put(table: &Rows, name: &str, key: &str, value: &Value) {
    table.put(name, key, STANDARD.encode(value.to_string()));
}
