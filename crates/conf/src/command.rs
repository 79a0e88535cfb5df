//! How a command becomes an accepted change: one transaction on the table, and
//! what the table's reply means.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::{fmt, sync::Arc};

use base::id;

use crate::{
    change::Rejection,
    difference,
    history::{ASKED, Answers, Fork, History},
    row::{
        self, ChangeRow, Command, CommandRow, Condition, Head, Put, Reply, Row, RowError,
        Transaction,
    },
    state::Configuration,
};

/// Position of the command row in a proposal's transaction. It is first, so that
/// a command that was accepted before is recognised as such although the head
/// has moved on.
const COMMAND: usize = 0;

/// Position of the head row in a proposal's transaction.
const HEAD: usize = 1;

/// States why a process does not accept a command now.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The head of the table is not known.
    #[error("the table does not answer; no command is accepted until it does")]
    TableDown,
    /// The table has changes that this process has not applied yet.
    #[error("this process is at version {own}, the table at version {head}; try again shortly")]
    Behind {
        /// Version of this process.
        own: id::Version,
        /// Version of the table.
        head: id::Version,
    },
    /// The table lacks accepted changes.
    #[error(
        "the table is at version {head}, but version {newest} was accepted; no command is accepted until the missing changes are written back"
    )]
    TableBehind {
        /// Version of the table.
        head: id::Version,
        /// Newest version that is known.
        newest: id::Version,
    },
    /// Too few peers confirmed the version.
    #[error("{answered} peers confirmed the version, {needed} are needed; try again shortly")]
    Unconfirmed {
        /// Peers that answered.
        answered: usize,
        /// Peers that must answer.
        needed: usize,
    },
    /// The command was accepted before.
    #[error("this command was accepted before, as version {0}")]
    Accepted(id::Version),
    /// Two different changes have one version.
    #[error("{0}; no command is accepted until operators have resolved it")]
    Forked(Fork),
    /// The change does not apply.
    #[error(transparent)]
    Rejected(#[from] Rejection),
}

/// A command that is ready to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The head on which it is based.
    pub base: Head,
    /// The configuration on which it is based.
    pub before: Arc<Configuration>,
    /// The row of the change.
    pub row: Arc<ChangeRow>,
    /// What to send to the table. Sending it again is harmless.
    pub transaction: Transaction,
}

/// What the table's reply to a proposal means.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The change is accepted: offer its row to the history and observe the head.
    Committed {
        /// The row of the change.
        row: Arc<ChangeRow>,
        /// The head after it.
        head: Head,
    },
    /// The command was accepted before, at this version. Tell the operator once
    /// the history has reached it, so that a peer that asks this process for its
    /// version hears of it.
    Repeated(id::Version),
    /// Another change was accepted first, and this one was not and will not be:
    /// read the rows since the base and report [`conflict`].
    Lost(Head),
    /// No reply: read the head, then the command row, and call [`read_back`].
    Unknown,
    /// The table has a change row that its head does not account for.
    Damaged {
        /// Key of the row.
        key: String,
    },
}

/// What the head and the command row say after a lost reply.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadBack {
    /// The change was accepted at this version. Tell the operator once the
    /// history has reached it, as after [`Outcome::Repeated`].
    Committed(id::Version),
    /// Another change was accepted first, and this one was not and will not be.
    Lost(Head),
    /// Not decided: the transaction may still arrive, or the table was restored
    /// and lacks accepted changes. Observe the head and [`prepare`] the same
    /// command again; that is harmless, because its id stays the same.
    Undecided,
}

/// Checks a command against the configuration in force and makes the transaction
/// that records it.
///
/// `answers` are the versions of peers that were asked after the command
/// arrived. A process that has missed the latest changes cannot tell a table that
/// was restored to an older version from one that has no newer change, so it
/// asks.
///
/// # Errors
///
/// Returns why no command is accepted now, or why this one does not apply.
pub fn prepare(history: &History, command: Command, answers: Answers) -> Result<Proposal, Refusal> {
    if let Some(row) = history.rows().find(|row| row.command.id == command.id) {
        return Err(Refusal::Accepted(row.version));
    }
    let base = check(history, answers)?;
    let before = history.configuration().clone();
    before.apply(&command.change)?;
    let row = Arc::new(ChangeRow::after(base.point, command));
    let recorded = CommandRow {
        version: row.version,
    };
    let transaction = Transaction {
        puts: vec![
            Put::new(
                row::command_key(row.command.id),
                &recorded,
                Condition::Absent,
            ),
            Put::new(row::HEAD, &row.point(), Condition::as_read(base.row)),
            Put::new(
                row::change_key(row.version),
                row.as_ref(),
                Condition::Absent,
            ),
        ],
    };
    Ok(Proposal {
        base,
        before,
        row,
        transaction,
    })
}

fn check(history: &History, answers: Answers) -> Result<Head, Refusal> {
    if let Some(fork) = history.fork() {
        return Err(Refusal::Forked(fork));
    }
    let Some(head) = history.head() else {
        return Err(Refusal::TableDown);
    };
    let newest = history.newest().max(answers.newest);
    if newest > head.point.version {
        return Err(Refusal::TableBehind {
            head: head.point.version,
            newest,
        });
    }
    if history.point() != head.point {
        return Err(Refusal::Behind {
            own: history.version(),
            head: head.point.version,
        });
    }
    if !answers.enough() {
        return Err(Refusal::Unconfirmed {
            answered: answers.answered,
            needed: answers.known.min(ASKED),
        });
    }
    Ok(head)
}

/// Interprets the table's reply to a proposal.
///
/// # Errors
///
/// Returns a row that does not hold what its key says.
pub fn interpret(proposal: &Proposal, reply: &Reply) -> Result<Outcome, RowError> {
    match reply {
        Reply::Lost => Ok(Outcome::Unknown),
        Reply::Committed(versions) => Ok(Outcome::Committed {
            row: proposal.row.clone(),
            head: Head {
                row: versions.get(HEAD).copied(),
                point: proposal.row.point(),
            },
        }),
        Reply::Failed { index, row } => failed(proposal, *index, row.as_ref()),
    }
}

fn failed(proposal: &Proposal, index: usize, row: Option<&Row>) -> Result<Outcome, RowError> {
    let key = &proposal.transaction.puts[index].key;
    match (index, row) {
        (COMMAND, Some(row)) => {
            let recorded: CommandRow = row.read(key)?;
            Ok(Outcome::Repeated(recorded.version))
        }
        (HEAD, row) => Ok(Outcome::Lost(row::read_head(row)?)),
        _ => Ok(Outcome::Damaged { key: key.clone() }),
    }
}

/// Decides an unknown outcome from the head and the command row, which must be
/// read in this order after the reply was lost.
///
/// An absent command row alone proves nothing: the transaction may still be on
/// its way. It can no longer take effect once the head has moved on. If the
/// command row were read first, the transaction could arrive between the two
/// reads, and its own head would look like that of another change.
///
/// # Errors
///
/// Returns a row that does not hold what its key says.
pub fn read_back(
    proposal: &Proposal,
    head: Head,
    command: Option<&Row>,
) -> Result<ReadBack, RowError> {
    if let Some(row) = command {
        let key = row::command_key(proposal.row.command.id);
        let recorded: CommandRow = row.read(&key)?;
        return Ok(ReadBack::Committed(recorded.version));
    }
    if head.point.version > proposal.base.point.version {
        return Ok(ReadBack::Lost(head));
    }
    Ok(ReadBack::Undecided)
}

/// Names the change that won over a command, and what it changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The accepted changes since the command's base, oldest first.
    pub winners: Vec<Arc<ChangeRow>>,
    /// What they changed, one line for each entry.
    pub differences: String,
}

/// Makes the report for the loser of a race from the rows that were accepted
/// since its base.
pub fn conflict(proposal: &Proposal, winners: Vec<Arc<ChangeRow>>) -> Conflict {
    let after = winners
        .iter()
        .try_fold(proposal.before.as_ref().clone(), |before, row| {
            before.apply(&row.command.change)
        });
    let differences = match after {
        Ok(after) => difference::text(&proposal.before, &after),
        Err(rejection) => format!("the differences are not known: {rejection}\n"),
    };
    Conflict {
        winners,
        differences,
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "another change was accepted first:")?;
        for row in &self.winners {
            let command = &row.command;
            write!(f, "version {} by {}: ", row.version, command.who)?;
            writeln!(f, "{} ({})", command.change, command.why)?;
        }
        write!(f, "{}", self.differences)
    }
}
