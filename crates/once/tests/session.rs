//! Golden texts of whole sessions of one ledger: a change of any decision
//! shows here as a change of text.

mod common;

use base::span::Span;
use common::{AGENT, Session, keyed, owner, response, row};
use expect_test::expect;
use once::{action::Action, claim, event::Class};

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

/// Once the claim is recorded, a repetition is judged by its row alone.
#[test]
fn repeated_keyed() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.complete(1, Some("order 7"));
    session.table("die-7", 11, claim::Answer::Written(2));
    session.offer(2, 2, keyed("die-7", 12));
    session.admit(2);
    let done = claim::State::Done(response("order 7"));
    let found = row(2, owner(AGENT, 1), 11, done);
    session.table("die-7", 12, claim::Answer::Conflict(Some(found)));
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: written as version 1
            action=dispatch request=1
        end of 1
            action=release request=1
            action=ask op=write row="claim/orders/gifts/die-7" state=done if=1
        table: written as version 2
        run 2 on link 2
            action=admit request=2
        admitted 2
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: conflict with version 2 done by agent-a.1 nonce 11
            action=release request=2
            action=replay request=2 link=2
    "#]]
    .assert_eq(session.text());
}

/// The insert was lost before it took effect; the same nonce is inserted again.
#[test]
fn request_lost() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Unanswered);
    session.table("die-7", 11, claim::Answer::Read(None));
    session.table("die-7", 11, claim::Answer::Written(1));
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: no reply
            action=ask op=read row="claim/orders/gifts/die-7"
        table: read no row
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: written as version 1
            action=dispatch request=1
    "#]]
    .assert_eq(session.text());
}

#[test]
fn other_owner() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    let found = row(1, owner("agent-b", 4), 9, claim::State::Running);
    session.table("die-7", 11, claim::Answer::Conflict(Some(found)));
    assert!(session.ledger.drained());
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: conflict with version 1 running by agent-b.4 nonce 9
            action=release request=1
            action=refuse request=1 link=1 reason="claimed by agent-b"
    "#]]
    .assert_eq(session.text());
}

#[test]
fn other_body() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    let mut found = row(3, owner("agent-b", 4), 9, claim::State::Abandoned);
    found.claim.digest = common::digest(2);
    session.table("die-7", 11, claim::Answer::Conflict(Some(found)));
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: conflict with version 3 abandoned by agent-b.4 nonce 9
            action=release request=1
            action=refuse request=1 link=1 reason="mismatch"
    "#]]
    .assert_eq(session.text());
}

/// A claim of an older incarnation of this agent may have been dispatched.
#[test]
fn older_incarnation() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    let found = row(1, owner(AGENT, 0), 9, claim::State::Running);
    session.table("die-7", 11, claim::Answer::Conflict(Some(found)));
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: conflict with version 1 running by agent-a.0 nonce 9
            action=release request=1
            action=break request=1 link=1 cause=claim
    "#]]
    .assert_eq(session.text());
}

#[test]
fn takeover_raced() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    let found = row(2, owner("agent-b", 4), 9, claim::State::Abandoned);
    session.table("die-7", 11, claim::Answer::Conflict(Some(found)));
    let taken = row(3, owner("agent-c", 1), 8, claim::State::Running);
    session.table("die-7", 11, claim::Answer::Conflict(Some(taken)));
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: conflict with version 2 abandoned by agent-b.4 nonce 9
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=2
        table: conflict with version 3 running by agent-c.1 nonce 8
            action=release request=1
            action=refuse request=1 link=1 reason="claimed by agent-c"
    "#]]
    .assert_eq(session.text());
}

#[test]
fn stored_response() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    let done = claim::State::Done(response("order 7"));
    let found = row(2, owner("agent-b", 4), 9, done);
    session.table("die-7", 11, claim::Answer::Conflict(Some(found)));
    session.lose(1, 1);
    session.settle(1, 2, 3);
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: conflict with version 2 done by agent-b.4 nonce 9
            action=release request=1
            action=replay request=1 link=1
        link 1 of 1 lost
        settle 1 from 3 on link 2
            action=attach request=1 link=2 of=1 offset=3
    "#]]
    .assert_eq(session.text());
}

/// The table is down: not-run at once; the row that a late insert may leave is
/// this agent's own and is taken over when the caller comes back.
#[test]
fn table_outage() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Unanswered);
    session.table("die-7", 11, claim::Answer::Unavailable);
    session.offer(2, 2, keyed("die-7", 12));
    session.admit(2);
    let stray = row(1, owner(AGENT, 1), 11, claim::State::Running);
    session.table("die-7", 12, claim::Answer::Conflict(Some(stray)));
    session.table("die-7", 12, claim::Answer::Written(2));
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: no reply
            action=ask op=read row="claim/orders/gifts/die-7"
        table: unavailable
            action=release request=1
            action=refuse request=1 link=1 reason="table"
        run 2 on link 2
            action=admit request=2
        admitted 2
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: conflict with version 1 running by agent-a.1 nonce 11
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=1
        table: written as version 2
            action=dispatch request=2
    "#]]
    .assert_eq(session.text());
}

/// Without a second request the stray row is abandoned when the table is back,
/// so that any other agent may take it over.
#[test]
fn stray_abandoned() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Unanswered);
    session.table("die-7", 11, claim::Answer::Unavailable);
    session.wait(Span::from_millis(500));
    session.table("die-7", 11, claim::Answer::Unavailable);
    session.wait(Span::from_secs(1));
    let stray = row(1, owner(AGENT, 1), 11, claim::State::Running);
    session.table("die-7", 11, claim::Answer::Read(Some(stray)));
    session.table("die-7", 11, claim::Answer::Written(2));
    assert!(session.ledger.drained());
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: no reply
            action=ask op=read row="claim/orders/gifts/die-7"
        table: unavailable
            action=release request=1
            action=refuse request=1 link=1 reason="table"
        expire after 500ms
            action=ask op=read row="claim/orders/gifts/die-7"
        table: unavailable
        expire after 1s
            action=ask op=read row="claim/orders/gifts/die-7"
        table: read version 1 running by agent-a.1 nonce 11
            action=ask op=write row="claim/orders/gifts/die-7" state=abandoned if=1
        table: written as version 2
    "#]]
    .assert_eq(session.text());
}

/// The table fails after the dispatch: the end is written until it is
/// recorded, and repetitions meanwhile get the response from this agent.
#[test]
fn record_outage() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.complete(1, Some("order 7"));
    session.table("die-7", 11, claim::Answer::Unavailable);
    session.offer(2, 2, keyed("die-7", 12));
    assert!(!session.ledger.drained());
    session.wait(Span::from_millis(500));
    let found = row(1, owner(AGENT, 1), 11, claim::State::Running);
    session.table("die-7", 11, claim::Answer::Read(Some(found)));
    session.table("die-7", 11, claim::Answer::Written(2));
    assert!(session.ledger.drained());
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: written as version 1
            action=dispatch request=1
        end of 1
            action=release request=1
            action=ask op=write row="claim/orders/gifts/die-7" state=done if=1
        table: unavailable
        run 2 on link 2
            action=replay request=2 link=2
        expire after 500ms
            action=ask op=read row="claim/orders/gifts/die-7"
        table: read version 1 running by agent-a.1 nonce 11
            action=ask op=write row="claim/orders/gifts/die-7" state=done if=1
        table: written as version 2
    "#]]
    .assert_eq(session.text());
}

#[test]
fn target_crash() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.offer(2, 2, keyed("die-7", 12));
    let now = session.now;
    session.step("target crashed", |ledger| ledger.target_lost(now));
    session.offer(3, 3, keyed("die-7", 13));
    session.settle(1, 4, 0);
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: written as version 1
            action=dispatch request=1
        run 2 on link 2
            action=attach request=2 link=2 of=1 offset=0
        target crashed
            action=release request=1
            action=ask op=write row="claim/orders/gifts/die-7" state=lost if=1
            action=break request=1 link=1 cause=target
            action=break request=2 link=2 cause=target
        run 3 on link 3
            action=break request=3 link=3 cause=target
        settle 1 from 0 on link 4
            action=break request=1 link=4 cause=target
    "#]]
    .assert_eq(session.text());
}

/// Nothing reached the target: the claim is abandoned, so that another agent
/// takes it over.
#[test]
fn target_refused() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    let now = session.now;
    session.step("connection refused by target", |ledger| {
        ledger.unsent(now, base::id::RequestId(1))
    });
    session.table("die-7", 11, claim::Answer::Written(2));
    assert!(session.ledger.drained());
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: written as version 1
            action=dispatch request=1
        connection refused by target
            action=release request=1
            action=ask op=write row="claim/orders/gifts/die-7" state=abandoned if=1
        table: written as version 2
            action=refuse request=1 link=1 reason="down"
    "#]]
    .assert_eq(session.text());
}

/// The caller gave up and came back through another router: the first request
/// goes on for the second.
#[test]
fn caller_retries() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.offer(2, 2, keyed("die-7", 12));
    session.cancel(1);
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.complete(1, Some("order 7"));
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        run 2 on link 2
            action=attach request=2 link=2 of=1 offset=0
        cancel 1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: written as version 1
            action=dispatch request=1
        end of 1
            action=release request=1
            action=ask op=write row="claim/orders/gifts/die-7" state=done if=1
    "#]]
    .assert_eq(session.text());
}

/// A claim that is cancelled while its insert is open is never dispatched.
#[test]
fn cancelled_claiming() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.cancel(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.table("die-7", 11, claim::Answer::Written(2));
    assert!(session.ledger.drained());
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        cancel 1
            action=release request=1
        table: written as version 1
            action=ask op=write row="claim/orders/gifts/die-7" state=abandoned if=1
        table: written as version 2
    "#]]
    .assert_eq(session.text());
}

#[test]
fn link_cut() {
    let mut session = Session::new();
    session.offer(1, 1, Class::Once);
    session.admit(1);
    session.head(1, false);
    session.progress(1, 40, 24);
    session.lose(1, 1);
    session.settle(1, 2, 30);
    session.lose(1, 2);
    session.settle(1, 3, 10);
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=dispatch request=1
        head of 1
        bytes 24..40 of 1
        link 1 of 1 lost
        settle 1 from 30 on link 2
            action=attach request=1 link=2 of=1 offset=30
        link 2 of 1 lost
        settle 1 from 10 on link 3
            action=break request=1 link=3 cause=gone
    "#]]
    .assert_eq(session.text());
}

/// An engine resumes its stream by offset, both for the agent and for a router
/// that lost more than the agent keeps.
#[test]
fn stream_resumed() {
    let mut session = Session::new();
    session.offer(1, 1, Class::Repeatable);
    session.admit(1);
    session.head(1, true);
    session.progress(1, 40, 24);
    let now = session.now;
    session.step("stream of 1 broke off", |ledger| {
        ledger.broken(now, base::id::RequestId(1))
    });
    session.settle(1, 2, 10);
    session.step("stream of 1 cannot be resumed", |ledger| {
        ledger.unresumed(now, base::id::RequestId(1))
    });
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=dispatch request=1
        head of 1
        bytes 24..40 of 1
        stream of 1 broke off
            action=resume request=1 offset=40
        settle 1 from 10 on link 2
            action=resume request=1 offset=10
            action=attach request=1 link=2 of=1 offset=10
        stream of 1 cannot be resumed
            action=release request=1
            action=break request=1 link=2 cause=target
            action=forget request=1
    "#]]
    .assert_eq(session.text());
}

#[test]
fn target_leaving() {
    let mut session = Session::new();
    session.offer(1, 1, Class::Once);
    session.admit(1);
    session.offer(2, 2, Class::Once);
    session.offer(3, 3, keyed("die-7", 11));
    session.admit(3);
    let now = session.now;
    session.step("leave", |ledger| ledger.leave(now));
    session.offer(4, 4, Class::Once);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.table("die-7", 11, claim::Answer::Written(2));
    session.complete(1, None);
    assert!(session.ledger.drained());
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=dispatch request=1
        run 2 on link 2
            action=admit request=2
        run 3 on link 3
            action=admit request=3
        admitted 3
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        leave
            action=withdraw request=2
            action=refuse request=2 link=2 reason="leaving"
            action=release request=3
        run 4 on link 4
            action=refuse request=4 link=4 reason="leaving"
        table: written as version 1
            action=ask op=write row="claim/orders/gifts/die-7" state=abandoned if=1
        table: written as version 2
            action=refuse request=3 link=3 reason="leaving"
        end of 1
            action=release request=1
    "#]]
    .assert_eq(session.text());
}

fn refused(actions: &[Action]) -> bool {
    let refused = |action: &Action| matches!(action, Action::Refuse { .. });
    actions.iter().any(refused)
}

/// A caller that is told not-run may use its key again at once: the row must
/// not show the claim as running then, or an agent that dies makes it unknown.
#[test]
fn abandoned_first() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.offer(2, 2, keyed("die-7", 12));
    session.admit(1);
    let now = session.now;
    assert!(!refused(&session.step("leave", |l| l.leave(now))));
    assert!(!refused(&session.settle(1, 3, 0)));
    assert!(!refused(&session.offer(3, 4, keyed("die-7", 13))));
    assert!(!session.ledger.drained());
    let written = session.table("die-7", 11, claim::Answer::Written(1));
    assert!(!refused(&written));
    let abandoned = session.table("die-7", 11, claim::Answer::Written(2));
    assert_eq!(abandoned.len(), 4);
    assert!(session.ledger.drained());
}

/// A table that does not answer holds a refusal back for its time limit, not
/// beyond the request's deadline, and not at all when it is known to be down.
#[test]
fn refusal_bounded() {
    for (waited, limit) in [(0, 2), (29, 1)] {
        let mut session = Session::new();
        session.offer(1, 1, keyed("die-7", 11));
        session.admit(1);
        session.wait(Span::from_secs(waited));
        let now = session.now;
        assert!(!refused(&session.step("leave", |l| l.leave(now))));
        let due = now + Span::from_secs(limit);
        assert_eq!(session.ledger.next_expiry(), due);
        assert!(refused(&session.step("expire", |l| l.expire(due))));
    }
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    let now = session.now;
    session.step("leave", |l| l.leave(now));
    assert!(refused(&session.table(
        "die-7",
        11,
        claim::Answer::Unavailable
    )));
}

/// The deadline passed while the table answered: the claim is abandoned, and a
/// late request does not run.
#[test]
fn late_claim() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.wait(Span::from_secs(30));
    session.table("die-7", 11, claim::Answer::Written(1));
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        expire after 30s
        table: written as version 1
            action=release request=1
            action=ask op=write row="claim/orders/gifts/die-7" state=abandoned if=1
            action=refuse request=1 link=1 reason="deadline"
    "#]]
    .assert_eq(session.text());
}

/// A settled request must leave the gate's queue, or it would take a slot.
#[test]
fn settle_queued() {
    let mut session = Session::new();
    session.offer(1, 1, Class::Once);
    session.settle(1, 2, 0);
    session.settle(1, 3, 0);
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        settle 1 from 0 on link 2
            action=withdraw request=1
            action=refuse request=1 link=2 reason="tombstone"
        settle 1 from 0 on link 3
            action=refuse request=1 link=3 reason="tombstone"
    "#]]
    .assert_eq(session.text());
}

/// Once the target has begun to respond, no report proves it unsent.
#[test]
fn unsent_answering() {
    let mut session = Session::new();
    session.offer(1, 1, Class::Once);
    session.admit(1);
    session.head(1, false);
    let now = session.now;
    let id = base::id::RequestId(1);
    let actions = session.step("unsent 1", |ledger| ledger.unsent(now, id));
    assert!(actions.is_empty());
}

/// A keyed response stays for repetitions after its own caller has it.
#[test]
fn delivered_keyed() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.offer(2, 2, keyed("die-7", 12));
    session.complete(1, Some("order 7"));
    let id = base::id::RequestId(1);
    let actions = session.step("delivered 1", |ledger| ledger.delivered(id));
    assert!(actions.is_empty());
    let actions = session.settle(2, 3, 4);
    assert_eq!(actions.len(), 1, "the repetition reads on from byte 4");
}

/// A repetition that cannot be replayed does not change what is recorded.
#[test]
fn response_unkept() {
    let mut session = Session::new();
    session.offer(1, 1, keyed("die-7", 11));
    session.admit(1);
    session.table("die-7", 11, claim::Answer::Written(1));
    session.complete(1, None);
    session.offer(2, 2, keyed("die-7", 12));
    session.table("die-7", 11, claim::Answer::Unanswered);
    let found = row(1, owner(AGENT, 1), 11, claim::State::Running);
    session.table("die-7", 11, claim::Answer::Read(Some(found)));
    expect![[r#"
        run 1 on link 1
            action=admit request=1
        admitted 1
            action=ask op=write row="claim/orders/gifts/die-7" state=running if=absent
        table: written as version 1
            action=dispatch request=1
        end of 1
            action=release request=1
            action=ask op=write row="claim/orders/gifts/die-7" state=done if=1
        run 2 on link 2
            action=break request=2 link=2 cause=gone
        table: no reply
            action=ask op=read row="claim/orders/gifts/die-7"
        table: read version 1 running by agent-a.1 nonce 11
            action=ask op=write row="claim/orders/gifts/die-7" state=done if=1
    "#]]
    .assert_eq(session.text());
}
