//! Guards the hand-over of a response between reply streams: no byte is lost
//! or repeated, and a slow reader stops the writer.

use std::time::Duration;

use base::id;
use bytes::Bytes;
use roles::outlet::{Finish, Outlet, Piece, Reader, Window, Writer};
use tokio::time;
use wire::msg;

const SMALL: Window = Window {
    ahead: 4,
    behind: 4,
};

const FIRST: id::RequestId = id::RequestId(1);
const SECOND: id::RequestId = id::RequestId(2);

async fn rest(outlet: &Outlet, reader: Reader) -> (Vec<u8>, Piece) {
    let mut body = Vec::new();
    loop {
        match outlet.next(reader).await {
            Piece::Head(_) => {}
            Piece::Data(data) => body.extend_from_slice(&data.bytes),
            last => return (body, last),
        }
    }
}

fn filled(window: Window, pieces: &[&'static str]) -> (Outlet, Writer) {
    let outlet = Outlet::new(window, 0);
    let writer = outlet.writer(0);
    outlet.head(msg::Head::default());
    for piece in pieces {
        outlet.push(writer, Bytes::from_static(piece.as_bytes()));
    }
    (outlet, writer)
}

#[tokio::test]
async fn whole_response() {
    let (outlet, _) = filled(Window::PLAIN, &["ab", "cde"]);
    outlet.finish(Finish::Whole);
    let reader = outlet.attach(FIRST, 0, false).unwrap();
    assert_eq!(
        rest(&outlet, reader).await,
        (b"abcde".to_vec(), Piece::End(5))
    );
    assert_eq!(outlet.whole().unwrap().1, b"abcde");
}

#[tokio::test]
async fn second_reader() {
    let (outlet, _) = filled(Window::PLAIN, &["ab", "cde"]);
    let first = outlet.attach(FIRST, 0, false).unwrap();
    outlet.next(first).await;
    outlet.next(first).await;
    outlet.finish(Finish::Whole);
    let second = outlet.attach(FIRST, 1, true).unwrap();
    assert_eq!(outlet.next(first).await, Piece::Superseded);
    assert_eq!(
        rest(&outlet, second).await,
        (b"bcde".to_vec(), Piece::End(5))
    );
}

#[tokio::test]
async fn shared_key() {
    let (outlet, _) = filled(Window::KEPT, &["ab", "cde"]);
    let first = outlet.attach(FIRST, 0, false).unwrap();
    let second = outlet.attach(SECOND, 0, false).unwrap();
    outlet.finish(Finish::Whole);
    let whole = (b"abcde".to_vec(), Piece::End(5));
    assert_eq!(rest(&outlet, first).await, whole);
    assert_eq!(rest(&outlet, second).await, whole);
}

#[tokio::test]
async fn slow_reader() {
    let (outlet, writer) = filled(SMALL, &["abcd"]);
    let blocked = time::timeout(Duration::from_millis(20), outlet.writable(writer)).await;
    assert!(blocked.is_err(), "the window is full");
    let reader = outlet.attach(FIRST, 0, true).unwrap();
    outlet.next(reader).await;
    assert!(outlet.writable(writer).await);
}

#[tokio::test]
async fn old_offset() {
    let (outlet, first) = filled(SMALL, &["abcd", "efgh", "ijkl"]);
    let reader = outlet.attach(FIRST, 0, true).unwrap();
    for _ in 0..3 {
        outlet.next(reader).await;
    }
    assert_eq!(outlet.attach(FIRST, 0, true).unwrap_err().start, 8);
    let second = outlet.writer(2);
    assert!(!outlet.writable(first).await, "a later writer took over");
    let reader = outlet.attach(FIRST, 2, true).unwrap();
    outlet.push(first, Bytes::from_static(b"late"));
    outlet.push(second, Bytes::from_static(b"cdefghijkl"));
    outlet.finish(Finish::Whole);
    assert_eq!(
        rest(&outlet, reader).await,
        (b"cdefghijkl".to_vec(), Piece::End(12))
    );
}

#[tokio::test]
async fn stopped_writer() {
    let (outlet, writer) = filled(SMALL, &["abcd"]);
    outlet.stop();
    assert!(!outlet.writable(writer).await);
}
