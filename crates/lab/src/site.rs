//! The description of a site: what is served, by what, and what goes wrong.

use std::{collections::BTreeSet, fs, path::Path};

use base::{rate, span};
use serde::{Deserialize, Serialize};

/// A site, as its TOML file says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Time for which callers come.
    pub length: span::Span,
    /// The routers.
    pub routers: Routers,
    /// What they send to.
    pub services: Vec<Service>,
    /// What callers ask for.
    pub kinds: Vec<Kind>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The routers and the paths between machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routers {
    /// Number of routers.
    pub count: usize,
    /// Number of data centres; routers and targets are spread evenly.
    pub centres: usize,
    /// Time of a message within a data centre.
    pub near: span::Span,
    /// Time of a message to another data centre.
    pub far: span::Span,
    /// Largest load of a target, relative to the mean of its service.
    pub factor: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its id.
    pub id: String,
    /// Number of targets.
    pub targets: usize,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Requests that wait at each beyond those; the next ones are not run.
    pub queue: u32,
    /// How each works.
    pub work: Work,
}

/// How a target works.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Work {
    /// Engines, which batch requests and keep prompts.
    Engine(Engine),
    /// Plain targets: each request takes a slot for a time around this one.
    Plain(span::Span),
}

/// How an engine works.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Time of a step of an empty batch.
    pub step: span::Span,
    /// Time by which each running request makes a step longer.
    pub slot: span::Span,
    /// Prompt tokens read in a millisecond.
    pub read: f64,
    /// Prompt tokens read in one step at most.
    pub chunk: u32,
    /// Tokens in an event of a stream.
    pub event: u32,
    /// Tokens of running requests and kept prompts together.
    pub memory: u64,
    /// Prompt tokens fetched from another engine in a millisecond.
    pub fetch: f64,
    /// Time to set up such a transfer.
    pub setup: span::Span,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its id.
    pub id: String,
    /// The service that runs it.
    pub service: String,
    /// Requests a second.
    pub rate: rate::Rate,
    /// Prompt tokens that requests about one thing share.
    #[serde(default)]
    pub shared: u32,
    /// Number of such things.
    #[serde(default = "one")]
    pub parts: u32,
    /// Mean prompt tokens of a request's own.
    #[serde(default)]
    pub own: u32,
    /// Mean tokens of the response of an engine.
    #[serde(default)]
    pub output: u32,
    /// Time in which the first event, or the response of a plain service, is
    /// wanted.
    pub aim: span::Span,
    /// Longest pause between two events with which a response is in time.
    pub pause: span::Span,
    /// Time after which the caller leaves.
    pub limit: span::Span,
    /// Urgency, 0 first.
    #[serde(default)]
    pub rank: u8,
    /// Worth of a response in time, and of a late one.
    pub worth: f64,
    /// Worth of a late response.
    pub late: f64,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Teams that send it, in equal parts.
    pub teams: u32,
}

fn one() -> u32 {
    1
}

/// Something that goes wrong for a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at: span::Span,
    /// For how long it lasts.
    pub length: span::Span,
    /// What it is.
    pub what: What,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// So many times the usual traffic comes.
    Burst(f64),
    /// One team sends so many times its usual traffic.
    Surge(f64),
    /// This part of the requests is about one thing.
    Hot(f64),
    /// Targets work slowly.
    Slow(Part),
    /// Targets are silent, and have forgotten all when they return.
    Dark(Part),
    /// This part of the routers starts anew at the beginning.
    Restart(f64),
    /// This part of the routers is lost, and starts anew at the end. Callers whose
    /// connection breaks or is refused return within a second.
    Lose(f64),
    /// This part of the messages between routers is lost.
    Loss(f64),
}

/// Part of the targets of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The service.
    pub service: String,
    /// Part of its targets.
    pub share: f64,
    /// Factor on the time of their work, for slow ones.
    #[serde(default = "usual")]
    pub factor: f64,
}

fn usual() -> f64 {
    1.0
}

/// Reports a site that cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// The file cannot be read.
    #[error("read site {path}: {cause}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        cause: std::io::Error,
    },
    /// It is no TOML, or a field is missing, unknown or of another type.
    #[error("site {path}: {cause}")]
    Format {
        /// The file.
        path: String,
        /// Why.
        cause: Box<toml::de::Error>,
    },
    /// A field has a value that makes no sense.
    #[error("{field}: {cause}")]
    Value {
        /// The field, such as `kinds[2].rate`.
        field: String,
        /// What is expected.
        cause: &'static str,
    },
    /// A field names something that does not exist.
    #[error("{field}: no service is called {name:?}")]
    Service {
        /// The field.
        field: String,
        /// The name.
        name: String,
    },
    /// Two things have one id.
    #[error("{field}: {name:?} is there twice")]
    Twice {
        /// The field.
        field: String,
        /// The id.
        name: String,
    },
}

impl Site {
    /// Reads a site file.
    ///
    /// # Errors
    ///
    /// When it cannot be read, decoded or played.
    pub fn load(path: &Path) -> Result<Self, SiteError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|cause| SiteError::Read {
            path: name.clone(),
            cause,
        })?;
        Self::decode(&text, &name)
    }

    /// Decodes the text of a site file; `path` names it in errors.
    ///
    /// # Errors
    ///
    /// When it cannot be decoded or played.
    pub fn decode(text: &str, path: &str) -> Result<Self, SiteError> {
        let site = toml::from_str(text).map_err(|cause| format_error(path, cause))?;
        Self::checked(site)
    }

    /// Converts a table as [`Site::decode`] does the text that it was read from.
    ///
    /// # Errors
    ///
    /// When it cannot be converted or played.
    pub fn convert(table: toml::Value, path: &str) -> Result<Self, SiteError> {
        let site = table
            .try_into()
            .map_err(|cause| format_error(path, cause))?;
        Self::checked(site)
    }

    fn checked(site: Self) -> Result<Self, SiteError> {
        site.check()?;
        Ok(site)
    }

    /// Checks that the site can be played.
    ///
    /// # Errors
    ///
    /// The first field with a value that makes no sense.
    pub fn check(&self) -> Result<(), SiteError> {
        positive("length", self.length.as_secs_f64())?;
        let routers = &self.routers;
        positive("routers.count", routers.count as f64)?;
        positive("routers.centres", routers.centres as f64)?;
        positive("routers.factor", routers.factor)?;
        let mut ids = BTreeSet::new();
        for (index, service) in self.services.iter().enumerate() {
            service.check(&format!("services[{index}]"), &mut ids)?;
        }
        let mut ids = BTreeSet::new();
        for (index, kind) in self.kinds.iter().enumerate() {
            let field = format!("kinds[{index}]");
            kind.check(&field, &mut ids)?;
            self.check_service(&field, &kind.service)?;
        }
        for (index, fault) in self.faults.iter().enumerate() {
            let field = format!("faults[{index}]");
            fault.check(&field)?;
            if let What::Slow(part) | What::Dark(part) = &fault.what {
                self.check_service(&field, &part.service)?;
            }
        }
        Ok(())
    }

    fn check_service(&self, field: &str, name: &str) -> Result<(), SiteError> {
        match self.service(name) {
            Some(_) => Ok(()),
            None => Err(SiteError::Service {
                field: format!("{field}.service"),
                name: name.to_owned(),
            }),
        }
    }

    /// Returns the position of a service.
    pub fn service(&self, id: &str) -> Option<usize> {
        self.services.iter().position(|service| service.id == id)
    }
}

impl Service {
    fn check(&self, field: &str, ids: &mut BTreeSet<String>) -> Result<(), SiteError> {
        unique(field, &self.id, ids)?;
        positive(&format!("{field}.targets"), self.targets as f64)?;
        positive(&format!("{field}.slots"), f64::from(self.slots))?;
        match &self.work {
            Work::Plain(time) => positive(&format!("{field}.work.plain"), time.as_secs_f64()),
            Work::Engine(engine) => {
                let field = format!("{field}.work.engine");
                positive(&format!("{field}.step"), engine.step.as_secs_f64())?;
                positive(&format!("{field}.read"), engine.read)?;
                positive(&format!("{field}.chunk"), f64::from(engine.chunk))?;
                positive(&format!("{field}.event"), f64::from(engine.event))?;
                positive(&format!("{field}.memory"), engine.memory as f64)?;
                positive(&format!("{field}.fetch"), engine.fetch)
            }
        }
    }
}

impl Kind {
    fn check(&self, field: &str, ids: &mut BTreeSet<String>) -> Result<(), SiteError> {
        unique(field, &self.id, ids)?;
        positive(&format!("{field}.rate"), self.rate.0)?;
        positive(&format!("{field}.parts"), f64::from(self.parts))?;
        positive(&format!("{field}.teams"), f64::from(self.teams))?;
        positive(&format!("{field}.aim"), self.aim.as_secs_f64())?;
        positive(&format!("{field}.worth"), self.worth)?;
        if self.limit < self.aim {
            return Err(SiteError::Value {
                field: format!("{field}.limit"),
                cause: "must not be below the aim",
            });
        }
        if !(0.0..=self.worth).contains(&self.late) {
            return Err(SiteError::Value {
                field: format!("{field}.late"),
                cause: "must be from 0 to the worth",
            });
        }
        Ok(())
    }
}

impl Fault {
    fn check(&self, field: &str) -> Result<(), SiteError> {
        let field = format!("{field}.what");
        match &self.what {
            What::Burst(factor) | What::Surge(factor) => positive(&field, *factor),
            What::Hot(share) | What::Restart(share) | What::Lose(share) | What::Loss(share) => {
                part(&field, *share)
            }
            What::Dark(of) => part(&field, of.share),
            What::Slow(of) => {
                part(&field, of.share)?;
                positive(&field, of.factor)
            }
        }
    }
}

fn format_error(path: &str, cause: toml::de::Error) -> SiteError {
    SiteError::Format {
        path: path.to_owned(),
        cause: Box::new(cause),
    }
}

fn positive(field: &str, value: f64) -> Result<(), SiteError> {
    match value.is_finite() && value > 0.0 {
        true => Ok(()),
        false => Err(SiteError::Value {
            field: field.to_owned(),
            cause: "must be above 0",
        }),
    }
}

fn part(field: &str, value: f64) -> Result<(), SiteError> {
    match (0.0..=1.0).contains(&value) {
        true => Ok(()),
        false => Err(SiteError::Value {
            field: field.to_owned(),
            cause: "must be from 0 to 1",
        }),
    }
}

fn unique(field: &str, id: &str, ids: &mut BTreeSet<String>) -> Result<(), SiteError> {
    match ids.insert(id.to_owned()) {
        true => Ok(()),
        false => Err(SiteError::Twice {
            field: format!("{field}.id"),
            name: id.to_owned(),
        }),
    }
}
