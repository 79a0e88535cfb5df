//! A deployment on loopback, and operators whose sessions are written down.

use bench::deploy::{self, Deployment, Options as Parts, Running};
use cli::{
    code::Code,
    connect::Client,
    options::{Options, Output},
    session::{Screen, Session},
};
use lang::api::Key;

/// A deployment that is as small as a fleet can be.
pub const SMALL: Deployment = Deployment {
    name: "small",
    centres: ["shah-alam", "petaling", "subang"],
    model: "drafting",
    engines: 2,
    plain: ("orders", "/orders"),
    instances: 1,
    routers: 2,
    teams: &[("artwork", 200), ("dies", 100)],
    queries: "/orders/status",
};

/// Starts the deployment and waits until all members use its configuration.
pub async fn start() -> Running {
    let parts = Parts {
        warm_up: base::span::Span::ZERO,
        ..Parts::default()
    };
    let running = Running::start(SMALL, parts)
        .await
        .expect("the deployment starts");
    for router in 0..running.routers.len() {
        ready(&running, router).await;
    }
    running
}

/// Waits until a router knows that all members use the first configuration.
async fn ready(running: &Running, router: usize) {
    let mut operator = Operator::new(running, router, deploy::OPERATOR_KEY);
    let end = std::time::Instant::now() + std::time::Duration::from_secs(20);
    loop {
        let shown = operator.say("show lagging").await;
        if shown.contains("version 1 here, lowest 1 among 5 members") {
            return;
        }
        assert!(std::time::Instant::now() < end, "not ready: {shown}");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
}

/// The options of a session without any.
pub fn options() -> Options {
    Options {
        router: Vec::new(),
        key_file: None,
        key_env: None,
        ca: None,
        server_name: None,
        output: Output::Table,
        why: String::new(),
        dry_run: false,
        base: None,
        command: None,
        wait: false,
        wait_time: base::span::Span::from_secs(20),
        file: None,
        history: None,
        line: None,
    }
}

/// An operator at one router.
pub struct Operator {
    routers: Vec<String>,
    key: String,
    /// Options of the commands that follow.
    pub options: Options,
}

impl Operator {
    /// Makes an operator who uses the router with this number.
    pub fn new(running: &Running, router: usize, key: &str) -> Self {
        let address = running.routers[router].settings.listen.operators;
        Self::at(
            vec![address.expect("routers accept operators").to_string()],
            key,
        )
    }

    /// Makes an operator who uses these routers.
    pub fn at(routers: Vec<String>, key: &str) -> Self {
        Self {
            routers,
            key: key.to_owned(),
            options: options(),
        }
    }

    /// Runs a command; returns the exit code, the answer and the errors.
    pub async fn run(&mut self, line: &str) -> (Code, String, String) {
        let client = Client::new(self.routers.clone(), Key(self.key.clone()), None);
        let mut session = Session::new(client, self.options.clone());
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let mut screen = Screen {
            out: &mut out,
            err: &mut err,
        };
        let code = session.run(line, &mut screen).await;
        let text = |bytes| String::from_utf8(bytes).expect("output is text");
        (code, text(out), text(err))
    }

    /// Runs a command; returns a transcript without what depends on time.
    pub async fn say(&mut self, line: &str) -> String {
        let (code, out, err) = self.run(line).await;
        // Progress names the members that lag at one moment.
        let err: String = err
            .lines()
            .filter(|line| !line.starts_with("waiting for"))
            .map(|line| format!("{line}\n"))
            .collect();
        let mut text = format!("> {line}\n{}{}", still(&out), still(&err));
        if code != Code::Done {
            text += &format!("exit {}\n", code as i32);
        }
        text
    }

    /// Runs commands; returns their transcripts.
    #[allow(dead_code, reason = "not every test file runs whole sessions")]
    pub async fn session(&mut self, lines: &[&str]) -> String {
        let mut text = String::new();
        for line in lines {
            text += &self.say(line).await;
        }
        text
    }
}

/// Replaces times of day by one.
fn still(text: &str) -> String {
    const TIME: &str = "2026-01-01T00:00:00Z";
    let mut out = String::new();
    let mut rest = text;
    while let Some(end) = rest.find("Z ") {
        let (head, tail) = rest.split_at(end + 1);
        let is_time = head.len() >= TIME.len()
            && head.is_char_boundary(head.len() - TIME.len())
            && head[head.len() - TIME.len()..]
                .chars()
                .zip(TIME.chars())
                .all(|(left, right)| left.is_ascii_digit() == right.is_ascii_digit());
        match is_time {
            true => {
                out += &head[..head.len() - TIME.len()];
                out += TIME;
            }
            false => out += head,
        }
        rest = tail;
    }
    out + rest
}
