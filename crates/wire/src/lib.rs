//! Messages between the processes of the system, and their framing.
//!
//! The types in [`msg`] hold plain numbers and text, as they are encoded. Other
//! code uses the id types of `base`; [`convert`] converts between the two. The
//! calls that carry each message are listed in [the design page](../../../docs/design.md),
//! section 2.3.

pub mod convert;
pub mod frame;
pub mod msg;
