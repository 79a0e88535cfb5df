//! Stand-ins for the platform and the targets, for tests and measurements.
//!
//! Each stand-in is an HTTP/1.1 server on a loopback address that runs in the
//! caller's tokio runtime and stops when its handle is dropped. Its faults can
//! be switched at any time through the handle, or over HTTP under
//! [`control::PREFIX`] when the stand-in runs in a process of its own.
//!
//! The protocols are described in [the design page](../../../docs/design.md),
//! section 3.1.

pub mod batch;
pub mod body;
pub mod cache;
pub mod client;
pub mod clock;
pub mod control;
pub mod engine;
pub mod events;
pub mod fault;
pub mod list;
pub mod object;
pub mod orders;
pub mod platform;
pub mod prompt;
pub mod record;
pub mod rows;
pub mod runner;
pub mod serve;
pub mod server;
pub mod service;
pub mod site;
pub mod stand;
pub mod state;
pub mod stream;
pub mod table;
pub mod weights;
