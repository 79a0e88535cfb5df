//! What placement needs to know of a chat completion request.

use base::{hash, id};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Messages that identify a chat without a chat id. The first is commonly a
/// system prompt that many chats share, so one message is not enough.
const LEADING: usize = 2;

/// Bytes of text in one token, on average.
const TOKEN: usize = 4;

/// The facts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Identifies the chat.
    pub chat: id::ChatHash,
    /// Earlier responses of the model in the prompt; 0 for a new chat.
    pub turns: u32,
    /// Estimated tokens of the prompt; a measure of what a cold cache costs.
    pub tokens: u32,
}

#[derive(Deserialize)]
struct Completion<'a> {
    #[serde(borrow)]
    messages: Vec<Message<'a>>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: std::borrow::Cow<'a, str>,
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
}

/// Reports a body that is not a chat completion request.
#[derive(Debug, thiserror::Error)]
pub enum PromptError {
    /// Not JSON of the expected shape.
    #[error("body is not a chat completion request: {0}")]
    Json(#[from] serde_json::Error),
    /// There is no message.
    #[error("\"messages\" must not be empty")]
    Empty,
}

/// Reads a request body; `explicit` is the chat id that the caller gave.
///
/// # Errors
///
/// When the body is not JSON with a non-empty list `messages`.
pub fn read(
    body: &[u8],
    team: &id::TeamId,
    service: &id::ServiceId,
    explicit: Option<&[u8]>,
) -> Result<Prompt, PromptError> {
    let completion: Completion = serde_json::from_slice(body)?;
    if completion.messages.is_empty() {
        return Err(PromptError::Empty);
    }
    let owner = [team.as_str().as_bytes(), service.as_str().as_bytes()];
    let chat = match explicit {
        Some(chat) => hash::parts(owner.into_iter().chain([chat])),
        None => hash::parts(owner.into_iter().chain(leading(&completion))),
    };
    let length: usize = completion.messages.iter().map(|m| content(m).len()).sum();
    let turns = completion.messages.iter().filter(|m| m.role == "assistant");
    Ok(Prompt {
        chat: id::ChatHash(chat),
        turns: count(turns.count()),
        tokens: count(length / TOKEN),
    })
}

fn count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn leading<'a>(completion: &'a Completion<'_>) -> impl Iterator<Item = &'a [u8]> {
    completion
        .messages
        .iter()
        .take(LEADING)
        .flat_map(|message| [message.role.as_bytes(), content(message)])
}

fn content<'a>(message: &Message<'a>) -> &'a [u8] {
    message.content.map_or(&[], |raw| raw.get().as_bytes())
}

/// Returns the chat of a plain service's request, which spreads by request.
pub fn plain(id: id::RequestId) -> id::ChatHash {
    id::ChatHash(hash::bytes(&id.0.to_le_bytes()))
}

/// Returns the chat of a keyed request, so that a repeated key tends to reach
/// the agent that holds its claim.
pub fn keyed(team: &id::TeamId, service: &id::ServiceId, key: &str) -> id::ChatHash {
    id::ChatHash(hash::parts([
        team.as_str().as_bytes(),
        service.as_str().as_bytes(),
        key.as_bytes(),
    ]))
}
