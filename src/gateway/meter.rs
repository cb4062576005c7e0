//! Closes connections on which a server sends bytes without content: an endless head, chunk size or
//! trailer.
//!
//! The HTTP parser keeps few of these bytes in memory but processes them for as long as they
//! arrive, which delays all other requests.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::connections::stream::StreamObserver;

/// Bytes of one answer that may be read beyond its body. More than a head and the largest read
/// buffer.
const MAX_OVERHEAD_BYTES: u64 = 1024 * 1024;

/// Byte counts of one answer. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    read: AtomicU64,
    delivered: AtomicU64,
}

impl Meter {
    /// Resets the counts for a new answer.
    pub(crate) fn begin(&self) {
        self.counts.read.store(0, Ordering::Relaxed);
        self.counts.delivered.store(0, Ordering::Relaxed);
    }

    /// Counts bytes of the body.
    pub(crate) fn delivered(&self, bytes: usize) {
        let bytes = bytes as u64;
        self.counts.delivered.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl StreamObserver for Meter {
    /// Counts bytes read from the connection; fails if too many of them are not part of the body.
    fn on_read(&mut self, bytes: usize) -> io::Result<()> {
        let read = self.counts.read.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        let delivered = self.counts.delivered.load(Ordering::Relaxed);
        match read.saturating_sub(delivered) > MAX_OVERHEAD_BYTES {
            true => Err(io::Error::other(
                "answer exceeds 1 MiB of bytes outside its body",
            )),
            false => Ok(()),
        }
    }
}
