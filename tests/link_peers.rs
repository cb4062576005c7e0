//! Which peers become links, and how a link ends that is not wanted any more.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use medlarlift::link::Dialer;
use medlarlift::link::Frame;
use medlarlift::link::Handler;
use medlarlift::link::Hello;
use medlarlift::link::LINK_FORMAT;
use medlarlift::link::Listener;
use medlarlift::link::Role;
use medlarlift::link::Session;
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
/// Time within which a link opens or is reported as closed.
const LINK_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which a connection that is not wanted is closed. A handshake may take longer.
const ROOM_TIMEOUT: Duration = Duration::from_millis(800);

fn hello(vm: &str, role: Role) -> Hello {
    Hello {
        format: LINK_FORMAT,
        vm: vm.into(),
        incarnation: 1,
        role,
        data_centre: "north".into(),
        relay_address: None,
    }
}

#[derive(Default)]
struct Recorder {
    opened: Mutex<u32>,
    closed: Mutex<u32>,
    refused: Mutex<Vec<Role>>,
}

impl Recorder {
    fn open_links(&self) -> u32 {
        *self.opened.lock().unwrap() - *self.closed.lock().unwrap()
    }
}

impl Handler for Recorder {
    fn opened(&self, _session: &Session) {
        *self.opened.lock().unwrap() += 1;
    }

    fn received(&self, _session: &Session, _frame: Frame) {}

    fn closed(&self, _session: &Session, _reason: &str) {
        *self.closed.lock().unwrap() += 1;
    }

    fn refused(&self, peer: &Hello) {
        self.refused.lock().unwrap().push(peer.role);
    }
}

struct Peer {
    _listener: Listener,
    address: SocketAddr,
}

async fn peer(role: Role) -> Peer {
    let handler: Arc<dyn Handler> = Arc::new(Recorder::default());
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = Listener::bind(any, hello("10.0.0.2", role), handler, MAX_LINKS).await;
    let listener = listener.unwrap();
    Peer {
        address: listener.local_address(),
        _listener: listener,
    }
}

fn dial(address: SocketAddr) -> (Arc<Recorder>, watch::Sender<BTreeSet<SocketAddr>>, Dialer) {
    let recorder = Arc::new(Recorder::default());
    let (targets, addresses) = watch::channel(BTreeSet::from([address]));
    let handler: Arc<dyn Handler> = recorder.clone();
    let dialer = Dialer::spawn(hello("10.0.0.1", Role::Entry), addresses, handler);
    (recorder, targets, dialer)
}

async fn holds(condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + LINK_TIMEOUT;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Guards against a contact that is counted as a link to a controller though it is an entry VM.
#[tokio::test]
async fn a_contact_that_is_no_controller_is_no_link() {
    let peer = peer(Role::Entry).await;
    let (recorder, _targets, _dialer) = dial(peer.address);
    assert!(
        holds(|| !recorder.refused.lock().unwrap().is_empty()).await,
        "the contact is not refused, {} links are open",
        recorder.open_links()
    );
    assert_eq!(*recorder.opened.lock().unwrap(), 0);
}

/// Guards against a link that counts as open for ever, since its address was dropped from the targets.
#[tokio::test]
async fn a_link_that_is_not_wanted_any_more_is_reported_as_closed() {
    let peer = peer(Role::Control).await;
    let (recorder, targets, _dialer) = dial(peer.address);
    assert!(holds(|| recorder.open_links() == 1).await);
    targets.send_replace(BTreeSet::new());
    assert!(
        holds(|| recorder.open_links() == 0).await,
        "the link still counts as open"
    );
}

/// Guards against an address that is dialed 20 times a second, where something accepts connections that is no
/// VM.
#[tokio::test]
async fn a_contact_that_closes_each_connection_is_dialed_less_and_less_often() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_recorder, _targets, _dialer) = dial(listener.local_addr().unwrap());
    let mut dialed = 0;
    let counting = async {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            dialed += 1;
            let mut hello = [0; 16];
            let _ = stream.read(&mut hello).await;
        }
    };
    let _ = timeout(LINK_TIMEOUT, counting).await;
    assert!((2..=12).contains(&dialed), "{dialed}");
}

/// Guards against connections that send nothing and keep VMs from a link.
#[tokio::test]
async fn silent_connections_make_room_for_links() {
    let peer = peer(Role::Control).await;
    let mut silent = Vec::new();
    for _ in 0..3 * MAX_LINKS {
        silent.push(TcpStream::connect(peer.address).await.unwrap());
    }
    let (recorder, _targets, _dialer) = dial(peer.address);
    assert!(holds(|| recorder.open_links() == 1).await);
    let first = timeout(ROOM_TIMEOUT, silent[0].read_u8()).await;
    assert!(matches!(first, Ok(Err(_))), "{first:?}");
}

/// Guards against a peer that is not known yet and announces a frame that takes much memory.
#[tokio::test]
async fn a_handshake_that_announces_a_large_frame_is_closed() {
    let peer = peer(Role::Control).await;
    let mut stream = TcpStream::connect(peer.address).await.unwrap();
    stream.write_all(&100_000_u32.to_be_bytes()).await.unwrap();
    let closed = timeout(ROOM_TIMEOUT, stream.read_u8()).await;
    assert!(matches!(closed, Ok(Err(_))), "{closed:?}");
}
