//! Settings of one process, and the configuration that all processes share.
//!
//! [`settings`] reads what a process needs in order to start. [`state`] holds
//! the shared configuration with its rules and
//! [`change`] the changes to it.
//!
//! See [the design page](../../../docs/design.md), sections 2.7 and 3.2.

pub mod change;
pub mod difference;
mod jsonc;
pub mod map;
pub mod settings;
pub mod state;
pub mod value;
