//! Guards against commands that are read as something else than was written.

use expect_test::{Expect, expect};
use lang::{command::Command, grammar, parse};

fn check(line: &str, expected: &Expect) {
    let parsed = parse::parse(line).unwrap_or_else(|problem| panic!("{}", problem.show(line)));
    let parsed = parsed.expect("the line is not empty");
    let text = match parsed.command {
        Command::Ask(query) => serde_json::to_string(&query).expect("queries are written as JSON"),
        Command::Give(order) => serde_json::to_string(&order).expect("orders are written as JSON"),
        other => format!("{other:?}"),
    };
    let why = parsed
        .why
        .map_or_else(String::new, |why| format!("\nwhy {why}"));
    expected.assert_eq(&format!("{text}{why}"));
}

#[test]
fn examples_parse() {
    for form in grammar::FORMS {
        let parsed = parse::parse(form.example);
        assert!(parsed.is_ok(), "{}: {parsed:?}", form.example);
    }
}

#[test]
fn examples_documented() {
    let page = include_str!("../../../docs/language.md");
    for form in grammar::FORMS {
        assert!(page.contains(&form.usage()), "usage of {}", form.example);
        assert!(page.contains(form.example), "example {}", form.example);
    }
}

#[test]
fn empty_lines() {
    for line in ["", "   ", "# show teams", "  # nothing"] {
        assert_eq!(parse::parse(line), Ok(None), "{line:?}");
    }
}

#[test]
fn questions() {
    check("show teams", &expect![[r#""teams""#]]);
    check(
        "show configuration",
        &expect![[r#"{"configuration":null}"#]],
    );
    check(
        "show configuration at 12 # then",
        &expect![[r#"{"configuration":12}"#]],
    );
    check("show difference 3 5", &expect![[r#"{"difference":[3,5]}"#]]);
    check("show changes", &expect![[r#"{"changes":10}"#]]);
    check("show changes last 3", &expect![[r#"{"changes":3}"#]]);
    check(
        "explain chat \"brief \\\"7\\\"\" service drafting team artwork turns 2",
        &expect![[
            r#"{"explain":{"text":"brief \"7\"","team":"artwork","service":"drafting","turns":2}}"#
        ]],
    );
}

#[test]
fn teams() {
    check(
        "create team artwork",
        &expect![[
            r#"{"change":{"create_team":{"id":"artwork","weight":100,"priority":5,"rate":null,"open":null,"keys":[]}}}"#
        ]],
    );
    check(
        "create team artwork weight 200 priority 7 rate 50/s open 40 why \"festive season\"",
        &expect![[r#"
            {"change":{"create_team":{"id":"artwork","weight":200,"priority":7,"rate":"50/s","open":40,"keys":[]}}}
            why festive season"#]],
    );
    check(
        "update team artwork rate none open 3",
        &expect![[r#"{"change":{"update_team":{"id":"artwork","rate":null,"open":3}}}"#]],
    );
    check(
        "delete team artwork",
        &expect![[r#"{"change":{"delete_team":"artwork"}}"#]],
    );
}

#[test]
fn services() {
    check(
        "create service drafting kind engine factor 1.25 repeatable true warm_up 2min",
        &expect![[
            r#"{"change":{"create_service":{"id":"drafting","kind":"engine","factor":1.25,"floor":4,"slots":16,"queue":32,"repeatable":true,"deterministic":false,"fencing":false,"quarantine":"10min","warm_up":"2min"}}}"#
        ]],
    );
    check(
        "update service drafting queue 64",
        &expect![[r#"{"change":{"update_service":{"id":"drafting","queue":64}}}"#]],
    );
}

#[test]
fn rules() {
    check(
        "create rule dies prefix /orders/dies service orders methods POST,PUT class keyed",
        &expect![[
            r#"{"change":{"create_rule":{"id":"dies","prefix":"/orders/dies","methods":["POST","PUT"],"model":null,"service":"orders","class":"keyed"}}}"#
        ]],
    );
    check(
        "update rule dies methods none model none class none",
        &expect![[
            r#"{"change":{"update_rule":{"id":"dies","methods":[],"model":null,"class":null}}}"#
        ]],
    );
}

#[test]
fn operators() {
    check(
        "create operator nadia roles read,operate",
        &expect![[
            r#"{"change":{"create_operator":{"id":"nadia","roles":["read","operate"],"keys":[]}}}"#
        ]],
    );
    check(
        "update operator nadia roles read",
        &expect![[r#"{"change":{"update_operator":{"id":"nadia","roles":["read"]}}}"#]],
    );
}

#[test]
fn keys() {
    let hash = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";
    check(
        &format!("add key team artwork hash {hash}"),
        &expect![[
            r#"{"change":{"add_team_key":{"team":"artwork","key":"2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"}}}"#
        ]],
    );
    check(
        "add key team artwork secret key",
        &expect![[
            r#"{"change":{"add_team_key":{"team":"artwork","key":"2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"}}}"#
        ]],
    );
    check(
        "add key operator nadia file nadia.key",
        &expect![[
            r#"Key(KeyOrder { add: true, holder: Operator(OperatorId(nadia)), source: File("nadia.key") })"#
        ]],
    );
    check(
        "revoke key team artwork env ARTWORK_KEY",
        &expect![[
            r#"Key(KeyOrder { add: false, holder: Team(TeamId(artwork)), source: Variable("ARTWORK_KEY") })"#
        ]],
    );
}

#[test]
fn secret_not_kept() {
    let parsed = parse::parse("add key team artwork secret opensesame");
    assert!(!format!("{parsed:?}").contains("opensesame"));
}

#[test]
fn overrides() {
    check(
        "set override target drafting-4 weight none",
        &expect![[
            r#"{"change":{"set_override":{"target":{"target":"drafting-4","weight":null,"reason":""}}}}"#
        ]],
    );
    check(
        "set override team artwork service drafting open 2 reason surge",
        &expect![[
            r#"{"change":{"set_override":{"share":{"share":{"team":"artwork","service":"drafting"},"weight":null,"priority":null,"rate":null,"open":2,"reason":"surge"}}}}"#
        ]],
    );
    check(
        "set override content 00000000000000ff",
        &expect![[
            r#"{"change":{"set_override":{"content":{"fingerprint":"00000000000000ff","reason":""}}}}"#
        ]],
    );
    check(
        "clear override team artwork service drafting",
        &expect![[
            r#"{"change":{"clear_override":{"share":{"team":"artwork","service":"drafting"}}}}"#
        ]],
    );
}

#[test]
fn fleet() {
    check(
        "update fleet weight_rate 0.2/s",
        &expect![[r#"{"change":{"update_fleet":{"weight_rate":"0.2/s"}}}"#]],
    );
}

#[test]
fn plans() {
    check(
        "create plan p kind drain service drafting targets drafting-1,drafting-0 keep 1 wave 2",
        &expect![[
            r#"{"plan":{"id":"p","service":"drafting","kind":"drain","targets":["drafting-1","drafting-0"],"wave":2,"keep":1}}"#
        ]],
    );
    check(
        "create plan p kind replace service drafting targets drafting-1,drafting-0 by drafting-8,drafting-9 keep 1",
        &expect![[
            r#"{"plan":{"id":"p","service":"drafting","kind":{"replace":{"by":{"drafting-0":"drafting-9","drafting-1":"drafting-8"}}},"targets":["drafting-1","drafting-0"],"wave":1,"keep":1}}"#
        ]],
    );
    check(
        "create plan p kind roll service drafting targets drafting-1 keep 1 model m adapter a version 8 unload_model m unload_version 7",
        &expect![[
            r#"{"plan":{"id":"p","service":"drafting","kind":{"roll":{"load":{"model":"m","adapter":"a","version":"8"},"unload":{"model":"m","adapter":null,"version":"7"}}},"targets":["drafting-1"],"wave":1,"keep":1}}"#
        ]],
    );
    check(
        "create plan p kind role service drafting targets drafting-1 keep 1 role prefill",
        &expect![[
            r#"{"plan":{"id":"p","service":"drafting","kind":{"role":"prefill"},"targets":["drafting-1"],"wave":1,"keep":1}}"#
        ]],
    );
    check(
        "pause plan p",
        &expect![[r#"{"operate":{"plan":"p","operation":"pause"}}"#]],
    );
    check(
        "confirm plan p target drafting-1",
        &expect![[r#"{"operate":{"plan":"p","operation":{"confirm":"drafting-1"}}}"#]],
    );
}

#[test]
fn quarantine() {
    check(
        "lift quarantine 00000000000000ff",
        &expect![[r#"{"change":{"lift_quarantine":"00000000000000ff"}}"#]],
    );
}

#[test]
fn help() {
    check("help", &expect!["Help(None)"]);
    check("help show", &expect![[r#"Help(Some("show"))"#]]);
}
