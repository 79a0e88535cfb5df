//! Typed answers to queries.

use base::{id, span::Span};
use conf::{
    row::ChangeRow,
    state::{Configuration, Operator, Override, Role, Rule, Service, Team},
};
use plan::plan::Plan;
use serde::{Deserialize, Serialize};

/// What holds, as the router that was asked knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The targets.
    Targets(Vec<Target>),
    /// The teams.
    Teams(Vec<Team>),
    /// The services.
    Services(Vec<Service>),
    /// The routing rules.
    Rules(Vec<Rule>),
    /// The operators.
    Operators(Vec<Operator>),
    /// The overrides.
    Overrides(Vec<Override>),
    /// Loads by service.
    Loads(Vec<Load>),
    /// The planned changes.
    Plans(Vec<Plan>),
    /// The contents that crashed targets.
    Quarantine(Vec<Suspect>),
    /// A configuration.
    Configuration(Box<Configuration>),
    /// What differs between two versions.
    Difference(Difference),
    /// Accepted changes, oldest first.
    Changes(Vec<ChangeRow>),
    /// Members that use an older version than the router.
    Lagging(Versions),
    /// The version that each member uses.
    Versions(Versions),
    /// Where a chat would be placed.
    Explanation(Explanation),
    /// A part of the record.
    Record(Page),
    /// Who the key identifies.
    Me(Me),
}

/// A target as a router sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Its service.
    pub service: id::ServiceId,
    /// The target.
    pub target: id::TargetId,
    /// Its data centre.
    pub centre: id::DataCentre,
    /// Whether it takes new work.
    pub standing: String,
    /// Its weight, with overrides.
    pub weight: u32,
    /// Outstanding requests.
    pub load: u32,
    /// Outstanding requests that its bound allows.
    pub cap: u32,
    /// The version that its agent uses.
    pub version: id::Version,
}

/// The load of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The service.
    pub service: id::ServiceId,
    /// Targets that take new work.
    pub open: u32,
    /// All its targets.
    pub targets: u32,
    /// Outstanding requests of all targets.
    pub load: u32,
    /// The highest load of a target.
    pub highest: u32,
    /// Outstanding requests that the bounds of all targets allow.
    pub cap: u32,
}

/// A content that was in flight when targets crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Suspect {
    /// The content.
    pub fingerprint: id::Fingerprint,
    /// The service; empty when it is not known.
    pub service: String,
    /// The targets that crashed.
    pub targets: Vec<String>,
    /// Whether the content is refused.
    pub refused: bool,
    /// Time until the entry ends.
    pub remaining: Span,
}

/// What differs between two versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The first version.
    pub from: id::Version,
    /// The second version.
    pub to: id::Version,
    /// One line for each entry that differs.
    pub lines: Vec<String>,
}

/// Versions that members use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versions {
    /// The version in force at the router.
    pub version: id::Version,
    /// The lowest version among the members that report.
    pub lowest: id::Version,
    /// Members that report.
    pub members: u32,
    /// Members with their versions.
    pub list: Vec<Member>,
}

impl Versions {
    /// Tells whether a version is in force at all members that report.
    pub fn reached(&self, version: id::Version) -> bool {
        self.version >= version && self.lowest >= version
    }
}

/// The version of one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub process: id::ProcessId,
    /// Router or agent.
    pub role: String,
    /// The version that it uses.
    pub version: id::Version,
}

/// Where a chat would be placed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The chat.
    pub chat: id::ChatHash,
    /// The chosen target.
    pub target: Option<id::TargetId>,
    /// Why it was chosen.
    pub reason: String,
    /// The target whose engine may have the chat's cache, when it is another.
    pub previous: Option<id::TargetId>,
    /// The targets that rank higher and were passed over.
    pub passed: Vec<Passed>,
    /// Weight, priority and limits of the team at the service.
    pub share: Team,
}

/// A target that was passed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Passed {
    /// The target.
    pub target: id::TargetId,
    /// Why.
    pub cause: String,
}

/// Changes of the record after a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The changes, oldest first.
    pub changes: Vec<ChangeRow>,
    /// The newest version; the record is whole when the changes reach it.
    pub newest: id::Version,
}

/// The whole history and the configuration that it leads to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The version of the configuration.
    pub version: id::Version,
    /// All accepted changes, oldest first.
    pub changes: Vec<ChangeRow>,
    /// The configuration.
    pub configuration: Configuration,
}

/// Who a key identifies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Me {
    /// The operator.
    pub operator: id::OperatorId,
    /// What the operator may do.
    pub roles: Vec<Role>,
    /// The version in force at the router.
    pub version: id::Version,
}

/// The difference that a change would make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Preview {
    /// The version that the change would follow.
    pub base: id::Version,
    /// One line for each entry that would differ.
    pub lines: Vec<String>,
}

/// An accepted order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The version that the order produced.
    pub version: id::Version,
}
