//! The commands as data: parsing, completion and help follow from one table.
//!
//! Every command is a verb, a noun, the values that the noun needs, and then
//! pairs of a field and its value in any order.

use crate::build::{self, Build};

/// Field of every order that holds the reason, which is recorded.
pub const WHY: &str = "why";

/// What kind of value stands at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// Id of a team.
    Team,
    /// Id of a service.
    Service,
    /// Id of a rule.
    Rule,
    /// Id of an operator.
    Operator,
    /// Id of a target.
    Target,
    /// Id of a plan.
    Plan,
    /// Fingerprint of a content.
    Content,
    /// A version of the configuration.
    Version,
    /// One of these words.
    Word(&'static [&'static str]),
    /// One or more of these words, separated by commas.
    Words(&'static [&'static str]),
    /// Anything else; the text says what.
    Text(&'static str),
}

impl Slot {
    /// Returns how help and errors name the value.
    pub fn name(&self) -> String {
        match self {
            Self::Team => "TEAM".to_owned(),
            Self::Service => "SERVICE".to_owned(),
            Self::Rule => "RULE".to_owned(),
            Self::Operator => "OPERATOR".to_owned(),
            Self::Target => "TARGET".to_owned(),
            Self::Plan => "PLAN".to_owned(),
            Self::Content => "CONTENT".to_owned(),
            Self::Version => "VERSION".to_owned(),
            Self::Word(words) => words.join("|"),
            Self::Words(words) => format!("{}[,...]", words.join("|")),
            Self::Text(name) => (*name).to_owned(),
        }
    }
}

/// A field of a command.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Its name, the same as in the configuration.
    pub name: &'static str,
    /// Its value.
    pub slot: Slot,
    /// Whether the command is incomplete without it.
    pub needed: bool,
}

/// One command.
#[derive(Clone, Copy)]
pub struct Form {
    /// What to do.
    pub verb: &'static str,
    /// To what.
    pub noun: &'static str,
    /// The values directly after the noun.
    pub values: &'static [Slot],
    /// The fields.
    pub fields: &'static [Field],
    /// What it does, for help.
    pub about: &'static str,
    /// An example.
    pub example: &'static str,
    /// Makes the typed command.
    pub(crate) build: Build,
}

impl Form {
    /// Returns the field with this name.
    pub fn field(&self, name: &str) -> Option<&'static Field> {
        self.fields.iter().find(|field| field.name == name)
    }

    /// Tells whether the command orders something, so that it takes a reason.
    pub fn is_order(&self) -> bool {
        !matches!(self.verb, "show" | "explain" | "export")
    }

    /// Returns the names of the fields, with that of the reason.
    pub fn names(&self) -> Vec<&'static str> {
        let mut names: Vec<&str> = self.fields.iter().map(|field| field.name).collect();
        if self.is_order() {
            names.push(WHY);
        }
        names
    }

    /// Returns the command with its places, for help.
    pub fn usage(&self) -> String {
        let mut usage = format!("{} {}", self.verb, self.noun);
        for value in self.values {
            usage += &format!(" {}", value.name());
        }
        for field in self.fields {
            let pair = format!("{} {}", field.name, field.slot.name());
            usage += &match field.needed {
                true => format!(" {pair}"),
                false => format!(" [{pair}]"),
            };
        }
        if self.is_order() {
            usage += &format!(" [{WHY} TEXT]");
        }
        usage
    }
}

const fn needed(name: &'static str, slot: Slot) -> Field {
    Field {
        name,
        slot,
        needed: true,
    }
}

const fn field(name: &'static str, slot: Slot) -> Field {
    Field {
        name,
        slot,
        needed: false,
    }
}

const BOOL: Slot = Slot::Word(&["true", "false"]);
const KIND: Slot = Slot::Word(&["engine", "plain"]);
const ROLES: Slot = Slot::Words(&["read", "operate", "administer"]);
const CLASS: Slot = Slot::Word(&["repeatable", "once", "keyed"]);
const CLASS_OR_NONE: Slot = Slot::Word(&["repeatable", "once", "keyed", "none"]);
const WEIGHT: Slot = Slot::Text("WEIGHT");
const WEIGHT_OR_NONE: Slot = Slot::Text("WEIGHT|none");
const PRIORITY: Slot = Slot::Text("PRIORITY");
const RATE: Slot = Slot::Text("RATE");
const RATE_OR_NONE: Slot = Slot::Text("RATE|none");
const COUNT: Slot = Slot::Text("COUNT");
const COUNT_OR_NONE: Slot = Slot::Text("COUNT|none");
const SPAN: Slot = Slot::Text("TIME");
const FACTOR: Slot = Slot::Text("FACTOR");
const PREFIX: Slot = Slot::Text("PREFIX");
const METHODS: Slot = Slot::Text("METHOD[,...]");
const MODEL: Slot = Slot::Text("MODEL");
const MODEL_OR_NONE: Slot = Slot::Text("MODEL|none");
const TEXT: Slot = Slot::Text("TEXT");

const TEAM: &[Field] = &[
    field("weight", WEIGHT),
    field("priority", PRIORITY),
    field("rate", RATE_OR_NONE),
    field("open", COUNT_OR_NONE),
];

const SERVICE: [Field; 10] = [
    field("kind", KIND),
    field("factor", FACTOR),
    field("floor", COUNT),
    field("slots", COUNT),
    field("queue", COUNT),
    field("repeatable", BOOL),
    field("deterministic", BOOL),
    field("fencing", BOOL),
    field("quarantine", SPAN),
    field("warm_up", SPAN),
];

const NEW_SERVICE: [Field; 10] = {
    let mut fields = SERVICE;
    fields[0] = needed("kind", KIND);
    fields
};

const NEW_RULE: &[Field] = &[
    needed("prefix", PREFIX),
    needed("service", Slot::Service),
    field("methods", METHODS),
    field("model", MODEL),
    field("class", CLASS),
];

const RULE: &[Field] = &[
    field("prefix", PREFIX),
    field("service", Slot::Service),
    field("methods", Slot::Text("METHOD[,...]|none")),
    field("model", MODEL_OR_NONE),
    field("class", CLASS_OR_NONE),
];

const KEY: &[Field] = &[
    field("team", Slot::Team),
    field("operator", Slot::Operator),
    field("hash", Slot::Text("SHA-256")),
    field("secret", Slot::Text("KEY")),
    field("file", Slot::Text("FILE")),
    field("env", Slot::Text("VARIABLE")),
];

const OVERRIDE: &[Field] = &[
    field("target", Slot::Target),
    field("team", Slot::Team),
    field("service", Slot::Service),
    field("content", Slot::Content),
    field("weight", WEIGHT_OR_NONE),
    field("priority", PRIORITY),
    field("rate", RATE),
    field("open", COUNT),
    field("reason", TEXT),
];

const SUBJECT: &[Field] = &[
    field("target", Slot::Target),
    field("team", Slot::Team),
    field("service", Slot::Service),
    field("content", Slot::Content),
];

const TARGETS: Slot = Slot::Text("TARGET[,...]");

const PLAN: &[Field] = &[
    needed("kind", Slot::Word(&["drain", "replace", "roll", "role"])),
    needed("service", Slot::Service),
    needed("targets", TARGETS),
    needed("keep", COUNT),
    field("wave", COUNT),
    field("by", TARGETS),
    field("model", MODEL),
    field("adapter", MODEL),
    field("version", MODEL),
    field("unload_model", MODEL),
    field("unload_adapter", MODEL),
    field("unload_version", MODEL),
    field("role", MODEL),
];

const FLEET: &[Field] = &[
    field("weight_loads", COUNT),
    field("weight_rate", RATE),
    field("table_reads", RATE),
    field("table_writes", RATE),
];

macro_rules! forms {
    ($($verb:literal $noun:literal $values:expr, $fields:expr, $build:path, $about:literal, $example:literal;)*) => {
        /// All commands, in the order of help.
        pub const FORMS: &[Form] = &[$(Form {
            verb: $verb,
            noun: $noun,
            values: $values,
            fields: $fields,
            about: $about,
            example: $example,
            build: $build,
        }),*];
    };
}

forms! {
    "show" "targets" &[], &[], build::targets,
        "Lists the targets as the router sees them.", "show targets";
    "show" "teams" &[], &[], build::teams,
        "Lists the teams.", "show teams";
    "show" "services" &[], &[], build::services,
        "Lists the services.", "show services";
    "show" "rules" &[], &[], build::rules,
        "Lists the routing rules.", "show rules";
    "show" "operators" &[], &[], build::operators,
        "Lists the operators with the first digits of their keys' hashes.", "show operators";
    "show" "overrides" &[], &[], build::overrides,
        "Lists the overrides.", "show overrides";
    "show" "loads" &[], &[], build::loads,
        "Lists load, bound and skew by service.", "show loads";
    "show" "plans" &[], &[], build::plans,
        "Lists the planned changes.", "show plans";
    "show" "quarantine" &[], &[], build::quarantine,
        "Lists the contents that crashed targets.", "show quarantine";
    "show" "configuration" &[], &[field("at", Slot::Version)], build::configuration,
        "Shows the configuration in force, or at a version.", "show configuration at 12";
    "show" "difference" &[Slot::Version, Slot::Version], &[], build::difference,
        "Shows what differs between two versions.", "show difference 11 12";
    "show" "changes" &[], &[field("last", COUNT)], build::changes,
        "Lists the latest accepted changes: who, what and why.", "show changes last 5";
    "show" "lagging" &[], &[], build::lagging,
        "Lists the members that use an older version than this router.", "show lagging";
    "show" "versions" &[], &[], build::versions,
        "Lists the version that each member uses.", "show versions";
    "explain" "chat" &[TEXT],
        &[needed("team", Slot::Team), needed("service", Slot::Service), field("turns", COUNT)],
        build::explain,
        "Says where a chat would be placed and why.",
        "explain chat brief-7 team artwork service drafting";
    "create" "team" &[Slot::Team], TEAM, build::create_team,
        "Creates a team.", "create team artwork weight 200 rate 50/s";
    "update" "team" &[Slot::Team], TEAM, build::update_team,
        "Sets fields of a team.", "update team artwork open 40";
    "delete" "team" &[Slot::Team], &[], build::delete_team,
        "Deletes a team with its keys.", "delete team artwork";
    "create" "service" &[Slot::Service], &NEW_SERVICE, build::create_service,
        "Creates a service.", "create service drafting kind engine factor 1.25 repeatable true";
    "update" "service" &[Slot::Service], &SERVICE, build::update_service,
        "Sets fields of a service.", "update service drafting queue 64";
    "delete" "service" &[Slot::Service], &[], build::delete_service,
        "Deletes a service that nothing names.", "delete service drafting";
    "create" "rule" &[Slot::Rule], NEW_RULE, build::create_rule,
        "Creates a routing rule.", "create rule dies prefix /orders/dies service orders class keyed";
    "update" "rule" &[Slot::Rule], RULE, build::update_rule,
        "Sets fields of a routing rule.", "update rule dies methods POST,PUT";
    "delete" "rule" &[Slot::Rule], &[], build::delete_rule,
        "Deletes a routing rule.", "delete rule dies";
    "create" "operator" &[Slot::Operator], &[needed("roles", ROLES)], build::create_operator,
        "Creates an operator.", "create operator nadia roles read,operate";
    "update" "operator" &[Slot::Operator], &[needed("roles", ROLES)], build::update_operator,
        "Sets the roles of an operator.", "update operator nadia roles read,operate,administer";
    "delete" "operator" &[Slot::Operator], &[], build::delete_operator,
        "Deletes an operator with the keys.", "delete operator nadia";
    "add" "key" &[], KEY, build::add_key,
        "Adds a key to a team or an operator; only its SHA-256 is sent.",
        "add key team artwork env ARTWORK_KEY";
    "revoke" "key" &[], KEY, build::revoke_key,
        "Revokes a key of a team or an operator.",
        "revoke key operator nadia file nadia.key";
    "set" "override" &[], OVERRIDE, build::set_override,
        "Sets the override of a target, of a team at a service, or of a content.",
        "set override target drafting-4 weight none reason \"noisy fan\"";
    "clear" "override" &[], SUBJECT, build::clear_override,
        "Removes an override.", "clear override target drafting-4";
    "update" "fleet" &[], FLEET, build::update_fleet,
        "Sets values that concern the whole fleet.", "update fleet table_writes 200/s";
    "lift" "quarantine" &[Slot::Content], &[], build::lift_quarantine,
        "Lifts the quarantine of a content; later crashes count again.",
        "lift quarantine 00f3a8c15b2277de why \"engine is patched\"";
    "create" "plan" &[Slot::Plan], PLAN, build::create_plan,
        "Plans a change of targets, wave by wave, while keep targets of the service stay up.",
        "create plan nightly kind roll service drafting targets drafting-0,drafting-1 keep 1 model tin-draft version 8";
    "pause" "plan" &[Slot::Plan], &[], build::pause,
        "Lets a plan begin no more steps; a step under way is finished.", "pause plan nightly";
    "resume" "plan" &[Slot::Plan], &[], build::resume,
        "Lets a plan go on and tries failed steps again.", "resume plan nightly";
    "abort" "plan" &[Slot::Plan], &[], build::abort,
        "Puts the targets of a plan back into service and ends it.", "abort plan nightly";
    "confirm" "plan" &[Slot::Plan], &[needed("target", Slot::Target)], build::confirm,
        "Confirms that no order of a plan is under way at a target.",
        "confirm plan nightly target drafting-1";
    "export" "record" &[], &[], build::export,
        "Writes the whole history and the configuration as JSON.", "export record";
}

/// Returns the verbs in the order of help.
pub fn verbs() -> Vec<&'static str> {
    let mut verbs: Vec<&str> = Vec::new();
    for form in FORMS {
        if !verbs.contains(&form.verb) {
            verbs.push(form.verb);
        }
    }
    verbs
}

/// Returns the forms of a verb.
pub fn of_verb(verb: &str) -> Vec<&'static Form> {
    FORMS.iter().filter(|form| form.verb == verb).collect()
}
