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

use base::{id, rate::Rate, span::Span};
use serde::{Deserialize, Serialize};

use crate::{
    change::{
        Change, Entry, FleetUpdate, OperatorUpdate, Rejection, RuleUpdate, ServiceUpdate,
        TeamUpdate,
    },
    map::Map,
    value::{Factor, KeyHash, Method, Model, Prefix, Priority, Weight},
};

/// A team: whose requests they are, and the share of the targets they get.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its id.
    pub id: id::TeamId,
    /// Share of a contended target relative to other teams.
    #[serde(default)]
    pub weight: Weight,
    /// Order of its requests among those with the same share.
    #[serde(default)]
    pub priority: Priority,
    /// Most requests a second at one router; none means no limit.
    #[serde(default)]
    pub rate: Option<Rate>,
    /// Most requests in progress at one router; none means no limit.
    #[serde(default)]
    pub open: Option<u32>,
    /// Hashes of the keys that identify it.
    #[serde(default)]
    pub keys: BTreeSet<KeyHash>,
}

impl Team {
    /// Makes a team with the default share, no limits and no keys.
    pub fn new(id: id::TeamId) -> Self {
        Self {
            id,
            weight: Weight::default(),
            priority: Priority::default(),
            rate: None,
            open: None,
            keys: BTreeSet::new(),
        }
    }
}

/// What runs the requests of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Engine => "engine",
            Self::Plain => "plain",
        })
    }
}

/// A service: a group of targets that give the same answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its id.
    pub id: id::ServiceId,
    /// What its targets are.
    pub kind: Kind,
    /// Multiple of the mean load that a target may carry.
    #[serde(default = "default_factor")]
    pub factor: Factor,
    /// Outstanding requests that a target may carry whatever the mean.
    #[serde(default = "default_floor")]
    pub floor: u32,
    /// Requests that a target runs at once, unless its agent's settings say
    /// otherwise.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that wait at one agent before it refuses more.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Whether a request may be run again when its outcome is unknown, for rules
    /// that state no class.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether another target continues a broken stream with the same bytes.
    #[serde(default)]
    pub deterministic: bool,
    /// Whether the targets reject an order with a stale fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// How long a content that crashed targets is refused.
    #[serde(default = "default_quarantine")]
    pub quarantine: Span,
    /// How long a target that joined counts as warming up.
    #[serde(default = "default_warm_up")]
    pub warm_up: Span,
}

fn default_factor() -> Factor {
    Factor::from_hundredths(125).expect("125 hundredths are a valid factor")
}

fn default_floor() -> u32 {
    4
}

fn default_slots() -> u32 {
    16
}

fn default_queue() -> u32 {
    32
}

fn default_quarantine() -> Span {
    Span::from_secs(600)
}

fn default_warm_up() -> Span {
    Span::from_secs(30)
}

impl Service {
    /// Makes a service with default values whose requests are not repeated.
    pub fn new(id: id::ServiceId, kind: Kind) -> Self {
        Self {
            id,
            kind,
            factor: default_factor(),
            floor: default_floor(),
            slots: default_slots(),
            queue: default_queue(),
            repeatable: false,
            deterministic: false,
            fencing: false,
            quarantine: default_quarantine(),
            warm_up: default_warm_up(),
        }
    }

    fn check(&self) -> Result<(), Rejection> {
        /// Longest queue of an agent: queues are short, because a request that
        /// waits longer than others need is better refused at once.
        const MAX_QUEUE: u32 = 10_000;
        const MAX_SLOTS: u32 = 100_000;
        const QUARANTINE: (Span, Span) = (Span::from_secs(1), Span::from_secs(24 * 3600));
        const MAX_WARM_UP: Span = Span::from_secs(3600);

        let field = |field, found: &dyn fmt::Display, allowed: String| Rejection::Field {
            entry: Entry::Service,
            id: self.id.to_string(),
            field,
            found: found.to_string(),
            allowed,
        };
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            return Err(field("slots", &self.slots, format!("1 to {MAX_SLOTS}")));
        }
        if !(1..=self.slots).contains(&self.floor) {
            let allowed = format!("1 to the slots of a target, {}", self.slots);
            return Err(field("floor", &self.floor, allowed));
        }
        if self.queue > MAX_QUEUE {
            return Err(field("queue", &self.queue, format!("0 to {MAX_QUEUE}")));
        }
        if !(QUARANTINE.0..=QUARANTINE.1).contains(&self.quarantine) {
            let allowed = format!("{} to {}", QUARANTINE.0, QUARANTINE.1);
            return Err(field("quarantine", &self.quarantine, allowed));
        }
        if self.warm_up > MAX_WARM_UP {
            let allowed = format!("0s to {MAX_WARM_UP}");
            return Err(field("warm_up", &self.warm_up, allowed));
        }
        if self.deterministic && !(self.repeatable && self.kind == Kind::Engine) {
            let allowed = "true only for a repeatable engine service".to_owned();
            return Err(field("deterministic", &self.deterministic, allowed));
        }
        Ok(())
    }
}

/// How often the requests of a rule may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// May be run again when the outcome is unknown.
    Repeatable,
    /// At most once; an `Idempotency-Key` is honoured when the caller sends one.
    Once,
    /// At most once, and the caller must send an `Idempotency-Key`.
    Keyed,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Repeatable => "repeatable",
            Self::Once => "once",
            Self::Keyed => "keyed",
        })
    }
}

/// A routing rule: which requests go to which service.
///
/// The longest prefix wins; among equal prefixes a rule that names the model
/// wins, then a rule that names the method.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Its id.
    pub id: id::RuleId,
    /// Beginning of the path.
    pub prefix: Prefix,
    /// Methods; none means all.
    #[serde(default)]
    pub methods: BTreeSet<Method>,
    /// Model that the request names; none means any.
    #[serde(default)]
    pub model: Option<Model>,
    /// The service that gets the requests.
    pub service: id::ServiceId,
    /// How often the requests may be run; none means what the service states.
    #[serde(default)]
    pub class: Option<Class>,
}

impl Rule {
    /// Makes a rule for all methods and models of a prefix.
    pub fn new(id: id::RuleId, prefix: Prefix, service: id::ServiceId) -> Self {
        Self {
            id,
            prefix,
            methods: BTreeSet::new(),
            model: None,
            service,
            class: None,
        }
    }

    fn matches(&self, method: &str, path: &str, model: Option<&str>) -> bool {
        let method_fits =
            self.methods.is_empty() || self.methods.iter().any(|own| own.as_str() == method);
        let model_fits = match &self.model {
            Some(own) => model == Some(own.as_str()),
            None => true,
        };
        method_fits && model_fits && self.prefix.covers(path)
    }

    fn overlaps(&self, other: &Self) -> bool {
        let methods = match (self.methods.is_empty(), other.methods.is_empty()) {
            (true, true) => true,
            (false, false) => !self.methods.is_disjoint(&other.methods),
            _ => false,
        };
        methods && self.prefix == other.prefix && self.model == other.model
    }

    /// Orders rules so that the first match is the one that wins.
    fn precedence(&self) -> (usize, bool, bool) {
        let length = usize::MAX - self.prefix.as_str().len();
        (length, self.model.is_none(), self.methods.is_empty())
    }
}

/// What an operator may do; each role includes those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// May look at everything.
    Read,
    /// May also run planned changes and change teams, services and rules.
    Operate,
    /// May also change operators and their keys.
    Administer,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Read => "read",
            Self::Operate => "operate",
            Self::Administer => "administer",
        })
    }
}

impl std::str::FromStr for Role {
    type Err = crate::value::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "read" => Ok(Self::Read),
            "operate" => Ok(Self::Operate),
            "administer" => Ok(Self::Administer),
            other => Err(Self::Err::Role(other.to_owned())),
        }
    }
}

/// Somebody who gives commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The id.
    pub id: id::OperatorId,
    /// What the operator may do.
    pub roles: BTreeSet<Role>,
    /// Hashes of the keys that identify the operator.
    #[serde(default)]
    pub keys: BTreeSet<KeyHash>,
}

impl Operator {
    /// Makes an operator without keys.
    pub fn new(id: id::OperatorId, roles: impl IntoIterator<Item = Role>) -> Self {
        Self {
            id,
            roles: roles.into_iter().collect(),
            keys: BTreeSet::new(),
        }
    }

    /// Tells whether one of the roles is the wanted role or includes it.
    pub fn may(&self, wanted: Role) -> bool {
        self.roles.iter().any(|role| *role >= wanted)
    }

    fn administers(&self) -> bool {
        self.may(Role::Administer) && !self.keys.is_empty()
    }
}

/// What an override is about; each subject has at most one override.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A target.
    Target(id::TargetId),
    /// A team at one service.
    Share(Share),
    /// A request content.
    Content(id::Fingerprint),
}

/// A team at one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The team.
    pub team: id::TeamId,
    /// The service.
    pub service: id::ServiceId,
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(target) => write!(f, "target {target}"),
            Self::Share(share) => write!(f, "team {} at service {}", share.team, share.service),
            Self::Content(fingerprint) => write!(f, "content {fingerprint}"),
        }
    }
}

/// A temporary exception that an operator made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Override {
    /// Changes the weight of a target.
    Target(TargetOverride),
    /// Changes the limits of a team at one service.
    Share(ShareOverride),
    /// Refuses a request content.
    Content(ContentOverride),
}

impl Override {
    /// Returns what the override is about.
    pub fn subject(&self) -> Subject {
        match self {
            Self::Target(entry) => Subject::Target(entry.target.clone()),
            Self::Share(entry) => Subject::Share(entry.share.clone()),
            Self::Content(entry) => Subject::Content(entry.fingerprint),
        }
    }
}

/// Changes the weight of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOverride {
    /// The target.
    pub target: id::TargetId,
    /// Weight in place of the one in its agent's settings; none closes the
    /// target to new work.
    #[serde(default)]
    pub weight: Option<Weight>,
    /// Why, for other operators.
    #[serde(default)]
    pub reason: String,
}

/// Changes the limits of a team at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareOverride {
    /// The team and the service.
    pub share: Share,
    /// Weight in place of the team's own.
    #[serde(default)]
    pub weight: Option<Weight>,
    /// Priority in place of the team's own.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// Rate limit in place of the team's own.
    #[serde(default)]
    pub rate: Option<Rate>,
    /// Limit of requests in progress in place of the team's own.
    #[serde(default)]
    pub open: Option<u32>,
    /// Why, for other operators.
    #[serde(default)]
    pub reason: String,
}

/// Refuses a request content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContentOverride {
    /// Fingerprint of the content.
    pub fingerprint: id::Fingerprint,
    /// Why, for other operators.
    #[serde(default)]
    pub reason: String,
}

/// Values that concern the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Weight loads that planned changes run at once.
    pub weight_loads: u32,
    /// Weight loads that planned changes start, so that the weight store's rate
    /// is kept.
    pub weight_rate: Rate,
    /// Table reads of all processes together.
    pub table_reads: Rate,
    /// Table writes of all processes together.
    pub table_writes: Rate,
}

impl Default for Fleet {
    /// The rates are those of the platform: about 2,000 reads and several
    /// hundred writes a second for all processes together.
    fn default() -> Self {
        Self {
            weight_loads: 2,
            weight_rate: Rate(0.1),
            table_reads: Rate(2000.0),
            table_writes: Rate(300.0),
        }
    }
}

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
