//! The reply stream of an agent to a router.

use std::sync::Arc;

use arc_swap::ArcSwap;
use base::{fault::Fault, id};
use bytes::Bytes;
use futures_util::stream;
use once::event;
use tokio::sync::{mpsc, oneshot};
use wire::{convert, frame, msg};

use crate::{
    agent_core::{Attached, Event},
    body,
    outlet::{Outlet, Piece, Reader},
    session,
};

/// The state of one stream. Dropping it before the end of the reply tells the
/// control thread that the link is lost.
struct Reply {
    id: id::RequestId,
    link: event::Link,
    stage: Stage,
    stamp: Arc<ArcSwap<msg::SenderStatus>>,
    events: mpsc::UnboundedSender<Event>,
}

enum Stage {
    Waiting(oneshot::Receiver<Attached>),
    Reading(Arc<Outlet>, Reader),
    Ended,
}

/// Makes the body of a `/run` or `/settle` response.
pub fn body(
    id: id::RequestId,
    link: event::Link,
    attached: oneshot::Receiver<Attached>,
    stamp: Arc<ArcSwap<msg::SenderStatus>>,
    events: mpsc::UnboundedSender<Event>,
) -> body::Body {
    let reply = Reply {
        id,
        link,
        stage: Stage::Waiting(attached),
        stamp,
        events,
    };
    body::stream(stream::unfold(reply, next))
}

async fn next(mut reply: Reply) -> Option<(Result<Bytes, Fault>, Reply)> {
    let message = reply.next().await?;
    session::message("agent", "router", || describe(&message));
    Some((Ok(frame::encode(&message)), reply))
}

fn describe(reply: &msg::Reply) -> String {
    match &reply.part {
        None => "Stamp".to_owned(),
        Some(msg::Part::Refused(refused)) => format!("Refused {:?}", refused.reason()),
        Some(msg::Part::Head(head)) => format!("Head {} replayed={}", head.status, head.replayed),
        Some(msg::Part::Data(data)) => format!("Data at {}", data.offset),
        Some(msg::Part::End(_)) => "End".to_owned(),
        Some(msg::Part::Interrupted(broken)) => format!("Broken dispatched={}", broken.dispatched),
    }
}

impl Reply {
    async fn next(&mut self) -> Option<msg::Reply> {
        loop {
            match &mut self.stage {
                Stage::Waiting(attached) => match attached.await {
                    Ok(Attached::Outlet(outlet, reader)) => {
                        self.stage = Stage::Reading(outlet, reader);
                    }
                    Ok(Attached::Refused(refused)) => {
                        return Some(self.last(msg::Part::Refused(refused)));
                    }
                    Ok(Attached::Broken(broken)) => {
                        return Some(self.last(msg::Part::Interrupted(broken)));
                    }
                    // The control thread has ended; the router settles.
                    Err(_) => return None,
                },
                Stage::Reading(outlet, reader) => {
                    let piece = outlet.next(*reader).await;
                    return self.piece(piece);
                }
                Stage::Ended => return None,
            }
        }
    }

    fn piece(&mut self, piece: Piece) -> Option<msg::Reply> {
        match piece {
            Piece::Head(mut head) => {
                // The response of an earlier request with the same key.
                head.replayed |= head.id != convert::request_id_bytes(self.id);
                Some(msg::Reply {
                    sender: Some((**self.stamp.load()).clone()),
                    part: Some(msg::Part::Head(head)),
                })
            }
            Piece::Data(data) => Some(msg::Reply {
                sender: None,
                part: Some(msg::Part::Data(data)),
            }),
            Piece::End(total) => {
                self.events.send(Event::Delivered(self.id)).ok();
                Some(self.last(msg::Part::End(msg::End { total })))
            }
            Piece::Broken(broken) => Some(self.last(msg::Part::Interrupted(broken))),
            Piece::Refused(refused) => Some(self.last(msg::Part::Refused(refused))),
            Piece::Superseded => {
                self.stage = Stage::Ended;
                None
            }
        }
    }

    fn last(&mut self, part: msg::Part) -> msg::Reply {
        self.stage = Stage::Ended;
        msg::Reply {
            sender: Some((**self.stamp.load()).clone()),
            part: Some(part),
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if !matches!(self.stage, Stage::Ended) {
            self.events.send(Event::LinkLost(self.id, self.link)).ok();
        }
    }
}
