//! Decides what becomes of each request: the ledger of an agent, the claim
//! rows of idempotency keys, and the router's settlement of a request.
//!
//! Everything here is pure. An event and the present time go in, and actions
//! for the daemon come out; there is no I/O, no clock and no randomness.
//! Correctness depends on no timeout: time decides when memory is freed and
//! when an orphan is cancelled, never whether a request may run.
//!
//! See [the design page](../../../docs/design.md), section 2.6, and
//! [the proof page](../../../docs/PROOF.md) for what the model checks show.

pub mod action;
pub mod batch;
pub mod claim;
pub mod entry;
pub mod epoch;
pub mod event;
pub mod holding;
pub mod ledger;
pub mod refusal;
pub mod settle;
