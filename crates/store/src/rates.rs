//! The part of the platform's rate that one process may use.

use base::rate;

/// Rates of reads and of writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Reads a second.
    pub reads: rate::Rate,
    /// Writes a second.
    pub writes: rate::Rate,
}

impl Rates {
    /// Divides the platform's rates equally among the known processes.
    pub fn equal_share(self, processes: u32) -> Self {
        self.weighted_share(1.0, f64::from(processes.max(1)))
    }

    /// Returns the part of a process with a weight among all weights; a process
    /// that writes claims needs more than one that only polls.
    pub fn weighted_share(self, weight: f64, total: f64) -> Self {
        let part = (weight / total.max(weight)).clamp(f64::MIN_POSITIVE, 1.0);
        Self {
            reads: rate::Rate(self.reads.0 * part),
            writes: rate::Rate(self.writes.0 * part),
        }
    }
}
