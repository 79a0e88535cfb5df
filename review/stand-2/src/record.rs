//! The record of a case: what was sent, answered and run.

use std::{
    fmt, fs, io,
    path::Path,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Lines with the time since the start.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    /// Begins a record.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    fn lines(&self) -> MutexGuard<'_, Vec<(Duration, String)>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line with the present time.
    pub fn add(&self, line: impl fmt::Display) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line with a given time.
    pub fn add_at(&self, at: Instant, line: impl fmt::Display) {
        let line = (at - self.start, line.to_string());
        self.lines().push(line);
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, path: &Path, head: &str) -> io::Result<()> {
        let mut lines = self.lines();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = format!("{head}\n");
        for (at, line) in lines.iter() {
            text.push_str(&format!("{:9.3} s  {line}\n", at.as_secs_f64()));
        }
        fs::write(path, text)
    }
}
