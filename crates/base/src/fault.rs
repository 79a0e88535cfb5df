//! An error that states the failed step and the peer.

use std::{error, fmt};

/// A failed step, with the peer and the underlying error.
///
/// The peer is an address, an id or a file name; the step is a short verb
/// phrase such as `connect` or `read row`.
#[derive(Debug)]
pub struct Fault {
    /// The step that failed.
    pub step: &'static str,
    /// The peer of the step.
    pub peer: String,
    /// The underlying error.
    pub cause: Box<dyn error::Error + Send + Sync>,
}

impl Fault {
    /// Wraps an error with its step and peer.
    pub fn new(
        step: &'static str,
        peer: impl fmt::Display,
        cause: impl Into<Box<dyn error::Error + Send + Sync>>,
    ) -> Self {
        Self {
            step,
            peer: peer.to_string(),
            cause: cause.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.cause)
    }
}

impl error::Error for Fault {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        Some(self.cause.as_ref())
    }
}

/// Adds the step and the peer to a result's error.
pub trait At<T> {
    /// Wraps an error with its step and peer.
    fn at(self, step: &'static str, peer: impl fmt::Display) -> Result<T, Fault>;
}

impl<T, E: Into<Box<dyn error::Error + Send + Sync>>> At<T> for Result<T, E> {
    fn at(self, step: &'static str, peer: impl fmt::Display) -> Result<T, Fault> {
        self.map_err(|cause| Fault::new(step, peer, cause))
    }
}
