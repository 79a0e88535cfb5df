//! Whole events of a stream.

use edge::events::{Aligner, EventError};

#[test]
fn whole_events() {
    let mut aligner = Aligner::new(None);
    assert_eq!(
        aligner
            .push(b"id: 1\ndata: a\n\nid: 2\nda")
            .expect("ordered"),
        "id: 1\ndata: a\n\n"
    );
    assert!(aligner.has_rest());
    assert_eq!(aligner.last(), Some(1));
    assert_eq!(aligner.push(b"ta: b\n").expect("ordered"), "");
    assert_eq!(aligner.push(b"\n").expect("ordered"), "id: 2\ndata: b\n\n");
    assert!(!aligner.has_rest());
    assert_eq!(aligner.last(), Some(2));
}

/// A stream that breaks within an event goes on elsewhere after the last whole
/// one, and the part that was read is not joined to the other target's bytes.
#[test]
fn resumed() {
    let mut aligner = Aligner::new(None);
    aligner
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("ordered");
    aligner.reset();
    assert_eq!(
        aligner.push(b"id: 2\ndata: b\n\n").expect("ordered"),
        "id: 2\ndata: b\n\n"
    );
}

#[test]
fn repeated_event() {
    let mut aligner = Aligner::new(Some(4));
    let error = aligner
        .push(b"id: 4\ndata: a\n\n")
        .expect_err("the caller has it");
    assert_eq!(error, EventError::Order { last: 4, found: 4 });
}

#[test]
fn endless_event() {
    let mut aligner = Aligner::new(None);
    let error = aligner.push(&vec![b'x'; 300 * 1024]).expect_err("too long");
    assert_eq!(error, EventError::Long);
}
