//! A ledger under test whose events and actions are recorded as text.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{collections::BTreeMap, fmt::Write};

use base::{id, span::Span, time::Mono};
use once::{
    action::Action,
    batch, claim,
    epoch::Epoch,
    event::{Class, Link, Offer, Settle},
    ledger::{Ledger, Limits},
};

pub const AGENT: &str = "agent-a";

pub fn owner(agent: &str, incarnation: u64) -> claim::Owner {
    claim::Owner {
        agent: agent.parse().unwrap(),
        incarnation: id::Incarnation(incarnation),
    }
}

pub fn key(text: &str) -> claim::Key {
    claim::Key::new("orders".parse().unwrap(), "gifts".parse().unwrap(), text).unwrap()
}

pub fn digest(byte: u8) -> claim::Digest {
    claim::Digest([byte; 32])
}

pub fn keyed(text: &str, nonce: u128) -> Class {
    Class::Keyed {
        key: key(text),
        digest: digest(1),
        nonce: id::Nonce(nonce),
    }
}

pub fn response(body: &str) -> claim::Response {
    claim::Response {
        status: 200,
        headers: Vec::new(),
        body: claim::Body::Inline(claim::Content(body.as_bytes().to_vec())),
    }
}

pub fn row(version: u64, owner: claim::Owner, nonce: u128, state: claim::State) -> claim::Row {
    claim::Row {
        version,
        claim: claim::Claim {
            digest: digest(1),
            owner,
            nonce: id::Nonce(nonce),
            state,
        },
    }
}

/// Applies a transaction as the table does: all of it or nothing.
pub fn transact(table: &mut BTreeMap<String, claim::Row>, taken: &[claim::Ask]) -> batch::Outcome {
    let holds = |ask: &claim::Ask| match &ask.op {
        claim::Op::Write { condition, .. } => match condition {
            claim::Condition::Absent => !table.contains_key(&ask.key.row()),
            claim::Condition::Version(version) => table
                .get(&ask.key.row())
                .is_some_and(|row| row.version == *version),
        },
        claim::Op::Read => true,
    };
    if let Some(failed) = taken.iter().position(|ask| !holds(ask)) {
        let found = table.get(&taken[failed].key.row()).cloned();
        return batch::Outcome::Conflict(failed, found);
    }
    let mut versions = Vec::new();
    for ask in taken {
        let claim::Op::Write { claim, .. } = &ask.op else {
            continue;
        };
        let row = ask.key.row();
        let version = table.get(&row).map_or(1, |row| row.version + 1);
        let claim = claim.clone();
        table.insert(row, claim::Row { version, claim });
        versions.push(version);
    }
    batch::Outcome::Written(versions)
}

/// A ledger, the time, and the text of what has happened.
pub struct Session {
    pub ledger: Ledger,
    pub now: Mono,
    text: String,
}

impl Session {
    pub fn new() -> Self {
        Self::with(Limits::default())
    }

    pub fn with(limits: Limits) -> Self {
        Self {
            ledger: Ledger::new(owner(AGENT, 1), limits, Mono(0)),
            now: Mono(0),
            text: String::new(),
        }
    }

    pub fn wait(&mut self, span: Span) {
        self.now = self.now + span;
        let now = self.now;
        self.step(&format!("expire after {span}"), |ledger| ledger.expire(now));
    }

    /// Applies one event and records it with the actions it causes.
    pub fn step(
        &mut self,
        event: &str,
        apply: impl FnOnce(&mut Ledger) -> Vec<Action>,
    ) -> Vec<Action> {
        let actions = apply(&mut self.ledger);
        writeln!(self.text, "{event}").unwrap();
        for action in &actions {
            writeln!(self.text, "    {}", short(&action.to_string())).unwrap();
        }
        actions
    }

    pub fn offer(&mut self, request: u128, link: u64, class: Class) -> Vec<Action> {
        let now = self.now;
        let offer = Offer {
            id: id::RequestId(request),
            link: Link(link),
            incarnation: id::Incarnation(1),
            epoch: self.ledger.epoch(),
            class,
            remaining: Span::from_secs(30),
        };
        self.step(&format!("run {request} on link {link}"), |ledger| {
            ledger.offer(now, offer)
        })
    }

    pub fn admit(&mut self, request: u128) -> Vec<Action> {
        let now = self.now;
        self.step(&format!("admitted {request}"), |ledger| {
            ledger.admitted(now, id::RequestId(request))
        })
    }

    pub fn head(&mut self, request: u128, resumable: bool) -> Vec<Action> {
        self.step(&format!("head of {request}"), |ledger| {
            ledger.head(id::RequestId(request), resumable)
        })
    }

    pub fn progress(&mut self, request: u128, produced: u64, kept: u64) -> Vec<Action> {
        self.step(
            &format!("bytes {kept}..{produced} of {request}"),
            |ledger| ledger.progress(id::RequestId(request), produced, kept),
        )
    }

    pub fn complete(&mut self, request: u128, body: Option<&str>) -> Vec<Action> {
        let now = self.now;
        let total = body.map_or(100, |body| body.len() as u64);
        self.step(&format!("end of {request}"), |ledger| {
            ledger.complete(now, id::RequestId(request), total, body.map(response))
        })
    }

    pub fn settle(&mut self, request: u128, link: u64, offset: u64) -> Vec<Action> {
        let epoch = self.ledger.epoch();
        self.settle_from(request, link, offset, epoch)
    }

    pub fn settle_from(
        &mut self,
        request: u128,
        link: u64,
        offset: u64,
        epoch: Epoch,
    ) -> Vec<Action> {
        let now = self.now;
        let settle = Settle {
            id: id::RequestId(request),
            link: Link(link),
            incarnation: id::Incarnation(1),
            epoch,
            offset,
        };
        let event = format!("settle {request} from {offset} on link {link}");
        self.step(&event, |ledger| ledger.settle(now, settle))
    }

    pub fn lose(&mut self, request: u128, link: u64) -> Vec<Action> {
        let now = self.now;
        self.step(&format!("link {link} of {request} lost"), |ledger| {
            ledger.link_lost(now, id::RequestId(request), Link(link))
        })
    }

    pub fn cancel(&mut self, request: u128) -> Vec<Action> {
        let now = self.now;
        self.step(&format!("cancel {request}"), |ledger| {
            ledger.cancel(now, id::RequestId(request))
        })
    }

    pub fn table(&mut self, text: &str, nonce: u128, answer: claim::Answer) -> Vec<Action> {
        let now = self.now;
        let event = format!("table: {}", describe(&answer));
        self.step(&event, |ledger| {
            ledger.answered(now, &key(text), id::Nonce(nonce), answer)
        })
    }

    pub fn text(&self) -> &str {
        &self.text
    }
}

fn describe(answer: &claim::Answer) -> String {
    let row = |row: &Option<claim::Row>| match row {
        None => "no row".to_owned(),
        Some(row) => format!(
            "version {} {} by {}.{} nonce {}",
            row.version,
            match &row.claim.state {
                claim::State::Running => "running",
                claim::State::Abandoned => "abandoned",
                claim::State::Lost => "lost",
                claim::State::Done(_) => "done",
            },
            row.claim.owner.agent,
            row.claim.owner.incarnation,
            row.claim.nonce.0,
        ),
    };
    match answer {
        claim::Answer::Written(version) => format!("written as version {version}"),
        claim::Answer::Conflict(found) => format!("conflict with {}", row(found)),
        claim::Answer::Read(found) => format!("read {}", row(found)),
        claim::Answer::Unanswered => "no reply".to_owned(),
        claim::Answer::Unavailable => "unavailable".to_owned(),
    }
}

/// Writes ids without their leading zeros.
fn short(text: &str) -> String {
    let mut out = String::new();
    for word in text.split(' ') {
        if !out.is_empty() {
            out.push(' ');
        }
        match word.split_once('=') {
            Some((name @ ("request" | "of"), id)) => {
                let id = id.trim_start_matches('0');
                write!(out, "{name}={id}").unwrap();
            }
            _ => out.push_str(word),
        }
    }
    out
}
