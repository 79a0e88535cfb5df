//! Golden texts of whole sessions of one ledger: a change of any decision
//! shows here as a change of text.

mod common;

use common::{AGENT, Session, keyed, owner, response, row};
use expect_test::expect;
use once::{claim, event::Class};

#[test]
fn ordinary_once() {
    let mut session = Session::new();
    session.offer(1, 1, Class::Once);
    session.admit(1);
    session.head(1, false);
    session.progress(1, 100, 84);
    session.complete(1, None);
    session.step("delivered 1", |ledger| {
        ledger.delivered(base::id::RequestId(1))
    });
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=dispatch request=1
        head of 1
        bytes 84..100 of 1
        end of 1
            action=release request=1
        delivered 1
            action=forget request=1
    "#]]
    .assert_eq(session.text());
}

#[test]
fn ordinary_keyed() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.head(1, false);
    session.complete(1, Some("order 7"));
    session.table("die-7", 11, claim::Answer::Written(2));
    assert!(session.ledger.drained());
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: written as version 1
            action=dispatch request=1
        head of 1
        end of 1
            action=release request=1
            action=ask op=write row="claim/orders/gifts/die-7" state=done if=1
        table: written as version 2
    "#]]
    .assert_eq(session.text());
}

#[test]
fn reply_lost() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Unanswered);
    let found = row(1, owner(AGENT, 1), 11, claim::State::Running);
    session.table("die-7", 11, claim::Answer::Read(Some(found)));
    session.complete(1, Some("order 7"));
    session.table("die-7", 11, claim::Answer::Unanswered);
    let done = claim::State::Done(response("order 7"));
    let found = row(2, owner(AGENT, 1), 11, done);
    session.table("die-7", 11, claim::Answer::Read(Some(found)));
    assert!(session.ledger.drained());
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: no reply
            action=ask op=read row="claim/orders/gifts/die-7"
        table: read version 1 running by agent-a.1 nonce 11
            action=dispatch request=1
        end of 1
            action=release request=1
            action=ask op=write row="claim/orders/gifts/die-7" state=done if=1
        table: no reply
            action=ask op=read row="claim/orders/gifts/die-7"
        table: read version 2 done by agent-a.1 nonce 11
    "#]]
    .assert_eq(session.text());
}
