//! Load generator, scenarios and reports; no part of a shipped binary.

pub mod audit;
pub mod child;
pub mod client;
pub mod deploy;
pub mod faults;
pub mod meter;
pub mod path;
pub mod peer;
pub mod recovery;
pub mod site;
pub mod spread;
