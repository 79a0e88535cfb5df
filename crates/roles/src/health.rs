//! Health pages for the platform's load balancer.

use std::sync::{
    Arc,
    atomic::{AtomicU8, AtomicU64, Ordering},
};

use futures_util::FutureExt;
use http::{Response, StatusCode};

use crate::{body, serve};

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum State {
    /// Not ready for work yet.
    Starting = 0,
    /// Takes work.
    Ready = 1,
    /// Shutting down.
    Leaving = 2,
}

/// The state as it is shown.
#[derive(Debug, Default)]
pub struct Health {
    state: AtomicU8,
    /// Bytes of control traffic, sent and received.
    control: AtomicU64,
}

impl Health {
    /// Sets the state; leaving is final.
    pub fn set(&self, state: State) {
        self.state.fetch_max(state as u8, Ordering::Relaxed);
    }

    /// Returns whether new work is taken.
    pub fn ready(&self) -> bool {
        self.state.load(Ordering::Relaxed) == State::Ready as u8
    }

    /// Sets the bytes of control traffic since the start.
    pub fn control(&self, bytes: u64) {
        self.control.store(bytes, Ordering::Relaxed);
    }

    fn page(&self) -> (StatusCode, &'static str) {
        match self.state.load(Ordering::Relaxed) {
            0 => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
            1 => (StatusCode::OK, "ready\n"),
            _ => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        }
    }
}

/// Makes the handler of the health listener: `/livez`, `/readyz` and
/// `/control`, the bytes of control traffic since the start.
pub fn handler(health: Arc<Health>) -> serve::Handler {
    Arc::new(move |request| {
        let fixed = |(status, text): (StatusCode, &str)| (status, text.to_owned());
        let (status, text) = match request.uri().path() {
            "/livez" => fixed((StatusCode::OK, "alive\n")),
            "/readyz" => fixed(health.page()),
            "/control" => {
                let bytes = health.control.load(Ordering::Relaxed);
                (StatusCode::OK, format!("{bytes}\n"))
            }
            _ => fixed((StatusCode::NOT_FOUND, "not found\n")),
        };
        let mut response = Response::new(body::full(text));
        *response.status_mut() = status;
        async move { response }.boxed()
    })
}
