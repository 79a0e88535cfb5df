//! A client of the platform's instance list.

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

/// Timeout of one attempt of a call.
const TIMEOUT: span::Span = span::Span::from_secs(2);

/// Returns the default options of a client of the instance list.
pub fn options(peer: SocketAddr) -> Options {
    Options::new(peer, TIMEOUT)
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance stays.
    Live,
    /// The instance will be removed and must get no new requests.
    Leaving,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Id of the process on the instance.
    pub id: id::ProcessId,
    /// Address of that process.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: id::DataCentre,
    /// Service of the instance's target; `None` for a router.
    #[serde(default)]
    pub service: Option<id::ServiceId>,
    /// State of the instance.
    pub state: State,
}

/// The list as the platform reports it; it lags behind by seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct InstanceList {
    /// All instances.
    pub instances: Vec<Instance>,
    /// Increases with each change; a list with a lower revision than an earlier
    /// one is out of date.
    pub revision: u64,
}

/// A client of the instance list; clones share connections and limits.
#[derive(Clone, Debug)]
pub struct Instances(Arc<Service>);

impl Instances {
    /// Makes a client; the first call opens a connection.
    pub fn new(options: Options) -> Self {
        Self(Arc::new(Service::new(options)))
    }

    /// Reads the list; the cause of a fault is an [`Error`].
    pub async fn read(&self) -> Result<InstanceList, Fault> {
        let reply = self.0.read("/v1/instances", &[]).await;
        let list = reply.and_then(|reply| {
            serde_json::from_slice(&reply.body).map_err(|error| Error::Reply(Box::new(error)))
        });
        list.at("read instances", self.0.peer())
    }
}
