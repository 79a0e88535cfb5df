//! A client of the object store.

use std::{net::SocketAddr, sync::Arc};

use base::{
    fault::{At, Fault},
    span,
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};

use crate::{
    error::Error,
    http as exchange,
    rates::Rates,
    service::{self, Options, Service},
};

/// Timeout of one attempt of a call.
const TIMEOUT: span::Span = span::Span::from_secs(5);

/// Returns the default options of a client of the object store.
pub fn options(peer: SocketAddr) -> Options {
    Options::new(peer, TIMEOUT)
}

/// Entity tag, which identifies the content of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ETag(String);

/// An object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Entity tag, for conditional writes.
    pub tag: ETag,
    /// Content of the object.
    pub bytes: Bytes,
}

/// A condition on a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No condition.
    Any,
    /// The object must not exist.
    Absent,
    /// The object must have this entity tag.
    Matches(ETag),
}

/// Outcome of a write.
#[derive(Debug)]
pub enum Outcome {
    /// The write was carried out; a deleted object has no entity tag.
    Written(Option<ETag>),
    /// The condition did not hold, and nothing was changed.
    Conflict,
    /// The write was not carried out, because it was not sent or the store refused
    /// it.
    NotSent {
        /// Why it was not carried out.
        fault: Fault,
        /// Time after which to retry.
        retry_after: span::Span,
    },
    /// The reply was lost, and the write may have been carried out.
    Unknown(Fault),
}

/// A client of the object store; clones share connections and limits.
#[derive(Clone, Debug)]
pub struct Objects(Arc<Service>);

impl Objects {
    /// Makes a client; the first call opens a connection.
    pub fn new(options: Options) -> Self {
        Self(Arc::new(Service::new(options)))
    }

    /// Sets the rates that this process may use.
    pub fn set_rates(&self, rates: Rates) {
        self.0.set_rates(rates);
    }

    /// Reads an object; the cause of a fault is an [`Error`].
    pub async fn get(&self, key: &str) -> Result<Option<Object>, Fault> {
        let reply = self.0.read(&path(key), &[StatusCode::NOT_FOUND]).await;
        let object = reply.and_then(|reply| match reply.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => object(reply).map(Some),
        });
        object.at("read object", self.0.peer())
    }

    /// Writes an object.
    pub async fn put(&self, key: &str, bytes: Bytes, condition: &Condition) -> Outcome {
        self.write(Method::PUT, key, bytes, condition).await
    }

    /// Deletes an object; succeeds when there is none.
    pub async fn delete(&self, key: &str, condition: &Condition) -> Outcome {
        self.write(Method::DELETE, key, Bytes::new(), condition)
            .await
    }

    async fn write(
        &self,
        method: Method,
        key: &str,
        bytes: Bytes,
        condition: &Condition,
    ) -> Outcome {
        let path = path(key);
        let allowed = &[StatusCode::PRECONDITION_FAILED, StatusCode::NOT_FOUND];
        let client = self.0.client();
        let attempt = || {
            let request = Request::builder().method(method.clone());
            let request = match condition {
                Condition::Any => request,
                Condition::Absent => request.header(header::IF_NONE_MATCH, "*"),
                Condition::Matches(tag) => request.header(header::IF_MATCH, &tag.0),
            };
            client.send(request, &path, bytes.clone(), allowed)
        };
        let peer = self.0.peer();
        match self.0.write(attempt).await {
            Ok(reply) if reply.status == StatusCode::PRECONDITION_FAILED => Outcome::Conflict,
            Ok(reply) => Outcome::Written(tag(&reply.headers)),
            Err(error) if error.may_have_run() => {
                Outcome::Unknown(Fault::new("write object", peer, error))
            }
            Err(error) => Outcome::NotSent {
                retry_after: error.retry_after().unwrap_or(service::DEFAULT_RETRY_AFTER),
                fault: Fault::new("write object", peer, error),
            },
        }
    }
}

fn path(key: &str) -> String {
    format!("/v1/objects/{}", exchange::escape(key))
}

fn tag(headers: &HeaderMap) -> Option<ETag> {
    let tag = headers.get(header::ETAG)?;
    Some(ETag(tag.to_str().ok()?.to_owned()))
}

fn object(reply: exchange::Reply) -> Result<Object, Error> {
    let tag = tag(&reply.headers).ok_or_else(|| Error::Reply("no ETag".into()))?;
    Ok(Object {
        tag,
        bytes: reply.body,
    })
}
