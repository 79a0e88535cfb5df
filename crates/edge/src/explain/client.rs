//! The command `ebonywalld explain`: asks a router, and prints its answer.

use std::{fmt, net::SocketAddr, process::ExitCode, str::FromStr, time::Duration};

use base::fault::{At, Fault};
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, runtime::Builder, time};

use super::{PATH, query::Question, report::Report, table::Table};

/// Time in which a router has to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of an answer, in bytes: some thousand targets.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// Exit code if the request would be sent.
pub const SENT: u8 = 0;
/// Exit code if the request would be refused.
pub const REFUSED: u8 = 1;
/// Exit code if the arguments are not valid.
pub const USAGE: u8 = 2;
/// Exit code if the router gave no explanation.
pub const NO_ANSWER: u8 = 3;

/// How the answer is printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// As a table.
    #[default]
    Table,
    /// As JSON.
    Json,
}

/// A text is no kind of output.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected table or json, found {0:?}")]
pub struct OutputError(String);

impl FromStr for Output {
    type Err = OutputError;

    fn from_str(text: &str) -> Result<Self, OutputError> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(OutputError(text.to_owned())),
        }
    }
}

impl fmt::Display for Output {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Table => "table",
            Self::Json => "json",
        })
    }
}

/// What a router responded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// Asks the router with this metrics address, prints its answer and returns the exit
/// code.
pub fn run(router: SocketAddr, question: &Question, output: Output) -> ExitCode {
    let query = question.encode();
    if let Err(error) = Question::decode(&query) {
        eprintln!("{error}");
        return USAGE.into();
    }
    let runtime = Builder::new_current_thread().enable_all().build();
    let answer = runtime
        .at("start", router)
        .and_then(|runtime| runtime.block_on(ask(router, &query)));
    let code = match answer {
        Ok(answer) => print(&answer, output),
        Err(fault) => {
            eprintln!("{fault}");
            NO_ANSWER
        }
    };
    code.into()
}

/// Sends a query to a router.
///
/// # Errors
///
/// When the router does not answer in time, or its answer is too long.
pub async fn ask(router: SocketAddr, query: &str) -> Result<Answer, Fault> {
    const STEP: &str = "ask";
    let exchange = async {
        let stream = TcpStream::connect(router).await.at(STEP, router)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.at(STEP, router)?;
        let connection = tokio::spawn(connection);
        let request = Request::get(format!("{PATH}?{query}"))
            .header(header::HOST, router.to_string())
            .body(Empty::<Bytes>::new())
            .at(STEP, router)?;
        let response = sender.send_request(request).await.at(STEP, router)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER).collect();
        let body = body.await.at(STEP, router)?.to_bytes();
        connection.abort();
        Ok(Answer { status, body })
    };
    time::timeout(TIMEOUT, exchange).await.at(STEP, router)?
}

fn print(answer: &Answer, output: Output) -> u8 {
    if answer.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&answer.body);
        eprintln!("the router answered {}: {}", answer.status, text.trim_end());
        return match answer.status.is_client_error()
            && answer.status != StatusCode::TOO_MANY_REQUESTS
        {
            true => USAGE,
            false => NO_ANSWER,
        };
    }
    let report: Report = match serde_json::from_slice(&answer.body) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("the router's answer is no explanation: {error}");
            return NO_ANSWER;
        }
    };
    match output {
        Output::Table => print!("{}", Table(&report)),
        Output::Json => println!("{}", String::from_utf8_lossy(&answer.body)),
    }
    match report.admission.admitted {
        true => SENT,
        false => REFUSED,
    }
}
