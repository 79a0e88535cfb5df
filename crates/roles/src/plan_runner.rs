//! The task of each process that reads the rows of plans and carries them on:
//! a router advances plans, an agent takes the steps of its own target.
//!
//! The decisions are those of crate `plan`. All writes are conditional on the
//! rows as they were read, so that any number of processes may act at once; a
//! conflict or a lost reply is followed by another read.
//!
//! Reads: while no plan concerns it, a process reads every 10 s. A router reads
//! the row of fencing tokens and the plans; an agent reads the former and the
//! plans only when it has changed, because a step for the agent comes with a new
//! token. For 360 routers and 750 agents these are 72 + 75 reads a second, of
//! about 2,000. A router that is first or second in the order of a plan under
//! way, and an agent of its present wave, read every second.

use std::{collections::BTreeMap, sync::Arc};

use base::{fault::Fault, hash, id, span, time};
use conf::row as rows;
use fleet::member;
use plan::{
    order::Decision,
    plan::{Advance, Condition, Plan, Stage, State},
    rollback::RollbackDetector,
    row::{self, FenceRow, Read},
    weights::{Slots, StartLimiter},
};
use tokio::sync::mpsc;

use crate::{
    link::Links,
    metrics::Metrics,
    node::Signal,
    plan_orders::Desk,
    plans::{self, Rows, Sight, Stored},
    platform::Platform,
};

/// Mean time between two reads while no plan concerns this process.
const IDLE_INTERVAL: span::Span = span::Span::from_secs(10);

/// Longest time in which an agent does not read the plans although the row of
/// fencing tokens is unchanged: a target that was taken for gone is dropped
/// from its plan without a new token.
const SCAN_INTERVAL: span::Span = span::Span::from_secs(60);

/// Mean time between two reads while a plan concerns this process.
const ACTIVE_INTERVAL: span::Span = span::Span::from_secs(1);

/// Mean time before a row is read again that this process has just changed, or
/// that another process changed first.
const AGAIN_INTERVAL: span::Span = span::Span::from_millis(50);

/// Time that each router leaves to the one before it in the order of a plan.
const TURN: span::Span = span::Span::from_secs(2);

/// Longest time that a router leaves to those before it.
const LONGEST_TURN: span::Span = span::Span::from_secs(30);

/// Time for which a target must be unknown here before it counts as gone. A
/// router that has just started knows few members.
const GONE_AFTER: span::Span = span::Span::from_secs(60);

/// Time for which a new agent takes no work because it has not read the rows:
/// a plan may keep its target out. After that it serves, because the table may
/// be down for long.
const START_WAIT: span::Span = span::Span::from_secs(10);

/// What a runner is made of.
pub struct Parts {
    /// The process.
    pub process: id::ProcessId,
    /// Its clock.
    pub clock: time::Clock,
    /// The platform's services.
    pub platform: Platform,
    /// Reaches the control thread.
    pub signals: mpsc::UnboundedSender<Signal>,
    /// Connections to other processes.
    pub links: Arc<Links>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// The target's orders, when the process is an agent.
    pub desk: Option<Desk>,
}

/// Starts the task on the current runtime, whose end also ends it.
pub fn start(parts: Parts) {
    let runner = Runner {
        seed: hash::mix(base::id::random_bits() as u64, 0),
        rollback: RollbackDetector::default(),
        pace: StartLimiter::default(),
        absent: BTreeMap::new(),
        work: BTreeMap::new(),
        read: None,
        idle: false,
        urgent: false,
        parts,
    };
    tokio::spawn(runner.run());
}

/// When to look again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    /// A row has changed.
    Again,
    /// A plan under way concerns this process.
    Active,
    /// None does.
    Idle,
}

impl Next {
    fn interval(self) -> span::Span {
        match self {
            Self::Again => AGAIN_INTERVAL,
            Self::Active => ACTIVE_INTERVAL,
            Self::Idle => IDLE_INTERVAL,
        }
    }
}

struct Runner {
    parts: Parts,
    seed: u64,
    rollback: RollbackDetector,
    pace: StartLimiter,
    /// Since when targets of plans are unknown here.
    absent: BTreeMap<id::TargetId, time::Mono>,
    /// Since when this router sees that a version of a plan can be advanced.
    work: BTreeMap<id::PlanId, (u64, time::Mono)>,
    /// Row version of the fencing tokens at the last read of the plans, and when
    /// that was.
    read: Option<(Option<u64>, time::Mono)>,
    /// Whether a plan concerned this process at that time.
    idle: bool,
    /// Whether this process has just changed a plan.
    urgent: bool,
}

impl Runner {
    async fn run(mut self) {
        loop {
            let next = match self.pass().await {
                Ok(next) => next,
                Err(fault) => {
                    tracing::info!(event = "plans_unread", cause = %fault);
                    self.unread();
                    Next::Active
                }
            };
            let wait = self.jitter(next.interval()).duration();
            let outcome = async {
                match &mut self.parts.desk {
                    Some(desk) => desk.finished().await,
                    None => std::future::pending().await,
                }
            };
            self.urgent = tokio::select! {
                () = tokio::time::sleep(wait) => next == Next::Again && self.urgent,
                () = self.parts.platform.plans.notified() => true,
                () = outcome => true,
            };
        }
    }

    /// Lets an agent serve that cannot read the rows.
    fn unread(&self) {
        let Some(desk) = &self.parts.desk else {
            return;
        };
        if self.read.is_none() && self.now().since(time::Mono(0)) > START_WAIT {
            desk.hold(false);
        }
    }

    fn now(&self) -> time::Mono {
        self.parts.clock.now()
    }

    /// Returns the interval with a jitter of a quarter either way.
    fn jitter(&mut self, interval: span::Span) -> span::Span {
        self.seed = hash::mix(self.seed, interval.as_micros());
        let quarter = interval.as_micros() / 4;
        let share = self.seed % (2 * quarter).max(1);
        span::Span::from_micros(interval.as_micros() - quarter + share)
    }

    async fn pass(&mut self) -> Result<Next, Fault> {
        if self.unchanged().await? {
            return Ok(Next::Idle);
        }
        let begun = self.now();
        let mut rows = Rows::read(&self.parts.platform).await?;
        if self.restore(&mut rows).await {
            return Ok(Next::Again);
        }
        let next = match self.parts.desk.is_some() {
            true => self.attend(&rows).await,
            false => self.advance(&rows).await?,
        };
        self.read = Some((rows.fence.version, begun));
        self.idle = next == Next::Idle;
        Ok(next)
    }

    /// Tells whether an agent need not read the plans now.
    async fn unchanged(&self) -> Result<bool, Fault> {
        let Some((row, at)) = self.read else {
            return Ok(false);
        };
        let recent = self.now().since(at) < SCAN_INTERVAL;
        if self.parts.desk.is_none() || !self.idle || self.urgent || !recent {
            return Ok(false);
        }
        let fence: Read<FenceRow> = plans::read(&self.parts.platform, row::FENCE_KEY).await?;
        Ok(fence.version == row)
    }

    /// Writes rows back that went back with a table that was restored from a
    /// backup, and leaves out those that are not the newest. Returns whether the
    /// row of fencing tokens went back; no order is given before it is raised.
    async fn restore(&mut self, rows: &mut Rows) -> bool {
        let fence = self.rollback.check_fence(&rows.fence);
        let stale = fence.is_some();
        let mut writes: Vec<rows::Transaction> = fence.into_iter().collect();
        rows.plans.retain(|_, stored| {
            let older = self.rollback.check_plan(stored.row, &stored.plan);
            let newest = older.is_none();
            writes.extend(older);
            newest
        });
        writes.extend(self.rollback.restore_missing(&rows.listed));
        for write in writes {
            let key = write.puts.first().map_or("", |put| put.key.as_str());
            tracing::warn!(event = "plan_restored", key);
            self.parts.platform.commit(&write).await;
        }
        stale
    }

    /// Commits a change of a row; returns whether it took effect.
    async fn commit(&self, plan: &Plan, transaction: &rows::Transaction) -> bool {
        match self.parts.platform.commit(transaction).await {
            rows::Reply::Committed(_) => {
                tracing::info!(event = "plan_changed", plan = %plan.id, version = plan.version,
                    state = %plan.state, reason = plan.reason);
                self.parts.metrics.count("plan.changed");
                true
            }
            rows::Reply::Failed { .. } => {
                self.parts.metrics.count("plan.conflict");
                false
            }
            rows::Reply::Lost => {
                self.parts.metrics.count("plan.lost_reply");
                false
            }
        }
    }

    /// Does what the rows ask of this agent.
    async fn attend(&mut self, rows: &Rows) -> Next {
        let Some(desk) = &mut self.parts.desk else {
            return Next::Idle;
        };
        let target = desk.target().clone();
        let out = rows
            .plans
            .values()
            .find(|stored| stored.plan.excludes(&target));
        desk.hold(out.is_some());
        let last = rows.fence.value.last;
        for stored in rows.plans.values() {
            match desk.duty(&stored.plan, last) {
                Decision::Nothing => {}
                Decision::Execute(order) => {
                    desk.carry(order);
                    return Next::Active;
                }
                Decision::Write { plan, fence } => {
                    let write = row::update(stored.row, &plan, fence, &rows.fence);
                    self.commit(&plan, &write).await;
                    return Next::Again;
                }
            }
        }
        let concerns = |stored: &Stored| concerns(&stored.plan, &target);
        match rows.plans.values().any(concerns) {
            true => Next::Active,
            false => Next::Idle,
        }
    }

    /// Advances the plans that can be advanced.
    async fn advance(&mut self, rows: &Rows) -> Result<Next, Fault> {
        let active: Vec<&Stored> = rows
            .plans
            .values()
            .filter(|stored| !stored.plan.has_ended() || stored.plan.has_unknown_loads())
            .collect();
        self.work.retain(|id, _| rows.plans.contains_key(id));
        if active.is_empty() {
            return Ok(Next::Idle);
        }
        let Ok(sight) = Sight::ask(&self.parts.signals).await else {
            return Ok(Next::Idle);
        };
        let slots: Read<Slots> = plans::read(&self.parts.platform, row::SLOTS_KEY).await?;
        let mut next = Next::Idle;
        for stored in active {
            next = next.min(self.advance_one(rows, stored, &sight, &slots).await);
            if next == Next::Again {
                return Ok(next);
            }
        }
        Ok(next)
    }

    async fn advance_one(
        &mut self,
        rows: &Rows,
        stored: &Stored,
        sight: &Sight,
        slots: &Read<Slots>,
    ) -> Next {
        let (now, plan) = (self.now(), &stored.plan);
        let pace = self
            .pace
            .may_start(now, &slots.value, sight.fleet.weight_rate);
        let mut observed = rows.observed(plan, sight, &slots.value, pace);
        self.keep_unseen(now, plan, sight, &mut observed.targets);
        let rank = rank(plan, &self.parts.process, &sight.routers);
        let Some(advance) = plan.advance(&observed) else {
            self.work.remove(&plan.id);
            let moves = plan.state != State::Paused && !plan.has_ended();
            return match rank < 2 && moves {
                true => Next::Active,
                false => Next::Idle,
            };
        };
        let seen = self.work.get(&plan.id);
        let since = seen.filter(|(version, _)| *version == plan.version);
        let since = since.map_or(now, |(_, since)| *since);
        self.work.insert(plan.id.clone(), (plan.version, since));
        if !self.urgent && now.since(since) < turn(rank) {
            return Next::Active;
        }
        let transaction = row::advance(stored.row, &advance, &rows.fence, slots);
        if self.commit(&advance.plan, &transaction).await {
            self.opened(plan, &advance, sight);
        }
        Next::Again
    }

    /// Keeps targets in the view that this process has not known for long
    /// enough to say that they have gone.
    fn keep_unseen(
        &mut self,
        now: time::Mono,
        plan: &Plan,
        sight: &Sight,
        known: &mut BTreeMap<id::TargetId, Condition>,
    ) {
        for target in plan.targets.keys() {
            if known.contains_key(target) {
                self.absent.remove(target);
                continue;
            }
            let since = *self.absent.entry(target.clone()).or_insert(now);
            let named = !sight.unnamed.contains(&plan.service);
            if !named || now.since(since) < GONE_AFTER {
                known.insert(target.clone(), Condition::Other);
            }
        }
    }

    /// Logs the steps that were opened and tells the agents, which would
    /// otherwise read the row at their next poll. The message may get lost.
    fn opened(&self, before: &Plan, advance: &Advance, sight: &Sight) {
        let plan = &advance.plan;
        for (target, progress) in &plan.targets {
            let (Stage::Open(fence), Some(step)) = (&progress.stage, progress.step()) else {
                continue;
            };
            if before.targets.get(target) == Some(progress) {
                continue;
            }
            tracing::info!(event = "plan_step", plan = %plan.id, %target, %step, fence = fence.0,
                stage = "open", reason = plan.reason);
            self.parts.metrics.count("plan.opened");
            let posts = sight.targets.get(&plan.service);
            if let Some(post) = posts.and_then(|posts| posts.get(target)) {
                let (links, address) = (self.parts.links.clone(), post.address);
                tokio::spawn(async move { links.call(address, "/plans", &()).await.map(drop) });
            }
        }
    }
}

/// Tells whether an agent has a step to expect soon.
fn concerns(plan: &Plan, target: &id::TargetId) -> bool {
    let Some(own) = plan.targets.get(target) else {
        return false;
    };
    let waves = plan.targets.values().filter(|p| !p.steps.is_empty());
    let present = waves.map(|progress| progress.wave).min();
    !plan.has_ended() && !own.steps.is_empty() && Some(own.wave) == present
}

/// Returns the place of a router in the order in which routers advance a plan.
fn rank(plan: &Plan, own: &id::ProcessId, routers: &[id::ProcessId]) -> usize {
    let seed = hash::bytes(plan.id.as_str().as_bytes());
    let weight = |process: &id::ProcessId| hash::mix(seed, member::process_key(process));
    let mine = weight(own);
    routers
        .iter()
        .filter(|router| *router != own && weight(router) < mine)
        .count()
}

/// Returns how long a router leaves work to those before it.
fn turn(rank: usize) -> span::Span {
    let micros = TURN.as_micros().saturating_mul(rank as u64);
    span::Span::from_micros(micros.min(LONGEST_TURN.as_micros()))
}
