//! The operators' command line.
//!
//! [`session::Session`] runs lines of the language through a router;
//! [`prompt`] reads them from a terminal. See
//! [the language page](../../../docs/language.md).

pub mod code;
pub mod connect;
pub mod options;
pub mod prompt;
pub mod session;
