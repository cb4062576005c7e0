//! TCP connections whose reads and writes are observed.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Observes the reads and writes of a connection.
pub trait StreamObserver: Unpin {
    /// Largest number of bytes read at once.
    const READ_BYTES: u64 = u64::MAX;

    /// Waits until the connection may be read.
    fn poll_may_read(&mut self, _context: &mut Context<'_>) -> Poll<()> {
        Poll::Ready(())
    }

    /// Notes bytes that have been read.
    ///
    /// # Errors
    /// The connection has to end.
    fn on_read(&mut self, bytes: usize) -> io::Result<()>;

    /// Notes the outcome of a write: the bytes that the peer takes, or none for now.
    fn on_write(&mut self, _written: &Poll<io::Result<usize>>) {}
}

/// Connection whose reads and writes `observer` sees.
#[derive(Debug)]
pub struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
}

impl<O: StreamObserver> ObservedStream<O> {
    /// Has `observer` observe `stream`.
    pub fn new(stream: TcpStream, observer: O) -> Self {
        Self { stream, observer }
    }
}

impl<O: StreamObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.observer.poll_may_read(context));
        let before = buffer.filled().len();
        let mut part = AsyncReadExt::take(&mut self.stream, O::READ_BYTES);
        ready!(Pin::new(&mut part).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        Poll::Ready(self.observer.on_read(read))
    }
}

impl<O: StreamObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observer.on_write(&written);
        written
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
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.observer.on_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
