//! Model check of the configuration history: every reachable state of a small
//! world in which processes, the table and messages between processes behave as
//! badly as section 1.4 of the design page allows.
//!
//! The world runs the real code of `conf::history` and `conf::command`. It
//! assumes two things about a restore from a backup: some process still has the
//! newest change of the table, and requests that were on their way to the table
//! when its outage began do not arrive after the restore.

mod explore;

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hasher},
    sync::Arc,
};

use base::id;
use conf::{
    command::{self, Outcome, Proposal, ReadBack, Refusal},
    history::{Answers, HeadView, History, Offer, Readiness},
    row::{self, ChangeRow, Command, Condition, Head, Lineage, Reply, Row, Transaction},
};
use explore::{World, feed};

/// A rule that the world leaves out, to show that the check depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seed {
    None,
    /// A command is written without asking peers.
    NoConfirmation,
    /// The transaction does not check the head.
    NoHeadCondition,
    /// The transaction does not check the command row.
    NoCommandCondition,
    /// After a lost reply the command row is read before the head.
    CommandRowFirst,
    /// An absent command row is taken as proof that the command failed.
    AbsentIsLost,
    /// A process goes back to the version of a restored table.
    Revert,
    /// A restored table is left as it is.
    NoWriteBack,
    /// A new process serves without asking anyone.
    ReadyAtOnce,
}

/// How often each disturbance may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    lost: u8,
    outages: u8,
    restores: u8,
    restarts: u8,
}

#[derive(Clone)]
enum Task {
    Idle,
    /// The command waits until enough peers answered.
    Asking {
        command: usize,
        answers: BTreeMap<usize, id::Version>,
    },
    /// The transaction was sent; the reply, once there is one.
    Sent {
        command: usize,
        proposal: Box<Proposal>,
        reply: Option<Reply>,
    },
    /// The command is known to be accepted; the operator is told once it is in
    /// force here.
    Applying {
        command: usize,
        version: id::Version,
    },
    /// No reply arrived.
    Unknown {
        command: usize,
        proposal: Box<Proposal>,
    },
    /// The first of the two rows was read.
    HalfRead {
        command: usize,
        proposal: Box<Proposal>,
        head: Option<Head>,
        row: Option<Row>,
    },
}

#[derive(Clone)]
struct Process {
    history: History,
    task: Task,
    /// A transaction on its way to the table.
    flight: Option<Transaction>,
}

/// What an operator was told of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Nothing,
    Accepted(id::Version),
    NotAccepted,
}

/// The rows of the table, with a digest that is computed once for each content.
#[derive(Clone, Default)]
struct Table {
    rows: Arc<BTreeMap<String, Row>>,
    digest: u64,
}

#[derive(Clone)]
struct Fleet {
    seed: Seed,
    processes: Vec<Process>,
    table: Table,
    down: bool,
    backup: Option<Table>,
    told: Vec<Told>,
    budget: Budget,
    /// Operators give each command to one process, and to any process after a
    /// restart has taken their answer away.
    restarted: bool,
    /// Change rows that any process has had; each may arrive anywhere, any number
    /// of times.
    sent: BTreeMap<(id::Version, Lineage), Arc<ChangeRow>>,
    /// The first change that was in force anywhere at each version.
    truth: BTreeMap<id::Version, (Lineage, id::CommandId)>,
    fault: Option<String>,
}

fn give(command: usize) -> Command {
    let text = format!(
        r#"{{ "set_override": {{ "target": {{ "target": "t", "reason": "{command}" }} }} }}"#
    );
    Command {
        id: id::CommandId(command as u128),
        who: "amir".parse().unwrap(),
        why: String::new(),
        when: 0,
        change: serde_json::from_str(&text).unwrap(),
    }
}

fn execute(table: &mut Table, transaction: &Transaction) -> Reply {
    for (index, put) in transaction.puts.iter().enumerate() {
        let row = table.rows.get(&put.key);
        let holds = match put.condition {
            Condition::Any => true,
            Condition::Absent => row.is_none(),
            Condition::Version(version) => row.is_some_and(|row| row.version == version),
        };
        if !holds {
            let row = row.cloned();
            return Reply::Failed { index, row };
        }
    }
    let rows = Arc::make_mut(&mut table.rows);
    let mut versions = Vec::new();
    for put in &transaction.puts {
        let version = rows.get(&put.key).map_or(1, |row| row.version + 1);
        let value = put.value.clone();
        rows.insert(put.key.clone(), Row { version, value });
        versions.push(version);
    }
    let mut hasher = DefaultHasher::new();
    feed(&mut hasher, &*rows);
    table.digest = hasher.finish();
    Reply::Committed(versions)
}

impl Fleet {
    fn new(processes: usize, commands: usize, budget: Budget, seed: Seed) -> Self {
        let mut fleet = Self {
            seed,
            processes: Vec::new(),
            table: Table::default(),
            down: false,
            backup: None,
            told: vec![Told::Nothing; commands],
            budget,
            restarted: false,
            sent: BTreeMap::new(),
            truth: BTreeMap::new(),
            fault: None,
        };
        for _ in 0..processes {
            let mut history = History::new();
            history.observe(Head::default());
            assert_eq!(history.readiness(Answers::default()), Readiness::Ready);
            fleet.processes.push(Process {
                history,
                task: Task::Idle,
                flight: None,
            });
        }
        fleet
    }

    fn head(&self) -> Head {
        row::read_head(self.table.rows.get(row::HEAD)).unwrap()
    }

    fn peers(&self, own: usize) -> impl Iterator<Item = usize> {
        (0..self.processes.len()).filter(move |peer| *peer != own)
    }

    /// Runs one step of a process and then notes what is in force.
    fn step(&self, own: usize, run: impl FnOnce(&mut Self, &mut Process)) -> Self {
        let mut next = self.clone();
        let mut process = next.processes[own].clone();
        run(&mut next, &mut process);
        let before = self.processes[own].history.version();
        let after = process.history.version();
        if after < before {
            next.fault = Some(format!("process {own} went from {before} to {after}"));
        }
        next.note(&process.history);
        next.processes[own] = process;
        next
    }

    fn note(&mut self, history: &History) {
        if let Some(fork) = history.fork() {
            self.fault = Some(fork.to_string());
        }
        for row in history.rows() {
            self.sent.insert((row.version, row.lineage), row.clone());
            let now = (row.lineage, row.command.id);
            let first = *self.truth.entry(row.version).or_insert(now);
            if first != now {
                self.fault = Some(format!("two changes have version {}", row.version));
            }
        }
    }

    fn tell(&mut self, command: usize, told: Told) {
        if self.told[command] == Told::Nothing {
            self.told[command] = told;
        } else if self.told[command] != told {
            let before = self.told[command];
            self.fault = Some(format!("command {command} was {before:?}, now {told:?}"));
        }
    }

    fn held(&self, command: usize) -> bool {
        self.processes.iter().any(|process| match &process.task {
            Task::Idle => false,
            Task::Asking { command: held, .. }
            | Task::Applying { command: held, .. }
            | Task::Sent { command: held, .. }
            | Task::Unknown { command: held, .. }
            | Task::HalfRead { command: held, .. } => *held == command,
        })
    }

    fn process_steps(&self, own: usize, out: &mut Vec<(String, Self)>) {
        let history = &self.processes[own].history;
        for peer in self.peers(own) {
            self.peer_steps(own, peer, out);
        }
        for row in self.sent.values() {
            let mut trial = history.clone();
            if trial.offer(row.clone()) != Offer::Known {
                let name = format!("{own} gets version {} from a peer", row.version);
                out.push((name, self.step(own, |_, process| process.history = trial)));
            }
        }
        if !history.is_ready() {
            out.push((format!("{own} asks whether it is ready"), self.ready(own)));
        }
        if !self.down {
            self.table_steps(own, out);
        }
        self.task_steps(own, out);
        if self.budget.restarts > 0 && self.may_restart(own) {
            out.push((format!("{own} restarts"), self.restart(own)));
        }
    }

    fn peer_steps(&self, own: usize, peer: usize, out: &mut Vec<(String, Self)>) {
        let theirs = self.processes[peer].history.version();
        let history = &self.processes[own].history;
        if theirs > history.version() {
            let name = format!("{own} adopts the snapshot of {peer}");
            let next = self.step(own, |fleet, process| {
                process
                    .history
                    .adopt(fleet.processes[peer].history.snapshot());
            });
            out.push((name, next));
        }
        if let Task::Asking { answers, .. } = &self.processes[own].task
            && answers.get(&peer) != Some(&theirs)
        {
            let name = format!("{peer} answers {own} with version {theirs}");
            let next = self.step(own, |_, process| {
                if let Task::Asking { answers, .. } = &mut process.task {
                    answers.insert(peer, theirs);
                }
            });
            out.push((name, next));
        }
    }

    fn ready(&self, own: usize) -> Self {
        let peers = self.peers(own);
        let newest = peers
            .map(|peer| self.processes[peer].history.version())
            .max()
            .unwrap_or_default();
        let answers = match self.seed {
            Seed::ReadyAtOnce => Answers::default(),
            _ => Answers {
                known: self.processes.len() - 1,
                answered: self.processes.len() - 1,
                newest,
            },
        };
        self.step(own, |fleet, process| {
            let readiness = process.history.readiness(answers);
            let accepted = fleet.accepted().max().unwrap_or_default();
            let table_known = !fleet.down && process.history.head().is_some();
            let behind = process.history.version() < accepted;
            if readiness == Readiness::Ready && table_known && behind {
                let text = format!("{own} is ready without accepted version {accepted}");
                fleet.fault = Some(text);
            }
        })
    }

    fn table_steps(&self, own: usize, out: &mut Vec<(String, Self)>) {
        let history = &self.processes[own].history;
        let head = self.head();
        if history.head() != Some(head) {
            let name = format!("{own} reads the head, {}", head.point.version);
            out.push((
                name,
                self.step(own, |fleet, process| fleet.observe(process, head)),
            ));
        }
        let wanted = history.version().next();
        if let Some(row) = self.table.rows.get(&row::change_key(wanted)) {
            let change: ChangeRow = row.read(row::CHANGES).unwrap();
            let next = self.step(own, |_, process| {
                process.history.offer(Arc::new(change));
            });
            out.push((format!("{own} reads version {wanted} from the table"), next));
        }
        if self.seed != Seed::NoWriteBack
            && let Some(transaction) = history.write_back()
        {
            let next = self.step(own, |fleet, _| {
                execute(&mut fleet.table, &transaction);
            });
            out.push((format!("{own} writes back"), next));
        }
        if let Some(transaction) = self.processes[own].flight.clone() {
            let next = self.step(own, |fleet, process| {
                process.flight = None;
                let reply = execute(&mut fleet.table, &transaction);
                if let Task::Sent { reply: place, .. } = &mut process.task {
                    *place = Some(reply);
                }
            });
            out.push((format!("the transaction of {own} arrives"), next));
        }
    }

    fn observe(&self, process: &mut Process, head: Head) {
        let view = process.history.observe(head);
        if self.seed == Seed::Revert && matches!(view, HeadView::Restored(_)) {
            process.history = History::new();
            process.history.observe(head);
        }
    }

    fn task_steps(&self, own: usize, out: &mut Vec<(String, Self)>) {
        match &self.processes[own].task {
            Task::Idle => self.give_steps(own, out),
            Task::Asking { command, answers } => self.send_step(own, *command, answers, out),
            Task::Sent {
                command,
                proposal,
                reply,
            } => {
                if let Some(reply) = reply {
                    let outcome = command::interpret(proposal, reply).unwrap();
                    let next = self.step(own, |fleet, process| {
                        fleet.conclude(process, *command, outcome);
                    });
                    out.push((format!("{own} gets the reply"), next));
                }
                if self.budget.lost > 0 {
                    let mut next = self.clone();
                    next.budget.lost -= 1;
                    next.processes[own].task = Task::Unknown {
                        command: *command,
                        proposal: proposal.clone(),
                    };
                    out.push((format!("{own} gets no reply"), next));
                }
            }
            Task::Applying { command, version }
                if self.processes[own].history.version() >= *version =>
            {
                let next = self.step(own, |fleet, process| {
                    process.task = Task::Idle;
                    fleet.tell(*command, Told::Accepted(*version));
                });
                out.push((format!("{own} has applied command {command}"), next));
            }
            Task::Unknown { command, proposal } if !self.down => {
                out.push(self.read_first(own, *command, proposal));
            }
            Task::HalfRead {
                command,
                proposal,
                head,
                row,
            } if !self.down => out.push(self.read_second(own, *command, proposal, *head, row)),
            _ => (),
        }
    }

    fn give_steps(&self, own: usize, out: &mut Vec<(String, Self)>) {
        if !self.processes[own].history.is_ready() {
            return;
        }
        for command in 0..self.told.len() {
            let here = command == own || self.restarted;
            if here && self.told[command] == Told::Nothing && !self.held(command) {
                let next = self.step(own, |_, process| {
                    let answers = BTreeMap::new();
                    process.task = Task::Asking { command, answers };
                });
                out.push((format!("command {command} is given to {own}"), next));
            }
        }
    }

    fn send_step(
        &self,
        own: usize,
        command: usize,
        answers: &BTreeMap<usize, id::Version>,
        out: &mut Vec<(String, Self)>,
    ) {
        let answers = match self.seed {
            Seed::NoConfirmation => Answers::default(),
            _ => Answers {
                known: self.processes.len() - 1,
                answered: answers.len(),
                newest: answers.values().max().copied().unwrap_or_default(),
            },
        };
        let history = &self.processes[own].history;
        match command::prepare(history, give(command), answers) {
            Ok(mut proposal) if !self.down => {
                match self.seed {
                    Seed::NoCommandCondition => {
                        proposal.transaction.puts[0].condition = Condition::Any;
                    }
                    Seed::NoHeadCondition => {
                        proposal.transaction.puts[1].condition = Condition::Any;
                        proposal.transaction.puts[2].condition = Condition::Any;
                    }
                    _ => (),
                }
                let next = self.step(own, |_, process| {
                    process.flight = Some(proposal.transaction.clone());
                    process.task = Task::Sent {
                        command,
                        proposal: Box::new(proposal),
                        reply: None,
                    };
                });
                out.push((format!("{own} sends command {command}"), next));
            }
            Err(Refusal::Accepted(version)) => {
                let next = self.step(own, |fleet, process| {
                    process.task = Task::Idle;
                    fleet.tell(command, Told::Accepted(version));
                });
                out.push((format!("{own} knows command {command}"), next));
            }
            _ => (),
        }
    }

    fn conclude(&mut self, process: &mut Process, command: usize, outcome: Outcome) {
        process.task = Task::Idle;
        match outcome {
            Outcome::Repeated(version) => process.task = Task::Applying { command, version },
            Outcome::Committed { row, head } => {
                let version = row.version;
                process.history.offer(row);
                process.history.observe(head);
                self.tell(command, Told::Accepted(version));
            }
            Outcome::Lost(_) => self.tell(command, Told::NotAccepted),
            other => self.fault = Some(format!("unexpected outcome {other:?}")),
        }
    }

    fn read_first(&self, own: usize, command: usize, proposal: &Proposal) -> (String, Self) {
        let key = row::command_key(proposal.row.command.id);
        let by_row = self.seed == Seed::CommandRowFirst;
        let next = self.step(own, |fleet, process| {
            process.task = Task::HalfRead {
                command,
                proposal: Box::new(proposal.clone()),
                head: (!by_row).then(|| fleet.head()),
                row: fleet.table.rows.get(&key).filter(|_| by_row).cloned(),
            };
        });
        (
            format!("{own} reads the first row after a lost reply"),
            next,
        )
    }

    fn read_second(
        &self,
        own: usize,
        command: usize,
        proposal: &Proposal,
        head: Option<Head>,
        row: &Option<Row>,
    ) -> (String, Self) {
        let key = row::command_key(proposal.row.command.id);
        let row = match self.seed {
            Seed::CommandRowFirst => row.clone(),
            _ => self.table.rows.get(&key).cloned(),
        };
        let head = head.unwrap_or_else(|| self.head());
        let mut result = command::read_back(proposal, head, row.as_ref()).unwrap();
        if self.seed == Seed::AbsentIsLost && result == ReadBack::Undecided {
            result = ReadBack::Lost(head);
        }
        let next = self.step(own, |fleet, process| {
            fleet.observe(process, head);
            match result {
                ReadBack::Committed(version) => {
                    process.task = Task::Applying { command, version };
                }
                ReadBack::Lost(_) => {
                    process.task = Task::Idle;
                    fleet.tell(command, Told::NotAccepted);
                }
                ReadBack::Undecided => {
                    let answers = BTreeMap::new();
                    process.task = Task::Asking { command, answers };
                }
            }
        });
        (
            format!("{own} reads the second row after a lost reply"),
            next,
        )
    }

    /// A process may restart while another process or the table has its newest
    /// change: losing the only copy is outside the failure model.
    fn may_restart(&self, own: usize) -> bool {
        let version = self.processes[own].history.version();
        self.head().point.version >= version
            || self
                .peers(own)
                .any(|peer| self.processes[peer].history.version() >= version)
    }

    fn restart(&self, own: usize) -> Self {
        let mut next = self.clone();
        next.budget.restarts -= 1;
        next.restarted = true;
        next.processes[own].history = History::new();
        next.processes[own].task = Task::Idle;
        next
    }

    fn platform_steps(&self, out: &mut Vec<(String, Self)>) {
        let mut next = self.clone();
        if self.down {
            next.down = false;
            out.push(("the outage ends".to_owned(), next));
            self.restore_step(out);
            return;
        }
        if self.budget.restores > 0 && self.backup.is_none() && self.told.len() > 1 {
            next.backup = Some(self.table.clone());
            out.push(("a backup is made".to_owned(), next.clone()));
            next.backup = None;
        }
        if self.budget.outages > 0 {
            next.budget.outages -= 1;
            next.down = true;
            next.processes.iter_mut().for_each(interrupt);
            out.push(("an outage begins".to_owned(), next));
        }
    }

    fn restore_step(&self, out: &mut Vec<(String, Self)>) {
        let newest = self.head().point.version;
        let survives = self
            .processes
            .iter()
            .any(|process| process.history.version() >= newest);
        if let Some(backup) = &self.backup
            && self.budget.restores > 0
            && survives
        {
            let mut next = self.clone();
            next.budget.restores -= 1;
            next.table = backup.clone();
            next.backup = None;
            out.push(("the table is restored".to_owned(), next));
        }
    }

    fn accepted(&self) -> impl Iterator<Item = id::Version> {
        self.told.iter().filter_map(|told| match told {
            Told::Accepted(version) => Some(*version),
            _ => None,
        })
    }

    fn command_fault(&self, command: usize) -> Option<String> {
        let id = id::CommandId(command as u128);
        let versions: BTreeSet<id::Version> = self
            .truth
            .iter()
            .filter(|(_, (_, other))| *other == id)
            .map(|(version, _)| *version)
            .collect();
        if versions.len() > 1 {
            return Some(format!("command {command} took effect twice"));
        }
        match self.told[command] {
            Told::NotAccepted if !versions.is_empty() => Some(format!(
                "command {command} is in force, but was told not to be"
            )),
            Told::Accepted(version) if !self.present(version, id) => {
                Some(format!("accepted version {version} is lost"))
            }
            _ => None,
        }
    }

    /// Tells whether an accepted change is in the table or in force somewhere.
    fn present(&self, version: id::Version, command: id::CommandId) -> bool {
        let in_truth = self
            .truth
            .get(&version)
            .is_none_or(|(_, other)| *other == command);
        let in_table = self.head().point.version >= version
            && self
                .table
                .rows
                .get(&row::change_key(version))
                .and_then(|row| row.read::<ChangeRow>(row::CHANGES).ok())
                .is_some_and(|row| row.command.id == command);
        let in_force = self
            .processes
            .iter()
            .any(|process| process.history.version() >= version);
        in_truth && (in_table || in_force)
    }
}

/// Ends what a process had under way with the table when an outage begins.
fn interrupt(process: &mut Process) {
    process.flight = None;
    process.task = match std::mem::replace(&mut process.task, Task::Idle) {
        Task::Asking { command, .. } => Task::Asking {
            command,
            answers: BTreeMap::new(),
        },
        Task::Sent {
            command, proposal, ..
        }
        | Task::HalfRead {
            command, proposal, ..
        } => Task::Unknown { command, proposal },
        other => other,
    };
}

impl World for Fleet {
    fn steps(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        for own in 0..self.processes.len() {
            self.process_steps(own, &mut out);
        }
        self.platform_steps(&mut out);
        out
    }

    fn feed(&self, hasher: &mut impl Hasher) {
        for process in &self.processes {
            feed_history(&process.history, hasher);
            feed_task(&process.task, hasher);
            feed(hasher, process.flight.is_some());
        }
        feed(hasher, (self.table.digest, self.down));
        feed(hasher, self.backup.as_ref().map(|table| table.digest));
        feed(hasher, (&self.told, self.budget, &self.truth));
        self.sent.keys().for_each(|key| feed(hasher, key));
        feed(hasher, &self.fault);
    }

    fn fault(&self) -> Option<String> {
        let commands = 0..self.told.len();
        let found = self.fault.clone();
        found.or_else(|| {
            commands
                .into_iter()
                .find_map(|command| self.command_fault(command))
        })
    }

    fn complete(&self) -> bool {
        let point = self.head().point;
        let processes = self.processes.iter();
        !self.down
            && self.accepted().all(|version| version <= point.version)
            && self.told.iter().all(|told| *told != Told::Nothing)
            && processes
                .map(|process| process.history.point())
                .all(|other| other == point)
    }
}

fn feed_history(history: &History, hasher: &mut impl Hasher) {
    feed(hasher, (history.point(), history.newest(), history.head()));
    feed(hasher, (history.fork(), history.is_ready()));
    history.rows().for_each(|row| feed(hasher, row.point()));
    feed(hasher, "waiting");
    history.waiting().for_each(|row| feed(hasher, row.point()));
    history.remembered().for_each(|point| feed(hasher, point));
}

fn feed_task(task: &Task, hasher: &mut impl Hasher) {
    match task {
        Task::Idle => feed(hasher, 0),
        Task::Asking { command, answers } => feed(hasher, (1, command, answers)),
        Task::Sent {
            command,
            proposal,
            reply,
        } => feed(
            hasher,
            (2, command, proposal.base, proposal.row.point(), reply),
        ),
        Task::Applying { command, version } => feed(hasher, (5, command, version)),
        Task::Unknown { command, proposal } => {
            feed(hasher, (3, command, proposal.base, proposal.row.point()));
        }
        Task::HalfRead {
            command,
            proposal,
            head,
            row,
        } => feed(
            hasher,
            (4, command, proposal.base, proposal.row.point(), head, row),
        ),
    }
}

fn check(name: &str, fleet: Fleet) {
    let report = explore::explore(fleet);
    println!(
        "model conf {name} states={} steps={}",
        report.states, report.steps
    );
    if let Some(fault) = report.fault {
        panic!("{name}: {fault}");
    }
}

fn finds(seed: Seed, budget: Budget, expected: &str) {
    let report = explore::explore(Fleet::new(2, 2, budget, seed));
    let fault = report
        .fault
        .unwrap_or_else(|| panic!("{seed:?} was not found"));
    println!(
        "model conf seeded {seed:?} states={}\n{fault}",
        report.states
    );
    assert!(fault.text.contains(expected), "{seed:?} found as {fault}");
}

const QUIET: Budget = Budget {
    lost: 0,
    outages: 0,
    restores: 0,
    restarts: 0,
};

const RESTORE: Budget = Budget {
    outages: 1,
    restores: 1,
    ..QUIET
};

/// Two operators race at two processes while replies are lost.
#[test]
fn lost_replies() {
    let budget = Budget { lost: 2, ..QUIET };
    check("lost_replies", Fleet::new(2, 2, budget, Seed::None));
}

/// A process restarts while a command is under way.
#[test]
fn restarted_process() {
    let budget = Budget {
        restarts: 1,
        ..QUIET
    };
    check("restarted_process", Fleet::new(2, 2, budget, Seed::None));
}

/// A reply is lost, and a process restarts.
#[test]
fn lost_and_restarted() {
    let budget = Budget {
        lost: 1,
        restarts: 1,
        ..QUIET
    };
    check("lost_and_restarted", Fleet::new(2, 1, budget, Seed::None));
}

/// The table is restored from a backup that lacks accepted changes.
#[test]
fn restored_backup() {
    check("restored_backup", Fleet::new(2, 2, RESTORE, Seed::None));
}

/// A reply is lost around an outage, with a restore.
#[test]
fn restored_unknown() {
    let budget = Budget { lost: 1, ..RESTORE };
    check("restored_unknown", Fleet::new(2, 2, budget, Seed::None));
}

/// Three processes race.
#[test]
fn three_processes() {
    check("three_processes", Fleet::new(3, 2, QUIET, Seed::None));
}

#[test]
fn seeded_faults() {
    let lost = Budget { lost: 1, ..QUIET };
    let restart = Budget {
        restarts: 1,
        ..QUIET
    };
    finds(Seed::NoConfirmation, RESTORE, "elsewhere");
    finds(Seed::NoHeadCondition, QUIET, "elsewhere");
    finds(Seed::NoCommandCondition, lost, "told not to be");
    finds(Seed::CommandRowFirst, lost, "told not to be");
    finds(Seed::AbsentIsLost, lost, "told not to be");
    finds(Seed::Revert, RESTORE, "went from 1 to 0");
    finds(Seed::NoWriteBack, RESTORE, "no longer be completed");
    finds(Seed::ReadyAtOnce, restart, "ready without accepted");
}
