//! The platform's store: rows with versions, a feed of changes, and transactions.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::Value,
};

/// Time of a transaction.
const TRANSACTION_TIME: Duration = Duration::from_millis(3);

/// A row; without a value, it was removed.
#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<String>,
    version: u64,
}

impl Row {
    fn json(&self) -> String {
        let (table, key, version) = (&self.table, &self.key, self.version);
        let rest = match &self.value {
            Some(value) => format!("\"value\":\"{value}\",\"deleted\":false"),
            None => "\"deleted\":true".to_owned(),
        };
        format!(
            "{{\"table_name\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\
             \"row_version\":{version},{rest}}}"
        )
    }
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    changes: Vec<Row>,
    version: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            state: Arc::default(),
            start: Instant::now(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        self.change(table, key, value.map(|value| encode(value.as_bytes())));
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let place = (table.to_owned(), key.to_owned());
        if value.is_none() && !state.rows.contains_key(&place) {
            return;
        }
        state.version += 1;
        let row = Row {
            table: table.to_owned(),
            key: key.to_owned(),
            version: state.version,
            value,
        };
        state.changes.push(row.clone());
        match row.value {
            Some(_) => state.rows.insert(place, row),
            None => state.rows.remove(&place),
        };
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(call) = Message::read(&mut reader)? {
            let body = call.body(&mut reader, false)?;
            let reply = match call.path() {
                "/rows-get" => Some(self.rows(&call)),
                "/rows-feed" => Some(self.feed(&call)),
                "/rows-tx" => self.transaction(&String::from_utf8_lossy(&body)),
                _ => None,
            };
            let json = [("Content-Type", "application/json")];
            match reply {
                Some(reply) => http::respond(&stream, "200 OK", &json, reply.as_bytes())?,
                None => http::respond(&stream, "404 Not Found", &json, b"{}")?,
            }
        }
        Ok(())
    }

    fn rows(&self, call: &Message) -> String {
        let state = self.state.0.lock().unwrap();
        let table = call.query("table_name").unwrap_or_default();
        let rows = state.rows.values().filter(|row| row.table == table);
        self.page(rows, state.version)
    }

    fn feed(&self, call: &Message) -> String {
        let number = |name| call.query(name).and_then(|n| n.parse::<u64>().ok());
        let table = call.query("table_name").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let is_new = |row: &&Row| row.table == table && row.version > after;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || state.changes.iter().any(|row| is_new(&row)) {
                let rows = state.changes.iter().filter(is_new);
                return self.page(rows, state.version);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn page<'a>(&self, rows: impl Iterator<Item = &'a Row>, version: u64) -> String {
        let rows: Vec<String> = rows.map(Row::json).collect();
        let (rows, now) = (rows.join(","), self.start.elapsed().as_millis());
        format!(
            "{{\"rows\":[{rows}],\"has_more\":false,\"row_version\":{version},\"now_ms\":{now}}}"
        )
    }

    /// Applies a transaction; the system's own have no preconditions.
    fn transaction(&self, body: &str) -> Option<String> {
        thread::sleep(TRANSACTION_TIME);
        let call = Value::parse(body)?;
        assert!(call.list("precondition").is_empty(), "not supported");
        for write in call.list("write") {
            let value = write.text("value")?.to_owned();
            self.change(write.text("table_name")?, write.text("key")?, Some(value));
        }
        for remove in call.list("remove") {
            self.change(remove.text("table_name")?, remove.text("key")?, None);
        }
        let state = self.state.0.lock().unwrap();
        Some(format!("{{\"row_version\":{}}}", state.version))
    }
}

/// Encodes bytes in base64.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = [0; 3];
        bits[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, bits[0], bits[1], bits[2]]);
        for digit in 0..4 {
            let index = bits >> (18 - 6 * digit) & 63;
            match digit <= group.len() {
                true => text.push(DIGITS[index as usize].into()),
                false => text.push('='),
            }
        }
    }
    text
}
