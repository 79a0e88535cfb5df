//! Response bodies: whole, streamed and deliberately cut off.

use std::{io, time::Duration};

use base::span;
use bytes::Bytes;
use futures_util::stream;
use http::{Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use serde::Serialize;

/// A response body whose error aborts the response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// hyper discards a frame that it has not flushed when the next one is an
/// error; a pause lets it flush.
const FLUSH: Duration = Duration::from_millis(10);

/// Makes a body of known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes a body of unknown length from chunks.
pub fn chunks<S>(chunks: S) -> Body
where
    S: futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    use futures_util::StreamExt;
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Makes a body that sends the bytes and then breaks off.
pub fn cut(bytes: impl Into<Bytes>) -> Body {
    let bytes = bytes.into();
    chunks(stream::unfold(Some(bytes), |rest| async move {
        match rest {
            Some(bytes) if !bytes.is_empty() => Some((Ok(bytes), Some(Bytes::new()))),
            _ => Some((broken("response cut on demand").await, None)),
        }
    }))
}

/// Returns the error that aborts a response, after what precedes it was sent.
pub async fn broken(reason: &'static str) -> io::Result<Bytes> {
    tokio::time::sleep(FLUSH).await;
    Err(io::Error::other(reason))
}

/// Makes a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Makes a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Makes an error response with a reason in plain text.
pub fn error(status: StatusCode, reason: impl Into<String>) -> Response<Body> {
    #[derive(Serialize)]
    struct Reason {
        error: String,
    }
    json(
        status,
        &Reason {
            error: reason.into(),
        },
    )
}

/// Makes an error response that says when to come back, in whole seconds.
pub fn retry(status: StatusCode, after: span::Span, reason: &str) -> Response<Body> {
    let mut response = error(status, reason);
    let seconds = after.as_millis().div_ceil(1_000);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, seconds.into());
    response
}

/// Reads a whole request body.
pub async fn read(body: Incoming) -> io::Result<Bytes> {
    let collected = body.collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}
