//! Golden texts of the router's decisions for one request: the ordinary case
//! and each fault. They guard against telling a caller not-run, or asking a
//! second agent, without a proof.

use std::fmt::Write;

use base::id;
use expect_test::{Expect, expect};
use once::{
    epoch::Epoch,
    refusal::Refusal,
    settle::{Class, Head, Limits, Request, Sent, Step},
};

struct Session {
    request: Request,
    text: String,
}

impl Session {
    fn new(class: Class) -> Self {
        Self {
            request: Request::new(id::RequestId(1), class, Limits::default()),
            text: String::new(),
        }
    }

    fn sent(&mut self, agent: &str) -> &mut Self {
        self.request.sent(Sent {
            agent: agent.parse().unwrap(),
            incarnation: id::Incarnation(1),
            epoch: Epoch::FIRST,
        });
        writeln!(self.text, "run sent to {agent}").unwrap();
        self
    }

    fn on(&mut self, event: &str, decide: impl FnOnce(&mut Request) -> Step) -> &mut Self {
        let step = decide(&mut self.request);
        writeln!(self.text, "{event}\n    {step}").unwrap();
        self
    }

    fn refused(&mut self, why: Refusal) -> &mut Self {
        let present = Some((id::Incarnation(2), Epoch(7)));
        self.on(&format!("refused: {why}"), |request| {
            request.refused(why, None, present)
        })
    }

    fn head(&mut self, resumable: bool) -> &mut Self {
        self.on("head", |request| {
            request.head(Head {
                id: id::RequestId(1),
                status: 200,
                replayed: false,
                resumable,
            })
        })
    }

    fn data(&mut self, offset: u64, len: usize) -> &mut Self {
        self.on(&format!("data {offset}+{len}"), |request| {
            request.data(offset, len)
        })
    }

    fn check(&self, expected: Expect) {
        expected.assert_eq(&self.text);
    }
}

#[test]
fn ordinary() {
    let mut session = Session::new(Class::Once);
    session.sent("a").head(false).data(0, 10).data(10, 5);
    session.on("end 15", |request| request.end(15));
    session.check(expect![[r#"
        run sent to a
        head
            step=head
        data 0+10
            step=pass from=0
        data 10+5
            step=pass from=0
        end 15
            step=finish outcome=done
    "#]]);
}

#[test]
fn refused_twice() {
    let mut session = Session::new(Class::Once);
    session.sent("a").refused(Refusal::Bound);
    session.sent("b").refused(Refusal::Leaving);
    session.sent("c").refused(Refusal::Share);
    session.check(expect![[r#"
        run sent to a
        refused: bound
            step=choose skip=0
        run sent to b
        refused: leaving
            step=choose skip=0
        run sent to c
        refused: share
            step=answer outcome=not-run reason="share"
    "#]]);
}

/// A refusal for the content or for want of the table is final at once.
#[test]
fn refused_finally() {
    for why in [
        Refusal::Table,
        Refusal::Mismatch,
        Refusal::Quarantine,
        Refusal::Deadline,
    ] {
        let mut request = Request::new(id::RequestId(1), Class::Keyed, Limits::default());
        request.sent(Sent {
            agent: "a".parse().unwrap(),
            incarnation: id::Incarnation(1),
            epoch: Epoch::FIRST,
        });
        let step = request.refused(why.clone(), None, None);
        assert_eq!(step, Step::NotRun { why, after: None });
    }
}

#[test]
fn link_reattached() {
    let mut session = Session::new(Class::Once);
    session.sent("a").head(false).data(0, 10);
    session.on("link lost", Request::link_lost);
    session.head(false).data(8, 4);
    session.on("end 12", |request| request.end(12));
    session.check(expect![[r#"
        run sent to a
        head
            step=head
        data 0+10
            step=pass from=0
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=10 pause=0us
        head
            step=read
        data 8+4
            step=pass from=2
        end 12
            step=finish outcome=done
    "#]]);
}

#[test]
fn link_tombstone() {
    let mut session = Session::new(Class::Once);
    session.sent("a").on("link lost", Request::link_lost);
    session.refused(Refusal::Tombstone);
    session.sent("b").head(false);
    session.on("end 0", |request| request.end(0));
    session.check(expect![[r#"
        run sent to a
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=0us
        refused: tombstone
            step=choose skip=0
        run sent to b
        head
            step=head
        end 0
            step=finish outcome=done
    "#]]);
}

#[test]
fn agent_unreachable() {
    let mut session = Session::new(Class::Once);
    session.sent("a").on("link lost", Request::link_lost);
    for _ in 0..Limits::default().settles {
        session.on("link lost", Request::link_lost);
    }
    session.check(expect![[r#"
        run sent to a
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=0us
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=100ms
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=200ms
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=400ms
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=800ms
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=1600ms
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=3200ms
        link lost
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=6400ms
        link lost
            step=answer outcome=unknown reason="unreachable"
    "#]]);
    assert!(session.request.live().is_some());
}

#[test]
fn repeatable_continued() {
    let mut session = Session::new(Class::Repeatable);
    session.sent("a").head(true).data(0, 10);
    session.on("broken", |request| request.broken(true));
    session.sent("b").head(true).data(10, 2);
    session.on("end 12", |request| request.end(12));
    session.check(expect![[r#"
        run sent to a
        head
            step=head
        data 0+10
            step=pass from=0
        broken
            step=choose skip=10
        run sent to b
        head
            step=read
        data 10+2
            step=pass from=0
        end 12
            step=finish outcome=done
    "#]]);
}

/// A response that cannot be continued byte for byte is broken off, not
/// joined with another one.
#[test]
fn repeatable_unspliced() {
    let mut session = Session::new(Class::Repeatable);
    session.sent("a").head(false).data(0, 10);
    session.on("broken", |request| request.broken(true));
    session.check(expect![[r#"
        run sent to a
        head
            step=head
        data 0+10
            step=pass from=0
        broken
            step=abort outcome=unknown reason="broken"
    "#]]);
}

/// The first agent may have run it, so that later refusals prove nothing.
#[test]
fn repeatable_doubt() {
    let mut session = Session::new(Class::Repeatable);
    session.sent("a").on("unreachable", Request::unreachable);
    session.sent("b").refused(Refusal::Bound);
    session.on("no agent left", |request| {
        request.none(Refusal::Bound, None)
    });
    session.check(expect![[r#"
        run sent to a
        unreachable
            step=choose skip=0
        run sent to b
        refused: bound
            step=choose skip=0
        no agent left
            step=answer outcome=unknown reason="unreachable"
    "#]]);
}

#[test]
fn claim_owner() {
    let mut session = Session::new(Class::Keyed);
    let owner: id::ProcessId = "b".parse().unwrap();
    session.sent("a").refused(Refusal::Claimed(owner));
    session.sent("b").on("not sent", Request::unsent);
    session.check(expect![[r#"
        run sent to a
        refused: claimed by b
            step=redirect agent=b
        run sent to b
        not sent
            step=answer outcome=unknown reason="claimed by b"
    "#]]);
}

#[test]
fn stale_epoch() {
    let mut session = Session::new(Class::Once);
    session.sent("a").refused(Refusal::Stale);
    session.sent("a").refused(Refusal::Stale);
    session.check(expect![[r#"
        run sent to a
        refused: stale
            step=resend agent=a incarnation=2 epoch=7
        run sent to a
        refused: stale
            step=choose skip=0
    "#]]);
}

/// The response of another request must not reach the caller.
#[test]
fn crossed_response() {
    let mut session = Session::new(Class::Once);
    session.sent("a").on("head of another request", |request| {
        request.head(Head {
            id: id::RequestId(2),
            status: 200,
            replayed: false,
            resumable: false,
        })
    });
    session.check(expect![[r#"
        run sent to a
        head of another request
            step=answer outcome=unknown reason="crossed"
    "#]]);
}

/// A response with a gap or a wrong length must not appear complete.
#[test]
fn whole_response() {
    let mut session = Session::new(Class::Once);
    session.sent("a").head(false).data(0, 10).data(12, 3);
    session.data(10, 5).on("end 20", |request| request.end(20));
    session.on("end 14", |request| request.end(14));
    session.check(expect![[r#"
        run sent to a
        head
            step=head
        data 0+10
            step=pass from=0
        data 12+3
            step=settle agent=a incarnation=1 epoch=1 offset=10 pause=0us
        data 10+5
            step=pass from=0
        end 20
            step=settle agent=a incarnation=1 epoch=1 offset=15 pause=0us
        end 14
            step=abort outcome=unknown reason="crossed"
    "#]]);
}

#[test]
fn deadline_passed() {
    let mut session = Session::new(Class::Once);
    session.on("deadline", Request::expired);
    session.check(expect![[r#"
        deadline
            step=answer outcome=not-run reason="deadline"
    "#]]);
    let mut session = Session::new(Class::Once);
    session.sent("a").on("deadline", Request::expired);
    session.check(expect![[r#"
        run sent to a
        deadline
            step=answer outcome=unknown reason="deadline"
    "#]]);
}

#[test]
fn agent_contradiction() {
    let mut session = Session::new(Class::Once);
    session.sent("a").head(true).data(0, 10);
    session.refused(Refusal::Tombstone);
    session.check(expect![[r#"
        run sent to a
        head
            step=head
        data 0+10
            step=pass from=0
        refused: tombstone
            step=abort outcome=unknown reason="crossed"
    "#]]);
}

/// The response of a second agent must not be joined to another status.
#[test]
fn other_status() {
    let mut session = Session::new(Class::Repeatable);
    session.sent("a").head(true).data(0, 10);
    session.on("broken", |request| request.broken(true));
    session.sent("b").on("head with status 500", |request| {
        request.head(Head {
            id: id::RequestId(1),
            status: 500,
            replayed: false,
            resumable: true,
        })
    });
    session.check(expect![[r#"
        run sent to a
        head
            step=head
        data 0+10
            step=pass from=0
        broken
            step=choose skip=10
        run sent to b
        head with status 500
            step=abort outcome=unknown reason="crossed"
    "#]]);
}

/// An end without a head is no response, even of no bytes.
#[test]
fn end_alone() {
    let mut session = Session::new(Class::Once);
    session.sent("a").on("end 0", |request| request.end(0));
    session.check(expect![[r#"
        run sent to a
        end 0
            step=settle agent=a incarnation=1 epoch=1 offset=0 pause=0us
    "#]]);
}

/// A slow target behind a flapping link is not an unreachable agent.
#[test]
fn slow_target() {
    let mut request = Request::new(id::RequestId(1), Class::Once, Limits::default());
    request.sent(Sent {
        agent: "a".parse().unwrap(),
        incarnation: id::Incarnation(1),
        epoch: Epoch::FIRST,
    });
    for _ in 0..3 * Limits::default().settles {
        let step = request.link_lost();
        assert!(matches!(step, Step::Settle { .. }), "{step}");
        request.attached();
    }
}

/// A response that the caller has a part of survives as many refusals as there
/// are continuations: busy agents must not end it.
#[test]
fn continued_refusals() {
    let limits = Limits::default();
    let mut session = Session::new(Class::Repeatable);
    session.sent("a").refused(Refusal::Bound);
    session.sent("b").head(true).data(0, 10);
    session.on("broken", |request| request.broken(true));
    for number in 1..limits.continuations {
        session.sent(&format!("busy-{number}"));
        let step = session.request.refused(Refusal::Bound, None, None);
        assert_eq!(step, Step::Choose { skip: 10 }, "refusal {number}");
    }
    session.sent("last");
    let step = session.request.refused(Refusal::Bound, None, None);
    assert!(matches!(step, Step::Abort(_)), "{step}");
}
