//! The ledger of an agent: what became of each request id.
//!
//! An id is dispatched at most once in one incarnation of the agent, and
//! [`Action::Dispatch`] is returned in the same step that records it. Entries
//! of finished requests and tombstones are kept for one to two epochs; see
//! [`Epoch`] for why a forgotten id never runs later. The daemon executes the
//! actions in order; it keeps the response bytes, which the ledger only counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{id, span::Span, time::Mono};

use crate::{
    action::{Action, Cause},
    claim::{self, Answer},
    entry::{Entry, State},
    epoch::Epoch,
    event::{Class, Link, Offer, Settle},
    holding::{Holding, Next},
    refusal::Refusal,
};

/// Bounds of a ledger's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limits {
    /// Finished entries and tombstones of one epoch; reaching it starts the
    /// next epoch early, so that at most twice as many are kept.
    pub finished: usize,
    /// Requests that are not finished; more are refused.
    pub live: usize,
    /// Bytes of finished responses that no router has consumed.
    pub retained: u64,
    /// Claims whose end the table does not show yet; while there are as many,
    /// keyed requests are refused, as in any outage of the table.
    pub unrecorded: usize,
    /// Longest time for which a refusal waits for the record that the request
    /// was not dispatched.
    pub record: Span,
    /// Longest epoch. A router that reconnects within this time finds the
    /// entry of its request.
    pub epoch: Span,
    /// Time after which a request without a link is cancelled, unless its
    /// outcome must be recorded.
    pub orphan: Span,
}

impl Default for Limits {
    /// An entry with a key of 36 bytes takes 560 bytes as measured, so that
    /// 2 × 8,192 finished and 4,096 live entries take 11.5 MB; 256 unrecorded
    /// responses of at most 32 KiB take 8 MiB more.
    fn default() -> Self {
        Self {
            finished: 8 * 1024,
            live: 4 * 1024,
            retained: 8 * 1024 * 1024,
            unrecorded: 256,
            // The time limit of one call of the table client.
            record: Span::from_secs(2),
            epoch: Span::from_secs(60),
            orphan: Span::from_secs(10),
        }
    }
}

/// Refusals that wait until the table shows that a claim was abandoned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Withheld {
    until: Mono,
    refusals: Vec<Action>,
}

/// The request ledger of one incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ledger {
    me: claim::Owner,
    limits: Limits,
    epoch: Epoch,
    /// When the present epoch began.
    began: Mono,
    entries: BTreeMap<id::RequestId, Entry>,
    holdings: BTreeMap<claim::Key, Holding>,
    withheld: BTreeMap<claim::Key, Withheld>,
    /// Keyed requests that wait at the gate.
    queued: BTreeMap<claim::Key, id::RequestId>,
    /// Requests without a link, and since when.
    orphans: BTreeMap<id::RequestId, Mono>,
    /// Ids that finished in the present epoch, oldest first.
    present: VecDeque<id::RequestId>,
    /// Ids that finished in the previous epoch.
    previous: VecDeque<id::RequestId>,
    /// Done requests whose bytes are retained, oldest first; may name ids whose
    /// bytes were dropped since.
    kept: VecDeque<id::RequestId>,
    retained: u64,
    leaving: bool,
}

impl Ledger {
    /// Makes the empty ledger of an incarnation that has never run before.
    pub fn new(me: claim::Owner, limits: Limits, now: Mono) -> Self {
        Self {
            me,
            limits,
            epoch: Epoch::FIRST,
            began: now,
            entries: BTreeMap::new(),
            holdings: BTreeMap::new(),
            withheld: BTreeMap::new(),
            queued: BTreeMap::new(),
            orphans: BTreeMap::new(),
            present: VecDeque::new(),
            previous: VecDeque::new(),
            kept: VecDeque::new(),
            retained: 0,
            leaving: false,
        }
    }

    /// Returns the present epoch, for the agent's stamps.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the state of an id.
    pub fn state(&self, id: id::RequestId) -> Option<State> {
        self.entries.get(&id).map(|entry| entry.state)
    }

    /// Returns the reply stream of a request, if it has one.
    pub fn link(&self, id: id::RequestId) -> Option<Link> {
        self.entries.get(&id)?.link
    }

    /// Returns the number of entries, finished ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the ledger has no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that are not finished.
    pub fn live(&self) -> usize {
        self.len() - self.present.len() - self.previous.len()
    }

    /// Returns the number of dispatched claims whose end is not recorded.
    pub fn unrecorded(&self) -> usize {
        self.holdings.values().filter(|h| h.unrecorded()).count()
    }

    /// Tells whether the process may exit: nothing is live and each claim has
    /// its end recorded.
    pub fn drained(&self) -> bool {
        self.live() == 0 && self.holdings.is_empty() && self.withheld.is_empty()
    }

    /// Takes a `Run` message.
    pub fn offer(&mut self, now: Mono, offer: Offer) -> Vec<Action> {
        let Offer { id, link, .. } = offer;
        if let Some(entry) = self.entries.get(&id) {
            return vec![match entry.state {
                State::Tombstone => refuse(id, link, entry.refusal()),
                _ => broken(id, link, Cause::Duplicate),
            }];
        }
        if offer.incarnation != self.me.incarnation || !offer.epoch.accepted(self.epoch) {
            // No tombstone: a late copy carries the same incarnation and epoch.
            return vec![refuse(id, link, Refusal::Stale)];
        }
        let deadline = now + offer.remaining;
        let entry = Entry::new(id, Some(link), offer.class, deadline);
        match self.known_claim(&entry) {
            Some(Ok(leader)) => return self.follow(now, id, entry, leader),
            Some(Err(why)) => return self.bury(now, id, entry, why),
            None => {}
        }
        if let Some(why) = self.closed(now, &entry) {
            let key = entry.key().cloned();
            let actions = self.bury(now, id, entry, why);
            return self.withhold_too(key.as_ref(), deadline, actions);
        }
        if let Some(key) = entry.key() {
            self.queued.insert(key.clone(), id);
        }
        self.entries.insert(id, entry);
        vec![Action::Admit(id)]
    }

    /// The gate lets the request run.
    pub fn admitted(&mut self, now: Mono, id: id::RequestId) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return vec![Action::Release(id)];
        };
        match entry.state {
            State::Queued => entry.state = State::Claiming,
            state if state.finished() => return vec![Action::Release(id)],
            _ => return Vec::new(),
        }
        if let Some(key) = entry.key() {
            self.queued.remove(key);
        }
        if entry.deadline <= now {
            return self.end_not_run(now, id, Refusal::Deadline, None);
        }
        let Class::Keyed { key, digest, nonce } = entry.class.clone() else {
            return self.dispatch(id);
        };
        self.claim(id, key, digest, nonce)
    }

    /// The gate refuses the request, on arrival or later from its queue.
    pub fn refused(
        &mut self,
        now: Mono,
        id: id::RequestId,
        why: Refusal,
        after: Option<Span>,
    ) -> Vec<Action> {
        match self.state(id) {
            Some(State::Queued) => self.end_not_run(now, id, why, after),
            _ => Vec::new(),
        }
    }

    /// The table answered an [`Action::Ask`].
    pub fn answered(
        &mut self,
        now: Mono,
        key: &claim::Key,
        nonce: id::Nonce,
        answer: Answer,
    ) -> Vec<Action> {
        let Some(holding) = self.holdings.get_mut(key) else {
            return Vec::new();
        };
        if holding.nonce() != nonce {
            // The answer to an attempt that a newer one has replaced.
            return Vec::new();
        }
        let id = holding.request();
        match holding.answer(now, answer) {
            Next::Ask(ask) => vec![Action::Ask(ask)],
            // While the table is unavailable, a refusal does not wait for it.
            Next::Wait => self.release(key),
            Next::Ended => {
                self.holdings.remove(key);
                self.release(key)
            }
            Next::Held => self.held(now, id),
            Next::Refuse(why) => {
                if !holding.abandoned() {
                    self.holdings.remove(key);
                }
                self.end_not_run(now, id, why, None)
            }
            Next::Unknown => {
                self.holdings.remove(key);
                self.end_broken(now, id, Cause::Claim)
            }
            Next::Replay(response) => {
                self.holdings.remove(key);
                self.replay(now, id, response)
            }
        }
    }

    /// The target was not reached: nothing of the request was sent to it.
    pub fn unsent(&mut self, now: Mono, id: id::RequestId) -> Vec<Action> {
        match self.state(id) {
            Some(State::Dispatched) => self.end_not_run(now, id, Refusal::Down, None),
            _ => Vec::new(),
        }
    }

    /// The head of the target's response arrived and carries the request's id.
    pub fn head(&mut self, id: id::RequestId, resumable: bool) -> Vec<Action> {
        if let Some(entry) = self.running(id) {
            entry.state = State::Answering;
            entry.resumable = resumable;
        }
        Vec::new()
    }

    /// Bytes of the body up to `produced` arrived; those before `kept` are no
    /// longer at hand.
    pub fn progress(&mut self, id: id::RequestId, produced: u64, kept: u64) -> Vec<Action> {
        if let Some(entry) = self.running(id) {
            entry.produced = entry.produced.max(produced);
            entry.kept = entry.kept.max(kept);
        }
        Vec::new()
    }

    /// The target's response is complete, with a body of `total` bytes. A
    /// keyed request also needs its response as it is to be replayed.
    pub fn complete(
        &mut self,
        now: Mono,
        id: id::RequestId,
        total: u64,
        response: Option<claim::Response>,
    ) -> Vec<Action> {
        let Some(entry) = self.running(id) else {
            return Vec::new();
        };
        entry.produced = total;
        entry.state = State::Done;
        let followers = std::mem::take(&mut entry.followers);
        let mut actions = vec![Action::Release(id)];
        let response = response.unwrap_or(claim::Response {
            status: 0,
            headers: Vec::new(),
            body: claim::Body::Unkept,
        });
        actions.extend(self.end_claim(id, claim::State::Done(response)));
        for follower in followers {
            self.finish_follower(follower, State::Done, None);
        }
        actions.extend(self.keep(id));
        actions.extend(self.finish(now, id));
        actions
    }

    /// The router has consumed the whole response of `id`.
    pub fn delivered(&mut self, id: id::RequestId) -> Vec<Action> {
        let Some(entry) = self.entries.get(&id) else {
            return Vec::new();
        };
        // A keyed response stays for followers until its entry is dropped.
        if entry.state != State::Done || entry.key().is_some() {
            return Vec::new();
        }
        self.drop_bytes(id)
    }

    /// The target broke off, or returned the response of another request.
    pub fn broken(&mut self, now: Mono, id: id::RequestId) -> Vec<Action> {
        let Some(entry) = self.running(id) else {
            return Vec::new();
        };
        if entry.resumable {
            let offset = entry.produced;
            return vec![Action::Resume { id, offset }];
        }
        self.end_broken(now, id, Cause::Target)
    }

    /// The target cannot resume the stream that [`Action::Resume`] asked for.
    pub fn unresumed(&mut self, now: Mono, id: id::RequestId) -> Vec<Action> {
        match self.running(id) {
            Some(_) => self.end_broken(now, id, Cause::Target),
            None => Vec::new(),
        }
    }

    /// The target crashed: every dispatched request that it cannot resume is
    /// unknown.
    pub fn target_lost(&mut self, now: Mono) -> Vec<Action> {
        let running: Vec<id::RequestId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.state.runs())
            .map(|(id, _)| *id)
            .collect();
        running
            .into_iter()
            .flat_map(|id| self.end_broken(now, id, Cause::Target))
            .collect()
    }

    /// The reply stream to the router ended before the reply did.
    pub fn link_lost(&mut self, now: Mono, id: id::RequestId, link: Link) -> Vec<Action> {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.link == Some(link)
        {
            entry.link = None;
            if !entry.state.finished() {
                self.orphans.insert(id, now);
            }
        }
        Vec::new()
    }

    /// Takes a `Settle` message: proves that the request was not run here and
    /// never will be, or reattaches it, or reports that its outcome is unknown.
    pub fn settle(&mut self, now: Mono, settle: Settle) -> Vec<Action> {
        let Settle { id, link, .. } = settle;
        if settle.incarnation != self.me.incarnation {
            return vec![broken(id, link, Cause::Incarnation)];
        }
        let Some(entry) = self.entries.get_mut(&id) else {
            return self.settle_unseen(now, settle);
        };
        match entry.state {
            State::Tombstone => {
                let refusal = refuse(id, link, entry.refusal());
                let (key, deadline) = (entry.key().cloned(), entry.deadline);
                self.withhold_too(key.as_ref(), deadline, vec![refusal])
            }
            State::Broken(cause) => vec![broken(id, link, cause)],
            State::Queued => {
                entry.link = Some(link);
                let mut actions = vec![Action::Withdraw(id)];
                actions.extend(self.end_not_run(now, id, Refusal::Tombstone, None));
                actions
            }
            _ => self.reattach(settle),
        }
    }

    /// The caller left, or the router gave the request up.
    pub fn cancel(&mut self, now: Mono, id: id::RequestId) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&id) else {
            // The message overtook its `Run`; there is no one left to run it for.
            let entry = Entry::new(id, None, Class::Once, now);
            return self.bury(now, id, entry, Refusal::Cancelled);
        };
        entry.link = None;
        if entry.state.finished() {
            return Vec::new();
        }
        if entry.detached() {
            self.orphans.entry(id).or_insert(now);
            return Vec::new();
        }
        let leader = entry.of;
        match entry.state {
            State::Following(_) => {
                if let Some(leader) = self.entries.get_mut(&leader) {
                    leader.followers.remove(&id);
                }
                self.end_not_run(now, id, Refusal::Cancelled, None)
            }
            State::Dispatched | State::Answering => {
                let mut actions = vec![Action::Stop(id)];
                actions.extend(self.end_broken(now, id, Cause::Cancelled));
                actions
            }
            State::Queued => {
                let mut actions = vec![Action::Withdraw(id)];
                actions.extend(self.end_not_run(now, id, Refusal::Cancelled, None));
                actions
            }
            _ => self.end_not_run(now, id, Refusal::Cancelled, None),
        }
    }

    /// The target is leaving: new requests and those not yet dispatched are
    /// refused, so that other agents run them at once.
    pub fn leave(&mut self, now: Mono) -> Vec<Action> {
        self.leaving = true;
        let waiting: Vec<(id::RequestId, State)> = self
            .entries
            .iter()
            .filter(|(_, entry)| matches!(entry.state, State::Queued | State::Claiming))
            .map(|(id, entry)| (*id, entry.state))
            .collect();
        let mut actions = Vec::new();
        for (id, state) in waiting {
            if state == State::Queued {
                actions.push(Action::Withdraw(id));
            }
            actions.extend(self.end_not_run(now, id, Refusal::Leaving, None));
        }
        actions
    }

    /// The target stays after all.
    pub fn stay(&mut self) {
        self.leaving = false;
    }

    /// Cancels orphans, asks the table again, and starts a new epoch, as far
    /// as these are due.
    pub fn expire(&mut self, now: Mono) -> Vec<Action> {
        let orphans: Vec<id::RequestId> = self
            .cancellable()
            .filter(|(_, at)| *at <= now)
            .map(|(id, _)| id)
            .collect();
        let mut actions: Vec<Action> = orphans
            .into_iter()
            .flat_map(|id| self.cancel(now, id))
            .collect();
        let late: Vec<claim::Key> = self
            .withheld
            .iter()
            .filter(|(_, withheld)| withheld.until <= now)
            .map(|(key, _)| key.clone())
            .collect();
        actions.extend(late.iter().flat_map(|key| self.release(key)));
        let asks = self.holdings.values_mut().filter_map(|h| h.retry(now));
        actions.extend(asks.map(Action::Ask));
        if self.began + self.limits.epoch <= now {
            actions.extend(self.rotate(now));
        }
        actions
    }

    /// Returns when [`Ledger::expire`] has something to do next.
    pub fn next_expiry(&self) -> Mono {
        let orphans = self.cancellable().map(|(_, at)| at);
        let retries = self.holdings.values().filter_map(Holding::due);
        let withheld = self.withheld.values().map(|withheld| withheld.until);
        let epoch = self.began + self.limits.epoch;
        orphans.chain(retries).chain(withheld).fold(epoch, Ord::min)
    }

    /// Returns the orphans that may be cancelled, and when.
    fn cancellable(&self) -> impl Iterator<Item = (id::RequestId, Mono)> {
        self.orphans
            .iter()
            .filter(|(id, _)| self.entries.get(id).is_some_and(|e| !e.detached()))
            .map(|(id, since)| (*id, *since + self.limits.orphan))
    }

    /// Starts the next epoch and drops the entries of the one before the
    /// present one. A done request whose claim is not yet recorded stays.
    fn rotate(&mut self, now: Mono) -> Vec<Action> {
        self.epoch = self.epoch.next();
        self.began = now;
        let old = std::mem::replace(&mut self.previous, std::mem::take(&mut self.present));
        let unrecorded: BTreeSet<id::RequestId> = self
            .holdings
            .values()
            .filter(|holding| holding.unrecorded())
            .map(Holding::request)
            .collect();
        let mut actions = Vec::new();
        for id in old {
            if unrecorded.contains(&id) {
                self.present.push_back(id);
                continue;
            }
            actions.extend(self.drop_bytes(id));
            self.entries.remove(&id);
        }
        let entries = &self.entries;
        self.kept
            .retain(|id| entries.get(id).is_some_and(|entry| entry.retained));
        actions
    }

    fn running(&mut self, id: id::RequestId) -> Option<&mut Entry> {
        self.entries.get_mut(&id).filter(|entry| entry.state.runs())
    }

    /// Looks for a claim of the same key that this agent already holds.
    fn known_claim(&self, entry: &Entry) -> Option<Result<id::RequestId, Refusal>> {
        let Class::Keyed { key, digest, .. } = &entry.class else {
            return None;
        };
        let leader = self
            .holdings
            .get(key)
            .filter(|holding| !holding.abandoned())
            .map(|holding| (holding.request(), holding.digest()))
            .or_else(|| self.queued_claim(key))?;
        if leader.1 != *digest {
            return Some(Err(Refusal::Mismatch));
        }
        Some(Ok(leader.0))
    }

    /// Finds a request that waits at the gate with the same key.
    fn queued_claim(&self, key: &claim::Key) -> Option<(id::RequestId, claim::Digest)> {
        let id = self.queued.get(key)?;
        match self.entries.get(id)?.class {
            Class::Keyed { digest, .. } => Some((*id, digest)),
            _ => None,
        }
    }

    /// Tells why no new work is taken, if so.
    fn closed(&self, now: Mono, entry: &Entry) -> Option<Refusal> {
        if entry.deadline <= now {
            return Some(Refusal::Deadline);
        }
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        if self.live() >= self.limits.live {
            return Some(Refusal::Bound);
        }
        let keyed = matches!(entry.class, Class::Keyed { .. });
        let ending = self.holdings.values().filter(|h| h.ending()).count();
        if keyed && ending >= self.limits.unrecorded {
            return Some(Refusal::Table);
        }
        None
    }

    /// Gives a request the response of the one that holds its key.
    fn follow(
        &mut self,
        now: Mono,
        id: id::RequestId,
        mut entry: Entry,
        leader: id::RequestId,
    ) -> Vec<Action> {
        let Some(first) = self.entries.get_mut(&leader) else {
            return Vec::new();
        };
        let link = entry.link;
        match first.state {
            State::Done => {
                self.entries.insert(id, entry);
                return self.replay_unrecorded(now, id);
            }
            State::Broken(cause) => {
                self.entries.insert(id, entry);
                return self.end_broken(now, id, cause);
            }
            _ => {}
        }
        first.followers.insert(id);
        entry.of = leader;
        entry.state = State::Following(leader);
        self.entries.insert(id, entry);
        link.map(|link| Action::Attach {
            id,
            link,
            of: leader,
            offset: 0,
        })
        .into_iter()
        .collect()
    }

    /// Replays a response whose record is not written yet.
    fn replay_unrecorded(&mut self, now: Mono, id: id::RequestId) -> Vec<Action> {
        let key = self.entries.get(&id).and_then(Entry::key);
        let response = key
            .and_then(|key| self.holdings.get(key))
            .and_then(Holding::response)
            .cloned();
        match response {
            Some(response) => self.replay(now, id, response),
            None => self.end_broken(now, id, Cause::Gone),
        }
    }

    fn claim(
        &mut self,
        id: id::RequestId,
        key: claim::Key,
        digest: claim::Digest,
        nonce: id::Nonce,
    ) -> Vec<Action> {
        let claim = claim::Claim {
            digest,
            owner: self.me.clone(),
            nonce,
            state: claim::State::Running,
        };
        // An active holding would have made this request a follower.
        debug_assert!(self.holdings.get(&key).is_none_or(Holding::abandoned));
        let mut holding = Holding::new(key.clone(), claim, id);
        let ask = holding.start();
        // This attempt takes the row over from one that was not dispatched.
        let mut actions = self.release(&key);
        self.holdings.insert(key, holding);
        actions.push(Action::Ask(ask));
        actions
    }

    fn held(&mut self, now: Mono, id: id::RequestId) -> Vec<Action> {
        let Some(entry) = self.entries.get(&id) else {
            return Vec::new();
        };
        if entry.deadline <= now {
            return self.end_not_run(now, id, Refusal::Deadline, None);
        }
        self.dispatch(id)
    }

    fn dispatch(&mut self, id: id::RequestId) -> Vec<Action> {
        match self.entries.get_mut(&id) {
            Some(entry) if entry.state == State::Claiming => {
                entry.state = State::Dispatched;
                vec![Action::Dispatch(id)]
            }
            _ => Vec::new(),
        }
    }

    fn replay(&mut self, now: Mono, id: id::RequestId, response: claim::Response) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Vec::new();
        };
        let Some(total) = response.total() else {
            return self.end_broken(now, id, Cause::Gone);
        };
        let admitted = entry.state == State::Claiming;
        entry.state = State::Done;
        entry.produced = total;
        let link = entry.link;
        let followers = std::mem::take(&mut entry.followers);
        for follower in followers {
            self.finish_follower(follower, State::Done, None);
        }
        let mut actions = Vec::new();
        if admitted {
            actions.push(Action::Release(id));
        }
        actions.push(Action::Replay { id, link, response });
        actions.extend(self.keep(id));
        actions.extend(self.finish(now, id));
        actions
    }

    fn settle_unseen(&mut self, now: Mono, settle: Settle) -> Vec<Action> {
        let Settle { id, link, .. } = settle;
        if !settle.epoch.accepted(self.epoch) {
            // It may have run and been forgotten.
            return vec![broken(id, link, Cause::Forgotten)];
        }
        let entry = Entry::new(id, Some(link), Class::Once, now);
        self.bury(now, id, entry, Refusal::Tombstone)
    }

    fn reattach(&mut self, settle: Settle) -> Vec<Action> {
        let Settle {
            id, link, offset, ..
        } = settle;
        let Some(of) = self.entries.get(&id).map(|entry| entry.of) else {
            return Vec::new();
        };
        let Some((kept, produced, resumable)) = self
            .entries
            .get(&of)
            .map(|entry| (entry.kept, entry.produced, entry.resumable))
        else {
            return vec![broken(id, link, Cause::Gone)];
        };
        if !resumable && !(kept..=produced).contains(&offset) {
            return vec![broken(id, link, Cause::Gone)];
        }
        self.orphans.remove(&id);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.link = Some(link);
        }
        let mut actions = Vec::new();
        if offset < kept {
            actions.push(Action::Resume { id: of, offset });
        }
        actions.push(Action::Attach {
            id,
            link,
            of,
            offset,
        });
        actions
    }

    /// Records a request that is refused on arrival.
    fn bury(
        &mut self,
        now: Mono,
        id: id::RequestId,
        mut entry: Entry,
        why: Refusal,
    ) -> Vec<Action> {
        let link = entry.link.take();
        entry.state = State::Tombstone;
        entry.why = Some(why.clone());
        self.entries.insert(id, entry);
        let mut actions: Vec<Action> = link.map(|link| refuse(id, link, why)).into_iter().collect();
        actions.extend(self.finish(now, id));
        actions
    }

    /// Ends a request that was never dispatched, with its followers.
    fn end_not_run(
        &mut self,
        now: Mono,
        id: id::RequestId,
        why: Refusal,
        after: Option<Span>,
    ) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Vec::new();
        };
        let admitted = matches!(entry.state, State::Claiming | State::Dispatched);
        if entry.state == State::Queued
            && let Class::Keyed { key, .. } = &entry.class
        {
            self.queued.remove(key);
        }
        entry.state = State::Tombstone;
        entry.why = Some(why.clone());
        let link = entry.link.take();
        let followers = std::mem::take(&mut entry.followers);
        let mut actions = Vec::new();
        if admitted {
            actions.push(Action::Release(id));
            actions.extend(self.end_claim(id, claim::State::Abandoned));
        }
        let mut refusals = Vec::new();
        refusals.extend(link.map(|link| (id, link)));
        for follower in followers {
            let link = self.finish_follower(follower, State::Tombstone, Some(why.clone()));
            refusals.extend(link.map(|link| (follower, link)));
        }
        let refusals = refusals.into_iter().map(|(id, link)| Action::Refuse {
            id,
            link,
            why: why.clone(),
            after,
        });
        actions.extend(self.withhold(now, id, refusals.collect()));
        actions.extend(self.finish(now, id));
        actions
    }

    /// Keeps refusals back while the table is asked to show that the claim of
    /// `id` was abandoned, so that a later use of the key does not find it
    /// running; but not beyond the deadline. Returns those that do not wait.
    fn withhold(&mut self, now: Mono, id: id::RequestId, refusals: Vec<Action>) -> Vec<Action> {
        let Some(entry) = self.entries.get(&id) else {
            return refusals;
        };
        let until = entry.deadline.min(now + self.limits.record);
        let Some(key) = entry.key().cloned() else {
            return refusals;
        };
        let asking =
            |holding: &Holding| holding.request() == id && holding.abandoned() && holding.asking();
        if refusals.is_empty() || until <= now || !self.holdings.get(&key).is_some_and(asking) {
            return refusals;
        }
        self.withheld.insert(key, Withheld { until, refusals });
        Vec::new()
    }

    /// Adds a refusal of another request, or another stream, of the same key to
    /// those that are kept back, if any are.
    fn withhold_too(
        &mut self,
        key: Option<&claim::Key>,
        deadline: Mono,
        actions: Vec<Action>,
    ) -> Vec<Action> {
        let Some(withheld) = key.and_then(|key| self.withheld.get_mut(key)) else {
            return actions;
        };
        withheld.until = withheld.until.min(deadline);
        let refusal = |action: &Action| matches!(action, Action::Refuse { .. });
        let (refusals, rest): (Vec<_>, Vec<_>) = actions.into_iter().partition(refusal);
        withheld.refusals.extend(refusals);
        rest
    }

    /// Returns the refusals that were kept back for a claim.
    fn release(&mut self, key: &claim::Key) -> Vec<Action> {
        let withheld = self.withheld.remove(key);
        withheld.map_or_else(Vec::new, |withheld| withheld.refusals)
    }

    /// Ends a request whose outcome is unknown, with its followers.
    fn end_broken(&mut self, now: Mono, id: id::RequestId, cause: Cause) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Vec::new();
        };
        let admitted = entry.state == State::Claiming || entry.state.runs();
        let answered = entry.state == State::Answering;
        entry.state = State::Broken(cause);
        let link = entry.link.take();
        let followers = std::mem::take(&mut entry.followers);
        let mut actions = Vec::new();
        if admitted {
            actions.push(Action::Release(id));
        }
        actions.extend(self.end_claim(id, claim::State::Lost));
        actions.extend(link.map(|link| broken(id, link, cause)));
        for follower in followers {
            let link = self.finish_follower(follower, State::Broken(cause), None);
            actions.extend(link.map(|link| broken(follower, link, cause)));
        }
        if answered {
            actions.push(Action::Forget(id));
        }
        actions.extend(self.finish(now, id));
        actions
    }

    /// Ends the claim of a request, if it holds one.
    fn end_claim(&mut self, id: id::RequestId, end: claim::State) -> Vec<Action> {
        let Some(key) = self.entries.get(&id).and_then(Entry::key).cloned() else {
            return Vec::new();
        };
        let Some(holding) = self.holdings.get_mut(&key) else {
            return Vec::new();
        };
        if holding.request() != id || holding.abandoned() {
            return Vec::new();
        }
        holding.end(end).map(Action::Ask).into_iter().collect()
    }

    fn finish_follower(
        &mut self,
        id: id::RequestId,
        state: State,
        why: Option<Refusal>,
    ) -> Option<Link> {
        let entry = self.entries.get_mut(&id)?;
        entry.state = state;
        entry.why = why;
        let link = match state {
            State::Done => entry.link,
            _ => entry.link.take(),
        };
        self.remember(id);
        link
    }

    fn finish(&mut self, now: Mono, id: id::RequestId) -> Vec<Action> {
        self.remember(id);
        if self.present.len() < self.limits.finished {
            return Vec::new();
        }
        self.rotate(now)
    }

    fn remember(&mut self, id: id::RequestId) {
        self.orphans.remove(&id);
        self.present.push_back(id);
    }

    /// Counts the kept bytes of a done request and drops the oldest ones over
    /// the limit.
    fn keep(&mut self, id: id::RequestId) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Vec::new();
        };
        entry.retained = true;
        self.retained += entry.produced - entry.kept;
        self.kept.push_back(id);
        let mut actions = Vec::new();
        while self.retained > self.limits.retained {
            let Some(oldest) = self.kept.pop_front() else {
                break;
            };
            actions.extend(self.drop_bytes(oldest));
        }
        actions
    }

    fn drop_bytes(&mut self, id: id::RequestId) -> Vec<Action> {
        match self.entries.get_mut(&id) {
            Some(entry) if entry.retained => {
                entry.retained = false;
                self.retained -= entry.produced - entry.kept;
                entry.kept = entry.produced;
                vec![Action::Forget(id)]
            }
            _ => Vec::new(),
        }
    }
}

fn refuse(id: id::RequestId, link: Link, why: Refusal) -> Action {
    Action::Refuse {
        id,
        link,
        why,
        after: None,
    }
}

fn broken(id: id::RequestId, link: Link, cause: Cause) -> Action {
    Action::Break { id, link, cause }
}
