//! HTTP/1.1 over blocking sockets, for clients and servers.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A request, or a response whose first line stands in the same place.
#[derive(Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub start: Vec<String>,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Message {
    /// Reads a head; `None` if the connection ended before it.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut message = Self {
            start: line.split_whitespace().map(str::to_owned).collect(),
            headers: Vec::new(),
        };
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end().split_once(':') {
                Some((name, value)) => {
                    let entry = (name.to_ascii_lowercase(), value.trim().to_owned());
                    message.headers.push(entry);
                }
                None => return Ok(Some(message)),
            }
        }
    }

    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name)?;
        Some(&found.1)
    }

    /// Returns the path of a request without its query.
    pub fn path(&self) -> &str {
        let target = self.start.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.start.get(1)?.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, v)| v)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.get(1).and_then(|status| status.parse().ok());
        status.unwrap_or(0)
    }

    /// Reads a whole body, which has a length, comes in chunks, or ends with the
    /// connection if `to_end`.
    pub fn body(&self, reader: &mut BufReader<TcpStream>, to_end: bool) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if self.header("transfer-encoding") == Some("chunked") {
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                let start = body.len();
                body.resize(start + size + 2, 0);
                reader.read_exact(&mut body[start..])?;
                body.truncate(start + size);
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        match self.header("content-length") {
            Some(length) => {
                body.resize(length.parse().map_err(io::Error::other)?, 0);
                reader.read_exact(&mut body)?;
            }
            None if to_end => {
                reader.read_to_end(&mut body)?;
            }
            None => {}
        }
        Ok(body)
    }
}

/// Writes a response with a length.
pub fn respond(
    mut stream: &TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
