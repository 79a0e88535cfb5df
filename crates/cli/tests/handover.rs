//! Runs the procedure of docs/handover.md. Guards against a handover that
//! interrupts callers, leaves an old key valid or loses a part of the record.

mod common;

use bench::{client, deploy};
use cli::code::Code;
use common::Operator;
use conf::{row, value::KeyHash};
use expect_test::expect;
use lang::answer::Record;

/// The commands of the page for one operator, in the order of the blocks.
fn commands(operator: &str) -> Vec<Vec<String>> {
    let page = include_str!("../../../docs/handover.md");
    let fence = format!("```{operator}\n");
    page.split(&fence)
        .skip(1)
        .map(|rest| {
            let block = rest.split("```").next().expect("the block ends");
            block.lines().map(str::to_owned).collect()
        })
        .collect()
}

async fn say(operator: &mut Operator, lines: &[String]) -> String {
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    operator.session(&lines).await
}

async fn export(operator: &mut Operator, lines: &[String]) -> Record {
    let (code, out, err) = operator.run(&lines[0]).await;
    assert_eq!(code, Code::Done, "{err}");
    serde_json::from_str(&out).expect("the record is JSON")
}

/// A caller's request, as at any time.
async fn serves(running: &deploy::Running) {
    let body = client::chat("drafting", &[("user", "a brief about tins")], 4);
    let call = client::Call::post("/v1/chat/completions", &deploy::key("dies"), body);
    for router in running.callers() {
        let received = client::Caller::default().send(router, call.clone()).await;
        assert_eq!(received.status.map(|status| status.as_u16()), Some(200));
        assert!(received.complete);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn procedure() {
    let running = common::start().await;
    let mut first = Operator::new(&running, 0, deploy::OPERATOR_KEY);
    first.options.wait = true;
    first
        .session(&[
            "create operator alder roles read,operate,administer",
            "add key operator alder secret key-alder",
            "delete operator operator",
        ])
        .await;
    let [added, left_export] = &commands("alder")[..] else {
        panic!("the page has other blocks for the leaving operator");
    };
    let [looked, new_export, revoked, checked] = &commands("birch")[..] else {
        panic!("the page has other blocks for the new operator");
    };
    let mut alder = Operator::new(&running, 0, "key-alder");
    let mut birch = Operator::new(&running, 1, "key-birch");
    alder.options.wait = true;
    birch.options.wait = true;

    let hash = KeyHash::of("key-birch").to_string();
    let added: Vec<String> = added
        .iter()
        .map(|line| line.replace("SHA-256", &hash))
        .collect();
    let mut session = say(&mut alder, &added).await;
    serves(&running).await;
    session += &say(&mut birch, looked).await;
    let left = export(&mut alder, left_export).await;
    let new = export(&mut birch, new_export).await;
    assert_eq!(left, new);
    session += &say(&mut birch, revoked).await;
    serves(&running).await;
    session += &say(&mut birch, checked).await;
    for router in 0..2 {
        let mut alder = Operator::new(&running, router, "key-alder");
        session += &alder.say("show teams").await;
    }
    expect![[r#"
        > create operator birch roles read,operate,administer why "contract passes to birch"
        accepted as version 5
        in force at all 5 members
        > add key operator birch hash 1abe09ee9da52fde31d3f2bbfb5a2445b238f0f22e1f35b10dcd784bf04c09cf why "contract passes to birch"
        accepted as version 6
        in force at all 5 members
        > show operators
        OPERATOR  ROLES                    KEYS
        alder     read,operate,administer  3de38935
        birch     read,operate,administer  1abe09ee
        > show lagging
        version 6 here, lowest 6 among 5 members
        no member lags
        > show changes last 3
        VERSION  WHEN                  WHO       WHAT                                WHY
        4        2026-01-01T00:00:00Z  operator  delete operator operator            -
        5        2026-01-01T00:00:00Z  alder     create operator birch               contract passes to birch
        6        2026-01-01T00:00:00Z  alder     add key 1abe09ee to operator birch  contract passes to birch
        > show plans
        PLAN  STATE  SERVICE  WHAT  KEEP  DONE  UNDER WAY  REASON
        > delete operator alder why "handover is complete"
        accepted as version 7
        in force at all 5 members
        > show operators
        OPERATOR  ROLES                    KEYS
        birch     read,operate,administer  1abe09ee
        > show lagging
        version 7 here, lowest 7 among 5 members
        no member lags
        > show changes last 4
        VERSION  WHEN                  WHO       WHAT                                WHY
        4        2026-01-01T00:00:00Z  operator  delete operator operator            -
        5        2026-01-01T00:00:00Z  alder     create operator birch               contract passes to birch
        6        2026-01-01T00:00:00Z  alder     add key 1abe09ee to operator birch  contract passes to birch
        7        2026-01-01T00:00:00Z  birch     delete operator alder               handover is complete
        > show teams
        error: the key identifies no operator
        exit 3
        > show teams
        error: the key identifies no operator
        exit 3
    "#]].assert_eq(&session);
    running.stop().await;
}

/// The record has every change with who and why, and leads to the
/// configuration in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn record() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, deploy::OPERATOR_KEY);
    for number in 0..300 {
        let weight = 101 + number % 7;
        let line = format!("update team dies weight {weight} why \"round {number}\"");
        let (code, _, err) = operator.run(&line).await;
        assert_eq!(code, Code::Done, "{err}");
    }
    let record = export(&mut operator, &["export record".to_owned()]).await;
    let versions: Vec<u64> = record.changes.iter().map(|row| row.version.0).collect();
    assert_eq!(versions, (1..=301).collect::<Vec<u64>>());
    let mut point = row::Point::default();
    for row in &record.changes {
        assert!(row.follows(point));
        point = row.point();
    }
    let last = &record.changes[300].command;
    assert_eq!(
        (last.who.as_str(), last.why.as_str()),
        ("operator", "round 299")
    );
    let (_, shown, _) = operator.run("show configuration").await;
    let answer = lang::answer::Answer::Configuration(Box::new(record.configuration));
    assert_eq!(lang::render::text(&answer), shown);
    running.stop().await;
}
