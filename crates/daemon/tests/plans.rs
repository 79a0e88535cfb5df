//! Guards planned changes against cut requests, work at a target that a plan
//! keeps out, and orders that a target carries out twice or in the wrong order.
//!
//! The deployment runs in this process; agents that are killed or stopped are
//! processes of the shipped binary.

mod operator;

use std::time::{Duration, Instant};

use base::{span, time::Mono};
use bench::{
    child::Program,
    client::Caller,
    deploy::{Deployment, MARSHALS, Running},
    site::Site,
};
use conf::state;
use fakes::{engine, fault};
use operator::{
    DEPLOYMENT, Desk, LOADS, PLAN_TIME, assert_whole, chat, load, loading, name, options, roll,
    start, target,
};
use plan::plan::{Kind, Operation, Plan, Stage, State};
use roles::plans::{self, PlanError};
use tokio::time;
use tokio_util::sync::CancellationToken;

/// A drain that cuts a stream, or that does not keep new work away, breaks the
/// promises about leaving targets.
#[tokio::test(flavor = "multi_thread")]
async fn drain_whole() {
    let engine = engine::Options {
        pace: span::Span::from_millis(40),
        ..engine::Options::fast()
    };
    let _alone = DEPLOYMENT.lock().await;
    let running = start(3, engine).await;
    let desk = Desk::new(&running, 3, true);
    let router = running.callers()[0];
    let stream = tokio::spawn(async move {
        let caller = Caller::default();
        caller.send(router, chat("long", 800)).await
    });
    let busy = busy_engine(&running).await;

    desk.create("drain", Kind::Drain, &[busy], 1, 2).await;
    let what = "the target is not kept out";
    desk.until("drain", what, |plan| plan.excludes(&target(busy)))
        .await;
    time::sleep(Duration::from_secs(3)).await;
    let runs = |number: usize| running.engines[number].engine.read(|r| r.executions.len());
    let before = runs(busy);
    let caller = Caller::default();
    for number in 0..40 {
        let call = chat(&format!("chat {number}"), 2);
        assert_whole(&caller.send(router, call).await);
    }
    assert_eq!(runs(busy), before, "a drained engine got new work");
    assert!(!stream.is_finished(), "the stream ended before the check");
    let plan = desk.plan("drain").await.unwrap().plan;
    assert_eq!(plan.state, State::Running, "a drain ended with work left");

    assert_whole(&stream.await.unwrap());
    let plan = desk.state("drain", State::Done).await;
    assert!(plan.excludes(&target(busy)));
    running.stop().await;
}

/// A new run of an agent that serves before it has read the rows gives work to a
/// target that a plan keeps out.
#[tokio::test(flavor = "multi_thread")]
async fn drained_restart() {
    let _alone = DEPLOYMENT.lock().await;
    let mut running = start(2, engine::Options::fast()).await;
    let desk = Desk::new(&running, 2, true);
    desk.create("drain", Kind::Drain, &[0], 1, 1).await;
    desk.state("drain", State::Done).await;
    // The new run reads the rows late, and routers send it work before that.
    let delay = span::Span::from_millis(1500);
    running.table.faults(|faults| faults.delay = delay);
    let runs = |running: &Running| running.engines[0].engine.read(|r| r.executions.len());
    let before = runs(&running);
    let address = running.engines[0].engine.address();
    let kind = state::Kind::Engine;
    let agent = running.start_agent("crew-0", 0, "crew", kind, address);
    let agent = agent.await.unwrap();
    let old = std::mem::replace(&mut running.engines[0].agent, agent);
    old.stop.cancel();
    old.task.await.unwrap();

    let end = Instant::now() + Duration::from_secs(5);
    for number in 0.. {
        if Instant::now() > end {
            break;
        }
        let call = chat(&format!("chat {number}"), 2);
        assert_whole(&Caller::default().send(running.callers()[0], call).await);
    }
    assert_eq!(runs(&running), before, "a drained engine got new work");
    running.stop().await;
}

/// An agent that starts while the table is down must not wait for the table.
#[tokio::test(flavor = "multi_thread")]
async fn start_without_table() {
    let _alone = DEPLOYMENT.lock().await;
    let mut running = start(1, engine::Options::fast()).await;
    running
        .table
        .faults(|faults| faults.outage = fault::Outage::Refuse);
    let slot = running.start_engine(1).await.unwrap();
    running.engines.push(slot);
    let end = Instant::now() + PLAN_TIME;
    for number in 0.. {
        let runs = running.engines[1].engine.read(|r| r.executions.len());
        if runs > 0 {
            break;
        }
        assert!(Instant::now() < end, "the new agent does not serve");
        let call = chat(&format!("chat {number}"), 2);
        assert_whole(&Caller::default().send(running.callers()[0], call).await);
        time::sleep(Duration::from_millis(50)).await;
    }
    running.stop().await;
}

/// Waits until an engine works and returns its number.
async fn busy_engine(running: &Running) -> usize {
    let end = Instant::now() + PLAN_TIME;
    while Instant::now() < end {
        let busy = running.engines.iter().position(|slot| {
            let level = slot.engine.read(|r| r.changes.last().map(|c| c.level));
            level.is_some_and(|level| level.running > 0)
        });
        if let Some(busy) = busy {
            return busy;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no engine works");
}

/// Pause, resume and abort must take effect, and an aborted plan must put each
/// target back into service.
#[tokio::test(flavor = "multi_thread")]
async fn operator_operations() {
    let _alone = DEPLOYMENT.lock().await;
    let running = start(3, engine::Options::fast()).await;
    let desk = Desk::new(&running, 3, true);
    desk.create("drain", Kind::Drain, &[0, 1], 1, 1).await;
    let paused = desk.operate("drain", Operation::Pause).await;
    assert_eq!(paused.state, State::Paused);
    time::sleep(Duration::from_secs(15)).await;
    let plan = desk.plan("drain").await.unwrap().plan;
    assert!(!plan.excludes(&target(0)), "a paused plan opened a step");

    desk.operate("drain", Operation::Resume).await;
    desk.state("drain", State::Done).await;
    let again = plans::operate(&desk.platform, &name("drain"), &Operation::Pause).await;
    assert!(matches!(again, Err(PlanError::Rejected(_))), "{again:?}");

    desk.operate("drain", Operation::Abort).await;
    let plan = desk.state("drain", State::Aborted).await;
    assert!(!plan.excludes(&target(0)) && !plan.excludes(&target(1)));
    let end = Instant::now() + PLAN_TIME;
    let runs = |number: usize| running.engines[number].engine.read(|r| r.executions.len());
    let before = [runs(0), runs(1)];
    let mut number = 0;
    while runs(0) == before[0] || runs(1) == before[1] {
        assert!(Instant::now() < end, "a reopened target gets no work");
        number += 1;
        let call = chat(&format!("chat {number}"), 2);
        assert_whole(&Caller::default().send(running.callers()[0], call).await);
        time::sleep(Duration::from_millis(20)).await;
    }
    running.stop().await;
}

/// Asserts that an engine carried out each order once, in the order of the
/// tokens, and returns the number of orders.
fn assert_ordered(engine: &engine::Engine) -> usize {
    let orders = engine.record().orders;
    let fences: Vec<u64> = orders.iter().filter_map(|order| order.fence).collect();
    assert_eq!(fences.len(), orders.len(), "an order had no token");
    let rising = fences.windows(2).all(|pair| pair[0] < pair[1]);
    assert!(rising, "orders {orders:?}");
    orders.len()
}

/// Asserts that no more targets loaded at once than the limit. A slot belongs to
/// a target, so that two loads of one engine count once; [`takeover_limit`]
/// counts them both.
fn assert_limit<'a>(engines: impl Iterator<Item = &'a engine::Engine>) {
    let loads: Vec<Vec<(Mono, Mono)>> = engines.map(|e| e.record().loads).collect();
    for (begun, _) in loads.iter().flatten() {
        let present =
            |loads: &&Vec<(Mono, Mono)>| loads.iter().any(|(from, to)| from <= begun && begun < to);
        let targets = loads.iter().filter(present).count();
        assert!(targets <= LOADS as usize, "loads {loads:?}");
    }
}

/// A table that is down or loses replies must neither stop a plan for good nor
/// make an engine carry out an order twice.
#[tokio::test(flavor = "multi_thread")]
async fn table_trouble() {
    let _alone = DEPLOYMENT.lock().await;
    let engine = engine::Options {
        load_time: span::Span::from_millis(1500),
        checks_fence: false,
        ..engine::Options::fast()
    };
    let running = start(4, engine).await;
    let stop = CancellationToken::new();
    let calls = tokio::spawn(load(running.callers(), stop.clone()));
    let desk = Desk::new(&running, 4, false);
    desk.create("roll", roll(), &[0, 1, 2, 3], 3, 1).await;
    let loads = |plan: &Plan| !loading(plan).is_empty();
    desk.until("roll", "no engine loads", loads).await;
    running
        .table
        .faults(|faults| faults.outage = fault::Outage::Refuse);
    time::sleep(Duration::from_secs(5)).await;
    running.table.faults(|faults| {
        faults.outage = fault::Outage::None;
        faults.lost_reply = fault::Chance::Share(0.3);
    });
    desk.state("roll", State::Done).await;
    stop.cancel();
    assert!(calls.await.unwrap() > 0);
    for slot in &running.engines {
        assert_eq!(assert_ordered(&slot.engine), 1);
        assert_eq!(slot.engine.loaded().models["crew"], "v2");
    }
    assert_limit(running.engines.iter().map(|slot| &slot.engine));
    running.stop().await;
}

async fn start_site(engine: engine::Options) -> Site {
    let deployment = Deployment {
        engines: 4,
        instances: 0,
        routers: 2,
        ..MARSHALS
    };
    let program = Program::Binary(env!("CARGO_BIN_EXE_ebonywalld").into());
    Site::start(program, deployment, options(engine))
        .await
        .unwrap()
}

/// Rolls a version under load while one agent is killed in the middle of its
/// order and another is stopped for a time. Returns the orders of each engine.
async fn troubled_roll(checks_fence: bool) -> Vec<usize> {
    let _alone = DEPLOYMENT.lock().await;
    let engine = engine::Options {
        load_time: span::Span::from_millis(2500),
        checks_fence,
        ..engine::Options::fast()
    };
    let mut site = start_site(engine).await;
    let stop = CancellationToken::new();
    let routers = site.routers.iter().map(|router| router.callers());
    let calls = tokio::spawn(load(routers.collect(), stop.clone()));
    let desk = Desk::new(&site.platform, 4, checks_fence);
    desk.create("roll", roll(), &[0, 1, 2, 3], 2, 2).await;

    // Wave 0 is engines 0 and 1.
    let loads = |number: usize| move |plan: &Plan| loading(plan).contains(&target(number));
    desk.until("roll", "engine 0 does not load", loads(0)).await;
    time::sleep(Duration::from_millis(500)).await;
    let program = site.program.clone();
    site.engines[0].1.daemon.kill();
    site.engines[0].1.restart(&program).unwrap();
    if !checks_fence {
        confirm(&desk, &site.engines[0].0).await;
    }
    desk.until("roll", "engine 2 does not load", loads(2)).await;
    site.engines[2].1.daemon.pause();
    time::sleep(Duration::from_secs(6)).await;
    site.engines[2].1.daemon.resume();
    desk.state("roll", State::Done).await;
    stop.cancel();
    assert!(calls.await.unwrap() > 0);
    let engines = || site.engines.iter().map(|(engine, _)| engine);
    assert_limit(engines());
    for engine in engines() {
        assert_eq!(engine.loaded().models["crew"], "v2");
    }
    engines().map(assert_ordered).collect()
}

/// Waits until the plan asks an operator about engine 0, restarts the engine
/// and confirms that nothing is under way.
async fn confirm(desk: &Desk, engine: &engine::Engine) {
    let unsettled = |plan: &Plan| matches!(plan.targets[&target(0)].stage, Stage::Unsettled(_));
    desk.until("roll", "the order of engine 0 is settled", unsettled)
        .await;
    time::sleep(Duration::from_secs(3)).await;
    assert_eq!(assert_ordered(engine), 1, "the killed agent's order");
    engine.crash(Some(span::Span::from_millis(500)));
    time::sleep(Duration::from_secs(1)).await;
    desk.operate("roll", Operation::Confirm(target(0))).await;
}

/// An engine that checks tokens gets the order of a killed agent again under a
/// newer token; the order of an agent that was only stopped is given once.
#[tokio::test(flavor = "multi_thread")]
async fn roll_checked() {
    assert_eq!(troubled_roll(true).await, [2, 1, 1, 1]);
}

/// An engine that ignores tokens gets no other order before an operator has
/// confirmed that nothing is under way.
#[tokio::test(flavor = "multi_thread")]
async fn roll_unchecked() {
    assert_eq!(troubled_roll(false).await, [2, 1, 1, 1]);
}

/// The load of a killed agent goes on at its engine, and its next run gives the
/// order again: both count against the rate of the weight store.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_limit() {
    let _alone = DEPLOYMENT.lock().await;
    let engine = engine::Options {
        load_time: span::Span::from_secs(8),
        ..engine::Options::fast()
    };
    let mut site = start_site(engine).await;
    let desk = Desk::new(&site.platform, 4, true);
    desk.create("roll", roll(), &[0, 1], 2, 2).await;
    let both = |plan: &Plan| loading(plan).len() == 2;
    desk.until("roll", "engines 0 and 1 do not load", both)
        .await;
    let program = site.program.clone();
    site.engines[0].1.daemon.kill();
    site.engines[0].1.restart(&program).unwrap();
    let reopened = |plan: &Plan| plan.targets.values().all(|p| !p.out);
    desk.until("roll", "engines 0 and 1 are not reopened", reopened)
        .await;
    let engines = site.engines.iter().map(|(engine, _)| engine);
    let loads: Vec<(Mono, Mono)> = engines.flat_map(|e| e.record().loads).collect();
    for (begun, _) in &loads {
        let present = loads
            .iter()
            .filter(|(from, to)| from <= begun && begun < to);
        assert!(present.count() <= LOADS as usize, "loads {loads:?}");
    }
}
