//! Clients of the platform's table, object store and instance list.
//!
//! The decisions are pure and take the time and a random number as arguments:
//! [`backoff`], [`breaker`], [`budget`], [`bucket`], [`ramp`] and [`control`],
//! which combines them. [`guard`] gives them a clock, and the clients send the
//! requests. See [the design page](../../../docs/design.md), section 2.7, and
//! section 3.1 for the protocols.

pub mod backoff;
pub mod breaker;
pub mod bucket;
pub mod budget;
pub mod control;
pub mod error;
pub mod guard;
pub mod http;
pub mod list;
pub mod object;
pub mod ramp;
pub mod service;
pub mod share;
pub mod table;
