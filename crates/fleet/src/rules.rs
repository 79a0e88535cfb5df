//! The limits of membership, as values so that tests can shorten them.

use base::span;

/// Limits that [`member::Members`](crate::member::Members) applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// A member without a report from any source for this long is removed.
    pub removal_timeout: span::Span,
    /// A removed member's last report is kept this long, so that no older
    /// report returns it and a healed region is found again. Regions lose
    /// contact for minutes; two hours leave a wide margin.
    pub retention: span::Span,
    /// Most entries that are kept for removed members; bounds memory when ids
    /// are never reused.
    pub max_retained: usize,
    /// Consecutive failure_threshold after which a member is demoted in this process.
    pub failure_threshold: u32,
    /// First back-off of a demoted member; doubles with each further failure.
    pub backoff: span::Span,
    /// Longest back-off of a demoted member.
    pub backoff_max: span::Span,
    /// Starts within this time count towards flapping.
    pub flap_window: span::Span,
    /// Starts in the window from which a member is flapping.
    pub flap_starts: usize,
    /// A flapping member counts as warming until it has been up this long.
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
