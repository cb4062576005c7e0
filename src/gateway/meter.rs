//! Closes connections on which a server sends bytes without content: an endless head, chunk size or
//! trailer.
//!
//! The HTTP parser keeps few of these bytes in memory but processes them for as long as they
//! arrive, which delays all other requests.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

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

    /// Counts bytes read from the connection; fails if too many of them are not part of the body.
    fn read(&self, bytes: usize) -> io::Result<()> {
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

/// Connection that counts the bytes it reads.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: Meter,
}

impl MeteredStream {
    /// Counts the bytes read from `stream` with `meter`.
    pub(crate) fn new(stream: TcpStream, meter: Meter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        Poll::Ready(self.meter.read(read))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
