//! Metrics by statsd over UDP.
//!
//! The metrics are listed in [the reference](../../../docs/events.md).

use std::net::{SocketAddr, UdpSocket};

use base::fault::{At, Fault};
use cadence::{Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of every metric.
const PREFIX: &str = "ebonywall";

/// Metrics that wait for the sending thread; more are dropped rather than
/// delay a request.
const QUEUE: usize = 4096;

/// Sends metrics, or drops them when the settings name no address.
#[derive(Debug)]
pub struct Metrics(StatsdClient);

impl Metrics {
    /// Makes the sender.
    ///
    /// # Errors
    ///
    /// When no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> Result<Self, Fault> {
        let Some(address) = address else {
            return Ok(Self(StatsdClient::from_sink(PREFIX, NopMetricSink)));
        };
        let any: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0u16; 8], 0).into(),
        };
        let socket = UdpSocket::bind(any).at("open metrics socket", address)?;
        socket
            .set_nonblocking(true)
            .at("open metrics socket", address)?;
        let sink = UdpMetricSink::from(address, socket).at("open metrics sink", address)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
        Ok(Self(StatsdClient::from_sink(PREFIX, sink)))
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        self.0.count(name, 1).ok();
    }

    /// Tells a value that goes up and down.
    pub fn gauge(&self, name: &str, value: u64) {
        self.0.gauge(name, value).ok();
    }

    /// Counts several events.
    pub fn add(&self, name: &str, count: u64) {
        self.0
            .count(name, i64::try_from(count).unwrap_or(i64::MAX))
            .ok();
    }
}
