//! Failures of calls that tell whether the call may have arrived.

use base::fault::Fault;

/// How a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The connection was not made, so nothing arrived at the peer.
    #[error("not sent: {0}")]
    NotSent(Fault),
    /// The connection broke; the call may have arrived.
    #[error("broken: {0}")]
    Broken(Fault),
}

impl Failure {
    /// Returns the failed step with its peer and cause.
    pub fn fault(self) -> Fault {
        match self {
            Self::NotSent(fault) | Self::Broken(fault) => fault,
        }
    }
}
