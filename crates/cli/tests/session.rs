//! Whole sessions of operators with routers, agents and stand-ins on loopback.
//! Guards against commands that reach the fleet changed, late or unrecorded,
//! and against answers that do not say what holds.

mod common;

use bench::{
    client,
    deploy::{self, OPERATOR_KEY},
};
use common::Operator;
use expect_test::expect;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn days_work() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    operator.options.why = "festive season".to_owned();
    let mut session = operator
        .session(&[
            "show teams",
            "create team packing weight 150 rate 50/s",
            "add key team packing secret key-packing",
            "update team packing open 40 why \"asked by packing\"",
            "show teams",
            "show services",
            "show rules",
            "show operators",
        ])
        .await;
    operator.options.wait = true;
    session += &operator
        .session(&[
            "set override target drafting-1 weight none reason \"noisy fan\"",
            "show overrides",
            "show targets",
            "show loads",
            "clear override target drafting-1",
            "show changes last 5",
            "show difference 1 3",
            "show configuration at 2",
            "show lagging",
            "show versions",
            "show quarantine",
            "show plans",
        ])
        .await;
    expect![[r#"
        > show teams
        TEAM     WEIGHT  PRIORITY  RATE  OPEN  KEYS
        artwork  200     5         -     -     02fac283
        dies     100     5         -     -     61e1bfc7
        > create team packing weight 150 rate 50/s
        accepted as version 2
        > add key team packing secret key-packing
        accepted as version 3
        > update team packing open 40 why "asked by packing"
        accepted as version 4
        > show teams
        TEAM     WEIGHT  PRIORITY  RATE  OPEN  KEYS
        artwork  200     5         -     -     02fac283
        dies     100     5         -     -     61e1bfc7
        packing  150     5         50/s  40    783c4ffd
        > show services
        SERVICE   KIND    FACTOR  FLOOR  SLOTS  QUEUE  REPEATABLE  DETERMINISTIC  FENCING  QUARANTINE  WARM_UP
        drafting  engine  1.25    4      32     32     true        true           true     10min       0us
        orders    plain   1.25    16     64     32     false       false          false    10min       0us
        > show rules
        RULE     PREFIX                METHODS  MODEL  SERVICE   CLASS
        chat     /v1/chat/completions  -        -      drafting  -
        plain    /orders               -        -      orders    -
        queries  /orders/status        -        -      orders    repeatable
        > show operators
        OPERATOR  ROLES                    KEYS
        operator  read,operate,administer  5d9d4742
        > set override target drafting-1 weight none reason "noisy fan"
        accepted as version 5
        in force at all 5 members
        > show overrides
        SUBJECT            SETS         REASON
        target drafting-1  weight=none  noisy fan
        > show targets
        SERVICE   TARGET      CENTRE     STANDING  WEIGHT  LOAD  CAP  VERSION
        drafting  drafting-0  shah-alam  up        100     0     4    5
        drafting  drafting-1  petaling   up        0       0     4    5
        orders    orders-0    shah-alam  up        100     0     16   5
        > show loads
        SERVICE   OPEN  TARGETS  LOAD  MEAN  HIGHEST  CAP
        drafting  1     2        0     0.0   0        8
        orders    1     1        0     0.0   0        16
        > clear override target drafting-1
        accepted as version 6
        in force at all 5 members
        > show changes last 5
        VERSION  WHEN                  WHO       WHAT                                 WHY
        2        2026-01-01T00:00:00Z  operator  create team packing                  festive season
        3        2026-01-01T00:00:00Z  operator  add key 783c4ffd to team packing     festive season
        4        2026-01-01T00:00:00Z  operator  update team packing open=40          asked by packing
        5        2026-01-01T00:00:00Z  operator  set override of target drafting-1    festive season
        6        2026-01-01T00:00:00Z  operator  clear override of target drafting-1  festive season
        > show difference 1 3
        from version 1 to version 3
          + team packing keys=783c4ffd open=none priority=5 rate=50/s weight=150
        > show configuration at 2
        version 2

        SERVICE   KIND    FACTOR  FLOOR  SLOTS  QUEUE  REPEATABLE  DETERMINISTIC  FENCING  QUARANTINE  WARM_UP
        drafting  engine  1.25    4      32     32     true        true           true     10min       0us
        orders    plain   1.25    16     64     32     false       false          false    10min       0us

        RULE     PREFIX                METHODS  MODEL  SERVICE   CLASS
        chat     /v1/chat/completions  -        -      drafting  -
        plain    /orders               -        -      orders    -
        queries  /orders/status        -        -      orders    repeatable

        TEAM     WEIGHT  PRIORITY  RATE  OPEN  KEYS
        artwork  200     5         -     -     02fac283
        dies     100     5         -     -     61e1bfc7
        packing  150     5         50/s  -     -

        OPERATOR  ROLES                    KEYS
        operator  read,operate,administer  5d9d4742

        SUBJECT  SETS  REASON

        fleet weight_loads=2 weight_rate=0.1/s table_reads=2000/s table_writes=300/s
        > show lagging
        version 6 here, lowest 6 among 5 members
        no member lags
        > show versions
        version 6 here, lowest 6 among 5 members
        PROCESS           ROLE    VERSION
        agent-drafting-0  agent   6
        agent-drafting-1  agent   6
        agent-orders-0    agent   6
        router-0          router  6
        router-1          router  6
        > show quarantine
        CONTENT  SERVICE  REFUSED  ENDS IN  TARGETS
        > show plans
        PLAN  STATE  SERVICE  WHAT  KEEP  DONE  UNDER WAY  REASON
    "#]].assert_eq(&session);
    running.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    operator.options.wait = true;
    let session = operator
        .session(&[
            "create operator nadia roles read",
            "add key operator nadia secret key-nadia",
            "create team dies",
            "update team sales weight 3",
            "delete service orders",
            "update team dies weight 100",
            "show difference 2 90",
            "explain chat brief team sales service drafting",
            "delete operator operator",
        ])
        .await;
    expect![[r#"
        > create operator nadia roles read
        accepted as version 2
        in force at all 5 members
        > add key operator nadia secret key-nadia
        accepted as version 3
        in force at all 5 members
        > create team dies
        error: team dies already exists
        exit 3
        > update team sales weight 3
        error: team sales does not exist
        exit 3
        > delete service orders
        error: service orders is in use by rule plain, rule queries
        exit 3
        > update team dies weight 100
        error: team dies already is as the command asks
        exit 3
        > show difference 2 90
        error: version 90 does not exist; the newest is 3
        exit 3
        > explain chat brief team sales service drafting
        error: team sales does not exist
        exit 3
        > delete operator operator
        error: operator is the last operator with role administer and a key; add another one before this change
        exit 3
    "#]].assert_eq(&session);
    let mut reader = Operator::new(&running, 1, "key-nadia");
    let mut caller = Operator::new(&running, 0, "key-dies");
    let orders = ["create team sales", "export record"];
    expect![[r#"
        > create team sales
        error: operator nadia lacks role operate
        exit 3
        > export record
        error: operator nadia lacks role administer
        exit 3
    "#]]
    .assert_eq(&reader.session(&orders).await);
    expect![[r#"
        > show lagging
        error: the key identifies no operator
        exit 3
    "#]]
    .assert_eq(&caller.say("show lagging").await);
    running.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dry_run() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    operator.options.dry_run = true;
    let session = operator
        .session(&[
            "update team dies weight 300",
            "delete team artwork",
            "create team dies",
        ])
        .await;
    operator.options.dry_run = false;
    let after = operator.say("show changes last 5").await;
    expect![[r#"
        > update team dies weight 300
        after version 1, this would change:
          ~ team dies weight=100->300
        > delete team artwork
        after version 1, this would change:
          - team artwork
        > create team dies
        error: team dies already exists
        exit 3
        > show changes last 5
        VERSION  WHEN  WHO        WHAT                                                                                                                                                                       WHY
        1        -     bootstrap  create operator operator; create service drafting; create service orders; create rule chat; create rule plain; create rule queries; create team artwork; create team dies  first configuration from the settings
    "#]].assert_eq(&format!("{session}{after}"));
    running.stop().await;
}

/// Two operators look at the same version and give orders at different routers:
/// the second is told which change won and what it changed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn conflict() {
    let running = common::start().await;
    let mut first = Operator::new(&running, 0, OPERATOR_KEY);
    let mut second = Operator::new(&running, 1, OPERATOR_KEY);
    for operator in [&mut first, &mut second] {
        operator.options.base = Some(base::id::Version(1));
    }
    let mut session = first
        .say("update team dies weight 300 why \"die orders for the fair\"")
        .await;
    session += &second
        .say("update team dies weight 50 why \"fair is over\"")
        .await;
    second.options.base = Some(base::id::Version(2));
    session += &second
        .say("update team dies weight 50 why \"fair is over\"")
        .await;
    expect![[r#"
        > update team dies weight 300 why "die orders for the fair"
        accepted as version 2
        > update team dies weight 50 why "fair is over"
        error: another change was accepted first:
          version 2 by operator: update team dies weight=300 (die orders for the fair)
        what it changed:
          ~ team dies weight=100->300
        exit 4
        > update team dies weight 50 why "fair is over"
        accepted as version 3
    "#]]
    .assert_eq(&session);
    running.stop().await;
}

/// Of two orders at once that are based on the same version, exactly one is
/// accepted, and the loser's message names the winner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn race() {
    let running = common::start().await;
    let mut first = Operator::new(&running, 0, OPERATOR_KEY);
    let mut second = Operator::new(&running, 1, OPERATOR_KEY);
    for operator in [&mut first, &mut second] {
        operator.options.base = Some(base::id::Version(1));
    }
    let (one, other) = tokio::join!(
        first.run("update team dies weight 300"),
        second.run("update team dies weight 50"),
    );
    let (winner, loser, weight) = match one.0 {
        cli::code::Code::Done => (one, other, 300),
        _ => (other, one, 50),
    };
    assert_eq!(winner.0, cli::code::Code::Done, "{}", winner.2);
    assert_eq!(loser.0, cli::code::Code::Conflict, "{}", loser.2);
    let told = format!("version 2 by operator: update team dies weight={weight}");
    assert!(loser.2.contains(&told), "{}", loser.2);
    let differs = format!("~ team dies weight=100->{weight}");
    assert!(loser.2.contains(&differs), "{}", loser.2);
    running.stop().await;
}

/// A chat runs at the target that the explanation names.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explanation() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    let line = "explain chat brief-7 team dies service drafting";
    let explained = operator.say(line).await;
    expect![[r#"
        > explain chat brief-7 team dies service drafting
        chat 7d0923a213c24c50 goes to drafting-0: home
        team dies has weight 100 priority 5 rate - open -
    "#]]
    .assert_eq(&explained);
    let body = client::chat("drafting", &[("user", "a brief about dies")], 4);
    let call = client::Call::post("/v1/chat/completions", &deploy::key("dies"), body)
        .with("x-chat-id", "brief-7");
    let caller = client::Caller::default();
    let received = caller.send(running.callers()[0], call).await;
    assert!(received.complete, "{:?}", received.status);
    for slot in &running.engines {
        let count = slot.engine.read(|record| record.executions.len());
        let named = explained.contains(&format!("goes to {}:", slot.target));
        assert_eq!(count, usize::from(named), "{}", slot.target);
    }
    running.stop().await;
}
