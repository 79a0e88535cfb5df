//! A router as a process, and the signals that it gets.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::Context;
use tokio::time;

/// Variable that names the settings file.
const SETTINGS: &str = "EBONYWALL_NODE_FILE";

/// The ports of a router.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// For callers.
    pub callers: u16,
    /// For readiness.
    pub ready: u16,
    /// For peers.
    pub peers: u16,
    /// For metrics.
    pub metrics: u16,
}

/// A router; its process is killed when this handle is dropped.
#[derive(Debug)]
pub struct Router {
    /// Its name.
    pub name: String,
    /// Its ports, which outlive its processes.
    pub ports: Ports,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free_port() -> anyhow::Result<u16> {
    loop {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let port = listener.local_addr()?.port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
}

impl Ports {
    /// Finds four free ports.
    ///
    /// # Errors
    ///
    /// When there are none.
    pub fn free() -> anyhow::Result<Self> {
        Ok(Self {
            callers: free_port()?,
            ready: free_port()?,
            peers: free_port()?,
            metrics: free_port()?,
        })
    }
}

impl Router {
    /// Writes the settings of a router and starts its process.
    ///
    /// # Errors
    ///
    /// When files cannot be written or the program cannot be started.
    pub fn start(
        program: &Path,
        dir: &Path,
        name: &str,
        ports: Ports,
        table: SocketAddr,
    ) -> anyhow::Result<Self> {
        let settings = dir.join(format!("{name}.toml"));
        let Ports {
            callers,
            ready,
            peers,
            metrics,
        } = ports;
        let text = format!(
            r#"node_name = "{name}"
ip = "127.0.0.1"
zone = "north"
port_range = [{peers}, {metrics}]
[listen]
frontend = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
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
        );
        fs::write(&settings, text).with_context(|| format!("write {}", settings.display()))?;
        let mut router = Self {
            name: name.to_owned(),
            ports,
            program: program.to_owned(),
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
        };
        router.spawn()?;
        Ok(router)
    }

    /// Starts a process, unless one runs.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn spawn(&mut self) -> anyhow::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().append(true).create(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("edge")
            .env(SETTINGS, &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()
            .with_context(|| format!("start {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, such as `TERM`, to the process if one runs.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn signal(&self, signal: &str) -> anyhow::Result<()> {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            Command::new("kill")
                .args([&format!("-{signal}"), &id])
                .status()?;
        }
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only when the process has ended by itself.
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Waits until the process has ended; returns whether its status was 0.
    /// One that does not end in time is killed.
    pub async fn ended(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while let Some(child) = &mut self.child
            && Instant::now() < end
        {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.success();
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        self.kill();
        false
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
