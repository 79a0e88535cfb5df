//! Guards the written form of claim rows, which agents of different versions
//! share, and the judgement of a row.

mod common;

use common::{digest, owner, response, row};
use expect_test::expect;
use once::claim::{
    Body, Claim, Content, Digest, Finding, Header, Key, KeyError, MAX_KEY, Owner, Response, State,
    judge,
};

fn mine() -> Claim {
    row(1, owner("agent-a", 3), 11, State::Running).claim
}

fn json(claim: &Claim) -> String {
    let text = serde_json::to_string_pretty(claim).unwrap();
    let read: Claim = serde_json::from_str(&text).unwrap();
    assert_eq!(&read, claim);
    text
}

#[test]
fn running_row() {
    expect![[r#"
        {
          "digest": "0101010101010101010101010101010101010101010101010101010101010101",
          "owner": {
            "agent": "agent-a",
            "incarnation": 3
          },
          "nonce": "0000000000000000000000000000000b",
          "state": "running"
        }"#]]
    .assert_eq(&json(&mine()));
}

#[test]
fn done_row() {
    let state = State::Done(Response {
        status: 201,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: Content(b"application/json".to_vec()),
        }],
        body: Body::Inline(Content(vec![0xff, 0x00])),
    });
    expect![[r#"
        {
          "digest": "0101010101010101010101010101010101010101010101010101010101010101",
          "owner": {
            "agent": "agent-a",
            "incarnation": 3
          },
          "nonce": "0000000000000000000000000000000b",
          "state": {
            "done": {
              "status": 201,
              "headers": [
                {
                  "name": "content-type",
                  "value": {
                    "text": "application/json"
                  }
                }
              ],
              "body": {
                "inline": {
                  "hex": "ff00"
                }
              }
            }
          }
        }"#]]
    .assert_eq(&json(&Claim { state, ..mine() }));
}

#[test]
fn object_row() {
    let state = State::Done(Response {
        status: 200,
        headers: Vec::new(),
        body: Body::Object {
            key: "claim/0b".to_owned(),
            total: 70_000,
        },
    });
    expect![[r#"
        {
          "digest": "0101010101010101010101010101010101010101010101010101010101010101",
          "owner": {
            "agent": "agent-a",
            "incarnation": 3
          },
          "nonce": "0000000000000000000000000000000b",
          "state": {
            "done": {
              "status": 200,
              "headers": [],
              "body": {
                "object": {
                  "key": "claim/0b",
                  "total": 70000
                }
              }
            }
          }
        }"#]]
    .assert_eq(&json(&Claim { state, ..mine() }));
}

#[test]
fn ended_rows() {
    for state in [State::Abandoned, State::Lost] {
        json(&Claim { state, ..mine() });
    }
    let state = State::Done(Response {
        body: Body::Unkept,
        ..response("")
    });
    json(&Claim { state, ..mine() });
}

#[test]
fn row_key() {
    let key = |service: &str, text: &str| {
        Key::new(service.parse().unwrap(), "gifts".parse().unwrap(), text)
    };
    let row = |service, text| key(service, text).unwrap().row();
    assert_eq!(row("orders", "die/7"), "claim/orders/gifts/die/7");
    assert_ne!(row("orders", "a"), row("dies", "a"));
    assert_eq!(key("orders", ""), Err(KeyError::Empty));
    assert_eq!(key("orders", "a\n"), Err(KeyError::Character('\n')));
    let long = "k".repeat(MAX_KEY + 1);
    assert_eq!(key("orders", &long), Err(KeyError::Long(MAX_KEY + 1)));
}

#[test]
fn digest_text() {
    let text = "01".repeat(32);
    assert_eq!(text.parse::<Digest>().unwrap().to_string(), text);
    assert!("01".parse::<Digest>().is_err());
    assert!("é".repeat(32).parse::<Digest>().is_err());
}

fn judged(owner: Owner, nonce: u128, state: State) -> Finding {
    judge(Some(&row(5, owner, nonce, state)), &mine())
}

#[test]
fn judgement() {
    let other = || owner("agent-b", 9);
    let open = Finding::Open { version: 5 };
    assert_eq!(judge(None, &mine()), Finding::Free);
    assert_eq!(judged(other(), 9, State::Abandoned), open);
    assert_eq!(judged(other(), 9, State::Lost), Finding::Unknown);
    let done = Finding::Done(response("x"));
    assert_eq!(judged(other(), 9, State::Done(response("x"))), done);
    let elsewhere = Finding::Elsewhere("agent-b".parse().unwrap());
    assert_eq!(judged(other(), 9, State::Running), elsewhere);
}

#[test]
fn own_rows() {
    let held = Finding::Held { version: 5 };
    assert_eq!(judged(owner("agent-a", 3), 11, State::Running), held);
    let open = Finding::Open { version: 5 };
    assert_eq!(judged(owner("agent-a", 3), 10, State::Running), open);
    let older = judged(owner("agent-a", 2), 10, State::Running);
    assert_eq!(older, Finding::Unknown);
    // This process was replaced and does not know it yet.
    let newer = judged(owner("agent-a", 4), 10, State::Running);
    assert_eq!(newer, Finding::Elsewhere("agent-a".parse().unwrap()));
}

#[test]
fn other_digest() {
    for state in [
        State::Running,
        State::Abandoned,
        State::Lost,
        State::Done(response("x")),
    ] {
        let mut found = row(5, owner("agent-b", 9), 9, state);
        found.claim.digest = digest(2);
        assert_eq!(judge(Some(&found), &mine()), Finding::Mismatch);
    }
}
