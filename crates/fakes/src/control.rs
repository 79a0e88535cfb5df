//! Control of a stand-in over HTTP, for tests that run it in another process.
//!
//! `GET /fake/record` returns the counters, `PUT /fake/faults` replaces the
//! faults, `POST /fake/down?ms=N` drops all connections for a time and keeps the
//! state. A table and an instance list have further paths, named in
//! [`crate::table`] and [`crate::list`].

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

use base::span;

use crate::{body, server};

/// Path under which every stand-in accepts control requests.
pub const PREFIX: &str = "/fake/";

/// Returns whether a request controls the stand-in itself.
pub fn matches(request: &Request<Incoming>) -> bool {
    request.uri().path().starts_with(PREFIX)
}

/// Answers the control requests that all stand-ins share.
pub async fn handle<F: DeserializeOwned>(
    request: Request<Incoming>,
    power: &server::Power,
    record: impl Serialize,
    switch: impl FnOnce(F),
) -> Response<body::Body> {
    let path = request.uri().path()[PREFIX.len()..].to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "record") => body::json(StatusCode::OK, &record),
        (&Method::PUT, "faults") => match read::<F>(request).await {
            Ok(faults) => {
                switch(faults);
                body::empty(StatusCode::NO_CONTENT)
            }
            Err(reason) => body::error(StatusCode::BAD_REQUEST, reason),
        },
        (&Method::POST, "down") => {
            let time = query(request.uri().query(), "ms").and_then(|ms| ms.parse().ok());
            power.down(time.map(span::Span::from_millis));
            body::empty(StatusCode::NO_CONTENT)
        }
        _ => body::error(StatusCode::NOT_FOUND, "no such control"),
    }
}

/// Reads a JSON request body.
pub async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, String> {
    let bytes = body::read(request.into_body())
        .await
        .map_err(|error| format!("request body is incomplete: {error}"))?;
    serde_json::from_slice(&bytes).map_err(|error| format!("request body is not valid: {error}"))
}

/// Returns a parameter of a query string, percent-decoded.
pub fn query(query: Option<&str>, name: &str) -> Option<String> {
    query?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| decode(value))
    })
}

/// Decodes `%XX`; an incomplete escape is kept as it is.
pub fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
