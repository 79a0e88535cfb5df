//! A limit on the memory of all bodies that are buffered at the same time.
//!
//! Each body has a size limit, but callers or targets can send endless bodies on
//! many concurrent connections, and a process with 160 MB of memory cannot buffer a
//! hundred bodies of several megabytes.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// A memory limit that all bodies share.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: AtomicUsize,
}

/// A body needs more memory than the other bodies leave free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bodies already take {used} of {limit} bytes")]
pub struct BudgetExceeded {
    used: usize,
    limit: usize,
}

impl MemoryBudget {
    /// Makes a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    /// Returns the bytes that are reserved now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        let limit = self.limit;
        let fits = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        let reserved = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        reserved
            .map(drop)
            .map_err(|used| BudgetExceeded { used, limit })
    }
}

/// The bytes of the budget that one body has reserved; dropping this frees them.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Makes an empty reservation.
    pub fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Reserves `bytes` more.
    ///
    /// # Errors
    ///
    /// When the budget has less than `bytes` left.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.budget.reserve(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Returns the body, which keeps the reservation until its last clone is
    /// dropped.
    pub fn into_bytes(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
