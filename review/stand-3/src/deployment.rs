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

/// The service of all runners.
const SERVICE: &str = "pesanan-app";

/// The key of the only tenant.
const KEY: &str = "n2ctnfzs989anu6wsjnb";

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
    next: AtomicU64,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    clients: Mutex<Vec<JoinHandle<()>>>,
}

impl Deployment {
    /// Starts the store, a runner in each zone, and routers; waits until they are ready
    /// and have exchanged their first updates.
    ///
    /// # Errors
    ///
    /// When a part does not start.
    pub fn start(record: &Record, site: Site, routers: u8) -> io::Result<Self> {
        let store = Arc::new(Store::start()?);
        store.put("op", "config", &manifest());
        let zones = site.zones.iter().enumerate();
        let runners: Result<Vec<_>, _> = zones
            .map(|(index, zone)| {
                let place = Place {
                    id: format!("i-{:08x}", 0x7f3a_91c2 + index),
                    service: SERVICE.to_owned(),
                    zone: (*zone).to_owned(),
                };
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
            next: AtomicU64::new(0),
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

    /// Sends a request that must not be repeated to a router, from a consumer of its own.
    pub fn send(&self, router: usize) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("{:016x}", 0x9c41_d07b_0000_0000 + number);
        let limit = TIME_LIMIT.as_millis().to_string();
        let headers = [
            ("Host", "ficu95.example"),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Ms", limit.as_str()),
            ("Api-Key", KEY),
        ];
        let mut request = http::response("", &headers, format!("order {number}\n"));
        request.start = "POST /die-order/2f HTTP/1.1".to_owned();
        let peer = self.routers[router].callers();
        let (record, exchanges) = (self.record.clone(), self.exchanges.clone());
        let sent = record.now();
        let client = thread::spawn(move || {
            let response = http::call(peer, &request, TIME_LIMIT);
            let status = response.as_ref().map_or(0, Message::status);
            record.line(&format!(
                "{attempt} sent at {:.3} s to router {} is answered: {status}",
                sent.as_secs_f64(),
                router + 1
            ));
            lock(&exchanges).push(Exchange {
                attempt,
                router,
                sent,
                status,
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

fn manifest() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-6bxty4y\",\"hostname\":\"ficu95.example\",\
         \"prefix\":\"/die-order/\",\"type\":\"non_idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"{SERVICE}\",\
         \"max_attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls_enabled\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}
