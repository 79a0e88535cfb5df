//! The byte budget of all control traffic of one process.

use base::{rate, span, time};

/// Bytes a second for control; the requirement is 5 KB/s, and 10% of it is
/// left for what this process can't count, such as retransmitted packets.
pub const RATE: rate::ByteRate = rate::ByteRate(4500);

/// Bytes that may be spent at once: about 4 s of the rate, enough to give a
/// new process one part of the members.
pub const BURST: u64 = 18_000;

/// Bytes that a starting process may use beyond the rate to learn all members.
/// 1,110 member records take about 120 KB, which a process that joins receives
/// once; when a whole fleet starts at once each process also sends as much, and
/// part of it is repeated.
pub const JOIN: u64 = 400_000;

/// Time after which the rest of the join allowance is given up.
pub const JOIN_TIME: span::Span = span::Span::from_secs(30);

/// Bytes that HTTP/2 and TCP add to one message: frame headers, compressed
/// header fields, packet headers and acknowledgements.
pub const OVERHEAD: u64 = 150;

/// A token bucket for bytes sent and received.
///
/// Received bytes can't be refused, so they may bring the bucket into debt,
/// which is paid before anything else is sent. Bytes in a second therefore
/// stay at the rate, and what is short is the news that they carry.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    rate: u64,
    burst: u64,
    micros: i128,
    at: time::Mono,
    joined: time::Mono,
    spent: u64,
}

const MICROS: i128 = 1_000_000;

impl Budget {
    /// Makes a full bucket.
    pub fn new(now: time::Mono, rate: rate::ByteRate, burst: u64) -> Self {
        Self {
            rate: rate.0,
            burst,
            micros: i128::from(burst) * MICROS,
            at: now,
            joined: now,
            spent: 0,
        }
    }

    /// Makes the bucket of a starting process: the usual rate with an
    /// allowance of [`JOIN`] bytes, which ends with [`Budget::settle`] or after
    /// [`JOIN_TIME`] and does not come back once used.
    pub fn joining(now: time::Mono) -> Self {
        let mut budget = Self::new(now, RATE, BURST);
        budget.micros += i128::from(JOIN) * MICROS;
        budget.joined = now + JOIN_TIME;
        budget
    }

    /// Returns the bytes that may be spent now; negative while in debt.
    pub fn available(&mut self, now: time::Mono) -> i64 {
        self.refill(now);
        i64::try_from(self.micros / MICROS).unwrap_or(i64::MAX)
    }

    /// Accounts for bytes that were sent or received.
    pub fn charge(&mut self, now: time::Mono, bytes: u64) {
        self.refill(now);
        self.micros -= i128::from(bytes) * MICROS;
        self.spent += bytes;
    }

    /// Ends the join allowance; what is left of it is given up.
    pub fn settle(&mut self) {
        self.micros = self.micros.min(i128::from(self.burst) * MICROS);
    }

    /// Returns the bytes a second of this budget.
    pub fn rate(&self) -> rate::ByteRate {
        rate::ByteRate(self.rate)
    }

    /// Returns the bytes that a full bucket holds.
    pub fn burst(&self) -> u64 {
        self.burst
    }

    /// Returns all bytes charged so far.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the time until `bytes` may be spent.
    pub fn wait(&mut self, now: time::Mono, bytes: u64) -> span::Span {
        self.refill(now);
        let missing = i128::from(bytes) * MICROS - self.micros;
        if missing <= 0 {
            return span::Span::ZERO;
        }
        let micros = missing / i128::from(self.rate.max(1));
        span::Span::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn refill(&mut self, now: time::Mono) {
        let micros = i128::from(now.since(self.at).as_micros()) * i128::from(self.rate);
        self.at = self.at.max(now);
        let full = i128::from(self.burst) * MICROS;
        if self.at >= self.joined {
            self.settle();
        }
        if self.micros < full {
            self.micros = (self.micros + micros).min(full);
        }
    }
}
