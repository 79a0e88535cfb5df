//! Guards against completion that offers what the grammar does not allow.

use expect_test::{Expect, expect};
use lang::complete::{Names, complete};

fn check(before: &str, expected: &Expect) {
    let texts = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let names = Names {
        teams: texts(&["artwork", "dies", "dealers-north"]),
        services: texts(&["drafting", "orders"]),
        targets: texts(&["drafting-0", "drafting-1"]),
        ..Names::default()
    };
    let completion = complete(before, &names);
    let text = format!("{}: {}", completion.start, completion.words.join(" "));
    expected.assert_eq(&text);
}

#[test]
fn verbs() {
    check(
        "",
        &expect![
            "0: show explain create update delete add revoke set clear lift pause resume abort confirm export help"
        ],
    );
    check("ex", &expect!["0: explain export"]);
}

#[test]
fn nouns() {
    check(
        "show ",
        &expect![
            "5: targets teams services rules operators overrides loads plans quarantine configuration difference changes lagging versions"
        ],
    );
    check("show c", &expect!["5: configuration changes"]);
    check("help s", &expect!["5: show set"]);
    check("nothing ", &expect!["8: "]);
}

#[test]
fn values() {
    check("update team d", &expect!["12: dies dealers-north"]);
    check(
        "explain chat text team ",
        &expect!["23: artwork dies dealers-north"],
    );
    check(
        "explain chat text team dies service o",
        &expect!["36: orders"],
    );
    check(
        "set override target drafting-",
        &expect!["20: drafting-0 drafting-1"],
    );
    check("create service s kind ", &expect!["22: engine plain"]);
    check(
        "create operator nadia roles read,",
        &expect!["28: read,operate read,administer"],
    );
}

#[test]
fn fields() {
    check(
        "update team dies ",
        &expect!["17: weight priority rate open why"],
    );
    check(
        "update team dies weight 3 ",
        &expect!["26: priority rate open why"],
    );
}
