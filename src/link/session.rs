//! One connection: a reader that decodes frames, and a writer that sends queued frames in batches.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::frame::Frame;
use super::frame::Hello;
use super::frame::LINK_FORMAT;

/// Time without data from the other side, or without progress of a write, after which the link is
/// closed.
const IDLE_TIMEOUT_MS: u64 = 1_500;
/// Time without a message after which a ping is sent.
const PING_INTERVAL_MS: u64 = 400;
/// Capacity of the send queue, in frames.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Maximum size of a frame.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Size from which a batch of queued frames is written.
const BATCH_BYTES: usize = 64 * 1024;
/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// Callbacks for events on links.
pub trait Handler: Send + Sync + 'static {
    /// The link is open; frames may be sent.
    fn opened(&self, session: &Session);
    /// A frame was received.
    fn received(&self, session: &Session, frame: Frame);
    /// The link is closed.
    fn closed(&self, session: &Session, reason: &str);
}

/// An open link. Clones refer to the same link.
#[derive(Clone, Debug)]
pub struct Session {
    peer: Arc<Hello>,
    id: u64,
    outbox: mpsc::Sender<Bytes>,
}

impl Session {
    /// Handshake of the VM at the other end.
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Identifier of the link, unique in this process.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Queues a frame; false if the link is closed or its queue is full.
    pub fn send(&self, frame: &Frame) -> bool {
        self.send_encoded(frame.encode())
    }

    /// Queues an encoded frame; false if the link is closed or its queue is full.
    pub fn send_encoded(&self, frame: Bytes) -> bool {
        self.outbox.try_send(frame).is_ok()
    }
}

/// Runs a link until it fails; returns the reason.
pub(super) async fn run(
    stream: TcpStream,
    own: &Hello,
    id: u64,
    handler: &Arc<dyn Handler>,
) -> String {
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    let mut buffer = BytesMut::with_capacity(4 * 1024);
    let hello = Frame::Hello(own.clone()).encode();
    let peer = match handshake(&mut read, &mut write, &mut buffer, hello).await {
        Ok(peer) => peer,
        Err(error) => return error.to_string(),
    };
    let (outbox, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    let session = Session {
        peer: Arc::new(peer),
        id,
        outbox,
    };
    handler.opened(&session);
    let reason = tokio::select! {
        ended = read_all(&mut read, &mut buffer, &session, handler) => ended,
        ended = write_all(&mut write, queue) => ended,
    };
    let reason = reason.err().map_or_else(String::new, |e| e.to_string());
    handler.closed(&session, &reason);
    reason
}

async fn handshake(
    read: &mut OwnedReadHalf,
    write: &mut OwnedWriteHalf,
    buffer: &mut BytesMut,
    hello: Bytes,
) -> io::Result<Hello> {
    write.write_all(&framed(&hello)).await?;
    match next_frame(read, buffer).await? {
        Frame::Hello(peer) if peer.format == LINK_FORMAT => Ok(peer),
        Frame::Hello(peer) => {
            let format = peer.format;
            let text = format!("peer uses link format {format} instead of {LINK_FORMAT}");
            Err(io::Error::other(text))
        }
        _ => Err(io::Error::other("first frame of the peer is no handshake")),
    }
}

async fn read_all(
    read: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
    session: &Session,
    handler: &Arc<dyn Handler>,
) -> io::Result<()> {
    loop {
        match next_frame(read, buffer).await? {
            Frame::Ping => {}
            frame => handler.received(session, frame),
        }
    }
}

async fn next_frame(read: &mut OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<Frame> {
    loop {
        if let Some(frame) = take_frame(buffer)? {
            return Ok(frame);
        }
        let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
        let read_bytes = timeout(idle_timeout, read.read_buf(buffer)).await??;
        if read_bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn take_frame(buffer: &mut BytesMut) -> io::Result<Option<Frame>> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::other(format!("frame of {length} bytes")));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    Frame::decode(&body).map(Some).map_err(io::Error::other)
}

async fn write_all(write: &mut OwnedWriteHalf, mut queue: mpsc::Receiver<Bytes>) -> io::Result<()> {
    let ping = Frame::Ping.encode();
    loop {
        let first = match timeout(Duration::from_millis(PING_INTERVAL_MS), queue.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(()),
            Err(_) => ping.clone(),
        };
        let mut batch = framed(&first);
        while batch.len() < BATCH_BYTES
            && let Ok(frame) = queue.try_recv()
        {
            append(&mut batch, &frame);
        }
        let writing = write.write_all(&batch);
        timeout(Duration::from_millis(IDLE_TIMEOUT_MS), writing).await??;
    }
}

fn framed(frame: &Bytes) -> BytesMut {
    let mut batch = BytesMut::with_capacity(LENGTH_BYTES + frame.len());
    append(&mut batch, frame);
    batch
}

fn append(batch: &mut BytesMut, frame: &Bytes) {
    batch.put_u32(u32::try_from(frame.len()).unwrap_or(u32::MAX));
    batch.extend_from_slice(frame);
}
