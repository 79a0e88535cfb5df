//! Minimal HTTP/1.1 for the stand-ins: one thread per connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a listener looks whether it is closed.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Longest time for which a connection rests without a byte.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A message: a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line, without its line break.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line with this index.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message; `None` if the connection ended before it.
///
/// # Errors
///
/// When the connection fails or the message is malformed.
pub fn read(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if input.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start = message.start.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        let value = value.trim().to_owned();
        message.headers.push((name.to_ascii_lowercase(), value));
    }
    if message.header("transfer-encoding") == Some("chunked") {
        read_chunks(input, &mut message.body)?;
    } else if let Some(length) = message.header("content-length") {
        let length: u64 = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let read = input.take(length).read_to_end(&mut message.body)?;
        if read as u64 != length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(Some(message))
}

fn read_chunks(input: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        input.read_line(&mut line)?;
        let length = u64::from_str_radix(line.trim_end(), 16);
        let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
        input.take(length).read_to_end(body)?;
        let mut end = String::new();
        input.read_line(&mut end)?;
        if length == 0 {
            return Ok(());
        }
    }
}

/// Writes a message: in chunks if a header says so, and otherwise with the length of its
/// body.
///
/// # Errors
///
/// When the connection fails.
pub fn write(output: &mut impl Write, message: &Message) -> io::Result<()> {
    let mut text = format!("{}\r\n", message.start);
    for (name, value) in &message.headers {
        text += &format!("{name}: {value}\r\n");
    }
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    if is_chunked {
        text += &format!("\r\n{:x}\r\n", message.body.len());
    } else {
        text += &format!("content-length: {}\r\n\r\n", message.body.len());
    }
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&message.body);
    if is_chunked {
        bytes.extend_from_slice(b"\r\n0\r\n\r\n");
    }
    output.write_all(&bytes)
}

/// Sends a request on a new connection and returns the response.
///
/// # Errors
///
/// When there is no whole response in time.
pub fn call(peer: SocketAddr, request: &Message, timeout: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&peer, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    write(&mut &stream, request)?;
    let response = read(&mut BufReader::new(&stream))?;
    response.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// Creates a response.
pub fn response(status: &str, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Message {
    let headers = headers.iter();
    let headers = headers.map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    Message {
        start: format!("HTTP/1.1 {status}"),
        headers: headers.collect(),
        body: body.into(),
    }
}

/// A listener with its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves an address until it is closed. `handle` returns no response if the
    /// connection is to be closed instead.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(Message) -> Option<Message> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self {
            address: listener.local_addr()?,
            closed: Arc::default(),
            open: Arc::default(),
        };
        let (closed, open) = (server.closed.clone(), server.open.clone());
        let handle = Arc::new(handle);
        thread::spawn(move || {
            while !closed.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                };
                let handle = handle.clone();
                if let Ok(copy) = stream.try_clone() {
                    lock(&open).push(copy);
                }
                thread::spawn(move || {
                    // The peer sees why a connection ends.
                    let _ = serve(&stream, &*handle);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(server)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the open connections; new ones are served.
    pub fn cut(&self) {
        for stream in lock(&self.open).drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the listener and the connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        thread::sleep(2 * POLL_INTERVAL);
        self.cut();
    }
}

/// Locks a mutex, also after a thread that held it has panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn serve(stream: &TcpStream, handle: &dyn Fn(Message) -> Option<Message>) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read(&mut input)? {
        let Some(response) = handle(request) else {
            return Ok(());
        };
        write(&mut &*stream, &response)?;
    }
    Ok(())
}
