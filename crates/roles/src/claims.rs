//! Carries out the operations on claim rows, many writes in one transaction.

use std::sync::Arc;

use base::time;
use once::{batch, claim};
use store::table;
use tokio::sync::mpsc;

use crate::{
    agent_core::{Asks, Event},
    metrics::Metrics,
    platform::{self, Platform},
    session,
};

/// Starts the task that serves the operations of one agent, on the current
/// runtime. It ends when the returned closure is dropped.
pub fn start(
    platform: Platform,
    clock: time::Clock,
    events: mpsc::UnboundedSender<Event>,
    metrics: Arc<Metrics>,
) -> Asks {
    let (asks, received) = mpsc::unbounded_channel();
    let claims = Claims {
        platform,
        clock,
        events,
        metrics,
    };
    tokio::spawn(claims.run(received));
    Arc::new(move |ask| {
        asks.send(ask).ok();
    })
}

#[derive(Clone)]
struct Claims {
    platform: Platform,
    clock: time::Clock,
    events: mpsc::UnboundedSender<Event>,
    metrics: Arc<Metrics>,
}

type Finished = (Vec<claim::Ask>, batch::Outcome);

impl Claims {
    async fn run(self, mut asks: mpsc::UnboundedReceiver<claim::Ask>) {
        let mut batch = batch::Batch::new(batch::Limits::default());
        let (done, mut finished) = mpsc::unbounded_channel::<Finished>();
        loop {
            let now = self.clock.now();
            while let Some(taken) = batch.take(now) {
                self.write(taken, done.clone());
            }
            let due = batch.due(now).map(|due| due.since(now).duration());
            tokio::select! {
                ask = asks.recv() => match ask {
                    None => return,
                    Some(ask) if matches!(ask.op, claim::Op::Read) => self.read(ask),
                    Some(ask) => batch.push(self.clock.now(), ask),
                },
                Some((taken, outcome)) = finished.recv() => {
                    for (ask, answer) in batch.finish(taken, outcome) {
                        self.answer(ask, answer);
                    }
                }
                () = tokio::time::sleep(due.unwrap_or_default()), if due.is_some() => {}
            }
        }
    }

    fn answer(&self, ask: claim::Ask, answer: claim::Answer) {
        session::message("table", "agent", || match &answer {
            claim::Answer::Written(version) => format!("written as version {version}"),
            claim::Answer::Conflict(_) => "conflict".to_owned(),
            claim::Answer::Read(row) => format!("row {}", state(row.as_ref())),
            claim::Answer::Unanswered => "no answer".to_owned(),
            claim::Answer::Unavailable => "unavailable".to_owned(),
        });
        self.events.send(Event::Claim(Box::new(ask), answer)).ok();
    }

    fn read(&self, ask: claim::Ask) {
        session::message("agent", "table", || "read claim".to_owned());
        let claims = self.clone();
        tokio::spawn(async move {
            let row = claims.platform.table.read(&ask.key.row()).await;
            let read = row.and_then(|row| row.as_ref().map(platform::claim_row).transpose());
            let answer = match read {
                Ok(row) => claim::Answer::Read(row),
                Err(fault) => {
                    tracing::info!(event = "claim_unread", key = ask.key.row(), cause = %fault);
                    claim::Answer::Unavailable
                }
            };
            claims.answer(ask, answer);
        });
    }

    fn write(&self, taken: Vec<claim::Ask>, done: mpsc::UnboundedSender<Finished>) {
        let claims = self.clone();
        tokio::spawn(async move {
            let outcome = claims.transact(&taken).await;
            done.send((taken, outcome)).ok();
        });
    }

    async fn transact(&self, taken: &[claim::Ask]) -> batch::Outcome {
        for ask in taken {
            session::message("agent", "table", || write(&ask.op));
        }
        let ops = taken.iter().filter_map(|ask| match &ask.op {
            claim::Op::Read => None,
            claim::Op::Write { claim, condition } => {
                Some(platform::claim_op(&ask.key, claim, *condition))
            }
        });
        let ops = match ops.collect::<Result<Vec<_>, _>>() {
            Ok(ops) => ops,
            Err(fault) => {
                tracing::error!(event = "claim_invalid", cause = %fault);
                return batch::Outcome::Unavailable;
            }
        };
        self.metrics.count("claim.transaction");
        self.metrics.add("claim.write", ops.len() as u64);
        match self.platform.table.transact(&ops).await {
            table::Outcome::Committed(versions) => {
                batch::Outcome::Written(versions.into_iter().map(|version| version.0).collect())
            }
            table::Outcome::Conflict(conflict) => {
                let row = conflict.row.as_ref().map(platform::claim_row).transpose();
                match row {
                    Ok(row) => batch::Outcome::Conflict(conflict.failed, row),
                    Err(fault) => {
                        tracing::error!(event = "claim_invalid", cause = %fault);
                        batch::Outcome::Unavailable
                    }
                }
            }
            table::Outcome::NotSent { fault, .. } => {
                tracing::info!(event = "claim_not_sent", writes = taken.len(), cause = %fault);
                batch::Outcome::Unavailable
            }
            table::Outcome::Unknown(fault) => {
                tracing::info!(event = "claim_unanswered", writes = taken.len(), cause = %fault);
                batch::Outcome::Unanswered
            }
        }
    }
}

fn state(row: Option<&claim::Row>) -> &'static str {
    match row.map(|row| &row.claim.state) {
        None => "absent",
        Some(claim::State::Running) => "running",
        Some(claim::State::Abandoned) => "abandoned",
        Some(claim::State::Lost) => "lost",
        Some(claim::State::Done(_)) => "done",
    }
}

fn write(op: &claim::Op) -> String {
    let claim::Op::Write { claim, condition } = op else {
        return "read claim".to_owned();
    };
    let row = claim::Row {
        version: 0,
        claim: claim.clone(),
    };
    match condition {
        claim::Condition::Absent => format!("insert claim {}", state(Some(&row))),
        claim::Condition::Version(version) => {
            format!("write claim {} over version {version}", state(Some(&row)))
        }
    }
}
