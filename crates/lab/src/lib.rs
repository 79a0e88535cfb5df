//! Plays the router's decisions against a model of what it serves, in simulated
//! time.
//!
//! A [`site::Site`] describes targets, callers and faults; [`play::play`] runs the
//! code of `edge`, `place` and `admit` on it and returns an [`outcome::Outcome`].
//! The same site, seed and policy always give the same outcome. See
//! [the lab's page](../../../docs/lab.md).

pub mod arrivals;
pub mod compare;
pub mod engine;
pub mod event;
pub mod memory;
pub mod node;
pub mod outcome;
pub mod plain;
pub mod play;
pub mod policy;
pub mod report;
pub mod site;
pub mod sweep;
