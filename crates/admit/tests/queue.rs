//! Guards the queue of one gate: its order, its limits, and that a request
//! which will not run gets its final answer at once.

mod common;

use admit::{
    group::Standing,
    ticket::{Cancelled, Event, Reason, Ticket, Verdict},
};
use common::{at, dispatched, fixed, gate, ticket};

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
    let mut gate = gate(fixed(2));
    assert_eq!(gate.offer(at(0), ticket(1, "a")).verdict, Verdict::Run);
    assert_eq!(gate.offer(at(0), ticket(2, "a")).verdict, Verdict::Run);
    assert_eq!(gate.offer(at(0), ticket(3, "a")).verdict, Verdict::Queued);
    assert_eq!((gate.load(), gate.queued()), (2, 1));
    assert_eq!(dispatched(&gate.finish(at(1), ticket(1, "a").id)), [3]);
    assert_eq!((gate.load(), gate.queued()), (2, 0));
}

#[test]
fn priority_then_deadline() {
    let mut gate = gate(fixed(1));
    gate.offer(at(0), ticket(1, "a"));
    let late = ticket(2, "a");
    let soon = Ticket {
        deadline: at(10_000),
        ..ticket(3, "a")
    };
    let urgent = Ticket {
        priority: 5,
        ..ticket(4, "a")
    };
    for queued in [late, soon, urgent] {
        assert_eq!(gate.offer(at(0), queued).verdict, Verdict::Queued);
    }
    let mut order = Vec::new();
    for id in [1, 4, 3] {
        order.extend(dispatched(&gate.finish(at(1), ticket(id, "a").id)));
    }
    assert_eq!(order, [4, 3, 2]);
}

#[test]
fn urgent_displaces() {
    let mut gate = gate(fixed(1));
    gate.offer(at(0), ticket(1, "a"));
    for id in 2..=5 {
        assert_eq!(gate.offer(at(0), ticket(id, "a")).verdict, Verdict::Queued);
    }
    let urgent = Ticket {
        priority: 5,
        ..ticket(6, "a")
    };
    let offered = gate.offer(at(0), urgent);
    assert_eq!(offered.verdict, Verdict::Queued);
    assert_eq!(refusals(&offered.events), [(5, Reason::Share)]);
    let offered = gate.offer(at(0), ticket(7, "a"));
    assert_eq!(reason(offered.verdict), Some(Reason::Share));
}

#[test]
fn longest_yields() {
    let mut settings = fixed(1);
    settings.queue.length = 4;
    let mut gate = gate(settings);
    gate.offer(at(0), ticket(1, "a"));
    for id in 2..=5 {
        gate.offer(at(0), ticket(id, "a"));
    }
    let offered = gate.offer(at(0), ticket(6, "b"));
    assert_eq!(offered.verdict, Verdict::Queued);
    assert_eq!(refusals(&offered.events), [(5, Reason::Bound)]);
}

#[test]
fn patience_ends() {
    let mut gate = gate(fixed(1));
    gate.offer(at(0), ticket(1, "a"));
    gate.offer(at(10), ticket(2, "a"));
    assert_eq!(gate.next_expiry(), Some(at(510)));
    assert!(gate.expire(at(509)).is_empty());
    assert_eq!(refusals(&gate.expire(at(510))), [(2, Reason::Bound)]);
    assert_eq!(gate.next_expiry(), None);
}

#[test]
fn quiet_waits_longer() {
    // A team without running requests gets one of the next free places; it is
    // still refused long before its deadline.
    for (life, wait) in [(3_600_000, 2_000), (16_000, 1_000), (4_000, 500)] {
        let mut gate = gate(fixed(4));
        for id in 1..=4 {
            gate.offer(at(0), ticket(id, "busy"));
        }
        let quiet = Ticket {
            deadline: at(life),
            ..ticket(5, "quiet")
        };
        assert_eq!(gate.offer(at(0), quiet).verdict, Verdict::Queued);
        assert_eq!(gate.next_expiry(), Some(at(wait)), "life {life}");
        assert_eq!(refusals(&gate.expire(at(wait))), [(5, Reason::Bound)]);
    }
}

#[test]
fn deadline_ends() {
    let mut gate = gate(fixed(1));
    gate.offer(at(0), ticket(1, "a"));
    let brief = Ticket {
        deadline: at(100),
        ..ticket(2, "a")
    };
    gate.offer(at(0), brief.clone());
    assert_eq!(refusals(&gate.expire(at(100))), [(2, Reason::Deadline)]);
    let offered = gate.offer(at(100), brief);
    assert_eq!(reason(offered.verdict), Some(Reason::Deadline));
}

#[test]
fn leaving_refuses_all() {
    let mut gate = gate(fixed(1));
    gate.offer(at(0), ticket(1, "a"));
    gate.offer(at(0), ticket(2, "a"));
    let events = gate.standing(at(5), Standing::Leaving);
    assert_eq!(refusals(&events), [(2, Reason::Leaving)]);
    let offered = gate.offer(at(6), ticket(3, "a"));
    assert_eq!(reason(offered.verdict), Some(Reason::Leaving));
    assert_eq!(gate.load(), 1);
    assert!(gate.finish(at(7), ticket(1, "a").id).is_empty());
    assert_eq!(gate.load(), 0);
}

#[test]
fn duplicate_refused() {
    let mut gate = gate(fixed(1));
    for (id, first) in [(1, Verdict::Run), (2, Verdict::Queued)] {
        assert_eq!(gate.offer(at(0), ticket(id, "a")).verdict, first);
        let again = gate.offer(at(0), ticket(id, "a"));
        assert_eq!(reason(again.verdict), Some(Reason::Duplicate));
    }
    assert_eq!(dispatched(&gate.finish(at(1), ticket(1, "a").id)), [2]);
}

#[test]
fn cancel_each_state() {
    let mut gate = gate(fixed(1));
    gate.offer(at(0), ticket(1, "a"));
    gate.offer(at(0), ticket(2, "a"));
    assert_eq!(gate.cancel(ticket(2, "a").id), Cancelled::Queued);
    assert_eq!(gate.cancel(ticket(2, "a").id), Cancelled::Unknown);
    assert_eq!(gate.cancel(ticket(1, "a").id), Cancelled::Running);
    assert_eq!(gate.load(), 1);
    assert!(gate.finish(at(1), ticket(1, "a").id).is_empty());
}
