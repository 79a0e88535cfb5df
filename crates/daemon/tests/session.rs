//! Golden sessions: every message between caller, router, agent, target and
//! table, for the ordinary cases and for faults. They guard the protocol: a
//! message that is lost, added or put elsewhere shows as a difference.
//!
//! What the caller sees, what router, agent and target say to each other, and
//! the conversation with the table are lists of their own, since their parts
//! run at the same time: the record of a claim's end is written while the
//! response is on its way to the caller.

use std::{
    collections::BTreeSet,
    fmt::Write,
    fs,
    path::{Path, PathBuf},
    sync::{Mutex, OnceLock, PoisonError},
    time::Duration,
};

use base::span::Span;
use bench::{
    child::Program,
    client::{self, Call, Caller, Received},
    deploy::{Deployment, MARSHALS, Options, Running, key, ready},
    site::Site,
};
use expect_test::{Expect, expect};
use fakes::fault::{Chance, Outage};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex as Turn,
    task, time,
};
use tracing::field::{Field, Visit};
use tracing_subscriber::{Layer, layer::Context, layer::SubscriberExt, util::SubscriberInitExt};

static LINES: Mutex<Vec<Message>> = Mutex::new(Vec::new());
static CAPTURE: OnceLock<()> = OnceLock::new();
/// One session at a time: the lines of all tests go to one place.
static TURN: Turn<()> = Turn::const_new(());

#[derive(Clone, Debug, Default)]
struct Message {
    from: String,
    to: String,
    text: String,
}

impl Visit for Message {
    fn record_debug(&mut self, _: &Field, _: &dyn std::fmt::Debug) {}

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "from" => value.clone_into(&mut self.from),
            "to" => value.clone_into(&mut self.to),
            _ => value.clone_into(&mut self.text),
        }
    }
}

struct Capture;

impl<S: tracing::Subscriber> Layer<S> for Capture {
    fn enabled(&self, metadata: &tracing::Metadata<'_>, _: Context<'_, S>) -> bool {
        metadata.target() == roles::session::TARGET
    }

    fn on_event(&self, event: &tracing::Event<'_>, _: Context<'_, S>) {
        let mut message = Message::default();
        event.record(&mut message);
        lines().push(message);
    }
}

fn lines() -> std::sync::MutexGuard<'static, Vec<Message>> {
    LINES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How many successive settlements a session shows.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Settles {
    /// Each of them.
    Each,
    /// One: their number depends on when a process is back.
    One,
}

/// Takes successive pieces of a body as one: how many there are depends on how
/// the bytes arrive.
fn merged(messages: Vec<Message>, settles: Settles) -> Vec<Message> {
    let mut merged: Vec<Message> = Vec::new();
    for mut message in messages {
        if message.text.starts_with("Data") {
            "Data".clone_into(&mut message.text);
        }
        let again = merged.last().is_some_and(|last| last.text == message.text);
        let settle = settles == Settles::One && message.text.starts_with("Settle");
        let repeats = message.text == "Data" || settle;
        if !(again && repeats) {
            merged.push(message);
        }
    }
    merged
}

/// Writes the caller's part, what router, agent and target say, and the table's
/// part.
fn render(messages: &[Message], settles: Settles) -> String {
    let lane = |part: &str| {
        let ends = |message: &&Message| message.from == part || message.to == part;
        messages.iter().filter(ends).cloned().collect::<Vec<_>>()
    };
    let rest = |message: &&Message| {
        let ends = [message.from.as_str(), message.to.as_str()];
        !ends.contains(&"caller") && !ends.contains(&"table")
    };
    let rest: Vec<Message> = messages.iter().filter(rest).cloned().collect();
    let mut text = String::new();
    for messages in [lane("caller"), rest, lane("table")] {
        for message in merged(messages, settles) {
            writeln!(text, "{} -> {}: {}", message.from, message.to, message.text).unwrap();
        }
        text.push_str("--\n");
    }
    text
}

/// A deployment with one router.
struct Session {
    running: Running,
    caller: Caller,
}

impl Session {
    async fn start(engines: usize, instances: usize) -> Self {
        CAPTURE.get_or_init(|| tracing_subscriber::registry().with(Capture).init());
        let deployment = Deployment {
            engines,
            instances,
            routers: 1,
            ..MARSHALS
        };
        let options = Options {
            warm_up: base::span::Span::ZERO,
            ..Options::default()
        };
        let running = Running::start(deployment, options).await.unwrap();
        let session = Self {
            running,
            caller: Caller::default(),
        };
        let router = session.running.callers()[0];
        if instances > 0 {
            let query = Call::post("/dispatch/rosters", &key("captains"), "{}");
            ready(router, &query).await.unwrap();
        }
        if engines > 0 {
            ready(router, &chat()).await.unwrap();
        }
        // Every agent is known and up before the session begins.
        time::sleep(Duration::from_secs(3)).await;
        // The first request to an agent is refused once, because the router
        // does not know the epoch of its ledger; see the test for it.
        lines().clear();
        session
    }

    async fn send(&self, call: Call) -> Received {
        self.caller.send(self.running.callers()[0], call).await
    }

    /// Waits until the agents have no open claim, then returns the session.
    async fn text(&self) -> String {
        let mut last = usize::MAX;
        loop {
            time::sleep(Duration::from_millis(400)).await;
            let count = lines().len();
            if count == last {
                break;
            }
            last = count;
        }
        render(&std::mem::take(&mut *lines()), Settles::Each)
    }

    async fn check(&self, expected: Expect) {
        expected.assert_eq(&self.text().await);
    }
}

fn chat() -> Call {
    let body = client::chat("crew", &[("user", "ready?")], 1);
    Call::post("/v1/chat/completions", &key("captains"), body)
}

fn order(body: &str, name: &str) -> Call {
    Call::post("/dispatch", &key("captains"), body.to_owned()).with("idempotency-key", name)
}

#[tokio::test(flavor = "multi_thread")]
async fn ordinary_chat() {
    let _turn = TURN.lock().await;
    let session = Session::start(1, 0).await;
    assert_eq!(session.send(chat()).await.outcome(), "done");
    session
        .check(expect![[r#"
            caller -> router: POST /v1/chat/completions
            router -> caller: 200 done
            --
            router -> agent: Run class=Repeatable attempt=1 skip=0
            agent -> target: POST /v1/chat/completions
            target -> agent: 200
            agent -> router: Head 200 replayed=false
            agent -> router: Data
            agent -> router: End
            --
            --
        "#]])
        .await;
    session.running.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_call() {
    let _turn = TURN.lock().await;
    let session = Session::start(0, 1).await;
    assert_eq!(session.send(order("{}", "a")).await.outcome(), "done");
    session
        .check(expect![[r#"
        caller -> router: POST /dispatch
        router -> caller: 200 done
        --
        router -> agent: Run class=Keyed attempt=1 skip=0
        agent -> target: POST /dispatch
        target -> agent: 200
        agent -> router: Head 200 replayed=false
        agent -> router: Data
        agent -> router: End
        --
        agent -> table: insert claim running
        table -> agent: written as version 1
        agent -> table: write claim done over version 1
        table -> agent: written as version 2
        --
    "#]])
        .await;
    // The same key again is answered from what the agent or the row keeps.
    assert_eq!(session.send(order("{}", "a")).await.outcome(), "done");
    session
        .check(expect![[r#"
        caller -> router: POST /dispatch
        router -> caller: 200 done
        --
        router -> agent: Run class=Keyed attempt=1 skip=0
        agent -> router: Head 200 replayed=true
        agent -> router: Data
        agent -> router: End
        --
        agent -> table: insert claim running
        table -> agent: conflict
        --
    "#]])
        .await;
    // Another body with the same key is refused.
    assert_eq!(session.send(order("{1}", "a")).await.outcome(), "not-run");
    session
        .check(expect![[r#"
        caller -> router: POST /dispatch
        router -> caller: key-mismatch not-run
        --
        router -> agent: Run class=Keyed attempt=1 skip=0
        agent -> router: Refused Mismatch
        --
        agent -> table: insert claim running
        table -> agent: conflict
        --
    "#]])
        .await;
    session.running.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_claim_reply() {
    let _turn = TURN.lock().await;
    let session = Session::start(0, 1).await;
    session
        .running
        .table
        .faults(|faults| faults.lost_reply = Chance::Next(1));
    assert_eq!(session.send(order("{}", "b")).await.outcome(), "done");
    session
        .check(expect![[r#"
            caller -> router: POST /dispatch
            router -> caller: 200 done
            --
            router -> agent: Run class=Keyed attempt=1 skip=0
            agent -> target: POST /dispatch
            target -> agent: 200
            agent -> router: Head 200 replayed=false
            agent -> router: Data
            agent -> router: End
            --
            agent -> table: insert claim running
            table -> agent: no answer
            agent -> table: read claim
            table -> agent: row running
            agent -> table: write claim done over version 1
            table -> agent: written as version 2
            --
        "#]])
        .await;
    session.running.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn table_outage() {
    let _turn = TURN.lock().await;
    let session = Session::start(0, 1).await;
    session
        .running
        .table
        .faults(|faults| faults.outage = Outage::Refuse);
    assert_eq!(session.send(order("{}", "c")).await.outcome(), "not-run");
    // What follows at the table depends on time; the caller's part does not.
    let text = session.text().await;
    let caller = text.split("agent -> table").next().unwrap_or_default();
    expect![[r#"
        caller -> router: POST /dispatch
        router -> caller: store-unavailable not-run
        --
        router -> agent: Run class=Keyed attempt=1 skip=0
        agent -> router: Refused Table
        --
    "#]]
    .assert_eq(caller);
    session
        .running
        .table
        .faults(|faults| faults.outage = Outage::None);
    session.running.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_refuses() {
    let _turn = TURN.lock().await;
    let session = Session::start(0, 1).await;
    session.running.instances[0].service.crash(None);
    let single = Call::post("/dispatch", &key("captains"), "{}");
    assert_eq!(session.send(single).await.outcome(), "not-run");
    // Whether the agent learns of the crash by its health check or by this
    // request depends on time; what the caller is told does not.
    let text = session.text().await;
    let (caller, _) = text.split_once("--").unwrap();
    expect![[r#"
        caller -> router: POST /dispatch
        router -> caller: no-target not-run
    "#]]
    .assert_eq(caller);
    session.running.instances[0].service.up();
    session.running.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_response() {
    let _turn = TURN.lock().await;
    let session = Session::start(0, 1).await;
    let service = &session.running.instances[0].service;
    service.faults(|faults| faults.crossed = Chance::Next(1));
    let single = Call::post("/dispatch", &key("captains"), "{}");
    assert_eq!(session.send(single).await.outcome(), "unknown");
    session
        .check(expect![[r#"
            caller -> router: POST /dispatch
            router -> caller: outcome-unknown unknown
            --
            router -> agent: Run class=Once attempt=1 skip=0
            agent -> target: POST /dispatch
            target -> agent: 200
            agent -> router: Broken dispatched=true
            --
            --
        "#]])
        .await;
    session.running.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_stream() {
    let _turn = TURN.lock().await;
    let session = Session::start(1, 0).await;
    let engine = &session.running.engines[0].engine;
    engine.faults(|faults| {
        faults.cut = Chance::Next(1);
        faults.cut_after = 100;
    });
    let received = session.send(chat()).await;
    assert!(received.complete, "the stream was resumed");
    assert!(received.body.ends_with(b"data: [DONE]\n\n"));
    session
        .check(expect![[r#"
            caller -> router: POST /v1/chat/completions
            router -> caller: 200 done
            --
            router -> agent: Run class=Repeatable attempt=1 skip=0
            agent -> target: POST /v1/chat/completions
            target -> agent: 200
            agent -> router: Head 200 replayed=false
            agent -> router: Data
            agent -> target: resume at 100
            agent -> router: Data
            agent -> router: End
            --
            --
        "#]])
        .await;
    session.running.stop().await;
}

/// Longest wait for an answer; the deadline of a request is shorter.
const LONGEST: Duration = Duration::from_secs(60);

/// A site of separate processes, for faults that need a process. Router and
/// agents are named in the messages that they recorded themselves.
struct Processes {
    site: Site,
    logs: PathBuf,
}

impl Processes {
    async fn start(routers: usize, instances: usize, options: Options) -> Self {
        let deployment = Deployment {
            engines: 0,
            instances,
            routers,
            ..MARSHALS
        };
        let name = format!("ebonywall-session-{:032x}", base::id::random_bits());
        let logs = std::env::temp_dir().join(name);
        fs::create_dir(&logs).unwrap();
        let program = Program::Binary(env!("CARGO_BIN_EXE_ebonywalld").into());
        let site = Site::recorded(program, deployment, options, Some(logs.clone()));
        let site = site.await.unwrap();
        let session = Self { site, logs };
        session.warm().await;
        session
    }

    /// Sends calls until each agent has run one, so that the router knows all
    /// incarnations and epochs, then forgets what was recorded.
    async fn warm(&self) {
        let before: Vec<u64> = self.executions();
        for body in 0..200 {
            let call = Call::post("/dispatch/rosters", &key("captains"), body.to_string());
            self.send(0, call).await;
            if self
                .executions()
                .iter()
                .zip(&before)
                .all(|(now, old)| now > old)
            {
                break;
            }
        }
        time::sleep(Duration::from_millis(500)).await;
        for file in fs::read_dir(&self.logs).unwrap() {
            fs::write(file.unwrap().path(), "").unwrap();
        }
    }

    fn executions(&self) -> Vec<u64> {
        let instances = self.site.instances.iter();
        instances
            .map(|(service, _)| service.record().executions)
            .collect()
    }

    /// Sends a call in the background and waits until `seen` is recorded.
    async fn begin(&self, router: usize, call: Call, seen: &str) -> task::JoinHandle<Received> {
        let to = self.site.router(router);
        let sent = tokio::spawn(async move { Caller::default().send(to, call).await });
        self.seen(seen).await;
        sent
    }

    async fn seen(&self, text: &str) {
        let seen = |message: &Message| message.text.starts_with(text);
        let end = time::Instant::now() + LONGEST;
        while !self.messages().iter().any(seen) {
            assert!(time::Instant::now() < end, "{text:?} was never sent");
            time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn send(&self, router: usize, call: Call) -> Received {
        let sent = Caller::default();
        let sent = sent.send(self.site.router(router), call);
        time::timeout(LONGEST, sent).await.unwrap()
    }

    /// Returns the messages of all processes by time.
    fn messages(&self) -> Vec<Message> {
        let files = fs::read_dir(&self.logs).unwrap();
        let mut lines: Vec<(String, Message)> = files
            .flat_map(|file| recorded(&file.unwrap().path()))
            .collect();
        lines.sort_by(|one, other| one.0.cmp(&other.0));
        lines.into_iter().map(|(_, message)| message).collect()
    }

    /// Waits until the row of the last call shows its end.
    async fn text(&self) -> String {
        let mut last = usize::MAX;
        while self.messages().len() != last {
            last = self.messages().len();
            time::sleep(Duration::from_millis(600)).await;
        }
        render(&self.messages(), Settles::One)
    }

    async fn check(&self, expected: Expect) {
        expected.assert_eq(&self.text().await);
    }

    /// Returns how often the calls with a key ran.
    fn runs(&self, key: &str) -> u32 {
        self.site.executions(true).get(key).copied().unwrap_or(0)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.logs).ok();
    }
}

/// Reads the messages that one process recorded, with their times.
fn recorded(file: &Path) -> Vec<(String, Message)> {
    let process = file.file_stem().unwrap().to_str().unwrap();
    let named = |part: &str| match process.strip_prefix(part) {
        Some(_) => process.to_owned(),
        None => part.to_owned(),
    };
    let text = fs::read_to_string(file).unwrap();
    let message = |line: &str| {
        let (time, rest) = line.split_once(" level=trace from=")?;
        let (from, rest) = rest.split_once(" to=")?;
        let (to, text) = rest.split_once(" text=")?;
        let message = Message {
            from: named(from),
            to: named(to),
            text: text.trim_matches('"').to_owned(),
        };
        Some((time.to_owned(), message))
    };
    text.lines().filter_map(message).collect()
}

fn slow(delay: u64) -> Options {
    let mut options = Options::default();
    options.service.delay = Span::from_millis(delay);
    options
}

/// The caller has the head and a part of the body when its router dies. Its
/// retry through another router gets the whole response, and nothing runs again.
#[tokio::test(flavor = "multi_thread")]
async fn router_death() {
    let _turn = TURN.lock().await;
    let mut options = Options::default();
    options.service.padding = 8 << 20;
    let mut session = Processes::start(2, 1, options).await;
    let mut stream = TcpStream::connect(session.site.router(0)).await.unwrap();
    let head = format!(
        "POST /dispatch HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         idempotency-key: d\r\ncontent-length: 2\r\n\r\n{{}}",
        key("captains")
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'H');
    session.seen("written as version 2").await;
    session.site.routers[0].daemon.kill();
    let mut rest = Vec::new();
    let whole = stream.read_to_end(&mut rest).await.is_ok() && rest.len() > 8 << 20;
    assert!(!whole, "the response broke off");
    let received = session.send(1, order("{}", "d")).await;
    assert_eq!(received.outcome(), "done");
    let length = received.body.len();
    assert!(received.complete && length > 8 << 20, "{length} bytes");
    assert_eq!(session.runs("d"), 1);
    session
        .check(expect![[r#"
        caller -> router-0: POST /dispatch
        router-0 -> caller: 200 done
        caller -> router-1: POST /dispatch
        router-1 -> caller: 200 done
        --
        router-0 -> agent: Run class=Keyed attempt=1 skip=0
        agent-dispatch-0 -> target: POST /dispatch
        target -> agent-dispatch-0: 200
        agent-dispatch-0 -> router: Head 200 replayed=false
        agent-dispatch-0 -> router: Data
        router-1 -> agent: Run class=Keyed attempt=1 skip=0
        agent-dispatch-0 -> router: Head 200 replayed=true
        agent-dispatch-0 -> router: Data
        agent-dispatch-0 -> router: End
        --
        agent-dispatch-0 -> table: insert claim running
        table -> agent-dispatch-0: written as version 1
        agent-dispatch-0 -> table: write claim done over version 1
        table -> agent-dispatch-0: written as version 2
        agent-dispatch-0 -> table: insert claim running
        table -> agent-dispatch-0: conflict
        --
    "#]])
        .await;
}

/// Calls that arrive while the agent is stopped run once, when it goes on.
#[tokio::test(flavor = "multi_thread")]
async fn paused_agent() {
    let _turn = TURN.lock().await;
    let session = Processes::start(1, 1, slow(300)).await;
    let agent = &session.site.instances[0].1.daemon;
    agent.pause();
    let first = session.begin(0, order("{}", "e"), "Run").await;
    time::sleep(Duration::from_millis(200)).await;
    let second = session.begin(0, order("{}", "e"), "Run").await;
    time::sleep(Duration::from_millis(500)).await;
    agent.resume();
    assert_eq!(first.await.unwrap().outcome(), "done");
    assert_eq!(second.await.unwrap().outcome(), "done");
    assert_eq!(session.runs("e"), 1);
    // The two replies carry the same bytes at the same time, so that their
    // order differs between runs: this part is compared as a set.
    let text = session.text().await;
    let parts: Vec<&str> = text.split("--\n").collect();
    let replies: Vec<&str> = BTreeSet::from_iter(parts[1].lines()).into_iter().collect();
    let text = [parts[0], &(replies.join("\n") + "\n"), parts[2]].join("--\n");
    expect![[r#"
        caller -> router-0: POST /dispatch
        caller -> router-0: POST /dispatch
        router-0 -> caller: 200 done
        router-0 -> caller: 200 done
        --
        agent-dispatch-0 -> router: Data
        agent-dispatch-0 -> router: End
        agent-dispatch-0 -> router: Head 200 replayed=false
        agent-dispatch-0 -> router: Head 200 replayed=true
        agent-dispatch-0 -> target: POST /dispatch
        router-0 -> agent: Run class=Keyed attempt=1 skip=0
        target -> agent-dispatch-0: 200
        --
        agent-dispatch-0 -> table: insert claim running
        table -> agent-dispatch-0: written as version 1
        agent-dispatch-0 -> table: write claim done over version 1
        table -> agent-dispatch-0: written as version 2
    "#]]
    .assert_eq(&text);
}

/// An agent that is told to stop finishes the call that it has, ends with
/// status 0, and a call that comes meanwhile runs at another agent.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_drain() {
    let _turn = TURN.lock().await;
    let mut session = Processes::start(1, 2, slow(1500)).await;
    let first = session.begin(0, order("{}", "f"), "POST /dispatch").await;
    let running = |instance: &(fakes::service::Service, _)| instance.0.record().running == 1;
    let found = async {
        loop {
            if let Some(busy) = session.site.instances.iter().position(running) {
                return busy;
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let busy = time::timeout(LONGEST, found).await.unwrap();
    session.site.instances[busy].1.daemon.terminate();
    time::sleep(Duration::from_millis(500)).await;
    let second = session.send(0, order("{}", "g")).await;
    assert_eq!(second.outcome(), "done");
    assert_eq!(first.await.unwrap().outcome(), "done");
    let daemon = &mut session.site.instances[busy].1.daemon;
    assert_eq!(daemon.ended(Duration::from_secs(20)).await, Some(true));
    assert_eq!((session.runs("f"), session.runs("g")), (1, 1));
    session
        .check(expect![[r#"
        caller -> router-0: POST /dispatch
        caller -> router-0: POST /dispatch
        router-0 -> caller: 200 done
        router-0 -> caller: 200 done
        --
        router-0 -> agent: Run class=Keyed attempt=1 skip=0
        agent-dispatch-0 -> target: POST /dispatch
        router-0 -> agent: Run class=Keyed attempt=1 skip=0
        agent-dispatch-1 -> target: POST /dispatch
        target -> agent-dispatch-0: 200
        agent-dispatch-0 -> router: Head 200 replayed=false
        agent-dispatch-0 -> router: Data
        agent-dispatch-0 -> router: End
        target -> agent-dispatch-1: 200
        agent-dispatch-1 -> router: Head 200 replayed=false
        agent-dispatch-1 -> router: Data
        agent-dispatch-1 -> router: End
        --
        agent-dispatch-0 -> table: insert claim running
        table -> agent-dispatch-0: written as version 1
        agent-dispatch-1 -> table: insert claim running
        table -> agent-dispatch-1: written as version 1
        agent-dispatch-0 -> table: write claim done over version 1
        table -> agent-dispatch-0: written as version 2
        agent-dispatch-1 -> table: write claim done over version 1
        table -> agent-dispatch-1: written as version 2
        --
    "#]])
        .await;
}

/// A call whose agent died may have run: its retry through the agent's next run
/// is told so and does not run again.
#[tokio::test(flavor = "multi_thread")]
async fn agent_death() {
    let _turn = TURN.lock().await;
    let mut session = Processes::start(1, 1, slow(1000)).await;
    let first = session
        .begin(0, order("{}", "h"), "written as version 1")
        .await;
    time::sleep(Duration::from_millis(100)).await;
    let program = session.site.program.clone();
    let agent = &mut session.site.instances[0].1;
    agent.daemon.kill();
    agent.restart(&program).unwrap();
    assert_eq!(first.await.unwrap().outcome(), "unknown");
    session
        .check(expect![[r#"
        caller -> router-0: POST /dispatch
        router-0 -> caller: outcome-unknown unknown
        --
        router-0 -> agent: Run class=Keyed attempt=1 skip=0
        agent-dispatch-0 -> target: POST /dispatch
        router-0 -> agent: Settle offset=0
        agent-dispatch-0 -> router: Broken dispatched=true
        --
        agent-dispatch-0 -> table: insert claim running
        table -> agent-dispatch-0: written as version 1
        --
    "#]])
        .await;
    let query = Call::post("/dispatch/rosters", &key("captains"), "{}");
    ready(session.site.router(0), &query).await.unwrap();
    session.warm().await;
    let second = session.send(0, order("{}", "h")).await;
    assert_eq!(second.outcome(), "unknown");
    assert_eq!(session.runs("h"), 1);
    session
        .check(expect![[r#"
        caller -> router-0: POST /dispatch
        router-0 -> caller: outcome-unknown unknown
        --
        router-0 -> agent: Run class=Keyed attempt=1 skip=0
        agent-dispatch-0 -> router: Broken dispatched=true
        --
        agent-dispatch-0 -> table: insert claim running
        table -> agent-dispatch-0: conflict
        --
    "#]])
        .await;
}
