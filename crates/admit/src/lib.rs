//! Decides, beside one target, which requests run, wait or are refused.
//!
//! The agent is the only process that sees every request to its target, so the
//! bound is decided here and not in the routers. All types are state machines:
//! the caller passes the time, and a seed where jitter is needed.
//!
//! See [the design page](../../../docs/design.md), section 2.5.

pub mod bound;
pub mod budget;
pub mod controller;
pub mod external;
mod fair_queue;
pub mod fleet_retries;
pub mod group;
mod jitter;
pub mod poison;
pub mod quarantine;
pub mod request;
pub mod shares;
pub mod shed;
