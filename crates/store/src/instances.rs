//! The client of the platform's instance list.

use std::{net::SocketAddr, sync::Arc};

use base::{
    fault::{At, Fault},
    id, span,
};
use serde::Deserialize;

use crate::{
    error::Error,
    service::{Options, Service},
};

/// Time for one attempt of a call.
const TIMEOUT: span::Span = span::Span::from_secs(2);

/// Returns the usual options of a client for an instance list.
pub fn options(peer: SocketAddr) -> Options {
    Options::new(peer, TIMEOUT)
}

/// Whether an instance is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It stays.
    Live,
    /// It will be removed and must get no new work.
    Leaving,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// The process in the instance's slot.
    pub id: id::ProcessId,
    /// The address of that process.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: id::DataCentre,
    /// The service that the instance's target belongs to; a router has none.
    #[serde(default)]
    pub service: Option<id::ServiceId>,
    /// Whether the instance is to stay.
    pub state: State,
}

/// The list as the platform reports it, which lags by seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct InstanceList {
    /// All instances.
    pub instances: Vec<Instance>,
    /// Increases with each change; a page with a lower revision than one seen
    /// before is out of date.
    pub revision: u64,
}

/// A client of the instance list; clones share the connections and the limits.
#[derive(Clone, Debug)]
pub struct Instances(Arc<Service>);

impl Instances {
    /// Makes a client; it connects with the first call.
    pub fn new(options: Options) -> Self {
        Self(Arc::new(Service::new(options)))
    }

    /// Reads the list; the cause of a fault is an [`Error`].
    pub async fn read(&self) -> Result<InstanceList, Fault> {
        let reply = self.0.read("/v1/instances", &[]).await;
        let page = reply.and_then(|reply| {
            serde_json::from_slice(&reply.body).map_err(|error| Error::Reply(Box::new(error)))
        });
        page.at("read instances", self.0.peer())
    }
}
