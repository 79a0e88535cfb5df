//! The choice of a target for one request.

use std::{cmp::Ordering, fmt, sync::Arc};

use base::{hash, id};

use crate::{
    policy::Policy,
    rank::Ranking,
    view::{Standing, Target, View},
};

/// What the choice needs to know about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Identifies the chat.
    pub chat: id::ChatHash,
    /// Earlier answers of the model in the prompt; 0 for a new chat.
    pub turns: u32,
    /// Estimated length of the prompt in tokens.
    pub prefix: u32,
    /// The router's data centre.
    pub centre: id::DataCentre,
    /// The target that a valid hint of the caller names.
    pub hint: Option<id::TargetId>,
    /// Attempts that were refused, the latest last.
    pub tried: Vec<Tried>,
}

impl Query {
    /// Returns whether an engine may hold the beginning of the prompt.
    pub fn is_returning(&self) -> bool {
        self.turns > 0
    }
}

/// An attempt that was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tried {
    /// The target that refused.
    pub target: id::TargetId,
    /// Agents that the refusal named as less loaded.
    pub peers: Vec<id::ProcessId>,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// First in the chat's ranking.
    Home,
    /// The caller's hint names it.
    Hint,
    /// First that is not warming up; the chat is older than the warming target.
    Previous,
    /// Warming up, and the KV cache is moved there.
    Import,
    /// First in the ranking below its cap.
    Spill,
    /// The less loaded of two after a refusal.
    Choice,
    /// Every target is believed to be at its cap.
    Saturated,
    /// Nothing better than a target that has not reported.
    Unproven,
    /// Least loaded.
    Least,
    /// Random.
    Random,
    /// No target can be tried.
    None,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Home => "home",
            Self::Hint => "hint",
            Self::Previous => "previous",
            Self::Import => "import",
            Self::Spill => "spill",
            Self::Choice => "choice",
            Self::Saturated => "saturated",
            Self::Unproven => "unproven",
            Self::Least => "least",
            Self::Random => "random",
            Self::None => "none",
        })
    }
}

/// Why a better ranked target was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It refused this request.
    Tried,
    /// It is in the instance list only.
    Listed,
    /// It is warming up and the chat's cache is elsewhere.
    Warming,
    /// It is leaving.
    Leaving,
    /// It does not answer.
    Down,
    /// It is believed to be at its cap.
    Full,
    /// It is more loaded than the other of two.
    Loaded,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Tried => "tried",
            Self::Listed => "listed",
            Self::Warming => "warming",
            Self::Leaving => "leaving",
            Self::Down => "down",
            Self::Full => "full",
            Self::Loaded => "loaded",
        })
    }
}

/// A target that was passed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// The target.
    pub target: id::TargetId,
    /// Why it was passed over.
    pub cause: Cause,
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target to try, if any.
    pub target: Option<Arc<Target>>,
    /// Why it was chosen.
    pub reason: Reason,
    /// A target whose engine may hold the chat's KV cache when the chosen one
    /// does not.
    pub previous: Option<Arc<Target>>,
    /// Targets that were passed over, in the order in which they were seen.
    pub rejected: Vec<Rejected>,
}

impl Choice {
    fn none(rejected: Vec<Rejected>) -> Self {
        Self {
            target: None,
            reason: Reason::None,
            previous: None,
            rejected,
        }
    }
}

/// Writes the choice as the key=value pairs of a log line.
impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.target {
            Some(target) => write!(f, "target={}", target.id)?,
            None => f.write_str("target=none")?,
        }
        write!(f, " reason={}", self.reason)?;
        if let Some(previous) = &self.previous {
            write!(f, " previous={}", previous.id)?;
        }
        for (place, rejected) in self.rejected.iter().enumerate() {
            let lead = if place == 0 { " rejected=" } else { "," };
            write!(f, "{lead}{}:{}", rejected.target, rejected.cause)?;
        }
        Ok(())
    }
}

/// Chooses a target.
///
/// `seed` breaks ties and drives the random policy; pass a different one for
/// each request.
pub fn choose(view: &View, query: &Query, seed: u64) -> Choice {
    match view.tuning().policy {
        Policy::Random => random(view, query, seed),
        Policy::Least => least(view, query, seed),
        Policy::Hash => ranked(view, query, false),
        Policy::Bounded => ranked(view, query, true),
        Policy::Full => Search::new(view, query).run(),
    }
}

/// Returns why a target must not be tried now, whatever its load.
fn closed(query: &Query, target: &Target) -> Option<Cause> {
    if query.tried.iter().any(|tried| tried.target == target.id) {
        return Some(Cause::Tried);
    }
    match target.standing {
        Standing::Listed => Some(Cause::Listed),
        Standing::Leaving => Some(Cause::Leaving),
        Standing::Down => Some(Cause::Down),
        Standing::Warming { .. } | Standing::Up => None,
    }
}

fn reject(rejected: &mut Vec<Rejected>, target: &Target, cause: Cause) {
    rejected.push(Rejected {
        target: target.id.clone(),
        cause,
    });
}

/// Returns the targets that may be tried, in the order of their ids.
fn open<'a>(view: &'a View, query: &Query, rejected: &mut Vec<Rejected>) -> Vec<&'a Arc<Target>> {
    let mut found = Vec::with_capacity(view.targets().len());
    for target in view.targets() {
        match closed(query, target) {
            Some(cause) => reject(rejected, target, cause),
            None if target.weight > 0 => found.push(target),
            None => {}
        }
    }
    found
}

fn random(view: &View, query: &Query, seed: u64) -> Choice {
    let mut rejected = Vec::new();
    let open = open(view, query, &mut rejected);
    let total: u64 = open.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return Choice::none(rejected);
    }
    let mut point = hash::mix(seed, query.chat.0) % total;
    let chosen = open.into_iter().find(|target| {
        let weight = u64::from(target.weight);
        let found = point < weight;
        point = point.saturating_sub(weight);
        found
    });
    Choice {
        target: chosen.cloned(),
        reason: Reason::Random,
        previous: None,
        rejected,
    }
}

fn least(view: &View, query: &Query, seed: u64) -> Choice {
    let mut rejected = Vec::new();
    let open = open(view, query, &mut rejected);
    let key = |target: &Target| hash::mix(seed, hash::bytes(target.id.as_str().as_bytes()));
    let chosen = open.into_iter().min_by(|a, b| {
        let left = u64::from(a.load) * u64::from(b.weight);
        let right = u64::from(b.load) * u64::from(a.weight);
        left.cmp(&right).then_with(|| key(a).cmp(&key(b)))
    });
    match chosen {
        Some(target) => Choice {
            target: Some(target.clone()),
            reason: Reason::Least,
            previous: None,
            rejected,
        },
        None => Choice::none(rejected),
    }
}

fn ranked(view: &View, query: &Query, bounded: bool) -> Choice {
    let mut rejected = Vec::new();
    let mut first_full = None;
    for index in Ranking::new(view, query.chat, |_| 1.0) {
        let target = &view.targets()[index];
        if let Some(cause) = closed(query, target) {
            reject(&mut rejected, target, cause);
            continue;
        }
        if bounded && target.is_full() {
            first_full.get_or_insert(target);
            reject(&mut rejected, target, Cause::Full);
            continue;
        }
        let reason = if rejected.is_empty() {
            Reason::Home
        } else {
            Reason::Spill
        };
        return Choice {
            target: Some(target.clone()),
            reason,
            previous: None,
            rejected,
        };
    }
    match first_full {
        Some(target) => Choice {
            target: Some(target.clone()),
            reason: Reason::Saturated,
            previous: None,
            rejected,
        },
        None => Choice::none(rejected),
    }
}

/// Compares the loads of two targets relative to their caps.
fn relative(a: &Target, b: &Target) -> Ordering {
    let left = u64::from(a.load) * u64::from(b.cap.max(1));
    let right = u64::from(b.load) * u64::from(a.cap.max(1));
    left.cmp(&right)
}

/// The state of one choice under [`Policy::Full`].
struct Search<'a> {
    view: &'a View,
    query: &'a Query,
    rejected: Vec<Rejected>,
    /// The best ranked target that may hold the cache and was passed over.
    holder: Option<&'a Arc<Target>>,
    /// Targets at their cap, best ranked first.
    full: Vec<&'a Arc<Target>>,
    /// The best ranked warming target that was passed over for a returning chat.
    warming: Option<&'a Arc<Target>>,
    /// The best ranked target that has not reported.
    listed: Option<&'a Arc<Target>>,
}

impl<'a> Search<'a> {
    fn new(view: &'a View, query: &'a Query) -> Self {
        Self {
            view,
            query,
            rejected: Vec::new(),
            holder: None,
            full: Vec::new(),
            warming: None,
            listed: None,
        }
    }

    fn run(mut self) -> Choice {
        if !self.query.tried.is_empty() {
            return self.retry();
        }
        if let Some(target) = self.hinted() {
            return self.chosen(target, Reason::Hint);
        }
        let mut ranking = self.ranking();
        while let Some(target) = self.next(&mut ranking) {
            if self.is_foreign(target) {
                if let Some(choice) = self.import(target, &mut ranking) {
                    return choice;
                }
                continue;
            }
            if target.is_full() {
                self.pass_full(target);
                continue;
            }
            let reason = self.ranked_reason();
            return self.chosen(target, reason);
        }
        self.last_resort()
    }

    fn ranking(&self) -> Ranking {
        let near = self.view.tuning().near;
        let prefers = near != 1.0 && !self.query.is_returning();
        Ranking::new(self.view, self.query.chat, |target| {
            if prefers && target.centre == self.query.centre {
                near
            } else {
                1.0
            }
        })
    }

    /// Returns the next target of the ranking that may be tried.
    fn next(&mut self, ranking: &mut Ranking) -> Option<&'a Arc<Target>> {
        for index in ranking {
            let target = &self.view.targets()[index];
            let Some(cause) = closed(self.query, target) else {
                return Some(target);
            };
            self.pass(target, cause);
        }
        None
    }

    fn pass(&mut self, target: &'a Arc<Target>, cause: Cause) {
        reject(&mut self.rejected, target, cause);
        match cause {
            Cause::Listed => {
                self.listed.get_or_insert(target);
            }
            // A leaving engine still exports its cache; one that refused may too.
            Cause::Leaving | Cause::Tried | Cause::Full => {
                self.holder.get_or_insert(target);
            }
            Cause::Warming => {
                self.warming.get_or_insert(target);
            }
            Cause::Down | Cause::Loaded => {}
        }
    }

    fn pass_full(&mut self, target: &'a Arc<Target>) {
        self.pass(target, Cause::Full);
        self.full.push(target);
    }

    fn hinted(&mut self) -> Option<&'a Arc<Target>> {
        let target = self.view.of_target(self.query.hint.as_ref()?)?;
        if target.is_open() && !target.is_full() {
            return Some(target);
        }
        // The hint is certain knowledge of where the cache was.
        if !matches!(target.standing, Standing::Down | Standing::Listed) {
            self.holder = Some(target);
        }
        None
    }

    /// Returns whether the chat is older than a warming target, so that its
    /// cache is elsewhere.
    ///
    /// A chat with `k` earlier turns began about `k` pauses ago. Without this
    /// estimate, chats that began at the warming target would leave it at
    /// their second turn.
    fn is_foreign(&self, target: &Target) -> bool {
        let Standing::Warming { age } = target.standing else {
            return false;
        };
        let pause = self.view.tuning().pause.as_micros();
        u64::from(self.query.turns).saturating_mul(pause) > age.as_micros()
    }

    /// Handles a warming target that ranks before the chat's previous home.
    fn import(&mut self, target: &'a Arc<Target>, ranking: &mut Ranking) -> Option<Choice> {
        let threshold = self.view.tuning().import;
        let pays = threshold.is_some_and(|tokens| self.query.prefix >= tokens);
        if !pays || target.is_full() {
            self.pass(target, Cause::Warming);
            return None;
        }
        let home = self.holder.or_else(|| {
            ranking
                .map(|index| &self.view.targets()[index])
                .find(|next| matches!(next.standing, Standing::Up | Standing::Leaving))
        });
        self.holder = home;
        Some(
            std::mem::replace(self, Self::new(self.view, self.query))
                .chosen(target, Reason::Import),
        )
    }

    fn ranked_reason(&self) -> Reason {
        match self.rejected.last() {
            None => Reason::Home,
            Some(last) if last.cause == Cause::Warming => Reason::Previous,
            Some(_) => Reason::Spill,
        }
    }

    /// Takes the less loaded of the first two targets of the ranking, those
    /// named by the refusals first: the agents know the loads better.
    fn retry(mut self) -> Choice {
        let named: Vec<_> = self
            .query
            .tried
            .iter()
            .flat_map(|tried| &tried.peers)
            .collect();
        let mut ranking = self.ranking();
        let mut pair: Vec<&Arc<Target>> = Vec::with_capacity(2);
        let mut others: Vec<&Arc<Target>> = Vec::with_capacity(2);
        while let Some(target) = self.next(&mut ranking) {
            if named.contains(&&target.process) {
                pair.push(target);
            } else if target.is_full() {
                self.pass_full(target);
            } else if self.is_foreign(target) {
                self.pass(target, Cause::Warming);
            } else if others.len() < 2 {
                others.push(target);
            }
            if pair.len() == 2 || (named.is_empty() && others.len() == 2) {
                break;
            }
        }
        if pair.is_empty() {
            pair = others;
        }
        match pair[..] {
            [] => self.last_resort(),
            [only] => self.chosen(only, Reason::Choice),
            [first, second, ..] => {
                let (best, worse) = self.better(first, second);
                reject(&mut self.rejected, worse, Cause::Loaded);
                self.chosen(best, Reason::Choice)
            }
        }
    }

    /// Orders two targets by relative load, then by data centre, then by rank.
    fn better(
        &self,
        first: &'a Arc<Target>,
        second: &'a Arc<Target>,
    ) -> (&'a Arc<Target>, &'a Arc<Target>) {
        let far = |target: &Target| target.centre != self.query.centre;
        let order = relative(first, second).then_with(|| far(first).cmp(&far(second)));
        if order == Ordering::Greater {
            (second, first)
        } else {
            (first, second)
        }
    }

    /// Chooses among targets that were passed over: a warming one below its
    /// cap, the less loaded of the first two full ones, a listed one.
    ///
    /// Loads are stale, so a full target may have room; its agent decides.
    fn last_resort(self) -> Choice {
        if let Some(target) = self.warming.filter(|target| !target.is_full()) {
            return self.chosen(target, Reason::Spill);
        }
        let full = match self.full[..] {
            [] => self.warming,
            [only] => Some(only),
            [first, ..] if self.query.tried.is_empty() => Some(first),
            [first, second, ..] => Some(self.better(first, second).0),
        };
        if let Some(target) = full {
            return self.chosen(target, Reason::Saturated);
        }
        match self.listed {
            Some(target) => self.chosen(target, Reason::Unproven),
            None => Choice::none(self.rejected),
        }
    }

    fn chosen(self, target: &Arc<Target>, reason: Reason) -> Choice {
        let previous = self
            .holder
            .filter(|holder| self.query.is_returning() && holder.id != target.id)
            .cloned();
        Choice {
            target: Some(target.clone()),
            reason,
            previous,
            rejected: self.rejected,
        }
    }
}
