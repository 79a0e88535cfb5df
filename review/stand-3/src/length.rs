//! Requests with a part that crashes runners come again and again, while the streams of
//! sound requests come with their length.

use std::{thread, time::Duration};

use crate::{Verdict, crashing, record::Record, runner::CRASHING_PART};

/// A part that is as rare as the one that crashes runners.
const SOUND_PART: &str = "badbad00";

/// Time for which requests with the part come.
const WATCHED: Duration = Duration::from_secs(20);

/// Plays the case.
///
/// # Errors
///
/// When it cannot run.
pub fn play(record: &Record, trouble: bool, is_chunked: bool) -> Verdict {
    let mut deployment = crashing::start(record, 2, is_chunked)?;
    let part = match trouble {
        true => CRASHING_PART,
        false => SOUND_PART,
    };
    let runners = crashing::run(&mut deployment, is_chunked, |deployment, _| {
        thread::sleep(Duration::from_secs(2));
        record.say(&format!("requests with the part {part} begin to come"));
        crashing::send_part(deployment, part, record.now() + WATCHED);
    });
    crashing::judge(&mut deployment, &runners, part)
}
