//! Splitting of a stream into complete events.

use edge::events::{Completed, EventBuffer, EventError};

/// Appends bytes of a sound stream and returns the events that they complete.
fn push(buffer: &mut EventBuffer, bytes: &str) -> String {
    let Completed { events, error } = buffer.push(bytes.as_bytes());
    assert_eq!(error, None);
    String::from_utf8(events.to_vec()).expect("text")
}

/// Appends bytes that hold a fault, and checks what is forwarded and after which event
/// the stream is resumed.
#[track_caller]
fn check_fault(last: Option<u64>, bytes: &str, events: &str, resumed: Option<u64>) {
    let mut buffer = EventBuffer::new(last);
    let completed = buffer.push(bytes.as_bytes());
    assert_eq!(completed.events, events);
    assert!(completed.error.is_some(), "{bytes:?} is sound");
    assert_eq!(buffer.last_id(), resumed);
}

#[test]
fn complete_events() {
    let mut buffer = EventBuffer::new(None);
    assert_eq!(
        push(&mut buffer, "id: 1\ndata: a\n\nid: 2\nda"),
        "id: 1\ndata: a\n\n"
    );
    assert!(buffer.has_partial());
    assert_eq!(buffer.last_id(), Some(1));
    assert_eq!(push(&mut buffer, "ta: b\n"), "");
    assert_eq!(push(&mut buffer, "\n"), "id: 2\ndata: b\n\n");
    assert!(!buffer.has_partial());
    assert_eq!(buffer.last_id(), Some(2));
}

/// When a stream that broke within an event is resumed at another target, the
/// incomplete event is not joined with the bytes of that target.
#[test]
fn partial_discarded() {
    let mut buffer = EventBuffer::new(None);
    push(&mut buffer, "id: 1\ndata: a\n\nid: 2\nda");
    buffer.discard_partial();
    assert_eq!(
        push(&mut buffer, "id: 2\ndata: b\n\n"),
        "id: 2\ndata: b\n\n"
    );
}

#[test]
fn repeated_event() {
    let mut buffer = EventBuffer::new(Some(4));
    let completed = buffer.push(b"id: 4\ndata: a\n\n");
    assert_eq!(completed.events, "");
    let expected = EventError::Unordered { last: 4, found: 4 };
    assert_eq!(completed.error, Some(expected));
}

#[test]
fn endless_event() {
    let mut buffer = EventBuffer::new(None);
    let completed = buffer.push(&vec![b'x'; 300 * 1024]);
    assert_eq!(completed.events, "");
    assert_eq!(completed.error, Some(EventError::TooLong));
}

/// An event of another stream comes in one read with sound events: those before it
/// are forwarded, and the stream is resumed after them.
#[test]
fn stray_event() {
    let before = "id: 8\ndata: a\n\nid: 9\ndata: b\n\n";
    let bytes = format!("{before}id: 3\ndata: x\n\nid: 10\ndata: c\n\n");
    check_fault(Some(7), &bytes, before, Some(9));
}

/// An event of another stream is ahead of this one, so that the next event of this
/// stream seems to come too late. The caller gets neither, as either may be stray.
#[test]
fn stray_ahead() {
    let bytes = "id: 1\ndata: a\n\nid: 9\ndata: x\n\nid: 2\ndata: b\n\n";
    check_fault(None, bytes, "id: 1\ndata: a\n\n", Some(1));
    check_fault(None, "id: 9\ndata: x\n\nid: 1\ndata: a\n\n", "", None);
}

/// An event of another stream was forwarded before an event of this one showed that it is
/// stray: the stream must not be resumed after it.
#[test]
fn stray_forwarded() {
    let contradicted = |last, found| Some(EventError::Contradicted { last, found });
    for (forwarded, next, expected) in [
        ("id: 1\n\nid: 9\n\n", "id: 2\n\n", contradicted(9, 2)),
        ("id: 1\n\nid: 2\n\n", "id: 2\n\n", contradicted(2, 2)),
        ("id: 9\n\n", "id: 1\n\n", contradicted(9, 1)),
    ] {
        let mut buffer = EventBuffer::new(None);
        push(&mut buffer, forwarded);
        let completed = buffer.push(next.as_bytes());
        assert_eq!(
            (&completed.events[..], completed.error),
            (&b""[..], expected)
        );
    }
}

/// An event that comes too late, but not after the one before the last, is stray itself;
/// the stream is resumed. So it is if the target at fault sent none of the others.
#[test]
fn stray_late() {
    let mut buffer = EventBuffer::new(None);
    push(&mut buffer, "id: 1\n\nid: 2\n\n");
    let error = buffer.push(b"id: 1\n\n").error;
    assert!(error.is_some_and(EventError::is_resumable));
    buffer.discard_partial();
    let error = buffer.push(b"id: 2\n\n").error;
    assert!(error.is_some_and(EventError::is_resumable));
    let error = EventBuffer::new(Some(4)).push(b"id: 4\n\n").error;
    assert!(error.is_some_and(EventError::is_resumable));
}

/// A second response whose events have no ids follows the last event.
#[test]
fn stray_head() {
    let bytes = "id: 1\ndata: a\n\nHTTP/1.1 200 OK\r\nage: 0\r\n\r\ndata: x\n\n";
    check_fault(None, bytes, "id: 1\ndata: a\n\n", Some(1));
}

/// Comments, other fields, fields without a value and a byte order mark are part of a
/// sound stream.
#[test]
fn sound_lines() {
    let bytes = "\u{feff}retry: 9\n\n: comment\n\nx-other: 7\nid: 1\ndata\ndata: a:b\n\n";
    let mut buffer = EventBuffer::new(None);
    assert_eq!(push(&mut buffer, bytes), bytes);
}
