//! The other agents of the service and their loads, as far as they are known.

use std::collections::BTreeMap;

use base::{id, span, time};

use crate::bound;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// In the instance list; has not reported yet.
    Listed,
    /// Joined lately.
    Warming,
    /// Takes new work.
    Up,
    /// Finishes its work and takes no more.
    Leaving,
    /// Does not answer.
    Down,
}

impl Standing {
    /// Returns whether the target counts in the mean.
    pub fn counts_in_mean(self) -> bool {
        matches!(self, Self::Listed | Self::Warming | Self::Up)
    }

    /// Returns whether an agent with this standing takes new work.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Warming | Self::Up)
    }
}

/// One load report of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The peer.
    pub process: id::ProcessId,
    /// Run of the peer.
    pub incarnation: id::Incarnation,
    /// Orders the reports of a run.
    pub sequence: id::Sequence,
    /// Requests that were outstanding at the peer's engine, queued ones
    /// excluded.
    pub load: u32,
    /// Time for which the report has travelled, as far as it is known. Too
    /// short an age makes the estimate of the peer's load too high.
    pub age: span::Span,
}

/// A peer as the member list knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The peer.
    pub process: id::ProcessId,
    /// Its standing by its own word or by the instance list.
    pub standing: Standing,
    /// Its freshest load report.
    pub report: Option<LoadReport>,
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    version: (id::Incarnation, id::Sequence),
    load: u32,
    /// When the report arrived, and its age then. The time at which it was
    /// made may be before this process started its clock.
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
    /// Whether the latest member list names it.
    listed: bool,
    /// When a report of it last brought news.
    last_news: time::Mono,
}

/// The peers of one agent.
#[derive(Clone, Debug)]
pub struct PeerGroup {
    own: id::ProcessId,
    peers: BTreeMap<id::ProcessId, Peer>,
}

/// How long a peer counts that reports mention but the member list does not.
/// The member list follows a join within seconds.
const UNLISTED_TIME: span::Span = span::Span::from_secs(10);

impl PeerGroup {
    /// Starts alone.
    pub fn new(own: id::ProcessId) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
        }
    }

    /// Takes over the member list. The agent's own entry is ignored.
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

    /// Takes in one report; late and repeated ones change nothing.
    pub fn apply_report(&mut self, now: time::Mono, report: &LoadReport) {
        if report.process == self.own {
            return;
        }
        let peer = self.peer_entry(now, &report.process);
        let version = (report.incarnation, report.sequence);
        match &mut peer.load {
            Some(known) if known.version > version => {}
            // The same report by two ways: the one that knows the greater age
            // is nearer to the truth.
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

    /// Returns the cap of this agent's target, which has `own` outstanding.
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
        let mut total = bound::total_plausible(params, own, &mut loads);
        // Whether an unlisted peer has joined or has gone is not known; it
        // counts only where it lowers the mean.
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
