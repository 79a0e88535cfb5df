//! Load generator, scenarios and reports; no part of a shipped binary.

pub mod audit;
pub mod child;
pub mod client;
pub mod deploy;
pub mod drive;
pub mod faults;
pub mod limit;
pub mod meter;
pub mod path;
pub mod peer;
pub mod placement;
pub mod recovery;
pub mod relay;
pub mod report;
pub mod site;
pub mod skew;
pub mod spread;
pub mod trace;
