//! The part of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub start: String,
    /// Names in lower case, with their values.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let (_, value) = fields.find(|(known, _)| known == name)?;
        Some(value)
    }

    /// Returns the second word of the first line: a request's path, or a status.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a head; `None` if the peer closed the connection before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.start.is_empty() {
                true => Ok(None),
                false => Err(broken("the head ends early")),
            };
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if head.start.is_empty() => head.start = line.to_owned(),
            Some((name, value)) => {
                let name = name.to_ascii_lowercase();
                head.fields.push((name, value.trim().to_owned()));
            }
            None => return Ok(Some(head)),
        }
    }
}

/// Reads the body of a request, which has a length.
pub fn read_body(reader: &mut impl Read, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.field("content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A response as a consumer sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status; 0 if the connection ended before the head.
    pub status: u16,
    /// The head.
    pub head: Head,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub whole: bool,
}

/// Sends a request on a new connection and reads its response.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> Answer {
    let mut answer = Answer::default();
    let read = exchange(address, request, patience, &mut answer);
    answer.whole = read.is_ok();
    answer
}

fn exchange(
    address: SocketAddr,
    request: &[u8],
    patience: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or_else(|| broken("no response"))?;
    answer.status = head.second().parse().unwrap_or(0);
    answer.head = head;
    let chunked = answer.head.field("transfer-encoding") == Some("chunked");
    if !chunked {
        answer.body = read_body(&mut reader, &answer.head)?;
        return Ok(());
    }
    loop {
        let mut size = String::new();
        reader.read_line(&mut size)?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| broken("no chunk"))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        answer.body.extend_from_slice(&chunk[..size]);
    }
}
