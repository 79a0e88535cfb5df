//! Planned changes to the fleet: drain, replace, roll a version in waves, move a
//! role.
//!
//! A [`plan::Plan`] is one row of the table. Any process advances it by
//! compare-and-set, see [`mod@plan`]; only a target's own agent gives orders to
//! its target, see [`order`]; weight loads take a slot, see [`weights`]; [`row`]
//! makes the transactions, and
//! [`watch`] notices a table that was restored from a backup.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

pub mod order;
pub mod plan;
pub mod row;
pub mod watch;
pub mod weights;
