//! Tests of the table client: a transaction that may have taken effect must never
//! be reported as not sent.

use std::time::{Duration, Instant};

use base::{rate::Rate, span::Span};
use expect_test::expect;
use fakes::fault::{Chance, Outage};
use serde::{Deserialize, Serialize};
use store::{
    breaker, error,
    rates::Rates,
    service::Options,
    table::{self, Condition, Op, Outcome, RowVersion, Table},
};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Head {
    version: u64,
}

fn start() -> (fakes::table::Table, Table) {
    let options = fakes::table::Options {
        reads: None,
        writes: None,
        seed: 0,
    };
    let fake = fakes::table::Table::start("127.0.0.1:0".parse().unwrap(), &options).unwrap();
    let client = Table::new(Options {
        timeout: Span::from_millis(500),
        ..table::options(fake.address())
    });
    (fake, client)
}

fn insert(key: &str, version: u64) -> Op {
    Op::insert(key, &Head { version }).unwrap()
}

fn row_version(outcome: Outcome) -> RowVersion {
    match outcome {
        Outcome::Committed(versions) => versions[0],
        outcome => panic!("not committed: {outcome:?}"),
    }
}

#[tokio::test]
async fn typed_rows() {
    let (_fake, table) = start();
    assert_eq!(table.read("conf/head").await.unwrap(), None);
    let first = row_version(table.transact(&[insert("conf/head", 7)]).await);
    let row = table.read("conf/head").await.unwrap().unwrap();
    assert_eq!(row.version, first);
    assert_eq!(row.decode::<Head>().unwrap(), Head { version: 7 });
    let wrong = row.decode::<Vec<u64>>().unwrap_err().to_string();
    expect!["decode row at conf/head: invalid type: map, expected a sequence"].assert_eq(&wrong);
}

#[tokio::test]
async fn typed_conflict() {
    let (_fake, table) = start();
    let first = row_version(table.transact(&[insert("head", 1)]).await);
    let ops = [
        insert("change/2", 2),
        Op::check("gone", Condition::Absent(true)),
        Op::replace("head", RowVersion(9), &Head { version: 2 }).unwrap(),
    ];
    let Outcome::Conflict(conflict) = table.transact(&ops).await else {
        panic!("the head has another version");
    };
    assert_eq!(conflict.failed, 2);
    let row = conflict.row.unwrap();
    assert_eq!((row.key.as_str(), row.version), ("head", first));
    assert_eq!(table.read("change/2").await.unwrap(), None);
    let deleted = table.transact(&[Op::delete("head", first)]).await;
    assert_eq!(row_version(deleted), RowVersion(0));
}

#[tokio::test]
async fn whole_scan() {
    let (_fake, table) = start();
    let ops: Vec<Op> = (0..1200)
        .map(|index| insert(&format!("claim/a b/{index:04}"), index))
        .collect();
    row_version(table.transact(&ops).await);
    row_version(table.transact(&[insert("claim0", 0)]).await);
    let rows = table.scan("claim/").await.unwrap();
    assert_eq!(rows.len(), 1200);
    assert_eq!(rows[1199].key, "claim/a b/1199");
}

#[tokio::test]
async fn lost_reply() {
    let (fake, table) = start();
    fake.faults(|faults| faults.lost_reply = Chance::Next(1));
    let lost = table.transact(&[insert("claim", 1)]).await;
    assert!(matches!(lost, Outcome::Unknown(_)), "{lost:?}");
    let row = table.read("claim").await.unwrap();
    assert!(row.is_some(), "a read shows the outcome");
    assert_eq!(fake.counts().writes, 1, "the write was not retried");
}

#[tokio::test]
async fn slow_reply() {
    let (fake, table) = start();
    fake.faults(|faults| faults.delay = Span::from_secs(3600));
    let slow = table.transact(&[insert("claim", 1)]).await;
    assert!(matches!(slow, Outcome::Unknown(_)), "{slow:?}");
    assert_eq!(fake.counts().writes, 1, "the write was not retried");
}

/// A transaction with an unknown outcome may take effect after a read that does not
/// show it.
#[tokio::test]
async fn late_effect() {
    let (fake, table) = start();
    fake.faults(|faults| faults.delay = Span::from_secs(3));
    let slow = table.transact(&[insert("claim", 1)]).await;
    assert!(matches!(slow, Outcome::Unknown(_)), "{slow:?}");
    fake.faults(|faults| faults.delay = Span::ZERO);
    assert_eq!(table.read("claim").await.unwrap(), None);
    for _ in 0..1000 {
        if table.read("claim").await.unwrap().is_some() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the write did not take effect");
}

#[tokio::test]
async fn retried_read() {
    let (fake, table) = start();
    row_version(table.transact(&[insert("k", 1)]).await);
    fake.faults(|faults| faults.lost_reply = Chance::Next(1));
    assert!(table.read("k").await.unwrap().is_some());
    assert_eq!(fake.counts().reads, 2);
}

#[tokio::test]
async fn refused_in_outage() {
    let (fake, table) = start();
    fake.faults(|faults| faults.outage = Outage::Refuse);
    let begin = Instant::now();
    let refused = table.transact(&[insert("claim", 1)]).await;
    let Outcome::NotSent {
        fault,
        retry_after: after,
    } = refused
    else {
        panic!("a refused write must be `NotSent`: {refused:?}");
    };
    assert!(after >= Span::from_secs(1), "the table's `Retry-After`");
    assert!(
        begin.elapsed() < Duration::from_millis(900),
        "refused at once"
    );
    assert!(fault.to_string().starts_with("transact at 127.0.0.1:"));
    assert!(fake.backup().get("claim").is_none());
}

#[tokio::test]
async fn refused_connection() {
    let (fake, table) = start();
    fake.power().down(None);
    while std::net::TcpStream::connect(fake.address()).is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let refused = table.transact(&[insert("claim", 1)]).await;
    assert!(matches!(refused, Outcome::NotSent { .. }), "{refused:?}");
}

#[tokio::test]
async fn open_breaker() {
    let (fake, table) = start();
    fake.faults(|faults| faults.outage = Outage::Refuse);
    for _ in 0..50 {
        let fault = table.read("k").await.unwrap_err();
        assert!(error::retry_after(&fault).is_some(), "{fault}");
    }
    assert!(fake.counts().reads < 10, "{:?}", fake.counts());
    assert!(matches!(table.breaker(), breaker::State::Open { .. }));
    fake.faults(|faults| faults.outage = Outage::None);
    for _ in 0..1000 {
        if table.read("k").await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the breaker did not close");
}

#[tokio::test]
async fn process_share() {
    let (_fake, table) = start();
    table.set_rates(Rates {
        reads: Rate(0.01),
        writes: Rate(0.01),
    });
    let mut refused = None;
    for _ in 0..5 {
        refused = table.read("k").await.err();
    }
    let fault = refused.expect("the burst allows four calls only");
    assert!(
        error::retry_after(&fault) > Some(Span::from_secs(1)),
        "{fault}"
    );
    assert!(fault.to_string().contains("over this process's share"));
}

#[tokio::test]
async fn service_rate() {
    let options = fakes::table::Options {
        writes: Some(Rate(0.01)),
        ..fakes::table::Options::default()
    };
    let fake = fakes::table::Table::start("127.0.0.1:0".parse().unwrap(), &options).unwrap();
    let table = Table::new(table::options(fake.address()));
    row_version(table.transact(&[insert("a", 1)]).await);
    let limited = table.transact(&[insert("b", 1)]).await;
    let Outcome::NotSent {
        retry_after: after, ..
    } = limited
    else {
        panic!("a 429 reply must give `NotSent`: {limited:?}");
    };
    assert!(after >= Span::from_secs(1));
    assert!(fake.backup().get("b").is_none());
}
