//! Counters and latency histograms, served as text on the metrics address.
//!
//! The names are listed in [the operators' page](../../../docs/OPERATIONS.md).

use std::{
    fmt::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use base::{fault::Fault, span};
use http::{HeaderValue, Response, header};

use crate::{body, listen, logs, shared::Shared};

/// Upper bounds of the histograms' buckets in milliseconds; a further bucket
/// counts everything above. They reach from a plain service's answer to the
/// longest time limit that is in use.
const BUCKETS: [u64; 14] = [
    5, 10, 25, 50, 100, 200, 300, 500, 800, 1_200, 2_500, 5_000, 10_000, 20_000,
];

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests of callers.
    Requests,
    /// Requests sent to targets, repeats included.
    Sends,
    /// Responses delivered whole.
    Answered,
    /// Streams delivered whole.
    Streamed,
    /// Streams that were aborted.
    Aborted,
    /// Requests that the router refused or failed itself.
    Refused,
    /// Requests refused because the engines have too much work.
    Shed,
    /// Attempts that targets did not run.
    NotRun,
    /// Attempts whose outcome is unknown.
    Lost,
    /// Attempts that reached the time limit.
    Timeouts,
    /// Repeats that the budget denied.
    Denied,
    /// Streams that went on at another target.
    Resumed,
    /// Calls to the table.
    TableCalls,
    /// Calls to the table that failed.
    TableFailures,
    /// Datagrams from other routers.
    News,
}

impl Counter {
    const ALL: [(Self, &'static str); 15] = [
        (Self::Requests, "requests"),
        (Self::Sends, "sends"),
        (Self::Answered, "answered"),
        (Self::Streamed, "streamed"),
        (Self::Aborted, "streams_aborted"),
        (Self::Refused, "refused"),
        (Self::Shed, "shed"),
        (Self::NotRun, "attempts_not_run"),
        (Self::Lost, "attempts_lost"),
        (Self::Timeouts, "attempts_timed_out"),
        (Self::Denied, "repeats_denied"),
        (Self::Resumed, "streams_resumed"),
        (Self::TableCalls, "table_calls"),
        (Self::TableFailures, "table_failures"),
        (Self::News, "news_received"),
    ];
}

/// A latency histogram.
#[derive(Debug, Default)]
pub struct Histogram {
    counts: [AtomicU64; BUCKETS.len() + 1],
    micros: AtomicU64,
}

impl Histogram {
    /// Adds one value.
    pub fn add(&self, value: span::Span) {
        let millis = value.as_micros().div_ceil(1_000);
        let bucket = BUCKETS.partition_point(|bound| *bound < millis);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        self.micros.fetch_add(value.as_micros(), Ordering::Relaxed);
    }

    fn write(&self, text: &mut String, name: &str) -> fmt::Result {
        let mut total = 0;
        for (count, bound) in self.counts.iter().zip(BUCKETS) {
            total += count.load(Ordering::Relaxed);
            writeln!(text, "ebonywall_{name}_bucket{{le=\"{bound}\"}} {total}")?;
        }
        total += self.counts[BUCKETS.len()].load(Ordering::Relaxed);
        writeln!(text, "ebonywall_{name}_bucket{{le=\"+Inf\"}} {total}")?;
        let sum = self.micros.load(Ordering::Relaxed) / 1_000;
        writeln!(text, "ebonywall_{name}_sum {sum}")?;
        writeln!(text, "ebonywall_{name}_count {total}")
    }
}

/// The metrics of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: [AtomicU64; Counter::ALL.len()],
    /// Time from a request to the head of its response at the router.
    pub first: Histogram,
    /// Time from a request to its end.
    pub whole: Histogram,
}

impl Metrics {
    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.counters[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Never in practice: writing to a string does not fail.
    pub fn text(&self, shared: &Shared) -> Result<String, fmt::Error> {
        let mut text = String::new();
        for (counter, name) in Counter::ALL {
            let count = self.counters[counter as usize].load(Ordering::Relaxed);
            writeln!(text, "ebonywall_{name}_total {count}")?;
        }
        writeln!(
            text,
            "ebonywall_log_lines_dropped_total {}",
            logs::dropped()
        )?;
        writeln!(text, "ebonywall_config_version {}", shared.version())?;
        let fleet = shared.fleet.load();
        let targets = fleet.as_ref().map_or(0, |fleet| fleet.targets().count());
        writeln!(text, "ebonywall_targets {targets}")?;
        let routers = shared.routers.load(Ordering::Relaxed);
        writeln!(text, "ebonywall_routers {routers}")?;
        writeln!(text, "ebonywall_body_bytes {}", shared.room.used())?;
        writeln!(text, "ebonywall_ready {}", u8::from(shared.is_ready()))?;
        self.first.write(&mut text, "response_head_ms")?;
        self.whole.write(&mut text, "request_ms")?;
        Ok(text)
    }
}

/// Serves the metrics address until the runtime ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(shared: Arc<Shared>) -> Result<(), Fault> {
    listen::serve(shared.settings.metrics, move || answer(&shared)).await
}

fn answer(shared: &Shared) -> Response<body::Body> {
    let text = shared.metrics.text(shared).unwrap_or_else(|error| {
        tracing::error!(event = "metrics_failed", %error);
        String::new()
    });
    let mut response = Response::new(body::full(text));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
