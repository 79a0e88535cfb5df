//! The configuration that all processes share, with the rules it obeys.
//!
//! A [`Configuration`] is immutable: [`Configuration::apply`] returns the next
//! version, and versions share their unchanged entries. See
//! [the design page](../../../docs/design.md), section 2.7.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use base::id;
use serde::{Deserialize, Serialize};

use crate::{
    change::{
        Change, Entry, FleetUpdate, OperatorUpdate, Rejection, RuleUpdate, ServiceUpdate,
        TeamUpdate,
    },
    map::Map,
    value::KeyHash,
};

pub use crate::entry::{
    Class, ContentOverride, Fleet, Kind, Operator, Override, Role, Rule, Service, Share,
    ShareOverride, Subject, TargetOverride, Team,
};

/// Who a key identifies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Holder {
    /// A team.
    Team(id::TeamId),
    /// An operator.
    Operator(id::OperatorId),
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(id) => write!(f, "team {id}"),
            Self::Operator(id) => write!(f, "operator {id}"),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Contents", into = "Contents")]
pub struct Configuration {
    version: id::Version,
    teams: Map<id::TeamId, Team>,
    services: Map<id::ServiceId, Service>,
    rules: Map<id::RuleId, Rule>,
    operators: Map<id::OperatorId, Operator>,
    overrides: Map<Subject, Override>,
    fleet: Arc<Fleet>,
    /// Who each key identifies; follows from teams and operators.
    keys: Map<KeyHash, Holder>,
    /// The rules in the order in which they are tried; follows from rules.
    routes: Arc<Vec<Arc<Rule>>>,
}

impl Configuration {
    /// Returns the version; 0 is the empty configuration.
    pub fn version(&self) -> id::Version {
        self.version
    }

    /// Returns the teams.
    pub fn teams(&self) -> &Map<id::TeamId, Team> {
        &self.teams
    }

    /// Returns the services.
    pub fn services(&self) -> &Map<id::ServiceId, Service> {
        &self.services
    }

    /// Returns the routing rules.
    pub fn rules(&self) -> &Map<id::RuleId, Rule> {
        &self.rules
    }

    /// Returns the operators.
    pub fn operators(&self) -> &Map<id::OperatorId, Operator> {
        &self.operators
    }

    /// Returns the overrides.
    pub fn overrides(&self) -> &Map<Subject, Override> {
        &self.overrides
    }

    /// Returns the values of the whole fleet.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Returns the team that a key identifies.
    pub fn team_of(&self, key: &KeyHash) -> Option<&Arc<Team>> {
        match self.keys.get(key)?.as_ref() {
            Holder::Team(id) => self.teams.get(id).filter(|team| holds(&team.keys, key)),
            Holder::Operator(_) => None,
        }
    }

    /// Returns the operator that a key identifies.
    pub fn operator_of(&self, key: &KeyHash) -> Option<&Arc<Operator>> {
        match self.keys.get(key)?.as_ref() {
            Holder::Operator(id) => self
                .operators
                .get(id)
                .filter(|operator| holds(&operator.keys, key)),
            Holder::Team(_) => None,
        }
    }

    /// Returns the rule for a request, if there is one.
    pub fn route(&self, method: &str, path: &str, model: Option<&str>) -> Option<&Arc<Rule>> {
        self.routes
            .iter()
            .find(|rule| rule.matches(method, path, model))
    }

    /// Tells whether any rule asks for the model, so that a router reads the
    /// request's body before it routes.
    pub fn routes_by_model(&self, path: &str) -> bool {
        self.routes
            .iter()
            .any(|rule| rule.model.is_some() && rule.prefix.covers(path))
    }

    /// Returns how often the requests of a rule may be run.
    pub fn class(&self, rule: &Rule) -> Class {
        let repeatable = self
            .services
            .get(&rule.service)
            .is_some_and(|service| service.repeatable);
        match (rule.class, repeatable) {
            (Some(class), _) => class,
            (None, true) => Class::Repeatable,
            (None, false) => Class::Once,
        }
    }

    /// Returns the override of a target.
    pub fn target_override(&self, target: &id::TargetId) -> Option<&TargetOverride> {
        match self
            .overrides
            .get(&Subject::Target(target.clone()))?
            .as_ref()
        {
            Override::Target(entry) => Some(entry),
            _ => None,
        }
    }

    /// Returns a team's weight, priority and limits at a service, with the
    /// override of the two when there is one.
    pub fn share(&self, team: &id::TeamId, service: &id::ServiceId) -> Option<Team> {
        let mut share = self.teams.get(team)?.as_ref().clone();
        let subject = Subject::Share(Share {
            team: team.clone(),
            service: service.clone(),
        });
        if let Some(Override::Share(entry)) = self.overrides.get(&subject).map(Arc::as_ref) {
            share.weight = entry.weight.unwrap_or(share.weight);
            share.priority = entry.priority.unwrap_or(share.priority);
            share.rate = entry.rate.or(share.rate);
            share.open = entry.open.or(share.open);
        }
        Some(share)
    }

    /// Returns the override that refuses a content.
    pub fn refused_content(&self, fingerprint: id::Fingerprint) -> Option<&ContentOverride> {
        match self.overrides.get(&Subject::Content(fingerprint))?.as_ref() {
            Override::Content(entry) => Some(entry),
            _ => None,
        }
    }

    /// Applies a change and returns the next version.
    ///
    /// # Errors
    ///
    /// Returns why the change cannot be applied; this version is unaffected.
    pub fn apply(&self, change: &Change) -> Result<Self, Rejection> {
        let mut next = self.clone();
        next.change(change)?;
        next.version = self.version.next();
        if let Some(last) = self.administrator()
            && next.administrator().is_none()
        {
            return Err(Rejection::LastAdministrator(last.id.clone()));
        }
        Ok(next)
    }

    fn administrator(&self) -> Option<&Arc<Operator>> {
        self.operators
            .values()
            .find(|operator| operator.administers())
    }

    fn change(&mut self, change: &Change) -> Result<(), Rejection> {
        match change {
            Change::CreateTeam(team) => self.create_team(team),
            Change::UpdateTeam(update) => self.update_team(update),
            Change::DeleteTeam(id) => self.delete_team(id),
            Change::AddTeamKey(entry) => {
                self.change_team(&entry.team, |team| team.keys.insert(entry.key), entry.key)
            }
            Change::RevokeTeamKey(entry) => {
                self.change_team(&entry.team, |team| team.keys.remove(&entry.key), entry.key)
            }
            Change::CreateService(service) => self.create_service(service),
            Change::UpdateService(update) => self.update_service(update),
            Change::DeleteService(id) => self.delete_service(id),
            Change::CreateRule(rule) => self.create_rule(rule),
            Change::UpdateRule(update) => self.update_rule(update),
            Change::DeleteRule(id) => self.delete_rule(id),
            Change::CreateOperator(operator) => self.create_operator(operator),
            Change::UpdateOperator(update) => self.update_operator(update),
            Change::DeleteOperator(id) => self.delete_operator(id),
            Change::AddOperatorKey(entry) => self.change_operator(
                &entry.operator,
                |operator| operator.keys.insert(entry.key),
                entry.key,
            ),
            Change::RevokeOperatorKey(entry) => self.change_operator(
                &entry.operator,
                |operator| operator.keys.remove(&entry.key),
                entry.key,
            ),
            Change::SetOverride(entry) => self.set_override(entry),
            Change::ClearOverride(subject) => self.clear_override(subject),
            Change::UpdateFleet(update) => self.update_fleet(update),
            Change::LiftQuarantine(_) | Change::Plan(_) => Ok(()),
            Change::Batch(changes) => self.batch(changes),
        }
    }

    fn batch(&mut self, changes: &[Change]) -> Result<(), Rejection> {
        if changes.is_empty() {
            return Err(Rejection::EmptyBatch);
        }
        for (index, change) in changes.iter().enumerate() {
            self.change(change).map_err(|cause| Rejection::InBatch {
                position: index + 1,
                cause: Box::new(cause),
            })?;
        }
        Ok(())
    }

    fn create_team(&mut self, team: &Team) -> Result<(), Rejection> {
        absent(&self.teams, Entry::Team, &team.id)?;
        check_open(team)?;
        self.take_keys(&team.keys, &Holder::Team(team.id.clone()))?;
        self.teams.insert(team.id.clone(), Arc::new(team.clone()));
        Ok(())
    }

    fn update_team(&mut self, update: &TeamUpdate) -> Result<(), Rejection> {
        let old = found(&self.teams, Entry::Team, &update.id)?;
        let mut team = old.as_ref().clone();
        set(&mut team.weight, &update.weight);
        set(&mut team.priority, &update.priority);
        set(&mut team.rate, &update.rate);
        set(&mut team.open, &update.open);
        changed(&team, old, Entry::Team, &update.id)?;
        check_open(&team)?;
        self.teams.insert(team.id.clone(), Arc::new(team));
        Ok(())
    }

    fn delete_team(&mut self, id: &id::TeamId) -> Result<(), Rejection> {
        let team = found(&self.teams, Entry::Team, id)?.clone();
        let by: Vec<String> = self
            .overrides
            .iter()
            .filter(|(subject, _)| matches!(subject, Subject::Share(share) if share.team == *id))
            .map(|(subject, _)| format!("the override of {subject}"))
            .collect();
        unused(Entry::Team, id, &by)?;
        self.release_keys(&team.keys);
        self.teams.remove(id);
        Ok(())
    }

    /// Adds or removes a key of a team; `edit` returns whether it had an effect.
    fn change_team(
        &mut self,
        id: &id::TeamId,
        edit: impl Fn(&mut Team) -> bool,
        key: KeyHash,
    ) -> Result<(), Rejection> {
        let old = found(&self.teams, Entry::Team, id)?;
        let had = old.keys.contains(&key);
        let mut team = old.as_ref().clone();
        let effect = edit(&mut team);
        self.change_key(Holder::Team(id.clone()), key, had, effect)?;
        self.teams.insert(id.clone(), Arc::new(team));
        Ok(())
    }

    fn change_operator(
        &mut self,
        id: &id::OperatorId,
        edit: impl Fn(&mut Operator) -> bool,
        key: KeyHash,
    ) -> Result<(), Rejection> {
        let old = found(&self.operators, Entry::Operator, id)?;
        let had = old.keys.contains(&key);
        let mut operator = old.as_ref().clone();
        let effect = edit(&mut operator);
        self.change_key(Holder::Operator(id.clone()), key, had, effect)?;
        self.operators.insert(id.clone(), Arc::new(operator));
        Ok(())
    }

    fn change_key(
        &mut self,
        holder: Holder,
        key: KeyHash,
        had: bool,
        effect: bool,
    ) -> Result<(), Rejection> {
        match (had, effect) {
            (true, true) => {
                self.release_keys(&BTreeSet::from([key]));
                Ok(())
            }
            (false, true) => self.take_keys(&BTreeSet::from([key]), &holder),
            (true, false) => Err(Rejection::KeyTaken {
                key: key.short(),
                holder: holder.to_string(),
            }),
            (false, false) => Err(Rejection::KeyMissing {
                key: key.short(),
                holder: holder.to_string(),
            }),
        }
    }

    fn take_keys(&mut self, keys: &BTreeSet<KeyHash>, holder: &Holder) -> Result<(), Rejection> {
        for key in keys {
            if let Some(other) = self.keys.get(key) {
                return Err(Rejection::KeyTaken {
                    key: key.short(),
                    holder: other.to_string(),
                });
            }
            self.keys.insert(*key, Arc::new(holder.clone()));
        }
        Ok(())
    }

    fn release_keys(&mut self, keys: &BTreeSet<KeyHash>) {
        for key in keys {
            self.keys.remove(key);
        }
    }

    fn create_service(&mut self, service: &Service) -> Result<(), Rejection> {
        absent(&self.services, Entry::Service, &service.id)?;
        service.check()?;
        self.services
            .insert(service.id.clone(), Arc::new(service.clone()));
        Ok(())
    }

    fn update_service(&mut self, update: &ServiceUpdate) -> Result<(), Rejection> {
        let old = found(&self.services, Entry::Service, &update.id)?;
        let mut service = old.as_ref().clone();
        set(&mut service.kind, &update.kind);
        set(&mut service.factor, &update.factor);
        set(&mut service.floor, &update.floor);
        set(&mut service.slots, &update.slots);
        set(&mut service.queue, &update.queue);
        set(&mut service.repeatable, &update.repeatable);
        set(&mut service.deterministic, &update.deterministic);
        set(&mut service.fencing, &update.fencing);
        set(&mut service.quarantine, &update.quarantine);
        set(&mut service.warm_up, &update.warm_up);
        changed(&service, old, Entry::Service, &update.id)?;
        service.check()?;
        self.services.insert(service.id.clone(), Arc::new(service));
        Ok(())
    }

    fn delete_service(&mut self, id: &id::ServiceId) -> Result<(), Rejection> {
        found(&self.services, Entry::Service, id)?;
        let rules = self
            .rules
            .values()
            .filter(|rule| rule.service == *id)
            .map(|rule| format!("rule {}", rule.id));
        let overrides = self
            .overrides
            .iter()
            .filter(|(subject, _)| matches!(subject, Subject::Share(share) if share.service == *id))
            .map(|(subject, _)| format!("the override of {subject}"));
        let by: Vec<String> = rules.chain(overrides).collect();
        unused(Entry::Service, id, &by)?;
        self.services.remove(id);
        Ok(())
    }

    fn create_rule(&mut self, rule: &Rule) -> Result<(), Rejection> {
        absent(&self.rules, Entry::Rule, &rule.id)?;
        self.put_rule(rule.clone())
    }

    fn update_rule(&mut self, update: &RuleUpdate) -> Result<(), Rejection> {
        let old = found(&self.rules, Entry::Rule, &update.id)?;
        let mut rule = old.as_ref().clone();
        set(&mut rule.prefix, &update.prefix);
        set(&mut rule.methods, &update.methods);
        set(&mut rule.model, &update.model);
        set(&mut rule.service, &update.service);
        set(&mut rule.class, &update.class);
        changed(&rule, old, Entry::Rule, &update.id)?;
        self.put_rule(rule)
    }

    fn put_rule(&mut self, rule: Rule) -> Result<(), Rejection> {
        found(&self.services, Entry::Service, &rule.service)?;
        let other = self
            .rules
            .values()
            .find(|other| other.id != rule.id && other.overlaps(&rule));
        if let Some(other) = other {
            return Err(Rejection::Ambiguous {
                rule: rule.id,
                other: other.id.clone(),
            });
        }
        self.rules.insert(rule.id.clone(), Arc::new(rule));
        self.order_routes();
        Ok(())
    }

    fn delete_rule(&mut self, id: &id::RuleId) -> Result<(), Rejection> {
        found(&self.rules, Entry::Rule, id)?;
        self.rules.remove(id);
        self.order_routes();
        Ok(())
    }

    fn order_routes(&mut self) {
        let mut routes: Vec<Arc<Rule>> = self.rules.values().cloned().collect();
        routes.sort_by_key(|rule| rule.precedence());
        self.routes = Arc::new(routes);
    }

    fn create_operator(&mut self, operator: &Operator) -> Result<(), Rejection> {
        absent(&self.operators, Entry::Operator, &operator.id)?;
        check_roles(&operator.id, &operator.roles)?;
        self.take_keys(&operator.keys, &Holder::Operator(operator.id.clone()))?;
        self.operators
            .insert(operator.id.clone(), Arc::new(operator.clone()));
        Ok(())
    }

    fn update_operator(&mut self, update: &OperatorUpdate) -> Result<(), Rejection> {
        let old = found(&self.operators, Entry::Operator, &update.id)?;
        let mut operator = old.as_ref().clone();
        operator.roles.clone_from(&update.roles);
        changed(&operator, old, Entry::Operator, &update.id)?;
        check_roles(&operator.id, &operator.roles)?;
        self.operators
            .insert(operator.id.clone(), Arc::new(operator));
        Ok(())
    }

    fn delete_operator(&mut self, id: &id::OperatorId) -> Result<(), Rejection> {
        let operator = found(&self.operators, Entry::Operator, id)?.clone();
        self.release_keys(&operator.keys);
        self.operators.remove(id);
        Ok(())
    }

    fn set_override(&mut self, entry: &Override) -> Result<(), Rejection> {
        let subject = entry.subject();
        if let Override::Share(share) = entry {
            found(&self.teams, Entry::Team, &share.share.team)?;
            found(&self.services, Entry::Service, &share.share.service)?;
        }
        if let Some(old) = self.overrides.get(&subject) {
            changed(entry, old, Entry::Override, &subject)?;
        }
        self.overrides.insert(subject, Arc::new(entry.clone()));
        Ok(())
    }

    fn clear_override(&mut self, subject: &Subject) -> Result<(), Rejection> {
        found(&self.overrides, Entry::Override, subject)?;
        self.overrides.remove(subject);
        Ok(())
    }

    fn update_fleet(&mut self, update: &FleetUpdate) -> Result<(), Rejection> {
        let mut fleet = self.fleet.as_ref().clone();
        set(&mut fleet.weight_loads, &update.weight_loads);
        set(&mut fleet.weight_rate, &update.weight_rate);
        set(&mut fleet.table_reads, &update.table_reads);
        set(&mut fleet.table_writes, &update.table_writes);
        changed(&fleet, &self.fleet, Entry::Fleet, &"values")?;
        if fleet.weight_loads == 0 {
            return Err(Rejection::Field {
                entry: Entry::Fleet,
                id: "values".to_owned(),
                field: "weight_loads",
                found: "0".to_owned(),
                allowed: "at least 1".to_owned(),
            });
        }
        self.fleet = Arc::new(fleet);
        Ok(())
    }
}

fn set<T: Clone>(field: &mut T, value: &Option<T>) {
    if let Some(value) = value {
        *field = value.clone();
    }
}

fn holds(keys: &BTreeSet<KeyHash>, key: &KeyHash) -> bool {
    keys.iter().any(|own| own.matches(key))
}

fn absent<K: Ord + Clone + fmt::Display, V>(
    map: &Map<K, V>,
    entry: Entry,
    key: &K,
) -> Result<(), Rejection> {
    match map.get(key) {
        None => Ok(()),
        Some(_) => Err(Rejection::Exists {
            entry,
            id: key.to_string(),
        }),
    }
}

fn found<'a, K: Ord + Clone + fmt::Display, V>(
    map: &'a Map<K, V>,
    entry: Entry,
    key: &K,
) -> Result<&'a Arc<V>, Rejection> {
    map.get(key).ok_or_else(|| Rejection::Missing {
        entry,
        id: key.to_string(),
    })
}

fn changed<T: PartialEq>(
    new: &T,
    old: &Arc<T>,
    entry: Entry,
    key: &dyn fmt::Display,
) -> Result<(), Rejection> {
    if *new != **old {
        return Ok(());
    }
    Err(Rejection::Unchanged {
        entry,
        id: key.to_string(),
    })
}

fn unused(entry: Entry, key: &dyn fmt::Display, by: &[String]) -> Result<(), Rejection> {
    if by.is_empty() {
        return Ok(());
    }
    Err(Rejection::InUse {
        entry,
        id: key.to_string(),
        by: by.join(", "),
    })
}

fn check_open(team: &Team) -> Result<(), Rejection> {
    if team.open != Some(0) {
        return Ok(());
    }
    Err(Rejection::Field {
        entry: Entry::Team,
        id: team.id.to_string(),
        field: "open",
        found: "0".to_owned(),
        allowed: "at least 1, or null for no limit".to_owned(),
    })
}

fn check_roles(id: &id::OperatorId, roles: &BTreeSet<Role>) -> Result<(), Rejection> {
    if !roles.is_empty() {
        return Ok(());
    }
    Err(Rejection::Field {
        entry: Entry::Operator,
        id: id.to_string(),
        field: "roles",
        found: "none".to_owned(),
        allowed: "at least one of read, operate, administer".to_owned(),
    })
}

/// The configuration as it is written: a snapshot without what follows from it.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Contents {
    version: id::Version,
    fleet: Fleet,
    services: Vec<Service>,
    rules: Vec<Rule>,
    teams: Vec<Team>,
    operators: Vec<Operator>,
    overrides: Vec<Override>,
}

impl From<Configuration> for Contents {
    fn from(configuration: Configuration) -> Self {
        Self {
            version: configuration.version,
            fleet: configuration.fleet.as_ref().clone(),
            services: owned(&configuration.services),
            rules: owned(&configuration.rules),
            teams: owned(&configuration.teams),
            operators: owned(&configuration.operators),
            overrides: owned(&configuration.overrides),
        }
    }
}

fn owned<K: Ord + Clone, V: Clone>(map: &Map<K, V>) -> Vec<V> {
    map.values().map(|value| value.as_ref().clone()).collect()
}

impl TryFrom<Contents> for Configuration {
    type Error = Rejection;

    /// Builds the configuration by its own rules, so that a snapshot that breaks
    /// one of them is refused.
    fn try_from(contents: Contents) -> Result<Self, Rejection> {
        let mut built = Self {
            version: contents.version,
            fleet: Arc::new(contents.fleet),
            ..Self::default()
        };
        for service in &contents.services {
            built.create_service(service)?;
        }
        for rule in &contents.rules {
            built.create_rule(rule)?;
        }
        for team in &contents.teams {
            built.create_team(team)?;
        }
        for operator in &contents.operators {
            built.create_operator(operator)?;
        }
        for entry in &contents.overrides {
            built.set_override(entry)?;
        }
        Ok(built)
    }
}

/// Counts of entries, for lists and logs.
impl fmt::Display for Configuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = BTreeMap::from([
            ("teams", self.teams.len()),
            ("services", self.services.len()),
            ("rules", self.rules.len()),
            ("operators", self.operators.len()),
            ("overrides", self.overrides.len()),
        ]);
        write!(f, "version={}", self.version)?;
        counts
            .iter()
            .try_for_each(|(name, count)| write!(f, " {name}={count}"))
    }
}
