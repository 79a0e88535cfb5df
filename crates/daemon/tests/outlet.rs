//! Guards the hand-over of a response between reply streams: no byte is lost
//! or repeated, and a slow reader stops the writer.

use std::time::Duration;

use bytes::Bytes;
use daemon::outlet::{Demand, Finish, Outlet, Piece, Window};
use tokio::time;
use wire::msg;

const SMALL: Window = Window {
    ahead: 4,
    behind: 4,
};

async fn rest(outlet: &Outlet, reader: u64) -> (Vec<u8>, Piece) {
    let mut body = Vec::new();
    loop {
        match outlet.next(reader).await {
            Piece::Head(_) => {}
            Piece::Data(data) => body.extend_from_slice(&data.bytes),
            last => return (body, last),
        }
    }
}

fn filled(window: Window, pieces: &[&'static str]) -> Outlet {
    let outlet = Outlet::new(window, 0);
    outlet.head(msg::Head::default());
    for piece in pieces {
        outlet.push(Bytes::from_static(piece.as_bytes()));
    }
    outlet
}

#[tokio::test]
async fn whole_response() {
    let outlet = filled(Window::PLAIN, &["ab", "cde"]);
    outlet.finish(Finish::Whole);
    let reader = outlet.attach(0, false, false).unwrap();
    assert_eq!(
        rest(&outlet, reader).await,
        (b"abcde".to_vec(), Piece::End(5))
    );
    assert_eq!(outlet.whole().unwrap().1, b"abcde");
}

#[tokio::test]
async fn second_reader() {
    let outlet = filled(Window::PLAIN, &["ab", "cde"]);
    let first = outlet.attach(0, false, false).unwrap();
    outlet.next(first).await;
    outlet.next(first).await;
    outlet.finish(Finish::Whole);
    let second = outlet.attach(1, true, false).unwrap();
    assert_eq!(outlet.next(first).await, Piece::Superseded);
    assert!(!outlet.detach(first), "the second reader stays attached");
    assert_eq!(
        rest(&outlet, second).await,
        (b"bcde".to_vec(), Piece::End(5))
    );
}

#[tokio::test]
async fn slow_reader() {
    let outlet = filled(SMALL, &["abcd"]);
    let blocked = time::timeout(Duration::from_millis(20), outlet.demand()).await;
    assert!(blocked.is_err(), "the window is full");
    let reader = outlet.attach(0, true, false).unwrap();
    outlet.next(reader).await;
    assert_eq!(outlet.demand().await, Demand::More);
}

#[tokio::test]
async fn old_offset() {
    let outlet = filled(SMALL, &["abcd", "efgh", "ijkl"]);
    let reader = outlet.attach(0, true, false).unwrap();
    for _ in 0..3 {
        outlet.next(reader).await;
    }
    assert_eq!(outlet.attach(0, true, false).unwrap_err().start, 8);
    let reader = outlet.attach(2, true, true).unwrap();
    assert_eq!(outlet.demand().await, Demand::Rewind(2));
    outlet.push(Bytes::from_static(b"cdefghijkl"));
    outlet.finish(Finish::Whole);
    assert_eq!(
        rest(&outlet, reader).await,
        (b"cdefghijkl".to_vec(), Piece::End(12))
    );
}

#[tokio::test]
async fn stopped_writer() {
    let outlet = filled(SMALL, &["abcd"]);
    outlet.stop();
    assert_eq!(outlet.demand().await, Demand::Stop);
}
