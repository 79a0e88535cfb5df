//! Planned changes to the fleet: drain, replace, roll a version in waves, move a
//! role.
//!
//! A [`plan::Plan`] is one row of the table, made from a [`mod@request`]. Any
//! process advances it by compare-and-set, see [`advance`]; operators [`operate`]
//! on it; only a target's own agent gives orders to its target, see [`order`].
//! Weight loads take a slot, see [`weights`]. [`row`] makes the transactions, and
//! [`rollback`] notices a table that was restored from a backup.
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
