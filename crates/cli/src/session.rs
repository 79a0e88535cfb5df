//! Runs commands and shows their answers.

use std::{
    io::{self, Write},
    time::{Duration, Instant},
};

use base::id;
use conf::{
    row::{ChangeRow, Point},
    state::Configuration,
    value::KeyHash,
};
use lang::{
    answer::{Answer, Page, Preview, Record, Versions},
    api::Given,
    command::{self, Command, KeyOrder, Order, Query, Source},
    complete::Names,
    parse::{self, Line},
    render,
};
use serde::Serialize;
use tokio::time;

use crate::{
    code::Code,
    connect::{CallError, Client},
    options::{Options, Output},
};

/// Time between two looks at the versions of the members.
const LOOK: Duration = Duration::from_millis(300);

/// Lagging members that progress names; the others are counted.
const NAMED: usize = 5;

/// Where answers and errors are written.
pub struct Screen<'a> {
    /// Answers.
    pub out: &'a mut (dyn Write + Send),
    /// Errors and progress.
    pub err: &'a mut (dyn Write + Send),
}

/// Why a command was not carried out.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("error: {0}")]
    Call(#[from] CallError),
    #[error(
        "error: it is not known whether the order was accepted: {cause}\nrepeat it with --command {command}"
    )]
    Undecided {
        command: id::CommandId,
        cause: CallError,
    },
    #[error("error: write answer: {0}")]
    Write(#[from] io::Error),
    #[error("error: {0}")]
    Key(String),
    #[error("error: the record is not whole: {0}")]
    Record(String),
    #[error("error: version {0} is not in force everywhere yet")]
    Timeout(id::Version),
    #[error("error: router answers another question than was asked")]
    Answer,
}

impl Failure {
    fn code(&self) -> Code {
        match self {
            Self::Call(CallError::Refused(refusal)) => refusal.into(),
            Self::Call(CallError::Unreachable(_) | CallError::Lost(_)) => Code::Unreachable,
            Self::Undecided { .. } => Code::Undecided,
            Self::Write(_) | Self::Record(_) | Self::Answer => Code::Failed,
            Self::Key(_) => Code::Usage,
            Self::Timeout(_) => Code::Timeout,
        }
    }
}

/// An accepted order, for programs.
#[derive(Serialize)]
struct Accepted {
    command: id::CommandId,
    version: id::Version,
}

/// Runs commands for one operator.
pub struct Session {
    client: Client,
    options: Options,
}

impl Session {
    /// Makes a session.
    pub fn new(client: Client, options: Options) -> Self {
        Self { client, options }
    }

    /// Runs a line; an empty line does nothing.
    pub async fn run(&mut self, line: &str, screen: &mut Screen<'_>) -> Code {
        let parsed = match parse::parse(line) {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return Code::Done,
            Err(problem) => {
                write!(screen.err, "{}", problem.show(line)).ok();
                return Code::Usage;
            }
        };
        match self.carry_out(parsed, screen).await {
            Ok(()) => Code::Done,
            Err(failure) => {
                writeln!(screen.err, "{failure}").ok();
                failure.code()
            }
        }
    }

    /// Runs the lines of a text and stops at the first that fails.
    pub async fn run_all(&mut self, text: &str, screen: &mut Screen<'_>) -> Code {
        for (index, line) in text.lines().enumerate() {
            let code = self.run(line, screen).await;
            if code != Code::Done {
                writeln!(screen.err, "stopped at line {}", index + 1).ok();
                return code;
            }
        }
        Code::Done
    }

    async fn carry_out(&mut self, line: Line, screen: &mut Screen<'_>) -> Result<(), Failure> {
        let why = line.why.unwrap_or_else(|| self.options.why.clone());
        match line.command {
            Command::Ask(Query::Lagging) if self.options.wait => self.none_lags(screen).await,
            Command::Ask(query) => {
                let answer = self.ask(query).await?;
                self.show(screen, &answer, render::text)
            }
            Command::Give(order) => self.order(order, why, screen).await,
            Command::Key(order) => {
                let hash = read_key(&order)?;
                let order = command::key(order.add, &order.holder, hash);
                self.order(order, why, screen).await
            }
            Command::Export => {
                let record = self.record().await?;
                Ok(write!(screen.out, "{}", render::json(&record))?)
            }
            Command::Help(verb) => Ok(write!(screen.out, "{}", render::help(verb.as_deref()))?),
        }
    }

    fn show<T: Serialize>(
        &self,
        screen: &mut Screen<'_>,
        value: &T,
        text: impl Fn(&T) -> String,
    ) -> Result<(), Failure> {
        let shown = match self.options.output {
            Output::Table => text(value),
            Output::Json => render::json(value),
        };
        Ok(write!(screen.out, "{shown}")?)
    }

    async fn ask(&mut self, query: Query) -> Result<Answer, Failure> {
        let call = async |client: &lang::api::OperatorClient, context, key| {
            client.ask(context, key, query.clone()).await
        };
        Ok(self.client.call(call).await?)
    }

    async fn order(
        &mut self,
        order: Order,
        why: String,
        screen: &mut Screen<'_>,
    ) -> Result<(), Failure> {
        if self.options.dry_run {
            let preview = self.preview(order).await?;
            return self.show(screen, &preview, render::preview);
        }
        let command = self
            .options
            .command
            .unwrap_or_else(|| id::CommandId(id::random_bits()));
        let given = Given {
            id: command,
            why,
            base: self.options.base,
            order,
        };
        let call = async |client: &lang::api::OperatorClient, context, key| {
            client.give(context, key, given.clone()).await
        };
        let version = match self.client.call(call).await {
            Ok(accepted) => accepted.version,
            Err(cause @ CallError::Lost(_)) => return Err(Failure::Undecided { command, cause }),
            Err(cause) => return Err(cause.into()),
        };
        let accepted = Accepted { command, version };
        self.show(screen, &accepted, |_| render::accepted(version))?;
        match self.options.wait {
            true => self.in_force(version, screen).await,
            false => Ok(()),
        }
    }

    async fn preview(&mut self, order: Order) -> Result<Preview, Failure> {
        let call = async |client: &lang::api::OperatorClient, context, key| {
            client.preview(context, key, order.clone()).await
        };
        Ok(self.client.call(call).await?)
    }

    /// Waits until a version is in force everywhere; without one, until no member
    /// lags behind the router. Shows meanwhile which members lag. Returns the last
    /// answer, and whether the wait ended before its time.
    ///
    /// Each router learns the versions of members on its own, so one may still
    /// show lagging members after another has shown none.
    async fn wait(
        &mut self,
        version: Option<id::Version>,
        screen: &mut Screen<'_>,
    ) -> Result<(Versions, bool), Failure> {
        let end = Instant::now() + self.options.wait_time.duration();
        let mut shown = String::new();
        loop {
            let Answer::Versions(versions) = self.ask(Query::Versions).await? else {
                return Err(Failure::Answer);
            };
            let wanted = version.unwrap_or(versions.version);
            if versions.reached(wanted) {
                return Ok((versions, true));
            }
            let progress = lagging(&versions, wanted);
            if progress != shown {
                writeln!(screen.err, "{progress}")?;
                shown = progress;
            }
            if Instant::now() >= end {
                return Ok((versions, false));
            }
            time::sleep(LOOK).await;
        }
    }

    async fn in_force(
        &mut self,
        version: id::Version,
        screen: &mut Screen<'_>,
    ) -> Result<(), Failure> {
        let (versions, reached) = self.wait(Some(version), screen).await?;
        if !reached {
            return Err(Failure::Timeout(version));
        }
        let members = versions.members;
        Ok(writeln!(screen.out, "in force at all {members} members")?)
    }

    async fn none_lags(&mut self, screen: &mut Screen<'_>) -> Result<(), Failure> {
        let (mut versions, reached) = self.wait(None, screen).await?;
        let version = versions.version;
        versions.list.retain(|member| member.version < version);
        self.show(screen, &Answer::Lagging(versions), render::text)?;
        match reached {
            true => Ok(()),
            false => Err(Failure::Timeout(version)),
        }
    }

    /// Reads the whole record and checks that no change is missing or altered.
    async fn record(&mut self) -> Result<Record, Failure> {
        let mut changes: Vec<ChangeRow> = Vec::new();
        let mut configuration = Configuration::default();
        let mut point = Point::default();
        loop {
            let Answer::Record(page) = self.ask(Query::Record(point.version)).await? else {
                return Err(Failure::Answer);
            };
            let Page {
                changes: rows,
                newest,
            } = page;
            let is_last = rows.is_empty();
            for row in rows {
                if !row.follows(point) {
                    let reason = format!("version {} does not follow {point}", row.version);
                    return Err(Failure::Record(reason));
                }
                configuration = configuration.apply(&row.command.change).map_err(|cause| {
                    Failure::Record(format!("version {}: {cause}", row.version))
                })?;
                point = row.point();
                changes.push(row);
            }
            if point.version >= newest {
                break;
            }
            if is_last {
                let reason = format!(
                    "it ends at version {}, the newest is {newest}",
                    point.version
                );
                return Err(Failure::Record(reason));
            }
        }
        Ok(Record {
            version: point.version,
            changes,
            configuration,
        })
    }

    /// Returns the names that exist, for completion; none when no router
    /// answers.
    pub async fn names(&mut self) -> Names {
        let mut names = Names::default();
        if let Ok(Answer::Teams(all)) = self.ask(Query::Teams).await {
            names.teams = all.iter().map(|team| team.id.to_string()).collect();
        }
        if let Ok(Answer::Services(all)) = self.ask(Query::Services).await {
            names.services = all.iter().map(|service| service.id.to_string()).collect();
        }
        if let Ok(Answer::Rules(all)) = self.ask(Query::Rules).await {
            names.rules = all.iter().map(|rule| rule.id.to_string()).collect();
        }
        if let Ok(Answer::Operators(all)) = self.ask(Query::Operators).await {
            names.operators = all.iter().map(|operator| operator.id.to_string()).collect();
        }
        if let Ok(Answer::Targets(all)) = self.ask(Query::Targets).await {
            names.targets = all.iter().map(|target| target.target.to_string()).collect();
        }
        if let Ok(Answer::Plans(all)) = self.ask(Query::Plans).await {
            names.plans = all.iter().map(|plan| plan.id.to_string()).collect();
        }
        names
    }
}

fn lagging(versions: &Versions, version: id::Version) -> String {
    let lagging: Vec<&str> = versions
        .list
        .iter()
        .filter(|member| member.version < version)
        .map(|member| member.process.as_str())
        .collect();
    let named = lagging[..lagging.len().min(NAMED)].join(", ");
    let more = match lagging.len().saturating_sub(NAMED) {
        0 => String::new(),
        more => format!(" and {more} more"),
    };
    format!(
        "waiting for version {version}: lowest {}, {} of {} members lag: {named}{more}",
        versions.lowest,
        lagging.len(),
        versions.members
    )
}

fn read_key(order: &KeyOrder) -> Result<KeyHash, Failure> {
    let read = match &order.source {
        Source::File(file) => {
            std::fs::read_to_string(file).map_err(|cause| (file, cause.to_string()))
        }
        Source::Variable(name) => std::env::var(name).map_err(|cause| (name, cause.to_string())),
    };
    let text = read.map_err(|(place, cause)| Failure::Key(format!("read key {place}: {cause}")))?;
    match text.trim() {
        "" => Err(Failure::Key("the key is empty".to_owned())),
        key => Ok(KeyHash::of(key)),
    }
}
