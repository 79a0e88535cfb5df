//! The difference of two versions of the configuration, as typed values and as
//! text.

use std::{fmt, sync::Arc};

use serde::Serialize;
use serde_json::Value;

use crate::{
    change::Entry,
    map::{Map, Pair},
    state::{Configuration, Fleet, Operator, Override, Rule, Service, Team},
};

/// An entry before and after; one side is absent when it was added or removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Sides<T> {
    /// Before.
    pub old: Option<Arc<T>>,
    /// After.
    pub new: Option<Arc<T>>,
}

/// One entry that differs between two versions.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// A team differs.
    Team(Sides<Team>),
    /// A service differs.
    Service(Sides<Service>),
    /// A rule differs.
    Rule(Sides<Rule>),
    /// An operator differs.
    Operator(Sides<Operator>),
    /// An override differs.
    Override(Sides<Override>),
    /// The values of the fleet differ.
    Fleet(Sides<Fleet>),
}

/// One field that differs, as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Its name.
    pub name: String,
    /// Its value before; none when the entry was added.
    pub old: Option<String>,
    /// Its value after; none when the entry was removed.
    pub new: Option<String>,
}

/// Returns what differs between two configurations, by kind and then by id.
pub fn between(old: &Configuration, new: &Configuration) -> Vec<Difference> {
    let mut found = Vec::new();
    if old.fleet() != new.fleet() {
        found.push(Difference::Fleet(Sides {
            old: Some(old.fleet().clone()),
            new: Some(new.fleet().clone()),
        }));
    }
    found.extend(entries(old.services(), new.services()).map(Difference::Service));
    found.extend(entries(old.rules(), new.rules()).map(Difference::Rule));
    found.extend(entries(old.teams(), new.teams()).map(Difference::Team));
    found.extend(entries(old.operators(), new.operators()).map(Difference::Operator));
    found.extend(entries(old.overrides(), new.overrides()).map(Difference::Override));
    found
}

/// Returns the differences as text, one line for each entry.
pub fn text(old: &Configuration, new: &Configuration) -> String {
    between(old, new)
        .iter()
        .map(|difference| format!("{difference}\n"))
        .collect()
}

fn entries<'a, K: Ord + Clone, V: PartialEq>(
    old: &'a Map<K, V>,
    new: &'a Map<K, V>,
) -> impl Iterator<Item = Sides<V>> + 'a {
    old.unshared(new)
        .into_values()
        .filter(|(left, right): &Pair<'_, V>| left != right)
        .map(|(left, right)| Sides {
            old: left.cloned(),
            new: right.cloned(),
        })
}

impl Difference {
    /// Returns the kind of entry.
    pub fn entry(&self) -> Entry {
        match self {
            Self::Team(_) => Entry::Team,
            Self::Service(_) => Entry::Service,
            Self::Rule(_) => Entry::Rule,
            Self::Operator(_) => Entry::Operator,
            Self::Override(_) => Entry::Override,
            Self::Fleet(_) => Entry::Fleet,
        }
    }

    /// Returns the id of the entry.
    pub fn id(&self) -> String {
        match self {
            Self::Team(sides) => sides.any(|team| team.id.to_string()),
            Self::Service(sides) => sides.any(|service| service.id.to_string()),
            Self::Rule(sides) => sides.any(|rule| rule.id.to_string()),
            Self::Operator(sides) => sides.any(|operator| operator.id.to_string()),
            Self::Override(sides) => sides.any(|entry| entry.subject().to_string()),
            Self::Fleet(_) => "values".to_owned(),
        }
    }

    /// Returns the fields that differ.
    pub fn fields(&self) -> Vec<Field> {
        match self {
            Self::Team(sides) => sides.fields(),
            Self::Service(sides) => sides.fields(),
            Self::Rule(sides) => sides.fields(),
            Self::Operator(sides) => sides.fields(),
            Self::Override(sides) => sides.fields(),
            Self::Fleet(sides) => sides.fields(),
        }
    }

    fn mark(&self) -> char {
        match self {
            Self::Team(sides) => sides.mark(),
            Self::Service(sides) => sides.mark(),
            Self::Rule(sides) => sides.mark(),
            Self::Operator(sides) => sides.mark(),
            Self::Override(sides) => sides.mark(),
            Self::Fleet(sides) => sides.mark(),
        }
    }
}

impl<T: Serialize> Sides<T> {
    fn any(&self, id: impl Fn(&T) -> String) -> String {
        match (&self.new, &self.old) {
            (Some(entry), _) | (None, Some(entry)) => id(entry),
            (None, None) => String::new(),
        }
    }

    fn mark(&self) -> char {
        match (&self.old, &self.new) {
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        }
    }

    fn fields(&self) -> Vec<Field> {
        let old = object(self.old.as_deref());
        let new = object(self.new.as_deref());
        let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
        names.sort();
        names.dedup();
        names
            .into_iter()
            .filter(|name| name.as_str() != "id" && old.get(*name) != new.get(*name))
            .map(|name| Field {
                name: name.clone(),
                old: old.get(name).map(plain),
                new: new.get(name).map(plain),
            })
            .collect()
    }
}

fn object<T: Serialize>(entry: Option<&T>) -> serde_json::Map<String, Value> {
    match entry.map(serde_json::to_value) {
        Some(Ok(Value::Object(object))) => object,
        _ => serde_json::Map::new(),
    }
}

/// Writes a value without quotes; lists are joined by commas, and key hashes are
/// cut to the digits that identify them.
pub(crate) fn plain(value: &Value) -> String {
    /// Hexadecimal digits of a whole key hash and of its short form.
    const HASH: (usize, usize) = (64, 8);
    match value {
        Value::Null => "none".to_owned(),
        Value::String(text) => {
            let hash = text.len() == HASH.0 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
            match hash {
                true => text[..HASH.1].to_owned(),
                false => text.clone(),
            }
        }
        Value::Array(values) if values.is_empty() => "none".to_owned(),
        Value::Array(values) => values.iter().map(plain).collect::<Vec<_>>().join(","),
        Value::Object(object) => object
            .iter()
            .map(|(name, value)| format!("{name}:{}", plain(value)))
            .collect::<Vec<_>>()
            .join(","),
        other => other.to_string(),
    }
}

impl fmt::Display for Difference {
    /// Writes `+ team sales weight=100 ...`, `- team sales` or
    /// `~ team sales weight=100->200`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = self.mark();
        write!(f, "{mark} {} {}", self.entry(), self.id())?;
        if mark == '-' {
            return Ok(());
        }
        self.fields().iter().try_for_each(|field| match field {
            Field {
                name,
                old: Some(old),
                new: Some(new),
            } => write!(f, " {name}={old}->{new}"),
            Field { name, new, .. } => {
                write!(f, " {name}={}", new.as_deref().unwrap_or("none"))
            }
        })
    }
}
