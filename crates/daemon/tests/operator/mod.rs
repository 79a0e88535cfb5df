//! Helpers of the tests of planned changes: an operator, a deployment and callers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{id, rate, span};
use bench::{
    client::{self, Call, Caller, Received},
    deploy::{self, Deployment, MARSHALS, Options, Running, key},
};
use conf::{change::FleetUpdate, settings};
use fakes::engine;
use plan::plan::{Action, Artifact, Condition, Kind, Operation, Plan, Request, Roll, Stage, State};
use roles::{
    plans::{self, Listed, Post, Sight},
    platform::Platform,
};
use tokio::{sync::Mutex, task::JoinSet, time};
use tokio_util::sync::CancellationToken;

/// Weight loads that run at once.
pub const LOADS: u32 = 2;

/// Callers of [`load`].
const CALLERS: usize = 6;

/// One deployment at a time: several make the machine slow.
pub static DEPLOYMENT: Mutex<()> = Mutex::const_new(());

/// Time for a plan to end on a slow machine.
pub const PLAN_TIME: Duration = Duration::from_secs(90);

pub fn name<T: std::str::FromStr<Err = id::IdError>>(text: &str) -> T {
    text.parse().unwrap()
}

pub fn target(number: usize) -> id::TargetId {
    name(&format!("crew-{number}"))
}

/// Acts as an operator would at a router that knows all engines.
pub struct Desk {
    pub platform: Platform,
    pub sight: Sight,
}

impl Desk {
    pub fn new(running: &Running, engines: usize, fencing: bool) -> Self {
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

    pub async fn create(
        &self,
        id: &str,
        kind: Kind,
        targets: &[usize],
        wave: u32,
        keep: u32,
    ) -> Plan {
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

    pub async fn operate(&self, id: &str, operation: Operation) -> Plan {
        plans::operate(&self.platform, &name(id), &operation)
            .await
            .unwrap()
    }

    pub async fn plan(&self, id: &str) -> Option<Listed> {
        let all = plans::list(&self.platform, &self.sight).await.ok()?;
        all.into_iter().find(|listed| listed.plan.id.as_str() == id)
    }

    /// Waits until a plan fulfils a condition.
    pub async fn until(&self, id: &str, what: &str, holds: impl Fn(&Plan) -> bool) -> Plan {
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

    pub async fn state(&self, id: &str, state: State) -> Plan {
        let what = format!("plan {id} is not {state}");
        self.until(id, &what, |plan| plan.state == state).await
    }
}

pub fn options(engine: engine::Options) -> Options {
    Options {
        engine,
        warm_up: span::Span::from_millis(200),
        fleet: FleetUpdate {
            weight_loads: Some(LOADS),
            weight_rate: Some(rate::Rate(5.0)),
            ..FleetUpdate::default()
        },
        ..Options::default()
    }
}

pub async fn start(engines: usize, engine: engine::Options) -> Running {
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

pub fn chat(text: &str, tokens: u32) -> Call {
    let body = client::chat("crew", &[("user", text)], tokens);
    Call::post("/v1/chat/completions", &key("captains"), body)
}

/// Asserts that a streamed response came whole.
pub fn assert_whole(received: &Received) {
    let body = String::from_utf8_lossy(&received.body);
    let status = received.status;
    assert!(received.complete, "status {status:?}, body {body}");
    assert!(body.trim_end().ends_with("data: [DONE]"), "{body}");
}

pub fn roll() -> Kind {
    Kind::Roll(Roll {
        load: Artifact {
            model: "crew".parse().unwrap(),
            adapter: None,
            version: Some("v2".parse().unwrap()),
        },
        unload: None,
    })
}

/// Returns the targets of a plan whose engines may be loading.
pub fn loading(plan: &Plan) -> Vec<id::TargetId> {
    let targets = plan.targets.iter().filter(|(_, progress)| {
        matches!(progress.step(), Some(Action::Load(_)))
            && matches!(progress.stage, Stage::Taken(_))
    });
    targets.map(|(target, _)| target.clone()).collect()
}

/// Calls through all routers until it is stopped, and asserts that each response
/// is whole or refused before it ran. Returns how many were whole.
pub async fn load(routers: Vec<SocketAddr>, stop: CancellationToken) -> usize {
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let router = routers[number % routers.len()];
        callers.spawn(call(router, number, stop.clone()));
    }
    callers.join_all().await.into_iter().sum()
}

async fn call(router: SocketAddr, number: usize, stop: CancellationToken) -> usize {
    let caller = Caller::default();
    let mut whole = 0;
    for turn in 0.. {
        if stop.is_cancelled() {
            break;
        }
        let text = format!("caller {number} chat {turn}");
        let received = caller.send(router, chat(&text, 20)).await;
        if received.outcome() == "not-run" {
            time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        assert_whole(&received);
        whole += 1;
    }
    whole
}
