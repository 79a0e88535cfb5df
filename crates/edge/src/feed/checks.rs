//! Checks, on new connections, whether a call that waits for changes has missed one.

use std::{
    future,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use base::{fault::Fault, span, time};
use futures_util::{StreamExt, stream::FuturesUnordered};
use platform::rows::{Position, Table};
use tokio::time as timer;

use crate::{
    feed::{
        Answer, Follower, Waiting,
        known::{Doubt, KnownChanges, Watched},
    },
    metrics::Counter,
};

/// Time before a check, in which a response arrives that is on its way while another
/// call shows the change that it brings.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Interval of checks that have no answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of checks that have no answer yet. Their responses may be lost, too,
/// and the first one after the disturbance should not wait for their timeouts.
const MAX_CHECKS: usize = 3;

impl Follower {
    /// Asks again for changes, on new connections, while the call that waits for them may
    /// have missed one and its response has not begun. Returns when it has missed one.
    pub(super) async fn missed(
        &self,
        waiting: &Waiting,
        after: Position,
        begun: &AtomicBool,
    ) -> Answer {
        let clock = &self.shared.clock;
        let began = clock.now();
        let mut watched = Watched {
            known: after,
            asked: began,
            version: None,
        };
        let mut checks = FuturesUnordered::new();
        let mut earliest = timer::Instant::now();
        loop {
            tokio::select! {
                doubt = self.doubt(waiting, watched, earliest), if checks.len() < MAX_CHECKS => {
                    if begun.load(Ordering::Relaxed) {
                        return future::pending().await;
                    }
                    tracing::debug!(event = "feed_check", table = ?self.table, after = %watched.known, ?doubt);
                    self.shared.metrics.count(Counter::FeedChecks);
                    earliest = timer::Instant::now() + CHECK_INTERVAL;
                    checks.push(self.check(waiting, watched.known, doubt));
                }
                Some((asked, doubt, answer)) = checks.next() => match answer {
                    Ok(Answer::Page(page)) if page.rows.is_empty() => {
                        watched.known = watched.known.max(page.position);
                        watched.asked = watched.asked.max(asked);
                    }
                    Ok(answer) => {
                        if matches!(answer, Answer::Page(_)) {
                            let (table, waited) = (self.table, clock.now().since(began));
                            tracing::warn!(event = "change_missed", ?table, %after, ?doubt, %waited);
                            self.shared.metrics.count(Counter::MissedChanges);
                        }
                        return answer;
                    }
                    // The doubt remains, so that the next check follows.
                    Err(_) => {}
                }
            }
        }
    }

    /// Waits until the call that waits may have missed a change, and for the time in which
    /// its response would arrive; not before `earliest`.
    async fn doubt(&self, waiting: &Waiting, watched: Watched, earliest: timer::Instant) -> Doubt {
        let mut changes = self.shared.known_changes.subscribe();
        let mut found = None;
        let due = changes.wait_for(|changes| {
            let version = (self.table == Table::Operator).then(|| self.shared.version());
            found = due(waiting, changes, Watched { version, ..watched });
            found.is_some()
        });
        let is_open = due.await.is_ok();
        let (true, Some(doubt)) = (is_open, found) else {
            // Not reached: the state that holds the changes holds the sender.
            return future::pending().await;
        };
        timer::sleep_until((timer::Instant::now() + ANSWER_TIME).max(earliest)).await;
        doubt
    }

    /// Asks for changes on a new connection; returns when, and why, with the answer.
    async fn check(
        &self,
        waiting: &Waiting,
        after: Position,
        doubt: Doubt,
    ) -> (time::Mono, Doubt, Result<Answer, Fault>) {
        let asked = self.shared.clock.now();
        let begun = AtomicBool::new(false);
        let answer = self.ask(&waiting.checks, after, span::Span::ZERO, &begun);
        (asked, doubt, answer.await)
    }
}

/// Returns why a check is due, if it is. Of positions that are not known, only routers
/// that read the table often make sure, as heartbeats between two reads leave such
/// positions as well; the others learn from them that there is a new version.
fn due(waiting: &Waiting, changes: &KnownChanges, watched: Watched) -> Option<Doubt> {
    let is_checked = |doubt: &Doubt| match doubt {
        Doubt::Unknown(_) => waiting.peers.is_reader(),
        Doubt::Unanswered | Doubt::Reported(_) => true,
    };
    changes.doubt(watched).filter(is_checked)
}
