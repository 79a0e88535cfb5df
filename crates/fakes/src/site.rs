//! What the users' platform gives a router: settings, a configuration with one
//! rule of each class, and rows of targets.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

use serde_json::{Value, json};

use crate::{rows::Rows, runner::Runner};

/// Time limit of every rule, in milliseconds.
pub const RULE_MILLIS: u64 = 1_500;

/// Longest body that the configuration allows, in bytes.
pub const MAX_BODY: usize = 1_000;

/// Targets that may run one attempt.
pub const MOST_RUNS: usize = 2;

/// Keeps the addresses of processes apart from 127.0.0.1. Numbers of processes
/// have 22 bits, so that the sum stays below 256.
const HOST_OFFSET: u8 = 1;

/// First port that is handed out.
const FIRST_PORT: u16 = 10_000;

/// The ports of a router, on a loopback address of this process.
///
/// A router that was killed leaves its ports free for a while. On an address
/// that other processes use too, another router could take them, and the peers
/// of the first would speak with it.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// The address.
    pub host: Ipv4Addr,
    /// For callers.
    pub callers: u16,
    /// For readiness.
    pub ready: u16,
    /// For peers.
    pub peers: u16,
    /// For metrics.
    pub metrics: u16,
}

impl Ports {
    /// Finds four free ports.
    ///
    /// # Errors
    ///
    /// When there are none.
    pub fn free() -> io::Result<Self> {
        let host = own_host();
        Ok(Self {
            host,
            callers: free_port(host)?,
            ready: free_port(host)?,
            peers: free_port(host)?,
            metrics: free_port(host)?,
        })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.host, self.callers))
    }

    /// Returns the address for readiness.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.host, self.ready))
    }

    /// Returns the settings file of a router with these ports.
    pub fn settings(&self, name: &str, table: SocketAddr) -> String {
        let Self {
            host,
            callers,
            ready,
            peers,
            metrics,
        } = self;
        format!(
            r#"node_name = "{name}"
ip = "{host}"
zone = "north"
port_range = [{peers}, {metrics}]
[listen]
frontend = "{host}:{callers}"
ready = "{host}:{ready}"
[bounds]
drain_ms = 2000
grace_s = 8
retry_budget_ratio = 0.2
retry_window_s = 10
retry_allowance = 58
cap_factor = 2
[platform]
address = "{table}"
writes_per_s = 400
reads_per_s = 2000
"#
        )
    }
}

/// Returns a loopback address that no other process uses: outgoing connections
/// come from 127.0.0.1, and the number of this process makes the rest.
fn own_host() -> Ipv4Addr {
    let [_, high, middle, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, high.wrapping_add(HOST_OFFSET), middle, low)
}

/// The port that is tried next. Tests of one process run at the same time, and a port that
/// was handed out may not be bound yet: it must not be tried again.
static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Returns a port that is free for TCP and UDP, another one each time.
fn free_port(host: Ipv4Addr) -> io::Result<u16> {
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if port < FIRST_PORT {
            return Err(io::Error::other("all ports were handed out"));
        }
        if TcpListener::bind((host, port)).is_ok() && UdpSocket::bind((host, port)).is_ok() {
            return Ok(port);
        }
    }
}

/// What a configuration may have instead of the usual.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time for a request head, in milliseconds.
    pub head: u64,
    /// Time between two requests of a connection, in milliseconds.
    pub idle: u64,
    /// Length of a request body, in bytes.
    pub body: usize,
    /// Whether the targets are engines.
    pub engines: bool,
    /// Regions that the rules may use; all if empty.
    pub rule_regions: &'static [&'static str],
    /// Regions that the team may use; all if empty.
    pub team_regions: &'static [&'static str],
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head: 3_000,
            idle: 15_000,
            body: MAX_BODY,
            engines: false,
            rule_regions: &[],
            team_regions: &[],
        }
    }
}

/// Writes a configuration with the rules `once`, `again`, `stream` and `resume`
/// for the host `h.example`, and one team with these keys.
pub fn configure(table: &Rows, version: u64, keys: &[&str]) {
    configure_with(table, version, keys, Options::default());
}

/// Writes the configuration of [`configure`] with options.
pub fn configure_with(table: &Rows, version: u64, keys: &[&str], options: Options) {
    let rule = |name: &str, kind: &str, resumable: bool| {
        let mut rule = json!({"name": name, "hostname": "h.example",
               "prefix": format!("/{name}/"), "type": kind,
               "timeout_ms": RULE_MILLIS, "service": "service", "max_attempts": MOST_RUNS,
               "resumable": resumable});
        allow(&mut rule, options.rule_regions);
        rule
    };
    let mut team = json!({"name": "team", "api_keys": keys});
    allow(&mut team, options.team_regions);
    let mut service = json!({"name": "service", "max_connections": 100});
    if options.engines {
        service["backend_engine"] = json!({"bandwidth_mbps": 1000.0});
    }
    let config = json!({
        "version": version,
        "routes": [
            rule("once", "non_idempotent", false),
            rule("again", "idempotent", false),
            rule("stream", "streaming", false),
            rule("resume", "streaming", true),
        ],
        "services": [service],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": options.body,
                   "header_timeout_ms": options.head, "idle_timeout_ms": options.idle},
        "tenants": [team],
    });
    put(table, "op", "config", &config);
}

/// Restricts a rule or a team to regions, if there are any.
fn allow(entry: &mut Value, regions: &[&str]) {
    if !regions.is_empty() {
        entry["allowed_regions"] = json!(regions);
    }
}

/// Writes the row that evacuates a data centre.
pub fn evacuate(table: &Rows, centre: &str) {
    table.put("op", &format!("evacuate/{centre}"), b"");
}

/// Removes the row that evacuates a data centre.
pub fn withdraw(table: &Rows, centre: &str) {
    table.remove("op", &format!("evacuate/{centre}"));
}

/// Writes the row of a stand-in target in a data centre.
pub fn list_in(table: &Rows, runner: &Runner, centre: &str) {
    let row = json!({"service": "service", "address": runner.address().to_string(),
                     "zone": centre, "batch_slots": 16, "state": "ready", "born": 1});
    put(table, "servers", runner.id(), &row);
}

/// Writes the row of a target; another `born` means another start.
pub fn list(table: &Rows, id: &str, address: SocketAddr, state: &str, born: u64) {
    let row = json!({"service": "service", "address": address.to_string(), "zone": "north",
                     "batch_slots": 16, "state": state, "born": born});
    put(table, "servers", id, &row);
}

/// Writes the row of a stand-in target at its own address.
pub fn list_runner(table: &Rows, runner: &Runner, state: &str) {
    list(table, runner.id(), runner.address(), state, 1);
}

fn put(table: &Rows, name: &str, key: &str, value: &Value) {
    table.put(name, key, value.to_string().as_bytes());
}
