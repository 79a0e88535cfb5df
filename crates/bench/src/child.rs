//! Daemons and stand-ins as separate processes, for processor time and memory
//! and for faults that need a process: kill, stop and continue.

use std::{
    fs::File,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::Context;
use conf::settings::{self, Role};
use fakes::stand;

/// First argument with which a program that calls [`serve`] runs a daemon.
const DAEMON: &str = "daemon";

/// First argument with which a program that calls [`serve`] runs a stand-in.
const STAND: &str = "stand";

/// Threads of a stand-in; more than those of a daemon, so that a measurement
/// saturates the daemon first.
const STAND_THREADS: usize = 4;

/// Runs a daemon or a stand-in when the arguments ask for it; returns whether
/// they did.
///
/// # Errors
///
/// As [`roles::process::run`], and when a stand-in cannot be started.
pub fn serve(arguments: &[String]) -> anyhow::Result<bool> {
    let [first, what, with] = arguments else {
        return Ok(false);
    };
    match first.as_str() {
        DAEMON => {
            let role = match what.as_str() {
                "router" => Role::Router,
                _ => Role::Agent,
            };
            roles::process::run(settings::load(&PathBuf::from(with))?, role)?;
        }
        STAND => serve_stand(what.parse()?, with)?,
        _ => return Ok(false),
    }
    Ok(true)
}

/// Runs a stand-in until standard input closes, which is when the process that
/// started it ends.
fn serve_stand(kind: stand::Kind, options: &str) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(STAND_THREADS)
        .enable_all()
        .build()?;
    let _inside = runtime.enter();
    let stand = stand::Stand::start(kind, SocketAddr::from(([127, 0, 0, 1], 0)), options)?;
    println!("{}", stand.address());
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

/// A stand-in in a process of its own; it ends when dropped.
#[derive(Debug)]
pub struct Stand {
    child: Child,
    input: Option<ChildStdin>,
    address: SocketAddr,
}

impl Stand {
    /// Starts a stand-in by this program, whose main function calls [`serve`].
    ///
    /// # Errors
    ///
    /// When the process does not start or prints no address.
    pub fn start(kind: &str, options: &impl serde::Serialize) -> anyhow::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args([STAND, kind, &serde_json::to_string(options)?])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .context("start stand-in")?;
        let input = child.stdin.take();
        let output = child.stdout.take().context("stand-in has no output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line.trim().parse().context("read address of stand-in")?;
        Ok(Self {
            child,
            input,
            address,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address on which the stand-in accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        drop(self.input.take());
        self.child.wait().ok();
    }
}

/// The program that runs daemons.
#[derive(Clone, Debug)]
pub enum Program {
    /// This program, when its main function calls [`serve`].
    Own,
    /// The shipped binary at this path.
    Binary(PathBuf),
}

impl Program {
    fn command(&self, role: &str, file: &Path) -> anyhow::Result<Command> {
        Ok(match self {
            Self::Own => {
                let mut command = Command::new(std::env::current_exe()?);
                command.arg(DAEMON).arg(role).arg(file);
                command
            }
            Self::Binary(path) => {
                let mut command = Command::new(path);
                command.arg(role).arg("--settings").arg(file);
                command
            }
        })
    }
}

/// A daemon in a process of its own; it is killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    file: PathBuf,
}

impl Daemon {
    /// Starts a daemon with these settings. Its log goes to a file in the
    /// directory that `DAEMON_LOG_DIR` names, if it names one.
    ///
    /// # Errors
    ///
    /// When the settings cannot be written or the process not started.
    pub fn start(program: &Program, settings: &settings::Settings) -> anyhow::Result<Self> {
        let directory = std::env::var_os("DAEMON_LOG_DIR").map(PathBuf::from);
        Self::logged(program, settings, directory.as_deref())
    }

    /// Starts a daemon whose log goes to a file in `directory`, after what an
    /// earlier run of the process wrote there.
    ///
    /// # Errors
    ///
    /// When the settings cannot be written or the process not started.
    pub fn logged(
        program: &Program,
        settings: &settings::Settings,
        directory: Option<&Path>,
    ) -> anyhow::Result<Self> {
        let name = format!("ebonywall-{:032x}.json", base::id::random_bits());
        let file = std::env::temp_dir().join(name);
        let mut value = serde_json::to_value(settings)?;
        // The written form of a secret hides it.
        if let Some(secret) = &settings.hint_secret {
            value["hint_secret"] = String::from_utf8_lossy(secret.as_bytes()).into();
        }
        std::fs::write(&file, serde_json::to_vec(&value)?).context("write settings")?;
        let role = settings.role.to_string();
        let log = directory
            .map(|directory| directory.join(format!("{}.log", settings.process)))
            .and_then(|path| File::options().append(true).create(true).open(path).ok());
        let child = program
            .command(&role, &file)?
            .stderr(log.map_or(Stdio::null(), Stdio::from))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .context("start daemon")?;
        Ok(Self { child, file })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resident memory in bytes.
    pub fn memory(&self) -> u64 {
        memory(self.id())
    }

    /// Returns the processor time used so far, in seconds.
    pub fn processor(&self) -> f64 {
        processor(self.id())
    }

    /// Stops the process until [`Daemon::resume`].
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Asks the process to shut down gracefully.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, signal: &str) {
        let id = self.id().to_string();
        Command::new("kill").args([signal, &id]).status().ok();
    }

    /// Waits until the process ends; returns whether its exit status was 0, or
    /// none when it did not end in time.
    pub async fn ended(&mut self, time: Duration) -> Option<bool> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        std::fs::remove_file(&self.file).ok();
    }
}

/// Returns the resident memory of a process in bytes; 0 when it is gone.
pub fn memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().strip_suffix(" kB"))
        .and_then(|kib| kib.trim().parse::<u64>().ok())
        .map_or(0, |kib| kib * 1024)
}

/// Clock ticks a second in `/proc/PID/stat`.
const TICKS: f64 = 100.0;

/// Returns the processor time of a process in seconds; 0 when it is gone.
pub fn processor(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    fields.iter().sum::<f64>() / TICKS
}
