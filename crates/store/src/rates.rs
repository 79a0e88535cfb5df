//! The share of the platform's rate limits that one process may use.

use base::rate;

/// Rate limits of reads and writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Reads per second.
    pub reads: rate::Rate,
    /// Writes per second.
    pub writes: rate::Rate,
}

impl Rates {
    /// Returns the share of one of `processes` processes with equal shares.
    pub fn equal_share(self, processes: u32) -> Self {
        self.weighted_share(1.0, f64::from(processes.max(1)))
    }

    /// Returns the share of a process with the given weight, where `total` is the
    /// sum of all weights. A process that writes claims needs a larger share than
    /// one that only polls.
    pub fn weighted_share(self, weight: f64, total: f64) -> Self {
        let part = (weight / total.max(weight)).clamp(f64::MIN_POSITIVE, 1.0);
        Self {
            reads: rate::Rate(self.reads.0 * part),
            writes: rate::Rate(self.writes.0 * part),
        }
    }
}
