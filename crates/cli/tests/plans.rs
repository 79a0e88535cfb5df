//! Planned changes as operators give them. Guards against plans without a
//! record of who ordered them, and against two plans for one target.

mod common;

use std::time::Duration;

use bench::deploy::OPERATOR_KEY;
use cli::code::Code;
use common::Operator;
use expect_test::expect;
use tokio::time;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    operator.options.dry_run = true;
    let mut session = operator
        .session(&[
            "create plan nightly kind roll service drafting targets drafting-0,drafting-1 keep 1 model tin-draft version 8",
            "create plan nightly kind drain service drafting targets drafting-7 keep 1",
            "create plan nightly kind drain service drafting targets drafting-0 keep 2",
            "create plan nightly kind drain service casting targets drafting-0 keep 1",
            "pause plan nightly",
        ])
        .await;
    operator.options.dry_run = false;
    operator.options.why = "version 8 is approved".to_owned();
    let roll = "create plan nightly kind roll service drafting targets drafting-0,drafting-1 keep 1 model tin-draft version 8";
    session += &operator
        .session(&[
            roll,
            "pause plan nightly",
            roll,
            "create plan other kind drain service drafting targets drafting-1 keep 1",
            "pause plan nightly",
            "confirm plan nightly target drafting-0",
            "resume plan nightly",
            "abort plan nightly",
            "show changes last 4",
        ])
        .await;
    expect![[r#"
        > create plan nightly kind roll service drafting targets drafting-0,drafting-1 keep 1 model tin-draft version 8
        after version 1, this would change:
          plan nightly running roll tin-draft version 8 keep 1
          wave 0 target drafting-0: drain, load tin-draft version 8, reopen, wait for target drafting-0
          wave 1 target drafting-1: drain, load tin-draft version 8, reopen, wait for target drafting-1
        > create plan nightly kind drain service drafting targets drafting-7 keep 1
        error: target drafting-7 is not known in service drafting
        exit 3
        > create plan nightly kind drain service drafting targets drafting-0 keep 2
        error: 2 targets cannot stay up while one of 2 is out; allowed: at most 1
        exit 3
        > create plan nightly kind drain service casting targets drafting-0 keep 1
        error: service casting does not exist
        exit 3
        > pause plan nightly
        error: plan nightly does not exist
        exit 3
        > create plan nightly kind roll service drafting targets drafting-0,drafting-1 keep 1 model tin-draft version 8
        accepted as version 2
        > pause plan nightly
        accepted as version 3
        > create plan nightly kind roll service drafting targets drafting-0,drafting-1 keep 1 model tin-draft version 8
        error: plan nightly already exists
        exit 3
        > create plan other kind drain service drafting targets drafting-1 keep 1
        error: target drafting-1 belongs to plan nightly, which has not ended or keeps it out of service
        exit 3
        > pause plan nightly
        error: plan nightly is paused; pause is not possible
        exit 3
        > confirm plan nightly target drafting-0
        error: target drafting-0 has no unsettled order
        exit 3
        > resume plan nightly
        accepted as version 4
        > abort plan nightly
        accepted as version 5
        > show changes last 4
        VERSION  WHEN                  WHO       WHAT                                                                            WHY
        2        2026-01-01T00:00:00Z  operator  plan nightly: create, roll tin-draft version 8 at drafting-0,drafting-1 keep 1  version 8 is approved
        3        2026-01-01T00:00:00Z  operator  plan nightly: pause                                                             version 8 is approved
        4        2026-01-01T00:00:00Z  operator  plan nightly: resume                                                            version 8 is approved
        5        2026-01-01T00:00:00Z  operator  plan nightly: abort                                                             version 8 is approved
    "#]].assert_eq(&session);
    running.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listing() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    operator
        .session(&[
            "create plan nightly kind drain service drafting targets drafting-0 keep 1",
            "pause plan nightly",
        ])
        .await;
    let mut other = Operator::new(&running, 1, OPERATOR_KEY);
    let shown = other.say("show plans").await;
    expect![[r#"
        > show plans
        PLAN     STATE   SERVICE   WHAT   KEEP  DONE    UNDER WAY  REASON
        nightly  paused  drafting  drain  1     0 of 1  -          paused by an operator
    "#]]
    .assert_eq(&shown);
    running.stop().await;
}

/// Of two plans for one target that are created at once, one is accepted, and
/// the history has only that one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn race() {
    let running = common::start().await;
    let mut first = Operator::new(&running, 0, OPERATOR_KEY);
    let mut second = Operator::new(&running, 1, OPERATOR_KEY);
    let plan = |name: &str| {
        format!("create plan {name} kind drain service drafting targets drafting-0 keep 1")
    };
    let (lines, mut codes) = ([plan("one"), plan("other")], Vec::new());
    let (one, other) = tokio::join!(first.run(&lines[0]), second.run(&lines[1]));
    codes.extend([one.0, other.0]);
    codes.sort();
    assert_eq!(codes[0], Code::Done, "{} {}", one.2, other.2);
    assert!(
        matches!(codes[1], Code::Refused | Code::Conflict),
        "{} {}",
        one.2,
        other.2
    );
    let (_, plans, _) = first.run("show plans").await;
    assert_eq!(plans.lines().count(), 2, "{plans}");
    let (_, changes, _) = first.run("show changes last 9").await;
    assert_eq!(changes.matches("create, drain").count(), 1, "{changes}");
    running.stop().await;
}

/// A plan that an operator creates is carried out, and an abort after its end
/// puts the target back into service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn carried_out() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    let created = operator
        .say("create plan quiet kind drain service drafting targets drafting-0 keep 1")
        .await;
    assert!(created.contains("accepted as version 2"), "{created}");
    until(&mut operator, "show plans", "quiet  done").await;
    until(&mut operator, "show loads", "drafting  1     2").await;
    let aborted = operator.say("abort plan quiet").await;
    assert!(aborted.contains("accepted as version 3"), "{aborted}");
    until(&mut operator, "show plans", "quiet  aborted").await;
    until(&mut operator, "show loads", "drafting  2     2").await;
    running.stop().await;
}

/// Waits until an answer contains a text.
async fn until(operator: &mut Operator, line: &str, text: &str) {
    let end = time::Instant::now() + Duration::from_secs(60);
    loop {
        let (_, shown, err) = operator.run(line).await;
        if shown.contains(text) {
            return;
        }
        assert!(time::Instant::now() < end, "{shown}{err}");
        time::sleep(Duration::from_millis(300)).await;
    }
}
