//! Response bodies.

use base::fault::Fault;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// A response body. An error in it aborts the connection, so that a truncated
/// response does not look complete.
pub type Body = UnsyncBoxBody<Bytes, Fault>;

/// Creates a body from bytes that are completely available.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
