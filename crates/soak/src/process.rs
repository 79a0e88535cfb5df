//! A router as a process, and the signals that it gets.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::Context;
use fakes::site::Ports;
use tokio::time;

/// Variable that names the settings file.
const SETTINGS: &str = "EBONYWALL_NODE_FILE";

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
        let text = ports.settings(name, table);
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

    /// Starts a process again that has ended by itself, as the platform does: a
    /// signal may come before the program has begun to handle it (seed 423).
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn revive(&mut self) -> anyhow::Result<()> {
        if let Some(child) = &mut self.child
            && child.try_wait()?.is_some()
        {
            self.child = None;
            self.spawn()?;
        }
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
