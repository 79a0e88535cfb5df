//! The byte budget of all control traffic of one process.

use base::{rate, span, time};

/// Rate of control traffic. The requirement is 5 KB/s, and 10% of it is left
/// for bytes that this process can't count, such as retransmitted packets.
pub const RATE: rate::ByteRate = rate::ByteRate(4500);

/// Maximum number of bytes in the bucket: about 4 s at the rate, enough to send
/// a new process one part of the members.
pub const BURST: u64 = 18_000;

/// Number of bytes that a starting process may use beyond the rate to learn all
/// members. 1,110 member records take about 120 KB, which a joining process
/// receives once; if a whole fleet starts at once, each process also sends as
/// much, and part of it is repeated.
pub const JOIN_ALLOWANCE: u64 = 400_000;

/// Time after which the remaining join allowance expires.
pub const JOIN_DURATION: span::Span = span::Span::from_secs(30);

/// Number of bytes that HTTP/2 and TCP add to one message: frame headers,
/// compressed header fields, packet headers and acknowledgements.
pub const MESSAGE_OVERHEAD: u64 = 150;

/// A token bucket for bytes sent and received.
///
/// Received bytes can't be refused, so they may bring the bucket into debt,
/// which must be refilled before anything else is sent. The bytes in a second
/// therefore stay at the rate, and a shortage delays the updates that messages
/// carry.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    rate: u64,
    burst: u64,
    microbytes: i128,
    refilled_at: time::Mono,
    join_end: time::Mono,
    spent: u64,
}

/// Number of microbytes in a byte. Tokens are counted in microbytes, because the
/// rate times a span in microseconds is in that unit.
const MICROBYTES: i128 = 1_000_000;

impl Budget {
    /// Creates a full bucket.
    pub fn new(now: time::Mono, rate: rate::ByteRate, burst: u64) -> Self {
        Self {
            rate: rate.0,
            burst,
            microbytes: i128::from(burst) * MICROBYTES,
            refilled_at: now,
            join_end: now,
            spent: 0,
        }
    }

    /// Creates the bucket of a starting process: the regular rate with an
    /// allowance of [`JOIN_ALLOWANCE`] bytes, which ends with
    /// [`Budget::end_join`] or after [`JOIN_DURATION`] and is not refilled.
    pub fn joining(now: time::Mono) -> Self {
        let mut budget = Self::new(now, RATE, BURST);
        budget.microbytes += i128::from(JOIN_ALLOWANCE) * MICROBYTES;
        budget.join_end = now + JOIN_DURATION;
        budget
    }

    /// Returns the number of bytes that may be spent now; negative while in
    /// debt.
    pub fn available(&mut self, now: time::Mono) -> i64 {
        self.refill(now);
        i64::try_from(self.microbytes / MICROBYTES).unwrap_or(i64::MAX)
    }

    /// Charges bytes that were sent or received.
    pub fn charge(&mut self, now: time::Mono, bytes: u64) {
        self.refill(now);
        self.microbytes -= i128::from(bytes) * MICROBYTES;
        self.spent += bytes;
    }

    /// Ends the join allowance and discards the rest of it.
    pub fn end_join(&mut self) {
        self.microbytes = self.microbytes.min(i128::from(self.burst) * MICROBYTES);
    }

    /// Returns the rate of this budget.
    pub fn rate(&self) -> rate::ByteRate {
        rate::ByteRate(self.rate)
    }

    /// Returns the number of bytes in a full bucket.
    pub fn burst(&self) -> u64 {
        self.burst
    }

    /// Returns the total number of bytes charged.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the time until `bytes` may be spent.
    pub fn wait(&mut self, now: time::Mono, bytes: u64) -> span::Span {
        self.refill(now);
        let missing = i128::from(bytes) * MICROBYTES - self.microbytes;
        if missing <= 0 {
            return span::Span::ZERO;
        }
        let micros = missing / i128::from(self.rate.max(1));
        span::Span::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn refill(&mut self, now: time::Mono) {
        let micros = i128::from(now.since(self.refilled_at).as_micros()) * i128::from(self.rate);
        self.refilled_at = self.refilled_at.max(now);
        let full = i128::from(self.burst) * MICROBYTES;
        if self.refilled_at >= self.join_end {
            self.end_join();
        }
        if self.microbytes < full {
            self.microbytes = (self.microbytes + micros).min(full);
        }
    }
}
