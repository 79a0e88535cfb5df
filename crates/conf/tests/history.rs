//! Guards how a process follows the accepted changes: each once and in order,
//! whatever the order of arrival, and never backwards.

use std::sync::Arc;

use base::id;
use conf::{
    command::{self, Outcome, ReadBack, Refusal},
    history::{Adoption, Answers, HeadView, History, Offer, Readiness},
    row::{self, ChangeRow, Command, Head, Point, Reply, Row},
    state::Configuration,
};
use expect_test::expect;
use proptest::prelude::*;

fn give(number: u128, change: &str) -> Command {
    Command {
        id: id::CommandId(number),
        who: "amir".parse().unwrap(),
        why: "because".to_owned(),
        when: 0,
        change: serde_json::from_str(change).unwrap(),
    }
}

fn team(number: u128) -> Command {
    let change = format!(r#"{{ "create_team": {{ "id": "team-{number}" }} }}"#);
    give(number, &change)
}

/// Returns rows 1 to `count` of one lineage.
fn rows(count: u128) -> Vec<Arc<ChangeRow>> {
    let mut point = Point::default();
    let mut rows = Vec::new();
    for number in 1..=count {
        let row = ChangeRow::after(point, team(number));
        point = row.point();
        rows.push(Arc::new(row));
    }
    rows
}

fn at(count: u128) -> History {
    let mut history = History::new();
    for row in rows(count) {
        history.offer(row);
    }
    history
}

fn head(point: Point) -> Head {
    Head {
        row: Some(point.version.0),
        point,
    }
}

const ALL: Answers = Answers {
    known: 0,
    answered: 0,
    newest: id::Version(0),
};

#[test]
fn in_order() {
    let mut history = History::new();
    for row in rows(3) {
        let version = row.version;
        assert_eq!(history.offer(row), Offer::Applied(version));
    }
    assert_eq!(history.configuration().teams().len(), 3);
}

#[test]
fn gap_held() {
    let all = rows(3);
    let mut history = History::new();
    let missing = id::Version(1);
    assert_eq!(history.offer(all[2].clone()), Offer::Early { missing });
    assert_eq!(history.offer(all[1].clone()), Offer::Early { missing });
    assert_eq!(history.newest(), id::Version(3));
    assert_eq!(history.version(), id::Version(0));
    assert_eq!(
        history.offer(all[0].clone()),
        Offer::Applied(id::Version(3))
    );
    assert_eq!(history.offer(all[1].clone()), Offer::Known);
}

#[test]
fn rows_since() {
    let history = at(300);
    let rows = history.since(id::Version(298)).unwrap();
    assert_eq!(rows.len(), 2);
    assert_eq!(history.since(id::Version(300)).unwrap().len(), 0);
    assert!(history.since(id::Version(44)).is_some());
    assert!(
        history.since(id::Version(43)).is_none(),
        "256 rows are kept"
    );
}

#[test]
fn snapshot_adopted() {
    let sender = at(5);
    let text = serde_json::to_string(&sender.snapshot()).unwrap();
    let snapshot: row::Snapshot = serde_json::from_str(&text).unwrap();
    let mut receiver = at(2);
    let late = rows(6).pop().unwrap();
    receiver.offer(late);
    assert_eq!(
        receiver.adopt(snapshot.clone()),
        Adoption::Adopted(id::Version(6))
    );
    assert_eq!(receiver.adopt(snapshot), Adoption::Known);
    assert_eq!(receiver.point(), at(6).point());
    assert_eq!(receiver.configuration(), at(6).configuration());
    assert_eq!(
        receiver.observe(head(at(4).point())),
        HeadView::Restored(id::Version(5))
    );
}

/// A snapshot brings the rows that lead to it, so that its receiver can write
/// them back to a restored table.
#[test]
fn snapshot_rows() {
    let mut receiver = History::new();
    receiver.adopt(at(5).snapshot());
    receiver.observe(Head::default());
    let keys = receiver.write_back().unwrap().puts.len();
    assert_eq!(keys, 11, "the head, five changes and five commands");
    let mut gap = at(5).snapshot();
    gap.rows.remove(2);
    assert_eq!(History::new().adopt(gap), Adoption::Invalid);
}

/// A snapshot at the design size is larger than a frame between processes, so it
/// travels in pieces; a lost piece must not pass as a smaller configuration.
#[test]
fn snapshot_pieces() {
    let snapshot = at(40).snapshot();
    let pieces = snapshot.pieces(1000);
    assert!(pieces.len() > 10);
    assert!(pieces.iter().all(|piece| piece.len() <= 1000));
    let all = || pieces.iter().map(Vec::as_slice);
    assert_eq!(row::Snapshot::join(all()).unwrap(), snapshot);
    assert!(row::Snapshot::join(all().skip(1)).is_err());
    assert!(row::Snapshot::join(all().take(pieces.len() - 1)).is_err());
    let middle = all().take(3).chain(all().skip(4));
    let error = row::Snapshot::join(middle).unwrap_err();
    expect!["row conf/snapshot is not valid: the digest does not match"]
        .assert_eq(&error.to_string());
}

#[test]
fn fork_found() {
    let other = Arc::new(ChangeRow::after(at(2).point(), team(9)));
    let mut history = at(3);
    let Offer::Forked(fork) = history.offer(other.clone()) else {
        panic!("the two changes of version 3 differ");
    };
    expect!["version 3 has lineage f3ef99a3c8114f24a1d3612137955418 here and lineage 09bf654683c26b22f69d07795871f93f elsewhere"].assert_eq(&fork.to_string());
    assert_eq!(history.version(), id::Version(3));
    let refusal = command::prepare(&history, team(10), ALL).unwrap_err();
    assert_eq!(refusal, Refusal::Forked(fork));

    let next = Arc::new(ChangeRow::after(other.point(), team(10)));
    assert!(matches!(at(3).offer(next), Offer::Forked(_)));
    let table = head(other.point());
    assert!(matches!(at(3).observe(table), HeadView::Forked(_)));
    let mut branch = at(2);
    branch.offer(other);
    branch.offer(Arc::new(ChangeRow::after(branch.point(), team(11))));
    assert!(matches!(
        at(3).adopt(branch.snapshot()),
        Adoption::Forked(_)
    ));
}

/// A row whose content was altered must not pass as the accepted change.
#[test]
fn altered_row() {
    let row = rows(1).remove(0);
    let text = serde_json::to_string(row.as_ref()).unwrap();
    expect![[r#"{"version":1,"change":{"create_team":{"id":"team-1","keys":[],"open":null,"priority":5,"rate":null,"weight":100}},"who":"amir","why":"because","when":0,"command":"00000000000000000000000000000001","lineage":"19e58e3843dad3df5ea1a813a32c98ba"}"#]].assert_eq(&text);
    for (from, to) in [
        ("team-1", "team-2"),
        ("amir", "omar"),
        ("because", "why not"),
    ] {
        let altered: ChangeRow = serde_json::from_str(&text.replace(from, to)).unwrap();
        assert!(matches!(
            History::new().offer(Arc::new(altered)),
            Offer::Forked(_)
        ));
    }
}

/// A release that knows more fields must compute the same lineage from a row
/// that was written without them.
#[test]
fn lineage_as_written() {
    let text = r#"{"version":1,"change":{"create_team":{"id":"a"}},"who":"amir","why":"",
        "when":0,"command":"00000000000000000000000000000001","lineage":"LINEAGE"}"#;
    let blank = text.replace("LINEAGE", &row::Lineage::default().to_string());
    let row: ChangeRow = serde_json::from_str(&blank).unwrap();
    assert!(!row.follows(Point::default()));
    let written = serde_json::to_string(&row).unwrap();
    assert!(
        written.contains(r#""change":{"create_team":{"id":"a"}}"#),
        "{written}"
    );
}

#[test]
fn restored_table() {
    let mut history = at(4);
    assert_eq!(history.observe(head(at(4).point())), HeadView::Same);
    assert_eq!(history.write_back(), None);
    assert_eq!(
        history.observe(head(at(2).point())),
        HeadView::Restored(id::Version(3))
    );
    let refusal = command::prepare(&history, team(9), ALL).unwrap_err();
    expect!["the table is at version 2, but version 4 was accepted; no command is accepted until the missing changes are written back"].assert_eq(&refusal.to_string());
    let transaction = history.write_back().unwrap();
    let puts: Vec<String> = transaction
        .puts
        .iter()
        .map(|put| format!("{} if {:?}", put.key, put.condition))
        .collect();
    expect![[r#"
        conf/head if Version(2)
        conf/change/00000000000000000003 if Any
        conf/command/00000000000000000000000000000003 if Any
        conf/change/00000000000000000004 if Any
        conf/command/00000000000000000000000000000004 if Any"#]]
    .assert_eq(&puts.join("\n"));
    assert_eq!(
        history.observe(Head::default()),
        HeadView::Restored(id::Version(1))
    );
    assert!(history.write_back().is_some());
}

/// When the rows that the table lacks are no longer kept, the head goes over
/// them rather than stay behind for ever.
#[test]
fn restored_long_ago() {
    let mut history = at(300);
    assert_eq!(
        history.observe(head(at(10).point())),
        HeadView::Restored(id::Version(11))
    );
    let transaction = history.write_back().unwrap();
    assert_eq!(transaction.puts[1].key, row::change_key(id::Version(45)));
}

fn answers(known: usize, answered: usize, newest: u64) -> Answers {
    Answers {
        known,
        answered,
        newest: id::Version(newest),
    }
}

#[test]
fn ready_rules() {
    let mut history = History::new();
    assert_eq!(history.readiness(ALL), Readiness::Alone);
    expect!["waiting: table read false, 1 of 3 peers answered"]
        .assert_eq(&history.readiness(answers(9, 1, 0)).to_string());
    expect!["behind: at version 0, version 2 is known"]
        .assert_eq(&history.readiness(answers(9, 3, 2)).to_string());
    for row in rows(2) {
        history.offer(row);
    }
    assert_eq!(history.readiness(answers(9, 3, 2)), Readiness::Ready);
    assert_eq!(history.readiness(ALL), Readiness::Ready, "it stays ready");

    let mut with_table = History::new();
    with_table.observe(head(at(1).point()));
    assert!(matches!(
        with_table.readiness(ALL),
        Readiness::Behind { .. }
    ));
    with_table.offer(rows(1).remove(0));
    assert_eq!(with_table.readiness(ALL), Readiness::Ready);

    let mut from_snapshot = History::new();
    from_snapshot.adopt(at(2).snapshot());
    assert_eq!(from_snapshot.readiness(ALL), Readiness::Ready);
}

#[test]
fn command_refused() {
    let mut history = at(2);
    let refuse = |history: &History, answers| {
        let refusal = command::prepare(history, team(9), answers).unwrap_err();
        refusal.to_string()
    };
    expect!["the table does not answer; no command is accepted until it does"]
        .assert_eq(&refuse(&history, ALL));
    history.observe(head(at(3).point()));
    expect!["this process is at version 2, the table at version 3; try again shortly"]
        .assert_eq(&refuse(&history, ALL));
    history.offer(rows(3).pop().unwrap());
    expect!["2 peers confirmed the version, 3 are needed; try again shortly"]
        .assert_eq(&refuse(&history, answers(5, 2, 0)));
    expect!["the table is at version 3, but version 4 was accepted; no command is accepted until the missing changes are written back"].assert_eq(&refuse(&history, answers(5, 3, 4)));
    let accepted = command::prepare(&history, team(2), ALL).unwrap_err();
    assert_eq!(accepted, Refusal::Accepted(id::Version(2)));
    let rejected = give(9, r#"{ "delete_team": "team-9" }"#);
    let refusal = command::prepare(&history, rejected, ALL).unwrap_err();
    expect!["team team-9 does not exist"].assert_eq(&refusal.to_string());
}

#[test]
fn command_replies() {
    let mut history = at(2);
    history.observe(head(history.point()));
    let proposal = command::prepare(&history, team(9), ALL).unwrap();
    let puts: Vec<String> = proposal
        .transaction
        .puts
        .iter()
        .map(|put| format!("{} if {:?}", put.key, put.condition))
        .collect();
    expect![[r#"
        conf/command/00000000000000000000000000000009 if Absent
        conf/head if Version(2)
        conf/change/00000000000000000003 if Absent"#]]
    .assert_eq(&puts.join("\n"));

    let interpret = |reply: Reply| command::interpret(&proposal, &reply).unwrap();
    let Outcome::Committed { row, head: after } = interpret(Reply::Committed(vec![1, 3, 1])) else {
        panic!("the table committed");
    };
    assert_eq!(after.row, Some(3));
    assert_eq!(history.offer(row), Offer::Applied(id::Version(3)));
    assert_eq!(history.observe(after), HeadView::Same);

    let recorded = Row {
        version: 1,
        value: r#"{"version":2}"#.to_owned(),
    };
    let repeated = Reply::Failed {
        index: 0,
        row: Some(recorded.clone()),
    };
    assert_eq!(interpret(repeated), Outcome::Repeated(id::Version(2)));
    let moved = Reply::Failed {
        index: 1,
        row: Some(Row {
            version: 3,
            value: serde_json::to_string(&at(3).point()).unwrap(),
        }),
    };
    assert_eq!(interpret(moved), Outcome::Lost(head(at(3).point())));
    assert_eq!(interpret(Reply::Lost), Outcome::Unknown);

    let read = |head, row| command::read_back(&proposal, head, row).unwrap();
    let committed = read(head(at(2).point()), Some(&recorded));
    assert_eq!(committed, ReadBack::Committed(id::Version(2)));
    assert_eq!(read(head(at(2).point()), None), ReadBack::Undecided);
    assert_eq!(read(head(at(1).point()), None), ReadBack::Undecided);
    assert_eq!(
        read(head(at(3).point()), None),
        ReadBack::Lost(head(at(3).point()))
    );
    let broken = Row {
        version: 1,
        value: "{}".to_owned(),
    };
    let error = command::read_back(&proposal, Head::default(), Some(&broken)).unwrap_err();
    expect!["row conf/command/00000000000000000000000000000009 is not valid: missing field `version` at line 1 column 2"].assert_eq(&error.to_string());
}

#[test]
fn conflict_text() {
    let mut history = at(2);
    history.observe(head(history.point()));
    let mine = give(9, r#"{ "update_team": { "id": "team-1", "weight": 50 } }"#);
    let proposal = command::prepare(&history, mine, ALL).unwrap();
    let theirs = give(
        8,
        r#"{ "update_team": { "id": "team-1", "weight": 200, "rate": "5/s" } }"#,
    );
    let winner = Arc::new(ChangeRow::after(history.point(), theirs));
    let conflict = command::conflict(&proposal, vec![winner]);
    expect![[r#"
        another change was accepted first:
        version 3 by amir: update team team-1 rate=5/s weight=200 (because)
        ~ team team-1 rate=none->5/s weight=100->200
    "#]]
    .assert_eq(&conflict.to_string());
}

proptest! {
    /// Rows in any order, with duplicates, lead to the same configuration as
    /// rows in order, and the version never decreases on the way.
    #[test]
    fn any_order(picks in proptest::collection::vec(0usize..8, 0..64)) {
        let all = rows(8);
        let mut history = History::new();
        let mut version = history.version();
        for pick in picks {
            history.offer(all[pick].clone());
            prop_assert!(history.version() >= version);
            version = history.version();
            let expected = at(u128::from(version.0));
            prop_assert_eq!(history.point(), expected.point());
            prop_assert_eq!(history.configuration(), expected.configuration());
        }
        for row in all {
            history.offer(row);
        }
        prop_assert_eq!(history.version(), id::Version(8));
    }
}

#[test]
fn empty_start() {
    let history = History::new();
    assert_eq!(history.configuration().as_ref(), &Configuration::default());
    assert_eq!(history.point(), Point::default());
}
