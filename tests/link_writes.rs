//! Frames that have to leave a VM, or be read, before a link or a process ends.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream as BlockingStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use medlarlift::link::Frame;
use medlarlift::link::Handler;
use medlarlift::link::Hello;
use medlarlift::link::LinkFormat;
use medlarlift::link::Listener;
use medlarlift::link::PendingWrites;
use medlarlift::link::Role;
use medlarlift::link::Session;
use medlarlift::types::StreamKey;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Links to one listener.
const MAX_LINKS: usize = 16;
const TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Limit of a wait that fails.
const SHORT_WAIT: Duration = Duration::from_millis(100);
/// Links that the peer resets. The order in which the two directions of one notice it is random.
const RESETS: usize = 40;
/// Frames that no socket buffer holds.
const BIG_FRAMES: usize = 16;
const BIG_FRAME_BYTES: usize = 4 * 1024 * 1024;

#[derive(Default)]
struct Recorder {
    sessions: Mutex<Vec<Session>>,
    received: Mutex<Vec<Frame>>,
    closed: Mutex<usize>,
}

impl Handler for Recorder {
    fn opened(&self, session: &Session) {
        self.sessions.lock().unwrap().push(session.clone());
    }

    fn received(&self, _session: &Session, frame: Frame) {
        self.received.lock().unwrap().push(frame);
    }

    fn closed(&self, _session: &Session, _reason: &str) {
        *self.closed.lock().unwrap() += 1;
    }
}

fn hello(vm: &str) -> Hello {
    Hello {
        format: LinkFormat::default().number(),
        vm: vm.into(),
        incarnation: 1,
        role: Role::Control,
        data_centre: "north".into(),
        relay_address: None,
    }
}

fn framed(frame: &Bytes) -> Vec<u8> {
    let mut bytes = u32::try_from(frame.len()).unwrap().to_be_bytes().to_vec();
    bytes.extend(frame);
    bytes
}

async fn wait_for(mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TIMEOUT, waiting).await.expect("in time");
}

async fn listen(recorder: &Arc<Recorder>) -> Listener {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let handler: Arc<dyn Handler> = recorder.clone();
    Listener::bind(any, hello("10.0.0.1"), handler, MAX_LINKS)
        .await
        .unwrap()
}

/// Opens a link as a peer whose socket is read and written without the runtime's help.
async fn open_link(listener: &Listener, recorder: &Recorder) -> (BlockingStream, Session) {
    let known = recorder.sessions.lock().unwrap().len();
    let mut stream = TcpStream::connect(listener.local_address()).await.unwrap();
    let offered = LinkFormat::default().encode_hello(&hello("10.0.0.2"));
    stream.write_all(&framed(&offered)).await.unwrap();
    let length = stream.read_u32().await.unwrap();
    let mut answer = vec![0; length as usize];
    stream.read_exact(&mut answer).await.unwrap();
    wait_for(|| recorder.sessions.lock().unwrap().len() > known).await;
    let session = recorder.sessions.lock().unwrap()[known].clone();
    (stream.into_std().unwrap(), session)
}

fn question() -> Frame {
    Frame::FindStream(5, StreamKey::of_request("r1"))
}

/// Guards against an acknowledgement of news that are lost when the process is killed right after it.
#[tokio::test]
async fn tracked_frames_are_in_the_sockets_of_all_peers_when_the_wait_ends() {
    let recorder = Arc::new(Recorder::default());
    let listener = listen(&recorder).await;
    let mut links = Vec::new();
    for _ in 0..3 {
        links.push(open_link(&listener, &recorder).await);
    }
    let frame = question().encode();
    let writes = PendingWrites::default();
    for (_, session) in &links {
        assert!(session.send_tracked(frame.clone(), &writes));
    }
    assert!(writes.wait(TIMEOUT).await);
    // Nothing runs between the end of the wait and these reads.
    let mut buffer = vec![0; 4 * frame.len()];
    for (stream, _) in &mut links {
        let read = stream.read(&mut buffer).expect("the frame has been sent");
        let expected = framed(&frame);
        assert!(buffer[..read].ends_with(&expected));
    }
}

/// Guards against an acknowledgement that waits for a peer that reads nothing, or for one that is gone.
#[tokio::test]
async fn a_wait_ends_for_a_peer_that_does_not_read_or_is_gone() {
    let recorder = Arc::new(Recorder::default());
    let listener = listen(&recorder).await;
    let (stalled, session) = open_link(&listener, &recorder).await;
    for _ in 0..BIG_FRAMES {
        assert!(session.send_encoded(Bytes::from(vec![0; BIG_FRAME_BYTES])));
    }
    let writes = PendingWrites::default();
    assert!(session.send_tracked(question().encode(), &writes));
    let begun = Instant::now();
    assert!(!writes.wait(SHORT_WAIT).await, "the peer reads nothing");
    assert!(begun.elapsed() < TIMEOUT / 2);
    let writes = PendingWrites::default();
    assert!(session.send_tracked(question().encode(), &writes));
    drop(stalled);
    assert!(writes.wait(TIMEOUT).await, "the peer is gone");
    assert!(PendingWrites::default().wait(SHORT_WAIT).await, "no frame");
}

/// Guards against the last news of a controller that is killed, left unread because a write to it failed first.
#[tokio::test]
async fn frames_that_arrived_before_a_reset_are_read_though_a_write_fails() -> io::Result<()> {
    let recorder = Arc::new(Recorder::default());
    let listener = listen(&recorder).await;
    for _ in 0..RESETS {
        let (mut peer, session) = open_link(&listener, &recorder).await;
        peer.write_all(&framed(&question().encode()))?;
        socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO))?;
        drop(peer);
        session.send(&question());
    }
    wait_for(|| *recorder.closed.lock().unwrap() == RESETS).await;
    assert_eq!(recorder.received.lock().unwrap().len(), RESETS);
    Ok(())
}
