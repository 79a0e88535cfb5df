//! Guards the stand-ins as separate processes, which failure tests rely on.

use std::{
    env,
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Command, Stdio},
    time::Duration,
};

#[test]
fn own_process() {
    let tests = env::current_exe().unwrap();
    let target = tests.parent().unwrap().parent().unwrap();
    let mut child = Command::new(target.join("examples/stand"))
        .args(["engine", "--options", r#"{"slots":4}"#])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut address = String::new();
    let output = child.stdout.take().unwrap();
    BufReader::new(output).read_line(&mut address).unwrap();
    let mut stream = TcpStream::connect(address.trim()).unwrap();
    let limit = Some(Duration::from_secs(10));
    stream.set_read_timeout(limit).unwrap();
    let request = b"GET /load HTTP/1.1\r\nhost: stand\r\nconnection: close\r\n\r\n";
    stream.write_all(request).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    assert!(reply.ends_with(r#"{"running":0,"waiting":0,"slots":4}"#));
    drop(child.stdin.take());
    assert!(child.wait().unwrap().success(), "it ends with its input");
}
