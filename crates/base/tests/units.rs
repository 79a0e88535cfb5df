//! Tests of the text form of sizes, rates, spans and ids, on which settings and
//! the operators' language depend.

use base::{fault, id, rate, size, span};
use expect_test::expect;

fn round_trip<T>(text: &str) -> String
where
    T: std::str::FromStr + std::fmt::Display,
    T::Err: std::fmt::Display,
{
    match text.parse::<T>() {
        Ok(value) => value.to_string(),
        Err(error) => format!("error: {error}"),
    }
}

#[test]
fn size_text() {
    assert_eq!(round_trip::<size::Size>("16KiB"), "16KiB");
    assert_eq!(round_trip::<size::Size>("2048B"), "2KiB");
    expect![[r#"error: "16kb" is not a size; write a whole number with B, KiB, MiB or GiB, such as "16KiB""#]]
        .assert_eq(&round_trip::<size::Size>("16kb"));
}

#[test]
fn rate_text() {
    assert_eq!(round_trip::<rate::Rate>("300/s"), "300/s");
    assert_eq!(round_trip::<rate::ByteRate>("5KiB/s"), "5KiB/s");
    expect![[r#"error: "-1/s" is not a rate; write a positive number with /s, such as "300/s""#]]
        .assert_eq(&round_trip::<rate::Rate>("-1/s"));
}

#[test]
fn span_text() {
    assert_eq!(round_trip::<span::Span>("250ms"), "250ms");
    assert_eq!(round_trip::<span::Span>("60s"), "1min");
    assert_eq!(round_trip::<span::Span>("0ms"), "0us");
    expect![[r#"error: "3 parsecs" is not a time span; write a whole number with us, ms, s, min or h, such as "250ms""#]]
        .assert_eq(&round_trip::<span::Span>("3 parsecs"));
}

#[test]
fn id_text() {
    assert_eq!(round_trip::<id::TeamId>("sales-1"), "sales-1");
    expect!["error: character ' ' is not allowed in an id; use letters, digits, '.', '_' and '-'"]
        .assert_eq(&round_trip::<id::TeamId>("sales 1"));
    expect!["error: expected 16 hexadecimal digits"].assert_eq(&round_trip::<id::ChatHash>("+1"));
}

#[test]
fn fault_text() {
    let cause = std::io::Error::other("connection refused");
    let fault = fault::Fault::new("connect", "127.0.0.1:9", cause);
    assert_eq!(
        fault.to_string(),
        "connect at 127.0.0.1:9: connection refused"
    );
}
