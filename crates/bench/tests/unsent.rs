//! Guards against callers that wait for ever when a target goes down between
//! the dispatch of a request and its connection.

use std::time::Duration;

use bench::{client, deploy};

#[tokio::test(flavor = "multi_thread")]
async fn unsent_refused() {
    let deployment = deploy::Deployment {
        engines: 1,
        instances: 1,
        routers: 1,
        ..deploy::PERDANA
    };
    let running = deploy::Running::start(deployment, deploy::Options::default())
        .await
        .unwrap();
    let router = running.callers()[0];
    let body = client::chat("drafting", &[("user", "Hello")], 2);
    let key = deploy::key("artwork");
    let call = client::Call::post("/v1/chat/completions", &key, body);
    deploy::ready(router, &call).await.unwrap();
    // The agent checks its target twice a second and does not know yet.
    running.engines[0].engine.crash(None);
    let caller = client::Caller::default();
    let sent = caller.send(router, call);
    let received = tokio::time::timeout(Duration::from_secs(10), sent)
        .await
        .expect("the refusal arrives at once");
    assert_eq!(received.outcome(), "not-run");
    running.stop().await;
}
