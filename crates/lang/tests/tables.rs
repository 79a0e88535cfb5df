//! Guards against tables that hide or misplace what an answer says.

use expect_test::expect;
use lang::{
    answer::{Answer, Difference, Load, Member, Preview, Target, Versions},
    render,
};

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is valid")
}

fn target(name: &str, load: u32) -> Target {
    Target {
        service: id("drafting"),
        target: id(name),
        centre: id("subang"),
        standing: "up".to_owned(),
        weight: 100,
        load,
        cap: 16,
        version: id("12"),
    }
}

#[test]
fn targets() {
    let answer = Answer::Targets(vec![target("drafting-0", 3), target("drafting-11", 12)]);
    expect![[r#"
        SERVICE   TARGET       CENTRE  STANDING  WEIGHT  LOAD  CAP  VERSION
        drafting  drafting-0   subang  up        100     3     16   12
        drafting  drafting-11  subang  up        100     12    16   12
    "#]]
    .assert_eq(&render::text(&answer));
}

#[test]
fn loads() {
    let load = Load {
        service: id("drafting"),
        open: 2,
        targets: 2,
        load: 15,
        highest: 12,
        cap: 32,
    };
    expect![[r#"
        SERVICE   OPEN  TARGETS  LOAD  MEAN  HIGHEST  CAP
        drafting  2     2        15    7.5   12       32
    "#]]
    .assert_eq(&render::text(&Answer::Loads(vec![load])));
}

#[test]
fn versions() {
    let member = |process: &str, version: &str| Member {
        process: id(process),
        role: "router".to_owned(),
        version: id(version),
    };
    let mut versions = Versions {
        version: id("12"),
        lowest: id("11"),
        members: 2,
        list: vec![member("router-0", "12"), member("router-1", "11")],
    };
    assert!(versions.reached(id("11")));
    assert!(!versions.reached(id("12")));
    expect![[r#"
        version 12 here, lowest 11 among 2 members
        PROCESS   ROLE    VERSION
        router-0  router  12
        router-1  router  11
    "#]]
    .assert_eq(&render::text(&Answer::Versions(versions.clone())));
    versions.list.clear();
    expect![[r#"
        version 12 here, lowest 11 among 2 members
        no member lags
    "#]]
    .assert_eq(&render::text(&Answer::Lagging(versions)));
}

#[test]
fn differences() {
    let mut difference = Difference {
        from: id("1"),
        to: id("2"),
        lines: vec!["- team artwork".to_owned()],
    };
    expect![[r#"
        from version 1 to version 2
          - team artwork
    "#]]
    .assert_eq(&render::text(&Answer::Difference(difference.clone())));
    difference.lines.clear();
    expect![[r#"
        from version 1 to version 2
          nothing differs
    "#]]
    .assert_eq(&render::text(&Answer::Difference(difference)));
    let preview = Preview {
        base: id("7"),
        lines: vec!["- team artwork".to_owned()],
    };
    expect![[r#"
        after version 7, this would change:
          - team artwork
    "#]]
    .assert_eq(&render::preview(&preview));
}

#[test]
fn help() {
    expect![[r#"
        delete team TEAM [why TEXT]
            Deletes a team with its keys.
            for example: delete team artwork
        delete service SERVICE [why TEXT]
            Deletes a service that nothing names.
            for example: delete service drafting
        delete rule RULE [why TEXT]
            Deletes a routing rule.
            for example: delete rule dies
        delete operator OPERATOR [why TEXT]
            Deletes an operator with the keys.
            for example: delete operator nadia
    "#]]
    .assert_eq(&render::help(Some("delete")));
}
