//! The sequence of accepted changes as one process follows it.
//!
//! Changes arrive from the table and from peers in any order, more than once and
//! with gaps. A [`History`] applies each once and in order, keeps the latest for
//! peers, notices a table that was restored from a backup, and notices two
//! different changes with one version. Its version never decreases.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::{collections::BTreeMap, fmt, sync::Arc};

use base::id;

use crate::{
    change::Rejection,
    row::{self, ChangeRow, Condition, Head, Lineage, Point, Put, Snapshot, Transaction},
    state::Configuration,
};

/// Change rows that a process keeps for peers and for a restored table.
pub const KEPT: usize = 256;

/// Change rows that a process holds while an earlier one is missing.
const EARLY: usize = 256;

/// Lineages that a process remembers in order to tell a restored table from a
/// foreign one: about four days at 2,200 changes a day.
const REMEMBERED: usize = 10_000;

/// Change rows in one transaction that writes them back, so that a transaction
/// stays small.
const WRITE_BACK: usize = 32;

/// Peers that a process asks before it relies on what the table says.
pub const ASKED: usize = 3;

/// What the peers said that were asked for their versions just now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Answers {
    /// Peers that are known.
    pub known: usize,
    /// Peers that answered.
    pub answered: usize,
    /// The newest version among the answers.
    pub newest: id::Version,
}

impl Answers {
    /// Tells whether enough peers answered: [`ASKED`], or all that are known.
    pub fn enough(&self) -> bool {
        self.answered >= self.known.min(ASKED)
    }
}

/// What became of a change row that was offered.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// It was applied, and possibly rows after it that had arrived early; the
    /// version that is now in force.
    Applied(id::Version),
    /// It was known.
    Known,
    /// It was kept until the rows before it arrive.
    Early {
        /// The first version that is missing.
        missing: id::Version,
    },
    /// It belongs to another lineage: two different changes have one version.
    Forked(Fork),
    /// It follows, but this release cannot apply it.
    Unusable(Rejection),
}

/// What became of a snapshot that was offered.
#[derive(Clone, Debug, PartialEq)]
pub enum Adoption {
    /// It is now in force.
    Adopted(id::Version),
    /// It is not newer than what is in force.
    Known,
    /// Its rows do not lead to its configuration.
    Invalid,
    /// It belongs to another lineage.
    Forked(Fork),
}

/// How the head of the table relates to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HeadView {
    /// The same version.
    Same,
    /// The table has newer changes, from this version on.
    Ahead(id::Version),
    /// The table was restored from a backup and lacks changes that are accepted,
    /// from this version on.
    Restored(id::Version),
    /// The table is at an older version whose lineage this process does not
    /// remember, so it leaves the comparison to others.
    Unverified(id::Version),
    /// The table has another lineage.
    Forked(Fork),
}

/// Two lineages for one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fork {
    /// The version.
    pub version: id::Version,
    /// Lineage in this process; none when it does not have the version.
    pub own: Option<Lineage>,
    /// Lineage that was offered.
    pub other: Lineage,
}

impl fmt::Display for Fork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} has lineage ", self.version)?;
        match self.own {
            Some(own) => write!(f, "{own}")?,
            None => f.write_str("none")?,
        }
        write!(f, " here and lineage {} elsewhere", self.other)
    }
}

/// Whether a process may serve, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Readiness {
    /// It may serve.
    Ready,
    /// It waits for the table's head or for peers' versions.
    Waiting {
        /// Whether the table's head was read.
        table: bool,
        /// Peers that have answered.
        answered: usize,
        /// Peers that must answer.
        needed: usize,
    },
    /// It knows of a newer version and fetches it.
    Behind {
        /// The version in force here.
        own: id::Version,
        /// The version to reach.
        newest: id::Version,
    },
    /// The table is down, and there is neither a peer nor a snapshot.
    Alone,
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ready => f.write_str("ready"),
            Self::Waiting {
                table,
                answered,
                needed,
            } => write!(
                f,
                "waiting: table read {table}, {answered} of {needed} peers answered"
            ),
            Self::Behind { own, newest } => {
                write!(f, "behind: at version {own}, version {newest} is known")
            }
            Self::Alone => f.write_str(
                "alone: the table does not answer, no peer is known and no snapshot was found",
            ),
        }
    }
}

/// The accepted changes as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct History {
    configuration: Arc<Configuration>,
    lineage: Lineage,
    kept: BTreeMap<id::Version, Arc<ChangeRow>>,
    early: BTreeMap<id::Version, Arc<ChangeRow>>,
    remembered: BTreeMap<id::Version, Lineage>,
    head: Option<Head>,
    newest: id::Version,
    fork: Option<Fork>,
    ready: bool,
}

impl History {
    /// Makes the history of a process that knows nothing yet.
    pub fn new() -> Self {
        let mut history = Self::default();
        let start = history.point();
        history.remembered.insert(start.version, start.lineage);
        history
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the version in force.
    pub fn version(&self) -> id::Version {
        self.configuration.version()
    }

    /// Returns the version in force with its lineage.
    pub fn point(&self) -> Point {
        Point {
            version: self.version(),
            lineage: self.lineage,
        }
    }

    /// Returns the newest version that this process has heard of.
    pub fn newest(&self) -> id::Version {
        self.newest.max(self.version())
    }

    /// Returns the head of the table as last read.
    pub fn head(&self) -> Option<Head> {
        self.head
    }

    /// Returns the two lineages, when two different changes with one version were
    /// found. From then on the process keeps what it has and accepts no commands.
    pub fn fork(&self) -> Option<Fork> {
        self.fork
    }

    /// Returns a snapshot of the configuration in force.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            lineage: self.lineage,
            rows: self.kept.values().map(|row| (**row).clone()).collect(),
            configuration: self.configuration.as_ref().clone(),
        }
    }

    /// Notes the version in a peer's message. Returns whether it is newer than
    /// the one in force, so that the peer should be asked for the changes.
    pub fn hear(&mut self, version: id::Version) -> bool {
        self.newest = self.newest.max(version);
        version > self.version()
    }

    /// Takes a change row from the table or from a peer.
    pub fn offer(&mut self, row: Arc<ChangeRow>) -> Offer {
        self.newest = self.newest.max(row.version);
        if row.version <= self.version() {
            return self.compare(row.point());
        }
        if row.version > self.version().next() {
            return self.hold(row);
        }
        if let Err(offer) = self.follow(&row) {
            return offer;
        }
        self.follow_early();
        Offer::Applied(self.version())
    }

    fn compare(&mut self, other: Point) -> Offer {
        match self.remembered.get(&other.version) {
            Some(own) if *own != other.lineage => Offer::Forked(self.note_fork(other)),
            _ => Offer::Known,
        }
    }

    fn hold(&mut self, row: Arc<ChangeRow>) -> Offer {
        let missing = self.version().next();
        self.early.insert(row.version, row);
        if self.early.len() > EARLY {
            self.early.pop_last();
        }
        Offer::Early { missing }
    }

    fn follow(&mut self, row: &Arc<ChangeRow>) -> Result<(), Offer> {
        if !row.follows(self.point()) {
            return Err(Offer::Forked(self.note_fork(row.point())));
        }
        let next = self
            .configuration
            .apply(&row.command.change)
            .map_err(Offer::Unusable)?;
        self.configuration = Arc::new(next);
        self.lineage = row.lineage;
        self.kept.insert(row.version, row.clone());
        self.remember();
        Ok(())
    }

    /// Takes a snapshot from the object store or from a peer; it replaces an
    /// older configuration as a whole.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Adoption {
        let point = snapshot.point();
        if point.version <= self.version() {
            return match self.compare(point) {
                Offer::Forked(fork) => Adoption::Forked(fork),
                _ => Adoption::Known,
            };
        }
        if !snapshot.is_whole() {
            return Adoption::Invalid;
        }
        let own = self.point();
        let theirs = snapshot.rows.iter().map(ChangeRow::point);
        let theirs = theirs.into_iter().find(|mark| mark.version == own.version);
        if let Some(theirs) = theirs.filter(|theirs| *theirs != own) {
            return Adoption::Forked(self.note_fork(theirs));
        }
        let rows = snapshot.rows.into_iter().map(Arc::new);
        self.kept = rows.map(|row| (row.version, row)).collect();
        let points = self.kept.values().map(|row| (row.version, row.lineage));
        self.remembered.extend(points);
        self.configuration = Arc::new(snapshot.configuration);
        self.lineage = point.lineage;
        self.newest = self.newest.max(point.version);
        self.early.retain(|version, _| *version > point.version);
        self.remember();
        self.follow_early();
        Adoption::Adopted(self.version())
    }

    /// Applies rows that arrived early, as far as none is missing.
    fn follow_early(&mut self) {
        while let Some(next) = self.early.remove(&self.version().next()) {
            if self.follow(&next).is_err() {
                return;
            }
        }
    }

    fn remember(&mut self) {
        let point = self.point();
        self.remembered.insert(point.version, point.lineage);
        while self.remembered.len() > REMEMBERED {
            self.remembered.pop_first();
        }
        while self.kept.len() > KEPT {
            self.kept.pop_first();
        }
    }

    fn note_fork(&mut self, other: Point) -> Fork {
        let fork = Fork {
            version: other.version,
            own: self.remembered.get(&other.version).copied(),
            other: other.lineage,
        };
        *self.fork.get_or_insert(fork)
    }

    /// Returns the kept rows after a version for a peer that asks for them, or
    /// none when the first of them is no longer kept and the peer needs a
    /// snapshot.
    pub fn since(&self, version: id::Version) -> Option<Vec<Arc<ChangeRow>>> {
        let rows: Vec<Arc<ChangeRow>> = self
            .kept
            .range(version.next()..)
            .map(|(_, row)| row.clone())
            .collect();
        let wanted = self.version().0.saturating_sub(version.0);
        (rows.len() as u64 == wanted).then_some(rows)
    }

    /// Returns the kept rows, oldest first, for lists.
    pub fn rows(&self) -> impl Iterator<Item = &Arc<ChangeRow>> {
        self.kept.values()
    }

    /// Returns the rows that wait for an earlier one, oldest first.
    pub fn waiting(&self) -> impl Iterator<Item = &Arc<ChangeRow>> {
        self.early.values()
    }

    /// Returns the lineages that the process remembers, oldest first.
    pub fn remembered(&self) -> impl Iterator<Item = Point> {
        self.remembered.iter().map(|(version, lineage)| Point {
            version: *version,
            lineage: *lineage,
        })
    }

    /// Tells whether [`History::readiness`] has found the process ready.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Takes the head row as just read from the table, or as just written.
    pub fn observe(&mut self, head: Head) -> HeadView {
        self.head = Some(head);
        let other = head.point;
        if other.version > self.version() {
            self.newest = self.newest.max(other.version);
            return HeadView::Ahead(self.version().next());
        }
        match self.remembered.get(&other.version) {
            None => HeadView::Unverified(other.version),
            Some(own) if *own != other.lineage => HeadView::Forked(self.note_fork(other)),
            Some(_) if other.version == self.version() => HeadView::Same,
            Some(_) => HeadView::Restored(other.version.next()),
        }
    }

    /// Returns the transaction that writes accepted changes back to a restored
    /// table, as far as one transaction goes; none when the table lacks nothing.
    /// A commit is followed by reading the head again.
    ///
    /// When this process no longer has a row that the table lacks, the head goes
    /// over it: a new process then starts from a snapshot.
    pub fn write_back(&self) -> Option<Transaction> {
        let head = self.head?;
        let own = self.remembered.get(&head.point.version)?;
        let behind = head.point.version < self.version() && *own == head.point.lineage;
        if self.fork.is_some() || !behind {
            return None;
        }
        let rows: Vec<&Arc<ChangeRow>> = self
            .kept
            .range(head.point.version.next()..)
            .map(|(_, row)| row)
            .take(WRITE_BACK)
            .collect();
        let last = rows.last().map_or(self.point(), |row| row.point());
        let condition = Condition::as_read(head.row);
        let mut puts = vec![Put::new(row::HEAD, &last, condition)];
        puts.extend(rows.iter().flat_map(|row| back(row)));
        Some(Transaction { puts })
    }

    /// Decides whether this process may serve; once ready, it stays ready. The
    /// table counts as down while its head was not read.
    pub fn readiness(&mut self, answers: Answers) -> Readiness {
        if self.ready {
            return Readiness::Ready;
        }
        self.newest = self.newest.max(answers.newest);
        let needed = answers.known.min(ASKED);
        let snapshot = self.version() > id::Version(0);
        if self.head.is_none() && answers.known == 0 && !snapshot {
            return Readiness::Alone;
        }
        if !answers.enough() {
            return Readiness::Waiting {
                table: self.head.is_some(),
                answered: answers.answered,
                needed,
            };
        }
        if self.version() < self.newest() {
            return Readiness::Behind {
                own: self.version(),
                newest: self.newest(),
            };
        }
        self.ready = true;
        Readiness::Ready
    }
}

/// Returns the writes of a change row and its command row.
fn back(row: &Arc<ChangeRow>) -> [Put; 2] {
    let command = row::CommandRow {
        version: row.version,
    };
    [
        Put::new(row::change_key(row.version), row.as_ref(), Condition::Any),
        Put::new(row::command_key(row.command.id), &command, Condition::Any),
    ]
}
