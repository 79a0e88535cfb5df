//! Changes to the configuration, and why one is rejected.
//!
//! A change names the fields that it sets and leaves the others alone, so that
//! two operators who change different fields of one team do not undo each
//! other's work.

use std::{collections::BTreeSet, fmt};

use base::{id, rate::Rate, span::Span};
use serde::{Deserialize, Deserializer, Serialize};

use crate::{
    state::{Class, Kind, Operator, Override, Role, Rule, Service, Subject, Team},
    value::{Factor, KeyHash, Method, Model, Prefix, Priority, Weight},
};

/// One change to the configuration; it takes effect as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds a team.
    CreateTeam(Team),
    /// Sets fields of a team.
    UpdateTeam(TeamUpdate),
    /// Removes a team with its keys.
    DeleteTeam(id::TeamId),
    /// Adds a key to a team.
    AddTeamKey(TeamKey),
    /// Removes a key of a team.
    RevokeTeamKey(TeamKey),
    /// Adds a service.
    CreateService(Service),
    /// Sets fields of a service.
    UpdateService(ServiceUpdate),
    /// Removes a service that no rule and no override names.
    DeleteService(id::ServiceId),
    /// Adds a routing rule.
    CreateRule(Rule),
    /// Sets fields of a routing rule.
    UpdateRule(RuleUpdate),
    /// Removes a routing rule.
    DeleteRule(id::RuleId),
    /// Adds an operator.
    CreateOperator(Operator),
    /// Sets the roles of an operator.
    UpdateOperator(OperatorUpdate),
    /// Removes an operator with the keys.
    DeleteOperator(id::OperatorId),
    /// Adds a key to an operator.
    AddOperatorKey(OperatorKey),
    /// Removes a key of an operator.
    RevokeOperatorKey(OperatorKey),
    /// Adds or replaces the override of its subject.
    SetOverride(Override),
    /// Removes the override of a subject.
    ClearOverride(Subject),
    /// Sets fields that concern the whole fleet.
    UpdateFleet(FleetUpdate),
    /// Lifts the quarantine of a content. The quarantine itself is kept by the
    /// processes; the change records who lifted it and why.
    LiftQuarantine(id::Fingerprint),
    /// Creates or operates a planned change. The plan is a row of its own, which
    /// the same transaction writes; the change records who gave the order and why.
    Plan(PlanNote),
    /// Several changes in order, which take effect together under one version.
    Batch(Vec<Change>),
}

/// What an operator did with a planned change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanNote {
    /// The plan.
    pub plan: id::PlanId,
    /// What the operator did with it.
    pub what: String,
}

/// Names a key of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamKey {
    /// The team.
    pub team: id::TeamId,
    /// SHA-256 of the key.
    pub key: KeyHash,
}

/// Names a key of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// The operator.
    pub operator: id::OperatorId,
    /// SHA-256 of the key.
    pub key: KeyHash,
}

/// Fields of a team to set; a field of null removes the limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamUpdate {
    /// The team.
    pub id: id::TeamId,
    /// Fair-share weight.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<Weight>,
    /// Order among requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Requests a second.
    #[serde(
        default,
        deserialize_with = "present",
        skip_serializing_if = "Option::is_none"
    )]
    pub rate: Option<Option<Rate>>,
    /// Requests at once.
    #[serde(
        default,
        deserialize_with = "present",
        skip_serializing_if = "Option::is_none"
    )]
    pub open: Option<Option<u32>>,
}

impl TeamUpdate {
    /// Makes an update that sets nothing yet.
    pub fn new(id: id::TeamId) -> Self {
        Self {
            id,
            weight: None,
            priority: None,
            rate: None,
            open: None,
        }
    }
}

/// Fields of a service to set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceUpdate {
    /// The service.
    pub id: id::ServiceId,
    /// What kind of targets it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Kind>,
    /// Bound factor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<Factor>,
    /// Bound floor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub floor: Option<u32>,
    /// Slots of a target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Queue length of an agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
    /// Whether requests may be run again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Whether a stream continues identically elsewhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deterministic: Option<bool>,
    /// Whether targets check fencing tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<bool>,
    /// Length of a quarantine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quarantine: Option<Span>,
    /// Warm-up time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<Span>,
}

impl ServiceUpdate {
    /// Makes an update that sets nothing yet.
    pub fn new(id: id::ServiceId) -> Self {
        Self {
            id,
            kind: None,
            factor: None,
            floor: None,
            slots: None,
            queue: None,
            repeatable: None,
            deterministic: None,
            fencing: None,
            quarantine: None,
            warm_up: None,
        }
    }
}

/// Fields of a routing rule to set; a field of null removes the condition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleUpdate {
    /// The rule.
    pub id: id::RuleId,
    /// Path prefix.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<Prefix>,
    /// Methods; none means all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub methods: Option<BTreeSet<Method>>,
    /// Model named in the request.
    #[serde(
        default,
        deserialize_with = "present",
        skip_serializing_if = "Option::is_none"
    )]
    pub model: Option<Option<Model>>,
    /// Service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<id::ServiceId>,
    /// How often requests may be run.
    #[serde(
        default,
        deserialize_with = "present",
        skip_serializing_if = "Option::is_none"
    )]
    pub class: Option<Option<Class>>,
}

impl RuleUpdate {
    /// Makes an update that sets nothing yet.
    pub fn new(id: id::RuleId) -> Self {
        Self {
            id,
            prefix: None,
            methods: None,
            model: None,
            service: None,
            class: None,
        }
    }
}

/// Roles of an operator to set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorUpdate {
    /// The operator.
    pub id: id::OperatorId,
    /// The roles that the operator has from now on.
    pub roles: BTreeSet<Role>,
}

/// Fields of the fleet to set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetUpdate {
    /// Weight loads at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_loads: Option<u32>,
    /// Weight loads started in a unit of time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_rate: Option<Rate>,
    /// Table reads of all processes together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table_reads: Option<Rate>,
    /// Table writes of all processes together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table_writes: Option<Rate>,
}

/// Reads a field that is present, so that null differs from an absent field.
fn present<'de, T, D>(deserializer: D) -> Result<Option<Option<T>>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    Option::deserialize(deserializer).map(Some)
}

/// The kinds of entry that a configuration has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Entry {
    /// A team.
    Team,
    /// A service.
    Service,
    /// A routing rule.
    Rule,
    /// An operator.
    Operator,
    /// An override.
    Override,
    /// The values of the whole fleet.
    Fleet,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Team => "team",
            Self::Service => "service",
            Self::Rule => "rule",
            Self::Operator => "operator",
            Self::Override => "override",
            Self::Fleet => "fleet",
        })
    }
}

/// States why a change cannot be applied to a configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// The entry to add is present.
    #[error("{entry} {id} already exists")]
    Exists {
        /// Its kind.
        entry: Entry,
        /// Its id.
        id: String,
    },
    /// The entry that the change names is absent.
    #[error("{entry} {id} does not exist")]
    Missing {
        /// Its kind.
        entry: Entry,
        /// Its id.
        id: String,
    },
    /// The entry to remove is named by another entry.
    #[error("{entry} {id} is in use by {by}")]
    InUse {
        /// Its kind.
        entry: Entry,
        /// Its id.
        id: String,
        /// The entries that name it.
        by: String,
    },
    /// The change leaves the entry as it is.
    #[error("{entry} {id} already is as the command asks")]
    Unchanged {
        /// Its kind.
        entry: Entry,
        /// Its id.
        id: String,
    },
    /// The key to add identifies somebody.
    #[error("key {key} is already a key of {holder}")]
    KeyTaken {
        /// First digits of the key's hash.
        key: String,
        /// Who holds the key.
        holder: String,
    },
    /// The key to revoke is not there.
    #[error("{holder} has no key {key}")]
    KeyMissing {
        /// First digits of the key's hash.
        key: String,
        /// Who was said to hold the key.
        holder: String,
    },
    /// A field has a value that its entry does not allow.
    #[error("{entry} {id}: {field} {found} is not allowed; allowed: {allowed}")]
    Field {
        /// Kind of the entry.
        entry: Entry,
        /// Id of the entry.
        id: String,
        /// Name of the field.
        field: &'static str,
        /// The value.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// Two rules would match the same requests with the same precedence.
    #[error(
        "rule {rule} matches the same requests as rule {other}; give them different prefixes, methods or models"
    )]
    Ambiguous {
        /// The rule that the change sets.
        rule: id::RuleId,
        /// The rule that is present.
        other: id::RuleId,
    },
    /// Nobody could administer the fleet after the change.
    #[error(
        "{0} is the last operator with role administer and a key; add another one before this change"
    )]
    LastAdministrator(id::OperatorId),
    /// A batch contains no change.
    #[error("the batch is empty")]
    EmptyBatch,
    /// A change of a batch cannot be applied.
    #[error("change {position} of the batch: {cause}")]
    InBatch {
        /// Position, counted from 1.
        position: usize,
        /// Why.
        cause: Box<Rejection>,
    },
}

impl fmt::Display for Change {
    /// Writes the change on one line, for lists and logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreateTeam(team) => write!(f, "create team {}", team.id),
            Self::UpdateTeam(update) => write!(f, "update team {}{}", update.id, fields(update)),
            Self::DeleteTeam(id) => write!(f, "delete team {id}"),
            Self::AddTeamKey(key) => write!(f, "add key {} to team {}", key.key.short(), key.team),
            Self::RevokeTeamKey(key) => {
                write!(f, "revoke key {} of team {}", key.key.short(), key.team)
            }
            Self::CreateService(service) => write!(f, "create service {}", service.id),
            Self::UpdateService(update) => {
                write!(f, "update service {}{}", update.id, fields(update))
            }
            Self::DeleteService(id) => write!(f, "delete service {id}"),
            Self::CreateRule(rule) => write!(f, "create rule {}", rule.id),
            Self::UpdateRule(update) => write!(f, "update rule {}{}", update.id, fields(update)),
            Self::DeleteRule(id) => write!(f, "delete rule {id}"),
            Self::CreateOperator(operator) => write!(f, "create operator {}", operator.id),
            Self::UpdateOperator(update) => {
                write!(f, "update operator {}{}", update.id, fields(update))
            }
            Self::DeleteOperator(id) => write!(f, "delete operator {id}"),
            Self::AddOperatorKey(key) => {
                let short = key.key.short();
                write!(f, "add key {short} to operator {}", key.operator)
            }
            Self::RevokeOperatorKey(key) => {
                let short = key.key.short();
                write!(f, "revoke key {short} of operator {}", key.operator)
            }
            Self::SetOverride(entry) => write!(f, "set override of {}", entry.subject()),
            Self::ClearOverride(subject) => write!(f, "clear override of {subject}"),
            Self::UpdateFleet(update) => write!(f, "update fleet{}", fields(update)),
            Self::LiftQuarantine(content) => write!(f, "lift quarantine {content}"),
            Self::Plan(note) => write!(f, "plan {}: {}", note.plan, note.what),
            Self::Batch(changes) => {
                let lines: Vec<String> = changes.iter().map(Self::to_string).collect();
                write!(f, "{}", lines.join("; "))
            }
        }
    }
}

/// Writes the fields that an update sets as ` name=value`.
fn fields(update: &impl Serialize) -> String {
    let Ok(serde_json::Value::Object(object)) = serde_json::to_value(update) else {
        return String::new();
    };
    object
        .iter()
        .filter(|(name, _)| name.as_str() != "id")
        .map(|(name, value)| format!(" {name}={}", crate::difference::plain(value)))
        .collect()
}
