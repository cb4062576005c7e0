//! What a client's connection is doing, and how long it has stood still.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio_util::sync::PollSemaphore;

use super::budget::Holder;
use super::stream::StreamObserver;

/// Bytes of a head that every connection may hold. Connections take turns with larger ones.
pub const SMALL_HEAD_BYTES: u64 = 16 * 1024;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a head.
    Head,
    /// The answer to a request whose head has arrived.
    Request,
}

/// Whether and how a connection has to be closed, in the order of urgency.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Closing {
    /// It stays open.
    Open,
    /// It is closed after the current request.
    AfterRequest,
    /// It is closed at once.
    AtOnce,
}

/// What a connection does, on the clock of the table.
#[derive(Clone, Copy, Debug)]
pub struct ActivityState {
    /// What it waits for.
    pub phase: Phase,
    /// When the phase began.
    pub since_ms: u64,
    /// When the last bytes moved.
    pub moved_ms: u64,
    /// Since when the client reads nothing of what is to be written; `None` if it does.
    pub blocked_ms: Option<u64>,
}

#[derive(Debug)]
struct Progress {
    state: ActivityState,
    head_bytes: u64,
    /// Turn of a large head.
    head_permit: Option<OwnedSemaphorePermit>,
}

/// State of one connection. The time is that of the table of connections.
#[derive(Debug)]
pub struct Activity {
    clock_ms: Arc<AtomicU64>,
    progress: Mutex<Progress>,
    /// Bytes written since they were last asked for.
    written_bytes: AtomicU64,
    closing: watch::Sender<Closing>,
}

impl Activity {
    /// A connection that was opened now.
    pub fn new(clock_ms: Arc<AtomicU64>) -> Self {
        let now_ms = clock_ms.load(Ordering::Relaxed);
        Self {
            clock_ms,
            progress: Mutex::new(Progress {
                state: ActivityState {
                    phase: Phase::Idle,
                    since_ms: now_ms,
                    moved_ms: now_ms,
                    blocked_ms: None,
                },
                head_bytes: 0,
                head_permit: None,
            }),
            written_bytes: AtomicU64::new(0),
            closing: watch::Sender::new(Closing::Open),
        }
    }

    /// What the connection does.
    pub fn state(&self) -> ActivityState {
        self.progress().state
    }

    /// Has the connection closed.
    pub fn close(&self, closing: Closing) {
        self.closing.send_replace(closing);
    }

    /// Whether the connection has to be closed.
    pub fn closing(&self) -> watch::Receiver<Closing> {
        self.closing.subscribe()
    }

    /// Notes that the head of a request is complete.
    pub fn begin_request(&self) {
        let mut progress = self.progress();
        self.enter(&mut progress, Phase::Request);
        progress.head_permit = None;
    }

    /// Notes that an answer has been handed over completely.
    pub fn end_request(&self) {
        let mut progress = self.progress();
        self.enter(&mut progress, Phase::Idle);
    }

    fn enter(&self, progress: &mut Progress, phase: Phase) {
        let now_ms = self.now_ms();
        progress.state.phase = phase;
        progress.state.since_ms = now_ms;
        progress.state.moved_ms = now_ms;
        progress.head_bytes = 0;
    }

    /// Notes bytes that have been read.
    pub fn on_read(&self, bytes: usize) {
        let mut progress = self.progress();
        progress.state.moved_ms = self.now_ms();
        if progress.state.phase == Phase::Idle && bytes > 0 {
            self.enter(&mut progress, Phase::Head);
        }
        if progress.state.phase == Phase::Head {
            progress.head_bytes += bytes as u64;
        }
    }

    /// Notes the outcome of a write: the bytes that the client takes, or none for now.
    pub fn on_write(&self, written: &Poll<io::Result<usize>>) {
        let mut progress = self.progress();
        let now_ms = self.now_ms();
        match written {
            Poll::Pending => {
                progress.state.blocked_ms.get_or_insert(now_ms);
            }
            Poll::Ready(written) => {
                progress.state.blocked_ms = None;
                progress.state.moved_ms = now_ms;
                let bytes = written.as_ref().map_or(0, |bytes| *bytes as u64);
                self.written_bytes.fetch_add(bytes, Ordering::Relaxed);
            }
        }
    }

    /// Whether the rest of the head may be read only in turn.
    fn needs_permit(&self) -> bool {
        let progress = self.progress();
        progress.state.phase == Phase::Head
            && progress.head_bytes > SMALL_HEAD_BYTES
            && progress.head_permit.is_none()
    }

    fn now_ms(&self) -> u64 {
        self.clock_ms.load(Ordering::Relaxed)
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Holder for Activity {
    fn take_moved_bytes(&self) -> u64 {
        self.written_bytes.swap(0, Ordering::Relaxed)
    }

    fn evict(&self) {
        self.close(Closing::AtOnce);
    }
}

/// Notes in the activity of a client's connection what is read and written.
#[derive(Debug)]
pub struct ActivityObserver {
    activity: Arc<Activity>,
    large_heads: PollSemaphore,
}

impl ActivityObserver {
    /// Observes for `activity`. Large heads take turns with `large_heads`.
    pub fn new(activity: Arc<Activity>, large_heads: Arc<Semaphore>) -> Self {
        Self {
            activity,
            large_heads: PollSemaphore::new(large_heads),
        }
    }
}

impl StreamObserver for ActivityObserver {
    // Bounds the parser's buffer while a body is read.
    const READ_BYTES: u64 = 16 * 1024;

    fn poll_may_read(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !self.activity.needs_permit() {
            return Poll::Ready(());
        }
        let permit = self.large_heads.poll_acquire(context);
        permit.map(|permit| self.activity.progress().head_permit = permit)
    }

    fn on_read(&mut self, bytes: usize) -> io::Result<()> {
        self.activity.on_read(bytes);
        Ok(())
    }

    fn on_write(&mut self, written: &Poll<io::Result<usize>>) {
        self.activity.on_write(written);
    }
}
