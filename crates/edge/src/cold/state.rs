//! What a router knows of the cold start of one run of a target.
//!
//! A target is cold while its row, a response of it, or another router to which it
//! responded says so. It is also treated as cold if it may have restarted without
//! notice, because it did not respond. This lasts until a row that was written later,
//! or a response, says whether it is cold. A run that is new to the router is known by
//! its row, which says so.

use std::fmt;

use base::{span, time};
use place::cold::{Quota, Sends};
use platform::rows::Position;

use super::{MAX_HOPS, TableRead};

/// Time after the end of a cold time that a target stated, in which other routers
/// that still report it are ignored: their reports are late.
const STATEMENT_HOLD: span::Span = span::Span::from_secs(1);

/// Where a router knows from that a target is cold or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evidence {
    /// The target's row.
    #[default]
    Row,
    /// A response of the target.
    Response,
    /// Another router, which had a response of the target.
    Router,
    /// The target did not respond.
    Silent,
    /// The stated time has passed.
    Time,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Row => "row",
            Self::Response => "response",
            Self::Router => "router",
            Self::Silent => "silent",
            Self::Time => "time",
        })
    }
}

/// The state of a run of a target.
#[derive(Debug, Default)]
pub struct ColdState {
    /// What this router sent to the target.
    pub sends: Sends,
    /// This router's quota, with the version of the routers and the limit that it
    /// was computed for.
    pub quota: Option<((u64, u64), Quota)>,
    /// Position of the latest row that was applied.
    position: Option<Position>,
    /// Until when the target is cold, as its rows say.
    row_until: Option<time::Mono>,
    said: Option<Statement>,
    suspicion: Option<Suspicion>,
    /// When the target stopped being cold, and its load at the first decision after.
    initial_load: Option<(time::Mono, u32)>,
    /// The latest evidence, for the log.
    evidence: Evidence,
    /// Whether the target was cold at the latest check.
    was_cold: bool,
}

/// What a target said in a response.
#[derive(Clone, Copy, Debug)]
struct Statement {
    until: time::Mono,
    /// Number of routers that passed it on.
    hops: u32,
}

/// The reason for which a target may be cold although it did not say so.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    evidence: Evidence,
    since: time::Mono,
    /// A row at a later position was written after `since`.
    position: Option<Position>,
    /// When the target responded for the first time since.
    responded: Option<time::Mono>,
}

/// A target has turned cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Whether it is cold now.
    pub is_cold: bool,
    /// Where that is known from.
    pub cause: Evidence,
    /// For how long it is cold; zero if that is unknown.
    pub left: span::Span,
}

impl ColdState {
    /// Returns whether the target is, or may be, cold.
    pub fn is_cold(&self, now: time::Mono) -> bool {
        self.suspicion.is_some() || self.stated_until().is_some_and(|until| until > now)
    }

    /// Returns whether the target may be cold and has not said whether it is.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Returns when the target ceased to be cold, if it was and is not any more.
    pub fn warm_since(&self, now: time::Mono) -> Option<time::Mono> {
        self.stated_until().filter(|_| !self.is_cold(now))
    }

    /// Returns the load that the target had at the first decision after it stopped
    /// being cold at `since`; `load` is that of this decision.
    pub fn initial_load(&mut self, since: time::Mono, load: u32) -> u32 {
        let known = self.initial_load.filter(|(known, _)| *known == since);
        self.initial_load = known.or(Some((since, load)));
        known.map_or(load, |(_, load)| load)
    }

    /// Returns until when the target is or was cold, as it said.
    fn stated_until(&self) -> Option<time::Mono> {
        self.row_until.max(self.said.map(|said| said.until))
    }

    /// Records that the target may have become cold. Rows after `position` are
    /// newer; if that is unknown, the next read of the table will tell.
    pub fn suspect(&mut self, now: time::Mono, evidence: Evidence, position: Option<Position>) {
        self.suspicion = Some(Suspicion {
            evidence,
            since: now,
            position,
            responded: None,
        });
        self.evidence = evidence;
    }

    /// Applies the target's row at `position`.
    pub fn apply_row(
        &mut self,
        now: time::Mono,
        position: Position,
        until: Option<time::Mono>,
        read: Option<TableRead>,
    ) {
        if self.position.is_none_or(|known| known < position) {
            self.position = Some(position);
            self.evidence = Evidence::Row;
            match until {
                Some(_) => self.row_until = until,
                // The end of the cold time, if it came earlier than stated.
                None => self.row_until = self.row_until.map(|until| until.min(now)),
            }
        }
        let Some(suspicion) = &mut self.suspicion else {
            return;
        };
        match (suspicion.position, read) {
            (Some(after), _) if position > after => {
                self.suspicion = None;
                self.evidence = Evidence::Row;
            }
            // A row that is written after this read is newer than the suspicion.
            (None, Some(read)) if read.began >= suspicion.since => {
                suspicion.position = Some(read.position);
            }
            _ => {}
        }
    }

    /// Applies what the target said in a response.
    pub fn apply_response(&mut self, now: time::Mono, left: span::Span) {
        self.suspicion = None;
        self.evidence = Evidence::Response;
        if left > span::Span::ZERO {
            let until = now + left;
            self.said = Some(Statement { until, hops: 0 });
            return;
        }
        self.row_until = self.row_until.map(|until| until.min(now));
        if let Some(said) = &mut self.said {
            said.until = said.until.min(now);
        }
    }

    /// Applies what the target said to another router. A router that passes on what
    /// it has from this one, with some delay, must not extend the time for good, so
    /// that a statement which came a longer way is not used.
    pub fn apply_statement(&mut self, now: time::Mono, left: span::Span, hops: u32) {
        let is_known = self
            .said
            .is_some_and(|said| said.hops <= hops && now < said.until + STATEMENT_HOLD);
        if is_known || hops > MAX_HOPS || left == span::Span::ZERO {
            return;
        }
        let until = now + left;
        self.said = Some(Statement { until, hops });
        self.evidence = Evidence::Router;
    }

    /// Returns for how long the target is cold as it said in a response, and the
    /// number of routers that passed this on.
    pub fn statement(&self, now: time::Mono) -> Option<(span::Span, u32)> {
        let said = self.said.filter(|said| said.until > now)?;
        Some((said.until.since(now), said.hops))
    }

    /// Records a response that does not say whether the target is cold. The target
    /// runs at this moment, so that it is not cold any more after the cold time.
    pub fn record_response(&mut self, now: time::Mono) {
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.responded.get_or_insert(now);
        }
    }

    /// Ends a suspicion `cold_time` after the first response, or, if there was none,
    /// when it has lasted for `silent_time`.
    pub fn expire(&mut self, now: time::Mono, cold_time: span::Span, silent_time: span::Span) {
        let Some(suspicion) = self.suspicion else {
            return;
        };
        let is_over = match suspicion.responded {
            Some(responded) => now.since(responded) >= cold_time,
            None => now.since(suspicion.since) >= silent_time,
        };
        if is_over {
            self.suspicion = None;
            self.evidence = Evidence::Time;
        }
    }

    /// Returns whether the target has turned cold or warm since the latest call.
    pub fn take_change(&mut self, now: time::Mono) -> Option<Change> {
        let is_cold = self.is_cold(now);
        if is_cold == self.was_cold {
            return None;
        }
        self.was_cold = is_cold;
        let ended = self.stated_until().is_some_and(|until| until < now);
        let cause = match (is_cold, self.suspicion) {
            (true, Some(suspicion)) => suspicion.evidence,
            (false, _) if ended && self.evidence != Evidence::Response => Evidence::Time,
            _ => self.evidence,
        };
        let until = self.stated_until().filter(|_| is_cold);
        Some(Change {
            is_cold,
            cause,
            left: until.map(|until| until.since(now)).unwrap_or_default(),
        })
    }
}
