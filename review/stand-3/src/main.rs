//! The scripts of the third review. `review-stand-3 CASE RECORD` plays a case, writes its
//! record, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod crashing;
mod deployment;
mod drill_config;
mod drill_drain;
mod drill_evacuate;
mod groups;
mod http;
mod json;
mod length;
mod record;
mod router;
mod runner;
mod store;

use std::{env, io, path::PathBuf, process::ExitCode};

use record::Record;

/// Whether the rule held.
pub type Verdict = io::Result<bool>;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-stand-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::start();
    record.say(&format!("case {case}, disruption: {trouble}"));
    let verdict = match case.as_str() {
        "drill-config" => drill_config::play(&record, trouble),
        "drill-drain" => drill_drain::play(&record, trouble),
        "drill-evacuate" => drill_evacuate::play(&record, trouble),
        "groups" => groups::play(&record, trouble),
        "length" => length::play(&record, trouble, false),
        "length-chunked" => length::play(&record, trouble, true),
        _ => Err(io::Error::other("no such case")),
    };
    let code = match &verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    record.say(&match verdict {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "the rule was broken".to_owned(),
        Err(error) => format!("the case could not run: {error}"),
    });
    if let Err(error) = record.save(&PathBuf::from(path)) {
        eprintln!("the record cannot be written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
