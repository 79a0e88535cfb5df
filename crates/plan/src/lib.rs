//! Planned changes to the fleet: drain targets, replace them, roll out a model
//! version in waves, or change the role of targets.
//!
//! A [`plan::Plan`] is stored as one row of the table and is created from a
//! [`request::Request`]. Any process may advance it by compare-and-set
//! ([`mod@advance`]), and operators pause, resume, abort or confirm it
//! ([`operate`]). Only a target's own agent sends orders to that target
//! ([`order`]). Each weight load occupies a slot ([`weights`]). [`row`] builds the
//! transactions, and [`rollback`] detects that the table was restored from a
//! backup.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

pub mod advance;
pub mod operate;
pub mod order;
pub mod plan;
pub mod request;
pub mod rollback;
pub mod row;
pub mod weights;
