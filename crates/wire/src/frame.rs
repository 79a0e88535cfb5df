//! Frames of a 4-byte length and a prost message, by the codec of `tokio-util`.

use std::{io, marker::PhantomData};

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame of a `Run`, in bytes; a request body travels in one frame.
pub const MAX_RUN: usize = 4 * 1024 * 1024 + 64 * 1024;

/// Largest frame of any other message, in bytes.
pub const MAX_CONTROL: usize = 64 * 1024;

/// Length prefix of a frame, in bytes.
pub const LENGTH_PREFIX: usize = 4;

/// Reports a frame that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The length is over the limit or the prefix is cut.
    #[error("frame is not valid: {0}")]
    Length(#[from] io::Error),
    /// The message does not decode.
    #[error("frame does not hold the expected message: {0}")]
    Message(#[from] prost::DecodeError),
    /// The body ended inside a frame.
    #[error("body ended inside a frame after {0} bytes")]
    Truncated(usize),
}

fn codec(limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_PREFIX)
        .max_frame_length(limit)
        .new_codec()
}

/// Encodes one message as one frame.
pub fn encode(message: &impl Message) -> Bytes {
    let mut out = BytesMut::with_capacity(LENGTH_PREFIX + message.encoded_len());
    let body = Bytes::from(message.encode_to_vec());
    codec(usize::MAX >> 1)
        .encode(body, &mut out)
        .expect("the limit is above any message");
    out.freeze()
}

/// Collects the pieces of a body and returns the messages in it.
#[derive(Debug)]
pub struct Reader<M> {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    message: PhantomData<fn() -> M>,
}

impl<M: Message + Default> Reader<M> {
    /// Makes a reader that refuses frames over `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            codec: codec(limit),
            buffer: BytesMut::new(),
            message: PhantomData,
        }
    }

    /// Adds a piece of the body.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Returns the next whole message, or none when more bytes are needed.
    pub fn next_message(&mut self) -> Result<Option<M>, FrameError> {
        match self.codec.decode(&mut self.buffer)? {
            Some(frame) => Ok(Some(M::decode(frame)?)),
            None => Ok(None),
        }
    }

    /// Checks at the end of a body that no part of a frame is left.
    pub fn finish(&self) -> Result<(), FrameError> {
        match self.buffer.len() {
            0 => Ok(()),
            left => Err(FrameError::Truncated(left)),
        }
    }
}
