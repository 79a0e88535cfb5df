//! A randomized soak of the router on the users' platform.
//!
//! Routers run as processes of their own; table and targets are stand-ins. The
//! faults come from outside the processes, and what callers and targets see is
//! checked. A seed gives the same schedule of faults again, though not the same
//! interleaving. See [the proof page](../../../docs/PROOF.md).

pub mod caller;
pub mod checks;
pub mod process;
pub mod proxy;
pub mod run;
pub mod site;
