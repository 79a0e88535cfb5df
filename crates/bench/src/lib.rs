//! Load generator, scenarios and reports; no part of a shipped binary.

pub mod meter;
pub mod peer;
pub mod spread;
