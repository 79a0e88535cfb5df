//! Remembers which refusals of prompt parts were lifted.
//!
//! Load pattern: an operator removes the stored row of a refusal. Routers read the
//! removal at different times, some only when the table is back, and go on to send
//! the refusal, and the crashes that led to it, to those that have lifted it.

use std::collections::BTreeMap;

use base::{span, time};

use crate::{
    crash::{Crash, RefusedParts},
    part_set::PartSet,
};

/// Time for which a lifted refusal is remembered. It is longer than a router that
/// cannot read the table refuses the parts: 60 s, and 600 s until it forgets them.
const MEMORY: span::Span = span::Span::from_secs(700);

/// Maximum number of lifted refusals that are remembered, those of the latest ones.
const MAX_LIFTED: usize = 256;

/// The lifted refusals, with the time at which each was lifted.
#[derive(Clone, Debug, Default)]
pub struct Lifted(BTreeMap<PartSet, time::Mono>);

impl Lifted {
    /// Records that a refusal is lifted.
    pub fn record(&mut self, now: time::Mono, parts: &PartSet) {
        self.0.retain(|_, at| now.since(*at) < MEMORY);
        if self.0.len() >= MAX_LIFTED {
            let oldest = self.0.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(parts, _)| parts.clone()) {
                self.0.remove(&oldest);
            }
        }
        self.0.insert(parts.clone(), now);
    }

    /// Forgets that a refusal was lifted, because it was stored again.
    pub fn forget(&mut self, parts: &PartSet) {
        self.0.remove(parts);
    }

    /// Returns whether a router refuses parts because of crashes before the refusal
    /// of them, or of fewer of them, was lifted.
    pub fn revokes(&self, refused: &RefusedParts) -> bool {
        let revokes = |(parts, at): (&PartSet, &time::Mono)| {
            refused.crashed <= *at && refused.parts.includes(parts)
        };
        self.0.iter().any(revokes)
    }

    /// Returns whether a crash is among those that led to a refusal which was lifted
    /// later.
    pub fn explains(&self, crash: &Crash) -> bool {
        let explains = |(parts, at): (&PartSet, &time::Mono)| {
            crash.at <= *at && crash.prompts.iter().any(|prompt| prompt.includes(parts))
        };
        self.0.iter().any(explains)
    }
}
