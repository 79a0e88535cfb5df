//! Splitting of a stream into complete events.

use edge::events::{EventBuffer, EventError};

#[test]
fn complete_events() {
    let mut buffer = EventBuffer::new(None);
    assert_eq!(
        buffer
            .push(b"id: 1\ndata: a\n\nid: 2\nda")
            .expect("ordered"),
        "id: 1\ndata: a\n\n"
    );
    assert!(buffer.has_partial());
    assert_eq!(buffer.last_id(), Some(1));
    assert_eq!(buffer.push(b"ta: b\n").expect("ordered"), "");
    assert_eq!(buffer.push(b"\n").expect("ordered"), "id: 2\ndata: b\n\n");
    assert!(!buffer.has_partial());
    assert_eq!(buffer.last_id(), Some(2));
}

/// When a stream that broke within an event is resumed at another target, the
/// incomplete event is not joined with the bytes of that target.
#[test]
fn partial_discarded() {
    let mut buffer = EventBuffer::new(None);
    buffer
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("ordered");
    buffer.discard_partial();
    assert_eq!(
        buffer.push(b"id: 2\ndata: b\n\n").expect("ordered"),
        "id: 2\ndata: b\n\n"
    );
}

#[test]
fn repeated_event() {
    let mut buffer = EventBuffer::new(Some(4));
    let error = buffer
        .push(b"id: 4\ndata: a\n\n")
        .expect_err("the caller has it");
    assert_eq!(error, EventError::Unordered { last: 4, found: 4 });
}

#[test]
fn endless_event() {
    let mut buffer = EventBuffer::new(None);
    let error = buffer.push(&vec![b'x'; 300 * 1024]).expect_err("too long");
    assert_eq!(error, EventError::TooLong);
}
