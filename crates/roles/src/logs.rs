//! Structured logs: one line of key=value pairs for each event.
//!
//! The events and their keys are listed in
//! [the log reference](../../../docs/events.md).

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Sends log lines to standard error; `filter` has the syntax of
/// `tracing_subscriber::EnvFilter`, such as `info` or `roles=debug`.
///
/// A second call in one process changes nothing, so that tests and examples
/// can run several daemons.
pub fn init(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(std::io::stderr);
    let subscriber = tracing_subscriber::registry().with(filter);
    subscriber.with(layer).try_init().ok();
}
