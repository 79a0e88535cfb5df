//! Settings of one process, and the configuration that all processes share.
//!
//! [`settings`] reads what a process needs in order to start. [`state`] holds
//! the shared configuration with its rules and [`change`] the changes to it.
//! [`command`] turns a command into an accepted change in the table, [`history`]
//! follows the accepted changes, [`row`] holds the rows of both.
//!
//! See [the design page](../../../docs/design.md), sections 2.7 and 3.2.

mod allowed;
pub mod change;
mod check;
pub mod command;
pub mod difference;
mod entry;
pub mod history;
mod jsonc;
pub mod map;
pub mod row;
pub mod settings;
pub mod state;
pub mod value;
