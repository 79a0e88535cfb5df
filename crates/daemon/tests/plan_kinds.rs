//! Guards the plans that replace a target or move it to another role, and an
//! abort in the middle of a roll, against cut requests, too few targets in
//! service and a row that does not say what happened.

mod operator;

use std::time::Duration;

use base::span;
use fakes::engine;
use operator::{DEPLOYMENT, Desk, PLAN_TIME, load, loading, roll, start, target};
use plan::plan::{Action, Kind, Operation, Plan, Replace, State};
use roles::plans::Listed;
use tokio::{task::JoinHandle, time};
use tokio_util::sync::CancellationToken;

/// Watches a plan's row and asserts at each look that at least `keep` of the
/// targets are in service and that no target is out before its replacement is up.
fn watch(
    desk: Desk,
    plan: &str,
    engines: usize,
    keep: usize,
    stop: CancellationToken,
) -> JoinHandle<()> {
    let plan = plan.to_owned();
    tokio::spawn(async move {
        while !stop.is_cancelled() {
            if let Some(Listed { plan, .. }) = desk.plan(&plan).await {
                let out = (0..engines).filter(|number| plan.excludes(&target(*number)));
                let up = engines - out.count();
                assert!(up >= keep, "{up} targets are in service: {plan:?}");
                let early = plan.targets.iter().any(|(own, progress)| {
                    let awaits =
                        |step: &Action| matches!(step, Action::AwaitUp(other) if other != own);
                    progress.out && progress.steps.iter().any(awaits)
                });
                assert!(
                    !early,
                    "a target is out before its replacement is up: {plan:?}"
                );
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    })
}

/// Returns an engine whose streams last long enough for a drain to meet them.
fn slow(load_time: span::Span) -> engine::Options {
    engine::Options {
        pace: span::Span::from_millis(20),
        load_time,
        ..engine::Options::fast()
    }
}

/// A target that is taken out of service before its replacement is up, or with
/// requests in flight, breaks the promises of `replace`.
#[tokio::test(flavor = "multi_thread")]
async fn replace_target() {
    let _alone = DEPLOYMENT.lock().await;
    let mut running = start(2, slow(span::Span::ZERO)).await;
    let desk = Desk::new(&running, 2, true);
    let stop = CancellationToken::new();
    let calls = tokio::spawn(load(running.callers(), stop.clone()));
    // Target 2 is not counted, so that one of the first two has to be in service.
    let seen = watch(Desk::new(&running, 2, true), "replace", 2, 1, stop.clone());
    let by = [(target(0), target(2))].into_iter().collect();
    desk.create("replace", Kind::Replace(Replace { by }), &[0], 1, 1)
        .await;
    time::sleep(Duration::from_secs(3)).await;
    let plan = desk.plan("replace").await.unwrap().plan;
    assert_eq!(plan.state, State::Running);
    assert!(
        !plan.excludes(&target(0)),
        "drained before the replacement is up"
    );

    let slot = running.start_engine(2).await.unwrap();
    running.engines.push(slot);
    let plan = desk.state("replace", State::Done).await;
    assert_eq!(plan.reason, "all targets are finished");
    assert!(plan.excludes(&target(0)) && !plan.excludes(&target(1)));
    let runs = |number: usize| running.engines[number].engine.read(|r| r.executions.len());
    let before = [runs(0), runs(2)];
    time::sleep(Duration::from_secs(1)).await;
    stop.cancel();
    assert!(calls.await.unwrap() > 0);
    assert_eq!(runs(0), before[0], "the replaced engine got new work");
    assert!(runs(2) > before[1], "the replacement got no work");
    seen.await.unwrap();
    running.stop().await;
}

/// A role that is given to too many targets at once, or to one with requests in
/// flight, breaks the promises of `role`.
#[tokio::test(flavor = "multi_thread")]
async fn role_move() {
    let _alone = DEPLOYMENT.lock().await;
    let running = start(3, slow(span::Span::ZERO)).await;
    let desk = Desk::new(&running, 3, true);
    let stop = CancellationToken::new();
    let calls = tokio::spawn(load(running.callers(), stop.clone()));
    let seen = watch(Desk::new(&running, 3, true), "role", 3, 2, stop.clone());
    let role = Kind::Role("decode".parse().unwrap());
    // One wave holds both targets, so that only the rule keeps one of them up.
    desk.create("role", role, &[0, 1], 2, 2).await;
    let plan = desk.state("role", State::Done).await;
    assert!(
        plan.reason.ends_with("all targets are finished"),
        "{plan:?}"
    );
    stop.cancel();
    assert!(calls.await.unwrap() > 0);
    seen.await.unwrap();
    for number in [0, 1] {
        let engine = &running.engines[number].engine;
        assert_eq!(engine.loaded().role, "decode");
        assert_eq!(engine.record().orders.len(), 1);
    }
    assert!(running.engines[2].engine.record().orders.is_empty());
    running.stop().await;
}

/// An abort in the middle of a roll must let the load under way end, put its
/// target back into service and give no other target an order.
#[tokio::test(flavor = "multi_thread")]
async fn abort_roll() {
    let _alone = DEPLOYMENT.lock().await;
    let running = start(3, slow(span::Span::from_secs(2))).await;
    let desk = Desk::new(&running, 3, true);
    let stop = CancellationToken::new();
    let calls = tokio::spawn(load(running.callers(), stop.clone()));
    let seen = watch(Desk::new(&running, 3, true), "roll", 3, 2, stop.clone());
    desk.create("roll", roll(), &[0, 1, 2], 1, 2).await;
    let loads = |plan: &Plan| loading(plan).contains(&target(0));
    desk.until("roll", "engine 0 does not load", loads).await;
    let plan = desk.operate("roll", Operation::Abort).await;
    assert_eq!(plan.state, State::Aborting);
    assert_eq!(plan.reason, "aborted by an operator");
    assert!(plan.excludes(&target(0)), "reopened while it loads");

    let plan = desk.state("roll", State::Aborted).await;
    assert_eq!(plan.reason, "all targets are finished");
    assert!((0..3).all(|number| !plan.excludes(&target(number))));
    let runs = || running.engines[0].engine.read(|r| r.executions.len());
    let before = runs();
    time::timeout(PLAN_TIME, async {
        while runs() == before {
            time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await
    .expect("the reopened engine gets work");
    stop.cancel();
    assert!(calls.await.unwrap() > 0);
    seen.await.unwrap();
    assert_eq!(running.engines[0].engine.loaded().models["crew"], "v2");
    let orders = running
        .engines
        .iter()
        .map(|slot| slot.engine.record().orders.len());
    assert_eq!(orders.collect::<Vec<usize>>(), [1, 0, 0]);
    running.stop().await;
}
