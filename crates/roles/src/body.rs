//! Body types shared by the servers and the client of the daemon.

use std::convert::Infallible;

use base::fault::Fault;
use bytes::Bytes;
use futures_util::Stream;
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};

/// A response body; an error in it makes hyper abort the response, so that a
/// response that is not whole never appears complete.
pub type Body = UnsyncBoxBody<Bytes, Fault>;

fn never(cause: Infallible) -> Fault {
    match cause {}
}

/// Makes a body of known content.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// Length below which [`own`] copies, in bytes; half of a read buffer of hyper.
const SMALL: usize = 4096;

/// Copies a small piece, which would keep the whole read buffer of its
/// connection in memory.
pub fn own(bytes: Bytes) -> Bytes {
    match bytes.len() < SMALL {
        true => Bytes::copy_from_slice(&bytes),
        false => bytes,
    }
}

/// Makes an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Makes a body that is polled only as fast as the receiver takes it.
pub fn stream(pieces: impl Stream<Item = Result<Bytes, Fault>> + Send + 'static) -> Body {
    let frames = futures_util::StreamExt::map(pieces, |piece| piece.map(Frame::data));
    StreamBody::new(frames).boxed_unsync()
}
