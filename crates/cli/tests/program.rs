//! Runs the program itself. Guards against options and exit codes that scripts
//! of operators rely on, and against keys that are kept in the history.

mod stub;

use std::{
    io::{ErrorKind, Write},
    net::SocketAddr,
    process::{Command, Output, Stdio},
};

use cli::prompt;
use stub::{Orders, Stub};

fn program(router: SocketAddr) -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_ebonywall"));
    program
        .env_remove("EBONYWALL_ROUTER")
        .env("EBONYWALL_KEY", "key")
        .args(["--router", &router.to_string()]);
    program
}

/// Runs the program with a text as its standard input.
async fn run(mut program: Command, input: &'static str) -> (Option<i32>, String, String) {
    let output = tokio::task::spawn_blocking(move || -> std::io::Result<Output> {
        let mut child = program
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let mut stdin = child.stdin.take().expect("the input is piped");
        match stdin.write_all(input.as_bytes()) {
            // A program that ends with a usage error does not read its input.
            Err(error) if error.kind() == ErrorKind::BrokenPipe => {}
            written => written?,
        }
        drop(stdin);
        child.wait_with_output()
    });
    let output = output.await.expect("no panic").expect("the program runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("output is text");
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[tokio::test]
async fn one_command() {
    let (stub, address) = Stub::start(Orders::Accept, 0).await;
    let mut accepted = program(address);
    accepted.args(["--wait", "delete team dies"]);
    let (code, out, err) = run(accepted, "").await;
    assert_eq!(code, Some(0), "{err}");
    assert_eq!(out, "accepted as version 7\nin force at all 1 members\n");
    let mut json = program(address);
    json.args(["--output", "json", "--command"])
        .arg("000000000000000000000000000000ff")
        .arg("delete team dies");
    let (code, out, _) = run(json, "").await;
    assert_eq!(code, Some(0));
    assert_eq!(
        out,
        "{\n  \"command\": \"000000000000000000000000000000ff\",\n  \"version\": 7\n}\n"
    );
    assert_eq!(stub.ids().len(), 2);
}

#[tokio::test]
async fn commands_from_file() {
    let (stub, address) = Stub::start(Orders::Accept, 0).await;
    let mut file = program(address);
    file.args(["--file", "-"]);
    let text = "# evening\ndelete team dies\n\ndelete taem sales\ndelete team artwork\n";
    let (code, out, err) = run(file, text).await;
    assert_eq!(code, Some(2));
    assert_eq!(out, "accepted as version 7\n");
    assert!(err.contains("did you mean \"team\"?"), "{err}");
    assert!(err.ends_with("stopped at line 4\n"), "{err}");
    assert_eq!(stub.ids().len(), 1);
}

#[tokio::test]
async fn commands_from_terminal() {
    let (stub, address) = Stub::start(Orders::Accept, 0).await;
    let text = "delete taem dies\ndelete team dies\n";
    let (code, out, _) = run(program(address), text).await;
    assert_eq!(code, Some(0));
    assert!(out.contains("accepted as version 7\n"), "{out}");
    assert_eq!(stub.ids().len(), 1);
}

#[tokio::test]
async fn usage() {
    let (stub, address) = Stub::start(Orders::Accept, 0).await;
    let mut unknown = program(address);
    unknown.arg("dlete team dies");
    assert_eq!(run(unknown, "").await.0, Some(2));
    let mut base = program(address);
    base.args(["--file", "-", "--base", "3"]);
    assert_eq!(run(base, "delete team dies\n").await.0, Some(2));
    let mut flag = program(address);
    flag.args(["--dry", "delete team dies"]);
    assert_eq!(run(flag, "").await.0, Some(2));
    let mut help = program(address);
    help.env_remove("EBONYWALL_KEY").arg("help delete");
    let (code, out, _) = run(help, "").await;
    assert_eq!(code, Some(0));
    assert!(out.starts_with("delete team TEAM [why TEXT]\n"), "{out}");
    let mut keyless = program(address);
    keyless.env_remove("EBONYWALL_KEY").arg("show teams");
    let (code, _, err) = run(keyless, "").await;
    assert_eq!(code, Some(2), "{err}");
    assert!(stub.ids().is_empty());
}

/// A program that ends with a usage error leaves its input unread, so that
/// writing a long one fails with a broken pipe.
#[tokio::test]
async fn unread_input() {
    static INPUT: [u8; 1 << 20] = [b'\n'; 1 << 20];
    let (stub, address) = Stub::start(Orders::Accept, 0).await;
    let mut base = program(address);
    base.args(["--file", "-", "--base", "3"]);
    let input = std::str::from_utf8(&INPUT).expect("a text");
    assert_eq!(run(base, input).await.0, Some(2));
    assert!(stub.ids().is_empty());
}

#[test]
fn keys_not_kept() {
    assert!(prompt::may_keep("update team dies open 3"));
    assert!(prompt::may_keep("add key team dies env KEY"));
    assert!(!prompt::may_keep("add key team dies secret opensesame"));
    assert!(!prompt::may_keep("add key team dies \"secret\" opensesame"));
    assert!(!prompt::may_keep("add key team dies secret \"opensesame"));
}
