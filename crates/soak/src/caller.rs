//! A caller: it keeps a connection for many requests and notes what it sees.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

/// Time that a caller waits for the whole response.
const PATIENCE: Duration = Duration::from_secs(4);

/// The rules, and whether their requests may run once only.
pub const RULES: [(&str, bool); 4] = [
    ("once", true),
    ("again", false),
    ("stream", true),
    ("resume", false),
];

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole response.
    Whole(StatusCode),
    /// A whole response with a success status and another body than expected.
    Wrong(String),
    /// The head of a response, and a broken body.
    Cut,
    /// The connection was closed without a response.
    Closed,
    /// No response in time.
    Silent,
    /// No connection.
    Unconnected,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The attempt's id.
    pub attempt: String,
    /// Position in [`RULES`].
    pub rule: usize,
    /// Position of the router.
    pub router: usize,
    /// When it was sent.
    pub start: Instant,
    /// When it ended.
    pub end: Instant,
    /// How it ended.
    pub outcome: Outcome,
}

/// A caller's connection to a router.
#[derive(Debug, Default)]
pub struct Caller {
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Sends a request on the kept connection, or on a new one.
    pub async fn call(
        &mut self,
        router: SocketAddr,
        rule: usize,
        attempt: &str,
        key: &str,
    ) -> Outcome {
        match time::timeout(PATIENCE, self.exchange(router, rule, attempt, key)).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.sender = None;
                Outcome::Silent
            }
        }
    }

    /// Closes the connection.
    pub fn leave(&mut self) {
        self.sender = None;
    }

    /// Returns the kept connection if it is open, or a new one.
    async fn connection(&mut self, router: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        if let Some(mut sender) = self.sender.take()
            && sender.ready().await.is_ok()
        {
            return Some(sender);
        }
        connect(router).await
    }

    async fn exchange(
        &mut self,
        router: SocketAddr,
        rule: usize,
        attempt: &str,
        key: &str,
    ) -> Outcome {
        let Some(mut sender) = self.connection(router).await else {
            return Outcome::Unconnected;
        };
        let request = Request::post(format!("/{}/a", RULES[rule].0))
            .header("host", "h.example")
            .header("x-attempt-id", attempt)
            .header("x-deadline-ms", PATIENCE.as_millis().to_string())
            .header("api-key", key)
            .body(Full::new(Bytes::from(attempt.to_owned())));
        let Ok(request) = request else {
            return Outcome::Wrong("the request is malformed".to_owned());
        };
        let Ok(response) = sender.send_request(request).await else {
            return Outcome::Closed;
        };
        let closes = response
            .headers()
            .get("connection")
            .is_some_and(|value| value == "close");
        let outcome = read(response, rule, attempt).await;
        if matches!(outcome, Outcome::Whole(_)) && !closes {
            self.sender = Some(sender);
        }
        outcome
    }
}

async fn connect(router: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(router).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn read(response: Response<Incoming>, rule: usize, attempt: &str) -> Outcome {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return Outcome::Cut;
    };
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if !head.status.is_success() {
        return Outcome::Whole(head.status);
    }
    let expected = match RULES[rule].0 {
        "stream" | "resume" => fakes::runner::whole_stream(),
        _ => attempt.to_owned(),
    };
    let own = head
        .headers
        .get("x-attempt-id")
        .is_some_and(|id| id == attempt);
    let signed = head.headers.contains_key("x-response-signature");
    if own && signed && body == expected {
        Outcome::Whole(head.status)
    } else {
        Outcome::Wrong(body)
    }
}
