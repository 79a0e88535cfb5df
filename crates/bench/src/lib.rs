//! Load generator, scenarios and reports; no part of a shipped binary.

pub mod deploy;
