//! Shows answers as text tables.

use std::fmt::Write;

use base::id;
use conf::{row::ChangeRow, state, value::KeyHash};
use plan::plan::{Kind, Plan, Stage};
use serde::Serialize;

use crate::{
    answer::{Answer, Difference, Explanation, Preview, Versions},
    grammar::{self, Form},
};

/// Shown for a value that is not set.
const NONE: &str = "-";

/// A table with left-aligned columns.
struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|name| (*name).to_owned()).collect();
        Self { rows: vec![head] }
    }

    fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn text(&self) -> String {
        let columns = self.rows[0].len();
        let widths: Vec<usize> = (0..columns)
            .map(|column| {
                let cells = self.rows.iter().map(|row| row[column].chars().count());
                cells.max().unwrap_or(0)
            })
            .collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            text += cells.join("  ").trim_end();
            text.push('\n');
        }
        text
    }
}

fn show<T: ToString>(value: &Option<T>) -> String {
    value.as_ref().map_or(NONE.to_owned(), T::to_string)
}

fn list<T: ToString>(values: impl IntoIterator<Item = T>) -> String {
    let texts: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
    match texts.is_empty() {
        true => NONE.to_owned(),
        false => texts.join(","),
    }
}

fn keys<'a>(keys: impl IntoIterator<Item = &'a KeyHash>) -> String {
    list(keys.into_iter().map(KeyHash::short))
}

/// Shows an answer as text.
pub fn text(answer: &Answer) -> String {
    match answer {
        Answer::Targets(targets) => {
            let mut table = Table::new(&[
                "SERVICE", "TARGET", "CENTRE", "STANDING", "WEIGHT", "LOAD", "CAP", "VERSION",
            ]);
            for target in targets {
                table.row(vec![
                    target.service.to_string(),
                    target.target.to_string(),
                    target.centre.to_string(),
                    target.standing.clone(),
                    target.weight.to_string(),
                    target.load.to_string(),
                    target.cap.to_string(),
                    target.version.to_string(),
                ]);
            }
            table.text()
        }
        Answer::Teams(all) => teams(all),
        Answer::Services(all) => services(all),
        Answer::Rules(all) => rules(all),
        Answer::Operators(all) => operators(all),
        Answer::Overrides(all) => overrides(all),
        Answer::Loads(loads) => {
            let mut table = Table::new(&[
                "SERVICE", "OPEN", "TARGETS", "LOAD", "MEAN", "HIGHEST", "CAP",
            ]);
            for load in loads {
                let mean = f64::from(load.load) / f64::from(load.targets.max(1));
                table.row(vec![
                    load.service.to_string(),
                    load.open.to_string(),
                    load.targets.to_string(),
                    load.load.to_string(),
                    format!("{mean:.1}"),
                    load.highest.to_string(),
                    load.cap.to_string(),
                ]);
            }
            table.text()
        }
        Answer::Plans(plans) => {
            let mut table = Table::new(&[
                "PLAN",
                "STATE",
                "SERVICE",
                "WHAT",
                "KEEP",
                "DONE",
                "UNDER WAY",
                "REASON",
            ]);
            for plan in plans {
                table.row(planned(plan));
            }
            table.text()
        }
        Answer::Quarantine(suspects) => {
            let mut table = Table::new(&["CONTENT", "SERVICE", "REFUSED", "ENDS IN", "TARGETS"]);
            for suspect in suspects {
                table.row(vec![
                    suspect.fingerprint.to_string(),
                    match suspect.service.is_empty() {
                        true => NONE.to_owned(),
                        false => suspect.service.clone(),
                    },
                    suspect.refused.to_string(),
                    format!("{}s", suspect.remaining.as_millis().div_ceil(1000)),
                    list(&suspect.targets),
                ]);
            }
            table.text()
        }
        Answer::Configuration(configuration) => whole(configuration),
        Answer::Difference(difference) => differences(difference),
        Answer::Changes(rows) => changes(rows),
        Answer::Lagging(versions) | Answer::Versions(versions) => members(versions),
        Answer::Explanation(explanation) => explained(explanation),
        Answer::Record(page) => json(page),
        Answer::Me(me) => format!(
            "operator {} roles {} version {}\n",
            me.operator,
            list(&me.roles),
            me.version
        ),
    }
}

/// Writes a value as JSON, for other programs.
pub fn json<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value)
        .expect("answers have no maps with other keys than text");
    text.push('\n');
    text
}

fn teams<'a>(all: impl IntoIterator<Item = &'a state::Team>) -> String {
    let mut table = Table::new(&["TEAM", "WEIGHT", "PRIORITY", "RATE", "OPEN", "KEYS"]);
    for team in all {
        table.row(vec![
            team.id.to_string(),
            team.weight.to_string(),
            team.priority.to_string(),
            show(&team.rate),
            show(&team.open),
            keys(&team.keys),
        ]);
    }
    table.text()
}

fn services<'a>(all: impl IntoIterator<Item = &'a state::Service>) -> String {
    let mut table = Table::new(&[
        "SERVICE",
        "KIND",
        "FACTOR",
        "FLOOR",
        "SLOTS",
        "QUEUE",
        "REPEATABLE",
        "DETERMINISTIC",
        "FENCING",
        "QUARANTINE",
        "WARM_UP",
    ]);
    for service in all {
        table.row(vec![
            service.id.to_string(),
            service.kind.to_string(),
            service.factor.to_string(),
            service.floor.to_string(),
            service.slots.to_string(),
            service.queue.to_string(),
            service.repeatable.to_string(),
            service.deterministic.to_string(),
            service.fencing.to_string(),
            service.quarantine.to_string(),
            service.warm_up.to_string(),
        ]);
    }
    table.text()
}

fn rules<'a>(all: impl IntoIterator<Item = &'a state::Rule>) -> String {
    let mut table = Table::new(&["RULE", "PREFIX", "METHODS", "MODEL", "SERVICE", "CLASS"]);
    for rule in all {
        table.row(vec![
            rule.id.to_string(),
            rule.prefix.to_string(),
            list(&rule.methods),
            show(&rule.model),
            rule.service.to_string(),
            show(&rule.class),
        ]);
    }
    table.text()
}

fn operators<'a>(all: impl IntoIterator<Item = &'a state::Operator>) -> String {
    let mut table = Table::new(&["OPERATOR", "ROLES", "KEYS"]);
    for operator in all {
        table.row(vec![
            operator.id.to_string(),
            list(&operator.roles),
            keys(&operator.keys),
        ]);
    }
    table.text()
}

fn overrides<'a>(all: impl IntoIterator<Item = &'a state::Override>) -> String {
    let mut table = Table::new(&["SUBJECT", "SETS", "REASON"]);
    for entry in all {
        let (sets, reason) = match entry {
            state::Override::Target(entry) => {
                let weight = entry.weight.map_or("none".to_owned(), |w| w.to_string());
                (format!("weight={weight}"), &entry.reason)
            }
            state::Override::Share(entry) => {
                let fields = [
                    ("weight", entry.weight.map(|value| value.to_string())),
                    ("priority", entry.priority.map(|value| value.to_string())),
                    ("rate", entry.rate.map(|value| value.to_string())),
                    ("open", entry.open.map(|value| value.to_string())),
                ];
                let set: Vec<String> = fields
                    .into_iter()
                    .filter_map(|(name, value)| Some(format!("{name}={}", value?)))
                    .collect();
                (set.join(" "), &entry.reason)
            }
            state::Override::Content(entry) => ("refused".to_owned(), &entry.reason),
        };
        table.row(vec![entry.subject().to_string(), sets, reason.clone()]);
    }
    table.text()
}

fn whole(configuration: &state::Configuration) -> String {
    let fleet = configuration.fleet();
    let mut text = format!("version {}\n\n", configuration.version());
    text += &services(configuration.services().values().map(AsRef::as_ref));
    text.push('\n');
    text += &rules(configuration.rules().values().map(AsRef::as_ref));
    text.push('\n');
    text += &teams(configuration.teams().values().map(AsRef::as_ref));
    text.push('\n');
    text += &operators(configuration.operators().values().map(AsRef::as_ref));
    text.push('\n');
    text += &overrides(configuration.overrides().values().map(AsRef::as_ref));
    writeln!(
        text,
        "\nfleet weight_loads={} weight_rate={} table_reads={} table_writes={}",
        fleet.weight_loads, fleet.weight_rate, fleet.table_reads, fleet.table_writes
    )
    .expect("writing to a string does not fail");
    text
}

fn differences(difference: &Difference) -> String {
    let Difference { from, to, lines } = difference;
    let mut text = format!("from version {from} to version {to}\n");
    text += &entries(lines);
    text
}

fn entries(lines: &[String]) -> String {
    match lines.is_empty() {
        true => "  nothing differs\n".to_owned(),
        false => lines.iter().map(|line| format!("  {line}\n")).collect(),
    }
}

/// Shows the difference that a change would make.
pub fn preview(preview: &Preview) -> String {
    format!(
        "after version {}, this would change:\n{}",
        preview.base,
        entries(&preview.lines)
    )
}

fn changes(rows: &[ChangeRow]) -> String {
    let mut table = Table::new(&["VERSION", "WHEN", "WHO", "WHAT", "WHY"]);
    for row in rows {
        let command = &row.command;
        let why = match command.why.is_empty() {
            true => NONE.to_owned(),
            false => command.why.clone(),
        };
        table.row(vec![
            row.version.to_string(),
            time(command.when),
            command.who.to_string(),
            command.change.to_string(),
            why,
        ]);
    }
    table.text()
}

/// Writes milliseconds since the Unix epoch as a date and a time in UTC.
fn time(millis: u64) -> String {
    if millis == 0 {
        return NONE.to_owned();
    }
    let seconds = millis / 1000;
    let (year, month, day) = date(seconds / 86_400);
    let (hour, minute, second) = (seconds / 3600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day of a number of days since 1970-01-01. Years are
/// counted from March, so that the leap day is the last day of a year.
fn date(days: u64) -> (u64, u64, u64) {
    /// Days from 0000-03-01 to 1970-01-01.
    const EPOCH: u64 = 719_468;
    /// Days of 400 years.
    const ERA: u64 = 146_097;
    let days = days + EPOCH;
    let era = days / ERA;
    let day = days % ERA;
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let rest = day - (365 * year + year / 4 - year / 100);
    let shifted = (5 * rest + 2) / 153;
    let month = if shifted < 10 {
        shifted + 3
    } else {
        shifted - 9
    };
    let early = u64::from(month <= 2);
    (
        era * 400 + year + early,
        month,
        rest - (153 * shifted + 2) / 5 + 1,
    )
}

fn members(versions: &Versions) -> String {
    let mut text = format!(
        "version {} here, lowest {} among {} members\n",
        versions.version, versions.lowest, versions.members
    );
    if versions.list.is_empty() {
        text += "no member lags\n";
        return text;
    }
    let mut table = Table::new(&["PROCESS", "ROLE", "VERSION"]);
    for member in &versions.list {
        table.row(vec![
            member.process.to_string(),
            member.role.clone(),
            member.version.to_string(),
        ]);
    }
    text + &table.text()
}

fn explained(explanation: &Explanation) -> String {
    let target = show(&explanation.target);
    let mut text = format!(
        "chat {} goes to {target}: {}\n",
        explanation.chat, explanation.reason
    );
    if let Some(previous) = &explanation.previous {
        text += &format!("its cache may be at {previous}\n");
    }
    for passed in &explanation.passed {
        text += &format!("passed over {}: {}\n", passed.target, passed.cause);
    }
    let share = &explanation.share;
    text += &format!(
        "team {} has weight {} priority {} rate {} open {}\n",
        share.id,
        share.weight,
        share.priority,
        show(&share.rate),
        show(&share.open)
    );
    text
}

fn planned(plan: &Plan) -> Vec<String> {
    let done = plan
        .targets
        .values()
        .filter(|target| target.steps.is_empty());
    let busy = plan
        .targets
        .iter()
        .filter(|(_, target)| target.stage != Stage::Waiting)
        .filter_map(|(id, target)| Some((id, target.step()?, &target.stage)))
        .map(|(id, step, stage)| match stage {
            Stage::Failed(cause) => format!("{id} failed to {step}: {cause}"),
            Stage::Unsettled(_) => format!("{id} may still {step}; confirm"),
            _ => format!("{id} {step}"),
        });
    vec![
        plan.id.to_string(),
        plan.state.to_string(),
        plan.service.to_string(),
        kind(&plan.kind),
        plan.keep.to_string(),
        format!("{} of {}", done.count(), plan.targets.len()),
        list(busy),
        plan.reason.clone(),
    ]
}

/// Writes what a plan does on one line.
pub fn kind(kind: &Kind) -> String {
    match kind {
        Kind::Drain => "drain".to_owned(),
        Kind::Replace(replace) => {
            let pairs = replace
                .by
                .iter()
                .map(|(old, new)| format!("{old} by {new}"));
            format!("replace {}", list(pairs))
        }
        Kind::Roll(roll) => match &roll.unload {
            Some(unload) => format!("roll {}, unload {unload}", roll.load),
            None => format!("roll {}", roll.load),
        },
        Kind::Role(role) => format!("role {role}"),
    }
}

/// Shows what was accepted.
pub fn accepted(version: id::Version) -> String {
    format!("accepted as version {version}\n")
}

/// Explains the commands, all or those with one verb.
pub fn help(verb: Option<&str>) -> String {
    let forms: Vec<&Form> = grammar::FORMS
        .iter()
        .filter(|form| verb.is_none_or(|verb| form.verb == verb))
        .collect();
    let mut text = String::new();
    for form in forms {
        text += &form.usage();
        text.push('\n');
        if verb.is_some() {
            text += &format!("    {}\n    for example: {}\n", form.about, form.example);
        }
    }
    text
}
