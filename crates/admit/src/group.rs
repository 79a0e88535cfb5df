//! Tracks the other agents of the service and their last known loads.

use std::collections::BTreeMap;

use base::{id, span, time};

use crate::bound;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// In the instance list, but has not reported yet.
    Listed,
    /// Joined recently.
    Warming,
    /// Accepts new requests.
    Up,
    /// Finishes its running requests and accepts no new ones.
    Leaving,
    /// Does not respond.
    Down,
}

impl Standing {
    /// Returns whether the target counts in the mean load.
    pub fn counts_in_mean(self) -> bool {
        matches!(self, Self::Listed | Self::Warming | Self::Up)
    }

    /// Returns whether an agent with this standing accepts new requests.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Warming | Self::Up)
    }
}

/// One load report of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The peer.
    pub process: id::ProcessId,
    /// The run of the peer's process; higher after a restart.
    pub incarnation: id::Incarnation,
    /// Position among the reports of one run.
    pub sequence: id::Sequence,
    /// Requests that were outstanding at the peer's engine, queued ones
    /// excluded.
    pub load: u32,
    /// Known time since the report was made. If it is too short, the peer's
    /// load is estimated too high.
    pub age: span::Span,
}

/// A peer in the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The peer.
    pub process: id::ProcessId,
    /// Its standing, as it reported itself or from the instance list.
    pub standing: Standing,
    /// Its latest load report.
    pub report: Option<LoadReport>,
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    version: (id::Incarnation, id::Sequence),
    load: u32,
    /// When the report arrived, and its age at that time. The creation time is
    /// not stored because it may be before the start of this process's clock.
    arrived: time::Mono,
    age: span::Span,
}

impl PeerLoad {
    fn age(&self, now: time::Mono) -> span::Span {
        let micros = now.since(self.arrived).as_micros();
        span::Span::from_micros(micros.saturating_add(self.age.as_micros()))
    }
}

#[derive(Clone, Debug)]
struct Peer {
    standing: Standing,
    load: Option<PeerLoad>,
    /// Whether it is in the latest member list.
    listed: bool,
    /// When a report with a new version last arrived.
    last_news: time::Mono,
}

/// The peers of one agent.
#[derive(Clone, Debug)]
pub struct PeerGroup {
    own: id::ProcessId,
    peers: BTreeMap<id::ProcessId, Peer>,
}

/// Time for which a peer counts that sends reports but is not in the member
/// list. The member list includes a joining peer within seconds.
const UNLISTED_TIME: span::Span = span::Span::from_secs(10);

impl PeerGroup {
    /// Creates a group without peers.
    pub fn new(own: id::ProcessId) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
        }
    }

    /// Replaces the member list. The agent's own entry is ignored.
    pub fn set_members(&mut self, now: time::Mono, members: Vec<Member>) {
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for member in members {
            if member.process == self.own {
                continue;
            }
            let peer = self.peer_entry(now, &member.process);
            peer.listed = true;
            peer.standing = member.standing;
            if let Some(report) = member.report {
                self.apply_report(now, &report);
            }
        }
        self.peers
            .retain(|_, peer| peer.listed || now.since(peer.last_news) < UNLISTED_TIME);
    }

    /// Applies a load report. Older reports are ignored; a copy of the current
    /// one can only raise its age.
    pub fn apply_report(&mut self, now: time::Mono, report: &LoadReport) {
        if report.process == self.own {
            return;
        }
        let peer = self.peer_entry(now, &report.process);
        let version = (report.incarnation, report.sequence);
        match &mut peer.load {
            Some(known) if known.version > version => {}
            // The same report arrived by two routes. Each age is a lower limit,
            // so the greater one is more accurate.
            Some(known) if known.version == version => {
                known.age = known.age(now).max(report.age);
                known.arrived = now;
            }
            known => {
                *known = Some(PeerLoad {
                    version,
                    load: report.load,
                    arrived: now,
                    age: report.age,
                });
                peer.last_news = now;
            }
        }
    }

    fn peer_entry(&mut self, now: time::Mono, process: &id::ProcessId) -> &mut Peer {
        self.peers.entry(process.clone()).or_insert(Peer {
            standing: Standing::Up,
            load: None,
            listed: false,
            last_news: now,
        })
    }

    /// Returns the cap of this agent's target, which has `own` requests
    /// outstanding.
    pub fn cap(&self, now: time::Mono, params: &bound::Params, own: u32) -> u32 {
        let estimate = |peer: &Peer| {
            peer.load
                .map_or(0, |load| params.estimate(load.load, load.age(now)))
        };
        let mut loads = Vec::with_capacity(self.peers.len());
        let mut unlisted = Vec::new();
        for peer in self
            .peers
            .values()
            .filter(|peer| peer.standing.counts_in_mean())
        {
            if peer.listed {
                loads.push(estimate(peer));
            } else if now.since(peer.last_news) < UNLISTED_TIME {
                unlisted.push(estimate(peer));
            }
        }
        let mut members = loads.len() as u64 + 1;
        let mut total = bound::plausible_total(params, own, &mut loads);
        // An unlisted peer may have just joined or just left, so it counts only
        // if that lowers the mean.
        unlisted.sort_unstable();
        for load in unlisted {
            if u64::from(load) * members < total {
                total += u64::from(load);
                members += 1;
            }
        }
        bound::cap(params, total, u32::try_from(members).unwrap_or(u32::MAX))
    }
}
