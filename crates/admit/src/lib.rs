//! Admission control: decides which requests to a target run, wait or are
//! refused.
//!
//! The agent of a target is the only process that sees every request to it, so
//! the agent, and not the routers, enforces the bound on the target's load. All
//! types are state machines: the caller passes the time, and a seed where
//! jitter is needed.
//!
//! See [the design page](../../../docs/design.md), section 2.5.

pub mod bound;
pub mod budget;
mod bursts;
pub mod cold_prompts;
pub mod controller;
pub mod crash;
pub mod crash_parts;
pub mod external;
mod fair_queue;
pub mod fleet_retries;
pub mod group;
mod jitter;
mod lifted;
pub mod part_set;
pub mod poison;
pub mod quarantine;
pub mod request;
pub mod returns;
pub mod shares;
pub mod shed;
mod survivors;
