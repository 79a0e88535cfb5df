//! The body of a response to a caller.

use base::fault::Fault;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// A response body; an error aborts the connection, so that a broken response
/// never looks complete.
pub type Body = UnsyncBoxBody<Bytes, Fault>;

/// Returns a body that is known whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
