//! Guards the rules of the configuration: a change that breaks one is rejected
//! with the entries it concerns, and the version before it stays as it was.

use base::{id, rate::Rate};
use conf::{
    change::{Change, Rejection, ServiceUpdate, TeamUpdate},
    settings,
    state::{Class, Configuration, Kind, Role, Service},
    value::{KeyHash, ValueError},
};
use expect_test::{Expect, expect};

const BASE: &str = r#"[
  { "create_service": { "id": "drafting", "kind": "engine", "repeatable": true } },
  { "create_service": { "id": "orders", "kind": "plain" } },
  { "create_rule": { "id": "chat", "prefix": "/v1/chat/completions", "service": "drafting" } },
  { "create_rule": { "id": "orders", "prefix": "/orders", "service": "orders" } },
  { "create_rule": { "id": "status", "prefix": "/orders", "methods": ["GET"],
                     "service": "orders", "class": "repeatable" } },
  { "create_team": { "id": "sales", "weight": 300, "rate": "50/s" } },
  { "create_operator": { "id": "amir", "roles": ["administer"] } }
]"#;

fn changes(text: &str) -> Vec<Change> {
    serde_json::from_str(text).unwrap()
}

fn base() -> Configuration {
    let start = Configuration::default();
    changes(BASE).iter().fold(start, |configuration, change| {
        configuration.apply(change).unwrap()
    })
}

fn apply(configuration: &Configuration, text: &str) -> Result<Configuration, Rejection> {
    configuration.apply(&serde_json::from_str(text).unwrap())
}

fn check(text: &str, expected: Expect) {
    let outcome = match apply(&base(), text) {
        Ok(next) => conf::difference::text(&base(), &next),
        Err(rejection) => format!("rejected: {rejection}\n"),
    };
    expected.assert_eq(&outcome);
}

fn sales() -> id::TeamId {
    "sales".parse().unwrap()
}

#[test]
fn version_steps() {
    assert_eq!(base().version(), id::Version(7));
    let next = apply(&base(), r#"{ "delete_team": "sales" }"#).unwrap();
    assert_eq!(next.version(), id::Version(8));
}

#[test]
fn team_rules() {
    check(
        r#"{ "create_team": { "id": "sales" } }"#,
        expect![[r#"
        rejected: team sales already exists
    "#]],
    );
    check(
        r#"{ "create_team": { "id": "packers" } }"#,
        expect![[r#"
        + team packers keys=none open=none priority=5 rate=none weight=100
    "#]],
    );
    check(
        r#"{ "update_team": { "id": "sales", "weight": 200, "rate": null } }"#,
        expect![[r#"
            ~ team sales rate=50/s->none weight=300->200
        "#]],
    );
    check(
        r#"{ "update_team": { "id": "sales", "weight": 300 } }"#,
        expect![[r#"
            rejected: team sales already is as the command asks
        "#]],
    );
    check(
        r#"{ "update_team": { "id": "sales", "open": 0 } }"#,
        expect![[r#"
            rejected: team sales: open 0 is not allowed; allowed: at least 1, or null for no limit
        "#]],
    );
    check(
        r#"{ "update_team": { "id": "dealers", "weight": 200 } }"#,
        expect![[r#"
            rejected: team dealers does not exist
        "#]],
    );
    check(
        r#"{ "delete_team": "sales" }"#,
        expect![[r#"
        - team sales
    "#]],
    );
    check(
        r#"{ "delete_team": "dealers" }"#,
        expect![[r#"
        rejected: team dealers does not exist
    "#]],
    );
}

#[test]
fn service_rules() {
    check(
        r#"{ "create_service": { "id": "dies", "kind": "plain", "floor": 20 } }"#,
        expect![[r#"
            rejected: service dies: floor 20 is not allowed; allowed: 1 to the slots of a target, 16
        "#]],
    );
    check(
        r#"{ "update_service": { "id": "orders", "deterministic": true } }"#,
        expect![[r#"
            rejected: service orders: deterministic true is not allowed; allowed: true only for a repeatable engine service
        "#]],
    );
    check(
        r#"{ "update_service": { "id": "drafting", "quarantine": "48h" } }"#,
        expect![[r#"
            rejected: service drafting: quarantine 48h is not allowed; allowed: 1s to 24h
        "#]],
    );
    check(
        r#"{ "update_service": { "id": "drafting", "factor": 1.5, "queue": 8 } }"#,
        expect![[r#"
            ~ service drafting factor=1.25->1.5 queue=32->8
        "#]],
    );
    check(
        r#"{ "delete_service": "orders" }"#,
        expect![[r#"
        rejected: service orders is in use by rule orders, rule status
    "#]],
    );
}

#[test]
fn rule_rules() {
    check(
        r#"{ "create_rule": { "id": "old", "prefix": "/orders", "methods": ["GET", "PUT"], "service": "orders" } }"#,
        expect![[r#"
            rejected: rule old matches the same requests as rule status; give them different prefixes, methods or models
        "#]],
    );
    check(
        r#"{ "create_rule": { "id": "dies", "prefix": "/dies", "service": "dies" } }"#,
        expect![[r#"
            rejected: service dies does not exist
        "#]],
    );
    check(
        r#"{ "update_rule": { "id": "status", "methods": [] } }"#,
        expect![[r#"
            rejected: rule status matches the same requests as rule orders; give them different prefixes, methods or models
        "#]],
    );
    check(
        r#"{ "update_rule": { "id": "status", "class": null } }"#,
        expect![[r#"
            ~ rule status class=repeatable->none
        "#]],
    );
    check(
        r#"{ "delete_rule": "status" }"#,
        expect![[r#"
        - rule status
    "#]],
    );
}

#[test]
fn override_rules() {
    let share = r#"{ "team": "sales", "service": "drafting" }"#;
    check(
        r#"{ "set_override": { "target": { "target": "runner-1", "reason": "hot" } } }"#,
        expect![[r#"
            + override target runner-1 target=reason:hot,target:runner-1,weight:none
        "#]],
    );
    check(
        r#"{ "set_override": { "share": { "share": { "team": "none", "service": "drafting" } } } }"#,
        expect![[r#"
            rejected: team none does not exist
        "#]],
    );
    check(
        r#"{ "clear_override": { "target": "runner-1" } }"#,
        expect![[r#"
            rejected: override target runner-1 does not exist
        "#]],
    );
    let set =
        format!(r#"{{ "set_override": {{ "share": {{ "share": {share}, "rate": "5/s" }} }} }}"#);
    let next = apply(&base(), &set).unwrap();
    let limited = next.share(&sales(), &"drafting".parse().unwrap()).unwrap();
    assert_eq!(limited.rate, Some(Rate(5.0)));
    let usual = next.share(&sales(), &"orders".parse().unwrap()).unwrap();
    assert_eq!(usual.rate, Some(Rate(50.0)));
    let rejection = apply(&next, r#"{ "delete_team": "sales" }"#).unwrap_err();
    expect!["team sales is in use by the override of team sales at service drafting"]
        .assert_eq(&rejection.to_string());
}

#[test]
fn fleet_rules() {
    check(
        r#"{ "update_fleet": { "weight_loads": 3, "weight_rate": "0.5/s" } }"#,
        expect![[r#"
            ~ fleet values weight_loads=2->3 weight_rate=0.1/s->0.5/s
        "#]],
    );
    check(
        r#"{ "update_fleet": { "weight_loads": 0 } }"#,
        expect![[r#"
            rejected: fleet values: weight_loads 0 is not allowed; allowed: at least 1
        "#]],
    );
}

fn key_change(change: &str, holder: &str, name: &str, key: &str) -> String {
    let hash = KeyHash::of(key);
    format!(r#"{{ "{change}": {{ "{holder}": "{name}", "key": "{hash}" }} }}"#)
}

#[test]
fn key_rules() {
    let first = key_change("add_team_key", "team", "sales", "secret");
    let with_key = apply(&base(), &first).unwrap();
    assert_eq!(
        with_key.team_of(&KeyHash::of("secret")).unwrap().id,
        sales()
    );
    assert!(with_key.team_of(&KeyHash::of("other")).is_none());
    assert!(with_key.operator_of(&KeyHash::of("secret")).is_none());

    let again = apply(&with_key, &first).unwrap_err();
    expect!["key 2bb80d53 is already a key of team sales"].assert_eq(&again.to_string());
    let other = key_change("add_operator_key", "operator", "amir", "secret");
    let taken = apply(&with_key, &other).unwrap_err();
    expect!["key 2bb80d53 is already a key of team sales"].assert_eq(&taken.to_string());
    let absent = key_change("revoke_team_key", "team", "sales", "other");
    expect!["team sales has no key d9298a10"]
        .assert_eq(&apply(&with_key, &absent).unwrap_err().to_string());

    let revoke = key_change("revoke_team_key", "team", "sales", "secret");
    let without = apply(&with_key, &revoke).unwrap();
    assert!(without.team_of(&KeyHash::of("secret")).is_none());
    let deleted = apply(&with_key, r#"{ "delete_team": "sales" }"#).unwrap();
    assert!(deleted.team_of(&KeyHash::of("secret")).is_none());
}

/// Handover adds the new operator before the old one goes; nobody may lock
/// everybody out on the way.
#[test]
fn last_administrator() {
    let key = key_change("add_operator_key", "operator", "amir", "old");
    let held = apply(&base(), &key).unwrap();
    let lockout = [
        r#"{ "delete_operator": "amir" }"#.to_owned(),
        r#"{ "update_operator": { "id": "amir", "roles": ["read", "operate"] } }"#.to_owned(),
        key_change("revoke_operator_key", "operator", "amir", "old"),
    ];
    for change in &lockout {
        let rejection = apply(&held, change).unwrap_err();
        assert_eq!(
            rejection,
            Rejection::LastAdministrator("amir".parse().unwrap())
        );
    }
    let handover = format!(
        r#"{{ "batch": [
            {{ "delete_operator": "amir" }},
            {{ "create_operator": {{ "id": "new", "roles": ["administer"], "keys": ["{}"] }} }}
        ] }}"#,
        KeyHash::of("new")
    );
    let next = apply(&held, &handover).unwrap();
    assert!(
        next.operator_of(&KeyHash::of("new"))
            .unwrap()
            .may(Role::Operate)
    );
    assert!(next.operator_of(&KeyHash::of("old")).is_none());
}

#[test]
fn batch_whole() {
    check(
        r#"{ "batch": [{ "create_team": { "id": "a" } }, { "create_team": { "id": "sales" } }] }"#,
        expect![[r#"
            rejected: change 2 of the batch: team sales already exists
        "#]],
    );
    check(
        r#"{ "batch": [] }"#,
        expect![[r#"
        rejected: the batch is empty
    "#]],
    );
    let text =
        r#"{ "batch": [{ "create_team": { "id": "a" } }, { "create_team": { "id": "b" } }] }"#;
    let next = apply(&base(), text).unwrap();
    assert_eq!(next.version(), base().version().next());
    assert_eq!(next.teams().len(), 3);
}

#[test]
fn longest_prefix() {
    let rules = r#"{ "batch": [
        { "create_rule": { "id": "root", "prefix": "/", "service": "orders" } },
        { "create_rule": { "id": "big", "prefix": "/v1/chat/completions", "model": "big",
                           "service": "drafting" } },
        { "create_rule": { "id": "dies", "prefix": "/orders/dies", "service": "orders" } }
    ] }"#;
    let configuration = apply(&base(), rules).unwrap();
    let route = |method, path, model| {
        let rule = configuration.route(method, path, model).unwrap();
        (rule.id.to_string(), configuration.class(rule))
    };
    let expected = |id: &str, class| (id.to_owned(), class);
    assert_eq!(
        route("POST", "/orders", None),
        expected("orders", Class::Once)
    );
    assert_eq!(
        route("GET", "/orders/17", None),
        expected("status", Class::Repeatable)
    );
    assert_eq!(
        route("GET", "/orders?day=1", None),
        expected("status", Class::Repeatable)
    );
    assert_eq!(
        route("GET", "/orders/dies/4", None),
        expected("dies", Class::Once)
    );
    assert_eq!(
        route("GET", "/ordersheet", None),
        expected("root", Class::Once)
    );
    let chat = "/v1/chat/completions";
    assert_eq!(
        route("POST", chat, Some("big")),
        expected("big", Class::Repeatable)
    );
    assert_eq!(
        route("POST", chat, Some("small")),
        expected("chat", Class::Repeatable)
    );
    assert!(configuration.routes_by_model(chat));
    assert!(!configuration.routes_by_model("/orders"));
    assert!(base().route("GET", "/", None).is_none());
}

#[test]
fn json_round_trip() {
    let key = key_change("add_team_key", "team", "sales", "secret");
    let configuration = apply(&base(), &key).unwrap();
    let text = serde_json::to_string(&configuration).unwrap();
    let read: Configuration = serde_json::from_str(&text).unwrap();
    assert_eq!(read, configuration);
    assert_eq!(serde_json::to_string(&read).unwrap(), text);

    let broken = text.replace("\"service\":\"orders\"", "\"service\":\"missing\"");
    let error = serde_json::from_str::<Configuration>(&broken).unwrap_err();
    expect!["service missing does not exist"].assert_eq(&error.to_string());
}

#[test]
fn change_round_trip() {
    for change in changes(BASE) {
        let text = serde_json::to_string(&change).unwrap();
        assert_eq!(serde_json::from_str::<Change>(&text).unwrap(), change);
    }
    let clear = TeamUpdate {
        rate: Some(None),
        ..TeamUpdate::new(sales())
    };
    let text = serde_json::to_string(&Change::UpdateTeam(clear.clone())).unwrap();
    assert_eq!(text, r#"{"update_team":{"id":"sales","rate":null}}"#);
    assert_eq!(
        serde_json::from_str::<Change>(&text).unwrap(),
        Change::UpdateTeam(clear)
    );
}

#[test]
fn change_lines() {
    let service = ServiceUpdate {
        queue: Some(4),
        repeatable: Some(true),
        ..ServiceUpdate::new("drafting".parse().unwrap())
    };
    let lines = [
        Change::CreateService(Service::new("orders".parse().unwrap(), Kind::Plain)),
        Change::UpdateService(service),
        Change::DeleteTeam(sales()),
    ];
    let text: Vec<String> = lines.iter().map(Change::to_string).collect();
    expect![[r#"
        create service orders
        update service drafting queue=4 repeatable=true
        delete team sales"#]]
    .assert_eq(&text.join("\n"));
}

#[test]
fn value_texts() {
    assert_eq!("1".parse::<conf::value::Weight>().unwrap().get(), 1);
    let factor = "1.25".parse::<conf::value::Factor>().unwrap();
    assert_eq!(factor.to_string(), "1.25");
    assert_eq!(
        "1.0".parse::<conf::value::Factor>(),
        Err(ValueError::Factor("1".to_owned()))
    );
    assert!("orders".parse::<conf::value::Prefix>().is_err());
    assert!("post".parse::<conf::value::Method>().is_err());
}

#[test]
fn bootstrap_equal() {
    let parsed = settings::parse_bootstrap(BASE, "bootstrap.json").unwrap();
    assert_eq!(parsed, changes(BASE));
}
