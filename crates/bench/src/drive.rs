//! The load of a placement measurement: callers that take part in chats.
//!
//! Each caller has one chat at a time, sends its next turn after a pause, and
//! starts a new chat when it is over. A refused turn is sent again after the
//! time that the refusal states.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{hash, time};
use fakes::{cache, clock, prompt};
use http::{StatusCode, header};
use serde::Deserialize;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    client::{Call, Caller, Received},
    deploy, trace,
};

/// Times that a turn is sent before its caller gives up.
const TRIES: u32 = 8;

/// Longest time that a caller waits before it returns.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// How a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole response to this request arrived.
    Whole,
    /// The response is that of another request.
    Crossed,
    /// The response ended before its end.
    Cut,
    /// No response arrived in all tries.
    Given,
}

/// One turn as its caller saw it.
#[derive(Clone, Debug)]
pub struct Turn {
    /// The chat.
    pub chat: u64,
    /// The team's index.
    pub team: usize,
    /// Number of the turn in its chat, from 0.
    pub number: usize,
    /// When the turn was first sent.
    pub start: time::Mono,
    /// When it ended.
    pub end: time::Mono,
    /// Blocks of the prompt, as an engine's cache counts them.
    pub prompt: Vec<cache::Block>,
    /// Blocks of the prompt and the response.
    pub whole: Vec<cache::Block>,
    /// Leading tokens of the prompt that the chat's earlier turns computed.
    pub known: u64,
    /// Tokens that the engine had cached, as far as `known` goes.
    pub cached: u64,
    /// Times that it was refused.
    pub refused: u32,
    /// Times that its outcome was unknown or its connection broke.
    pub unknown: u32,
    /// Time from the first sending to the first byte of the response.
    pub first: Duration,
    /// How it ended.
    pub end_state: End,
}

/// What the callers share.
pub struct Load {
    /// The deployment's model.
    pub model: &'static str,
    /// Addresses of the routers.
    pub routers: Vec<SocketAddr>,
    /// Keys of the teams.
    pub keys: Vec<String>,
    /// The chats.
    pub trace: trace::Trace,
    /// Tokens in a block of the engines' caches.
    pub block: usize,
    /// When callers stop to send turns.
    pub end: Instant,
    /// Seed of the choice of routers.
    pub seed: u64,
    /// One in this many chats is the hot chat; 0 when there is none.
    pub hot: u64,
    caller: Caller,
    chats: AtomicU64,
    sends: AtomicU64,
    turns: Mutex<Vec<Turn>>,
}

/// Number of the hot chat; no other chat has it.
pub const HOT: u64 = u64::MAX;

impl Load {
    /// Makes a load on a running deployment.
    pub fn new(running: &deploy::Running, seed: u64, end: Instant, hot: u64) -> Self {
        let teams = running.deployment.teams;
        let weights = teams.iter().map(|(_, weight)| *weight).collect();
        Self {
            model: running.deployment.model,
            routers: running.callers(),
            keys: teams.iter().map(|(name, _)| deploy::key(name)).collect(),
            trace: trace::Trace::new(seed, weights),
            block: running.options.engine.block_tokens,
            end,
            seed,
            hot,
            caller: Caller::default(),
            chats: AtomicU64::new(0),
            sends: AtomicU64::new(0),
            turns: Mutex::default(),
        }
    }

    /// Returns the turns that have ended.
    pub fn take(&self) -> Vec<Turn> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Turn>> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a number of callers until the end; all of one team, or of any.
    pub async fn run(self: Arc<Self>, callers: u64, team: Option<usize>, until: Instant) {
        let mut tasks = JoinSet::new();
        for _ in 0..callers {
            let load = self.clone();
            tasks.spawn(async move { load.call(team, until).await });
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn call(&self, team: Option<usize>, until: Instant) {
        let mut first = true;
        while Instant::now() < until {
            let number = self.chats.fetch_add(1, Ordering::Relaxed);
            let is_hot = self.hot > 0 && hash::mix(number, self.seed).is_multiple_of(self.hot);
            let chat = match is_hot {
                true => self.trace.chat(HOT, Some(0)),
                false => self.trace.chat(number, team),
            };
            if std::mem::take(&mut first) {
                sleep(trace::first_pause(hash::mix(number, self.seed))).await;
            }
            self.chat(&chat, until).await;
        }
    }

    async fn chat(&self, chat: &trace::Chat, until: Instant) {
        let mut messages = vec![message("system", &chat.system)];
        let mut hint = None;
        let mut known = 0;
        for (number, turn) in chat.turns.iter().enumerate() {
            if number > 0 {
                sleep(
                    turn.pause
                        .min(until.saturating_duration_since(Instant::now())),
                )
                .await;
            }
            if Instant::now() >= until {
                return;
            }
            messages.push(message("user", &turn.text));
            let request = prompt::Chat {
                model: self.model.to_owned(),
                messages: messages.clone(),
                stream: true,
                max_tokens: Some(u64::from(turn.tokens)),
            };
            let told = self.turn(chat, number, &request, known, &mut hint).await;
            let answered = told.end_state == End::Whole;
            known = (told.whole.len() * self.block) as u64;
            self.lock().push(told);
            if !answered {
                return;
            }
            messages.push(message("assistant", &answer(&request)));
        }
    }

    /// Sends a turn until it is answered.
    async fn turn(
        &self,
        chat: &trace::Chat,
        number: usize,
        request: &prompt::Chat,
        known: u64,
        hint: &mut Option<String>,
    ) -> Turn {
        let text = request.text();
        let expected = answer(request);
        let mut whole = text.clone();
        prompt::append(&mut whole, "assistant", &expected);
        let start = clock::now();
        let began = Instant::now();
        let mut told = Turn {
            chat: chat.number,
            team: chat.team,
            number,
            start,
            end: start,
            prompt: cache::blocks(&text, self.block),
            whole: cache::blocks(&whole, self.block),
            known,
            cached: 0,
            refused: 0,
            unknown: 0,
            first: Duration::ZERO,
            end_state: End::Given,
        };
        for _ in 0..TRIES {
            let sent = began.elapsed();
            let received = self.send(chat, request, hint.as_deref()).await;
            told.end = clock::now();
            if received.status == Some(StatusCode::OK) {
                told.first = sent + received.first;
                told.end_state = check(&received, &expected);
                told.cached = cached(&received).min(known);
                let back = received.header("x-ebonywall-hint");
                *hint = (chat.hinted && !back.is_empty()).then(|| back.to_owned());
                return told;
            }
            match received.outcome() {
                "not-run" => told.refused += 1,
                _ => told.unknown += 1,
            }
            sleep(pause(&received)).await;
        }
        told
    }

    async fn send(
        &self,
        chat: &trace::Chat,
        request: &prompt::Chat,
        hint: Option<&str>,
    ) -> Received {
        let body = serde_json::json!({
            "model": request.model,
            "messages": request.messages,
            "stream": true,
            "max_tokens": request.max_tokens,
        });
        let key = &self.keys[chat.team];
        let mut call = Call::post("/v1/chat/completions", key, body.to_string());
        if chat.named {
            call = call.with("x-chat-id", format!("chat-{}", chat.number));
        }
        if let Some(hint) = hint {
            call = call.with("x-ebonywall-hint", hint);
        }
        let number = self.sends.fetch_add(1, Ordering::Relaxed);
        let router = hash::mix(number, self.seed) % self.routers.len() as u64;
        self.caller.send(self.routers[router as usize], call).await
    }
}

fn message(role: &str, content: &str) -> prompt::Message {
    prompt::Message {
        role: role.to_owned(),
        content: content.into(),
    }
}

/// Returns the response that every engine gives to a request.
pub fn answer(request: &prompt::Chat) -> String {
    prompt::Output::new(request, &request.text(), "", 0).text()
}

fn cached(received: &Received) -> u64 {
    received.header("x-cached-tokens").parse().unwrap_or(0)
}

fn pause(received: &Received) -> Duration {
    let seconds = received.header(header::RETRY_AFTER.as_str()).parse().ok();
    let pause = Duration::from_secs(seconds.unwrap_or(1));
    pause.min(LONGEST_PAUSE)
}

#[derive(Deserialize)]
struct Event {
    id: String,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: String,
}

/// Compares a response with what the request must produce.
fn check(received: &Received, expected: &str) -> End {
    let own = format!("chatcmpl-{}", received.header("x-request-id"));
    let body = String::from_utf8_lossy(&received.body);
    let mut content = String::new();
    for line in body.split("\n\n").filter(|line| !line.is_empty()) {
        let Some(data) = line.strip_prefix("data: ") else {
            return End::Cut;
        };
        if data == "[DONE]" {
            continue;
        }
        let Ok(event) = serde_json::from_str::<Event>(data) else {
            return End::Cut;
        };
        if event.id != own {
            return End::Crossed;
        }
        content.extend(event.choices.into_iter().map(|choice| choice.delta.content));
    }
    if !expected.starts_with(&content) {
        return End::Crossed;
    }
    match received.complete && body.ends_with(prompt::DONE) && content == expected {
        true => End::Whole,
        false => End::Cut,
    }
}
