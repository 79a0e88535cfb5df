//! From a caller's HTTP request to a request that can be forwarded.

use std::{
    sync::{Arc, LazyLock},
    time::Duration,
};

use base::{hash, id, span};
use bytes::Bytes;
use conf::{state, value};
use http::{HeaderMap, HeaderName, Request, header, request};
use hyper::body::Incoming;
use inlet::{
    ReadError,
    memory::{MemoryBudget, Reservation},
};
use sha2::{Digest, Sha256};
use wire::{convert, msg};

use crate::{
    body,
    problem::{Code, Problem},
    prompt, target,
};

/// Header with the caller's chat id.
pub const CHAT_ID: HeaderName = HeaderName::from_static("x-chat-id");

/// Header with the location hint.
pub const HINT: HeaderName = HeaderName::from_static("x-ebonywall-hint");

/// Header with the idempotency key.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header by which a caller asks for a shorter deadline, `wait=SECONDS`.
pub const PREFER: HeaderName = HeaderName::from_static("prefer");

/// Headers that concern one connection, or that the router sets itself.
const NOT_PASSED: [&str; 16] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "prefer",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-ebonywall-hint",
    "x-request-id",
];

/// Limits on what a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body in bytes.
    pub body: usize,
    /// Time for the body to arrive.
    pub body_time: Duration,
    /// Deadline of a request that asks for none, and the longest allowed.
    pub deadline: span::Span,
}

/// A request with all that is needed to forward it.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Its id.
    pub id: id::RequestId,
    /// The team.
    pub team: id::TeamId,
    /// The service.
    pub service: id::ServiceId,
    /// Where placement looks for its cache.
    pub chat: id::ChatHash,
    /// Earlier responses of the model in the prompt.
    pub turns: u32,
    /// Estimated tokens of the prompt; 0 for plain services.
    pub tokens: u32,
    /// Whether the target is an engine.
    pub engine: bool,
    /// Whether another target continues a broken stream.
    pub deterministic: bool,
    /// The caller's hint, not verified yet.
    pub hint: Option<String>,
    /// Time until the deadline, from acceptance.
    pub deadline: span::Span,
    /// The message for an agent, without what differs between attempts.
    pub run: msg::Run,
}

/// The team that a request's key names.
///
/// # Errors
///
/// When there is no key or no team has it.
pub fn authenticate<'a>(
    conf: &'a state::Configuration,
    headers: &HeaderMap,
) -> Result<&'a state::Team, Problem> {
    let missing = || {
        Problem::new(
            Code::Unauthorized,
            "send the team key as \"Authorization: Bearer KEY\"",
        )
    };
    let value = headers.get(header::AUTHORIZATION).ok_or_else(missing)?;
    let key = value
        .to_str()
        .ok()
        .and_then(|text| text.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, key)| key.trim())
        .ok_or_else(missing)?;
    conf.team_of(&value::KeyHash::of(key))
        .map(AsRef::as_ref)
        .ok_or_else(|| Problem::new(Code::Unauthorized, "no team has this key"))
}

/// Memory that the bodies of all callers may take, in bytes: 256 of the default
/// limit of one body.
const MOST_BODIES: usize = 1024 * 1024 * 1024;

static ROOM: LazyLock<Arc<MemoryBudget>> = LazyLock::new(|| MemoryBudget::new(MOST_BODIES));

/// Reads the whole body.
///
/// # Errors
///
/// When it is too large, too slow or broken off.
pub async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    limits: &Limits,
) -> Result<Bytes, Problem> {
    let reservation = Reservation::new(&ROOM);
    match inlet::read(headers, body, limits.body, limits.body_time, reservation).await {
        Ok(bytes) => Ok(body::own(bytes)),
        Err(error) => {
            let code = match error {
                ReadError::TooLarge(_) => Code::BodyTooLarge,
                ReadError::Timeout(_) => Code::BodyTimeout,
                ReadError::Broken(_) => Code::BadRequest,
                ReadError::OutOfMemory(_) | ReadError::Stalled => Code::Overloaded,
            };
            Err(Problem::new(code, error.to_string()))
        }
    }
}

/// Routes a request and makes the message for an agent.
///
/// # Errors
///
/// When no rule matches or the request is not valid.
pub fn accept(
    id: id::RequestId,
    conf: &state::Configuration,
    team: &state::Team,
    parts: &request::Parts,
    body: Bytes,
    limits: &Limits,
) -> Result<Accepted, Problem> {
    let rule = route(conf, parts, &body)?;
    let service = conf.services().get(&rule.service).ok_or_else(|| {
        let detail = format!(
            "rule {} names service {}, which does not exist",
            rule.id, rule.service
        );
        Problem::new(Code::NoRoute, detail)
    })?;
    let engine = service.kind == state::Kind::Engine;
    let key = idempotency_key(&parts.headers)?;
    let class = class(conf.class(rule), key)?;
    let key = if class == msg::Class::Keyed {
        key.unwrap_or("")
    } else {
        ""
    };
    let explicit = parts
        .headers
        .get(CHAT_ID)
        .map(header::HeaderValue::as_bytes);
    let facts = match engine {
        true => prompt::read(&body, &team.id, &service.id, explicit)
            .map_err(|cause| Problem::new(Code::BadRequest, cause.to_string()))?,
        false => prompt::Prompt {
            chat: plain_chat(id, &team.id, &service.id, key),
            turns: 0,
            tokens: 0,
        },
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let share = conf.share(&team.id, &service.id);
    let share = share.as_ref().unwrap_or(team);
    let run = msg::Run {
        id: convert::request_id_bytes(id),
        service: service.id.to_string(),
        team: team.id.to_string(),
        chat: facts.chat.0,
        priority: share.priority.get().into(),
        weight: share.weight.get(),
        class: class.into(),
        key: key.to_owned(),
        digest: digest(class, parts, path, &body),
        fingerprint: hash::parts([service.id.as_str().as_bytes(), path.as_bytes(), &body]),
        method: parts.method.to_string(),
        path: path.to_owned(),
        headers: passed_headers(&parts.headers),
        body,
        ..msg::Run::default()
    };
    Ok(Accepted {
        id,
        team: team.id.clone(),
        service: service.id.clone(),
        chat: facts.chat,
        turns: facts.turns,
        tokens: facts.tokens,
        engine,
        deterministic: service.deterministic,
        hint: text(&parts.headers, &HINT).map(str::to_owned),
        deadline: deadline(&parts.headers, limits),
        run,
    })
}

fn route<'a>(
    conf: &'a state::Configuration,
    parts: &request::Parts,
    body: &[u8],
) -> Result<&'a state::Rule, Problem> {
    let path = parts.uri.path();
    let model = match conf.routes_by_model(path) {
        true => model(body),
        false => None,
    };
    let found = conf.route(parts.method.as_str(), path, model.as_deref());
    found.map(AsRef::as_ref).ok_or_else(|| {
        let model = model.map(|name| format!(" with model {name:?}"));
        let detail = format!(
            "no rule for {} {path}{}",
            parts.method,
            model.unwrap_or_default()
        );
        Problem::new(Code::NoRoute, detail)
    })
}

#[derive(serde::Deserialize)]
struct Named {
    model: Option<String>,
}

fn model(body: &[u8]) -> Option<String> {
    serde_json::from_slice::<Named>(body).ok()?.model
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Problem> {
    let mut values = headers.get_all(KEY).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let valid = first
        .to_str()
        .ok()
        .map(|key| key.trim().trim_matches('"'))
        .filter(|key| (1..=once::claim::MAX_KEY).contains(&key.len()));
    match (valid, values.next()) {
        (Some(key), None) => Ok(Some(key)),
        _ => {
            let detail = format!(
                "Idempotency-Key must stand once and have 1 to {} printable characters",
                once::claim::MAX_KEY
            );
            Err(Problem::new(Code::KeyInvalid, detail))
        }
    }
}

fn class(class: state::Class, key: Option<&str>) -> Result<msg::Class, Problem> {
    match (class, key) {
        (state::Class::Repeatable, _) => Ok(msg::Class::Repeatable),
        (_, Some(_)) => Ok(msg::Class::Keyed),
        (state::Class::Once, None) => Ok(msg::Class::Once),
        (state::Class::Keyed, None) => Err(Problem::new(
            Code::KeyInvalid,
            "this request must have an Idempotency-Key",
        )),
    }
}

fn plain_chat(
    id: id::RequestId,
    team: &id::TeamId,
    service: &id::ServiceId,
    key: &str,
) -> id::ChatHash {
    match key {
        "" => prompt::plain(id),
        key => prompt::keyed(team, service, key),
    }
}

fn digest(class: msg::Class, parts: &request::Parts, path: &str, body: &[u8]) -> Bytes {
    if class != msg::Class::Keyed {
        return Bytes::new();
    }
    let mut hash = Sha256::new();
    for part in [parts.method.as_str().as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    Bytes::copy_from_slice(&hash.finalize())
}

fn passed_headers(headers: &HeaderMap) -> Vec<msg::Header> {
    headers
        .iter()
        .filter(|(name, _)| !NOT_PASSED.contains(&name.as_str()))
        .map(|(name, value)| msg::Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn deadline(headers: &HeaderMap, limits: &Limits) -> span::Span {
    text(headers, &PREFER)
        .and_then(|prefer| {
            prefer
                .split(',')
                .find_map(|item| item.trim().strip_prefix("wait="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map_or(limits.deadline, |seconds| {
            limits.deadline.min(span::Span::from_secs(seconds))
        })
}

/// Makes a request id; the caller's own is not used, because it may repeat.
pub fn new_id() -> id::RequestId {
    id::RequestId(base::id::random_bits())
}

/// Splits a request and removes what a caller may not set.
pub fn split(request: Request<Incoming>) -> (request::Parts, Incoming) {
    let (mut parts, body) = request.into_parts();
    parts.headers.remove(target::REQUEST_ID);
    (parts, body)
}
