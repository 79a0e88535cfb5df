//! What one process needs in order to start, read from JSON with comments.
//!
//! Every error names the file, the line, the key and what is allowed. Everything
//! that several processes must agree on is in the shared configuration instead,
//! see [`crate::state`]. Complete examples are in `examples/`.

use std::{
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use base::{id, rate::ByteRate, size::Size, span::Span};
use serde::{Deserialize, Deserializer, Serialize};

use crate::{
    allowed::allowed,
    change::Change,
    jsonc::{Document, Problem},
    state::{Configuration, Kind},
    value::Weight,
};

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts callers and operators.
    Router,
    /// Runs beside one target.
    Agent,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Router => "router",
            Self::Agent => "agent",
        })
    }
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of the process; stays the same over restarts.
    pub process: id::ProcessId,
    /// Router or agent.
    pub role: Role,
    /// Data centre of the instance.
    pub data_centre: id::DataCentre,
    /// Where the process listens.
    pub listen: Listen,
    /// Address at which other processes reach `listen.peers`.
    #[serde(deserialize_with = "address")]
    pub advertise: SocketAddr,
    /// Peer addresses of other processes to contact first.
    #[serde(default, deserialize_with = "addresses")]
    pub seeds: Vec<SocketAddr>,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Certificates; plain connections where absent.
    #[serde(default)]
    pub tls: Tls,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: Limits,
    /// Threads for traffic.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Bytes a second sent and received for control.
    #[serde(default = "default_control_rate")]
    pub control_rate: ByteRate,
    /// How long a router tries to settle a request after a broken link.
    #[serde(default = "default_settle_time")]
    pub settle_time: Span,
    /// How long a planned stop waits for requests in progress.
    #[serde(default = "default_drain_time")]
    pub drain_time: Span,
    /// Where metrics are sent by UDP; none sends no metrics.
    #[serde(default, deserialize_with = "maybe_address")]
    pub statsd: Option<SocketAddr>,
    /// Filter of log lines, as `tracing` filters are written.
    #[serde(default = "default_log")]
    pub log: String,
    /// Signs location hints; the same for all routers.
    #[serde(default)]
    pub hint_secret: Option<Secret>,
    /// File with a JSON list of changes that make the first configuration when
    /// the table is empty.
    #[serde(default)]
    pub bootstrap: Option<PathBuf>,
    /// What an agent runs beside.
    #[serde(default)]
    pub agent: Option<Agent>,
}

/// The addresses on which a process listens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers, of a router.
    #[serde(default, deserialize_with = "maybe_address")]
    pub callers: Option<SocketAddr>,
    /// Other processes.
    #[serde(deserialize_with = "address")]
    pub peers: SocketAddr,
    /// Operators, of a router.
    #[serde(default, deserialize_with = "maybe_address")]
    pub operators: Option<SocketAddr>,
    /// The platform's health checks.
    #[serde(deserialize_with = "address")]
    pub health: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The table service.
    #[serde(deserialize_with = "address")]
    pub table: SocketAddr,
    /// The object store.
    #[serde(deserialize_with = "address")]
    pub objects: SocketAddr,
    /// The instance list.
    #[serde(deserialize_with = "address")]
    pub instances: SocketAddr,
}

/// Certificates for callers and between processes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Shown to callers and operators; without it they connect in plain text.
    #[serde(default)]
    pub callers: Option<Certificate>,
    /// Shown to other processes, which must show one of the same authority.
    #[serde(default)]
    pub peers: Option<PeerCertificate>,
}

/// PEM files of a certificate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Certificate {
    /// The certificate chain.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
}

/// PEM files of a certificate and of the authority that other processes'
/// certificates must come from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerCertificate {
    /// The certificate chain.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
    /// The certificates of the authority.
    pub authority: PathBuf,
}

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body.
    pub body: Size,
    /// Largest request head.
    pub header: Size,
    /// Connections at once.
    pub connections: u32,
    /// Time for a whole request head to arrive.
    pub header_time: Span,
    /// Time for a whole request body to arrive.
    pub body_time: Span,
    /// Time for a request from its arrival to the end of its response.
    pub deadline: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: Size(4 * 1024 * 1024),
            header: Size(16 * 1024),
            connections: 4096,
            header_time: Span::from_secs(5),
            body_time: Span::from_secs(30),
            deadline: Span::from_secs(600),
        }
    }
}

/// The target that an agent runs beside.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Id of the target.
    pub target: id::TargetId,
    /// Where the target accepts requests.
    #[serde(deserialize_with = "address")]
    pub address: SocketAddr,
    /// Service that the target belongs to.
    pub service: id::ServiceId,
    /// Model engine or plain service.
    pub kind: Kind,
    /// Requests that the target runs at once; none takes the service's value.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Capacity relative to other targets.
    #[serde(default)]
    pub weight: Weight,
    /// Where the target accepts orders; none for a target without orders.
    #[serde(default, deserialize_with = "maybe_address")]
    pub orders: Option<SocketAddr>,
}

/// A secret text that is not written to logs.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Secret(String);

impl Secret {
    /// Returns the secret for use as a key.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl TryFrom<String> for Secret {
    type Error = SecretError;

    fn try_from(text: String) -> Result<Self, SecretError> {
        match text.len() {
            SECRET_MIN..=SECRET_MAX => Ok(Self(text)),
            length => Err(SecretError(length)),
        }
    }
}

impl From<Secret> for String {
    fn from(_: Secret) -> String {
        HIDDEN.to_owned()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// Reports a secret of a wrong length.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a secret of {0} characters is too short or too long")]
pub struct SecretError(usize);

const SECRET_MIN: usize = 32;
const SECRET_MAX: usize = 128;
const HIDDEN: &str = "(hidden)";

fn default_threads() -> usize {
    2
}

fn default_control_rate() -> ByteRate {
    ByteRate(5 * 1024)
}

fn default_settle_time() -> Span {
    Span::from_secs(5)
}

fn default_drain_time() -> Span {
    Span::from_secs(600)
}

fn default_log() -> String {
    "info".to_owned()
}

/// Reports settings that cannot be used: where, and what is allowed there.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {}{problem}{}", prefix(key), suffix(allowed))]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The key as a path with dots; empty when the whole file is meant.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What is allowed; empty when the problem states it.
    pub allowed: String,
}

fn prefix(key: &str) -> String {
    match key {
        "" => String::new(),
        key => format!("{key}: "),
    }
}

fn suffix(allowed: &str) -> String {
    match allowed {
        "" => String::new(),
        allowed => format!("; allowed: {allowed}"),
    }
}

/// Reads and checks the settings in a file. Relative file names in it are
/// relative to its directory.
///
/// # Errors
///
/// Returns the first problem with its place.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = read(path)?;
    let directory = path.parent().unwrap_or(Path::new(""));
    parse(&text, &path.display().to_string(), directory)
}

/// Reads and checks settings from a text; `file` is the name for errors.
///
/// # Errors
///
/// Returns the first problem with its place.
pub fn parse(text: &str, file: &str, directory: &Path) -> Result<Settings, SettingsError> {
    let document = Document::parse(text).map_err(|problem| place(file, problem))?;
    let mut settings: Settings = document.read().map_err(|problem| place(file, problem))?;
    settings.resolve(directory);
    settings.check().map_err(|(key, problem)| SettingsError {
        file: file.to_owned(),
        line: document.line(key),
        key: key.to_owned(),
        problem,
        allowed: allowed(key).unwrap_or_default().to_owned(),
    })?;
    Ok(settings)
}

/// Reads the bootstrap file: a JSON list of changes with comments. The changes
/// are applied in order to an empty configuration in order to check them.
///
/// # Errors
///
/// Returns the first problem with its place.
pub fn load_bootstrap(path: &Path) -> Result<Vec<Change>, SettingsError> {
    parse_bootstrap(&read(path)?, &path.display().to_string())
}

/// Reads bootstrap changes from a text; `file` is the name for errors.
///
/// # Errors
///
/// Returns the first problem with its place.
pub fn parse_bootstrap(text: &str, file: &str) -> Result<Vec<Change>, SettingsError> {
    let document = Document::parse(text).map_err(|problem| place(file, problem))?;
    let changes: Vec<Change> = document.read().map_err(|problem| place(file, problem))?;
    let mut configuration = Configuration::default();
    for (index, change) in changes.iter().enumerate() {
        let key = index.to_string();
        configuration = configuration
            .apply(change)
            .map_err(|rejection| SettingsError {
                file: file.to_owned(),
                line: document.line(&key),
                key,
                problem: rejection.to_string(),
                allowed: "a change that applies after the changes before it".to_owned(),
            })?;
    }
    Ok(changes)
}

/// Returns the settings in force, with defaults filled in, as JSON; secrets are
/// hidden.
pub fn effective(settings: &Settings) -> String {
    serde_json::to_string_pretty(settings).expect("settings have no maps with other keys than text")
}

fn read(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|error| SettingsError {
        file: path.display().to_string(),
        line: 1,
        key: String::new(),
        problem: format!("the file cannot be read: {error}"),
        allowed: "a readable file of JSON with comments".to_owned(),
    })
}

fn place(file: &str, problem: Problem) -> SettingsError {
    let allowed = problem
        .allowed
        .or_else(|| allowed(&problem.key).map(str::to_owned))
        .unwrap_or_default();
    SettingsError {
        file: file.to_owned(),
        line: problem.line,
        key: problem.key,
        problem: problem.text,
        allowed,
    }
}

impl Settings {
    /// Reads the bootstrap changes that the settings name, if they name any.
    ///
    /// # Errors
    ///
    /// Returns the first problem with its place.
    pub fn bootstrap_changes(&self) -> Result<Vec<Change>, SettingsError> {
        match &self.bootstrap {
            Some(path) => load_bootstrap(path),
            None => Ok(Vec::new()),
        }
    }

    fn resolve(&mut self, directory: &Path) {
        for file in self.files_mut() {
            *file = directory.join(&*file);
        }
    }

    fn files_mut(&mut self) -> Vec<&mut PathBuf> {
        let mut files = Vec::new();
        if let Some(callers) = &mut self.tls.callers {
            files.extend([&mut callers.certificate, &mut callers.key]);
        }
        if let Some(peers) = &mut self.tls.peers {
            files.extend([&mut peers.certificate, &mut peers.key, &mut peers.authority]);
        }
        files.extend(&mut self.bootstrap);
        files
    }
}

/// An address in a text, with an error of its own in place of the one of the
/// standard library, which does not say that a port is needed.
#[derive(Deserialize)]
#[serde(try_from = "String")]
struct Address(SocketAddr);

impl TryFrom<String> for Address {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
            .map(Self)
            .map_err(|_| format!("{text:?} is not an address"))
    }
}

fn address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    Address::deserialize(deserializer).map(|address| address.0)
}

fn maybe_address<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    let address: Option<Address> = Option::deserialize(deserializer)?;
    Ok(address.map(|address| address.0))
}

fn addresses<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<SocketAddr>, D::Error> {
    let addresses: Vec<Address> = Vec::deserialize(deserializer)?;
    Ok(addresses.into_iter().map(|address| address.0).collect())
}
