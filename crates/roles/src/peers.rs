//! Reads the calls of other processes.

use base::fault::{At, Fault};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use prost::Message;
use wire::frame;

use crate::body;

/// Reports a call without its message.
#[derive(Debug, thiserror::Error)]
#[error("the call holds no message")]
struct Empty;

/// Reads the one message of a call.
///
/// # Errors
///
/// When the body is too large, cut or holds no valid message.
pub async fn message<M: Message + Default>(
    request: Request<Incoming>,
    limit: usize,
) -> Result<M, Fault> {
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), limit + frame::LENGTH_PREFIX);
    let bytes = body.collect().await.at("read call", &path)?.to_bytes();
    let mut reader = frame::Reader::new(limit);
    reader.push(&bytes);
    let message = reader.next_message().at("read call", &path)?;
    message.ok_or(Empty).at("read call", &path)
}

/// Makes the response to a call that cannot be read.
pub fn invalid(fault: &Fault) -> Response<body::Body> {
    tracing::warn!(event = "call_invalid", cause = %fault);
    status(StatusCode::BAD_REQUEST)
}

/// Makes an empty response.
pub fn status(status: StatusCode) -> Response<body::Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}

/// Makes a response with one message.
pub fn reply(message: &impl Message) -> Response<body::Body> {
    Response::new(body::full(frame::encode(message)))
}

/// Makes a response with several messages.
pub fn replies<M: Message>(messages: &[M]) -> Response<body::Body> {
    let frames: Vec<u8> = messages.iter().flat_map(frame::encode).collect();
    Response::new(body::full(frames))
}
