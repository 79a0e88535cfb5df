//! What an agent tells of its load, and how it checks its count against the
//! engine's own report.

use admit::external;
use base::{span, time};
use conf::state;

use crate::agent_core::{Core, Event};

/// Interval at which the load is told as metrics and compared with the report
/// of the engine.
pub(crate) const INTERVAL: span::Span = span::Span::from_secs(5);

impl Core {
    /// Sends the load as metrics, and asks an engine for its own report.
    pub(crate) fn check_load(&self, now: time::Mono) {
        let metrics = &self.parts.metrics;
        metrics.gauge("load", self.admission.load().into());
        metrics.gauge("queued", self.admission.queued().into());
        metrics.gauge("cap", self.admission.cap(now).into());
        if self.agent.kind != state::Kind::Engine || !self.healthy {
            return;
        }
        let target = self.parts.target.clone();
        let events = self.parts.events.clone();
        self.parts.traffic.spawn(async move {
            match target.load().await {
                Ok(reported) => {
                    events.send(Event::EngineLoad(reported)).ok();
                }
                Err(cause) => tracing::debug!(event = "load_unread", %cause),
            }
        });
    }

    /// Compares a report of the engine with the work that this agent gave it.
    pub(crate) fn engine_load(&mut self, now: time::Mono, reported: u32) {
        self.parts.metrics.gauge("engine.load", u64::from(reported));
        let target = &self.agent.target;
        match self.external.check_report(now, reported) {
            None => {}
            Some(external::Finding::Began { reported, own }) => {
                tracing::warn!(event = "foreign_work", target = %target, reported, own);
            }
            Some(external::Finding::Ended) => {
                tracing::info!(event = "foreign_work_ended", target = %target);
            }
        }
    }
}
