//! A small deployment: a store, routers, runners and consumers.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    http::{self, Message, lock},
    record::Record,
    router::{self, Router, Site},
    runner::{Place, Runner},
    store::Store,
};

/// The service of the plain runners.
const SERVICE: &str = "pesanan-app";

/// The service of the model runners.
const MODEL: &str = "ukir-model";

/// Tokens of a request: those of its prompt, and the most of its answer.
const TOKENS: &str = "1460,80";

/// A key of the only tenant.
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Another one.
pub const OTHER_KEY: &str = "bdk9eevyxq2yyazax6pw";

/// Version of the first manifest.
const FIRST_VERSION: u32 = 7;

/// Time limit of a consumer.
const TIME_LIMIT: Duration = Duration::from_millis(3_000);

/// Settings of the sites perdana-tin and lsrmc-ebonywall.
pub const PERDANA: Site = Site {
    policies: "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"",
    zones: &["shah-alam", "petaling", "subang"],
    contact_ms: 3_000,
    drain_ms: 2_000,
    config_ms: 2_000,
    allowance: 58,
    bounds: "",
};

/// Settings of the site caap-ebonywall-grown.
pub const CAAP: Site = Site {
    policies: "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"pool\",\"engine\",\"stream\",\"tenants\",\"places\",\"pressure\",\"platform\"",
    zones: &["nord-a", "nord-b", "nord-c", "nord-d"],
    contact_ms: 4_000,
    drain_ms: 3_000,
    config_ms: 3_000,
    allowance: 86,
    bounds: "cold_overage = 1.5\ncold_allowance = 5\nevacuation_ms = 5000\n",
};

/// What a consumer sent, and what it got.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The id of the attempt.
    pub attempt: String,
    /// The router that it was sent to.
    pub router: usize,
    /// When it was sent.
    pub sent: Duration,
    /// Status of the response, 0 if there was none.
    pub status: u16,
    /// The shared part of its prompt, if it has one.
    pub part: Option<String>,
    /// The key.
    pub key: String,
}

/// The deployment.
#[derive(Debug)]
pub struct Deployment {
    /// The record of the play.
    pub record: Record,
    /// The store.
    pub store: Arc<Store>,
    /// The runners.
    pub runners: Vec<Runner>,
    /// The routers.
    pub routers: Vec<Router>,
    next: Arc<AtomicU64>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    clients: Mutex<Vec<JoinHandle<()>>>,
}

impl Deployment {
    /// Starts the store, a plain runner in each zone, and routers; waits until they are
    /// ready and have exchanged their first updates.
    ///
    /// # Errors
    ///
    /// When a part does not start.
    pub fn start(record: &Record, site: Site, routers: u8) -> io::Result<Self> {
        let places = (0..site.zones.len()).map(|index| place(SERVICE, site, index));
        Self::start_places(record, site, routers, places.collect())
    }

    /// Does the same with runners of these places.
    ///
    /// # Errors
    ///
    /// When a part does not start.
    pub fn start_places(
        record: &Record,
        site: Site,
        routers: u8,
        places: Vec<Place>,
    ) -> io::Result<Self> {
        let store = Arc::new(Store::start()?);
        store.put("op", "config", &manifest(FIRST_VERSION, &[KEY, OTHER_KEY]));
        let runners: Result<Vec<_>, _> = places
            .into_iter()
            .map(|place| {
                // Not all report at the same moment.
                thread::sleep(Duration::from_millis(130));
                Runner::start(place, &store, record)
            })
            .collect();
        let port = router::free_ports()?;
        let started = (1..=routers).map(|it| Router::start(site, it, port, store.address()));
        let started: Result<Vec<_>, _> = started.collect();
        let deployment = Self {
            record: record.clone(),
            store,
            runners: runners?,
            routers: started?,
            next: Arc::default(),
            exchanges: Arc::default(),
            clients: Mutex::default(),
        };
        for router in &deployment.routers {
            router.wait_ready()?;
        }
        thread::sleep(Duration::from_secs(2));
        record.say(&format!("{routers} routers are ready"));
        Ok(deployment)
    }

    /// Sends an order that must not be repeated to a router, from a consumer of its own.
    pub fn send(&self, router: usize) {
        self.send_request(router, KEY, None, None);
    }

    /// Sends an order with the other key.
    pub fn send_other(&self, router: usize) {
        self.send_request(router, OTHER_KEY, None, None);
    }

    /// Writes a manifest as the operator, with the other key or without it, and returns
    /// the version of the store that acknowledges it.
    pub fn put_manifest(&self, version: u32, has_other: bool) -> Option<u64> {
        let keys: &[&str] = match has_other {
            true => &[KEY, OTHER_KEY],
            false => &[KEY],
        };
        self.store.put("op", "config", &manifest(version, keys))
    }

    /// Sends a request for a stream to a router, in whose prompt the part comes between
    /// one that all share and one of its own.
    pub fn send_prompt(&self, router: usize, part: &str) {
        self.send_request(router, KEY, Some(part), None);
    }

    /// Does the same, with a document of its own between the part and the last one, which
    /// have so many tokens.
    pub fn send_document(&self, router: usize, part: &str, tokens: [u32; 2]) {
        self.send_request(router, KEY, Some(part), Some(tokens));
    }

    fn send_request(
        &self,
        router: usize,
        key: &str,
        part: Option<&str>,
        document: Option<[u32; 2]>,
    ) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("{:016x}", 0x9c41_d07b_0000_0000 + number);
        let limit = TIME_LIMIT.as_millis().to_string();
        let mut headers = vec![
            ("Host", "ficu95.example"),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Ms", limit.as_str()),
            ("Api-Key", key),
        ];
        let own = match document {
            Some([document, last]) => format!("d0c{number:05x}:{document},{number:08x}:{last}"),
            None => format!("{number:08x}:250"),
        };
        let prompt = part.map(|part| format!("5c1e07a2:800,{part}:410,{own}"));
        if let Some(prompt) = &prompt {
            headers.push(("X-Model", "m"));
            headers.push(("X-Token-Usage", TOKENS));
            headers.push(("X-Prompt-Prefix", prompt));
        }
        let mut request = http::response("", &headers, format!("order {number}\n"));
        request.start = match part {
            Some(_) => "POST /artwork-brief/2f HTTP/1.1".to_owned(),
            None => "POST /die-order/2f HTTP/1.1".to_owned(),
        };
        let (part, key) = (part.map(str::to_owned), key.to_owned());
        let peer = self.routers[router].callers();
        let (record, exchanges) = (self.record.clone(), self.exchanges.clone());
        let sent = record.now();
        let client = thread::spawn(move || {
            let response = http::call(peer, &request, TIME_LIMIT);
            let status = response.as_ref().map_or(0, Message::status);
            record.line(&format!(
                "{attempt} sent at {:.3} s to router {} (part {}) is answered: {status}",
                sent.as_secs_f64(),
                router + 1,
                part.as_deref().unwrap_or("none")
            ));
            lock(&exchanges).push(Exchange {
                attempt,
                router,
                sent,
                status,
                part,
                key,
            });
        });
        lock(&self.clients).push(client);
    }

    /// Sends requests to all routers in turn, at an even rate, until a time of the record.
    pub fn send_until(&self, end: Duration, interval: Duration) {
        let mut router = 0;
        while self.record.now() < end {
            self.send(router);
            router = (router + 1) % self.routers.len();
            thread::sleep(interval);
        }
    }

    /// Sleeps until a time of the record.
    pub fn sleep_until(&self, time: Duration) {
        thread::sleep(time.saturating_sub(self.record.now()));
    }

    /// Waits for all consumers, and returns what they sent and got.
    pub fn exchanges(&self) -> Vec<Exchange> {
        for client in lock(&self.clients).drain(..) {
            // A consumer that panicked has sent nothing.
            let _ = client.join();
        }
        lock(&self.exchanges).clone()
    }

    /// Checks that all routers still run and answered something before a time; the case
    /// has not run otherwise.
    ///
    /// # Errors
    ///
    /// When a router has ended or served nothing.
    pub fn check_served(&mut self, before: Duration) -> io::Result<()> {
        let exchanges = self.exchanges();
        for (index, router) in self.routers.iter_mut().enumerate() {
            let mut own = exchanges.iter().filter(|it| it.router == index);
            if !router.is_running() || !own.any(|it| it.sent < before && it.status == 200) {
                let name = router.name();
                return Err(io::Error::other(format!("{name} served nothing")));
            }
        }
        Ok(())
    }
}

/// Returns the place of the runner with this index.
fn place(service: &str, site: Site, index: usize) -> Place {
    Place {
        // No two plays share an id: their runners may have had the same address.
        id: format!("i-{:08x}", (std::process::id() as usize) << 12 | index),
        service: service.to_owned(),
        zone: site.zones[index % site.zones.len()].to_owned(),
        is_chunked: false,
    }
}

/// Returns the place of the plain runner with this index.
pub fn plain_place(site: Site, index: usize) -> Place {
    place(SERVICE, site, index)
}

/// Returns the place of the model runner with this index, whose streams come in chunks or
/// with their length.
pub fn model_place(site: Site, index: usize, is_chunked: bool) -> Place {
    Place {
        is_chunked,
        ..place(MODEL, site, index)
    }
}

fn manifest(version: u32, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-6bxty4y\",\"hostname\":\"ficu95.example\",\
         \"prefix\":\"/die-order/\",\"type\":\"non_idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"{SERVICE}\",\
         \"max_attempts\":1,\"public\":false}},{{\"name\":\"r-8x7n2qk\",\
         \"hostname\":\"ficu95.example\",\"prefix\":\"/artwork-brief/\",\"type\":\"streaming\",\
         \"timeout_ms\":12000,\"target_latency_ms\":1200,\"priority\":1,\
         \"service\":\"{MODEL}\",\"max_attempts\":1,\"public\":false,\
         \"session_affinity\":true,\"resumable\":false,\"target_gap_ms\":800}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls_enabled\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}},\
         {{\"name\":\"{MODEL}\",\"health_path\":\"/healthz\",\"max_connections\":370,\
         \"protocol\":\"h1\",\"tls_enabled\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
         \"backend_engine\":{{\"batch_slots\":64,\"kv_capacity\":473972,\"kv_bytes\":18432,\
         \"bandwidth_mbps\":370000.0,\"migrations\":true,\"replicas\":true,\"interval\":7,\
         \"most\":2,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{keys}],\"priority\":1}}]}}"
    )
}
