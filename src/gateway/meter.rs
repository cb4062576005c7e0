//! Ends connections on which bytes come that allowance nothing: a head, a chunk size or a trailer without end.
//!
//! The parser of such bytes keeps little of them in memory but goes on for as long as they come, and its
//! work delays all other requests.

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

/// Bytes of one answer that may have been read beyond those of its body: more than a head and the
/// largest read buffer.
const MAX_OVERHEAD_BYTES: u64 = 1024 * 1024;

/// Bytes of one answer. Clones share the counts.
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
    /// Begins with a new answer.
    pub(crate) fn begin(&self) {
        self.counts.read.store(0, Ordering::Relaxed);
        self.counts.delivered.store(0, Ordering::Relaxed);
    }

    /// Counts bytes of the body.
    pub(crate) fn delivered(&self, bytes: usize) {
        let bytes = bytes as u64;
        self.counts.delivered.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts bytes that were read; an error if too many of them allowance nothing.
    fn read(&self, bytes: usize) -> io::Result<()> {
        let read = self.counts.read.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        let delivered = self.counts.delivered.load(Ordering::Relaxed);
        match read.saturating_sub(delivered) > MAX_OVERHEAD_BYTES {
            true => Err(io::Error::other("the answer has no end")),
            false => Ok(()),
        }
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: Meter,
}

impl MeteredStream {
    /// Counts the bytes of `stream` with `meter`.
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
