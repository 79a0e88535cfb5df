//! The entries of a configuration: teams, services, rules, operators, overrides
//! and the values of the whole fleet.

use std::{collections::BTreeSet, fmt};

use base::{id, rate::Rate, span::Span};
use serde::{Deserialize, Serialize};

use crate::{
    change::{Entry, Rejection},
    value::{Factor, KeyHash, Method, Model, Prefix, Priority, ValueError, Weight},
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

    pub(crate) fn check(&self) -> Result<(), Rejection> {
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

    pub(crate) fn matches(&self, method: &str, path: &str, model: Option<&str>) -> bool {
        let method_fits =
            self.methods.is_empty() || self.methods.iter().any(|own| own.as_str() == method);
        let model_fits = match &self.model {
            Some(own) => model == Some(own.as_str()),
            None => true,
        };
        method_fits && model_fits && self.prefix.covers(path)
    }

    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        let methods = match (self.methods.is_empty(), other.methods.is_empty()) {
            (true, true) => true,
            (false, false) => !self.methods.is_disjoint(&other.methods),
            _ => false,
        };
        methods && self.prefix == other.prefix && self.model == other.model
    }

    /// Orders rules so that the first match is the one that wins.
    pub(crate) fn precedence(&self) -> (usize, bool, bool) {
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
    type Err = ValueError;

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

    pub(crate) fn administers(&self) -> bool {
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
