//! The language in which operators ask what holds now and order what should
//! hold next, and the service that carries it.
//!
//! The grammar is described in [the language page](../../../docs/language.md).
//! [`parse::parse`] turns a line into a typed [`command::Command`],
//! [`api::Operator`] carries it to a router, and [`render::text`] shows the
//! typed [`answer::Answer`].

pub mod answer;
pub mod api;
pub mod build;
pub mod command;
pub mod complete;
pub mod grammar;
pub mod parse;
pub mod problem;
pub mod render;
pub mod word;
