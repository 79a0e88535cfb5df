//! Requests with a part that crashes runners come in groups, some with a long document.

use std::{thread, time::Duration};

use crate::{Verdict, crashing, record::Record, runner::CRASHING_PART};

/// A part that is as rare as the one that crashes runners.
const SOUND_PART: &str = "badbad00";

/// Routers, which get the requests of a group in turn.
const ROUTERS: u8 = 6;

/// Number of requests of a group.
const GROUP: usize = 8;

/// Tokens of the documents and of the last parts, which the requests of a group have in
/// turn.
const TOKENS: [[u32; 2]; 2] = [[500, 250], [30_000, 11_000]];

/// Interval of the groups.
const INTERVAL: Duration = Duration::from_millis(2_200);

/// Number of groups.
const GROUPS: u32 = 5;

/// Plays the case.
///
/// # Errors
///
/// When it cannot run.
pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = crashing::start(record, ROUTERS, true)?;
    let part = match trouble {
        true => CRASHING_PART,
        false => SOUND_PART,
    };
    let runners = crashing::run(&mut deployment, true, |deployment, _| {
        thread::sleep(Duration::from_secs(2));
        record.say(&format!("groups of requests with the part {part} come"));
        for group in 0..GROUPS {
            let begin = record.now();
            for request in 0..GROUP {
                let router = request % deployment.routers.len();
                let tokens = TOKENS[request % TOKENS.len()];
                deployment.send_document(router, part, tokens);
            }
            record.line(&format!("group {} was sent", group + 1));
            deployment.sleep_until(begin + INTERVAL);
        }
    });
    crashing::judge(&mut deployment, &runners, part)
}
