//! Guards the errors of settings: each names the file, the line, the key and
//! what is allowed, because an operator has nothing else to go by.

use std::path::Path;

use conf::settings;
use expect_test::expect;

const ROUTER: &str = r#"{
  // A router of the tests.
  "process": "router-1",
  "role": "router",
  "data_centre": "subang",
  "listen": {
    "callers": "127.0.0.1:7001",
    "peers": "127.0.0.1:7002",
    "operators": "127.0.0.1:7003",
    "health": "127.0.0.1:7004",
  },
  "advertise": "127.0.0.1:7002",
  "seeds": ["127.0.0.1:7012"],
  "platform": {
    "table": "127.0.0.1:7801",
    "objects": "127.0.0.1:7802",
    "instances": "127.0.0.1:7803",
  },
  "limits": { "body": "1MiB", "deadline": "2min" },
  "threads": 2,
  "control_rate": "5KiB/s",
  "settle_time": "5s",
  "hint_secret": "0123456789abcdef0123456789abcdef",
}"#;

const AGENT: &str = r#"{
  "process": "agent-1",
  "role": "agent",
  "data_centre": "subang",
  "listen": { "peers": "127.0.0.1:7102", "health": "127.0.0.1:7104" },
  "advertise": "127.0.0.1:7102",
  "platform": {
    "table": "127.0.0.1:7801",
    "objects": "127.0.0.1:7802",
    "instances": "127.0.0.1:7803",
  },
  "agent": {
    "target": "runner-1",
    "address": "127.0.0.1:9001",
    "service": "drafting",
    "kind": "engine",
    "slots": 16,
    "orders": "127.0.0.1:9001",
  },
}"#;

fn outcome(text: &str) -> String {
    match settings::parse(text, "router.json", Path::new("/nowhere")) {
        Ok(_) => "accepted\n".to_owned(),
        Err(error) => lines(&error),
    }
}

/// Writes an error with a line break before what is allowed.
fn lines(error: &settings::SettingsError) -> String {
    format!("{error}\n").replace("; allowed: ", "\n  allowed: ")
}

/// Replaces one part of a valid text at a time and returns the errors.
fn errors(cases: &[(&str, &str, &str)]) -> String {
    let error = |(base, from, to): &(&str, &str, &str)| {
        assert!(base.contains(from), "the text has no {from}");
        outcome(&base.replacen(from, to, 1))
    };
    cases.iter().map(error).collect()
}

#[test]
fn valid_text() {
    assert_eq!(outcome(ROUTER), "accepted\n");
    assert_eq!(outcome(AGENT), "accepted\n");
}

#[test]
fn effective_text() {
    let settings = settings::parse(ROUTER, "router.json", Path::new("")).unwrap();
    expect![[r#"
        {
          "process": "router-1",
          "role": "router",
          "data_centre": "subang",
          "listen": {
            "callers": "127.0.0.1:7001",
            "peers": "127.0.0.1:7002",
            "operators": "127.0.0.1:7003",
            "health": "127.0.0.1:7004"
          },
          "advertise": "127.0.0.1:7002",
          "seeds": [
            "127.0.0.1:7012"
          ],
          "platform": {
            "table": "127.0.0.1:7801",
            "objects": "127.0.0.1:7802",
            "instances": "127.0.0.1:7803"
          },
          "tls": {
            "callers": null,
            "peers": null
          },
          "limits": {
            "body": "1MiB",
            "header": "16KiB",
            "connections": 4096,
            "header_time": "5s",
            "body_time": "30s",
            "deadline": "2min"
          },
          "threads": 2,
          "control_rate": "5KiB/s",
          "settle_time": "5s",
          "drain_time": "10min",
          "statsd": null,
          "log": "info",
          "hint_secret": "(hidden)",
          "bootstrap": null,
          "agent": null
        }"#]]
    .assert_eq(&settings::effective(&settings));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn unknown_key() {
    let cases = [
        (ROUTER, "\"threads\"", "\"thread\""),
        (ROUTER, "\"body\"", "\"bodies\""),
    ];
    expect![[r#"
        router.json:20: thread: unknown key
          allowed: the keys process, role, data_centre, listen, advertise, seeds, platform, tls, limits, threads, control_rate, settle_time, drain_time, statsd, log, hint_secret, bootstrap, agent
        router.json:19: limits.bodies: unknown key
          allowed: the keys body, header, connections, header_time, body_time, deadline
    "#]].assert_eq(&errors(&cases));
}

#[test]
fn missing_key() {
    let cases = [
        (ROUTER, "\"process\": \"router-1\",", ""),
        (ROUTER, "\"table\": \"127.0.0.1:7801\",", ""),
        (ROUTER, "\"peers\": \"127.0.0.1:7002\",", ""),
        (ROUTER, "\"callers\": \"127.0.0.1:7001\",", ""),
        (AGENT, "\"service\": \"drafting\",", ""),
    ];
    expect![[r#"
        router.json:1: process: the key is missing
          allowed: an id of letters, digits, '.', '_' and '-', at most 64 characters
        router.json:14: platform.table: the key is missing
          allowed: an IP address and a port, such as "127.0.0.1:7001"
        router.json:6: listen.peers: the key is missing
          allowed: an IP address and a port, such as "127.0.0.1:7001"
        router.json:6: listen.callers: a router needs this address
          allowed: an IP address and a port, such as "127.0.0.1:7001"
        router.json:12: agent.service: the key is missing
          allowed: the id of a service of the configuration
    "#]]
    .assert_eq(&errors(&cases));
}

#[test]
fn double_key() {
    let cases = [(
        ROUTER,
        "\"threads\": 2,",
        "\"threads\": 2,\n\"threads\": 3,",
    )];
    expect![[r#"
        router.json:21: threads: the key is given twice
          allowed: 1 to 256
    "#]]
    .assert_eq(&errors(&cases));
}

#[test]
fn wrong_unit() {
    let cases = [
        (ROUTER, "\"1MiB\"", "\"1mb\""),
        (ROUTER, "\"1MiB\"", "1048576"),
        (ROUTER, "\"2min\"", "\"2 minutes\""),
        (ROUTER, "\"5KiB/s\"", "\"5KiB\""),
        (ROUTER, "\"threads\": 2", "\"threads\": \"2\""),
    ];
    expect![[r#"
        router.json:19: limits.body: "1mb" is not a size; write a whole number with B, KiB, MiB or GiB, such as "16KiB"
          allowed: a size of 1KiB to 4MiB, such as "1MiB"
        router.json:19: limits.body: found integer `1048576`, expected a string
          allowed: a size of 1KiB to 4MiB, such as "1MiB"
        router.json:19: limits.deadline: "2 minutes" is not a time span; write a whole number with us, ms, s, min or h, such as "250ms"
          allowed: a time of 1s to 24h, above limits.header_time and limits.body_time
        router.json:21: control_rate: "5KiB" is not a byte rate; write a size with /s, such as "5KiB/s"
          allowed: a byte rate of 1KiB/s to 1MiB/s, such as "5KiB/s"
        router.json:20: threads: found string "2", expected a whole number
          allowed: 1 to 256
    "#]].assert_eq(&errors(&cases));
}

#[test]
fn wrong_address() {
    let cases = [
        (ROUTER, "\"127.0.0.1:7801\"", "\"table.local:7801\""),
        (ROUTER, "\"127.0.0.1:7012\"", "\"127.0.0.1\""),
        (
            ROUTER,
            "\"advertise\": \"127.0.0.1:7002\"",
            "\"advertise\": \"0.0.0.0:7002\"",
        ),
    ];
    expect![[r#"
        router.json:15: platform.table: "table.local:7801" is not an address
          allowed: an IP address and a port, such as "127.0.0.1:7001"
        router.json:13: seeds.0: "127.0.0.1" is not an address
          allowed: a list of IP addresses with ports
        router.json:12: advertise: 0.0.0.0:7002 cannot be reached by other processes
          allowed: an IP address and a port, not 0.0.0.0 or ::
    "#]]
    .assert_eq(&errors(&cases));
}

#[test]
fn wrong_name() {
    let cases = [
        (ROUTER, "\"router-1\"", "\"router 1\""),
        (ROUTER, "\"role\": \"router\"", "\"role\": \"proxy\""),
        (AGENT, "\"kind\": \"engine\"", "\"kind\": \"model\""),
    ];
    expect![[r#"
        router.json:3: process: character ' ' is not allowed in an id; use letters, digits, '.', '_' and '-'
          allowed: an id of letters, digits, '.', '_' and '-', at most 64 characters
        router.json:4: role: unknown value "proxy"
          allowed: one of router, agent
        router.json:16: agent.kind: unknown value "model"
          allowed: one of engine, plain
    "#]].assert_eq(&errors(&cases));
}

#[test]
fn wrong_range() {
    let cases = [
        (ROUTER, "\"1MiB\"", "\"1GiB\""),
        (ROUTER, "\"threads\": 2", "\"threads\": 0"),
        (AGENT, "\"slots\": 16", "\"slots\": 0"),
        (AGENT, "\"slots\": 16", "\"weight\": 0"),
        (ROUTER, "\"0123456789abcdef0123456789abcdef\"", "\"short\""),
    ];
    expect![[r#"
        router.json:19: limits.body: 1GiB is out of range
          allowed: a size of 1KiB to 4MiB, such as "1MiB"
        router.json:20: threads: 0 is out of range
          allowed: 1 to 256
        router.json:17: agent.slots: 0 is out of range
          allowed: 1 to 100000
        router.json:17: agent.weight: 0 is not a weight; write a whole number from 1 to 10000, where 100 is normal
          allowed: 1 to 10000, where 100 is normal
        router.json:23: hint_secret: a secret of 5 characters is too short or too long
          allowed: a text of 32 to 128 characters, required for a router, the same for all routers
    "#]].assert_eq(&errors(&cases));
}

#[test]
fn impossible_pair() {
    let slow = ROUTER.replace("\"5s\"", "\"50s\"");
    let cases = [
        (ROUTER, "\"2min\"", "\"20s\""),
        (
            ROUTER,
            "\"settle_time\": \"5s\"",
            "\"settle_time\": \"1min\"",
        ),
        (&slow, "\"2min\"", "\"40s\""),
        (ROUTER, "127.0.0.1:7004", "127.0.0.1:7001"),
        (ROUTER, "\"127.0.0.1:7012\"", "\"127.0.0.1:7002\""),
        (ROUTER, "\"role\": \"router\"", "\"role\": \"agent\""),
        (AGENT, "\"role\": \"agent\"", "\"role\": \"router\""),
        (AGENT, "\"kind\": \"engine\"", "\"kind\": \"plain\""),
    ];
    expect![[r#"
        router.json:19: limits.deadline: 20s is not above the time 30s that a request may take to arrive
          allowed: a time of 1s to 24h, above limits.header_time and limits.body_time
        accepted
        router.json:22: settle_time: 50s is not below limits.deadline, 40s
          allowed: a time of 100ms to 1min, below limits.deadline
        router.json:10: listen.health: 127.0.0.1:7001 is already used by listen.callers
          allowed: an IP address and a port, such as "127.0.0.1:7001"
        router.json:13: seeds: 127.0.0.1:7002 is this process's own address
          allowed: a list of IP addresses with ports
        router.json:1: agent: an agent needs this object
          allowed: an object with target, address, service and kind, for role agent only
        router.json:5: listen.callers: a router needs this address
          allowed: an IP address and a port, such as "127.0.0.1:7001"
        router.json:18: agent.orders: a plain service accepts no orders
          allowed: an IP address and a port, such as "127.0.0.1:7001"
    "#]].assert_eq(&errors(&cases));
}

#[test]
fn missing_file() {
    let tls = "\"tls\": { \"callers\": { \"certificate\": \"cert.pem\", \"key\": \"key.pem\" } },\n  \"threads\"";
    expect![[r#"
        router.json:20: tls.callers.certificate: file /nowhere/cert.pem does not exist
          allowed: the name of a PEM file, relative to the directory of the settings file
    "#]]
    .assert_eq(&errors(&[(ROUTER, "\"threads\"", tls)]));
    let error = settings::load(Path::new("/nowhere/router.json")).unwrap_err();
    expect![[r#"
        /nowhere/router.json:1: the file cannot be read: No such file or directory (os error 2)
          allowed: a readable file of JSON with comments
    "#]]
    .assert_eq(&lines(&error));
}

#[test]
fn broken_text() {
    expect![[r#"
        router.json:3: not valid JSON at column 13: Expected colon after the string or word in object property
          allowed: JSON with comments and trailing commas
    "#]].assert_eq(&errors(&[(ROUTER, "\"process\":", "\"process\"")]));
    expect![[r#"
        router.json:20: not valid JSON at column 14: Hexadecimal numbers are not allowed
          allowed: JSON with comments and trailing commas
    "#]]
    .assert_eq(&errors(&[(ROUTER, "\"threads\": 2,", "\"threads\": 0x2,")]));
    expect![[r#"
        router.json:1: the file is empty
          allowed: JSON with comments and trailing commas
    "#]]
    .assert_eq(&outcome("// nothing here\n"));
}

#[test]
fn bootstrap_errors() {
    let outcome = |text| match settings::parse_bootstrap(text, "bootstrap.json") {
        Ok(changes) => format!("{} changes", changes.len()),
        Err(error) => lines(&error),
    };
    expect![[r#"
        bootstrap.json:4: 1.add_team_key.key: a key hash is 64 hexadecimal digits, the SHA-256 of the key
    "#]].assert_eq(&outcome(
        r#"[
  // One team is enough.
  { "create_team": { "id": "sales" } },
  { "add_team_key": { "team": "sales", "key": "00" } },
]"#,
    ));
    expect![[r#"
        bootstrap.json:3: 1: team sales already exists
          allowed: a change that applies after the changes before it
    "#]]
    .assert_eq(&outcome(
        r#"[
  { "create_team": { "id": "sales" } },
  { "create_team": { "id": "sales" } },
]"#,
    ));
    expect![[r#"
        bootstrap.json:1: 0: unknown value "create_teem"
          allowed: one of create_team, update_team, delete_team, add_team_key, revoke_team_key, create_service, update_service, delete_service, create_rule, update_rule, delete_rule, create_operator, update_operator, delete_operator, add_operator_key, revoke_operator_key, set_override, clear_override, update_fleet, lift_quarantine, plan, batch
    "#]].assert_eq(&outcome(r#"[{ "create_teem": { "id": "sales" } }]"#));
    expect![[r#"
        bootstrap.json:1: 0.create_team.weight: 0 is not a weight; write a whole number from 1 to 10000, where 100 is normal
    "#]].assert_eq(&outcome(
        r#"[{ "create_team": { "id": "sales", "weight": 0 } }]"#,
    ));
}
