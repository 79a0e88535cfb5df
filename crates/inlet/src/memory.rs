//! A limit on the memory that clients occupy in a process.
//!
//! Each body has a size limit, but clients or targets can send endless bodies on
//! many concurrent connections, and a process with 112 MB of memory cannot buffer a
//! hundred bodies of several megabytes. All of them share one budget. While it is
//! short, connections whose client makes no progress release their part first;
//! next, if there are clients of several addresses, connections of the address that
//! occupies the most.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

/// Largest body that may use all of the budget, in bytes. Larger ones of callers
/// share three quarters, so that they never keep out the others.
pub const SMALL_BODY: usize = 64 * 1024;

/// Bytes that a client has to move within [`STALL_TIME`] to make progress. With
/// less than 32 KB/s, a body of 4 MiB takes longer than any request may.
const MIN_PROGRESS: usize = 16 * 1024;

/// Time without progress after which a client's memory can be taken back. A lost
/// packet is sent again within this time.
pub const STALL_TIME: Duration = Duration::from_millis(500);

/// Interval at which a body that waits for memory tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time that a body waits for memory, in all. It is longer than [`STALL_TIME`], so
/// that clients which stop at the same moment are found. Bodies without a declared
/// length can wait for one another, so that the wait has to end.
const MAX_WAIT: Duration = Duration::from_millis(700);

/// Interval at which clients without progress are looked for while the budget is
/// short.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A memory limit that all clients share.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    free: Arc<Semaphore>,
    /// Part of the budget that large bodies of callers share.
    free_large: Arc<Semaphore>,
    clients: Mutex<BTreeMap<u64, Arc<Client>>>,
    next_client: AtomicU64,
    /// Whether a task looks for clients without progress.
    checking: AtomicBool,
    released: AtomicU64,
}

/// A body needs more memory than the other bodies leave free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bodies already take {used} of {limit} bytes")]
pub struct BudgetExceeded {
    used: usize,
    limit: usize,
}

/// The connection of a client, whose part of the budget can be taken back.
#[derive(Debug)]
pub struct Client {
    address: IpAddr,
    /// Bytes of the budget that it occupies.
    used: AtomicUsize,
    /// Bytes that it waits for.
    wanted: AtomicUsize,
    pace: Mutex<Pace>,
    /// Whether the rest of a body is read after its response.
    discarding: AtomicBool,
    released: CancellationToken,
}

/// What a client has done lately while the process was waiting for it.
#[derive(Debug)]
struct Pace {
    /// Whether the process waits for bytes of a request's body.
    reading: bool,
    /// Whether the process waits until the client takes bytes of a response.
    writing: bool,
    /// When the wait began or the client last made progress.
    since: Instant,
    /// Bytes moved since then.
    moved: usize,
}

impl Client {
    /// Creates the state of a connection that is not registered with a budget.
    pub fn new(address: IpAddr) -> Self {
        Self {
            address,
            used: AtomicUsize::new(0),
            wanted: AtomicUsize::new(0),
            pace: Mutex::new(Pace {
                reading: false,
                writing: false,
                since: Instant::now(),
                moved: 0,
            }),
            discarding: AtomicBool::new(false),
            released: CancellationToken::new(),
        }
    }

    /// Returns the client's address.
    pub fn address(&self) -> IpAddr {
        self.address
    }

    fn pace(&self) -> MutexGuard<'_, Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether the process waits for bytes of a request's body.
    pub fn set_reading(&self, waits: bool) {
        self.pace().wait(|pace| &mut pace.reading, waits);
    }

    /// Records whether the process waits until the client takes bytes.
    pub fn set_writing(&self, waits: bool) {
        self.pace().wait(|pace| &mut pace.writing, waits);
    }

    /// Records bytes that the client sent or took.
    pub fn record_moved(&self, bytes: usize) {
        let mut pace = self.pace();
        pace.moved += bytes;
        if pace.moved >= MIN_PROGRESS {
            pace.moved = 0;
            pace.since = Instant::now();
        }
    }

    /// Returns how long the process has waited for the client without progress.
    pub fn stalled(&self) -> Option<Duration> {
        let pace = self.pace();
        (pace.reading || pace.writing).then(|| pace.since.elapsed())
    }

    /// Returns whether the process waits until the client takes bytes.
    pub fn is_writing(&self) -> bool {
        self.pace().writing
    }

    /// Waits until the client's memory has to be released.
    pub async fn released(&self) {
        self.released.cancelled().await;
    }

    /// Records whether the rest of a body is read after its response.
    pub fn set_discarding(&self, discarding: bool) {
        self.discarding.store(discarding, Ordering::Relaxed);
    }

    /// Returns whether bytes that arrive after a response may belong to the body of its
    /// request.
    pub fn is_discarding(&self) -> bool {
        self.discarding.load(Ordering::Relaxed)
    }

    /// Returns whether the client was told to release its memory.
    pub fn is_released(&self) -> bool {
        self.released.is_cancelled()
    }

    /// Makes the client release its memory.
    pub fn release(&self) {
        self.released.cancel();
    }
}

impl Pace {
    fn wait(&mut self, side: impl Fn(&mut Self) -> &mut bool, waits: bool) {
        let was = self.reading || self.writing;
        *side(self) = waits;
        if waits && !was {
            self.since = Instant::now();
            self.moved = 0;
        }
    }
}

/// Keeps a client registered with a budget until dropped.
#[derive(Debug)]
pub struct Registration {
    budget: Arc<MemoryBudget>,
    number: u64,
    client: Arc<Client>,
}

impl Registration {
    /// Returns the client.
    pub fn client(&self) -> &Arc<Client> {
        &self.client
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.budget.clients().remove(&self.number);
    }
}

impl MemoryBudget {
    /// Makes a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        Arc::new(Self {
            limit,
            free: Arc::new(Semaphore::new(limit)),
            free_large: Arc::new(Semaphore::new(limit - limit / 4)),
            clients: Mutex::default(),
            next_client: AtomicU64::new(0),
            checking: AtomicBool::new(false),
            released: AtomicU64::new(0),
        })
    }

    /// Returns the bytes that are reserved now.
    pub fn used(&self) -> usize {
        self.limit - self.free.available_permits()
    }

    /// Returns the number of clients that were made to release their memory.
    pub fn released(&self) -> u64 {
        self.released.load(Ordering::Relaxed)
    }

    /// Registers the connection of a client.
    pub fn register(self: &Arc<Self>, address: IpAddr) -> Registration {
        let client = Arc::new(Client::new(address));
        let number = self.next_client.fetch_add(1, Ordering::Relaxed);
        self.clients().insert(number, client.clone());
        Registration {
            budget: self.clone(),
            number,
            client,
        }
    }

    fn clients(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Client>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn exceeded(&self) -> BudgetExceeded {
        BudgetExceeded {
            used: self.used(),
            limit: self.limit,
        }
    }

    /// Looks for clients to release, in the background, while the budget is short.
    fn check(self: &Arc<Self>) {
        if self.checking.swap(true, Ordering::Relaxed) {
            return;
        }
        let budget = self.clone();
        tokio::spawn(async move {
            while budget.release_clients() {
                time::sleep(CHECK_INTERVAL).await;
            }
            budget.checking.store(false, Ordering::Relaxed);
        });
    }

    /// Releases clients until the waiting ones will have enough. Returns whether any
    /// client waits.
    fn release_clients(&self) -> bool {
        let clients: Vec<_> = self.clients().values().cloned().collect();
        let usages: Vec<_> = clients.iter().map(|client| client.usage()).collect();
        let wanted: usize = usages.iter().map(|usage| usage.wanted).sum();
        for number in choose_released(self.limit, &usages) {
            self.released.fetch_add(1, Ordering::Relaxed);
            clients[number].release();
        }
        wanted > 0
    }
}

/// What one client occupies and wants, as an input of [`choose_released`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The client's address.
    pub address: IpAddr,
    /// Bytes that it occupies.
    pub used: usize,
    /// Bytes that it waits for.
    pub wanted: usize,
    /// How long the process has waited for it without progress, if it does.
    pub stalled: Option<Duration>,
    /// Whether it was told to release its memory.
    pub is_released: bool,
}

impl Client {
    fn usage(&self) -> Usage {
        Usage {
            address: self.address,
            used: self.used.load(Ordering::Relaxed),
            wanted: self.wanted.load(Ordering::Relaxed),
            stalled: self.stalled(),
            is_released: self.is_released(),
        }
    }
}

/// Chooses the clients that release their memory, so that waiting ones get it.
///
/// Load pattern: many clients each send most of a large body and stop, or do not
/// read a large response, and occupy the whole budget. Clients without progress go
/// first, the longest wait first. If the waiting clients are not served by that and
/// there are several addresses, clients of the address with the most bytes follow
/// while it has more than an even share, as long as the waiting address has less.
pub fn choose_released(limit: usize, clients: &[Usage]) -> Vec<usize> {
    let wanted: usize = clients.iter().map(|client| client.wanted).sum();
    let leaving = clients.iter().filter(|client| client.is_released);
    let mut missing = wanted.saturating_sub(leaving.map(|client| client.used).sum());
    let mut candidates: Vec<usize> = (0..clients.len())
        .filter(|number| {
            let client = &clients[*number];
            client.used > 0 && client.stalled.is_some() && !client.is_released
        })
        .collect();
    candidates.sort_by_key(|number| std::cmp::Reverse(clients[*number].stalled));
    let mut chosen = Vec::new();
    candidates.retain(|number| {
        let client = &clients[*number];
        let is_stalled = client.stalled.is_some_and(|time| time >= STALL_TIME);
        if missing > 0 && is_stalled {
            missing = missing.saturating_sub(client.used);
            chosen.push(*number);
            return false;
        }
        true
    });
    let mut totals: BTreeMap<IpAddr, usize> = BTreeMap::new();
    for client in clients {
        if client.wanted > 0 || (client.used > 0 && !client.is_released) {
            *totals.entry(client.address).or_default() += client.used;
        }
    }
    let share = limit / totals.len().max(1);
    let entitled = clients.iter().filter(|client| {
        let total = totals.get(&client.address).copied().unwrap_or_default();
        client.wanted > 0 && total + client.wanted <= share
    });
    let mut missing = missing.min(entitled.map(|client| client.wanted).sum());
    for number in candidates {
        let client = &clients[number];
        let total = totals.entry(client.address).or_default();
        if missing > 0 && *total > share {
            *total -= client.used.min(*total);
            missing = missing.saturating_sub(client.used);
            chosen.push(number);
        }
    }
    chosen
}

/// The bytes of the budget that one body has reserved; dropping this frees them.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    client: Option<Arc<Client>>,
    /// Whether a large body may use only a part of the budget.
    is_request: bool,
    bytes: usize,
    /// Time that it has waited for memory.
    waited: Duration,
    permit: Option<OwnedSemaphorePermit>,
    large: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// Makes an empty reservation.
    pub fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            budget: budget.clone(),
            client: None,
            is_request: false,
            bytes: 0,
            waited: Duration::ZERO,
            permit: None,
            large: None,
        }
    }

    /// Makes an empty reservation for a client's request.
    pub fn for_request(budget: &Arc<MemoryBudget>, client: Option<Arc<Client>>) -> Self {
        let mut reservation = Self::new(budget);
        reservation.client = client;
        reservation.is_request = true;
        reservation
    }

    /// Makes an empty reservation for the response to a client.
    pub fn for_response(budget: &Arc<MemoryBudget>, client: Option<Arc<Client>>) -> Self {
        let mut reservation = Self::new(budget);
        reservation.client = client;
        reservation
    }

    /// Returns the client that sends the body, if it is a request's.
    pub fn sender(&self) -> Option<Arc<Client>> {
        self.client.clone().filter(|_| self.is_request)
    }

    /// Returns the number of bytes that have to be taken from the large bodies' part
    /// for `bytes` more.
    fn large_bytes(&self, bytes: usize) -> usize {
        let total = self.bytes + bytes;
        let held = self
            .large
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        if self.is_request && total > SMALL_BODY {
            total - held
        } else {
            0
        }
    }

    /// Reserves `bytes` more, if they are free now.
    ///
    /// # Errors
    ///
    /// When the budget has less than `bytes` left.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let exceeded = |_| self.budget.exceeded();
        let large = count(self.large_bytes(bytes));
        let large = self.budget.free_large.clone().try_acquire_many_owned(large);
        let large = large.map_err(exceeded)?;
        let permit = self
            .budget
            .free
            .clone()
            .try_acquire_many_owned(count(bytes));
        let permit = permit.map_err(exceeded)?;
        self.add(bytes, permit, large);
        Ok(())
    }

    /// Reserves `bytes` more, and waits for clients without progress to release
    /// their memory if they are not free now.
    ///
    /// # Errors
    ///
    /// When the budget had less than `bytes` left for the whole wait.
    pub async fn grow_patiently(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        if self.grow(bytes).is_ok() {
            return Ok(());
        }
        let _wanted = Wanted::new(&self.client, bytes);
        self.budget.check();
        // A queue of the semaphore would hold back what is free until it suffices for
        // the first body, and a large one would keep out small ones.
        while self.waited < MAX_WAIT {
            time::sleep(RETRY_INTERVAL).await;
            self.waited += RETRY_INTERVAL;
            if self.grow(bytes).is_ok() {
                return Ok(());
            }
        }
        Err(self.budget.exceeded())
    }

    fn add(&mut self, bytes: usize, permit: OwnedSemaphorePermit, large: OwnedSemaphorePermit) {
        merge(&mut self.permit, permit);
        merge(&mut self.large, large);
        self.bytes += bytes;
        if let Some(client) = &self.client {
            client.used.fetch_add(bytes, Ordering::Relaxed);
        }
    }

    /// Frees `bytes` of the reservation.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        for permit in [&mut self.permit, &mut self.large].into_iter().flatten() {
            drop(permit.split(bytes.min(permit.num_permits())));
        }
        if let Some(client) = &self.client {
            client.used.fetch_sub(bytes, Ordering::Relaxed);
        }
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

/// Returns a number of permits. A body of more than 4 GB finds no memory.
fn count(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}

fn merge(held: &mut Option<OwnedSemaphorePermit>, more: OwnedSemaphorePermit) {
    match held {
        Some(held) => held.merge(more),
        None => *held = Some(more),
    }
}

/// Bytes that a client waits for, until dropped.
struct Wanted(Option<(Arc<Client>, usize)>);

impl Wanted {
    fn new(client: &Option<Arc<Client>>, bytes: usize) -> Self {
        let client = client.clone();
        if let Some(client) = &client {
            client.wanted.fetch_add(bytes, Ordering::Relaxed);
        }
        Self(client.map(|client| (client, bytes)))
    }
}

impl Drop for Wanted {
    fn drop(&mut self) {
        if let Some((client, bytes)) = &self.0 {
            client.wanted.fetch_sub(*bytes, Ordering::Relaxed);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(client) = &self.client {
            client.used.fetch_sub(self.bytes, Ordering::Relaxed);
        }
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
