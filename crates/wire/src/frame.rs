//! Frames of a 4-byte length and a prost message, with the codec of `tokio-util`.

use std::{io, marker::PhantomData};

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame of a `Run` message, in bytes; it contains a whole request body.
pub const MAX_RUN: usize = 4 * 1024 * 1024 + 64 * 1024;

/// Largest frame of any other message, in bytes.
pub const MAX_CONTROL: usize = 64 * 1024;

/// Length prefix of a frame, in bytes.
pub const LENGTH_PREFIX: usize = 4;

/// Why a frame cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The length prefix is not valid, or the length exceeds the limit.
    #[error("frame is not valid: {0}")]
    Length(#[from] io::Error),
    /// The message cannot be decoded.
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

/// Decodes the messages of a body that arrives in chunks.
#[derive(Debug)]
pub struct Reader<M> {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    message: PhantomData<fn() -> M>,
}

impl<M: Message + Default> Reader<M> {
    /// Makes a reader that rejects frames larger than `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            codec: codec(limit),
            buffer: BytesMut::new(),
            message: PhantomData,
        }
    }

    /// Adds a chunk of the body.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns the next complete message, or `None` when more bytes are needed.
    pub fn next_message(&mut self) -> Result<Option<M>, FrameError> {
        match self.codec.decode(&mut self.buffer)? {
            Some(frame) => Ok(Some(M::decode(frame)?)),
            None => Ok(None),
        }
    }

    /// Checks, at the end of the body, that it did not end inside a frame.
    pub fn finish(&self) -> Result<(), FrameError> {
        match self.buffer.len() {
            0 => Ok(()),
            left => Err(FrameError::Truncated(left)),
        }
    }
}
