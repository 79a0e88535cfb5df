//! The record of a play: what was sent, answered and run, with times.

use std::{
    fs, io,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::http::lock;

/// A record that several threads write to.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Starts an empty record.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        lock(&self.lines).push(format!("{now:8.3} s  {text}"));
    }

    /// Adds a line, and prints it too.
    pub fn say(&self, text: &str) {
        println!("{:8.3} s  {text}", self.now().as_secs_f64());
        self.line(text);
    }

    /// Writes the record to a file.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn save(&self, path: &PathBuf) -> io::Result<()> {
        fs::write(path, lock(&self.lines).join("\n") + "\n")
    }
}
