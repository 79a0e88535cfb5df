//! The exit codes of `ebonywalld explain`, which scripts of operators depend on.

use std::{
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    sync::Arc,
};

use edge::{control, metrics, shared::Shared};
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
    site::{self, Ports},
};
use platform::settings::Settings;
use tokio::time::{self, Duration};

const KEY: &str = "key-1";

fn explain(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ebonywalld"));
    let output = command.arg("explain").args(arguments).output();
    output.expect("the program runs")
}

fn ask(router: SocketAddr, more: &[&str]) -> Output {
    let router = router.to_string();
    let mut arguments = vec!["--router", &router, "--host", "h.example"];
    arguments.extend(more);
    explain(&arguments)
}

/// Starts a router in this process.
async fn router(table: &Rows) -> Arc<Shared> {
    let ports = Ports::free().expect("free ports");
    let text = ports.settings("router-1", table.address());
    let shared = Shared::new(Settings::decode(&text).expect("valid settings"));
    tokio::spawn(control::run(shared.clone()));
    let served = metrics::serve(shared.clone()).await;
    served.expect("the metrics address");
    shared
}

#[tokio::test(flavor = "multi_thread")]
async fn sent_and_refused() {
    let table = Rows::start().expect("a table");
    site::configure(&table, 1, &[KEY]);
    let target = Runner::start("i-0", Behaviour::ByPath).expect("a target");
    site::list_runner(&table, &target, "ready");
    let shared = router(&table).await;
    for _ in 0..500 {
        let fleet = shared.fleet.load();
        if shared.is_ready() && fleet.iter().any(|fleet| fleet.targets().count() == 1) {
            break;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    let address = shared.settings.metrics;
    let sent = ask(
        address,
        &["--path", "/again/x", "--key", KEY, "--seed", "7"],
    );
    assert_eq!(sent.status.code(), Some(0), "{sent:?}");
    let text = String::from_utf8_lossy(&sent.stdout);
    assert!(
        text.contains("would be sent") && text.contains("i-0"),
        "{text}"
    );
    let refused = ask(address, &["--path", "/none", "--output", "json"]);
    assert_eq!(refused.status.code(), Some(1), "{refused:?}");
    let report: serde_json::Value = serde_json::from_slice(&refused.stdout).expect("JSON");
    assert_eq!(report["admission"]["reason"], "no-rule");
}

#[test]
fn usage() {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    for wrong in [
        &["--path", "/x", "--output", "xml"][..],
        &["--path", "x"],
        &["--path", "/x", "--key", "k", "--team", "t"],
        &["--path", "/x", "--prompt", "a"],
        &["--path", "/x", "--left", "soon"],
        &[],
    ] {
        let output = ask(address, wrong);
        assert_eq!(output.status.code(), Some(2), "{wrong:?}: {output:?}");
        assert!(!output.stderr.is_empty(), "{wrong:?}");
    }
}

#[test]
fn no_answer() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let output = ask(address, &["--path", "/x"]);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
}
