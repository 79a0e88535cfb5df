//! Tests of the object store client: conditional writes and their outcomes.

use fakes::fault::{Chance, Outage};
use store::object::{self, Condition, Objects, Outcome};

fn start() -> (fakes::object::Objects, Objects) {
    let options = fakes::object::Options::default();
    let listen = "127.0.0.1:0".parse().unwrap();
    let fake = fakes::object::Objects::start(listen, &options).unwrap();
    let client = Objects::new(object::options(fake.address()));
    (fake, client)
}

#[tokio::test]
async fn conditional_put() {
    let (_fake, objects) = start();
    assert_eq!(objects.get("snapshots/1").await.unwrap(), None);
    let put = objects.put("snapshots/1", "one".into(), &Condition::Absent);
    assert!(matches!(put.await, Outcome::Written(Some(_))));
    let again = objects.put("snapshots/1", "two".into(), &Condition::Absent);
    assert!(matches!(again.await, Outcome::Conflict));
    let object = objects.get("snapshots/1").await.unwrap().unwrap();
    assert_eq!(object.bytes, "one");
    let matches = Condition::Matches(object.tag);
    let replaced = objects.put("snapshots/1", "two".into(), &matches).await;
    assert!(matches!(replaced, Outcome::Written(Some(_))));
    let stale = objects.put("snapshots/1", "three".into(), &matches).await;
    assert!(matches!(stale, Outcome::Conflict));
    for _ in 0..2 {
        let deleted = objects.delete("snapshots/1", &Condition::Any).await;
        assert!(matches!(deleted, Outcome::Written(None)), "{deleted:?}");
    }
}

#[tokio::test]
async fn lost_and_refused() {
    let (fake, objects) = start();
    fake.faults(|faults| faults.lost_reply = Chance::Next(1));
    let lost = objects.put("k", "v".into(), &Condition::Any).await;
    assert!(matches!(lost, Outcome::Unknown(_)));
    assert_eq!(fake.content("k").unwrap(), "v");
    fake.faults(|faults| faults.outage = Outage::Refuse);
    let refused = objects.put("k", "w".into(), &Condition::Any).await;
    assert!(matches!(refused, Outcome::NotSent { .. }));
    assert_eq!(fake.content("k").unwrap(), "v");
}
