//! Guards planned changes against cut requests, work at a target that a plan
//! keeps out, and orders that a target carries out twice or in the wrong order.
//!
//! The deployment runs in this process; agents that are killed or stopped are
//! processes of the shipped binary.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::id;
use bench::{
    client::{self, Call, Caller, Received},
    deploy::{self, Deployment, MARSHALS, Options, Running, key},
};
use conf::settings;
use daemon::{
    plans::{self, Listed, PlanError, Post, Sight},
    platform::Platform,
};
use fakes::engine;
use plan::plan::{Condition, Kind, Operation, Plan, Request, State};
use tokio::time;

/// Time for a plan to end on a slow machine.
const PLAN_TIME: Duration = Duration::from_secs(90);

fn name<T: std::str::FromStr<Err = id::IdError>>(text: &str) -> T {
    text.parse().unwrap()
}

fn target(number: usize) -> id::TargetId {
    name(&format!("crew-{number}"))
}

/// Acts as an operator would at a router that knows all engines.
struct Desk {
    platform: Platform,
    sight: Sight,
}

impl Desk {
    fn new(running: &Running, engines: usize, fencing: bool) -> Self {
        let platform = Platform::new(&settings::Platform {
            table: running.table.address(),
            objects: running.objects.address(),
            instances: running.list.address(),
        });
        let post = Post {
            condition: Condition::Up,
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        let service: id::ServiceId = name("crew");
        let mut sight = Sight::default();
        sight.fencing.insert(service.clone(), fencing);
        let targets = (0..engines).map(|number| (target(number), post));
        sight.targets.insert(service, targets.collect());
        Self { platform, sight }
    }

    async fn create(&self, id: &str, kind: Kind, targets: &[usize], wave: u32, keep: u32) -> Plan {
        let request = Request {
            id: name(id),
            service: name("crew"),
            kind,
            targets: targets.iter().map(|number| target(*number)).collect(),
            wave,
            keep,
        };
        plans::create(&self.platform, &self.sight, &request)
            .await
            .unwrap()
    }

    async fn operate(&self, id: &str, operation: Operation) -> Plan {
        plans::operate(&self.platform, &name(id), &operation)
            .await
            .unwrap()
    }

    async fn plan(&self, id: &str) -> Option<Listed> {
        let all = plans::list(&self.platform, &self.sight).await.ok()?;
        all.into_iter().find(|listed| listed.plan.id.as_str() == id)
    }

    /// Waits until a plan fulfils a condition.
    async fn until(&self, id: &str, what: &str, holds: impl Fn(&Plan) -> bool) -> Plan {
        let end = Instant::now() + PLAN_TIME;
        loop {
            let found = self.plan(id).await;
            if let Some(listed) = found.as_ref().filter(|listed| holds(&listed.plan)) {
                return listed.plan.clone();
            }
            assert!(Instant::now() < end, "{what}: {found:?}");
            time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn state(&self, id: &str, state: State) -> Plan {
        let what = format!("plan {id} is not {state}");
        self.until(id, &what, |plan| plan.state == state).await
    }
}

fn options(engine: engine::Options) -> Options {
    Options {
        engine,
        warm_up: base::span::Span::from_millis(200),
        ..Options::default()
    }
}

async fn start(engines: usize, engine: engine::Options) -> Running {
    let deployment = Deployment {
        engines,
        instances: 0,
        routers: 2,
        ..MARSHALS
    };
    let running = Running::start(deployment, options(engine)).await.unwrap();
    for router in running.callers() {
        deploy::ready(router, &chat("ready?", 1)).await.unwrap();
    }
    running
}

fn chat(text: &str, tokens: u32) -> Call {
    let body = client::chat("crew", &[("user", text)], tokens);
    Call::post("/v1/chat/completions", &key("captains"), body)
}

/// Asserts that a streamed response came whole.
fn assert_whole(received: &Received) {
    let body = String::from_utf8_lossy(&received.body);
    let status = received.status;
    assert!(received.complete, "status {status:?}, body {body}");
    assert!(body.trim_end().ends_with("data: [DONE]"), "{body}");
}

/// A drain that cuts a stream, or that does not keep new work away, breaks the
/// promises about leaving targets.
#[tokio::test(flavor = "multi_thread")]
async fn drain_whole() {
    let pace = base::span::Span::from_millis(40);
    let engine = engine::Options {
        pace,
        ..engine::Options::fast()
    };
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
    desk.until("drain", what, |plan| plan.keeps_out(&target(busy)))
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
    assert!(plan.keeps_out(&target(busy)));
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
    let running = start(3, engine::Options::fast()).await;
    let desk = Desk::new(&running, 3, true);
    desk.create("drain", Kind::Drain, &[0, 1], 1, 1).await;
    let paused = desk.operate("drain", Operation::Pause).await;
    assert_eq!(paused.state, State::Paused);
    time::sleep(Duration::from_secs(15)).await;
    let plan = desk.plan("drain").await.unwrap().plan;
    assert!(!plan.keeps_out(&target(0)), "a paused plan opened a step");

    desk.operate("drain", Operation::Resume).await;
    desk.state("drain", State::Done).await;
    let again = plans::operate(&desk.platform, &name("drain"), &Operation::Pause).await;
    assert!(matches!(again, Err(PlanError::Rejected(_))), "{again:?}");

    desk.operate("drain", Operation::Abort).await;
    let plan = desk.state("drain", State::Aborted).await;
    assert!(!plan.keeps_out(&target(0)) && !plan.keeps_out(&target(1)));
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
