//! The open connections of one listener: how many there may be, and which one is closed.
//!
//! At the limit, the connection that has stood still for longest makes room: first one that waits for a
//! request, then one that has sent a part of a head. A connection whose request is being answered stays.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use serde::Serialize;

use super::activity::Activity;
use super::activity::Closing;
use super::activity::Phase;

/// Time that one step of the clock covers at most. A process that stood still has not read what its
/// clients sent meanwhile.
const MAX_STEP_MS: u64 = 1_000;

/// Limits on the connections of one listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerLimits {
    /// Connections that are open at once.
    pub connections: usize,
    /// Time within which a head has to arrive, from its first byte on.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle.
    pub idle_timeout_ms: u64,
    /// Buffer for a head. A connection with a smaller one is closed after its request.
    pub head_buffer_bytes: usize,
}

/// Why connections were closed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ClosedCounts {
    /// Their head did not arrive in time.
    pub slow_head: u64,
    /// They were idle for too long.
    pub idle: u64,
    /// Their client did not read what was written.
    pub unread: u64,
    /// Their buffer is smaller than the heads that are allowed now.
    pub small_buffer: u64,
    /// They made room for others.
    pub made_room: u64,
    /// There was no room for them.
    pub no_room: u64,
}

impl ClosedCounts {
    /// The connections that were closed since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            slow_head: self.slow_head - earlier.slow_head,
            idle: self.idle - earlier.idle,
            unread: self.unread - earlier.unread,
            small_buffer: self.small_buffer - earlier.small_buffer,
            made_room: self.made_room - earlier.made_room,
            no_room: self.no_room - earlier.no_room,
        }
    }

    /// Sum of the causes that are no sign of trouble.
    pub fn routine(&self) -> u64 {
        self.idle + self.small_buffer
    }

    /// Sum of all causes.
    pub fn total(&self) -> u64 {
        self.slow_head + self.unread + self.made_room + self.no_room + self.routine()
    }
}

struct Open {
    activity: Arc<Activity>,
    head_buffer_bytes: usize,
    /// What the connection was asked to do.
    closing: Closing,
}

impl Open {
    /// Closes the connection if it takes too long for what it does.
    fn check(&mut self, now_ms: u64, limits: &ListenerLimits, closed: &mut ClosedCounts) {
        let state = self.activity.state();
        let waited_ms = |from_ms: u64| now_ms.saturating_sub(from_ms);
        let is_blocked = |from_ms| waited_ms(from_ms) > limits.idle_timeout_ms;
        let (closing, count) = match state.phase {
            _ if state.blocked_ms.is_some_and(is_blocked) => (Closing::AtOnce, &mut closed.unread),
            Phase::Head if waited_ms(state.since_ms) > limits.header_timeout_ms => {
                (Closing::AtOnce, &mut closed.slow_head)
            }
            Phase::Idle if waited_ms(state.moved_ms) > limits.idle_timeout_ms => {
                (Closing::AfterRequest, &mut closed.idle)
            }
            _ if self.head_buffer_bytes < limits.head_buffer_bytes => {
                (Closing::AfterRequest, &mut closed.small_buffer)
            }
            _ => return,
        };
        if closing > self.closing {
            *count += 1;
            self.closing = closing;
            self.activity.close(closing);
        }
    }
}

#[derive(Default)]
struct State {
    open: IndexMap<u64, Open>,
    next_id: u64,
    closed: ClosedCounts,
}

/// Open connections of one listener.
#[derive(Default)]
pub struct ConnectionTable {
    state: Mutex<State>,
    /// Number of open connections, which includes those that are being closed.
    count: AtomicUsize,
    clock_ms: Arc<AtomicU64>,
}

impl ConnectionTable {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Connections that were closed, by cause.
    pub fn closed(&self) -> ClosedCounts {
        self.lock().closed
    }

    /// Adds a connection, for which another one is closed at the limit. `None` if there is no room.
    pub fn open(self: &Arc<Self>, limits: &ListenerLimits) -> Option<OpenConnection> {
        let mut state = self.lock();
        if state.open.len() >= limits.connections && !state.make_room() {
            state.closed.no_room += 1;
            return None;
        }
        let activity = Arc::new(Activity::new(Arc::clone(&self.clock_ms)));
        let id = state.next_id;
        state.next_id += 1;
        let open = Open {
            activity: Arc::clone(&activity),
            head_buffer_bytes: limits.head_buffer_bytes,
            closing: Closing::Open,
        };
        state.open.insert(id, open);
        self.count.fetch_add(1, Ordering::Relaxed);
        Some(OpenConnection {
            id,
            activity,
            table: Arc::clone(self),
        })
    }

    /// Lets `elapsed_ms` pass, and closes the connections that have to be closed.
    pub fn advance(&self, elapsed_ms: u64, limits: &ListenerLimits) {
        let step_ms = elapsed_ms.min(MAX_STEP_MS);
        let now_ms = self.clock_ms.fetch_add(step_ms, Ordering::Relaxed) + step_ms;
        let mut state = self.lock();
        let State { open, closed, .. } = &mut *state;
        for connection in open.values_mut() {
            connection.check(now_ms, limits, closed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Closes the connection that has stood still for longest, unless all have requests.
    fn make_room(&mut self) -> bool {
        let standing = |wanted: Phase| {
            let candidates = self.open.iter().filter_map(|(id, connection)| {
                let state = connection.activity.state();
                let still_ms = match state.phase {
                    Phase::Idle => state.moved_ms,
                    _ => state.since_ms,
                };
                (state.phase == wanted).then_some((still_ms, *id))
            });
            candidates.min().map(|(_, id)| id)
        };
        let Some(id) = standing(Phase::Idle).or_else(|| standing(Phase::Head)) else {
            return false;
        };
        if let Some(connection) = self.open.swap_remove(&id) {
            connection.activity.close(Closing::AtOnce);
        }
        self.closed.made_room += 1;
        true
    }
}

/// A connection in the table until it is dropped.
pub struct OpenConnection {
    id: u64,
    activity: Arc<Activity>,
    table: Arc<ConnectionTable>,
}

impl OpenConnection {
    /// State of the connection.
    pub fn activity(&self) -> &Arc<Activity> {
        &self.activity
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.lock().open.swap_remove(&self.id);
        self.table.count.fetch_sub(1, Ordering::Relaxed);
    }
}
