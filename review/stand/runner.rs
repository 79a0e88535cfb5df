//! A runner as a process of its own. It writes what reaches it and what it runs to
//! standard output, one line each, and ends when its standard input ends. The line
//! `endless RATE` on standard input makes it answer with interim responses without
//! end, with so many bytes a second for each router.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{TcpListener, TcpStream},
    process,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// How a runner is started.
pub struct Options {
    /// Address to listen on.
    pub address: String,
    /// Id of this lifetime.
    pub id: String,
    /// Requests that run at the same time.
    pub slots: usize,
    /// Requests that wait for a slot; others are refused.
    pub queue: usize,
    /// Time until a request begins to be answered.
    pub first: Duration,
    /// Number of events of a stream; a runner of a plain service has none.
    pub events: u32,
    /// Time between two events.
    pub gap: Duration,
    /// Part of a prompt, or text in a path or a body, that crashes the runner.
    pub deadly: String,
}

impl Options {
    /// Returns the arguments of the process.
    pub fn arguments(&self) -> Vec<String> {
        vec![
            "runner".to_owned(),
            self.address.clone(),
            self.id.clone(),
            self.slots.to_string(),
            self.queue.to_string(),
            self.first.as_millis().to_string(),
            self.events.to_string(),
            self.gap.as_millis().to_string(),
            self.deadly.clone(),
        ]
    }

    /// Reads the arguments of the process.
    pub fn parse(arguments: &[String]) -> Self {
        let number = |index: usize| arguments[index].parse::<u64>().expect("a number");
        Self {
            address: arguments[1].clone(),
            id: arguments[2].clone(),
            slots: number(3) as usize,
            queue: number(4) as usize,
            first: Duration::from_millis(number(5)),
            events: number(6) as u32,
            gap: Duration::from_millis(number(7)),
            deadly: arguments[8].clone(),
        }
    }
}

struct Runner {
    options: Options,
    /// Requests that run and that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    /// Bytes a second of answers without end to each router; none if zero.
    rate: AtomicU64,
    /// Bytes of such answers by the number of the router, and since when.
    flood: Mutex<BTreeMap<String, (Instant, u64)>>,
}

/// Interim responses that are sent again and again.
const INTERIM: &str = "HTTP/1.1 100 \r\n\r\n";

/// Runs until standard input ends or a request crashes the process.
pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(&options.address)?;
    let runner = Arc::new(Runner {
        options,
        load: Mutex::default(),
        freed: Condvar::new(),
        rate: AtomicU64::new(0),
        flood: Mutex::default(),
    });
    let input = runner.clone();
    thread::spawn(move || {
        for line in io::stdin().lines().map_while(Result::ok) {
            let rate = line.strip_prefix("endless ").and_then(|it| it.parse().ok());
            input.rate.store(rate.unwrap_or(0), Ordering::Relaxed);
        }
        process::exit(0);
    });
    write("up", "-");
    for stream in listener.incoming().flatten() {
        let runner = runner.clone();
        thread::spawn(move || runner.serve(stream));
    }
    Ok(())
}

fn write(event: &str, attempt: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{event} {attempt}");
    let _ = out.flush();
}

impl Runner {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = Message::read(&mut reader)? {
            let body = request.body(&mut reader, false)?;
            if request.path() == "/kv-list" {
                let list = b"{\"epoch\":1,\"next\":1,\"held\":[]}";
                http::respond(&stream, "200 OK", &[], list)?;
                continue;
            }
            self.answer(&stream, &request, &body)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &TcpStream, request: &Message, body: &[u8]) -> io::Result<()> {
        let options = &self.options;
        let attempt = request.header("x-attempt-id").unwrap_or("-");
        let target = request.header("x-target-instance");
        if target.is_some_and(|target| target != options.id) {
            let id = [("X-Instance-Id", options.id.as_str())];
            return http::respond(stream, "421 Misdirected Request", &id, b"");
        }
        write("reach", attempt);
        if !self.take_slot() {
            let headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", attempt)];
            return http::respond(stream, "503 Service Unavailable", &headers, b"");
        }
        thread::sleep(options.first);
        write("run", attempt);
        if self.is_deadly(request, body) {
            write("crash", attempt);
            process::exit(9);
        }
        let answered = match options.events {
            _ if self.rate.load(Ordering::Relaxed) > 0 => self.endless(stream, attempt),
            0 => self.plain(stream, attempt),
            _ => self.stream(stream, attempt),
        };
        self.free_slot();
        write("end", attempt);
        answered
    }

    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 >= self.options.slots && load.1 >= self.options.queue {
            return false;
        }
        load.1 += 1;
        while load.0 >= self.options.slots {
            load = self.freed.wait(load).unwrap();
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    fn is_deadly(&self, request: &Message, body: &[u8]) -> bool {
        let deadly = &self.options.deadly;
        let prefix = request.header("x-prompt-prefix").unwrap_or_default();
        let mut parts = prefix.split(',').filter_map(|part| part.split(':').next());
        parts.any(|part| part == deadly)
            || request.path().contains(deadly.as_str())
            || String::from_utf8_lossy(body).contains(deadly.as_str())
    }

    /// Sends interim responses until the caller closes; all such answers to one router
    /// together keep to the rate.
    fn endless(&self, mut stream: &TcpStream, attempt: &str) -> io::Result<()> {
        let piece = INTERIM.repeat(2_000);
        loop {
            stream.write_all(piece.as_bytes())?;
            let mut flood = self.flood.lock().unwrap();
            let router = attempt.get(..2).unwrap_or_default().to_owned();
            let (since, bytes) = flood.entry(router).or_insert((Instant::now(), 0));
            if since.elapsed() > Duration::from_millis(200) {
                (*since, *bytes) = (Instant::now(), 0);
            }
            *bytes += piece.len() as u64;
            let rate = self.rate.load(Ordering::Relaxed);
            let due = Duration::from_secs_f64(*bytes as f64 / rate as f64);
            let wait = due.saturating_sub(since.elapsed());
            drop(flood);
            thread::sleep(wait);
        }
    }

    fn plain(&self, stream: &TcpStream, attempt: &str) -> io::Result<()> {
        let headers = [
            ("X-Attempt-Id", attempt),
            ("X-Response-Signature", self.options.id.as_str()),
        ];
        http::respond(stream, "200 OK", &headers, &[b'a'; 800])
    }

    fn stream(&self, mut stream: &TcpStream, attempt: &str) -> io::Result<()> {
        let id = &self.options.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {attempt}\r\nX-Response-Signature: {id}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=self.options.events {
            if number > 1 {
                thread::sleep(self.options.gap);
            }
            let event = format!("id: {number}\ndata: event {number} of {attempt}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
