//! A record of every message of a request, for golden files of whole sessions
//! and for the search for a fault in a test system.
//!
//! The lines have target `session` and level `trace`, so that a log filter has
//! to ask for them: `info,session=trace`. They hold no request ids, ports or
//! times.

/// Target of the lines.
pub const TARGET: &str = "session";

/// Records a message from one part to another.
pub fn message(from: &'static str, to: &'static str, text: impl FnOnce() -> String) {
    if tracing::enabled!(target: TARGET, tracing::Level::TRACE) {
        tracing::trace!(target: TARGET, from, to, text = text());
    }
}
