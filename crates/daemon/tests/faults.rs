//! Guards what callers are told while processes are killed, stopped and
//! replaced and while the platform fails: nothing runs twice that must not,
//! "not run" is true, and no response is cut or another's.
//!
//! Routers and agents are processes of the shipped binary. The checks concern
//! what happened, never how fast, so that a slow machine does not fail them.

use bench::{audit::Verdict, child::Program, faults};
use tokio::sync::Mutex;

/// One site at a time: each has ten processes.
static SITE: Mutex<()> = Mutex::const_new(());

async fn run(name: &str, seed: u64) -> Verdict {
    let _site = SITE.lock().await;
    let options = faults::Options {
        seed,
        seconds: 6,
        deployment: "marshals".to_owned(),
        callers: 12,
    };
    let program = Program::Binary(env!("CARGO_BIN_EXE_ebonywalld").into());
    let verdict = faults::run_with(program, name, &options).await.unwrap();
    assert!(verdict.sound(), "{name}: {verdict}");
    assert!(verdict.done > 0, "{name}: {verdict}");
    verdict
}

#[tokio::test(flavor = "multi_thread")]
async fn late_responses() {
    run("late", 11).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_replies() {
    run("lostreply", 12).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn table_outage() {
    run("outage", 13).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_processes() {
    run("pause", 14).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn router_death() {
    run("routerdeath", 15).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_death() {
    run("agentdeath", 16).await;
}

/// A planned stop must cut off no request in flight: every caller gets a whole
/// answer, and each process ends with status 0.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop() {
    let verdict = run("drain", 17).await;
    assert_eq!(verdict.aborted, 0, "{verdict}");
    assert_eq!(verdict.silent, 0, "{verdict}");
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_resends() {
    let verdict = run("resend", 18).await;
    assert_eq!(verdict.unknown, 0, "{verdict}");
}
