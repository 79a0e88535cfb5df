//! Compares what callers were told with what targets did.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use base::hash;
use hdrhistogram::Histogram;

use crate::{client::Received, site::Site};

/// A call as its caller remembers it.
#[derive(Clone, Debug)]
struct Told {
    /// Idempotency key, if any.
    key: Option<String>,
    /// Request id, if the caller learned it.
    request: String,
    outcome: String,
    /// Whether the response ended as its framing says.
    complete: bool,
    /// Whether its content is whole.
    whole: bool,
    /// Whether the response was that of the caller's own request.
    own: bool,
    streamed: bool,
}

/// What callers were told.
#[derive(Debug)]
pub struct Audit {
    told: Mutex<Vec<Told>>,
    latency: Mutex<Histogram<u64>>,
}

/// What became of all calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Calls.
    pub calls: usize,
    /// Calls that were told done, with a whole response.
    pub done: usize,
    /// Calls that were told not-run.
    pub not_run: usize,
    /// Calls that were told unknown.
    pub unknown: usize,
    /// Calls without any answer, such as after the death of the router.
    pub silent: usize,
    /// Idempotency keys and unkeyed requests that ran more than once although
    /// they must not.
    pub doubled: usize,
    /// Requests that were told not-run and ran.
    pub false_not_run: usize,
    /// Responses that looked complete and were not.
    pub cut: usize,
    /// Responses of another request.
    pub crossed: usize,
    /// Streams that were aborted visibly.
    pub aborted: usize,
    /// Writes of the table for each keyed call, in hundredths.
    pub table_writes: u64,
    /// Time of a call, in milliseconds.
    pub p50: u64,
    /// As above.
    pub p99: u64,
}

impl Default for Audit {
    fn default() -> Self {
        Self {
            told: Mutex::default(),
            latency: Mutex::new(Histogram::new(3).expect("3 digits are allowed")),
        }
    }
}

impl Audit {
    /// Notes the answer to a plain call with this body.
    pub fn plain(&self, key: Option<&str>, body: &[u8], received: &Received) {
        let reply: Option<fakes::service::Reply> = serde_json::from_slice(&received.body).ok();
        let done = received.outcome() == "done";
        let digest = format!("{:016x}", hash::bytes(body));
        let own = !done
            || !received.complete
            || reply.as_ref().is_some_and(|reply| reply.digest == digest);
        self.note(Told {
            key: key.map(str::to_owned),
            request: received.header("x-request-id").to_owned(),
            outcome: received.outcome().to_owned(),
            complete: received.complete,
            whole: reply.is_some(),
            own,
            streamed: false,
        });
        self.time(received.total);
    }

    /// Notes the answer to a streamed chat.
    pub fn chat(&self, received: &Received) {
        let id = received.header("x-request-id").to_owned();
        let text = String::from_utf8_lossy(&received.body);
        let ids = text.matches("\"id\":\"chatcmpl-").count();
        let own = text.matches(&format!("\"id\":\"chatcmpl-{id}\"")).count();
        self.note(Told {
            key: None,
            request: id,
            outcome: received.outcome().to_owned(),
            complete: received.complete,
            whole: text.ends_with("data: [DONE]\n\n"),
            own: own == ids,
            streamed: true,
        });
        self.time(received.total);
    }

    fn note(&self, told: Told) {
        self.told
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(told);
    }

    fn time(&self, time: Duration) {
        let mut latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        latency.record(time.as_millis() as u64).ok();
    }

    /// Compares with the records of the targets.
    pub fn verdict(&self, site: &Site) -> Verdict {
        let told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let by_id = site.executions(false);
        let by_key = site.executions(true);
        let mut verdict = Verdict {
            calls: told.len(),
            doubled: doubled(&told, &by_id, &by_key),
            ..Verdict::default()
        };
        for told in told.iter() {
            verdict.count(told, &by_id);
        }
        let keyed = told.iter().filter(|told| told.key.is_some()).count() as u64;
        let writes = site.platform.table.counts().writes;
        verdict.table_writes = writes * 100 / keyed.max(1);
        let latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        verdict.p50 = latency.value_at_quantile(0.5);
        verdict.p99 = latency.value_at_quantile(0.99);
        verdict
    }
}

fn doubled(told: &[Told], by_id: &BTreeMap<String, u32>, by_key: &BTreeMap<String, u32>) -> usize {
    let keys = by_key.values().filter(|count| **count > 1).count();
    let plain = told
        .iter()
        .filter(|told| !told.streamed && told.key.is_none());
    let ids = plain
        .filter(|told| by_id.get(&told.request).is_some_and(|count| *count > 1))
        .count();
    keys + ids
}

impl Verdict {
    fn count(&mut self, told: &Told, by_id: &BTreeMap<String, u32>) {
        match told.outcome.as_str() {
            "done" if !told.complete => self.aborted += 1,
            "done" if told.whole => self.done += 1,
            "done" => self.cut += 1,
            "not-run" => self.not_run += 1,
            "unknown" => self.unknown += 1,
            _ => self.silent += 1,
        }
        if !told.own {
            self.crossed += 1;
        }
        if told.outcome == "not-run" && by_id.contains_key(&told.request) {
            self.false_not_run += 1;
        }
    }

    /// Tells whether nothing happened that must not.
    pub fn sound(&self) -> bool {
        self.doubled + self.false_not_run + self.cut + self.crossed == 0
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "calls={} done={} not_run={} unknown={} silent={} aborted={} doubled={} \
             false_not_run={} cut={} crossed={} table_writes_per_request={}.{:02} p50_ms={} p99_ms={}",
            self.calls,
            self.done,
            self.not_run,
            self.unknown,
            self.silent,
            self.aborted,
            self.doubled,
            self.false_not_run,
            self.cut,
            self.crossed,
            self.table_writes / 100,
            self.table_writes % 100,
            self.p50,
            self.p99
        )
    }
}
