//! Makes typed commands from words whose names are checked.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    ops::Range,
    str::FromStr,
};

use base::id;
use conf::{
    change::{Change, FleetUpdate, OperatorUpdate, RuleUpdate, ServiceUpdate, TeamUpdate},
    state::{
        Class, ContentOverride, Holder, Kind, Operator, Override, Role, Rule, Service, Share,
        ShareOverride, Subject, TargetOverride, Team,
    },
    value::KeyHash,
};
use plan::plan::{Artifact, Kind as PlanKind, Operation, Replace, Request, Roll};

use crate::{
    command::{self, Chat, Command, KeyOrder, Operate, Order, Query, Source},
    grammar::{Form, Slot},
    problem::Problem,
    word::Word,
};

/// Changes that `show changes` lists when no number is given.
const CHANGES: u32 = 10;

/// Most changes that `show changes` lists.
const MAX_CHANGES: u32 = 256;

/// Word that removes a limit or a condition.
const NONE: &str = "none";

/// Makes a typed command.
pub(crate) type Build = fn(&Given<'_>) -> Result<Command, Problem>;

/// The words of a command by their places.
pub(crate) struct Given<'a> {
    pub form: &'static Form,
    pub values: Vec<&'a Word>,
    pub pairs: BTreeMap<&'static str, &'a Word>,
    /// The words that name the fields.
    pub names: BTreeMap<&'static str, &'a Word>,
    /// The reason of an order.
    pub why: Option<&'a Word>,
    /// The place after the last word.
    pub end: Range<usize>,
}

type Built = Result<Command, Problem>;

impl Given<'_> {
    fn value<T: FromStr<Err: fmt::Display>>(&self, index: usize) -> Result<T, Problem> {
        read(self.values[index])
    }

    fn get<T: FromStr<Err: fmt::Display>>(&self, name: &str) -> Result<Option<T>, Problem> {
        self.pairs.get(name).map(|word| read(word)).transpose()
    }

    /// Reads a whole number.
    fn count(&self, name: &str) -> Result<Option<u32>, Problem> {
        self.pairs
            .get(name)
            .map(|word| {
                word.text.parse().map_err(|_| {
                    let message = format!("{:?} is not a whole number", word.text);
                    Problem::new(word.span.clone(), message)
                })
            })
            .transpose()
    }

    /// Reads a whole number or `none`.
    fn count_limit(&self, name: &str) -> Result<Option<Option<u32>>, Problem> {
        match self.pairs.get(name) {
            Some(word) if word.text == NONE => Ok(Some(None)),
            _ => Ok(self.count(name)?.map(Some)),
        }
    }

    /// Reads a field whose value may be `none`.
    fn limit<T: FromStr<Err: fmt::Display>>(
        &self,
        name: &str,
    ) -> Result<Option<Option<T>>, Problem> {
        match self.pairs.get(name) {
            Some(word) if word.text == NONE => Ok(Some(None)),
            _ => Ok(self.get(name)?.map(Some)),
        }
    }

    fn list<T: FromStr<Err: fmt::Display> + Ord>(
        &self,
        name: &str,
    ) -> Result<Option<BTreeSet<T>>, Problem> {
        if self.pairs.get(name).is_some_and(|word| word.text == NONE) {
            return Ok(Some(BTreeSet::new()));
        }
        let list = self.sequence(name)?;
        Ok(list.map(|list| list.into_iter().collect()))
    }

    /// Reads values that are separated by commas, in their order.
    fn sequence<T: FromStr<Err: fmt::Display>>(
        &self,
        name: &str,
    ) -> Result<Option<Vec<T>>, Problem> {
        let Some(word) = self.pairs.get(name) else {
            return Ok(None);
        };
        let mut at = word.span.start;
        let mut list = Vec::new();
        for text in word.text.split(',') {
            let part = Word {
                text: text.to_owned(),
                span: at..at + text.len(),
            };
            at += text.len() + 1;
            list.push(read(&part).map_err(|problem| self.suggest(name, &part, problem))?);
        }
        Ok(Some(list))
    }

    /// Adds the words of a list to a problem with one of them.
    fn suggest(&self, name: &str, part: &Word, problem: Problem) -> Problem {
        match self.form.field(name).map(|field| field.slot) {
            Some(Slot::Words(words)) => problem.allowed(words.iter().copied()).near(&part.text),
            _ => problem,
        }
    }

    /// Reads a field that has one of a few words as its value.
    fn choice<T: Copy + fmt::Display>(&self, name: &str, all: &[T]) -> Result<Option<T>, Problem> {
        let Some(word) = self.pairs.get(name) else {
            return Ok(None);
        };
        let found = all.iter().find(|value| value.to_string() == word.text);
        found.copied().map(Some).ok_or_else(|| {
            let message = format!("{:?} is not a value of {name}", word.text);
            Problem::new(word.span.clone(), message)
                .allowed(all.iter().map(T::to_string))
                .near(&word.text)
        })
    }

    fn text(&self, name: &str) -> String {
        self.pairs
            .get(name)
            .map_or_else(String::new, |word| word.text.clone())
    }

    fn has(&self, name: &str) -> bool {
        self.pairs.contains_key(name)
    }

    /// Reads a field that the parser has found to be present.
    fn needed<T: FromStr<Err: fmt::Display>>(&self, name: &str) -> Result<T, Problem> {
        match self.pairs.get(name) {
            Some(word) => read(word),
            None => Err(self.lacks(&[name])),
        }
    }

    fn lacks(&self, names: &[&str]) -> Problem {
        let Form { verb, noun, .. } = self.form;
        let message = format!("{verb} {noun} needs {}", names.join(" or "));
        Problem::new(self.end.clone(), message).allowed(names.iter().copied())
    }

    /// Checks that an update sets something.
    fn sets(&self) -> Result<(), Problem> {
        if !self.pairs.is_empty() {
            return Ok(());
        }
        let Form { verb, noun, .. } = self.form;
        let message = format!("{verb} {noun} needs at least one field");
        let names = self.form.fields.iter().map(|field| field.name);
        Err(Problem::new(self.end.clone(), message).allowed(names))
    }

    /// Checks that only these fields are given.
    fn only(&self, subject: &str, names: &[&str]) -> Result<(), Problem> {
        let other = self.names.iter().find(|(name, _)| !names.contains(name));
        let Some((name, word)) = other else {
            return Ok(());
        };
        let message = format!("{name} does not go with {subject}");
        Err(Problem::new(word.span.clone(), message).allowed(names.iter().copied()))
    }
}

fn read<T: FromStr<Err: fmt::Display>>(word: &Word) -> Result<T, Problem> {
    word.text.parse().map_err(|cause: T::Err| {
        let cause = cause.to_string();
        let message = match cause.contains(&word.text) && !word.text.is_empty() {
            true => cause,
            false => format!("{:?} is not valid: {cause}", word.text),
        };
        Problem::new(word.span.clone(), message)
    })
}

fn ask(query: Query) -> Built {
    Ok(Command::Ask(query))
}

fn change(change: Change) -> Built {
    Ok(Command::Give(Order::Change(change)))
}

macro_rules! queries {
    ($($name:ident $query:ident;)*) => {$(
        pub(crate) fn $name(_: &Given<'_>) -> Built {
            ask(Query::$query)
        }
    )*};
}

queries! {
    targets Targets;
    teams Teams;
    services Services;
    rules Rules;
    operators Operators;
    overrides Overrides;
    loads Loads;
    plans Plans;
    quarantine Quarantine;
    lagging Lagging;
    versions Versions;
}

pub(crate) fn configuration(given: &Given<'_>) -> Built {
    ask(Query::Configuration(given.get("at")?))
}

pub(crate) fn difference(given: &Given<'_>) -> Built {
    ask(Query::Difference(given.value(0)?, given.value(1)?))
}

pub(crate) fn changes(given: &Given<'_>) -> Built {
    let last = given.count("last")?.unwrap_or(CHANGES);
    if let Some(word) = given.pairs.get("last")
        && !(1..=MAX_CHANGES).contains(&last)
    {
        let message = format!("{last} changes cannot be listed; write 1 to {MAX_CHANGES}");
        return Err(Problem::new(word.span.clone(), message));
    }
    ask(Query::Changes(last))
}

pub(crate) fn explain(given: &Given<'_>) -> Built {
    ask(Query::Explain(Chat {
        text: given.values[0].text.clone(),
        team: given.needed("team")?,
        service: given.needed("service")?,
        turns: given.count("turns")?.unwrap_or(0),
    }))
}

pub(crate) fn create_team(given: &Given<'_>) -> Built {
    let mut team = Team::new(given.value(0)?);
    team.weight = given.get("weight")?.unwrap_or(team.weight);
    team.priority = given.get("priority")?.unwrap_or(team.priority);
    team.rate = given.limit("rate")?.flatten();
    team.open = given.count_limit("open")?.flatten();
    change(Change::CreateTeam(team))
}

pub(crate) fn update_team(given: &Given<'_>) -> Built {
    given.sets()?;
    change(Change::UpdateTeam(TeamUpdate {
        id: given.value(0)?,
        weight: given.get("weight")?,
        priority: given.get("priority")?,
        rate: given.limit("rate")?,
        open: given.count_limit("open")?,
    }))
}

pub(crate) fn delete_team(given: &Given<'_>) -> Built {
    change(Change::DeleteTeam(given.value(0)?))
}

const KINDS: [Kind; 2] = [Kind::Engine, Kind::Plain];

fn service(given: &Given<'_>) -> Result<ServiceUpdate, Problem> {
    Ok(ServiceUpdate {
        id: given.value(0)?,
        kind: given.choice("kind", &KINDS)?,
        factor: given.get("factor")?,
        floor: given.count("floor")?,
        slots: given.count("slots")?,
        queue: given.count("queue")?,
        repeatable: given.choice("repeatable", &[true, false])?,
        deterministic: given.choice("deterministic", &[true, false])?,
        fencing: given.choice("fencing", &[true, false])?,
        quarantine: given.get("quarantine")?,
        warm_up: given.get("warm_up")?,
    })
}

pub(crate) fn create_service(given: &Given<'_>) -> Built {
    let set = service(given)?;
    let kind = set.kind.ok_or_else(|| given.lacks(&["kind"]))?;
    let new = Service::new(set.id, kind);
    change(Change::CreateService(Service {
        factor: set.factor.unwrap_or(new.factor),
        floor: set.floor.unwrap_or(new.floor),
        slots: set.slots.unwrap_or(new.slots),
        queue: set.queue.unwrap_or(new.queue),
        repeatable: set.repeatable.unwrap_or(new.repeatable),
        deterministic: set.deterministic.unwrap_or(new.deterministic),
        fencing: set.fencing.unwrap_or(new.fencing),
        quarantine: set.quarantine.unwrap_or(new.quarantine),
        warm_up: set.warm_up.unwrap_or(new.warm_up),
        ..new
    }))
}

pub(crate) fn update_service(given: &Given<'_>) -> Built {
    given.sets()?;
    change(Change::UpdateService(service(given)?))
}

pub(crate) fn delete_service(given: &Given<'_>) -> Built {
    change(Change::DeleteService(given.value(0)?))
}

const CLASSES: [Class; 3] = [Class::Repeatable, Class::Once, Class::Keyed];

pub(crate) fn create_rule(given: &Given<'_>) -> Built {
    let mut rule = Rule::new(
        given.value(0)?,
        given.needed("prefix")?,
        given.needed("service")?,
    );
    rule.methods = given.list("methods")?.unwrap_or_default();
    rule.model = given.get("model")?;
    rule.class = given.choice("class", &CLASSES)?;
    change(Change::CreateRule(rule))
}

pub(crate) fn update_rule(given: &Given<'_>) -> Built {
    given.sets()?;
    let mut update = RuleUpdate::new(given.value(0)?);
    update.prefix = given.get("prefix")?;
    update.methods = given.list("methods")?;
    update.model = given.limit("model")?;
    update.service = given.get("service")?;
    update.class = match given.pairs.get("class") {
        Some(word) if word.text == NONE => Some(None),
        _ => given.choice("class", &CLASSES)?.map(Some),
    };
    change(Change::UpdateRule(update))
}

pub(crate) fn delete_rule(given: &Given<'_>) -> Built {
    change(Change::DeleteRule(given.value(0)?))
}

pub(crate) fn create_operator(given: &Given<'_>) -> Built {
    let roles = given.list::<Role>("roles")?.unwrap_or_default();
    change(Change::CreateOperator(Operator::new(
        given.value(0)?,
        roles,
    )))
}

pub(crate) fn update_operator(given: &Given<'_>) -> Built {
    change(Change::UpdateOperator(OperatorUpdate {
        id: given.value(0)?,
        roles: given.list("roles")?.unwrap_or_default(),
    }))
}

pub(crate) fn delete_operator(given: &Given<'_>) -> Built {
    change(Change::DeleteOperator(given.value(0)?))
}

/// Fields that say where a key comes from.
const SOURCES: [&str; 4] = ["hash", "secret", "file", "env"];

fn key(given: &Given<'_>, add: bool) -> Built {
    let holder = match (given.get("team")?, given.get("operator")?) {
        (Some(team), None) => Holder::Team(team),
        (None, Some(operator)) => Holder::Operator(operator),
        (None, None) => return Err(given.lacks(&["team", "operator"])),
        (Some(_), Some(_)) => {
            let word = given.pairs["operator"];
            let message = "a key belongs to a team or to an operator, not to both";
            return Err(Problem::new(word.span.clone(), message));
        }
    };
    let mut sources = SOURCES.iter().filter(|name| given.has(name));
    let Some(source) = sources.next() else {
        return Err(given.lacks(&SOURCES));
    };
    if let Some(other) = sources.next() {
        let message = format!("the key comes from {source} or from {other}, not from both");
        return Err(Problem::new(given.pairs[other].span.clone(), message));
    }
    let text = given.text(source);
    let source = match *source {
        "hash" => {
            return Ok(Command::Give(command::key(
                add,
                &holder,
                given.needed("hash")?,
            )));
        }
        "secret" => {
            let hash = KeyHash::of(&text);
            return Ok(Command::Give(command::key(add, &holder, hash)));
        }
        "file" => Source::File(text),
        _ => Source::Variable(text),
    };
    Ok(Command::Key(KeyOrder {
        add,
        holder,
        source,
    }))
}

pub(crate) fn add_key(given: &Given<'_>) -> Built {
    key(given, true)
}

pub(crate) fn revoke_key(given: &Given<'_>) -> Built {
    key(given, false)
}

fn subject(given: &Given<'_>) -> Result<Subject, Problem> {
    if given.has("target") {
        return Ok(Subject::Target(given.needed("target")?));
    }
    if given.has("content") {
        return Ok(Subject::Content(given.needed("content")?));
    }
    if given.has("team") || given.has("service") {
        return Ok(Subject::Share(Share {
            team: given.needed("team")?,
            service: given.needed("service")?,
        }));
    }
    Err(given.lacks(&["target", "team", "content"]))
}

pub(crate) fn set_override(given: &Given<'_>) -> Built {
    let reason = given.text("reason");
    let entry = match subject(given)? {
        Subject::Target(target) => {
            given.only("target", &["target", "weight", "reason"])?;
            let weight = given.limit("weight")?;
            Override::Target(TargetOverride {
                target,
                weight: weight.ok_or_else(|| given.lacks(&["weight"]))?,
                reason,
            })
        }
        Subject::Share(share) => {
            let names = [
                "team", "service", "weight", "priority", "rate", "open", "reason",
            ];
            given.only("team", &names)?;
            Override::Share(ShareOverride {
                share,
                weight: given.get("weight")?,
                priority: given.get("priority")?,
                rate: given.get("rate")?,
                open: given.count("open")?,
                reason,
            })
        }
        Subject::Content(fingerprint) => {
            given.only("content", &["content", "reason"])?;
            Override::Content(ContentOverride {
                fingerprint,
                reason,
            })
        }
    };
    Ok(Command::Give(command::set(entry)))
}

pub(crate) fn clear_override(given: &Given<'_>) -> Built {
    let subject = subject(given)?;
    let names: &[&str] = match &subject {
        Subject::Target(_) => &["target"],
        Subject::Share(_) => &["team", "service"],
        Subject::Content(_) => &["content"],
    };
    given.only(names[0], names)?;
    Ok(Command::Give(command::clear(subject)))
}

pub(crate) fn update_fleet(given: &Given<'_>) -> Built {
    given.sets()?;
    change(Change::UpdateFleet(FleetUpdate {
        weight_loads: given.count("weight_loads")?,
        weight_rate: given.get("weight_rate")?,
        table_reads: given.get("table_reads")?,
        table_writes: given.get("table_writes")?,
    }))
}

fn artifact(given: &Given<'_>, names: [&'static str; 3]) -> Result<Option<Artifact>, Problem> {
    let [model, adapter, version] = names;
    let artifact = match given.get(model)? {
        Some(model) => Artifact {
            model,
            adapter: given.get(adapter)?,
            version: given.get(version)?,
        },
        None if given.has(adapter) || given.has(version) => return Err(given.lacks(&[model])),
        None => return Ok(None),
    };
    Ok(Some(artifact))
}

/// Reads the replacements, which stand in the order of the targets.
fn replacements(given: &Given<'_>, targets: &[id::TargetId]) -> Result<Replace, Problem> {
    let by: Vec<id::TargetId> = given.sequence("by")?.ok_or_else(|| given.lacks(&["by"]))?;
    if by.len() != targets.len() {
        let message = format!(
            "{} targets need as many in by, not {}",
            targets.len(),
            by.len()
        );
        return Err(Problem::new(given.pairs["by"].span.clone(), message));
    }
    let by = targets.iter().cloned().zip(by).collect();
    Ok(Replace { by })
}

const LOAD: [&str; 3] = ["model", "adapter", "version"];
const UNLOAD: [&str; 3] = ["unload_model", "unload_adapter", "unload_version"];

/// Fields of every plan.
const PLAN: [&str; 5] = ["kind", "service", "targets", "keep", "wave"];

pub(crate) fn create_plan(given: &Given<'_>) -> Built {
    let targets: Vec<id::TargetId> = given
        .sequence("targets")?
        .ok_or_else(|| given.lacks(&["targets"]))?;
    let name = given.choice("kind", &["drain", "replace", "roll", "role"])?;
    let name = name.ok_or_else(|| given.lacks(&["kind"]))?;
    let own: &[&str] = match name {
        "replace" => &["by"],
        "roll" => &[LOAD[0], LOAD[1], LOAD[2], UNLOAD[0], UNLOAD[1], UNLOAD[2]],
        "role" => &["role"],
        _ => &[],
    };
    given.only(&format!("kind {name}"), &[&PLAN, own].concat())?;
    let kind = match name {
        "replace" => PlanKind::Replace(replacements(given, &targets)?),
        "roll" => PlanKind::Roll(Roll {
            load: artifact(given, LOAD)?.ok_or_else(|| given.lacks(&["model"]))?,
            unload: artifact(given, UNLOAD)?,
        }),
        "role" => PlanKind::Role(given.get("role")?.ok_or_else(|| given.lacks(&["role"]))?),
        _ => PlanKind::Drain,
    };
    Ok(Command::Give(Order::Plan(Request {
        id: given.value(0)?,
        service: given.needed("service")?,
        kind,
        targets,
        wave: given.count("wave")?.unwrap_or(1),
        keep: given.count("keep")?.ok_or_else(|| given.lacks(&["keep"]))?,
    })))
}

fn operate(given: &Given<'_>, operation: Operation) -> Built {
    Ok(Command::Give(Order::Operate(Operate {
        plan: given.value(0)?,
        operation,
    })))
}

pub(crate) fn pause(given: &Given<'_>) -> Built {
    operate(given, Operation::Pause)
}

pub(crate) fn resume(given: &Given<'_>) -> Built {
    operate(given, Operation::Resume)
}

pub(crate) fn abort(given: &Given<'_>) -> Built {
    operate(given, Operation::Abort)
}

pub(crate) fn confirm(given: &Given<'_>) -> Built {
    operate(given, Operation::Confirm(given.needed("target")?))
}

pub(crate) fn lift_quarantine(given: &Given<'_>) -> Built {
    change(Change::LiftQuarantine(given.value(0)?))
}

pub(crate) fn export(_: &Given<'_>) -> Built {
    Ok(Command::Export)
}
