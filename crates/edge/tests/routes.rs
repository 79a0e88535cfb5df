//! Matching of requests with rules and services.

use edge::routes::{self, RouteError, Routes};
use platform::config::Config;

fn routes() -> Routes {
    let text = r#"{"version":1,"routes":[
      {"name":"short","hostname":"h","prefix":"/a/","type":"idempotent","timeout_ms":1,"service":"s1"},
      {"name":"long","hostname":"h","prefix":"/a/b/","type":"idempotent","timeout_ms":1,"service":"s2"},
      {"name":"open","hostname":"h","prefix":"/open/","type":"idempotent","timeout_ms":1,"service":"s2","public":true},
      {"name":"split","hostname":"i","prefix":"/","type":"idempotent","timeout_ms":1,
       "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
      "services":[],"limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1},
      "tenants":[{"name":"team","api_keys":["key"]}]}"#;
    Routes::new(Config::decode(text.as_bytes()).expect("valid"))
}

fn rule(host: &str, path: &str) -> Result<String, RouteError> {
    let routes = routes();
    let found = routes.find(host, path, Some("key"));
    found.map(|(rule, _)| rule.id.to_string())
}

#[test]
fn longest_prefix() {
    assert_eq!(rule("h", "/a/x"), Ok("short".to_owned()));
    assert_eq!(rule("h", "/a/b/x/y"), Ok("long".to_owned()));
    assert_eq!(rule("h", "/a/bc"), Ok("short".to_owned()));
    assert_eq!(rule("h", "/a"), Err(RouteError::NoRule));
    assert_eq!(rule("h", "/"), Err(RouteError::NoRule));
    assert_eq!(rule("other", "/a/x"), Err(RouteError::NoRule));
}

#[test]
fn keys() {
    let routes = routes();
    assert_eq!(
        routes.find("h", "/a/x", None).err(),
        Some(RouteError::UnknownKey)
    );
    assert_eq!(
        routes.find("h", "/a/x", Some("k")).err(),
        Some(RouteError::UnknownKey)
    );
    let (_, team) = routes.find("h", "/a/x", Some("key")).expect("a team");
    assert_eq!(team.expect("a team").id.as_str(), "team");
    let (_, team) = routes.find("h", "/open/x", Some("k")).expect("public");
    assert!(team.is_none());
}

#[test]
fn split_shares() {
    let routes = routes();
    let (rule, _) = routes.find("i", "/x", Some("key")).expect("a rule");
    let count = (0..1_000)
        .filter(|number| {
            let attempt = format!("attempt-{number}").parse().expect("an id");
            let service = routes::select_service(&rule.services, &attempt).expect("a service");
            service.as_str() == "s2"
        })
        .count();
    assert!(
        (60..140).contains(&count),
        "{count} of 1000 in a share of 10%"
    );
}
