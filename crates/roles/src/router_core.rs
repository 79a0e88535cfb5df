//! The control state of a router: it publishes what the traffic threads use.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use admit::quarantine;
use arc_swap::ArcSwap;
use base::{hash, id, span, time};
use conf::{change::Change, row};
use fleet::{convert, member};
use place::{policy, standing, view};
use tokio::sync::mpsc;
use wire::msg;

use crate::{
    health,
    node::{Node, Signal},
    snapshot::{Agent, Group, Snapshot},
    suspects,
};

/// Load reports that travel with a request.
const REPORTS: usize = 8;

/// Longest time between two publications; ages of reports change meanwhile.
const PUBLISH_INTERVAL: span::Span = span::Span::from_millis(200);

/// Time between two removals of what belongs to forgotten members.
const PRUNE_INTERVAL: span::Span = span::Span::from_secs(10);

/// What the traffic threads tell the control thread.
#[derive(Debug)]
pub enum Event {
    /// Concerns the common state.
    Node(Signal),
    /// A reply had this stamp.
    Stamp(msg::SenderStatus),
    /// A request was sent to an agent.
    Sent(id::ProcessId),
    /// A call to an agent failed.
    Failed(id::ProcessId, member::Failure),
    /// An agent reported contents that were in flight at a crash.
    Suspects(Vec<msg::Suspect>),
    /// An operator lifted the quarantine of a content.
    Lift(id::Fingerprint),
    /// A request needs an agent that is not known here.
    Seek,
    /// The process is to stop.
    Stop,
}

/// What a router's control state is made of.
pub struct Parts {
    /// Common state.
    pub node: Node,
    /// Where the snapshots go.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Shown to the load balancer.
    pub health: Arc<health::Health>,
    /// How targets are chosen.
    pub tuning: policy::Tuning,
    /// Changes that make the first configuration when the table has none.
    pub bootstrap: Vec<Change>,
}

/// Who is recorded for the first configuration.
const BOOTSTRAP: &str = "bootstrap";

/// Makes the command of the first configuration; its id follows from the
/// content.
fn first_command(changes: Vec<Change>) -> row::Command {
    let content = serde_json::to_vec(&changes).unwrap_or_default();
    let low = hash::bytes(&content);
    let id = (u128::from(hash::mix(low, 1)) << 64) | u128::from(low);
    row::Command {
        id: id::CommandId(id),
        who: BOOTSTRAP.parse().expect("the name is a valid id"),
        why: "first configuration from the settings".to_owned(),
        when: 0,
        change: Change::Batch(changes),
    }
}

/// The control state; owned by the control thread.
pub struct Core {
    parts: Parts,
    /// Epochs of the agents' ledgers, with the incarnation they belong to.
    epochs: BTreeMap<id::ProcessId, (id::Incarnation, u64)>,
    /// Loads from stamps, queued requests included, with what was sent since.
    loads: BTreeMap<id::ProcessId, Stamped>,
    dirty: BTreeSet<id::ServiceId>,
    all_dirty: bool,
    published: time::Mono,
    pruned: time::Mono,
    leaving: bool,
    /// Warm-up and flaps of each service's targets.
    trackers: BTreeMap<id::ServiceId, standing::Tracker>,
    quarantine: quarantine::Quarantine,
    suspects: Arc<BTreeMap<id::Fingerprint, Vec<msg::Suspect>>>,
}

#[derive(Clone, Copy, Debug)]
struct Stamped {
    at: time::Mono,
    load: u32,
    cap: u32,
    sent: u32,
}

impl Core {
    /// Makes the state of a starting router.
    pub fn new(parts: Parts) -> Self {
        Self {
            parts,
            epochs: BTreeMap::new(),
            loads: BTreeMap::new(),
            dirty: BTreeSet::new(),
            all_dirty: true,
            published: time::Mono::default(),
            pruned: time::Mono::default(),
            leaving: false,
            trackers: BTreeMap::new(),
            quarantine: quarantine::Quarantine::new(suspects::LONGEST, id::Incarnation(0)),
            suspects: Arc::default(),
        }
    }

    /// Runs until all senders of events are gone.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        loop {
            self.publish();
            let now = self.now();
            let due = self.parts.node.due().min(self.published + PUBLISH_INTERVAL);
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.event(event),
                    None => return,
                },
                () = tokio::time::sleep(due.since(now).duration()) => self.all_dirty = true,
            }
            while let Ok(event) = events.try_recv() {
                self.event(event);
            }
            self.all_dirty |= self.parts.node.tick();
        }
    }

    fn now(&self) -> time::Mono {
        self.parts.node.clock.now()
    }

    fn event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Node(signal) => {
                let changed = self.parts.node.signal(signal);
                if changed.configuration {
                    // A query that follows at once must not show the version
                    // before.
                    let standing = self.parts.node.exchange.members.own().standing;
                    self.parts.node.tell(standing, 0, 0);
                }
                self.all_dirty |= changed.members || changed.configuration;
                self.bootstrap();
                self.suspect(now, &changed.suspects);
                if let Some(known) = changed.renumber {
                    tracing::warn!(event = "incarnation_behind", known = %known);
                    let members = &mut self.parts.node.exchange.members;
                    members.set_incarnation(now, known.next());
                }
            }
            Event::Stamp(stamp) => self.stamp(now, &stamp),
            Event::Sent(agent) => {
                if let Some(known) = self.loads.get_mut(&agent) {
                    known.sent += 1;
                }
                self.touch(now, &agent);
            }
            Event::Failed(agent, failure) => {
                if self
                    .parts
                    .node
                    .exchange
                    .members
                    .record_failure(now, &agent, failure)
                {
                    tracing::warn!(event = "agent_demoted", agent = %agent);
                }
                self.touch(now, &agent);
            }
            Event::Suspects(suspects) => {
                for suspect in &suspects {
                    self.parts.node.exchange.suspect(now, suspect.clone());
                }
                self.suspect(now, &suspects);
            }
            Event::Lift(content) => self.lift(now, content),
            Event::Seek => self.parts.node.seek(now),
            Event::Stop => {
                self.leaving = true;
                self.all_dirty = true;
            }
        }
    }

    /// Takes in quarantine entries and publishes them for the next requests.
    fn suspect(&mut self, now: time::Mono, suspects: &[msg::Suspect]) {
        if suspects.is_empty() {
            return;
        }
        for suspect in suspects {
            self.quarantine.merge(now, &suspects::from_message(suspect));
        }
        let known = self.quarantine.entries(now).into_iter().map(|entry| {
            let related = self.quarantine.related(now, entry.fingerprint);
            let related = related
                .iter()
                .map(|entry| suspects::to_message(entry, ""))
                .collect();
            (entry.fingerprint, related)
        });
        self.suspects = Arc::new(known.collect());
        self.all_dirty = true;
    }

    /// Excuses the crashes that count against a content, and tells other
    /// processes.
    fn lift(&mut self, now: time::Mono, content: id::Fingerprint) {
        self.quarantine.lift(now, content);
        let entries = self.quarantine.entries(now);
        let lifted = entries.iter().filter(|entry| entry.fingerprint == content);
        let suspects: Vec<msg::Suspect> = lifted
            .map(|entry| suspects::to_message(entry, ""))
            .collect();
        for suspect in &suspects {
            self.parts.node.exchange.suspect(now, suspect.clone());
        }
        self.suspect(now, &suspects);
    }

    /// Writes the first configuration when the table has none. Every router
    /// does so with the same command id, and the table accepts it once.
    fn bootstrap(&mut self) {
        let empty = self
            .parts
            .node
            .history
            .head()
            .is_some_and(|head| head.point.version.0 == 0);
        if !empty || self.parts.bootstrap.is_empty() || self.parts.node.history.version().0 > 0 {
            return;
        }
        let changes = std::mem::take(&mut self.parts.bootstrap);
        let commit = self.parts.node.commit();
        let command = first_command(changes);
        tokio::spawn(async move {
            match commit.run(command, None).await {
                Ok(version) => tracing::info!(event = "configuration_created", %version),
                Err(cause) => tracing::error!(event = "configuration_not_created", %cause),
            }
        });
    }

    fn stamp(&mut self, now: time::Mono, stamp: &msg::SenderStatus) {
        let Ok(known) = convert::sender_status(stamp) else {
            return;
        };
        self.parts
            .node
            .exchange
            .members
            .record_success(&known.process);
        self.parts.node.signal(Signal::Stamp(stamp.clone()));
        self.epochs
            .insert(known.process.clone(), (known.incarnation, stamp.epoch));
        let load = Stamped {
            at: now,
            load: known.load,
            cap: known.cap,
            sent: 0,
        };
        self.loads.insert(known.process.clone(), load);
        self.touch(now, &known.process);
    }

    fn touch(&mut self, now: time::Mono, agent: &id::ProcessId) {
        let row = self.parts.node.exchange.members.get(now, agent);
        let service = row.and_then(|row| row.member.service);
        self.dirty.extend(service);
    }

    fn publish(&mut self) {
        let now = self.now();
        let dirty = std::mem::take(&mut self.dirty);
        let all = std::mem::take(&mut self.all_dirty);
        if dirty.is_empty() && !all {
            return;
        }
        self.published = now;
        let spent = self.parts.node.control_bytes();
        self.parts.health.control(spent);
        let ready = self.parts.node.ready();
        let standing = match (self.leaving, ready) {
            (true, _) => member::Standing::Leaving,
            (false, false) => member::Standing::Listed,
            (false, true) => member::Standing::Up,
        };
        self.parts.node.tell(standing, 0, 0);
        let previous = self.parts.snapshot.load_full();
        let mut groups = previous.groups.clone();
        // A change of members makes all services dirty.
        let services = match all {
            true => self.parts.node.exchange.members.services(),
            false => dirty,
        };
        if all {
            groups.retain(|service, _| services.contains(service));
            self.prune(now);
        }
        for service in services {
            let rows = self.parts.node.exchange.members.of_service(now, &service);
            if rows.is_empty() {
                groups.remove(&service);
                continue;
            }
            let group = self.group(now, &service, &rows);
            groups.insert(service, Arc::new(group));
        }
        if ready {
            self.parts.health.set(health::State::Ready);
        }
        self.parts.snapshot.store(Arc::new(Snapshot {
            conf: self.parts.node.conf().clone(),
            groups,
            suspects: self.suspects.clone(),
            stamp: self.parts.node.stamp(),
            ready,
            leaving: self.leaving,
        }));
    }

    /// Drops what is known of members that are forgotten.
    fn prune(&mut self, now: time::Mono) {
        if now.since(self.pruned) < PRUNE_INTERVAL {
            return;
        }
        self.pruned = now;
        let members = &self.parts.node.exchange.members;
        self.epochs.retain(|process, _| members.knows(process));
        self.loads.retain(|process, _| members.knows(process));
        let targets: BTreeSet<&id::TargetId> = members
            .known()
            .filter_map(|member| member.target.as_ref())
            .collect();
        self.trackers.retain(|_, tracker| {
            tracker.retain(|target| targets.contains(target));
            !tracker.is_empty()
        });
    }

    fn group(&mut self, now: time::Mono, service: &id::ServiceId, rows: &[member::Row]) -> Group {
        let mut targets = Vec::new();
        let mut agents = BTreeMap::new();
        for row in rows {
            // An agent that is only listed has no target yet; it may own claims.
            agents.insert(row.member.process.clone(), self.agent(row));
            if let Some(target) = &row.member.target {
                targets.push(self.target(now, target, row));
            }
        }
        let own = &self.parts.node.settings.process;
        let members = &self.parts.node.exchange.members;
        let loads = members.freshest(now, service, own, REPORTS);
        Group {
            view: view::View::new(targets, self.parts.tuning),
            agents,
            loads: loads.iter().map(convert::load_record).collect(),
        }
    }

    fn agent(&self, row: &member::Row) -> Agent {
        let epoch = self
            .epochs
            .get(&row.member.process)
            .filter(|(incarnation, _)| *incarnation == row.member.incarnation)
            .map_or(0, |(_, epoch)| *epoch);
        Agent {
            address: row.member.address,
            incarnation: row.member.incarnation,
            epoch,
        }
    }

    fn target(
        &mut self,
        now: time::Mono,
        target: &id::TargetId,
        row: &member::Row,
    ) -> view::Target {
        let process = &row.member.process;
        let conf = self.parts.node.conf();
        let weight = conf
            .target_override(target)
            .map_or(row.member.weight, |entry| {
                entry.weight.map_or(0, |weight| weight.get())
            });
        // The younger of the last stamp and the last report counts.
        let reported = now.0.saturating_sub(row.age.as_micros());
        let stamped = self.loads.get(process).copied();
        let (load, cap) = match stamped {
            Some(known) if known.at.0 >= reported => (known.load + known.sent, known.cap),
            Some(known) => (row.member.load + known.sent, row.member.cap),
            None => (row.member.load, row.member.cap),
        };
        view::Target {
            id: target.clone(),
            process: process.clone(),
            weight,
            centre: row.member.centre.clone(),
            standing: self.standing(now, target, row),
            load,
            cap,
        }
    }

    /// Returns the standing for the view; a target that comes back repeatedly
    /// must first stay up.
    fn standing(
        &mut self,
        now: time::Mono,
        target: &id::TargetId,
        row: &member::Row,
    ) -> view::Standing {
        let report = match row.standing {
            member::Standing::Listed => standing::Report::Listed,
            member::Standing::Warming => standing::Report::Warming,
            member::Standing::Up => standing::Report::Up,
            member::Standing::Leaving => standing::Report::Leaving,
            member::Standing::Down => standing::Report::Down,
        };
        let Some(service) = row.member.service.clone() else {
            return view::Standing::Listed;
        };
        let conf = self.parts.node.conf();
        let warm_up = conf.services().get(&service).map(|service| service.warm_up);
        let tracker = self.trackers.entry(service).or_insert_with(|| {
            standing::Tracker::new(standing::Tuning {
                warmup: warm_up.unwrap_or_default(),
                ..standing::Tuning::default()
            })
        });
        tracker.observe(now, target, row.member.incarnation, report)
    }
}
