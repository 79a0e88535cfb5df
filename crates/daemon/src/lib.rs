//! The daemon in its two roles, built on the decision crates.
//!
//! See [the design page](../../../docs/design.md), section 2.

pub mod body;
pub mod hint;
pub mod link;
pub mod logs;
pub mod metrics;
pub mod outlet;
pub mod problem;
pub mod prompt;
pub mod serve;
pub mod target;
pub mod tls;
