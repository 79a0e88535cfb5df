//! What the traffic threads of a router know, published by its control thread.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use base::id;
use conf::state;
use place::view;
use wire::msg;

/// How to reach one agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Its address for other processes.
    pub address: SocketAddr,
    /// Its present run, as far as this router knows.
    pub incarnation: id::Incarnation,
    /// Epoch of its ledger; 0 when not known.
    pub epoch: u64,
}

/// The agents of one service.
#[derive(Clone, Debug)]
pub struct Group {
    /// For the choice of a target.
    pub view: view::View,
    /// The agents by process id.
    pub agents: BTreeMap<id::ProcessId, Agent>,
    /// The freshest load reports, to travel with a request.
    pub loads: Vec<msg::Load>,
}

/// An immutable state of the router.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration in use.
    pub conf: Arc<state::Configuration>,
    /// The services that have agents.
    pub groups: BTreeMap<id::ServiceId, Arc<Group>>,
    /// Contents that were in flight at crashes, with all that was in flight at
    /// the same ones.
    pub suspects: Arc<BTreeMap<id::Fingerprint, Vec<msg::Suspect>>>,
    /// What this router tells about itself.
    pub stamp: msg::SenderStatus,
    /// Whether the configuration is known, so that callers can be served.
    pub ready: bool,
    /// Whether the router is shutting down.
    pub leaving: bool,
}

impl Snapshot {
    /// Returns an agent of a service.
    pub fn agent(&self, service: &id::ServiceId, process: &id::ProcessId) -> Option<&Agent> {
        self.groups.get(service)?.agents.get(process)
    }
}
