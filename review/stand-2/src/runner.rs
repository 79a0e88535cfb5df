//! A stand-in of a runner.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Head},
    store::Store,
};

/// Interval of heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a runner does with a request that it runs. Returns whether the connection
/// stays open.
pub type Work = fn(&Arc<Runner>, &Request, &mut TcpStream) -> io::Result<bool>;

/// A request that a runner got.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its head.
    pub head: Head,
    /// When the head had arrived.
    pub at: Instant,
    /// Its number among the requests that this runner ran, from 1.
    pub number: u32,
}

impl Request {
    /// Returns the id of the consumer's attempt.
    pub fn attempt(&self) -> &str {
        self.head.field("x-attempt-id").unwrap_or_default()
    }
}

/// A runner.
#[derive(Debug)]
pub struct Runner {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it misbehaves as the case says.
    pub faulty: bool,
    /// Whether it says in all answers that it is leaving.
    pub leaving: AtomicBool,
    store: Arc<Store>,
    entry: String,
    work: Work,
    ended: AtomicBool,
    requests: Mutex<Vec<Request>>,
    connections: Mutex<Vec<TcpStream>>,
    crashes: Mutex<Vec<Instant>>,
}

impl Runner {
    /// Starts a runner and enters it in the store.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        zone: &str,
        faulty: bool,
        work: Work,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"batch_slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1"
        );
        let runner = Arc::new(Self {
            id: id.to_owned(),
            address,
            faulty,
            leaving: AtomicBool::new(false),
            store: store.clone(),
            entry,
            work,
            ended: AtomicBool::new(false),
            requests: Mutex::default(),
            connections: Mutex::default(),
            crashes: Mutex::default(),
        });
        runner.register();
        let beating = runner.clone();
        thread::spawn(move || {
            while !beating.leaving.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                beating.store.beat();
            }
        });
        runner.clone().listen(listener);
        Ok(runner)
    }

    /// Writes its entry, with the present as the time of its start.
    fn register(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis();
        let entry = format!("{},\"born\":{born}}}", self.entry);
        self.store.put("servers", &self.id, Some(&entry));
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if self.ended.load(Ordering::Relaxed) {
                    return;
                }
                let runner = self.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
    }

    /// Crashes, and starts again after some time under the same id.
    pub fn crash(self: &Arc<Self>, time: Duration) {
        if self.ended.load(Ordering::Relaxed) {
            return;
        }
        Self::locked(&self.crashes).push(Instant::now());
        self.end();
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(time);
            let Ok(listener) = TcpListener::bind(runner.address) else {
                return;
            };
            runner.ended.store(false, Ordering::Relaxed);
            runner.register();
            runner.listen(listener);
        });
    }

    /// Returns when it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        Self::locked(&self.crashes).clone()
    }

    fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
        mutex.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests that it ran.
    pub fn requests(&self) -> Vec<Request> {
        Self::locked(&self.requests).clone()
    }

    /// Ends the runner: its connections are closed, and what it runs is cut off.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        for stream in Self::locked(&self.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Ends the thread that accepts, so that the port refuses connections.
        let _ = TcpStream::connect(self.address);
    }

    /// Returns the fields that all answers have.
    pub fn fields(&self, request: &Request) -> String {
        let leaving = match self.leaving.load(Ordering::Relaxed) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        format!(
            "X-Attempt-Id: {}\r\nX-Response-Signature: {}.{}\r\n{leaving}",
            request.attempt(),
            self.id,
            request.number
        )
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        Self::locked(&self.connections).push(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let at = Instant::now();
            http::read_body(&mut reader, &head)?;
            if head.field("x-target-instance") != Some(&self.id) {
                let id = head.field("x-attempt-id").unwrap_or_default();
                let answer = format!(
                    "HTTP/1.1 421 -\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            let mut requests = Self::locked(&self.requests);
            let number = requests.len() as u32 + 1;
            let request = Request { head, at, number };
            requests.push(request.clone());
            drop(requests);
            if !(self.work)(self, &request, &mut writer)? {
                return writer.shutdown(Shutdown::Both);
            }
        }
        Ok(())
    }
}
