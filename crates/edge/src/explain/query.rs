//! The question: a query string that describes a request.

use std::fmt::Display;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use platform::request::{self, Part};

/// Maximum length of a query, in bytes.
pub const MAX_LENGTH: usize = 16 * 1024;

/// The names of the parameters.
const NAMES: &str = "host, path, key, team, prompt, left or seed";

/// Characters of a value that need no escape.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'/')
    .remove(b':')
    .remove(b',');

/// A request of which an operator asks where it would go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Question {
    /// Host of the request.
    pub host: String,
    /// Path of the request, without its query.
    pub path: String,
    /// Who sends it.
    pub caller: Caller,
    /// Parts of its prompt.
    pub prompt: Vec<Part>,
    /// Time for which the caller still waits, in milliseconds, if it states one.
    pub left_ms: Option<u32>,
    /// Takes the place of the hash of the request's id and of the random numbers.
    pub seed: u64,
}

/// Who sends a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Caller {
    /// Somebody without a key.
    #[default]
    Anonymous,
    /// The owner of a key.
    Key(String),
    /// A team, whatever its keys are.
    Team(String),
}

/// A query is no question.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// It is too long.
    #[error("expected a query of at most {MAX_LENGTH} bytes, found {0} bytes")]
    TooLong(usize),
    /// A parameter has no value.
    #[error("expected NAME=VALUE, found {0:?}")]
    NoValue(String),
    /// A parameter has an unknown name.
    #[error("expected {NAMES}, found {0:?}")]
    UnknownName(String),
    /// A parameter is given more than once.
    #[error("expected one {0}, found a second one")]
    Repeated(&'static str),
    /// A required parameter is missing or empty.
    #[error("expected a {0}, found none")]
    Missing(&'static str),
    /// A value has an escape that is not complete.
    #[error("expected two hexadecimal digits after % in {0}, found {1:?}")]
    Escape(&'static str, String),
    /// A value is not text after its escapes are decoded.
    #[error("expected UTF-8 in {0}, found other bytes")]
    Encoding(&'static str),
    /// The path is not absolute.
    #[error("expected a path that begins with \"/\", found {0:?}")]
    Path(String),
    /// A part of the prompt is malformed.
    #[error("expected ID:TOKENS with 0 to {max} tokens in prompt, found {0:?}", max = u32::MAX)]
    Part(String),
    /// The prompt is too long.
    #[error("expected at most {max} tokens in prompt, found {0}", max = u32::MAX)]
    Tokens(u64),
    /// A number is malformed or too large.
    #[error("expected a whole number from 0 to {max} in {name}, found {found:?}")]
    Number {
        /// The parameter.
        name: &'static str,
        /// The largest number.
        max: u64,
        /// Its value.
        found: String,
    },
    /// Both a key and a team are given.
    #[error("expected a key or a team, found both")]
    KeyAndTeam,
}

#[derive(Default)]
struct Values {
    host: Option<String>,
    path: Option<String>,
    key: Option<String>,
    team: Option<String>,
    prompt: Option<String>,
    left: Option<String>,
    seed: Option<String>,
}

impl Values {
    fn field(&mut self, name: &str) -> Option<(&'static str, &mut Option<String>)> {
        Some(match name {
            "host" => ("host", &mut self.host),
            "path" => ("path", &mut self.path),
            "key" => ("key", &mut self.key),
            "team" => ("team", &mut self.team),
            "prompt" => ("prompt", &mut self.prompt),
            "left" => ("left", &mut self.left),
            "seed" => ("seed", &mut self.seed),
            _ => return None,
        })
    }
}

impl Question {
    /// Decodes a query: parameters joined by `&`, their values with percent escapes.
    ///
    /// # Errors
    ///
    /// When the query is too long, or a parameter is unknown, missing, repeated or
    /// malformed.
    pub fn decode(query: &str) -> Result<Self, QueryError> {
        if query.len() > MAX_LENGTH {
            return Err(QueryError::TooLong(query.len()));
        }
        let mut values = Values::default();
        for parameter in query.split('&').filter(|parameter| !parameter.is_empty()) {
            let (name, value) = parameter
                .split_once('=')
                .ok_or_else(|| QueryError::NoValue(parameter.to_owned()))?;
            let (name, field) = values
                .field(name)
                .ok_or_else(|| QueryError::UnknownName(name.to_owned()))?;
            if field.replace(unescape(name, value)?).is_some() {
                return Err(QueryError::Repeated(name));
            }
        }
        let required = |name, value: Option<String>| {
            let value = value.filter(|value| !value.is_empty());
            value.ok_or(QueryError::Missing(name))
        };
        let path = required("path", values.path)?;
        if !path.starts_with('/') {
            return Err(QueryError::Path(path));
        }
        let path = path.split('?').next().unwrap_or_default().to_owned();
        let number = |name, value: Option<String>, max| {
            value.map(|value| number(name, value, max)).transpose()
        };
        let left_ms = number("left", values.left, u32::MAX.into())?;
        Ok(Self {
            host: request::hostname(&required("host", values.host)?),
            path,
            caller: match (values.key, values.team) {
                (Some(_), Some(_)) => return Err(QueryError::KeyAndTeam),
                (Some(key), None) => Caller::Key(key),
                (None, Some(team)) => Caller::Team(team),
                (None, None) => Caller::Anonymous,
            },
            prompt: parts(values.prompt.as_deref().unwrap_or_default())?,
            left_ms: left_ms.map(|left| left as u32),
            seed: number("seed", values.seed, u64::MAX)?.unwrap_or_default(),
        })
    }

    /// Encodes the question as a query.
    pub fn encode(&self) -> String {
        let escape = |value: &str| utf8_percent_encode(value, ESCAPED).to_string();
        let mut query = format!("host={}&path={}", escape(&self.host), escape(&self.path));
        let mut add = |name: &str, value: &dyn Display| {
            query.push_str(&format!("&{name}={}", escape(&value.to_string())));
        };
        match &self.caller {
            Caller::Anonymous => {}
            Caller::Key(key) => add("key", key),
            Caller::Team(team) => add("team", team),
        }
        if !self.prompt.is_empty() {
            let parts = self.prompt.iter();
            let parts: Vec<_> = parts
                .map(|part| format!("{}:{}", part.id, part.tokens))
                .collect();
            add("prompt", &parts.join(","));
        }
        if let Some(left) = self.left_ms {
            add("left", &left);
        }
        add("seed", &self.seed);
        query
    }
}

/// Decodes the parts of a prompt, `ID:TOKENS` joined by commas.
///
/// # Errors
///
/// When a part is malformed, or the prompt has too many tokens.
pub fn parts(text: &str) -> Result<Vec<Part>, QueryError> {
    let parts = text.split(',').filter(|_| !text.is_empty());
    let parts = parts.map(|part| {
        let split = part.rsplit_once(':').filter(|(id, _)| !id.is_empty());
        let decoded = split.and_then(|(id, tokens)| {
            Some(Part {
                id: id.to_owned(),
                tokens: tokens.parse().ok()?,
            })
        });
        decoded.ok_or_else(|| QueryError::Part(part.to_owned()))
    });
    let parts = parts.collect::<Result<Vec<_>, _>>()?;
    let tokens: u64 = parts.iter().map(|part| u64::from(part.tokens)).sum();
    if tokens > u32::MAX.into() {
        return Err(QueryError::Tokens(tokens));
    }
    Ok(parts)
}

fn number(name: &'static str, found: String, max: u64) -> Result<u64, QueryError> {
    let number = found.parse().ok().filter(|number| *number <= max);
    number.ok_or(QueryError::Number { name, max, found })
}

fn unescape(name: &'static str, value: &str) -> Result<String, QueryError> {
    for (at, _) in value.match_indices('%') {
        let digits = value.as_bytes().get(at + 1..at + 3);
        if !digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit)) {
            let found = value[at..].chars().take(3).collect();
            return Err(QueryError::Escape(name, found));
        }
    }
    let text = percent_decode_str(value).decode_utf8();
    text.map(|text| text.into_owned())
        .map_err(|_| QueryError::Encoding(name))
}
