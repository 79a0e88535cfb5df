//! Structured logs on standard output: one line of key=value pairs an event.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Lines that wait for the writing thread; more are dropped rather than delay a
/// request, and their number is reported.
const WAITING_LINES: usize = 4_096;

/// Sends log lines to standard output by a thread of its own; lines are
/// flushed when the guard is dropped.
pub fn init(filter: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(writer);
    let subscriber = tracing_subscriber::registry().with(filter).with(layer);
    if let Err(error) = subscriber.try_init() {
        eprintln!("logs are already set up: {error}");
    }
    guard
}
