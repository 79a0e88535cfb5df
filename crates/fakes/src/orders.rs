//! Orders to an engine: models, adapters and role, with or without a check of
//! the fencing token.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// What is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Load a model version, or an adapter of a model.
    Load,
    /// Unload a model, or an adapter of a model.
    Unload,
    /// Change the role.
    Role,
}

/// The body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What is ordered.
    pub order: Kind,
    /// The model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The adapter of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The role to take.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// Why an order is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A larger token has been seen.
    #[error("fencing token {0:?} is stale, {1} has been seen")]
    Stale(Option<u64>, u64),
    /// The order lacks a field.
    #[error("the order needs the field {0:?}")]
    Field(&'static str),
}

/// What an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// The version of each model.
    pub models: BTreeMap<String, String>,
    /// Adapters, as `model:adapter`.
    pub adapters: BTreeSet<String>,
    /// The role.
    pub role: String,
}

/// The order desk of an engine.
#[derive(Clone, Debug)]
pub struct Desk {
    checks: bool,
    highest: u64,
    /// What is loaded now.
    pub loaded: Loaded,
}

impl Desk {
    /// Starts with what is loaded; `checks` says whether stale tokens are rejected.
    pub fn new(loaded: Loaded, checks: bool) -> Self {
        Self {
            checks,
            highest: 0,
            loaded,
        }
    }

    /// Checks an order's fencing token and fields before it takes effect.
    pub fn accept(&mut self, fence: Option<u64>, order: &Order) -> Result<(), Refusal> {
        match order.order {
            Kind::Load | Kind::Unload if order.model.is_none() => {
                return Err(Refusal::Field("model"));
            }
            Kind::Role if order.role.is_none() => return Err(Refusal::Field("role")),
            _ => {}
        }
        let token = fence.unwrap_or(0);
        if self.checks && token < self.highest {
            return Err(Refusal::Stale(fence, self.highest));
        }
        self.highest = self.highest.max(token);
        Ok(())
    }

    /// Carries out an accepted order.
    pub fn apply(&mut self, order: &Order) {
        let model = order.model.clone().unwrap_or_default();
        let adapter = order.adapter.as_ref().map(|name| format!("{model}:{name}"));
        match (order.order, adapter) {
            (Kind::Load, Some(adapter)) => {
                self.loaded.adapters.insert(adapter);
            }
            (Kind::Load, None) => {
                let version = order.version.clone().unwrap_or_default();
                self.loaded.models.insert(model, version);
            }
            (Kind::Unload, Some(adapter)) => {
                self.loaded.adapters.remove(&adapter);
            }
            (Kind::Unload, None) => {
                self.loaded.models.remove(&model);
            }
            (Kind::Role, _) => self.loaded.role = order.role.clone().unwrap_or_default(),
        }
    }
}

impl std::fmt::Display for Order {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self.order {
            Kind::Load => "load",
            Kind::Unload => "unload",
            Kind::Role => "role",
        })?;
        [&self.model, &self.adapter, &self.version, &self.role]
            .into_iter()
            .flatten()
            .try_for_each(|field| write!(f, " {field}"))
    }
}
