//! One connection: a reader that decodes frames, and a writer that sends queued frames in batches.

use std::io;
use std::pin::pin;
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

use super::format::LinkFormat;
use super::format::decode_first;
use super::frame::Frame;
use super::frame::Hello;
use super::frame::Role;
use super::pending_writes::PendingWrites;
use super::pending_writes::Unwritten;
use crate::connections::activity::Activity;

/// Time without data from the other side, or without progress of a write, after which the link is
/// closed.
const IDLE_TIMEOUT_MS: u64 = 1_500;
/// Time that a handshake takes at most.
const HANDSHAKE_TIMEOUT_MS: u64 = 3_000;
/// Time without a message after which a ping is sent.
const PING_INTERVAL_MS: u64 = 400;
/// Time for which frames that have already arrived are read after a write failed.
const LAST_READ_MS: u64 = 200;
/// Capacity of the send queue, in frames.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Maximum size of a frame.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of the handshake, the only frame that is read from a peer that is not known yet.
const MAX_HELLO_BYTES: usize = 4 * 1024;
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
    /// A connection did not become a link, since the peer does not speak the format that was offered, or was
    /// dialed and is no controller.
    fn refused(&self, peer: &Hello) {
        let _ = peer;
    }
}

/// A frame in the send queue.
#[derive(Debug)]
struct Queued {
    frame: Bytes,
    _unwritten: Option<Unwritten>,
}

/// An open link. Clones refer to the same link.
#[derive(Clone, Debug)]
pub struct Session {
    peer: Arc<Hello>,
    format: LinkFormat,
    id: u64,
    outbox: mpsc::Sender<Queued>,
}

impl Session {
    /// Handshake of the VM at the other end.
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Format of the messages on the link.
    pub fn format(&self) -> LinkFormat {
        self.format
    }

    /// Identifier of the link, unique in this process.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Queues a frame; false if the link is closed or its queue is full.
    pub fn send(&self, frame: &Frame) -> bool {
        self.send_encoded(frame.encode())
    }

    /// Queues an encoded frame; false if the link is closed or its queue is full. A frame that the peer's
    /// build does not have is dropped.
    pub fn send_encoded(&self, frame: Bytes) -> bool {
        self.queue(frame, None)
    }

    /// The same, for a frame whose write `writes` waits for.
    pub fn send_tracked(&self, frame: Bytes, writes: &PendingWrites) -> bool {
        self.queue(frame, Some(writes.add()))
    }

    fn queue(&self, frame: Bytes, unwritten: Option<Unwritten>) -> bool {
        let Some(frame) = self.format.translate(frame) else {
            return true;
        };
        let queued = Queued {
            frame,
            _unwritten: unwritten,
        };
        self.outbox.try_send(queued).is_ok()
    }
}

/// Which side opened a connection.
#[derive(Clone, Debug)]
pub(super) enum Side {
    /// This one, which offers a format.
    Dialed(LinkFormat),
    /// The peer. Its connection may be closed to make room until the handshake is complete.
    Accepted(Arc<Activity>),
}

/// How a connection ended.
pub(super) enum Ended {
    /// The link was open.
    Closed,
    /// The handshake failed, or the VM that was dialed is no controller.
    Unopened,
    /// The peer speaks the format with this number.
    Refused(u16),
}

/// An open link, which is reported as closed when dropped: the task that runs it may be cancelled.
struct OpenLink<'a> {
    session: Session,
    handler: &'a Arc<dyn Handler>,
    reason: String,
}

impl<'a> OpenLink<'a> {
    fn open(session: Session, handler: &'a Arc<dyn Handler>) -> Self {
        handler.opened(&session);
        Self {
            session,
            handler,
            reason: "not wanted any more".to_owned(),
        }
    }
}

impl Drop for OpenLink<'_> {
    fn drop(&mut self) {
        self.handler.closed(&self.session, &self.reason);
    }
}

/// Runs a link until it fails.
pub(super) async fn run(
    stream: TcpStream,
    own: &Hello,
    id: u64,
    side: Side,
    handler: &Arc<dyn Handler>,
) -> Ended {
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    let mut buffer = BytesMut::with_capacity(4 * 1024);
    let shaking = handshake(&mut read, &mut write, &mut buffer, own, &side);
    let shaken = timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), shaking).await;
    let Ok(Ok((peer, format))) = shaken else {
        return Ended::Unopened;
    };
    if let Side::Accepted(activity) = &side {
        activity.begin_request();
    }
    if matches!(side, Side::Dialed(_)) && peer.role != Role::Control {
        handler.refused(&peer);
        return Ended::Unopened;
    }
    let Some(format) = format else {
        handler.refused(&peer);
        return Ended::Refused(peer.format);
    };
    let (outbox, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    let session = Session {
        peer: Arc::new(peer),
        format,
        id,
        outbox,
    };
    let mut link = OpenLink::open(session, handler);
    let reading = read_all(&mut read, &mut buffer, &link.session, handler);
    let ended = read_until_end(reading, write_all(&mut write, queue)).await;
    link.reason = ended.err().map_or_else(String::new, |e| e.to_string());
    Ended::Closed
}

/// Exchanges handshakes; returns that of the peer and the format of the link, if both speak it.
async fn handshake(
    read: &mut OwnedReadHalf,
    write: &mut OwnedWriteHalf,
    buffer: &mut BytesMut,
    own: &Hello,
    side: &Side,
) -> io::Result<(Hello, Option<LinkFormat>)> {
    if let Side::Dialed(offered) = *side {
        write.write_all(&framed(&offered.encode_hello(own))).await?;
        let peer = read_hello(read, buffer).await?;
        let format = (peer.format == offered.number()).then_some(offered);
        return Ok((peer, format));
    }
    let peer = read_hello(read, buffer).await?;
    let format = LinkFormat::from_number(peer.format);
    let hello = format.unwrap_or_default().encode_hello(own);
    write.write_all(&framed(&hello)).await?;
    Ok((peer, format))
}

async fn read_hello(read: &mut OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<Hello> {
    let first = next_bytes(read, buffer, MAX_HELLO_BYTES).await?;
    match decode_first(&first).map_err(io::Error::other)? {
        Frame::Hello(peer) => Ok(peer),
        _ => Err(io::Error::other("first frame of the peer is no handshake")),
    }
}

/// Runs both directions until one fails. The peer's last frames may have arrived although it takes no more.
async fn read_until_end(
    reading: impl Future<Output = io::Result<()>>,
    writing: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let mut reading = pin!(reading);
    let ended = tokio::select! {
        ended = &mut reading => return ended,
        ended = writing => ended,
    };
    let _ = timeout(Duration::from_millis(LAST_READ_MS), reading).await;
    ended
}

async fn read_all(
    read: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
    session: &Session,
    handler: &Arc<dyn Handler>,
) -> io::Result<()> {
    loop {
        let bytes = next_bytes(read, buffer, MAX_FRAME_BYTES).await?;
        match session.format.decode(&bytes).map_err(io::Error::other)? {
            Frame::Ping => {}
            frame => handler.received(session, frame),
        }
    }
}

/// Bytes of the next frame, which has at most `max_bytes`.
async fn next_bytes(
    read: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> io::Result<BytesMut> {
    loop {
        if let Some(frame) = take_frame(buffer, max_bytes)? {
            return Ok(frame);
        }
        let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
        let read_bytes = timeout(idle_timeout, read.read_buf(buffer)).await??;
        if read_bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn take_frame(buffer: &mut BytesMut, max_bytes: usize) -> io::Result<Option<BytesMut>> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > max_bytes {
        return Err(io::Error::other(format!("frame of {length} bytes")));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    Ok(Some(buffer.split_to(length)))
}

async fn write_all(
    write: &mut OwnedWriteHalf,
    mut queue: mpsc::Receiver<Queued>,
) -> io::Result<()> {
    let ping = Frame::Ping.encode();
    loop {
        let first = match timeout(Duration::from_millis(PING_INTERVAL_MS), queue.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(()),
            Err(_) => Queued {
                frame: ping.clone(),
                _unwritten: None,
            },
        };
        let mut batch = framed(&first.frame);
        let mut queued = vec![first];
        while batch.len() < BATCH_BYTES
            && let Ok(next) = queue.try_recv()
        {
            append(&mut batch, &next.frame);
            queued.push(next);
        }
        let writing = write.write_all(&batch);
        timeout(Duration::from_millis(IDLE_TIMEOUT_MS), writing).await??;
        drop(queued);
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
