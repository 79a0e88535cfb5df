//! Chat requests and the deterministic output that they produce.

use base::hash;
use serde::{Deserialize, Serialize};

/// Output tokens of a request that sets no limit: this many, and up to twice
/// as many depending on the prompt.
const DEFAULT_TOKENS: u64 = 16;

/// Separates the parts of the text that the cache sees.
const BREAK: u8 = b'\n';

/// A chat completion request, reduced to the fields that matter here.
#[derive(Clone, Debug, Deserialize)]
pub struct Chat {
    /// Name of the model.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Whether the response is a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// Largest number of output tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text, or a list of parts.
    pub content: serde_json::Value,
}

impl Chat {
    /// Returns the text that the cache and the output depend on.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        for message in &self.messages {
            let content = match &message.content {
                serde_json::Value::String(content) => content.clone(),
                parts => parts.to_string(),
            };
            append(&mut text, &message.role, &content);
        }
        text
    }
}

/// Adds a message to a conversation's text.
pub fn append(text: &mut Vec<u8>, role: &str, content: &str) {
    text.extend_from_slice(role.as_bytes());
    text.push(BREAK);
    text.extend_from_slice(content.as_bytes());
    text.push(BREAK);
}

/// The output for a prompt: the same on every engine that has the same model
/// version, so that another engine can continue a response.
#[derive(Clone, Debug)]
pub struct Output {
    seed: u64,
    count: u64,
}

impl Output {
    /// Determines the output of a request.
    pub fn new(chat: &Chat, text: &[u8], version: &str, salt: u64) -> Self {
        let parts = [chat.model.as_bytes(), version.as_bytes(), text];
        let seed = hash::mix(hash::parts(parts), salt);
        let default = DEFAULT_TOKENS + seed % DEFAULT_TOKENS;
        let count = chat.max_tokens.unwrap_or(default).max(1);
        Self { seed, count }
    }

    /// Returns the number of tokens.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns one token: a syllable and a space.
    pub fn token(&self, index: u64) -> String {
        const FIRST: &[u8] = b"bdfgklmnprstvz";
        const MIDDLE: &[u8] = b"aeiou";
        const LAST: &[u8] = b"klmnrst";
        let bits = hash::mix(self.seed, index);
        let pick = |from: &[u8], shift: u32| {
            let index = (bits >> shift) as usize % from.len();
            char::from(from[index])
        };
        [pick(FIRST, 0), pick(MIDDLE, 16), pick(LAST, 32), ' ']
            .iter()
            .collect()
    }

    /// Returns the whole text.
    pub fn text(&self) -> String {
        (0..self.count).map(|index| self.token(index)).collect()
    }
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Reply<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Reply<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
}

/// The last event of a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// Returns one event of a stream; without content, the closing event.
///
/// Its bytes depend on nothing but the arguments, because a stream that is
/// continued elsewhere must have the same bytes.
pub fn event(id: &str, model: &str, content: Option<&str>) -> String {
    let choice = Choice {
        index: 0,
        delta: Some(Delta {
            content: content.unwrap_or_default(),
        }),
        message: None,
        finish_reason: content.is_none().then_some("stop"),
    };
    let event = completion(id, "chat.completion.chunk", model, choice);
    format!("data: {event}\n\n")
}

/// Returns the response to a request that does not stream.
pub fn whole(id: &str, model: &str, content: &str) -> String {
    let choice = Choice {
        index: 0,
        delta: None,
        message: Some(Reply {
            role: "assistant",
            content,
        }),
        finish_reason: Some("stop"),
    };
    completion(id, "chat.completion", model, choice)
}

fn completion(id: &str, object: &str, model: &str, choice: Choice<'_>) -> String {
    let id = format!("chatcmpl-{id}");
    let completion = Completion {
        id: &id,
        object,
        created: 0,
        model,
        choices: [choice],
    };
    serde_json::to_string(&completion).unwrap_or_default()
}
