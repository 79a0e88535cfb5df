//! A caller: sends requests and notes when the response came.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};

/// What a caller received.
#[derive(Clone, Debug)]
pub struct Received {
    /// Status; none when there was no response.
    pub status: Option<StatusCode>,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the response ended as its framing says.
    pub complete: bool,
    /// Time until the first byte of the body.
    pub first: Duration,
    /// Time until the end.
    pub total: Duration,
}

impl Received {
    /// Returns the value of `X-Ebonywall-Outcome`.
    pub fn outcome(&self) -> &str {
        self.header("x-ebonywall-outcome")
    }

    /// Returns the text of a header, or an empty one.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Team key.
    pub key: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Makes a POST with a JSON body.
    pub fn post(path: &str, key: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            path: path.to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Connections of callers.
#[derive(Clone, Debug)]
pub struct Caller(legacy::Client<HttpConnector, Full<Bytes>>);

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self(client)
    }
}

impl Caller {
    /// Sends a request and reads the whole response.
    pub async fn send(&self, to: SocketAddr, call: Call) -> Received {
        let start = Instant::now();
        let mut received = Received {
            status: None,
            headers: HeaderMap::new(),
            body: Vec::new(),
            complete: false,
            first: Duration::ZERO,
            total: Duration::ZERO,
        };
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{to}{}", call.path))
            .header(header::AUTHORIZATION, format!("Bearer {}", call.key))
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in &call.headers {
            builder = builder.header(*name, value);
        }
        let Ok(request) = builder.body(Full::new(call.body)) else {
            return received;
        };
        if let Ok(response) = self.0.request(request).await {
            received.status = Some(response.status());
            received.headers = response.headers().clone();
            received.complete = read(response.into_body(), start, &mut received).await;
        }
        received.total = start.elapsed();
        received
    }
}

async fn read(mut body: hyper::body::Incoming, start: Instant, received: &mut Received) -> bool {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        if let Ok(data) = frame.into_data() {
            if received.body.is_empty() {
                received.first = start.elapsed();
            }
            received.body.extend_from_slice(&data);
        }
    }
    true
}

/// Makes the body of a streamed chat request.
pub fn chat(model: &str, messages: &[(&str, &str)], tokens: u32) -> String {
    let messages: Vec<serde_json::Value> = messages
        .iter()
        .map(|(role, content)| serde_json::json!({"role": role, "content": content}))
        .collect();
    serde_json::json!({
        "model": model,
        "stream": true,
        "max_tokens": tokens,
        "messages": messages,
    })
    .to_string()
}
