//! Structured logs on standard output: one line of `key=value` pairs per event.

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

/// Maximum number of lines that wait for the writer thread. Further lines are
/// dropped, because waiting would delay requests.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum number of lines per second below the level of warnings. A router writes
/// about 40 at its usual load.
const MAX_LINES_PER_SECOND: u32 = 400;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped by the rate limit.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Limits the lines written per second; warnings and errors are exempt.
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

/// Sets up logging to standard output, which a separate thread writes. Dropping
/// the guard flushes the remaining lines.
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
        eprintln!("logging is already initialized: {error}");
    }
    guard
}
