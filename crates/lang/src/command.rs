//! Typed commands.

use base::id;
use conf::{
    change::{Change, OperatorKey, TeamKey},
    state::{Holder, Override, Role, Subject},
    value::KeyHash,
};
use plan::plan::{Operation, Request};
use serde::{Deserialize, Serialize};

/// A command of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Asks what holds.
    Ask(Query),
    /// Orders what should hold.
    Give(Order),
    /// Adds or revokes a key that the client reads first.
    Key(KeyOrder),
    /// Writes the whole history and the configuration as JSON.
    Export,
    /// Explains the commands, all or those with one verb.
    Help(Option<String>),
}

/// Adds or revokes a key whose hash is not known yet.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyOrder {
    /// Whether the key is added; else it is revoked.
    pub add: bool,
    /// Whose key it is.
    pub holder: Holder,
    /// Where the client reads the key.
    pub source: Source,
}

/// Where the client reads a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A file; spaces and line ends around the key are dropped.
    File(String),
    /// An environment variable.
    Variable(String),
}

/// Makes the order that adds or revokes a key.
pub fn key(add: bool, holder: &Holder, key: KeyHash) -> Order {
    Order::Change(match (holder.clone(), add) {
        (Holder::Team(team), true) => Change::AddTeamKey(TeamKey { team, key }),
        (Holder::Team(team), false) => Change::RevokeTeamKey(TeamKey { team, key }),
        (Holder::Operator(operator), true) => Change::AddOperatorKey(OperatorKey { operator, key }),
        (Holder::Operator(operator), false) => {
            Change::RevokeOperatorKey(OperatorKey { operator, key })
        }
    })
}

/// Asks what holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    /// The targets as this router sees them.
    Targets,
    /// The teams.
    Teams,
    /// The services.
    Services,
    /// The routing rules.
    Rules,
    /// The operators.
    Operators,
    /// The overrides.
    Overrides,
    /// The loads of targets with the bounds.
    Loads,
    /// The planned changes.
    Plans,
    /// The contents that crashed targets.
    Quarantine,
    /// The configuration, in force or at a version.
    Configuration(Option<id::Version>),
    /// What differs between two versions.
    Difference(id::Version, id::Version),
    /// The latest accepted changes.
    Changes(u32),
    /// The members that use an older version.
    Lagging,
    /// The version that each member uses.
    Versions,
    /// Where a chat would be placed.
    Explain(Chat),
    /// The accepted changes after a version, for the record.
    Record(id::Version),
    /// Who the key identifies.
    Me,
}

/// A chat whose placement is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chat {
    /// Chat id, as in the header `X-Chat-Id`.
    pub text: String,
    /// The team.
    pub team: id::TeamId,
    /// The service.
    pub service: id::ServiceId,
    /// Earlier answers in the prompt; 0 for a new chat.
    pub turns: u32,
}

/// Orders what should hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// A change to the configuration.
    Change(Change),
    /// Creates a planned change.
    Plan(Request),
    /// Operates a planned change.
    Operate(Operate),
}

/// Operates a planned change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operate {
    /// The plan.
    pub plan: id::PlanId,
    /// What to do with it.
    pub operation: Operation,
}

impl Query {
    /// Returns the role that an operator needs.
    pub fn role(&self) -> Role {
        match self {
            // The record has the hashes of all keys, those of operators included.
            Self::Record(_) => Role::Administer,
            _ => Role::Read,
        }
    }
}

impl Order {
    /// Returns the role that an operator needs.
    pub fn role(&self) -> Role {
        match self {
            Self::Change(change) => role(change),
            Self::Plan(_) | Self::Operate(_) => Role::Operate,
        }
    }
}

/// Returns the role that a change needs: changes of operators and their keys
/// need more than others, so that nobody gives roles to oneself.
pub fn role(change: &Change) -> Role {
    match change {
        Change::CreateOperator(_)
        | Change::UpdateOperator(_)
        | Change::DeleteOperator(_)
        | Change::AddOperatorKey(_)
        | Change::RevokeOperatorKey(_) => Role::Administer,
        Change::Batch(changes) => changes.iter().map(role).max().unwrap_or(Role::Operate),
        _ => Role::Operate,
    }
}

/// Returns the order that makes an override.
pub fn set(entry: Override) -> Order {
    Order::Change(Change::SetOverride(entry))
}

/// Returns the order that removes an override.
pub fn clear(subject: Subject) -> Order {
    Order::Change(Change::ClearOverride(subject))
}
