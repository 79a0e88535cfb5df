//! How an agent watches its target, and what it tells of requests that were in
//! flight when the target crashed.

use std::{collections::BTreeSet, time::Duration};

use base::{id, time};
use conf::state;
use wire::msg;

use crate::{
    agent_core::{Core, Event},
    suspects,
    target::Target,
};

/// Health checks in a row that get no answer before the target counts as down.
/// A refused connection counts at once.
const HEALTH_MISSES: u32 = 3;

/// Time for a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

impl Core {
    /// Takes in quarantine entries of other processes.
    pub(crate) fn suspect(&mut self, now: time::Mono, suspects: &[msg::Suspect]) {
        for suspect in suspects {
            self.quarantine.merge(now, &suspects::from_message(suspect));
        }
    }

    /// Returns what is known of a content and of all that was in flight at the
    /// same crashes.
    pub(crate) fn related(
        &self,
        now: time::Mono,
        fingerprint: id::Fingerprint,
    ) -> Vec<msg::Suspect> {
        let related = self.quarantine.related(now, fingerprint);
        let service = self.agent.service.as_str();
        related
            .iter()
            .map(|entry| suspects::to_message(entry, service))
            .collect()
    }

    /// Tells other processes what is known of a content.
    pub(crate) fn spread(&mut self, now: time::Mono, fingerprint: id::Fingerprint) {
        for suspect in self.related(now, fingerprint) {
            self.parts.node.exchange.suspect(now, suspect);
        }
    }

    pub(crate) fn check_health(&self) {
        let target = self.parts.target.clone();
        let engine = self.agent.kind == state::Kind::Engine;
        let events = self.parts.events.clone();
        self.parts.traffic.spawn(async move {
            let answer = check(&target, engine).await;
            events.send(Event::Health(answer)).ok();
        });
    }

    pub(crate) fn checked(&mut self, now: time::Mono, answer: Option<bool>) {
        let healthy = match answer {
            Some(healthy) => healthy,
            None if self.misses < HEALTH_MISSES => {
                self.misses += 1;
                return;
            }
            None => false,
        };
        if healthy {
            self.misses = 0;
        }
        if healthy == self.healthy {
            return;
        }
        self.healthy = healthy;
        tracing::info!(event = "target_health", target = %self.agent.target, healthy);
        if !healthy {
            self.crashed(now);
        } else {
            self.joined = now;
        }
        if self.left.is_none() {
            self.set_gate(now);
        }
    }

    /// Tells whether a suspect may run beside what the target runs. It looks at
    /// every request that the agent remembers, so it is asked for suspects only.
    pub(crate) fn may_join(&self, now: time::Mono, fingerprint: id::Fingerprint) -> bool {
        let running = self.running();
        let in_flight = running.iter().map(|(_, fingerprint)| fingerprint);
        self.quarantine.may_start(now, fingerprint, in_flight)
    }

    /// Returns the requests that the target runs.
    pub(crate) fn running(&self) -> Vec<(id::RequestId, id::Fingerprint)> {
        self.open
            .iter()
            .filter(|(id, _)| self.ledger.state(**id).is_some_and(|state| state.runs()))
            .map(|(id, open)| (*id, open.fingerprint))
            .collect()
    }

    /// Notes which requests were in flight when the target went down.
    pub(crate) fn crashed(&mut self, now: time::Mono) {
        let running = self
            .running()
            .into_iter()
            .map(|(_, fingerprint)| fingerprint);
        let lately = self.broken.iter().map(|(_, fingerprint)| *fingerprint);
        let suspects: BTreeSet<_> = running.chain(lately).collect();
        tracing::warn!(event = "target_down", target = %self.agent.target, suspects = suspects.len());
        self.parts.metrics.count("target.down");
        self.quarantine
            .record_crash(now, &self.agent.target, suspects.iter().copied());
        for fingerprint in suspects {
            self.spread(now, fingerprint);
        }
        self.broken.clear();
    }
}

/// Checks the target: false when it refuses connections or says that it is not
/// healthy, none when it does not answer in time. Only an engine has a health
/// page; of a plain service an open port is all that is known.
async fn check(target: &Target, engine: bool) -> Option<bool> {
    let connect = tokio::net::TcpStream::connect(target.address());
    match tokio::time::timeout(HEALTH_TIMEOUT, connect).await {
        Err(_) => return None,
        Ok(Err(_)) => return Some(false),
        Ok(Ok(_)) if !engine => return Some(true),
        Ok(Ok(_)) => {}
    }
    match tokio::time::timeout(HEALTH_TIMEOUT, target.health()).await {
        Err(_) => None,
        Ok(health) => Some(health.is_ok()),
    }
}
