//! Tests the queue of an admission controller: its order, its limits, and that
//! a request which will not run is refused immediately.

mod common;

use admit::{
    group::Standing,
    request::{Cancelled, Event, Reason, Request, Verdict},
};
use common::{at, controller, dispatched, fixed, request};

fn refusals(events: &[Event]) -> Vec<(u128, Reason)> {
    events
        .iter()
        .filter_map(|event| match event {
            Event::Refused { id, reason, .. } => Some((id.0, *reason)),
            Event::Run(_) => None,
        })
        .collect()
}

fn reason(verdict: Verdict) -> Option<Reason> {
    match verdict {
        Verdict::Refused { reason, .. } => Some(reason),
        Verdict::Run | Verdict::Queued => None,
    }
}

#[test]
fn runs_below_cap() {
    let mut controller = controller(fixed(2));
    assert_eq!(
        controller.offer(at(0), request(1, "a")).verdict,
        Verdict::Run
    );
    assert_eq!(
        controller.offer(at(0), request(2, "a")).verdict,
        Verdict::Run
    );
    assert_eq!(
        controller.offer(at(0), request(3, "a")).verdict,
        Verdict::Queued
    );
    assert_eq!((controller.load(), controller.queued()), (2, 1));
    assert_eq!(
        dispatched(&controller.finish(at(1), request(1, "a").id)),
        [3]
    );
    assert_eq!((controller.load(), controller.queued()), (2, 0));
}

#[test]
fn priority_then_deadline() {
    let mut controller = controller(fixed(1));
    controller.offer(at(0), request(1, "a"));
    let late = request(2, "a");
    let soon = Request {
        deadline: at(10_000),
        ..request(3, "a")
    };
    let urgent = Request {
        priority: 5,
        ..request(4, "a")
    };
    for queued in [late, soon, urgent] {
        assert_eq!(controller.offer(at(0), queued).verdict, Verdict::Queued);
    }
    let mut order = Vec::new();
    for id in [1, 4, 3] {
        order.extend(dispatched(&controller.finish(at(1), request(id, "a").id)));
    }
    assert_eq!(order, [4, 3, 2]);
}

#[test]
fn urgent_displaces() {
    let mut controller = controller(fixed(1));
    controller.offer(at(0), request(1, "a"));
    for id in 2..=5 {
        assert_eq!(
            controller.offer(at(0), request(id, "a")).verdict,
            Verdict::Queued
        );
    }
    let urgent = Request {
        priority: 5,
        ..request(6, "a")
    };
    let offered = controller.offer(at(0), urgent);
    assert_eq!(offered.verdict, Verdict::Queued);
    assert_eq!(refusals(&offered.events), [(5, Reason::Share)]);
    let offered = controller.offer(at(0), request(7, "a"));
    assert_eq!(reason(offered.verdict), Some(Reason::Share));
}

#[test]
fn longest_queue_trimmed() {
    let mut settings = fixed(1);
    settings.queue.total = 4;
    let mut controller = controller(settings);
    controller.offer(at(0), request(1, "a"));
    for id in 2..=5 {
        controller.offer(at(0), request(id, "a"));
    }
    let offered = controller.offer(at(0), request(6, "b"));
    assert_eq!(offered.verdict, Verdict::Queued);
    assert_eq!(refusals(&offered.events), [(5, Reason::Bound)]);
}

#[test]
fn wait_expires() {
    let mut controller = controller(fixed(1));
    controller.offer(at(0), request(1, "a"));
    controller.offer(at(10), request(2, "a"));
    assert_eq!(controller.next_expiry(), Some(at(510)));
    assert!(controller.expire(at(509)).is_empty());
    assert_eq!(refusals(&controller.expire(at(510))), [(2, Reason::Bound)]);
    assert_eq!(controller.next_expiry(), None);
}

#[test]
fn idle_team_waits() {
    // A request of a team without running ones waits longer, for one of the next
    // free slots, but is still refused long before its deadline.
    for (life, wait) in [(3_600_000, 2_000), (16_000, 1_000), (4_000, 500)] {
        let mut controller = controller(fixed(4));
        for id in 1..=4 {
            controller.offer(at(0), request(id, "busy"));
        }
        let quiet = Request {
            deadline: at(life),
            ..request(5, "quiet")
        };
        assert_eq!(controller.offer(at(0), quiet).verdict, Verdict::Queued);
        assert_eq!(controller.next_expiry(), Some(at(wait)), "life {life}");
        assert_eq!(refusals(&controller.expire(at(wait))), [(5, Reason::Bound)]);
    }
}

#[test]
fn deadline_expires() {
    let mut controller = controller(fixed(1));
    controller.offer(at(0), request(1, "a"));
    let brief = Request {
        deadline: at(100),
        ..request(2, "a")
    };
    controller.offer(at(0), brief.clone());
    assert_eq!(
        refusals(&controller.expire(at(100))),
        [(2, Reason::Deadline)]
    );
    let offered = controller.offer(at(100), brief);
    assert_eq!(reason(offered.verdict), Some(Reason::Deadline));
}

#[test]
fn leaving_refuses_all() {
    let mut controller = controller(fixed(1));
    controller.offer(at(0), request(1, "a"));
    controller.offer(at(0), request(2, "a"));
    let events = controller.set_standing(at(5), Standing::Leaving);
    assert_eq!(refusals(&events), [(2, Reason::Leaving)]);
    let offered = controller.offer(at(6), request(3, "a"));
    assert_eq!(reason(offered.verdict), Some(Reason::Leaving));
    assert_eq!(controller.load(), 1);
    assert!(controller.finish(at(7), request(1, "a").id).is_empty());
    assert_eq!(controller.load(), 0);
}

#[test]
fn duplicate_refused() {
    let mut controller = controller(fixed(1));
    for (id, first) in [(1, Verdict::Run), (2, Verdict::Queued)] {
        assert_eq!(controller.offer(at(0), request(id, "a")).verdict, first);
        let again = controller.offer(at(0), request(id, "a"));
        assert_eq!(reason(again.verdict), Some(Reason::Duplicate));
    }
    assert_eq!(
        dispatched(&controller.finish(at(1), request(1, "a").id)),
        [2]
    );
}

#[test]
fn cancel_each_state() {
    let mut controller = controller(fixed(1));
    controller.offer(at(0), request(1, "a"));
    controller.offer(at(0), request(2, "a"));
    assert_eq!(controller.cancel(request(2, "a").id), Cancelled::Queued);
    assert_eq!(controller.cancel(request(2, "a").id), Cancelled::Unknown);
    assert_eq!(controller.cancel(request(1, "a").id), Cancelled::Running);
    assert_eq!(controller.load(), 1);
    assert!(controller.finish(at(1), request(1, "a").id).is_empty());
}
