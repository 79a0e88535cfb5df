//! The chats of a placement measurement: seeded, so that a run can be repeated.
//!
//! Time is shorter than in a deployment: a pause of seconds stands for minutes,
//! so that a run of half a minute holds several turns of each chat.

use std::{ops, time::Duration};

use base::hash;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Tokens of a shared system prompt.
const SYSTEM_TOKENS: ops::Range<usize> = 256..768;

/// Shared system prompts of a team.
const SYSTEM_PROMPTS: u64 = 2;

/// Tokens of one message of a user.
const USER_TOKENS: ops::Range<usize> = 40..160;

/// Tokens of one response.
const ANSWER_TOKENS: ops::Range<u32> = 24..57;

/// Turns of one chat.
const TURNS: ops::Range<usize> = 4..13;

/// Pause before a turn, in milliseconds: most are short, some are long.
const PAUSE: ops::Range<u64> = 800..5000;

/// One in this many pauses is four times as long.
const LONG: u64 = 8;

/// Mean time between two turns of a chat: the pause, with the long ones, and
/// the response.
pub const TURN_TIME: Duration = Duration::from_millis(5700);

/// Shares, in hundredths, of callers that are in a long and in a short pause at
/// any moment, and the longest that is usually left of each; the others are in a
/// response, after which a pause follows.
/// Callers that all began with a short pause would return as a wave.
const STATIONARY: [(u64, u64); 3] = [(25, 13_000), (45, 3400), (30, 5500)];

/// Returns the time after which a caller sends its first turn, so that the load
/// is steady from the start.
pub fn first_pause(bits: u64) -> Duration {
    let part = hash::mix(bits, 1) % 1000;
    let mut point = bits % 100;
    for (share, left) in STATIONARY {
        if point < share {
            return Duration::from_millis(left * part / 1000);
        }
        point -= share;
    }
    Duration::ZERO
}

/// Words of prompts; four bytes each with the space, as one token.
const WORDS: [&str; 16] = [
    "tin ", "lid ", "box ", "die ", "set ", "red ", "map ", "bus ", "way ", "cut ", "ink ", "van ",
    "art ", "fit ", "job ", "tag ",
];

/// One turn of a chat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// What the user writes.
    pub text: String,
    /// Tokens of the response.
    pub tokens: u32,
    /// Pause before the turn.
    pub pause: Duration,
}

/// One chat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chat {
    /// Tells the chats of a run apart.
    pub number: u64,
    /// Index of its team.
    pub team: usize,
    /// Whether requests carry a chat id.
    pub named: bool,
    /// Whether the caller sends the location hint back.
    pub hinted: bool,
    /// The system prompt, which other chats of the team share.
    pub system: String,
    /// The turns in order.
    pub turns: Vec<Turn>,
}

/// Makes the chats of a run.
#[derive(Clone, Debug)]
pub struct Trace {
    seed: u64,
    weights: Vec<u32>,
}

impl Trace {
    /// Makes a trace for teams with these weights; a team's part of the chats
    /// follows its weight.
    pub fn new(seed: u64, weights: Vec<u32>) -> Self {
        Self { seed, weights }
    }

    /// Returns a chat by its number; of a given team, or of any.
    pub fn chat(&self, number: u64, team: Option<usize>) -> Chat {
        let mut random = SmallRng::seed_from_u64(hash::mix(self.seed, number));
        let drawn = self.team(random.random_range(0..self.total()));
        let team = team.unwrap_or(drawn);
        let prompt = random.random_range(0..SYSTEM_PROMPTS);
        let count = random.random_range(TURNS);
        Chat {
            number,
            team,
            named: random.random_range(0..4) > 0,
            hinted: random.random_range(0..2) > 0,
            system: self.system(team, prompt),
            turns: (0..count).map(|_| turn(&mut random)).collect(),
        }
    }

    fn total(&self) -> u32 {
        self.weights.iter().sum()
    }

    fn team(&self, mut point: u32) -> usize {
        for (index, weight) in self.weights.iter().enumerate() {
            if point < *weight {
                return index;
            }
            point -= weight;
        }
        0
    }

    /// Returns the system prompt of a team; it does not depend on the chat.
    fn system(&self, team: usize, prompt: u64) -> String {
        let seed = hash::mix(hash::mix(self.seed, team as u64), prompt);
        let mut random = SmallRng::seed_from_u64(seed);
        let tokens = random.random_range(SYSTEM_TOKENS);
        text(&mut random, tokens)
    }
}

fn turn(random: &mut SmallRng) -> Turn {
    let tokens = random.random_range(USER_TOKENS);
    let pause = random.random_range(PAUSE);
    let long = random.random_range(0..LONG) == 0;
    Turn {
        text: text(random, tokens),
        tokens: random.random_range(ANSWER_TOKENS),
        pause: Duration::from_millis(if long { pause * 4 } else { pause }),
    }
}

fn text(random: &mut SmallRng, tokens: usize) -> String {
    (0..tokens)
        .map(|_| WORDS[random.random_range(0..WORDS.len())])
        .collect()
}
