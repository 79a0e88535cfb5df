//! The cases of the second review: `review-stand-2 CASE RECORD`, in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` there is no disruption.

mod http;
mod json;
mod leaving;
mod letters;
mod parts;
mod record;
mod revoked;
mod router;
mod runner;
mod store;

use std::{env, io, path::Path, process::ExitCode};

use record::Record;

/// Whether the rule was broken, with one line that says how.
pub struct Verdict {
    /// Whether it was broken.
    broken: bool,
    /// What was seen.
    seen: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-stand-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let verdict = match case.as_str() {
        "leaving" => leaving::play(&record, trouble),
        "letters" => letters::play(&record, trouble),
        "parts" => parts::play(&record, trouble, parts::USUAL),
        "quiet" => parts::play(&record, trouble, parts::QUIET),
        "revoked" => revoked::play(&record, trouble),
        _ => Err(io::Error::other("no such case")),
    };
    let (code, line) = match verdict {
        Ok(verdict) if verdict.broken => (1, format!("broken: {}", verdict.seen)),
        Ok(verdict) => (0, format!("held: {}", verdict.seen)),
        Err(error) => (2, format!("could not run: {error}")),
    };
    println!("{line}");
    let head = format!("case {case}, disruption: {trouble}\n{line}");
    if let Err(error) = record.write(Path::new(path), &head) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
