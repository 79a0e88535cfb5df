//! Load generator, scenarios and reports; no part of a shipped binary.

pub mod child;
pub mod client;
pub mod deploy;
pub mod path;
pub mod recovery;
