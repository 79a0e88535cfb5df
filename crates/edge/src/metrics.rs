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
use http::{HeaderValue, Response, Uri, header};

use crate::{
    body,
    clients::MAX_METRICS,
    explain::{self, Explainer},
    listen, logs,
    shared::Shared,
};

/// Upper bounds of the histogram buckets, in milliseconds; a further bucket counts
/// all higher values. They range from the response time of a plain service to the
/// longest timeout in use.
const BUCKETS_MS: [u64; 14] = [
    5, 10, 25, 50, 100, 200, 300, 500, 800, 1_200, 2_500, 5_000, 10_000, 20_000,
];

/// The events that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests received from callers.
    Requests,
    /// Requests sent to targets, including retries.
    Sends,
    /// Responses delivered completely.
    Answered,
    /// Streams delivered completely.
    Streamed,
    /// Streams that were aborted.
    Aborted,
    /// Requests to which the router responded with its own error.
    Refused,
    /// Requests shed because the service was overloaded.
    Shed,
    /// Shed requests whose callers were told to return when the backlog of the service
    /// is worked off.
    AssignedReturns,
    /// Requests whose callers were told to return because the router had just started
    /// and did not know which prompt parts engines have cached.
    DeferredPrompts,
    /// Attempts that targets did not process.
    NotRun,
    /// Attempts whose outcome is unknown, or that failed at the target and may be
    /// retried.
    OutcomeUnknown,
    /// Attempts that reached the deadline.
    Timeouts,
    /// Retries that the retry budget did not allow.
    RetriesDenied,
    /// Streams that were resumed at another target.
    Resumed,
    /// Prompt parts that were refused because they crash targets.
    RefusedParts,
    /// Targets that said in a response that they are leaving.
    LeavesSeen,
    /// Refusals of targets that asked for no requests for some time.
    Pauses,
    /// Requests sent to cold targets.
    ColdSends,
    /// Requests for which a cold target was left out because of its limit.
    ColdDiverted,
    /// Requests that were also sent to a second target.
    Hedges,
    /// Second attempts that responded first.
    HedgesWon,
    /// Requests that waited unusually long and were not sent to a second target.
    HedgesSkipped,
    /// Figures of contention received from targets.
    ContentionFigures,
    /// Calls to the table.
    TableCalls,
    /// Calls to the table that failed.
    TableFailures,
    /// Calls that asked whether a waiting call to the table has missed a change.
    FeedChecks,
    /// Changes that waiting calls to the table had missed.
    MissedChanges,
    /// Updates received from other routers.
    UpdatesReceived,
    /// Requests that were kept out of an evacuated data centre with targets of their
    /// service.
    KeptFromEvacuated,
    /// Requests that were kept out of a data centre outside their regions.
    KeptToRegions,
    /// Requests that were refused because they may run in no data centre.
    NotPermitted,
}

impl Counter {
    const ALL: [(Self, &'static str); 31] = [
        (Self::Requests, "requests"),
        (Self::Sends, "sends"),
        (Self::Answered, "answered"),
        (Self::Streamed, "streamed"),
        (Self::Aborted, "streams_aborted"),
        (Self::Refused, "refused"),
        (Self::Shed, "shed"),
        (Self::AssignedReturns, "returns_assigned"),
        (Self::DeferredPrompts, "prompts_deferred"),
        (Self::NotRun, "attempts_not_run"),
        (Self::OutcomeUnknown, "attempts_lost"),
        (Self::Timeouts, "attempts_timed_out"),
        (Self::RetriesDenied, "repeats_denied"),
        (Self::Resumed, "streams_resumed"),
        (Self::RefusedParts, "parts_refused"),
        (Self::LeavesSeen, "target_leaves_seen"),
        (Self::Pauses, "target_pauses"),
        (Self::ColdSends, "cold_sends"),
        (Self::ColdDiverted, "cold_diverted"),
        (Self::Hedges, "hedges"),
        (Self::HedgesWon, "hedges_won"),
        (Self::HedgesSkipped, "hedges_skipped"),
        (Self::ContentionFigures, "contention_figures"),
        (Self::TableCalls, "table_calls"),
        (Self::TableFailures, "table_failures"),
        (Self::FeedChecks, "feed_checks"),
        (Self::MissedChanges, "changes_missed"),
        (Self::UpdatesReceived, "news_received"),
        (Self::KeptFromEvacuated, "kept_from_evacuated"),
        (Self::KeptToRegions, "kept_to_regions"),
        (Self::NotPermitted, "not_permitted"),
    ];
}

/// A latency histogram.
#[derive(Debug, Default)]
pub struct Histogram {
    counts: [AtomicU64; BUCKETS_MS.len() + 1],
    micros: AtomicU64,
}

impl Histogram {
    /// Records one latency.
    pub fn record(&self, value: span::Span) {
        let millis = value.as_micros().div_ceil(1_000);
        let bucket = BUCKETS_MS.partition_point(|bound| *bound < millis);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        self.micros.fetch_add(value.as_micros(), Ordering::Relaxed);
    }

    fn write(&self, text: &mut String, name: &str) -> fmt::Result {
        let mut total = 0;
        for (count, bound) in self.counts.iter().zip(BUCKETS_MS) {
            total += count.load(Ordering::Relaxed);
            writeln!(text, "ebonywall_{name}_bucket{{le=\"{bound}\"}} {total}")?;
        }
        total += self.counts[BUCKETS_MS.len()].load(Ordering::Relaxed);
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
    /// Time from receiving a request to receiving the head of its response from a
    /// target.
    pub head_latency: Histogram,
    /// Time from receiving a request to the end of its response.
    pub total_latency: Histogram,
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.counters[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Renders all metrics as text.
    ///
    /// # Errors
    ///
    /// Never in practice, because writing to a string does not fail.
    pub fn render(&self, shared: &Shared) -> Result<String, fmt::Error> {
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
        writeln!(text, "ebonywall_table_era {}", shared.eras.latest())?;
        let fleet = shared.fleet.load();
        let targets = fleet.as_ref().map_or(0, |fleet| fleet.targets().count());
        writeln!(text, "ebonywall_targets {targets}")?;
        let evacuated = shared.evacuated.load().len();
        writeln!(text, "ebonywall_evacuated_data_centres {evacuated}")?;
        let cold = shared.cold_targets(shared.clock.now());
        writeln!(text, "ebonywall_cold_targets {cold}")?;
        let routers = shared.routers.load(Ordering::Relaxed);
        writeln!(text, "ebonywall_routers {routers}")?;
        writeln!(text, "ebonywall_body_bytes {}", shared.room.used())?;
        let connections = shared.connections.count();
        writeln!(text, "ebonywall_caller_connections {connections}")?;
        for (name, total) in shared.limits.totals() {
            writeln!(text, "ebonywall_{name}_total {total}")?;
        }
        let released = shared.room.released();
        writeln!(text, "ebonywall_clients_released_total {released}")?;
        writeln!(text, "ebonywall_ready {}", u8::from(shared.is_ready()))?;
        self.head_latency.write(&mut text, "response_head_ms")?;
        self.total_latency.write(&mut text, "request_ms")?;
        Ok(text)
    }
}

/// Serves the metrics address, and explanations of decisions beside, until the runtime ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(shared: Arc<Shared>) -> Result<(), Fault> {
    let address = shared.settings.metrics;
    let state = shared.clone();
    let explainer = Explainer::new(shared.clone());
    let respond = move |uri: &Uri| match uri.path() {
        explain::PATH => explainer.respond(uri),
        _ => response(&shared),
    };
    listen::serve(&state, address, MAX_METRICS, respond).await
}

fn response(shared: &Shared) -> Response<body::Body> {
    let text = shared.metrics.render(shared).unwrap_or_else(|error| {
        tracing::error!(event = "metrics_failed", %error);
        String::new()
    });
    let mut response = Response::new(body::full(text));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
