//! Guards against errors that point at the wrong word or do not say what is
//! allowed.

use expect_test::{Expect, expect};
use lang::parse;

fn check(line: &str, expected: &Expect) {
    let problem = parse::parse(line).expect_err("the line is not a command");
    expected.assert_eq(&problem.show(line).to_string());
}

#[test]
fn unknown_words() {
    check(
        "shwo teams",
        &expect![[r#"
            error: verb "shwo" is not known
              shwo teams
              ^^^^
            allowed: show, explain, create, update, delete, add, revoke, set, clear, lift, pause, resume, abort, confirm, export, help
            did you mean "show"?
        "#]],
    );
    check(
        "show taems",
        &expect![[r#"
        error: noun "taems" is not known
          show taems
               ^^^^^
        allowed: targets, teams, services, rules, operators, overrides, loads, plans, quarantine, configuration, difference, changes, lagging, versions
        did you mean "teams"?
    "#]],
    );
    check(
        "update team artwork wieght 200",
        &expect![[r#"
        error: field "wieght" is not known
          update team artwork wieght 200
                              ^^^^^^
        allowed: weight, priority, rate, open, why
        did you mean "weight"?
    "#]],
    );
    check(
        "help shw",
        &expect![[r#"
            error: verb "shw" is not known
              help shw
                   ^^^
            allowed: show, explain, create, update, delete, add, revoke, set, clear, lift, pause, resume, abort, confirm, export
            did you mean "show"?
        "#]],
    );
    check(
        "drop table",
        &expect![[r#"
            error: verb "drop" is not known
              drop table
              ^^^^
            allowed: show, explain, create, update, delete, add, revoke, set, clear, lift, pause, resume, abort, confirm, export, help
        "#]],
    );
}

#[test]
fn missing_words() {
    check(
        "show",
        &expect![[r#"
        error: show needs a noun
          show
              ^
        allowed: targets, teams, services, rules, operators, overrides, loads, plans, quarantine, configuration, difference, changes, lagging, versions
    "#]],
    );
    check(
        "create team",
        &expect![[r#"
        error: create team needs TEAM
          create team
                     ^
        allowed: TEAM
    "#]],
    );
    check(
        "create team artwork weight",
        &expect![[r#"
        error: field weight needs a value
          create team artwork weight
                                    ^
        allowed: WEIGHT
    "#]],
    );
    check(
        "create rule dies",
        &expect![[r#"
        error: create rule needs prefix and service
          create rule dies
                          ^
        allowed: prefix, service
    "#]],
    );
    check(
        "create service drafting",
        &expect![[r#"
        error: create service needs kind
          create service drafting
                                 ^
        allowed: kind
    "#]],
    );
    check(
        "update team artwork",
        &expect![[r#"
        error: update team needs at least one field
          update team artwork
                             ^
        allowed: weight, priority, rate, open
    "#]],
    );
    check(
        "show difference 3",
        &expect![[r#"
        error: show difference needs VERSION
          show difference 3
                           ^
        allowed: VERSION
    "#]],
    );
    check(
        "create team artwork why",
        &expect![[r#"
        error: field why needs a value
          create team artwork why
                                 ^
        allowed: TEXT
    "#]],
    );
}

#[test]
fn surplus_words() {
    check(
        "show teams now",
        &expect![[r#"
        error: show teams ends before "now"
          show teams now
                     ^^^
    "#]],
    );
    check(
        "show teams why curious",
        &expect![[r#"
        error: show teams ends before "why"
          show teams why curious
                     ^^^
    "#]],
    );
    check(
        "update team artwork open 3 open 4",
        &expect![[r#"
        error: field open is given twice
          update team artwork open 3 open 4
                                     ^^^^
    "#]],
    );
    check(
        "delete team artwork why old why older",
        &expect![[r#"
        error: field why is given twice
          delete team artwork why old why older
                                      ^^^
    "#]],
    );
}

#[test]
fn wrong_values() {
    check(
        "create team art/work",
        &expect![[r#"
            error: "art/work" is not valid: character '/' is not allowed in an id; use letters, digits, '.', '_' and '-'
              create team art/work
                          ^^^^^^^^
        "#]],
    );
    check(
        "create team artwork weight heavy",
        &expect![[r#"
        error: heavy is not a weight; write a whole number from 1 to 10000, where 100 is normal
          create team artwork weight heavy
                                     ^^^^^
    "#]],
    );
    check(
        "create team artwork rate 50",
        &expect![[r#"
        error: "50" is not a rate; write a positive number with /s, such as "300/s"
          create team artwork rate 50
                                   ^^
    "#]],
    );
    check(
        "create team artwork open many",
        &expect![[r#"
            error: "many" is not a whole number
              create team artwork open many
                                       ^^^^
        "#]],
    );
    check(
        "create service drafting kind engin",
        &expect![[r#"
        error: "engin" is not a value of kind
          create service drafting kind engin
                                       ^^^^^
        allowed: engine, plain
        did you mean "engine"?
    "#]],
    );
    check(
        "create operator nadia roles read,opperate",
        &expect![[r#"
            error: "opperate" is not a role; write read, operate or administer
              create operator nadia roles read,opperate
                                               ^^^^^^^^
            allowed: read, operate, administer
            did you mean "operate"?
        "#]],
    );
    check(
        "create rule dies prefix orders service orders",
        &expect![[r#"
        error: "orders" is not a path prefix; write a path that begins with /, without ? # or spaces
          create rule dies prefix orders service orders
                                  ^^^^^^
    "#]],
    );
    check(
        "update rule dies methods POST,put",
        &expect![[r#"
        error: "put" is not an HTTP method; write it in upper case, such as "POST"
          update rule dies methods POST,put
                                        ^^^
    "#]],
    );
    check(
        "show configuration at last",
        &expect![[r#"
            error: "last" is not valid: expected a decimal number
              show configuration at last
                                    ^^^^
        "#]],
    );
    check(
        "show changes last 9000",
        &expect![[r#"
        error: 9000 changes cannot be listed; write 1 to 256
          show changes last 9000
                            ^^^^
    "#]],
    );
    check(
        "clear override content ff",
        &expect![[r#"
            error: "ff" is not valid: expected 16 hexadecimal digits
              clear override content ff
                                     ^^
        "#]],
    );
    check(
        "create team \"\"",
        &expect![[r#"
            error: "" is not valid: an id must not be empty
              create team ""
                          ^^
        "#]],
    );
}

#[test]
fn wrong_combinations() {
    check(
        "add key hash 00",
        &expect![[r#"
        error: add key needs team or operator
          add key hash 00
                         ^
        allowed: team, operator
    "#]],
    );
    check(
        "add key team artwork",
        &expect![[r#"
        error: add key needs hash or secret or file or env
          add key team artwork
                              ^
        allowed: hash, secret, file, env
    "#]],
    );
    check(
        "add key team artwork hash 00",
        &expect![[r#"
            error: "00" is not valid: a key hash is 64 hexadecimal digits, the SHA-256 of the key
              add key team artwork hash 00
                                        ^^
        "#]],
    );
    check(
        "add key team artwork operator nadia env KEY",
        &expect![[r#"
        error: a key belongs to a team or to an operator, not to both
          add key team artwork operator nadia env KEY
                                        ^^^^^
    "#]],
    );
    check(
        "add key team artwork env KEY file key",
        &expect![[r#"
        error: the key comes from file or from env, not from both
          add key team artwork env KEY file key
                                   ^^^
    "#]],
    );
    check(
        "set override weight 3",
        &expect![[r#"
        error: set override needs target or team or content
          set override weight 3
                               ^
        allowed: target, team, content
    "#]],
    );
    check(
        "set override target drafting-4",
        &expect![[r#"
        error: set override needs weight
          set override target drafting-4
                                        ^
        allowed: weight
    "#]],
    );
    check(
        "set override target drafting-4 rate 3/s",
        &expect![[r#"
            error: rate does not go with target
              set override target drafting-4 rate 3/s
                                             ^^^^
            allowed: target, weight, reason
        "#]],
    );
    check(
        "set override team artwork weight 3",
        &expect![[r#"
        error: set override needs service
          set override team artwork weight 3
                                            ^
        allowed: service
    "#]],
    );
    check(
        "clear override target drafting-4 team artwork",
        &expect![[r#"
            error: team does not go with target
              clear override target drafting-4 team artwork
                                               ^^^^
            allowed: target
        "#]],
    );
}

#[test]
fn wrong_plans() {
    check(
        "create plan p kind drain service s targets a",
        &expect![[r#"
            error: create plan needs keep
              create plan p kind drain service s targets a
                                                          ^
            allowed: keep
        "#]],
    );
    check(
        "create plan p kind drain service s targets a keep 1 model m",
        &expect![[r#"
            error: model does not go with kind drain
              create plan p kind drain service s targets a keep 1 model m
                                                                  ^^^^^
            allowed: kind, service, targets, keep, wave
        "#]],
    );
    check(
        "create plan p kind roll service s targets a keep 1",
        &expect![[r#"
            error: create plan needs model
              create plan p kind roll service s targets a keep 1
                                                                ^
            allowed: model
        "#]],
    );
    check(
        "create plan p kind roll service s targets a keep 1 version 8",
        &expect![[r#"
            error: create plan needs model
              create plan p kind roll service s targets a keep 1 version 8
                                                                          ^
            allowed: model
        "#]],
    );
    check(
        "create plan p kind replace service s targets a,b by c keep 1",
        &expect![[r#"
            error: 2 targets need as many in by, not 1
              create plan p kind replace service s targets a,b by c keep 1
                                                                  ^
        "#]],
    );
    check(
        "create plan p kind move service s targets a keep 1",
        &expect![[r#"
            error: "move" is not a value of kind
              create plan p kind move service s targets a keep 1
                                 ^^^^
            allowed: drain, replace, roll, role
        "#]],
    );
    check(
        "create plan p kind drain service s targets a,,b keep 1",
        &expect![[r#"
            error: "" is not valid: an id must not be empty
              create plan p kind drain service s targets a,,b keep 1
                                                           ^
        "#]],
    );
}

#[test]
fn quotes() {
    check(
        "explain chat \"brief",
        &expect![[r#"
        error: the quote is not closed
          explain chat "brief
                             ^
    "#]],
    );
    check(
        "explain chat \"a\\n\"",
        &expect![[r#"
        error: escape \n is not known
          explain chat "a\n"
                         ^^
        allowed: \", \\
    "#]],
    );
    check(
        "explain chat br\"ief\"",
        &expect![[r#"
            error: a quote is in the middle of a word
              explain chat br"ief"
                             ^
        "#]],
    );
    check(
        "explain chat \"br\"ief",
        &expect![[r#"
            error: a space is needed after a quote
              explain chat "br"ief
                               ^
        "#]],
    );
}

#[test]
fn wide_letters() {
    check(
        "explain chat café taem artwork",
        &expect![[r#"
        error: field "taem" is not known
          explain chat café taem artwork
                            ^^^^
        allowed: team, service, turns
        did you mean "team"?
    "#]],
    );
}

#[test]
fn long_line() {
    let line = format!("create team {}", "a".repeat(parse::MAX_LINE));
    let problem = parse::parse(&line).expect_err("the line is too long");
    assert_eq!(problem.message, "a command has at most 16384 bytes");
}
