//! Chooses the target of a request.
//!
//! The choice is a pure function of an immutable [`view::View`], a
//! [`choose::Query`] and a seed. It decides from knowledge that may be seconds
//! old, so a wrong choice costs one hop: the agent of the chosen target knows
//! its load exactly and refuses what exceeds the bound.
//!
//! See [the design page](../../../docs/design.md), section 2.4.

pub mod breaker;
pub mod choose;
pub mod cost;
pub mod latency;
pub mod policy;
mod rank;
pub mod slowdown;
pub mod standing;
pub mod view;
