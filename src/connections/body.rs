//! Reads bodies into one buffer each, within the memory of the process.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::activity::Activity;
use super::budget::ByteBudget;
use super::budget::Holder;
use super::budget::Reservation;
use super::buffer::BodyBuffer;
use super::buffer::SMALL_BYTES;
use super::byte_pool::MIDDLE_BYTES;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BodyError {
    /// It is larger than the limit.
    #[snafu(display("the body is larger than the limit"))]
    TooLarge,
    /// The connection broke, or the bytes are no valid body.
    #[snafu(display("the body is broken"))]
    Broken,
    /// It did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    TooSlow,
    /// There was no memory for it in time, or it arrived so slowly that its memory went to others.
    #[snafu(display("there is no memory for the body"))]
    NoMemory,
}

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Progress of a body that is read.
#[derive(Debug, Default)]
struct Progress {
    moved_bytes: AtomicU64,
    /// Whether it waits for memory.
    is_waiting: AtomicBool,
    is_evicted: AtomicBool,
    evicted: Notify,
}

impl Progress {
    async fn evicted(&self) {
        let notified = self.evicted.notified();
        if !self.is_evicted.load(Ordering::Relaxed) {
            notified.await;
        }
    }
}

impl Holder for Progress {
    fn take_moved_bytes(&self) -> u64 {
        self.moved_bytes.swap(0, Ordering::Relaxed)
    }

    fn evict(&self) {
        self.is_evicted.store(true, Ordering::Relaxed);
        self.evicted.notify_waiters();
    }
}

/// A body that has been read, and its memory.
pub struct WholeBody {
    buffer: BodyBuffer,
    reservation: Option<Reservation>,
}

impl WholeBody {
    /// The bytes of a request. Their memory is reserved until the last copy is dropped.
    pub fn into_bytes(self) -> Bytes {
        if let Some(reservation) = &self.reservation {
            reservation.complete(self.buffer.len());
        }
        Bytes::from_owner(self)
    }

    /// The bytes of an answer to the client of `connection`, which is closed if it does not read them while
    /// others wait for the memory.
    pub fn into_answer(self, connection: &Arc<Activity>) -> Bytes {
        if let Some(reservation) = &self.reservation {
            reservation.complete(self.buffer.len());
            reservation.hand_over(Arc::clone(connection) as Arc<dyn Holder>);
            reservation.set_moves(true);
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for WholeBody {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}

/// How a body is read.
pub struct BodyReader<'a> {
    /// Memory of bodies that are not small.
    pub budget: &'a ByteBudget,
    /// Largest body.
    pub limit_bytes: usize,
    /// Time by which the body has to be read.
    pub deadline: Instant,
    /// Whether a sender that stands still may lose its memory to others.
    pub may_evict: bool,
}

impl BodyReader<'_> {
    /// Reads a body to its end.
    ///
    /// # Errors
    /// The body is too large, broken or too slow, or there is no memory for it.
    pub async fn read<B>(&self, mut body: B) -> Result<WholeBody>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let announced_bytes = body.size_hint().exact();
        if body.size_hint().lower() > self.limit_bytes as u64 {
            return Err(BodyError::TooLarge);
        }
        let needed_bytes = announced_bytes.map_or(self.limit_bytes, |bytes| bytes as usize);
        let mut whole = WholeBody {
            buffer: BodyBuffer::new(needed_bytes),
            reservation: None,
        };
        let progress = Arc::new(Progress::default());
        tokio::select! {
            read = self.read_frames(&mut body, &mut whole, needed_bytes, &progress) => read?,
            () = progress.evicted() => return Err(BodyError::NoMemory),
            () = sleep_until(self.deadline) => {
                return Err(match progress.is_waiting.load(Ordering::Relaxed) {
                    true => BodyError::NoMemory,
                    false => BodyError::TooSlow,
                });
            }
        }
        Ok(whole)
    }

    async fn read_frames<B>(
        &self,
        body: &mut B,
        whole: &mut WholeBody,
        needed_bytes: usize,
        progress: &Arc<Progress>,
    ) -> Result<()>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let is_announced = body.size_hint().exact().is_some();
        let mut reserved_bytes = SMALL_BYTES;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
                continue;
            };
            let read_bytes = whole.buffer.len() + data.len();
            if read_bytes > needed_bytes {
                return Err(BodyError::TooLarge);
            }
            if read_bytes > reserved_bytes {
                reserved_bytes = match is_announced || read_bytes > MIDDLE_BYTES {
                    true => needed_bytes,
                    false => MIDDLE_BYTES.min(needed_bytes),
                };
                // A larger reservation never waits for a smaller one, so what is held meanwhile blocks nobody for ever.
                let held = whole.reservation.as_ref();
                let reservation = self.reserve(reserved_bytes, held, progress).await?;
                whole.reservation = Some(reservation);
            }
            let appended = whole.buffer.append(&data);
            appended.map_err(|_| BodyError::NoMemory)?;
            let moved_bytes = data.len() as u64;
            progress
                .moved_bytes
                .fetch_add(moved_bytes, Ordering::Relaxed);
        }
        Ok(())
    }

    async fn reserve(
        &self,
        bytes: usize,
        held: Option<&Reservation>,
        progress: &Arc<Progress>,
    ) -> Result<Reservation> {
        let holder: Arc<dyn Holder> = Arc::clone(progress) as Arc<dyn Holder>;
        progress.is_waiting.store(true, Ordering::Relaxed);
        let reserved = self.budget.reserve(bytes, held, holder).await;
        progress.is_waiting.store(false, Ordering::Relaxed);
        let reservation = reserved.map_err(|_| BodyError::NoMemory)?;
        reservation.set_moves(self.may_evict);
        Ok(reservation)
    }
}
