//! Decides whether a request is shed because of the load and, if not, which
//! target receives it.
//!
//! The functions have no side effects: the router's view of the service and the
//! request are their inputs. [`crate::handler`] carries out the decisions; the
//! lab runs them against simulated targets. See
//! [the design page](../../../docs/design.md), section 6.3.

use std::{net::SocketAddr, sync::Arc};

use admit::shed;
use base::{id, rate, span, time};
use place::{
    contention::ContentionModel,
    cost,
    latency::{self, LatencyModel, Task},
    region::Placement,
};

use crate::{
    cold::{ColdLimit, Ramp},
    fleet::{PrefixChain, Target},
};

/// Properties of a service's targets that affect the choice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capabilities {
    /// Whether they are engines, which batch requests and cache prompt parts.
    pub engines: bool,
    /// Whether engines fetch cached prompt parts from one another.
    pub fetches: bool,
}

/// The router's current view of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceState<'a> {
    /// Targets of the service.
    pub targets: &'a [Arc<Target>],
    /// Properties of the targets; `None` if the configuration does not contain the
    /// service.
    pub capabilities: Option<Capabilities>,
    /// Latency model of the targets.
    pub latency: &'a LatencyModel,
    /// Contention at the targets.
    pub contention: ContentionModel,
    /// The router's data centre.
    pub centre: &'a id::DataCentre,
    /// Rate at which this router sends requests to the service.
    pub rate: rate::Rate,
    /// Number of routers, including this one.
    pub routers: u32,
    /// Typical age of the load reports from other routers.
    pub staleness: span::Span,
    /// Highest load that a target may have, relative to the mean.
    pub load_factor: f64,
    /// Data centres in which the request may run.
    pub placement: Placement<'a>,
    /// Limit of the requests to cold targets, if there is one.
    pub cold: Option<&'a ColdLimit>,
}

/// The properties of a request that affect the choice.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Hashes of the request's prompt parts.
    pub chain: &'a PrefixChain,
    /// Targets that already received the request; they are excluded.
    pub tried: &'a [id::TargetId],
    /// Seed for the choice of candidate targets.
    pub seed: u64,
}

/// The target selected for the next attempt.
#[derive(Clone, Debug)]
pub struct Selection {
    /// The target.
    pub target: Arc<Target>,
    /// Address from which the target fetches the prompt parts that it has not cached.
    pub source: Option<SocketAddr>,
    /// Prompt tokens that the target has not cached.
    pub missing: u32,
    /// Work that the request causes at the target.
    pub task: Task,
    /// Estimated number of requests at the target, without this one.
    pub load: u32,
    /// Whether the target is cold.
    pub cold: bool,
    /// Number of cold targets that were left out because of their limit.
    pub withheld: u32,
    /// How much longer work takes there than at a typical target because of
    /// contention, in percent, and the age of the figure that says so.
    pub contention: Option<(i32, span::Span)>,
    /// Details of the choice, for the log.
    pub choice: cost::Choice,
}

/// A decision to shed a request because of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shed {
    /// Time after which the caller should retry.
    pub after: span::Span,
    /// Expected time that the service works on the request, without the time in
    /// the queue, if known.
    pub work: Option<span::Span>,
}

/// What the choice among the targets of a service depends on.
struct Inputs {
    /// The targets, with the loads that the choice assumes.
    candidates: Vec<cost::Candidate>,
    /// Targets that were cold until recently, and by how much their loads were raised.
    ramps: Vec<(usize, u32)>,
    /// Cold targets that were left out because of their limit.
    withheld: Vec<usize>,
    prompt: cost::Prompt,
    spill: cost::SpillFactor,
    timings: cost::Timings,
}

/// How the choice regards one target.
#[derive(Clone, Copy, Debug)]
pub struct Assessed {
    /// The properties of the target.
    pub candidate: cost::Candidate,
    /// Whether it was left out because of the limit of cold targets.
    pub is_withheld: bool,
    /// How it compares with the other targets.
    pub assessment: cost::Assessment,
}

impl ServiceState<'_> {
    /// Returns the targets and the prompt as the choice regards them.
    fn inputs(&self, now: time::Mono, query: Query) -> Inputs {
        let mut candidates = Vec::with_capacity(self.targets.len());
        let mut withheld = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            let mut candidate = target.candidate(now, query.chain, self.centre);
            candidate.accepting &= !query.tried.contains(&target.row.id);
            candidate.excluded = self.excludes(target);
            candidate.accepting &= !candidate.excluded;
            if candidate.accepting && self.cold.is_some_and(|cold| !cold.may_send(now, target)) {
                candidate.accepting = false;
                withheld.push(index);
            }
            if self.contention.is_known() {
                candidate.contention = self.contention.excess(now, target.contention());
            }
            candidates.push(candidate);
        }
        let ramps = self.ramp_loads(now, &mut candidates);
        let prompt = cost::Prompt {
            part: query.chain.shared().last().map(|part| part.0),
            own: query.chain.own(),
            fetches: self
                .capabilities
                .is_some_and(|capabilities| capabilities.fetches),
        };
        Inputs {
            candidates,
            ramps,
            withheld,
            prompt,
            spill: cost::SpillFactor::below(self.load_factor),
            timings: cost::Timings::from(self.latency),
        }
    }

    /// Returns how [`Self::select`] regards each target, in the order of the targets.
    pub fn assess(&self, now: time::Mono, query: Query) -> Vec<Assessed> {
        let inputs = self.inputs(now, query);
        let mut assessments = cost::assess(
            &inputs.candidates,
            inputs.prompt,
            inputs.spill,
            self.unseen_requests(),
            inputs.timings,
            query.seed,
        )
        .into_iter();
        let mut candidates = inputs.candidates;
        for (index, added) in inputs.ramps {
            candidates[index].load -= added;
        }
        let candidates = candidates.into_iter().enumerate();
        let assessed = candidates.filter_map(|(index, candidate)| {
            Some(Assessed {
                candidate,
                is_withheld: inputs.withheld.contains(&index),
                assessment: assessments.next()?,
            })
        });
        assessed.collect()
    }

    /// Selects the best target, or returns `None` if no target accepts requests.
    pub fn select(&self, now: time::Mono, query: Query) -> Option<Selection> {
        let Inputs {
            mut candidates,
            ramps,
            withheld,
            prompt,
            spill,
            timings,
        } = self.inputs(now, query);
        let mut choice = cost::choose(
            &candidates,
            prompt,
            spill,
            self.unseen_requests(),
            timings,
            query.seed,
        )?;
        let ramped: u64 = ramps.iter().map(|(_, added)| u64::from(*added)).sum();
        choice.utilization.load = choice.utilization.load.saturating_sub(ramped);
        for (index, added) in ramps {
            candidates[index].load -= added;
        }
        let chosen = candidates[choice.index];
        let read = choice
            .source
            .map_or(chosen.missing, |source| candidates[source].missing);
        let figure = self.targets[choice.index].contention();
        Some(Selection {
            contention: figure.map(|figure| (chosen.contention, now.since(figure.at))),
            target: self.targets[choice.index].clone(),
            source: choice.source.map(|source| self.targets[source].row.address),
            missing: chosen.missing,
            task: self.task(chosen, read),
            load: chosen.load,
            cold: self
                .cold
                .is_some_and(|_| self.targets[choice.index].cold().is_cold(now)),
            withheld: withheld.len() as u32,
            choice,
        })
    }

    /// Raises the loads of targets that were cold until recently, and returns by how
    /// much. Such targets are idle, and all routers would send to a data centre that
    /// returns as a whole. What a target lacks to the mean load of the others is
    /// added to its load at first, and less and less of it later, so that its load
    /// rises evenly to the mean within the cold time.
    fn ramp_loads(&self, now: time::Mono, candidates: &mut [cost::Candidate]) -> Vec<(usize, u32)> {
        let Some(cold) = self.cold else {
            return Vec::new();
        };
        let mut ramps = Vec::new();
        let (mut others, mut load) = (0_u32, 0_u32);
        for (index, target) in self.targets.iter().enumerate() {
            let candidate = candidates[index];
            if !candidate.accepting {
                continue;
            }
            match cold.ramp(now, target, candidate.load) {
                Some(ramp) => ramps.push((index, ramp)),
                None => (others, load) = (others + 1, load.saturating_add(candidate.load)),
            }
        }
        let mean = f64::from(load) / f64::from(others.max(1));
        let raise = |(index, ramp): (usize, Ramp)| {
            let added = ramp.missing_load(mean).round() as u32;
            candidates[index].load = candidates[index].load.saturating_add(added);
            (index, added)
        };
        ramps.into_iter().map(raise).collect()
    }

    /// Returns the time until the first of the targets that asked for no requests
    /// gets some again.
    pub fn pause(&self, now: time::Mono) -> Option<span::Span> {
        let paused = self.targets.iter().filter(|target| !self.excludes(target));
        paused.filter_map(|target| target.paused_for(now)).min()
    }

    /// Returns whether the request may not run in the data centre of a target.
    fn excludes(&self, target: &Target) -> bool {
        self.placement.exclusion(&target.row.centre).is_some()
    }

    /// Returns whether the service has targets, and the request may run in the data
    /// centre of none.
    pub fn excludes_all(&self) -> bool {
        let mut targets = self.targets.iter();
        !self.targets.is_empty() && targets.all(|target| self.excludes(target))
    }

    /// Returns the work that a request causes at a candidate that has to process
    /// `read` prompt tokens.
    fn task(&self, candidate: cost::Candidate, read: u32) -> Task {
        let engine = self
            .capabilities
            .is_some_and(|capabilities| capabilities.engines);
        let tokens = read.saturating_add(candidate.pending);
        match engine {
            true => Task {
                tokens,
                batch_wait: latency::batch_wait(candidate.load),
                ..Task::default()
            },
            false => Task {
                tokens,
                queue_rounds: shed::rounds(candidate.load, candidate.slots),
                ..Task::default()
            },
        }
    }

    /// Estimates the requests that other routers have sent since their latest load
    /// reports, on the assumption that each has the same request rate as this one.
    fn unseen_requests(&self) -> cost::PeerTraffic {
        let others = f64::from(self.routers.saturating_sub(1));
        cost::PeerTraffic {
            unseen: self.rate.0 * others * self.staleness.as_secs_f64(),
        }
    }

    /// Decides whether to shed a request because the service's targets are
    /// overloaded. `random` holds two numbers from 0 to 1: one for the decision,
    /// one to vary the time before a retry.
    pub fn shed(
        &self,
        selection: &Selection,
        request: shed::RequestInfo,
        random: [f64; 2],
    ) -> Option<Shed> {
        let (probability, work) = self.shed_probability(selection, request);
        (random[0] < probability).then(|| Shed {
            after: shed::retry_after(probability, request, random[1]),
            work,
        })
    }

    /// Returns the probability that a request is shed, and the expected time that the
    /// service works on it, if known.
    pub fn shed_probability(
        &self,
        selection: &Selection,
        request: shed::RequestInfo,
    ) -> (f64, Option<span::Span>) {
        let rounds = shed::rounds(selection.load, selection.target.row.slots);
        // The estimate includes queueing that this router's load reports do not show.
        let work = self.latency.is_ready().then(|| {
            let expected = self.latency.predict_current(selection.task).as_micros() as f64;
            span::Span::from_micros((expected / selection.task.queue_rounds) as u64)
        });
        let probability = match (self.capabilities, work) {
            (Some(capabilities), _) if capabilities.engines => {
                shed::engine_fraction(selection.choice.utilization.percent(), request)
            }
            (_, Some(work)) => shed::plain_fraction(work, rounds, request),
            _ => 0.0,
        };
        (probability, work)
    }
}
