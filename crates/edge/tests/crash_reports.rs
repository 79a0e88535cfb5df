//! A fleet of routers in which each sees at most one of the crashes that a prompt
//! part causes.

use std::collections::{BTreeMap, BTreeSet};

use admit::crash_parts::{Crash, CrashParts};
use base::{
    id::{PartHash, ServiceId},
    time::Mono,
};
use edge::{crash_reports, update::Update};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const FIRST: PartHash = PartHash(1);
const SECOND: PartHash = PartHash(2);
const DEADLY: PartHash = PartHash(3);

/// Part of a document, which few requests have.
const DOCUMENT: PartHash = PartHash(4);

/// Time without crashes before the first request with the deadly part and the
/// document, in milliseconds.
const CALM: u64 = 6_000;

/// Share of crashes at which a sound request with the document is in flight.
const BYSTANDERS: f64 = 0.1;

/// Time of one step of the simulation, in milliseconds.
const STEP: u64 = 50;

/// Steps between two rounds of updates.
const ROUND: u64 = 4;

/// Time from the sending of a request with the part to the crash, in milliseconds.
const CRASH_TIME: u64 = 400;

/// Number of peers that a router reaches in a round.
const FANOUT: usize = 4;

/// Chance that a datagram is lost.
const LOSS: f64 = 0.2;

/// Number of requests with the part that may reach targets later than the time
/// allowed after the fifth crash.
const ALLOWED: usize = 3;

/// How the fleet and its requests are made up.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    routers: usize,
    /// Steps between two groups of requests with the part.
    interval: u64,
    /// Number of requests with the part that are sent at once.
    group: usize,
    /// Time allowed after the fifth crash, in milliseconds.
    contact: u64,
    /// Whether the first router receives no updates and is not heard.
    cut: bool,
    /// Time at which the last router loses what it knows, in milliseconds.
    restart: Option<u64>,
    /// Steps between two sound requests with the document, which all requests
    /// with the deadly part have then in place of other parts.
    document: Option<u64>,
    /// Whether crashes begin after a calm time only, and of the first one only a sound
    /// request with the document is known.
    partial: bool,
}

impl Scenario {
    /// Returns the parts of a request that crashes its target.
    fn deadly(&self) -> &'static [PartHash] {
        match self.document {
            Some(_) => &[DEADLY, DOCUMENT],
            None => &[FIRST, SECOND, DEADLY],
        }
    }
}

/// A request that will crash its target.
struct Flight {
    router: usize,
    target: u64,
    sent: u64,
    levels: Vec<u32>,
}

struct Fleet {
    scenario: Scenario,
    rng: SmallRng,
    routers: Vec<CrashParts>,
    flights: Vec<Flight>,
    crashes: Vec<u64>,
    late: usize,
    sound_refused: usize,
    /// Sound requests with the document from twice the contact time after the fifth
    /// crash on, and how many of them were refused.
    asked: usize,
    turned_away: usize,
}

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn service() -> ServiceId {
    "model".parse().expect("an id")
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            routers: vec![CrashParts::default(); scenario.routers],
            flights: Vec::new(),
            crashes: Vec::new(),
            late: 0,
            sound_refused: 0,
            asked: 0,
            turned_away: 0,
        }
    }

    fn run(&mut self, millis: u64) {
        for step in 20..millis / STEP {
            let now = step * STEP;
            if self.scenario.restart == Some(now) {
                *self.routers.last_mut().expect("a router") = CrashParts::default();
            }
            self.answer(now);
            let is_calm = self.scenario.partial && now < CALM;
            if step % self.scenario.interval == 0 && !is_calm {
                for _ in 0..self.scenario.group {
                    self.send_deadly(now);
                }
            }
            if self.scenario.document.is_some_and(|it| step % it == 0) {
                self.send_document(now);
            }
            self.crash(now);
            if step % ROUND == 0 {
                self.exchange(now);
            }
        }
    }

    /// Lets sound requests begin that share parts with the others.
    fn answer(&mut self, now: u64) {
        for router in &mut self.routers {
            let own = PartHash(self.rng.random_range(100..200));
            let parts = match self.rng.random_range(0..8) {
                0 => vec![FIRST, SECOND],
                1..4 => vec![FIRST, own],
                4..6 => vec![own],
                _ => continue,
            };
            let refused = router.refuses(at(now), parts.iter().copied(), 1, 0.5);
            self.sound_refused += usize::from(refused.is_some());
            if refused.is_none() && now > 600 {
                let parts = parts.into_iter();
                router.record_answered(at(now), &service(), at(now - 500), parts);
            }
        }
    }

    /// Returns the parts of a request of the usual traffic.
    fn usual(&mut self) -> [PartHash; 2] {
        let own = PartHash(self.rng.random_range(100..200));
        [
            FIRST,
            if self.rng.random_bool(0.3) {
                SECOND
            } else {
                own
            },
        ]
    }

    /// Answers requests of the usual traffic at some routers.
    fn answer_usual(&mut self, now: u64) {
        for router in 0..self.routers.len() {
            let parts = self.usual().into_iter();
            if self.rng.random_bool(0.5) {
                self.routers[router].record_answered(at(now), &service(), at(now - 500), parts);
            }
        }
    }

    /// Crashes a target with up to four requests of the usual traffic.
    fn crash_usual(&mut self, now: u64, target: u64) {
        for _ in 0..self.rng.random_range(0..5) {
            let router = self.rng.random_range(0..self.routers.len());
            let parts = self.usual();
            let sent = now - 150;
            let flight = Flight {
                router,
                target,
                sent,
                levels: self.routers[router].levels(at(sent), parts.into_iter()),
            };
            self.record(now, &flight, &parts);
        }
    }

    /// Sends a sound request with the document, which is answered.
    fn send_document(&mut self, now: u64) {
        let router = self.rng.random_range(0..self.routers.len());
        let parts = [FIRST, DOCUMENT].into_iter();
        let refused = self.routers[router].refuses(at(now), parts.clone(), 1, 0.5);
        let last = self.crashes.iter().take(5).next_back();
        if last.is_some_and(|last| now > last + 2 * self.scenario.contact) {
            self.asked += 1;
            self.turned_away += usize::from(refused.is_some());
        }
        if refused.is_none() {
            self.routers[router].record_answered(at(now + 500), &service(), at(now), parts);
        }
    }

    fn send_deadly(&mut self, now: u64) {
        let router = self.rng.random_range(0..self.routers.len());
        let parts = self.scenario.deadly().iter().copied();
        let count = self.scenario.routers as u32;
        let random = self.rng.random();
        let refused = self.routers[router].refuses(at(now), parts, count, random);
        if refused.is_some() {
            return;
        }
        let fifth = self.crashes.get(4);
        let over = fifth.is_some_and(|fifth| now > fifth + self.scenario.contact);
        self.late += usize::from(over);
        let target = self.rng.random_range(0..10_000);
        let parts = self.scenario.deadly().iter().copied();
        let levels = self.routers[router].levels(at(now), parts);
        self.flights.push(Flight {
            router,
            target,
            sent: now,
            levels,
        });
    }

    /// Crashes the targets of requests with the part. Routers with other requests
    /// there, which are not answered yet, see the crash too.
    fn crash(&mut self, now: u64) {
        let (due, waiting) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.sent + CRASH_TIME <= now);
        self.flights = waiting;
        let due: Vec<Flight> = due;
        for flight in due {
            self.crashes.push(now);
            let is_first = self.scenario.partial && self.crashes.len() == 1;
            let is_shared = self.scenario.document.is_some() && self.rng.random_bool(BYSTANDERS);
            if is_first || is_shared {
                self.record(now, &flight, &[FIRST, DOCUMENT]);
            }
            if !is_first {
                self.record(now, &flight, self.scenario.deadly());
            }
            for _ in 0..3 {
                let router = self.rng.random_range(0..self.routers.len());
                let own = PartHash(self.rng.random_range(100..200));
                let second = if self.rng.random() { SECOND } else { own };
                let parts = [FIRST, second];
                let sent = now - 150;
                let other = Flight {
                    router,
                    sent,
                    levels: self.routers[router].levels(at(sent), parts.into_iter()),
                    ..flight
                };
                self.record(now, &other, &parts);
            }
        }
    }

    fn record(&mut self, now: u64, flight: &Flight, parts: &[PartHash]) {
        let sent = at(flight.sent);
        let mut crash = Crash {
            target: flight.target,
            service: service(),
            at: at(now),
            suspects: BTreeMap::new(),
            prompts: BTreeSet::new(),
        };
        crash.add_prompt(parts.iter().copied(), &flight.levels);
        self.routers[flight.router].record_crash(at(now), sent, crash);
    }

    fn exchange(&mut self, now: u64) {
        for sender in 0..self.routers.len() {
            self.routers[sender].evaluate(at(now));
            let report = self.routers[sender].report(at(now));
            let mut update = Update::default();
            let round = usize::try_from(now / STEP / ROUND).expect("a number");
            crash_reports::write(&mut update, at(now), &report, round);
            let datagram = update.encode_to_vec();
            for _ in 0..FANOUT {
                let receiver = self.rng.random_range(0..self.routers.len());
                let is_cut = self.scenario.cut && (sender == 0 || receiver == 0);
                if !is_cut && self.rng.random::<f64>() >= LOSS {
                    let update = Update::decode(&datagram[..]).expect("an update");
                    let report = crash_reports::read(&update, at(now));
                    self.routers[receiver].merge(at(now), report);
                }
            }
        }
        if self.scenario.cut {
            self.exchange_stored(now);
        }
    }

    /// Gives the first router what the others have stored in the table.
    fn exchange_stored(&mut self, now: u64) {
        let stored: Vec<_> = self.routers[1..]
            .iter()
            .flat_map(CrashParts::refused)
            .cloned()
            .collect();
        for parts in stored {
            self.routers[0].adopt_stored(at(now), parts);
        }
    }
}

fn play(scenario: Scenario) {
    for seed in 0..20 {
        let mut fleet = Fleet::new(scenario, seed);
        fleet.run(30_000);
        let label = format!("{scenario:?}, seed {seed}");
        assert!(fleet.late <= ALLOWED, "{label}: {} sent", fleet.late);
        assert_eq!(fleet.sound_refused, 0, "{label}");
        let crashes = fleet.crashes.len();
        assert!(crashes >= 3, "{label}: {crashes} crashes");
        let (asked, refused) = (fleet.asked, fleet.turned_away);
        assert!(
            refused * 2 <= asked,
            "{label}: {refused} of {asked} refused"
        );
    }
}

const SMALL: Scenario = Scenario {
    routers: 4,
    interval: 20,
    group: 1,
    contact: 3_000,
    cut: false,
    restart: None,
    document: None,
    partial: false,
};

#[test]
fn few_routers() {
    play(SMALL);
}

#[test]
fn hundred_routers() {
    play(Scenario {
        routers: 103,
        interval: 4,
        contact: 5_000,
        ..SMALL
    });
}

/// Several requests come at the same moment, and the next ones sooner or later than the
/// time allowed after the fifth crash: the part is refused before the later ones.
#[test]
fn groups() {
    for (routers, contact, groups) in [
        (4, 3_000, &[2, 3, 4, 5, 6, 12][..]),
        (29, 4_000, &[3, 5, 12]),
        (103, 5_000, &[6]),
    ] {
        for group in groups {
            for interval in [50, contact / STEP + 10] {
                play(Scenario {
                    routers,
                    interval,
                    group: *group,
                    contact,
                    ..SMALL
                });
            }
        }
    }
}

/// Targets crash together three times for another reason, all of them or those of one
/// data centre, with requests of the usual parts and of a popular one. They are back
/// after some seconds, and the others answer on.
#[test]
fn targets_down() {
    for (routers, targets, crashed, back) in [
        (4, 18, 18, 3_000),
        (29, 50, 50, 3_000),
        (29, 50, 50, 500),
        (4, 18, 6, 3_000),
        (29, 50, 17, 3_000),
    ] {
        for seed in 0..20 {
            let mut fleet = Fleet::new(Scenario { routers, ..SMALL }, seed);
            for step in 20..600 {
                let now = step * STEP;
                // The crashes are at 5, 11 and 17 s.
                let event = (now + 1_000) / 6_000;
                let since = (now + 1_000) % 6_000;
                let is_down = (1..4).contains(&event) && since < back;
                if !is_down || crashed < targets {
                    fleet.answer_usual(now);
                }
                if is_down && since == 0 {
                    for target in 0..crashed {
                        fleet.crash_usual(now, event * 1_000 + target);
                    }
                }
                if step % ROUND == 0 {
                    fleet.exchange(now);
                }
                let refused: usize = fleet.routers.iter().map(|it| it.refused().count()).sum();
                assert_eq!(
                    refused, 0,
                    "{routers}, {crashed} of {targets}, {seed}, {now}"
                );
            }
        }
    }
}

/// The requests come so often that many of them are sent before the first crash
/// is known.
#[test]
fn many_requests() {
    play(Scenario {
        routers: 29,
        interval: 1,
        contact: 4_000,
        ..SMALL
    });
}

/// A router that exchanges no updates with the others learns from the table.
#[test]
fn cut_router() {
    play(Scenario { cut: true, ..SMALL });
}

#[test]
fn restarted_router() {
    for restart in [6_000, 15_000] {
        play(Scenario {
            restart: Some(restart),
            ..SMALL
        });
    }
}

/// A single router sees all crashes and hears of none.
#[test]
fn single_router() {
    play(Scenario {
        routers: 1,
        ..SMALL
    });
}

/// Plays 1, 4 and 29 routers with sound requests at these intervals, and crashing ones
/// ten times, twice and once in two seconds.
fn play_documents(documents: &[u64], partial: bool) {
    for routers in [1, 4, 29] {
        for document in documents {
            for interval in [2, 9, 40] {
                play(Scenario {
                    routers,
                    interval,
                    document: Some(*document),
                    partial,
                    ..SMALL
                });
            }
        }
    }
}

/// Sound requests share a part with those that crash targets, and are too rare to be
/// answered between the crashes. At some crashes a sound one is in flight.
#[test]
fn rare_document() {
    play_documents(&[30, 100, 250], false);
}

/// The sound requests were answered before the first crash, of which only one of them
/// is known.
#[test]
fn partial_first_crash() {
    play_documents(&[30, 90], true);
}

/// The same, but no request with the document was answered before.
#[test]
fn partial_unanswered() {
    play_documents(&[250], true);
}

/// Messages of any size and content leave out what does not fit.
#[test]
fn full_update() {
    let mut tracker = CrashParts::default();
    for target in 0..60 {
        let mut crash = Crash {
            target,
            service: service(),
            at: at(1_000 + target),
            suspects: BTreeMap::new(),
            prompts: BTreeSet::new(),
        };
        crash.add_prompt((0..40).map(|part| PartHash(target * 100 + part)), &[]);
        tracker.record_crash(at(2_000), at(900), crash);
    }
    for part in 0..100 {
        tracker.adopt_stored(at(2_000), PartHash(10_000 + part).into());
    }
    let report = tracker.report(at(2_000));
    let mut seen = std::collections::BTreeSet::new();
    for round in 0..13 {
        let mut update = Update::default();
        crash_reports::write(&mut update, at(2_000), &report, round);
        assert!(update.encoded_len() < 1_000, "{}", update.encoded_len());
        let read = crash_reports::read(&update, at(2_000));
        seen.extend(read.refused.into_iter().map(|refused| refused.parts));
    }
    assert_eq!(seen.len(), 100, "the refused parts take turns");
}
