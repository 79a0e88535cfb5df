//! Turns a command of an operator into an accepted change.
//!
//! The decisions are those of [`conf::command`]; this module carries them out:
//! it asks peers and the table, and settles a lost reply by reading back.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{fault::Fault, id};
use conf::{command, history, row};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};
use wire::msg;

use crate::{link::Links, node::Signal, platform::Platform};

/// Attempts of one command; a lost reply or an undecided outcome takes one.
const ATTEMPTS: usize = 4;

/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(300);

/// Time for a peer to tell its changes.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a command was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum CommitError {
    /// It cannot be accepted now, or not at all.
    #[error(transparent)]
    Refused(#[from] command::Refusal),
    /// Another change was accepted first.
    #[error("{0}")]
    Conflict(command::Conflict),
    /// The command names a version as its base, but other changes followed it.
    #[error("version {head} has followed version {base}")]
    Overtaken {
        /// The version that the command names.
        base: id::Version,
        /// The newest version.
        head: id::Version,
    },
    /// The table failed; the command was not accepted.
    #[error("the table does not answer: {0}")]
    Table(#[from] Fault),
    /// A row of the table is not valid.
    #[error(transparent)]
    Row(#[from] row::RowError),
    /// A row that was to be written with the command has changed.
    #[error("row {0} has changed meanwhile")]
    Changed(String),
    /// A change row exists that the head does not account for.
    #[error("row {0} exists although the head does not account for it")]
    Damaged(String),
    /// The outcome could not be found out in time.
    #[error("it is not known yet whether command {0} was accepted; repeat it with the same id")]
    Undecided(id::CommandId),
    /// The process is stopping.
    #[error("this process is stopping")]
    Stopping,
}

/// What a command needs.
#[derive(Clone)]
pub struct Commit {
    /// The platform's services.
    pub platform: Platform,
    /// Connections to peers.
    pub links: Arc<Links>,
    /// Reaches the control thread.
    pub signals: mpsc::UnboundedSender<Signal>,
}

impl CommitError {
    /// Tells whether the error also settles an earlier attempt whose reply was
    /// lost. Conflicts and rejections do: a row on which the earlier
    /// transaction has a condition has moved on, so that it cannot take effect
    /// any more.
    fn decides(&self) -> bool {
        matches!(
            self,
            Self::Conflict(_)
                | Self::Overtaken { .. }
                | Self::Changed(_)
                | Self::Refused(command::Refusal::Rejected(_))
        )
    }
}

impl Commit {
    /// Commits a command; returns the version that it produced. Calling it
    /// again with the same command id is harmless.
    ///
    /// With a `base`, the command conflicts with every change after that
    /// version. Without one, it is based on the newest version.
    ///
    /// # Errors
    ///
    /// Why the command was not accepted, or that this is not known.
    pub async fn run(
        &self,
        command: row::Command,
        base: Option<id::Version>,
    ) -> Result<id::Version, CommitError> {
        self.run_with(command, base, &[]).await
    }

    /// Commits a command together with rows of another kind: all of them are
    /// written, or none.
    ///
    /// # Errors
    ///
    /// As [`Commit::run`]; [`CommitError::Changed`] when the condition on one of
    /// the rows does not hold.
    pub async fn run_with(
        &self,
        command: row::Command,
        base: Option<id::Version>,
        rows: &[row::Put],
    ) -> Result<id::Version, CommitError> {
        let mut undecided = false;
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                time::sleep(PAUSE).await;
            }
            match self.attempt(command.clone(), base, rows).await {
                Ok(Some(version)) => return Ok(version),
                Ok(None) => undecided = true,
                Err(CommitError::Refused(command::Refusal::Accepted(version))) => {
                    return Ok(version);
                }
                // This process is catching up, or the table is being restored.
                Err(CommitError::Refused(
                    command::Refusal::Behind { .. } | command::Refusal::TableBehind { .. },
                )) if attempt + 1 < ATTEMPTS => {}
                Err(error) if undecided && !error.decides() => {}
                Err(error) => return Err(error),
            }
        }
        Err(CommitError::Undecided(command.id))
    }

    async fn attempt(
        &self,
        command: row::Command,
        base: Option<id::Version>,
        rows: &[row::Put],
    ) -> Result<Option<id::Version>, CommitError> {
        let head = self.platform.head().await?;
        let answers = self.ask_peers().await?;
        self.catch_up(head).await?;
        let id = command.id;
        let prepared = self
            .control(|reply| Signal::Prepare(Box::new(command), answers, reply))
            .await?;
        if let Some(base) = base {
            let head = prepared.as_ref().map_or(head, |proposal| proposal.base);
            let known = matches!(prepared, Err(command::Refusal::Accepted(_)));
            if !known && head.point.version != base {
                return self.overtaken(id, base, head.point.version).await;
            }
        }
        let mut proposal = prepared?;
        proposal.transaction.puts.extend_from_slice(rows);
        let reply = self.platform.commit(&proposal.transaction).await;
        match command::interpret(&proposal, &reply)? {
            command::Outcome::Committed { row, head } => {
                let version = row.version;
                self.offer(vec![row], Some(head)).await?;
                Ok(Some(version))
            }
            command::Outcome::Repeated(version) => {
                let head = self.platform.head().await?;
                self.catch_up(head).await?;
                Ok(Some(version))
            }
            command::Outcome::Lost(head) => Err(self.lost(&proposal, head).await?),
            command::Outcome::Unknown => self.read_back(&proposal).await,
            command::Outcome::Damaged { key } if rows.iter().any(|row| row.key == key) => {
                Err(CommitError::Changed(key))
            }
            command::Outcome::Damaged { key } => Err(CommitError::Damaged(key)),
        }
    }

    /// Decides about a command whose base is not the head: it is refused, unless
    /// it was accepted before.
    async fn overtaken(
        &self,
        id: id::CommandId,
        base: id::Version,
        head: id::Version,
    ) -> Result<Option<id::Version>, CommitError> {
        let key = row::command_key(id);
        match self.platform.row(&key).await? {
            Some(row) => {
                let recorded: row::CommandRow = row.read(&key)?;
                Ok(Some(recorded.version))
            }
            None => Err(CommitError::Overtaken { base, head }),
        }
    }

    async fn read_back(
        &self,
        proposal: &command::Proposal,
    ) -> Result<Option<id::Version>, CommitError> {
        // While the table does not answer, the transaction may have taken effect.
        let Ok(head) = self.platform.head().await else {
            return Ok(None);
        };
        let key = row::command_key(proposal.row.command.id);
        let Ok(recorded) = self.platform.row(&key).await else {
            return Ok(None);
        };
        match command::read_back(proposal, head, recorded.as_ref())? {
            command::ReadBack::Committed(version) => {
                // A failure to read the change does not make it unaccepted.
                self.catch_up(head).await.ok();
                Ok(Some(version))
            }
            command::ReadBack::Lost(head) => Err(self.lost(proposal, head).await?),
            command::ReadBack::Undecided => Ok(None),
        }
    }

    async fn lost(
        &self,
        proposal: &command::Proposal,
        head: row::Head,
    ) -> Result<CommitError, CommitError> {
        let winners = self.platform.changes(proposal.base.point.version).await?;
        self.offer(winners.clone(), Some(head)).await?;
        Ok(CommitError::Conflict(command::conflict(proposal, winners)))
    }

    /// Reads what the table has and this process has not.
    async fn catch_up(&self, head: row::Head) -> Result<(), CommitError> {
        let version = self.offer(Vec::new(), Some(head)).await?;
        if head.point.version > version {
            let rows = self.platform.changes(version).await?;
            self.offer(rows, None).await?;
        }
        Ok(())
    }

    async fn offer(
        &self,
        rows: Vec<Arc<row::ChangeRow>>,
        head: Option<row::Head>,
    ) -> Result<id::Version, CommitError> {
        self.control(|reply| Signal::Offer(rows, head, Some(reply)))
            .await
    }

    /// Asks peers for changes and takes them in.
    async fn ask_peers(&self) -> Result<history::Answers, CommitError> {
        let (peers, own) = self.control(Signal::Peers).await?;
        let mut answers = history::Answers {
            known: peers.len(),
            ..history::Answers::default()
        };
        let asked = peers.iter().map(|peer| fetch(&self.links, *peer, own));
        let fetched = futures_util::future::join_all(asked).await;
        for changes in fetched.into_iter().flatten() {
            answers.answered += 1;
            let newest = changes
                .iter()
                .map(|change| id::Version(change.version))
                .max();
            answers.newest = answers.newest.max(newest.unwrap_or(own));
            self.offer(rows(&changes), None).await?;
        }
        Ok(answers)
    }

    async fn control<T>(
        &self,
        signal: impl FnOnce(oneshot::Sender<T>) -> Signal,
    ) -> Result<T, CommitError> {
        let (reply, answer) = oneshot::channel();
        self.signals.send(signal(reply)).ok();
        answer.await.map_err(|_| CommitError::Stopping)
    }
}

/// Returns the change rows among what a peer sent.
pub fn rows(changes: &[msg::Change]) -> Vec<Arc<row::ChangeRow>> {
    changes
        .iter()
        .filter(|change| !change.snapshot)
        .filter_map(|change| serde_json::from_slice(&change.row).ok().map(Arc::new))
        .collect()
}

/// Returns the snapshot among what a peer sent.
pub fn snapshot(changes: &[msg::Change]) -> Option<row::Snapshot> {
    let change = changes.iter().find(|change| change.snapshot)?;
    serde_json::from_slice(&change.row).ok()
}

/// Asks a peer for its changes after a version.
pub async fn fetch(
    links: &Links,
    peer: SocketAddr,
    after: id::Version,
) -> Option<Vec<msg::Change>> {
    let asked = msg::ChangesSince { version: after.0 };
    let call = async {
        let response = links.call(peer, "/changes", &asked).await.ok()?;
        Links::read_all(peer, "/changes", response).await.ok()
    };
    time::timeout(PEER_TIMEOUT, call).await.ok().flatten()
}
