//! Links between VMs of different builds. The peers are stand-ins that speak the bytes of released builds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use medlarlift::consensus::ClockStamps;
use medlarlift::consensus::Envelope;
use medlarlift::consensus::FORMAT_VERSION;
use medlarlift::consensus::Message;
use medlarlift::consensus::VoterId;
use medlarlift::link::Dialer;
use medlarlift::link::EntryVmUpdate;
use medlarlift::link::Frame;
use medlarlift::link::Handler;
use medlarlift::link::Hello;
use medlarlift::link::Listener;
use medlarlift::link::Role;
use medlarlift::link::Session;
use medlarlift::link::StateConfirmation;
use medlarlift::link::StateQuestion;
use medlarlift::types::MonoMs;
use medlarlift::types::StreamKey;
use medlarlift::types::UnixMs;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Links to one listener.
const MAX_LINKS: usize = 16;
/// Format of this build.
const FORMAT_11: u16 = 11;
/// Format of commits ff63bbd, 7973d54, e9f9b97 and 9ad7a4b.
const FORMAT_10: u16 = 10;
/// Format of commit baf3a79.
const FORMAT_9: u16 = 9;
/// Time within which a link opens, also at the second attempt.
const LINK_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay of a build of format 10 before it dials a peer again that has refused its format.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// What a busy machine may add to a delay.
const SLACK: Duration = Duration::from_millis(200);
/// Kinds of frames from format 10 on: lists of entry VMs, and the answer to a question for a stream.
const ENTRY_VMS_KIND: u32 = 19;
const STREAM_FOUND_KIND: u32 = 22;
/// Kind of the question about a controller's state, which format 10 does not have.
const ASK_STATE_KIND: u32 = 23;
/// Kind of the frames that carry messages of the log, and kind of such a message.
const RAFT_KIND: u32 = 3;
const TIMEOUT_NOW_KIND: u32 = 8;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const OWN_ADDRESS: &str = "127.0.0.1:7601";

fn own_hello() -> Hello {
    Hello {
        format: FORMAT_11,
        vm: "10.0.0.1".into(),
        incarnation: 7,
        role: Role::Entry,
        data_centre: "north".into(),
        relay_address: Some(OWN_ADDRESS.parse().unwrap()),
    }
}

/// Handshake of a peer, byte for byte: kind, format, name, incarnation, role and data centre, and from format
/// 10 on an address that is not given.
fn peer_hello(format: u16) -> Vec<u8> {
    let mut bytes = 0_u32.to_le_bytes().to_vec();
    bytes.extend(format.to_le_bytes());
    bytes.extend(8_u64.to_le_bytes());
    bytes.extend(b"10.0.0.2");
    bytes.extend(3_u64.to_le_bytes());
    bytes.extend(0_u32.to_le_bytes());
    bytes.extend(5_u64.to_le_bytes());
    bytes.extend(b"north");
    bytes.extend((format >= FORMAT_10).then_some(0));
    bytes
}

/// A question for the origin of a stream, as the build of `format` encodes it.
fn find_stream(format: u16) -> Vec<u8> {
    let question = Frame::FindStream(5, StreamKey::of_request("r1")).encode();
    let kind: u32 = if format == FORMAT_9 { 19 } else { 21 };
    let mut bytes = kind.to_le_bytes().to_vec();
    bytes.extend(&question[4..]);
    bytes
}

async fn write(stream: &mut TcpStream, frame: &[u8]) {
    let length = u32::try_from(frame.len()).unwrap();
    stream.write_all(&length.to_be_bytes()).await.unwrap();
    stream.write_all(frame).await.unwrap();
}

async fn read(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let length = stream.read_u32().await.ok()?;
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

/// The first frame that is no ping.
async fn read_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    loop {
        let frame = read(stream).await?;
        if frame != 1_u32.to_le_bytes() {
            return Some(frame);
        }
    }
}

/// Handshake as released builds do it on either side: they send theirs at once, and close the connection if
/// the other one names another format or has other fields.
async fn shake_hands(stream: &mut TcpStream, format: u16) -> bool {
    write(stream, &peer_hello(format)).await;
    let Some(hello) = timeout(LINK_TIMEOUT, read(stream)).await.unwrap() else {
        return false;
    };
    let address_bytes = if format >= FORMAT_10 { 11 } else { 0 };
    hello[4..6] == format.to_le_bytes() && hello.len() == peer_hello(9).len() + address_bytes
}

/// Handshake of the builds of format 10 when they are dialed: they read the offer and answer in its format if they
/// have it, and otherwise in their own, after which they close the connection.
async fn answer_as_format_10(stream: &mut TcpStream) -> bool {
    let Some(hello) = timeout(LINK_TIMEOUT, read(stream)).await.unwrap() else {
        return false;
    };
    let offered = u16::from_le_bytes(hello[4..6].try_into().unwrap());
    let has_format = matches!(offered, FORMAT_9 | FORMAT_10);
    let answered = if has_format { offered } else { FORMAT_10 };
    write(stream, &peer_hello(answered)).await;
    has_format
}

fn state_question() -> Frame {
    Frame::AskState(StateQuestion {
        incarnation: 7,
        asked: MonoMs(1_500),
        asked_unix: UnixMs(1_796_520_522_437),
    })
}

/// The same, byte for byte.
fn state_question_bytes() -> Vec<u8> {
    let mut bytes = ASK_STATE_KIND.to_le_bytes().to_vec();
    for number in [7, 1_500, 1_796_520_522_437_u64] {
        bytes.extend(number.to_le_bytes());
    }
    bytes
}

/// Records the links and frames of the VM under test, and answers each frame.
#[derive(Default)]
struct Recorder {
    opened: Mutex<Vec<u16>>,
    received: Mutex<Vec<Frame>>,
}

impl Handler for Recorder {
    fn opened(&self, session: &Session) {
        self.opened.lock().unwrap().push(session.peer().format);
        // A build of format 9 has no such frame.
        session.send(&Frame::EntryVms(EntryVmUpdate {
            full: true,
            changed: Vec::new(),
            gone: Vec::new(),
        }));
        // A build of format 10 has no such frame.
        session.send(&state_question());
    }

    fn received(&self, session: &Session, frame: Frame) {
        session.send(&Frame::StreamFound(5, None));
        self.received.lock().unwrap().push(frame);
    }

    fn closed(&self, _session: &Session, _reason: &str) {}
}

/// Frames after the handshake that the peer gets, without pings.
async fn talk(stream: &mut TcpStream, format: u16) -> Vec<Vec<u8>> {
    write(stream, &find_stream(format)).await;
    let mut frames = Vec::new();
    let expected = 1 + usize::from(format - FORMAT_9);
    while frames.len() < expected {
        let frame = timeout(LINK_TIMEOUT, read_message(stream)).await;
        frames.push(frame.expect("a frame").expect("the link stays open"));
    }
    frames
}

fn assert_understood(recorder: &Recorder, format: u16, frames: &[Vec<u8>]) {
    let question = Frame::FindStream(5, StreamKey::of_request("r1"));
    assert_eq!(*recorder.received.lock().unwrap(), [question]);
    let kinds: Vec<u32> = frames
        .iter()
        .map(|frame| u32::from_le_bytes(frame[..4].try_into().unwrap()))
        .collect();
    match format {
        FORMAT_9 => assert_eq!(kinds, [STREAM_FOUND_KIND - 2]),
        FORMAT_10 => assert_eq!(kinds, [ENTRY_VMS_KIND, STREAM_FOUND_KIND]),
        _ => {
            assert_eq!(kinds, [ENTRY_VMS_KIND, ASK_STATE_KIND, STREAM_FOUND_KIND]);
            assert_eq!(frames[1], state_question_bytes());
        }
    }
}

async fn assert_links_to_listener(format: u16) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let recorder = Arc::new(Recorder::default());
    let (_targets, addresses) = watch::channel(BTreeSet::from([address]));
    let handler: Arc<dyn Handler> = recorder.clone();
    let _dialer = Dialer::spawn(own_hello(), addresses, handler);
    let mut stream = timeout(LINK_TIMEOUT, async {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            if shake_hands(&mut stream, format).await {
                return stream;
            }
        }
    })
    .await
    .expect("the VM offers the peer's format");
    let frames = talk(&mut stream, format).await;
    assert_understood(&recorder, format, &frames);
}

async fn assert_links_to_dialer(format: u16) {
    let recorder = Arc::new(Recorder::default());
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let handler: Arc<dyn Handler> = recorder.clone();
    let listener = Listener::bind(any, own_hello(), handler, MAX_LINKS)
        .await
        .unwrap();
    let mut stream = TcpStream::connect(listener.local_address()).await.unwrap();
    assert!(shake_hands(&mut stream, format).await, "format {format}");
    let frames = talk(&mut stream, format).await;
    assert_understood(&recorder, format, &frames);
}

/// Guards against links between VMs of this build that do not open.
#[tokio::test]
async fn vms_of_this_build_are_linked_in_either_role() {
    assert_links_to_listener(FORMAT_11).await;
    assert_links_to_dialer(FORMAT_11).await;
}

/// Guards against links with controllers and entry VMs of format 10 that do not open.
#[tokio::test]
async fn vms_of_format_10_are_linked_in_either_role() {
    assert_links_to_listener(FORMAT_10).await;
    assert_links_to_dialer(FORMAT_10).await;
}

/// Guards against entry VMs that hear no controller, and controllers without a quorum, while VMs of an older
/// build are replaced one after the other.
#[tokio::test]
async fn vms_of_format_9_are_linked_in_either_role() {
    assert_links_to_listener(FORMAT_9).await;
    assert_links_to_dialer(FORMAT_9).await;
}

/// Guards against links to VMs of format 10 that open later than a link to a VM of format 9 did in their builds: at
/// the second connection, which follows the refusal of the first after the shortest delay.
#[tokio::test]
async fn a_vm_of_format_10_that_is_dialed_is_linked_at_the_second_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let recorder = Arc::new(Recorder::default());
    let (_targets, addresses) = watch::channel(BTreeSet::from([address]));
    let handler: Arc<dyn Handler> = recorder.clone();
    let _dialer = Dialer::spawn(own_hello(), addresses, handler);
    let (mut first, _) = listener.accept().await.unwrap();
    assert!(!answer_as_format_10(&mut first).await);
    drop(first);
    let refused = Instant::now();
    let (mut second, _) = listener.accept().await.unwrap();
    assert!(refused.elapsed() < RETRY_DELAY + SLACK);
    assert!(answer_as_format_10(&mut second).await);
    let frames = talk(&mut second, FORMAT_10).await;
    assert_understood(&recorder, FORMAT_10, &frames);
    assert_eq!(*recorder.opened.lock().unwrap(), [FORMAT_10]);
}

/// Compares with the sizes from which the use of the links is worked out (docs/CAPACITY.md).
#[test]
fn a_question_about_a_state_and_its_answer_are_as_small_as_stated() {
    let Frame::AskState(question) = state_question() else {
        panic!("a question");
    };
    let answer = Frame::StateConfirmed(StateConfirmation {
        question,
        document_version: u64::MAX,
        software_revision: u64::MAX,
    });
    let framed = |frame: Frame| 4 + frame.encode().len();
    assert_eq!((framed(state_question()), framed(answer)), (32, 48));
}

/// Guards against frames that are taken for those of another format.
#[tokio::test]
async fn a_frame_that_the_format_of_the_link_does_not_have_ends_the_link() {
    for (format, kind) in [(FORMAT_9, ASK_STATE_KIND - 2), (FORMAT_10, ASK_STATE_KIND)] {
        let recorder = Arc::new(Recorder::default());
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let handler: Arc<dyn Handler> = recorder.clone();
        let listener = Listener::bind(any, own_hello(), handler, MAX_LINKS)
            .await
            .unwrap();
        let mut stream = TcpStream::connect(listener.local_address()).await.unwrap();
        assert!(shake_hands(&mut stream, format).await);
        let mut question = state_question_bytes();
        question[..4].copy_from_slice(&kind.to_le_bytes());
        write(&mut stream, &question).await;
        let ended = timeout(LINK_TIMEOUT, async {
            while read_message(&mut stream).await.is_some() {}
        });
        ended.await.expect("the link is closed");
        assert!(recorder.received.lock().unwrap().is_empty());
    }
}

/// Guards against links that stay in the old format once the peer has been replaced.
#[tokio::test]
async fn a_replaced_peer_is_offered_the_own_format() {
    assert_own_format_after(FORMAT_9).await;
    assert_own_format_after(FORMAT_10).await;
}

async fn assert_own_format_after(old: u16) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_targets, addresses) = watch::channel(BTreeSet::from([address]));
    let recorder = Arc::new(Recorder::default());
    let handler: Arc<dyn Handler> = recorder.clone();
    let _dialer = Dialer::spawn(own_hello(), addresses, handler);
    for format in [old, old, FORMAT_11] {
        let (mut stream, _) = timeout(LINK_TIMEOUT, listener.accept())
            .await
            .unwrap()
            .unwrap();
        shake_hands(&mut stream, format).await;
    }
    let wait = async {
        while recorder.opened.lock().unwrap().last() != Some(&FORMAT_11) {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(LINK_TIMEOUT, wait)
        .await
        .expect("a link of format 11");
}

/// A message of the log, as builds without stamps encode it: kind, version, cluster, sender, recipient, term and
/// content.
fn log_message_bytes() -> Vec<u8> {
    let mut bytes = RAFT_KIND.to_le_bytes().to_vec();
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    bytes.extend(9_u64.to_le_bytes());
    for (vm, disk_id) in [(b"10.0.0.2", 2_u64), (b"10.0.0.1", 1)] {
        bytes.extend((vm.len() as u64).to_le_bytes());
        bytes.extend(vm);
        bytes.extend(disk_id.to_le_bytes());
    }
    bytes.extend(4_u64.to_le_bytes());
    bytes.extend(TIMEOUT_NOW_KIND.to_le_bytes());
    bytes
}

fn log_message(stamps: ClockStamps) -> Frame {
    Frame::Raft(Envelope {
        version: FORMAT_VERSION,
        cluster_id: 9,
        from: VoterId::new("10.0.0.2", 2),
        to: VoterId::new("10.0.0.1", 1),
        term: 4,
        message: Message::TimeoutNow,
        stamps,
    })
}

/// Guards against log messages that builds without stamps cannot read, or that cannot be read from them. These builds
/// ignore what follows an envelope.
#[test]
fn log_messages_are_those_of_builds_without_stamps_with_the_stamps_behind_them() {
    let bytes = log_message_bytes();
    let unstamped = log_message(ClockStamps::default());
    assert_eq!(Frame::decode(&bytes).unwrap(), unstamped);
    let stamps = ClockStamps {
        sent_ms: Some(70),
        echoed_ms: Some(u64::MAX),
    };
    let stamped = log_message(stamps).encode();
    assert_eq!(stamped[..bytes.len()], bytes);
    assert_eq!(Frame::decode(&stamped).unwrap(), log_message(stamps));
    let broken = [&bytes[..], &[7]].concat();
    assert!(Frame::decode(&broken).is_err());
}
