//! Structured logs on standard output: one line of key=value pairs an event.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Instant,
};

use tracing::{Event, Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Layer,
    layer::{Context, Filter, SubscriberExt},
    util::SubscriberInitExt,
};

/// Lines that wait for the writing thread; more are dropped rather than delay a
/// request.
const MAX_QUEUED_LINES: usize = 4_096;

/// Lines a second below the level of warnings. A router of today writes some 40
/// at its usual load.
const MAX_LINES_PER_SECOND: u32 = 400;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that were dropped.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Bounds the lines of each second; warnings and errors always pass.
#[derive(Debug)]
struct RateLimit {
    start: Instant,
    second: AtomicU64,
    lines: AtomicU32,
}

impl RateLimit {
    fn admit(&self) -> bool {
        let second = self.start.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let admitted = self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND;
        if !admitted {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        *event.metadata().level() <= Level::WARN || self.admit()
    }
}

/// Sends log lines to standard output by a thread of its own; lines are
/// flushed when the guard is dropped.
pub fn init(filter: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|error| {
        eprintln!("log filter {filter:?} is not valid, using info: {error}");
        EnvFilter::new("info")
    });
    let rate_limit = RateLimit {
        start: Instant::now(),
        second: AtomicU64::new(0),
        lines: AtomicU32::new(0),
    };
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(writer)
        .with_filter(rate_limit);
    let subscriber = tracing_subscriber::registry().with(filter).with(layer);
    if let Err(error) = subscriber.try_init() {
        eprintln!("logs are already set up: {error}");
    }
    guard
}
