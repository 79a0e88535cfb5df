//! Guards a response whose link between router and agent breaks, and a target
//! that the platform takes away.

use std::time::Duration;

use base::{id, span};
use bench::{
    client::{self, Call, Caller},
    deploy::{self, Deployment, MARSHALS, Options, Running, key, ready},
    relay::Relay,
};
use conf::state::Kind;
use fakes::engine::{self, Engine};
use roles::link::Links;
use tokio::{net::TcpListener, time};
use tokio_util::sync::CancellationToken;
use wire::msg;

fn options() -> Options {
    Options {
        warm_up: span::Span::ZERO,
        ..Options::default()
    }
}

fn chat(tokens: u32) -> Call {
    let body = client::chat("crew", &[("user", "a story")], tokens);
    Call::post("/v1/chat/completions", &key("captains"), body)
}

/// The stream must go on from the offset that the router has, and the engine
/// must run the request once.
#[tokio::test(flavor = "multi_thread")]
async fn cut_link() {
    let deployment = Deployment {
        engines: 0,
        instances: 0,
        routers: 1,
        ..MARSHALS
    };
    let running = Running::start(deployment, options()).await.unwrap();
    let engine = Engine::start(([127, 0, 0, 1], 0).into(), engine::Options::default()).unwrap();
    let mut settings = running
        .agent_settings("crew-0", 0, "crew", Kind::Engine, engine.address())
        .unwrap();
    let relay = Relay::start(settings.listen.peers).await.unwrap();
    settings.advertise = relay.address();
    settings.seeds = vec![running.routers[0].settings.advertise];
    let stop = CancellationToken::new();
    let agent = tokio::spawn(roles::agent::start(settings, stop.clone()).await.unwrap());
    let router = running.callers()[0];
    ready(router, &chat(1)).await.unwrap();
    let stream = tokio::spawn(async move { Caller::default().send(router, chat(100)).await });
    // Whether a cut loses bytes on their way depends on the moment.
    for _ in 0..4 {
        time::sleep(Duration::from_millis(487)).await;
        relay.cut(true);
        time::sleep(Duration::from_millis(200)).await;
        relay.cut(false);
    }
    let received = stream.await.unwrap();
    assert!(received.complete, "the response is not cut");
    assert!(received.body.ends_with(b"data: [DONE]\n\n"));
    let text = String::from_utf8(received.body).unwrap();
    // 100 tokens, the last piece and no piece twice.
    assert_eq!(text.matches("chatcmpl-").count(), 101);
    let runs = engine.record().executions;
    assert_eq!(runs[received.headers["x-request-id"].to_str().unwrap()], 1);
    stop.cancel();
    agent.await.unwrap();
    running.stop().await;
}

/// A target that the instance list marks as leaving gets no new work 3 s later.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_instance() {
    let deployment = Deployment {
        engines: 0,
        instances: 2,
        routers: 1,
        ..MARSHALS
    };
    let running = Running::start(deployment, options()).await.unwrap();
    running.list.lag(span::Span::ZERO);
    let router = running.callers()[0];
    let query = Call::post("/dispatch/rosters", &key("captains"), "{}");
    ready(router, &query).await.unwrap();
    let target: id::TargetId = "dispatch-0".parse().unwrap();
    assert_eq!(running.instances[0].target, target);
    running.list.leave("agent-dispatch-0");
    time::sleep(Duration::from_secs(3)).await;
    let before = running.instances[0].service.record().executions;
    let caller = Caller::default();
    for _ in 0..40 {
        let received = caller.send(router, query.clone()).await;
        assert_eq!(received.outcome(), "done");
    }
    assert_eq!(running.instances[0].service.record().executions, before);
    deploy::Running::stop(running).await;
}

/// Connections to members that are gone must not be kept for ever, and those to
/// present ones must not be made anew.
#[tokio::test]
async fn forgotten_peers() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let peer = listener.local_addr().unwrap();
    let links = Links::new(None);
    let cancel = msg::Cancel::default();
    let call = || {
        time::timeout(
            Duration::from_millis(200),
            links.call(peer, "/cancel", &cancel),
        )
    };
    let mut open = Vec::new();
    let mut accepted = async || {
        let accepting = time::timeout(Duration::from_millis(100), listener.accept());
        let Ok(Ok(connection)) = accepting.await else {
            return false;
        };
        open.push(connection);
        true
    };
    call().await.unwrap_err();
    assert!(accepted().await, "the first call connects");
    links.retain(|kept| *kept == peer);
    call().await.unwrap_err();
    assert!(!accepted().await, "a kept connection is used again");
    links.retain(|_| false);
    call().await.unwrap_err();
    assert!(accepted().await, "a forgotten peer is connected to again");
}
