//! Types that every crate uses: ids, sizes, rates, time spans, monotonic time,
//! and an error that states the failed step and the peer.
//!
//! See [the design page](../../../docs/design.md), section 3.

pub mod cores;
pub mod fault;
pub mod hash;
pub mod id;
pub mod rate;
pub mod size;
pub mod span;
pub mod time;
mod unit;
