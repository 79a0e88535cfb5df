//! Starts the project's router as a process.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
};

/// The program, as the deploy file starts it.
const PROGRAM: &str = "target/release/ebonywalld";

/// Longest time until a router is ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of ports of each router: `port_range`, then the callers', the readiness and
/// the control address.
const PORTS: u16 = 20;

/// The figures of a deployment that its settings hold.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Names of the sets of rules.
    pub policies: &'static str,
    /// The zones.
    pub zones: &'static [&'static str],
    /// `contact_ms`.
    pub contact_ms: u64,
    /// `drain_ms`.
    pub drain_ms: u64,
    /// `config_apply_ms`.
    pub config_ms: u64,
    /// `retry_allowance`.
    pub allowance: u64,
    /// Further bounds.
    pub bounds: &'static str,
}

/// A running router.
#[derive(Debug)]
pub struct Router {
    child: Child,
    name: String,
    callers: SocketAddr,
    ready: SocketAddr,
    files: [PathBuf; 2],
}

/// Ports from which the first of a deployment is chosen, below those that the system
/// gives to outgoing connections.
const FIRST_PORTS: std::ops::Range<u16> = 20_000..30_000;

/// Returns the first of enough free ports. Plays that run at the same time begin to look
/// at different ones.
///
/// # Errors
///
/// When there are none.
pub fn free_ports() -> io::Result<u16> {
    let blocks = u32::from(FIRST_PORTS.end - FIRST_PORTS.start) / u32::from(PORTS);
    let begin = std::process::id() % blocks;
    for block in (begin..blocks).chain(0..begin) {
        let first = FIRST_PORTS.start + block as u16 * PORTS;
        let is_free = |port| {
            ["127.0.0.1", "127.0.0.2"]
                .iter()
                .all(|address| TcpListener::bind((*address, port)).is_ok())
        };
        if (first..first + PORTS).all(is_free) {
            return Ok(first);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Router {
    /// Starts the router with this number, counted from 1.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn start(site: Site, number: u8, port: u16, store: SocketAddr) -> io::Result<Self> {
        let address = |port| SocketAddr::from(([127, 0, 0, number], port));
        let [callers, ready, control] = [16, 17, 18].map(|offset| address(port + offset));
        let zone = site.zones[usize::from(number - 1) % site.zones.len()];
        let name = format!("edge-{zone}-{number}");
        let regions: Vec<_> = site
            .zones
            .iter()
            .map(|it| format!("{it} = \"r\""))
            .collect();
        let Site {
            policies,
            contact_ms,
            drain_ms,
            config_ms,
            allowance,
            bounds,
            ..
        } = site;
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"router\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"127.0.0.{number}\"\n\
             zone = \"{zone}\"\nregion = \"r\"\nport_range = [{port},{last}]\n\
             seed_nodes = [\"127.0.0.1:{control_port}\"]\nbootstrap = true\n\
             fault_counted = false\ndiscovery = \"platform\"\ningress = \"virtual_ip\"\n\
             heartbeat_ms = 1200\npolicies = [{policies}]\n[zones]\n{regions}\n\
             [listen]\nfrontend = \"{callers}\"\nready = \"{ready}\"\n\
             control_plane = \"{control}\"\n[limits]\ncpu_quota = 0.19\ncpu_cores = 1\n\
             memory_mb = 260\nmax_fds = 4100\nbandwidth_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n\
             seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = {contact_ms}\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = {drain_ms}\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = {config_ms}\nrollback_slack_ms = 250\nouter_ms = 5000\n\
             strict_revocation = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             retry_window_s = 10\nretry_allowance = {allowance}\n{bounds}\
             recovery_s = 12\ndelivery_slack_ms = 120\nretry_after_s = 10\ncap_factor = 2\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\ntransaction_ms = 3.0\npartition_writes_s = 300\n\
             row_bytes = 65536\ncross_partition = true\nretention_s = 20\n\
             blob_bytes = 8388608\nblob_ms = 25.0\nblob_mb_s = 80.0\n",
            last = port + 15,
            control_port = control.port(),
            regions = regions.join("\n"),
        );
        let folder = std::env::temp_dir();
        let file = |kind| folder.join(format!("review-3-{port}-{number}.{kind}"));
        let files = [file("toml"), file("log")];
        fs::write(&files[0], settings)?;
        let child = Command::new(PROGRAM)
            .arg("edge")
            .env("EBONYWALL_NODE_FILE", &files[0])
            .stdout(File::create(&files[1])?)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self {
            child,
            name,
            callers,
            ready,
            files,
        })
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address for consumers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = Message {
            start: "GET /readyz HTTP/1.1".to_owned(),
            headers: vec![("host".to_owned(), "platform".to_owned())],
            body: Vec::new(),
        };
        let response = http::call(self.ready, &request, Duration::from_secs(1));
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until it is ready.
    ///
    /// # Errors
    ///
    /// When it is not in time.
    pub fn wait_ready(&self) -> io::Result<()> {
        let begin = Instant::now();
        while !self.is_ready() {
            if begin.elapsed() > START_TIMEOUT {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Copies the lines of its log that name one of these events to the record.
    pub fn copy_log(&self, record: &Record, events: &[&str]) {
        let text = fs::read_to_string(&self.files[1]).unwrap_or_default();
        for line in text.lines() {
            let mut words = line.split(' ');
            if words.any(|word| events.contains(&word.strip_prefix("event=").unwrap_or_default())) {
                record.line(&format!("log of {}: {line}", self.name));
            }
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = fs::remove_file(file);
        }
    }
}
