//! Guards against orders that are lost, given twice or reported wrongly when
//! connections, routers or the table fail, and against clients that take more
//! than their part of a router.

mod common;
mod stub;

use std::{path::PathBuf, time::Duration};

use base::span::Span;
use bench::deploy::{self, OPERATOR_KEY};
use cli::{
    code::Code,
    connect::{Client, Tls},
    session::{Screen, Session},
};
use common::Operator;
use conf::settings;
use fakes::fault;
use lang::api::Key;
use stub::{Orders, Stub};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};
use tokio_util::sync::CancellationToken;

const ORDER: &str = "update team dies weight 300";

/// A lost connection is retried with the same command id.
#[tokio::test]
async fn connection_lost() {
    let (stub, address) = Stub::start(Orders::Break(2), 0).await;
    let mut operator = Operator::at(vec![address.to_string()], "key");
    let (code, out, err) = operator.run(ORDER).await;
    assert_eq!(
        (code, out.as_str()),
        (Code::Done, "accepted as version 7\n"),
        "{err}"
    );
    let ids = stub.ids();
    assert_eq!(ids.len(), 3);
    assert!(ids.iter().all(|id| *id == ids[0]));
}

/// An order that a router received and did not answer is not reported as not
/// accepted.
#[tokio::test]
async fn answer_lost() {
    let (stub, address) = Stub::start(Orders::Break(usize::MAX), 0).await;
    let mut operator = Operator::at(vec![address.to_string()], "key");
    let (code, _, err) = operator.run(ORDER).await;
    assert_eq!(code, Code::Undecided, "{err}");
    assert!(
        err.contains(&format!("--command {}", stub.ids()[0])),
        "{err}"
    );
}

/// The next router is tried when one does not answer.
#[tokio::test]
async fn router_gone() {
    let (stub, address) = Stub::start(Orders::Accept, 0).await;
    let gone = deploy::free_address().expect("a free port").to_string();
    let mut operator = Operator::at(vec![gone, address.to_string()], "key");
    let (code, _, err) = operator.run(ORDER).await;
    assert_eq!(code, Code::Done, "{err}");
    assert_eq!(stub.ids().len(), 1);
}

#[tokio::test]
async fn no_router() {
    let gone = deploy::free_address().expect("a free port").to_string();
    let mut operator = Operator::at(vec![gone], "key");
    let (code, _, err) = operator.run(ORDER).await;
    assert_eq!(code, Code::Unreachable);
    assert!(err.contains("no router answers"), "{err}");
}

/// An outcome that stays unknown is reported with the id to repeat it.
#[tokio::test]
async fn undecided() {
    let (stub, address) = Stub::start(Orders::Undecided, 0).await;
    let mut operator = Operator::at(vec![address.to_string()], "key");
    let (code, _, err) = operator.run(ORDER).await;
    assert_eq!(code, Code::Undecided);
    let ids = stub.ids();
    assert!(ids.len() > 1 && ids.iter().all(|id| *id == ids[0]));
    assert!(err.contains(&format!("--command {}", ids[0])), "{err}");
}

#[tokio::test]
async fn wait_ends() {
    let (_stub, address) = Stub::start(Orders::Accept, 2).await;
    let mut operator = Operator::at(vec![address.to_string()], "key");
    operator.options.wait = true;
    let (code, out, err) = operator.run(ORDER).await;
    assert_eq!(code, Code::Done);
    assert_eq!(out, "accepted as version 7\nin force at all 1 members\n");
    let progress = "waiting for version 7: lowest 6, 1 of 1 members lag: agent-0\n";
    assert_eq!(err, progress);
}

#[tokio::test]
async fn wait_timeout() {
    let (_stub, address) = Stub::start(Orders::Accept, usize::MAX).await;
    let mut operator = Operator::at(vec![address.to_string()], "key");
    operator.options.wait = true;
    operator.options.wait_time = Span::from_millis(500);
    let (code, out, err) = operator.run(ORDER).await;
    assert_eq!(code, Code::Timeout);
    assert_eq!(out, "accepted as version 7\n");
    assert!(
        err.ends_with("error: version 7 is not in force everywhere yet\n"),
        "{err}"
    );
}

/// A router that still shows a member with the version before is asked again,
/// because it learns of that member's version later than another router did.
#[tokio::test]
async fn lagging_ends() {
    let (_stub, address) = Stub::start(Orders::Accept, 2).await;
    let mut operator = Operator::at(vec![address.to_string()], "key");
    operator.options.wait = true;
    let (code, out, err) = operator.run("show lagging").await;
    assert_eq!(code, Code::Done);
    let shown = "version 7 here, lowest 7 among 1 members\nno member lags\n";
    assert_eq!(out, shown);
    let progress = "waiting for version 7: lowest 6, 1 of 1 members lag: agent-0\n";
    assert_eq!(err, progress);
}

/// A member that lags for longer than the wait time is named.
#[tokio::test]
async fn lagging_timeout() {
    let (_stub, address) = Stub::start(Orders::Accept, usize::MAX).await;
    let mut operator = Operator::at(vec![address.to_string()], "key");
    operator.options.wait = true;
    operator.options.wait_time = Span::from_millis(300);
    let (code, out, err) = operator.run("show lagging").await;
    assert_eq!(code, Code::Timeout);
    assert!(out.contains("agent-0  agent  6"), "{out}");
    assert!(
        err.ends_with("error: version 7 is not in force everywhere yet\n"),
        "{err}"
    );
}

/// The same command id given again is recognised, and one that was used for
/// another order is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn command_repeated() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    let mut other = Operator::new(&running, 1, OPERATOR_KEY);
    let id = base::id::CommandId(7);
    operator.options.command = Some(id);
    other.options.command = Some(id);
    assert_eq!(operator.run(ORDER).await.0, Code::Done);
    let (code, out, err) = other.run(ORDER).await;
    assert_eq!(
        (code, out.as_str()),
        (Code::Done, "accepted as version 2\n"),
        "{err}"
    );
    let (code, _, err) = other.run("update team dies weight 3").await;
    assert_eq!(code, Code::Refused);
    assert!(
        err.contains("was used for another order, which is version 2"),
        "{err}"
    );
    running.stop().await;
}

/// While replies of the table get lost, an order that is reported as accepted
/// is in the history once, and one that is reported as not accepted is not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replies_lost() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    running
        .table
        .faults(|faults| faults.lost_reply = fault::Chance::Share(0.3));
    let mut codes = Vec::new();
    for number in 0..10 {
        let (code, _, err) = operator.run(&format!("create team t{number}")).await;
        codes.push((code, err));
    }
    running
        .table
        .faults(|faults| faults.lost_reply = fault::Chance::Never);
    let rows = running.table.backup();
    let changes: Vec<String> = rows
        .iter()
        .filter(|row| row.key.starts_with(conf::row::CHANGES))
        .map(|row| row.value.to_string())
        .collect();
    for (number, (code, err)) in codes.iter().enumerate() {
        let team = format!("\"id\":\"t{number}\"");
        let count = changes
            .iter()
            .filter(|change| change.contains(&team))
            .count();
        match code {
            Code::Done => assert_eq!(count, 1, "t{number}"),
            Code::Undecided => assert!(count <= 1, "t{number} {err}"),
            _ => assert_eq!(count, 0, "t{number} {err}"),
        }
    }
    running.stop().await;
}

/// While the table is down, orders are refused and questions are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn table_down() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    running
        .table
        .faults(|faults| faults.outage = fault::Outage::Refuse);
    let (code, _, err) = operator.run(ORDER).await;
    assert_eq!(code, Code::Unreachable, "{err}");
    assert!(err.contains("the table does not answer"), "{err}");
    assert_eq!(operator.run("show teams").await.0, Code::Done);
    running
        .table
        .faults(|faults| faults.outage = fault::Outage::None);
    running.stop().await;
}

/// A quarantine that an operator lifts lets the content run again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantine_lifted() {
    let running = common::start().await;
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    let refused = operator.say("lift quarantine 00000000000000aa").await;
    assert!(
        refused.contains("content 00000000000000aa is not in quarantine\nexit 3"),
        "{refused}"
    );
    for slot in &running.engines {
        slot.engine.faults(|faults| {
            faults.crash_marker = Some("poison".to_owned());
            faults.restart = Some(Span::from_millis(300));
        });
    }
    let body = bench::client::chat("drafting", &[("user", "a poison brief")], 4);
    let call = bench::client::Call::post("/v1/chat/completions", &deploy::key("dies"), body);
    let caller = bench::client::Caller::default();
    let end = time::Instant::now() + Duration::from_secs(30);
    let content = loop {
        caller.send(running.callers()[0], call.clone()).await;
        let (_, shown, _) = operator.run("show quarantine").await;
        if let Some(line) = shown.lines().find(|line| line.contains(" true ")) {
            break line
                .split_whitespace()
                .next()
                .expect("a content")
                .to_owned();
        }
        assert!(time::Instant::now() < end, "{shown}");
        time::sleep(Duration::from_millis(200)).await;
    };
    for slot in &running.engines {
        slot.engine.faults(|faults| faults.crash_marker = None);
    }
    let lifted = operator
        .say(&format!("lift quarantine {content} why patched"))
        .await;
    assert!(lifted.contains("accepted as version 2"), "{lifted}");
    let (_, shown, _) = operator.run("show quarantine").await;
    assert!(!shown.contains(" true "), "{shown}");
    let (_, shown, _) = operator.run("show changes last 1").await;
    assert!(
        shown.contains(&format!("lift quarantine {content}")),
        "{shown}"
    );
    loop {
        let received = caller.send(running.callers()[0], call.clone()).await;
        if received.status.is_some_and(|status| status.is_success()) {
            break;
        }
        assert!(time::Instant::now() < end, "{:?}", received.status);
        time::sleep(Duration::from_millis(200)).await;
    }
    running.stop().await;
}

/// A request that is longer than the limit ends its connection, and the router
/// goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_request() {
    let running = common::start().await;
    let address = running.routers[0]
        .settings
        .listen
        .operators
        .expect("an address");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let length = u32::try_from(lang::api::MAX_REQUEST + 1).expect("a length");
    stream
        .write_all(&length.to_be_bytes())
        .await
        .expect("written");
    let mut rest = Vec::new();
    let read = time::timeout(Duration::from_secs(5), stream.read_to_end(&mut rest)).await;
    assert!(read.is_ok(), "the router keeps the connection");
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    assert_eq!(operator.run("show teams").await.0, Code::Done);
    running.stop().await;
}

/// Connections beyond the limit are closed at once, and a place that becomes
/// free is used again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_connections() {
    let running = common::start().await;
    let address = running.routers[0]
        .settings
        .listen
        .operators
        .expect("an address");
    let mut open = Vec::new();
    for _ in 0..32 {
        open.push(TcpStream::connect(address).await.expect("a connection"));
    }
    let mut surplus = TcpStream::connect(address).await.expect("a connection");
    let mut rest = Vec::new();
    let read = time::timeout(Duration::from_secs(5), surplus.read_to_end(&mut rest)).await;
    assert!(read.is_ok(), "the router keeps the connection");
    drop(open);
    let mut operator = Operator::new(&running, 0, OPERATOR_KEY);
    assert_eq!(operator.run("show teams").await.0, Code::Done);
    running.stop().await;
}

struct Files(PathBuf);

impl Drop for Files {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

impl Files {
    fn new() -> Self {
        let name = format!("ebonywall-{:032x}", base::id::random_bits());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir(&directory).expect("a directory");
        Self(directory)
    }

    /// Writes a certificate for the loopback address and its key.
    fn certificate(&self, name: &str) -> settings::Certificate {
        let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]);
        let made = made.expect("a certificate");
        let certificate = self.0.join(format!("{name}.pem"));
        let key = self.0.join(format!("{name}.key"));
        std::fs::write(&certificate, made.cert.pem()).expect("written");
        std::fs::write(&key, made.signing_key.serialize_pem()).expect("written");
        settings::Certificate { certificate, key }
    }
}

/// With a callers' certificate in the settings, only a client that checks it
/// and speaks TLS is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tls() {
    let running = common::start().await;
    let files = Files::new();
    let mut settings = running.router_settings(7).expect("settings");
    let own = files.certificate("own");
    let foreign = files.certificate("foreign");
    settings.tls.callers = Some(own.clone());
    let address = settings.listen.operators.expect("an address").to_string();
    let stop = CancellationToken::new();
    let router = roles::router::start(settings, running.options.tuning, stop.clone());
    let router = tokio::spawn(router.await.expect("the router starts"));

    let run = async |tls: Option<Tls>| {
        let client = Client::new(vec![address.clone()], Key(OPERATOR_KEY.to_owned()), tls);
        let mut session = Session::new(client, common::options());
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let mut screen = Screen {
            out: &mut out,
            err: &mut err,
        };
        session.run("show teams", &mut screen).await
    };
    let tls = |certificate: &settings::Certificate| {
        Some(Tls::new(&certificate.certificate, None).expect("a certificate"))
    };
    let end = time::Instant::now() + Duration::from_secs(20);
    while run(tls(&own)).await != Code::Done {
        assert!(time::Instant::now() < end, "the router is not ready");
    }
    assert_eq!(run(tls(&foreign)).await, Code::Unreachable);
    assert_eq!(run(None).await, Code::Unreachable);
    stop.cancel();
    router.await.expect("the router stops");
    running.stop().await;
}
