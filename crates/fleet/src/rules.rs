//! The limits of membership. They are values so that tests can shorten them.

use base::span;

/// Limits that [`member::Members`](crate::member::Members) applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Time without a sign of life after which a member is removed.
    pub removal_timeout: span::Span,
    /// Time for which the last report of a removed member is kept, so that no
    /// older report brings the member back and the members of a healed region
    /// are found again. Regions lose contact for minutes; two hours leave a
    /// wide margin.
    pub retention: span::Span,
    /// Maximum number of entries that are kept for removed members; bounds
    /// memory if ids are never reused.
    pub max_retained: usize,
    /// Number of consecutive failures after which a member is demoted in this
    /// process.
    pub failure_threshold: u32,
    /// Initial back-off of a demoted member; doubles with each further failure.
    pub backoff: span::Span,
    /// Maximum back-off of a demoted member.
    pub backoff_max: span::Span,
    /// Period in which starts count towards flapping.
    pub flap_window: span::Span,
    /// Number of starts in the window from which a member is flapping.
    pub flap_starts: usize,
    /// Time since its last start for which a flapping member counts as warming.
    pub flap_recovery: span::Span,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            removal_timeout: span::Span::from_secs(60),
            retention: span::Span::from_secs(2 * 3600),
            max_retained: 4096,
            failure_threshold: 3,
            backoff: span::Span::from_secs(1),
            backoff_max: span::Span::from_secs(30),
            flap_window: span::Span::from_secs(600),
            flap_starts: 3,
            flap_recovery: span::Span::from_secs(60),
        }
    }
}
