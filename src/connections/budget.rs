//! Shares a [`BytePool`] among tasks.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;

use super::byte_pool::BytePool;
use super::byte_pool::ReservationId;
use super::byte_pool::Reserved;

/// What holds reserved bytes.
pub trait Holder: Send + Sync {
    /// Bytes that have moved since the last call.
    fn take_moved_bytes(&self) -> u64;

    /// Has the holder give its bytes back soon.
    fn evict(&self);
}

/// Too many bodies wait for bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crowded;

struct Entry {
    holder: Arc<dyn Holder>,
    granted: Option<oneshot::Sender<()>>,
}

struct State {
    pool: BytePool,
    entries: IndexMap<ReservationId, Entry>,
    evicted: u64,
    /// Whether a task checks the progress of bodies, as it does while others wait.
    is_checked: bool,
}

/// Interval at which the progress of bodies is checked while others wait.
const CHECK_INTERVAL_MS: u64 = 100;
/// Time that one check covers at most. A process that stood still has not read what was sent meanwhile.
const MAX_STEP_MS: u64 = 2 * CHECK_INTERVAL_MS;

impl State {
    fn wake(&mut self, granted: Vec<ReservationId>) {
        for id in granted {
            let entry = self.entries.get_mut(&id);
            if let Some(granted) = entry.and_then(|entry| entry.granted.take()) {
                // A body that has given up releases its reservation itself.
                let _ = granted.send(());
            }
        }
    }
}

/// Bytes that the bodies of a process may take together. Clones share them.
#[derive(Clone)]
pub struct ByteBudget {
    state: Arc<Mutex<State>>,
}

impl ByteBudget {
    /// Creates a budget of `capacity_bytes`.
    pub fn new(capacity_bytes: usize) -> Self {
        let state = State {
            pool: BytePool::new(capacity_bytes),
            entries: IndexMap::new(),
            evicted: 0,
            is_checked: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.lock().pool.used_bytes()
    }

    /// Bodies that wait for bytes.
    pub fn waiting(&self) -> usize {
        self.lock().pool.waiting()
    }

    /// Bodies that had to give their bytes back, since the start.
    pub fn evicted(&self) -> u64 {
        self.lock().evicted
    }

    /// Reserves `bytes`, and waits until they are free. Meanwhile, the slowest bodies give theirs back. A body that has
    /// turned out to be larger names what it holds.
    ///
    /// # Errors
    /// Too many bodies wait.
    pub async fn reserve(
        &self,
        bytes: usize,
        held: Option<&Reservation>,
        holder: Arc<dyn Holder>,
    ) -> Result<Reservation, Crowded> {
        let (reservation, granted) = self.ask(bytes, held, holder)?;
        if let Some(granted) = granted {
            // The sender lives as long as the reservation.
            let _ = granted.await;
        }
        Ok(reservation)
    }

    fn ask(
        &self,
        bytes: usize,
        held: Option<&Reservation>,
        holder: Arc<dyn Holder>,
    ) -> Result<(Reservation, Option<oneshot::Receiver<()>>), Crowded> {
        let mut state = self.lock();
        let reserved = match held {
            Some(held) => state.pool.reserve_more(held.id, bytes),
            None => state.pool.reserve(bytes),
        };
        let (id, sender, receiver) = match reserved {
            Reserved::Granted(id) => (id, None, None),
            Reserved::Waiting(id) => {
                let (sender, receiver) = oneshot::channel();
                if !std::mem::replace(&mut state.is_checked, true) {
                    tokio::spawn(self.clone().check_progress());
                }
                (id, Some(sender), Some(receiver))
            }
            Reserved::Refused => return Err(Crowded),
        };
        let entry = Entry {
            holder,
            granted: sender,
        };
        state.entries.insert(id, entry);
        let reservation = Reservation {
            id,
            budget: self.clone(),
        };
        Ok((reservation, receiver))
    }

    /// Checks the progress of bodies for as long as others wait.
    async fn check_progress(self) {
        let mut last = Instant::now();
        while self.is_check_due() {
            sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            let elapsed_ms = last.elapsed().as_millis() as u64;
            last = Instant::now();
            self.advance(elapsed_ms.min(MAX_STEP_MS));
        }
    }

    fn is_check_due(&self) -> bool {
        let mut state = self.lock();
        state.is_checked = state.pool.waiting() > 0;
        state.is_checked
    }

    /// Lets `elapsed_ms` pass. The slowest bodies give their bytes back if others wait for them.
    pub fn advance(&self, elapsed_ms: u64) {
        let mut state = self.lock();
        let State { pool, entries, .. } = &mut *state;
        let moved = |id| {
            let entry = entries.get(&id);
            entry.map_or(0, |entry| entry.holder.take_moved_bytes())
        };
        let mut evicted = Vec::new();
        for id in pool.advance(elapsed_ms, moved) {
            // A holder that is being evicted is not chosen again.
            pool.set_moves(id, false);
            evicted.extend(entries.get(&id).map(|entry| Arc::clone(&entry.holder)));
        }
        state.evicted += evicted.len() as u64;
        drop(state);
        for holder in evicted {
            holder.evict();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reserved bytes, which are free again when it is dropped.
pub struct Reservation {
    id: ReservationId,
    budget: ByteBudget,
}

impl Reservation {
    /// Keeps `bytes` of a body that is complete.
    pub fn complete(&self, bytes: usize) {
        let mut state = self.budget.lock();
        let granted = state.pool.complete(self.id, bytes);
        state.wake(granted);
    }

    /// Notes whether bytes of the body are expected to move. One that stands still otherwise may have to give
    /// its bytes back.
    pub fn set_moves(&self, moves: bool) {
        self.budget.lock().pool.set_moves(self.id, moves);
    }

    /// Replaces what holds the bytes.
    pub fn hand_over(&self, holder: Arc<dyn Holder>) {
        if let Some(entry) = self.budget.lock().entries.get_mut(&self.id) {
            entry.holder = holder;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        let entry = state.entries.swap_remove(&self.id);
        let granted = state.pool.release(self.id);
        state.wake(granted);
        drop(state);
        // The holder may own reservations itself.
        drop(entry);
    }
}
