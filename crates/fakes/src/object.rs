//! The object store.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::hash;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::{
    body::{self, Body},
    control, fault, platform, server,
};

pub use crate::platform::Options;

const PATH: &str = "/v1/objects/";

#[derive(Clone, Debug)]
struct Object {
    tag: String,
    bytes: Bytes,
}

#[derive(Debug)]
struct Shared {
    gate: platform::Gate,
    power: server::Power,
    objects: Mutex<BTreeMap<String, Object>>,
}

fn text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Returns whether the object's present state meets the request's conditions.
fn meets(headers: &HeaderMap, object: Option<&Object>) -> bool {
    let matches = |wanted: &str| match wanted {
        "*" => object.is_some(),
        tag => object.is_some_and(|object| object.tag == tag),
    };
    let required = text(headers, header::IF_MATCH).is_none_or(matches);
    let excluded = text(headers, header::IF_NONE_MATCH).is_some_and(matches);
    required && !excluded
}

fn tagged(status: StatusCode, object: &Object, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    if let Ok(tag) = HeaderValue::from_str(&object.tag) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

impl Shared {
    fn objects(&self) -> MutexGuard<'_, BTreeMap<String, Object>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, key: &str, headers: &HeaderMap) -> Response<Body> {
        let object = self.objects().get(key).cloned();
        match object {
            None => body::error(StatusCode::NOT_FOUND, "no such object"),
            Some(object) if !meets(headers, Some(&object)) => {
                tagged(StatusCode::NOT_MODIFIED, &object, Bytes::new())
            }
            Some(object) => tagged(StatusCode::OK, &object, object.bytes.clone()),
        }
    }

    fn put(&self, key: &str, headers: &HeaderMap, bytes: Bytes) -> Response<Body> {
        let mut objects = self.objects();
        if !meets(headers, objects.get(key)) {
            return body::error(StatusCode::PRECONDITION_FAILED, "the object differs");
        }
        let tag = format!("\"{:016x}\"", hash::bytes(&bytes));
        let object = Object { tag, bytes };
        let response = tagged(StatusCode::OK, &object, Bytes::new());
        objects.insert(key.to_owned(), object);
        response
    }

    fn delete(&self, key: &str, headers: &HeaderMap) -> Response<Body> {
        let mut objects = self.objects();
        if !meets(headers, objects.get(key)) {
            return body::error(StatusCode::PRECONDITION_FAILED, "the object differs");
        }
        match objects.remove(key) {
            Some(_) => body::empty(StatusCode::NO_CONTENT),
            None => body::error(StatusCode::NOT_FOUND, "no such object"),
        }
    }
}

impl server::Handler for Shared {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, server::Dropped> {
        if control::matches(&request) {
            let switch = |faults| self.gate.faults(|now| *now = faults);
            return Ok(control::handle(request, &self.power, self.gate.counts(), switch).await);
        }
        let (parts, content) = request.into_parts();
        let Some(key) = parts.uri.path().strip_prefix(PATH).map(control::decode) else {
            return Ok(body::error(StatusCode::NOT_FOUND, "no such path"));
        };
        let Ok(content) = body::read(content).await else {
            return Err(server::Dropped);
        };
        let access = match parts.method {
            Method::GET => platform::Access::Read,
            _ => platform::Access::Write,
        };
        let pass = match self.gate.enter(access).await {
            Ok(pass) => pass,
            Err(stop) => return stop.reply(),
        };
        pass.reply(match parts.method {
            Method::GET => self.get(&key, &parts.headers),
            Method::PUT => self.put(&key, &parts.headers, content),
            Method::DELETE => self.delete(&key, &parts.headers),
            _ => body::empty(StatusCode::METHOD_NOT_ALLOWED),
        })
    }
}

/// A running object store; it stops when this handle is dropped.
#[derive(Debug)]
pub struct Objects {
    shared: Arc<Shared>,
    server: server::Server,
}

impl Objects {
    /// Starts an object store; port 0 selects a free port.
    pub fn start(listen: SocketAddr, options: &Options) -> io::Result<Self> {
        let port = server::Port::bind(listen)?;
        let shared = Arc::new(Shared {
            gate: options.gate(),
            power: port.power(),
            objects: Mutex::default(),
        });
        let server = port.serve(shared.clone());
        Ok(Self { shared, server })
    }

    /// Returns the address on which the store accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches the server off and on.
    pub fn power(&self) -> &server::Power {
        self.server.power()
    }

    /// Changes the faults.
    pub fn faults(&self, change: impl FnOnce(&mut fault::Faults)) {
        self.shared.gate.faults(change);
    }

    /// Returns the counters.
    pub fn counts(&self) -> platform::Counts {
        self.shared.gate.counts()
    }

    /// Returns the content of an object.
    pub fn content(&self, key: &str) -> Option<Bytes> {
        let objects = self.shared.objects();
        objects.get(key).map(|object| object.bytes.clone())
    }
}
