//! Members of the fleet, their loads, and the gossip exchange that spreads both
//! within a byte budget.
//!
//! The crate is deterministic: it has no clock, no I/O and no randomness except
//! a seed. See [the design page](../../../docs/design.md), sections 2.7 and
//! 3.2.

pub mod budget;
pub mod convert;
mod crash;
pub mod digest;
pub mod exchange;
pub mod heartbeat;
pub mod member;
pub mod neighbour;
pub mod pack;
pub mod rules;
mod space;
