//! The router on the users' platform: accepts requests from callers, chooses a
//! target for each, forwards it and returns the response.
//!
//! One thread carries traffic; another reads the platform's table and exchanges
//! updates with the other routers. They share immutable snapshots. See [the
//! design page](../../../docs/design.md), section 6.

pub mod attempt;
pub mod body;
pub mod cache_sync;
pub mod clients;
pub mod cold;
pub mod control;
pub mod crash_reports;
pub mod decide;
pub mod engines;
pub mod error_response;
pub mod evacuation;
pub mod events;
pub mod exchange;
pub mod expiry;
pub mod explain;
pub mod feed;
pub mod fleet;
pub mod handler;
pub mod hedge;
pub mod lag;
pub mod listen;
pub mod logs;
pub mod membership;
pub mod metered;
pub mod metrics;
pub mod peers;
pub mod process;
pub mod readers;
pub mod ready;
pub mod refusals;
pub mod relays;
pub mod request;
pub mod routes;
pub mod server;
pub mod shared;
pub mod snapshot;
pub mod stream;
pub mod target_list;
pub mod target_status;
pub mod timing;
pub mod update;
pub mod upstream;
pub mod view;
