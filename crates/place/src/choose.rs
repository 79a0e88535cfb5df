//! The choice of a target for one request.

use std::{cmp::Ordering, fmt, sync::Arc};

use base::{hash, id};

use crate::{
    policy::Policy,
    rank::{LocalPreference, Ranking},
    view::{Standing, Target, View},
};

/// The properties of a request that the choice uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Identifies the chat.
    pub chat: id::ChatHash,
    /// Number of earlier answers of the model in the prompt; 0 for a new chat.
    pub turns: u32,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The router's data centre.
    pub centre: id::DataCentre,
    /// The target named by a valid hint of the caller.
    pub hint: Option<id::TargetId>,
    /// Refused attempts, the latest last.
    pub refusals: Vec<Refusal>,
}

impl Query {
    /// Returns whether an engine may hold the beginning of the prompt in its cache.
    pub fn is_returning(&self) -> bool {
        self.turns > 0
    }
}

/// An attempt that a target refused to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The target that refused.
    pub target: id::TargetId,
    /// Agents that the refusal listed as less loaded.
    pub peers: Vec<id::ProcessId>,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// First in the chat's ranking.
    Home,
    /// The caller's hint names it.
    Hint,
    /// First in the ranking that is not warming up. The chat is older than the
    /// warming targets before it, so that its cache is here.
    Previous,
    /// Warming up; the chat's KV cache is imported.
    Import,
    /// Warming up; the chat's previous home accepts no work.
    Joining,
    /// First in the ranking below its cap.
    Spill,
    /// The less loaded of two targets after a refusal.
    Choice,
    /// Every target appears to be at its cap.
    Saturated,
    /// Has not reported yet; there is no better target.
    Unproven,
    /// Least loaded.
    Least,
    /// Random.
    Random,
    /// There is no target to try.
    None,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Home => "home",
            Self::Hint => "hint",
            Self::Previous => "previous",
            Self::Import => "import",
            Self::Joining => "joining",
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

/// Why a target with a better rank was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It refused this request.
    Tried,
    /// It is in the instance list, but has not reported.
    Listed,
    /// It is warming up, and the chat's cache is at another target.
    Warming,
    /// It is leaving.
    Leaving,
    /// It does not answer.
    Down,
    /// It appears to be at its cap.
    Full,
    /// It is the more loaded of two targets.
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

/// A target that was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// The target.
    pub target: id::TargetId,
    /// Why it was rejected.
    pub cause: Cause,
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target to try, if any.
    pub target: Option<Arc<Target>>,
    /// Why it was chosen.
    pub reason: Reason,
    /// A target whose engine may hold the chat's KV cache, if the chosen one does
    /// not and importing the cache is cheaper than computing it.
    pub previous: Option<Arc<Target>>,
    /// The first rejected targets, in the order of their evaluation.
    pub rejected: Vec<Rejected>,
    /// Number of further rejected targets.
    pub omitted: u32,
}

/// Largest number of rejected targets that a choice lists. The list is logged for
/// each request, and listing all 33 targets of a full service doubled the time of a
/// choice.
const MAX_REJECTED: usize = 8;

/// The targets that were rejected so far.
#[derive(Default)]
struct Rejections {
    list: Vec<Rejected>,
    omitted: u32,
}

impl Rejections {
    fn add(&mut self, target: &Target, cause: Cause) {
        if self.list.len() == MAX_REJECTED {
            self.omitted += 1;
            return;
        }
        if self.list.is_empty() {
            self.list.reserve_exact(MAX_REJECTED);
        }
        self.list.push(Rejected {
            target: target.id.clone(),
            cause,
        });
    }

    fn chosen(self, target: &Arc<Target>, reason: Reason) -> Choice {
        Choice {
            target: Some(target.clone()),
            reason,
            previous: None,
            rejected: self.list,
            omitted: self.omitted,
        }
    }

    fn none(self) -> Choice {
        Choice {
            target: None,
            reason: Reason::None,
            previous: None,
            rejected: self.list,
            omitted: self.omitted,
        }
    }
}

/// Formats the choice as `key=value` pairs for a log line.
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
        for (index, rejected) in self.rejected.iter().enumerate() {
            let separator = if index == 0 { " rejected=" } else { "," };
            write!(f, "{separator}{}:{}", rejected.target, rejected.cause)?;
        }
        if self.omitted > 0 {
            write!(f, " omitted={}", self.omitted)?;
        }
        Ok(())
    }
}

/// Chooses a target.
///
/// `seed` breaks ties and is the source of randomness of [`Policy::Random`]; pass a
/// different one for each request.
pub fn choose(view: &View, query: &Query, seed: u64) -> Choice {
    match view.tuning().policy {
        Policy::Random => random(view, query, seed),
        Policy::Least => least_loaded(view, query, seed),
        Policy::Hash => ranked(view, query, false),
        Policy::Bounded => ranked(view, query, true),
        Policy::Full => Search::new(view, query).run(),
    }
}

/// Returns why a target must not be tried, regardless of its load.
fn exclusion(query: &Query, target: &Target) -> Option<Cause> {
    if query
        .refusals
        .iter()
        .any(|refusal| refusal.target == target.id)
    {
        return Some(Cause::Tried);
    }
    match target.standing {
        Standing::Listed => Some(Cause::Listed),
        Standing::Leaving => Some(Cause::Leaving),
        Standing::Down => Some(Cause::Down),
        Standing::Warming { .. } | Standing::Flapping { .. } | Standing::Up => None,
    }
}

/// Returns the targets that can be tried, in the order of their ids.
fn eligible<'a>(
    view: &'a View,
    query: &Query,
    rejections: &mut Rejections,
) -> Vec<&'a Arc<Target>> {
    let mut found = Vec::with_capacity(view.targets().len());
    for target in view.targets() {
        match exclusion(query, target) {
            Some(cause) => rejections.add(target, cause),
            None if target.weight > 0 => found.push(target),
            None => {}
        }
    }
    found
}

fn random(view: &View, query: &Query, seed: u64) -> Choice {
    let mut rejections = Rejections::default();
    let eligible = eligible(view, query, &mut rejections);
    let total: u64 = eligible.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return rejections.none();
    }
    let mut point = hash::mix(seed, query.chat.0) % total;
    let chosen = eligible.into_iter().find(|target| {
        let weight = u64::from(target.weight);
        let found = point < weight;
        point = point.saturating_sub(weight);
        found
    });
    match chosen {
        Some(target) => rejections.chosen(target, Reason::Random),
        None => rejections.none(),
    }
}

fn least_loaded(view: &View, query: &Query, seed: u64) -> Choice {
    let mut rejections = Rejections::default();
    let eligible = eligible(view, query, &mut rejections);
    let key = |target: &Target| hash::mix(seed, hash::bytes(target.id.as_str().as_bytes()));
    let chosen = eligible.into_iter().min_by(|a, b| {
        let left = u64::from(a.load) * u64::from(b.weight);
        let right = u64::from(b.load) * u64::from(a.weight);
        left.cmp(&right).then_with(|| key(a).cmp(&key(b)))
    });
    match chosen {
        Some(target) => rejections.chosen(target, Reason::Least),
        None => rejections.none(),
    }
}

fn ranked(view: &View, query: &Query, bounded: bool) -> Choice {
    let mut rejections = Rejections::default();
    let mut first_full = None;
    for index in Ranking::new(view, query.chat, None) {
        let target = &view.targets()[index];
        if let Some(cause) = exclusion(query, target) {
            rejections.add(target, cause);
            continue;
        }
        if bounded && target.is_full() {
            first_full.get_or_insert(target);
            rejections.add(target, Cause::Full);
            continue;
        }
        let reason = if rejections.list.is_empty() {
            Reason::Home
        } else {
            Reason::Spill
        };
        return rejections.chosen(target, reason);
    }
    match first_full {
        Some(target) => rejections.chosen(target, Reason::Saturated),
        None => rejections.none(),
    }
}

/// Compares the loads of two targets relative to their caps.
fn compare_load(a: &Target, b: &Target) -> Ordering {
    let left = u64::from(a.load) * u64::from(b.cap.max(1));
    let right = u64::from(b.load) * u64::from(a.cap.max(1));
    left.cmp(&right)
}

/// The state of one choice under [`Policy::Full`].
struct Search<'a> {
    view: &'a View,
    query: &'a Query,
    rejections: Rejections,
    /// Why the latest target was rejected.
    last_cause: Option<Cause>,
    /// Whether a target that is leaving or down was rejected. It was the chat's
    /// home, so that the chat has to move.
    home_unavailable: bool,
    /// The first rejected target of the ranking that may hold the cache.
    holder: Option<&'a Arc<Target>>,
    /// The first two targets of the ranking that are at their cap.
    full: [Option<&'a Arc<Target>>; 2],
    /// The first warming target of the ranking that was rejected because the chat is
    /// older.
    warming: Option<&'a Arc<Target>>,
    /// The first target of the ranking that has not reported.
    listed: Option<&'a Arc<Target>>,
}

impl<'a> Search<'a> {
    fn new(view: &'a View, query: &'a Query) -> Self {
        Self {
            view,
            query,
            rejections: Rejections::default(),
            last_cause: None,
            home_unavailable: false,
            holder: None,
            full: [None; 2],
            warming: None,
            listed: None,
        }
    }

    fn run(mut self) -> Choice {
        if !self.query.refusals.is_empty() {
            return self.retry();
        }
        if let Some(target) = self.hinted() {
            return self.chosen(target, Reason::Hint);
        }
        let mut ranking = self.ranking();
        while let Some(target) = self.next(&mut ranking) {
            if let Some(joining) = self.joining() {
                return self.chosen(joining, Reason::Joining);
            }
            if self.predates(target) {
                if self.may_import(target) {
                    return self.import(target, ranking);
                }
                self.skip(target, Cause::Warming);
                continue;
            }
            if target.is_full() {
                self.skip_full(target);
                continue;
            }
            let reason = self.ranked_reason();
            return self.chosen(target, reason);
        }
        self.fallback()
    }

    fn ranking(&self) -> Ranking {
        let factor = self.view.tuning().local_factor;
        let prefers_local = factor != 1.0 && !self.query.is_returning();
        let local = prefers_local.then_some(LocalPreference {
            centre: &self.query.centre,
            factor,
        });
        Ranking::new(self.view, self.query.chat, local)
    }

    /// Returns the next target of the ranking that can be tried.
    fn next(&mut self, ranking: &mut Ranking) -> Option<&'a Arc<Target>> {
        for index in ranking {
            let target = &self.view.targets()[index];
            let Some(cause) = exclusion(self.query, target) else {
                return Some(target);
            };
            self.skip(target, cause);
        }
        None
    }

    fn skip(&mut self, target: &'a Arc<Target>, cause: Cause) {
        self.rejections.add(target, cause);
        self.home_unavailable |= matches!(cause, Cause::Leaving | Cause::Down);
        self.last_cause = Some(cause);
        match cause {
            Cause::Listed => {
                self.listed.get_or_insert(target);
            }
            // An engine that is leaving or full can still export its cache.
            Cause::Leaving | Cause::Tried | Cause::Full if target.is_alive() => {
                self.holder.get_or_insert(target);
            }
            Cause::Warming => {
                self.warming.get_or_insert(target);
            }
            _ => {}
        }
    }

    fn skip_full(&mut self, target: &'a Arc<Target>) {
        self.skip(target, Cause::Full);
        if let Some(place) = self.full.iter_mut().find(|place| place.is_none()) {
            *place = Some(target);
        }
    }

    fn hinted(&mut self) -> Option<&'a Arc<Target>> {
        let target = self.view.by_target(self.query.hint.as_ref()?)?;
        if target.accepts_work() && !target.is_full() {
            return Some(target);
        }
        // The hint names the target that last held the cache.
        if target.is_alive() {
            self.holder = Some(target);
        }
        None
    }

    /// Returns whether the chat is older than a warming target, so that its cache
    /// is at another target.
    ///
    /// The age of a chat is estimated as its number of earlier turns times the
    /// turn time of the tuning. Without this estimate, chats that began at the
    /// warming target would move away at their second turn.
    fn predates(&self, target: &Target) -> bool {
        let age = match target.standing {
            Standing::Warming { age } | Standing::Flapping { age } => age,
            _ => return false,
        };
        let turn_time = self.view.tuning().turn_time.as_micros();
        u64::from(self.query.turns).saturating_mul(turn_time) > age.as_micros()
    }

    /// Returns the warming target to which a chat moves immediately, because its
    /// previous home accepts no work and it would move to the warming target later
    /// anyway.
    fn joining(&self) -> Option<&'a Arc<Target>> {
        self.warming
            .filter(|target| self.home_unavailable && !target.is_full())
    }

    /// Returns whether to import the cache to a warming target.
    fn may_import(&self, target: &Target) -> bool {
        let is_warming = matches!(target.standing, Standing::Warming { .. });
        is_warming && !target.is_full() && self.import_is_cheaper()
    }

    /// Returns whether importing the cache is cheaper than computing it again.
    fn import_is_cheaper(&self) -> bool {
        let threshold = self.view.tuning().import_tokens;
        self.query.is_returning()
            && threshold.is_some_and(|tokens| self.query.prompt_tokens >= tokens)
    }

    /// Chooses a warming target, with the next target of the ranking that is up or
    /// leaving as the holder of the cache.
    fn import(mut self, target: &Arc<Target>, ranking: Ranking) -> Choice {
        let mut rest = ranking.map(|index| &self.view.targets()[index]);
        let home = rest.find(|next| matches!(next.standing, Standing::Up | Standing::Leaving));
        self.holder = self.holder.or(home);
        self.chosen(target, Reason::Import)
    }

    fn ranked_reason(&self) -> Reason {
        match self.last_cause {
            None => Reason::Home,
            Some(Cause::Warming) => Reason::Previous,
            Some(_) => Reason::Spill,
        }
    }

    /// Chooses the less loaded of the first two targets of the ranking. Targets
    /// named by the refusals take precedence, because the agents know the loads
    /// better than this router.
    fn retry(mut self) -> Choice {
        let named: Vec<_> = self
            .query
            .refusals
            .iter()
            .flat_map(|refusal| &refusal.peers)
            .collect();
        let mut ranking = self.ranking();
        let mut pair: Vec<&Arc<Target>> = Vec::with_capacity(2);
        let mut others: Vec<&Arc<Target>> = Vec::with_capacity(2);
        while let Some(target) = self.next(&mut ranking) {
            if named.contains(&&target.process) {
                pair.push(target);
            } else if target.is_full() {
                self.skip_full(target);
            } else if self.predates(target) {
                self.skip(target, Cause::Warming);
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
            [] => self.fallback(),
            [only] => self.chosen(only, Reason::Choice),
            [first, second, ..] => {
                let (best, worse) = self.order_by_load(first, second);
                self.rejections.add(worse, Cause::Loaded);
                self.chosen(best, Reason::Choice)
            }
        }
    }

    /// Orders two targets by relative load, then by data centre, then by rank.
    fn order_by_load(
        &self,
        first: &'a Arc<Target>,
        second: &'a Arc<Target>,
    ) -> (&'a Arc<Target>, &'a Arc<Target>) {
        let is_remote = |target: &Target| target.centre != self.query.centre;
        let order =
            compare_load(first, second).then_with(|| is_remote(first).cmp(&is_remote(second)));
        if order == Ordering::Greater {
            (second, first)
        } else {
            (first, second)
        }
    }

    /// Chooses among rejected targets: a warming one below its cap, else a full
    /// one (after a refusal, the less loaded of the first two), else a listed one.
    ///
    /// Loads are stale, so that a full target may have room; its agent decides.
    fn fallback(self) -> Choice {
        if let Some(target) = self.warming.filter(|target| !target.is_full()) {
            return self.chosen(target, Reason::Spill);
        }
        let full = match self.full {
            [None, _] => self.warming,
            [Some(first), Some(second)] if !self.query.refusals.is_empty() => {
                Some(self.order_by_load(first, second).0)
            }
            [Some(first), _] => Some(first),
        };
        if let Some(target) = full {
            return self.chosen(target, Reason::Saturated);
        }
        match self.listed {
            Some(target) => self.chosen(target, Reason::Unproven),
            None => self.rejections.none(),
        }
    }

    fn chosen(self, target: &Arc<Target>, reason: Reason) -> Choice {
        let previous = self
            .holder
            .filter(|holder| self.import_is_cheaper() && holder.id != target.id)
            .cloned();
        Choice {
            previous,
            ..self.rejections.chosen(target, reason)
        }
    }
}
