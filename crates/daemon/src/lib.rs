//! The daemon in its two roles, built on the decision crates.
//!
//! See [the design page](../../../docs/design.md), section 2.

pub mod agent;
pub mod agent_core;
mod agent_crashes;
mod agent_loads;
mod agent_offers;
mod agent_responses;
pub mod body;
pub mod claims;
pub mod commit;
pub mod failure;
pub mod follow;
pub mod forward;
pub mod front;
pub mod health;
pub mod hint;
pub mod job;
pub mod limits;
pub mod link;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod operate;
pub mod operate_plan;
pub mod outlet;
pub mod past;
pub mod peers;
pub mod plan_orders;
pub mod plan_runner;
pub mod plans;
pub mod platform;
pub mod problem;
pub mod process;
pub mod prompt;
pub mod refusal;
pub mod replies;
pub mod reply;
pub mod router;
pub mod router_core;
pub mod serve;
pub mod session;
pub mod snapshot;
pub mod suspects;
pub mod target;
pub mod tls;
