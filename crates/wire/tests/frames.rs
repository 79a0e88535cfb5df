//! Tests of the framing: messages can be read from chunks of any size, and a
//! truncated or oversized frame is an error, not a shorter message.

use proptest::prelude::*;
use wire::{frame, msg};

fn data(offset: u64, bytes: Vec<u8>) -> msg::Reply {
    msg::Reply {
        sender: None,
        part: Some(msg::Part::Data(msg::Data {
            offset,
            bytes: bytes.into(),
        })),
    }
}

proptest! {
    #[test]
    fn any_chunk_size(bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..8), size in 1usize..64) {
        let sent: Vec<_> = bodies
            .into_iter()
            .enumerate()
            .map(|(i, body)| data(i as u64, body))
            .collect();
        let stream: Vec<u8> = sent.iter().flat_map(|m| frame::encode(m).to_vec()).collect();
        let mut reader = frame::Reader::<msg::Reply>::new(frame::MAX_CONTROL);
        let mut received = Vec::new();
        for chunk in stream.chunks(size) {
            reader.push(chunk);
            while let Some(message) = reader.next_message().unwrap() {
                received.push(message);
            }
        }
        reader.finish().unwrap();
        prop_assert_eq!(sent, received);
    }
}

#[test]
fn truncated_frame() {
    let bytes = frame::encode(&data(0, vec![1; 10]));
    let mut reader = frame::Reader::<msg::Reply>::new(frame::MAX_CONTROL);
    reader.push(&bytes[..bytes.len() - 1]);
    assert!(reader.next_message().unwrap().is_none());
    assert!(matches!(
        reader.finish(),
        Err(frame::FrameError::Truncated(_))
    ));
}

#[test]
fn oversized_frame() {
    let bytes = frame::encode(&data(0, vec![1; 2000]));
    let mut reader = frame::Reader::<msg::Reply>::new(1000);
    reader.push(&bytes);
    assert!(matches!(
        reader.next_message(),
        Err(frame::FrameError::Length(_))
    ));
}
