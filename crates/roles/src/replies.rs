//! The reply stream of an agent, as a router reads it.

use std::net::SocketAddr;

use base::fault::{At, Fault};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use wire::{frame, msg};

/// The frames of one `/run` or `/settle` response.
#[derive(Debug)]
pub struct Replies {
    peer: SocketAddr,
    body: Incoming,
    reader: frame::Reader<msg::Reply>,
}

impl Replies {
    /// Begins to read a response.
    pub fn new(peer: SocketAddr, response: Response<Incoming>) -> Self {
        Self {
            peer,
            body: response.into_body(),
            reader: frame::Reader::new(frame::MAX_CONTROL),
        }
    }

    /// Returns the next frame, or none at the end of the stream.
    ///
    /// # Errors
    ///
    /// When the link breaks or a frame is not valid.
    pub async fn next(&mut self) -> Result<Option<msg::Reply>, Fault> {
        loop {
            if let Some(reply) = self.reader.next_message().at("read reply", self.peer)? {
                return Ok(Some(reply));
            }
            let Some(piece) = self.body.frame().await else {
                self.reader.finish().at("read reply", self.peer)?;
                return Ok(None);
            };
            if let Ok(data) = piece.at("read reply", self.peer)?.into_data() {
                self.reader.push(&data);
            }
        }
    }
}
