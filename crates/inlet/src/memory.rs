//! Memory for bodies that are held until they are whole.
//!
//! Load pattern: targets or callers that send bytes without end, on many
//! connections at once. Each body has a limit of its own, but a process with
//! 160 MB cannot hold a hundred bodies of some megabytes, so that all bodies
//! together have a limit too.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// Limits the memory that all request and response bodies of a process take together.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: AtomicUsize,
}

/// Reports that a body does not fit into what other bodies leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bodies already take {used} of {limit} bytes")]
pub struct BudgetExceeded {
    used: usize,
    limit: usize,
}

impl MemoryBudget {
    /// Makes room for so many bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    /// Returns the bytes that bodies take now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        let limit = self.limit;
        let fits = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        taken
            .map(drop)
            .map_err(|used| BudgetExceeded { used, limit })
    }
}

/// The part of the room that one body takes; it is free again when this is
/// dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Takes nothing yet.
    pub fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Takes more.
    ///
    /// # Errors
    ///
    /// When other bodies leave too little.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.budget.reserve(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Keeps the share until the last copy of the bytes is dropped.
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
