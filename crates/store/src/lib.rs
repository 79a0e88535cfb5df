//! Clients of the platform's table, object store and instance list.
//!
//! [`backoff`], [`breaker`], [`budget`], [`bucket`], [`slow_start`] and
//! [`limiter`], which combines them, do no I/O; they take the time and a random
//! number as arguments. [`guard`] adds a clock and random numbers and runs calls
//! under the limiter, and the clients send the requests. See [the design page](../../../docs/design.md), section 2.7, and
//! section 3.1 for the protocols.

pub mod backoff;
pub mod breaker;
pub mod bucket;
pub mod budget;
pub mod error;
pub mod guard;
pub mod http;
pub mod instances;
pub mod limiter;
pub mod object;
pub mod rates;
pub mod service;
pub mod slow_start;
pub mod table;
