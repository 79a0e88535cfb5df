//! Chooses the target of a request.
//!
//! The choice is a pure function of an immutable [`view::View`], a
//! [`choose::Query`] and a seed. The view may be seconds old. A choice from stale
//! data costs one extra hop: the agent of the chosen target knows the exact load
//! and refuses requests beyond the bound.
//!
//! See [the design page](../../../docs/design.md), section 2.4.

pub mod breaker;
pub mod choose;
pub mod cold;
pub mod contention;
pub mod cost;
pub mod hedge;
pub mod latency;
pub mod policy;
mod rank;
pub mod region;
pub mod slowdown;
pub mod standing;
pub mod view;
