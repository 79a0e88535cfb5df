//! Decides what happens to a request: whether it is refused because of the load,
//! and else which target gets it.
//!
//! Pure: what the router believes and what the request asks go in.
//! [`crate::handler`] carries the decisions out, and the lab plays them against a
//! model of the targets. See [the design page](../../../docs/design.md),
//! section 6.3.

use std::{net::SocketAddr, sync::Arc};

use admit::shed;
use base::{id, rate, span, time};
use place::{
    cost,
    pace::{self, Pace, Task},
};

use crate::fleet::{Chain, Target};

/// How the targets of a service work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capabilities {
    /// Whether they are engines, which batch requests and keep prompts.
    pub engines: bool,
    /// Whether engines fetch prompt parts from one another.
    pub fetches: bool,
}

/// What the router believes of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceState<'a> {
    /// Its targets.
    pub targets: &'a [Arc<Target>],
    /// How they work; nothing is known of services without a configuration.
    pub capabilities: Option<Capabilities>,
    /// How fast they are.
    pub pace: &'a Pace,
    /// The router's data centre.
    pub centre: &'a id::DataCentre,
    /// Requests that this router sends.
    pub rate: rate::Rate,
    /// Routers, this one included.
    pub routers: u32,
    /// Usual age of what is known of the requests of others.
    pub staleness: span::Span,
    /// Largest load of a target, relative to the mean.
    pub load_factor: f64,
}

/// What a request asks.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The parts of its prompt.
    pub chain: &'a Chain,
    /// Targets that are not asked again.
    pub tried: &'a [id::TargetId],
    /// Draws the targets that are looked at.
    pub seed: u64,
}

/// A target for the next attempt.
#[derive(Clone, Debug)]
pub struct Selection {
    /// The target.
    pub target: Arc<Target>,
    /// Where it fetches the prompt parts that it lacks.
    pub source: Option<SocketAddr>,
    /// Prompt tokens that it lacks.
    pub missing: u32,
    /// What the request asks of it.
    pub task: Task,
    /// Requests believed to be there before this one.
    pub load: u32,
    /// How it was chosen.
    pub choice: cost::Choice,
}

/// A refusal because of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shed {
    /// When the caller should come back.
    pub after: span::Span,
    /// Time of work of the service, if it is known.
    pub work: Option<span::Span>,
}

impl ServiceState<'_> {
    /// Returns the best target, if one takes work.
    pub fn select(&self, now: time::Mono, query: Query) -> Option<Selection> {
        let mut candidates = Vec::with_capacity(self.targets.len());
        for target in self.targets {
            let mut candidate = target.candidate(now, query.chain, self.centre);
            candidate.open &= !query.tried.contains(&target.row.id);
            candidates.push(candidate);
        }
        let prompt = cost::Prompt {
            part: query.chain.shared().last().map(|part| part.0),
            own: query.chain.own(),
            fetches: self
                .capabilities
                .is_some_and(|capabilities| capabilities.fetches),
        };
        let spill = cost::Spill::below(self.load_factor);
        let rates = cost::Rates::from(self.pace);
        let choice = cost::choose(
            &candidates,
            prompt,
            spill,
            self.unseen_requests(),
            rates,
            query.seed,
        )?;
        let chosen = candidates[choice.index];
        let read = choice
            .source
            .map_or(chosen.missing, |source| candidates[source].missing);
        Some(Selection {
            target: self.targets[choice.index].clone(),
            source: choice.source.map(|source| self.targets[source].row.address),
            missing: chosen.missing,
            task: self.task(chosen, read),
            load: chosen.load,
            choice,
        })
    }

    /// Returns what a request asks of a candidate where it reads some tokens.
    fn task(&self, chosen: cost::Candidate, read: u32) -> Task {
        let engine = self
            .capabilities
            .is_some_and(|capabilities| capabilities.engines);
        let tokens = read.saturating_add(chosen.pending);
        match engine {
            true => Task {
                tokens,
                waits: pace::batch(chosen.load),
                ..Task::default()
            },
            false => Task {
                tokens,
                turns: shed::turns(chosen.load, chosen.slots),
                ..Task::default()
            },
        }
    }

    /// Returns what the other routers do at the same time: each is taken to get as
    /// many requests as this one.
    fn unseen_requests(&self) -> cost::Crowd {
        let others = f64::from(self.routers.saturating_sub(1));
        cost::Crowd {
            unseen: self.rate.0 * others * self.staleness.as_secs_f64(),
        }
    }

    /// Returns whether a request is refused because the service's targets have too
    /// much work for it; `random` are two numbers from 0 to 1.
    pub fn shed(
        &self,
        selection: &Selection,
        request: shed::Request,
        random: [f64; 2],
    ) -> Option<Shed> {
        let turns = shed::turns(selection.load, selection.target.row.slots);
        // Queues that this router does not know of count too.
        let work = self.pace.is_known().then(|| {
            let expected = self.pace.expect_now(selection.task).as_micros() as f64;
            span::Span::from_micros((expected / selection.task.turns) as u64)
        });
        let probability = match (self.capabilities, work) {
            (Some(capabilities), _) if capabilities.engines => {
                shed::engines_part(selection.choice.fill.percent(), request)
            }
            (_, Some(work)) => shed::plain_part(work, turns, request),
            _ => 0.0,
        };
        (random[0] < probability).then(|| Shed {
            after: shed::after(probability, request, random[1]),
            work,
        })
    }
}
