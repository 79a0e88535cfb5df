//! Plays a case of the review against routers that run as processes of their own.
//!
//! `review-stand NAME RECORD` plays the case NAME and writes the file RECORD; with
//! `TROUBLE=0` in the environment it leaves the disruption out. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod runner;
mod site;
mod store;

use std::{env, process};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("runner") => {
            if runner::run(runner::Options::parse(&arguments)).is_err() {
                process::exit(2);
            }
        }
        Some(name) if arguments.len() == 2 => process::exit(cases::play(name, &arguments[1])),
        _ => process::exit(2),
    }
}
