//! Messages between the processes of the system and their framing.
//!
//! The types in [`msg`] are the border: they hold plain numbers and text as
//! they travel. Code behind the border uses the ids of `base`. The calls that
//! carry each message are listed in [the design page](../../../docs/design.md),
//! section 2.3.

pub mod convert;
pub mod frame;
pub mod msg;
