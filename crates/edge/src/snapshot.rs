//! Transfer of snapshots between routers over TCP.

use std::{net::SocketAddr, sync::Arc};

use base::fault::{At, Fault};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::{net::TcpStream, sync::Semaphore};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    update::{Snapshot, SnapshotRequest},
    view::View,
};

/// Maximum size of a snapshot, in bytes.
const MAX_SNAPSHOT: usize = 16 * 1024 * 1024;

/// Maximum size of a request for a snapshot, in bytes. The codec reserves the length
/// that a frame declares, so that anyone could make it reserve a snapshot's length.
const MAX_REQUEST: usize = 64;

/// Maximum number of snapshots that are encoded and sent at the same time.
pub const MAX_SENDING: usize = 4;

fn frames(stream: TcpStream, max_read: usize) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(max_read)
        .new_codec();
    Framed::new(stream, codec)
}

/// Answers a peer's request for a snapshot, once one of the [`MAX_SENDING`] permits of
/// `sending` is free.
///
/// # Errors
///
/// When the peer sends no valid request or the connection fails.
pub async fn send(
    view: Arc<View>,
    stream: TcpStream,
    address: SocketAddr,
    sending: Arc<Semaphore>,
) -> Result<(), Fault> {
    const STEP: &str = "send snapshot";
    let mut frames = frames(stream, MAX_REQUEST);
    let frame = frames.next().await;
    let frame = frame
        .ok_or("the peer closed the connection")
        .at(STEP, address)?;
    let request = SnapshotRequest::decode(frame.at(STEP, address)?).at(STEP, address)?;
    let _permit = sending.acquire().await.at(STEP, address)?;
    frames.codec_mut().set_max_frame_length(MAX_SNAPSHOT);
    let snapshot = match request.cached {
        true => view.cache_snapshot(),
        false => view.snapshot(),
    };
    let snapshot = snapshot.encode_to_vec();
    frames.send(Bytes::from(snapshot)).await.at(STEP, address)
}

/// Fetches a snapshot from a peer.
///
/// # Errors
///
/// When the peer cannot be reached or does not send a valid snapshot.
pub async fn fetch(address: SocketAddr, request: SnapshotRequest) -> Result<Snapshot, Fault> {
    const STEP: &str = "fetch snapshot";
    let stream = TcpStream::connect(address).await.at(STEP, address)?;
    let mut frames = frames(stream, MAX_SNAPSHOT);
    let request = Bytes::from(request.encode_to_vec());
    frames.send(request).await.at(STEP, address)?;
    let frame = frames.next().await;
    let frame = frame
        .ok_or("the peer closed the connection")
        .at(STEP, address)?;
    Snapshot::decode(frame.at(STEP, address)?).at(STEP, address)
}
