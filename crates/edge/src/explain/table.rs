//! Prints a report as a table.

use std::fmt::{self, Display, Formatter};

use super::report::{Report, Target};

/// Displays a report for operators: a few lines on the decision, and a line for each
/// target.
#[derive(Clone, Copy, Debug)]
pub struct Table<'a>(pub &'a Report);

const HEADER: [&str; 8] = [
    "target",
    "centre",
    "load",
    "contention",
    "missing",
    "cost",
    "state",
    "outcome",
];

impl Display for Table<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let report = self.0;
        writeln!(
            f,
            "router {} in {}, configuration {}, seed {}",
            report.router, report.centre, report.version, report.seed
        )?;
        let or_none = |value: &Option<String>| value.clone().unwrap_or_else(|| "none".to_owned());
        write!(
            f,
            "rule {}, service {}, team {}",
            or_none(&report.rule),
            or_none(&report.service),
            or_none(&report.team)
        )?;
        match report.left_ms {
            Some(left) => writeln!(f, ", {left} ms left")?,
            None => writeln!(f)?,
        }
        write_admission(f, report)?;
        if let Some(choice) = &report.choice {
            write!(
                f,
                "target {}: {}, cost {} us, targets full from load {}, {:.0}% of the slots in use",
                choice.target,
                choice.reason,
                choice.cost_us,
                choice.spill_load,
                choice.utilization_percent
            )?;
            match &choice.source {
                Some(source) => writeln!(f, ", fetches from {source}")?,
                None => writeln!(f)?,
            }
        }
        if let Some(hedge) = &report.hedge {
            write!(f, "second attempt: {}", hedge.outcome)?;
            if let Some(delay) = hedge.delay_ms {
                write!(f, ", after {delay} ms")?;
            }
            if let Some(target) = &hedge.target {
                write!(f, ", target {target}")?;
            }
            writeln!(f)?;
        }
        write_targets(f, &report.targets)
    }
}

fn write_admission(f: &mut Formatter<'_>, report: &Report) -> fmt::Result {
    let admission = &report.admission;
    match &admission.reason {
        None => write!(f, "would be sent")?,
        Some(reason) => write!(f, "would be refused: {reason}")?,
    }
    if let Some(after) = admission.retry_after_ms {
        write!(f, ", retry after {after} ms")?;
    }
    if let (Some(probability), Some(random)) = (admission.shed_probability, admission.random) {
        write!(f, " (shed below {probability:.3}, drawn {random:.3})")?;
    }
    writeln!(f)
}

fn write_targets(f: &mut Formatter<'_>, targets: &[Target]) -> fmt::Result {
    if targets.is_empty() {
        return Ok(());
    }
    let mut rows = vec![HEADER.iter().map(|name| (*name).to_owned()).collect()];
    rows.extend(targets.iter().map(cells));
    let widths: Vec<usize> = (0..HEADER.len())
        .map(|column| rows.iter().map(|row: &Vec<String>| row[column].len()).max())
        .map(Option::unwrap_or_default)
        .collect();
    writeln!(f)?;
    for row in &rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:width$}  "));
        }
        writeln!(f, "{}", line.trim_end())?;
    }
    Ok(())
}

fn cells(target: &Target) -> Vec<String> {
    let mut states = Vec::new();
    if target.cold {
        states.push("cold".to_owned());
    }
    if target.leaving {
        states.push("leaving".to_owned());
    }
    if let Some(left) = target.paused_ms {
        states.push(format!("paused {left} ms"));
    }
    if target.blocked {
        states.push("blocked".to_owned());
    }
    let state = match states.is_empty() {
        true => "-".to_owned(),
        false => states.join(", "),
    };
    let outcome = serde_json::to_value(target.outcome).ok();
    let outcome = outcome.as_ref().and_then(|value| value.as_str());
    vec![
        target.id.clone(),
        target.centre.clone(),
        format!("{}/{}", target.load, target.slots),
        format!("{}%", target.contention_percent),
        target.missing_tokens.to_string(),
        target
            .cost_us
            .map_or_else(|| "-".to_owned(), |cost| format!("{cost} us")),
        state,
        outcome.unwrap_or_default().to_owned(),
    ]
}
