//! Heads that do not come to an end, on real connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use medlarlift::connections::reports::Reports;
use medlarlift::connections::server::Server;
use medlarlift::connections::server::listen;
use medlarlift::connections::table::ListenerLimits;
use medlarlift::events::EventLog;
use medlarlift::metrics_page::Meters;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const LIMITS: ListenerLimits = ListenerLimits {
    connections: 8,
    header_timeout_ms: 1_000,
    idle_timeout_ms: 2_000,
    head_buffer_bytes: 16 * 1024,
};
/// Longer than any of the limits.
const PATIENCE: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";

fn start() -> Server {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let connect =
        |_: &TcpStream| Some(|_| async { Response::new(Full::new(Bytes::from_static(b"answer"))) });
    let reports = Reports::new("test", &Meters::default(), &EventLog::disabled());
    let listener = listen(address, None).unwrap();
    Server::spawn(reports, listener, || LIMITS, connect).unwrap()
}

async fn connect(server: &Server) -> TcpStream {
    TcpStream::connect(server.local_address()).await.unwrap()
}

/// Reads until the other side closes the connection.
async fn read_to_end(connection: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let reading = connection.read_to_end(&mut bytes);
    // A connection that is reset is closed too.
    let _ = timeout(PATIENCE, reading).await.expect("closed in time");
    bytes
}

#[tokio::test]
async fn a_request_in_a_thousand_pieces_is_answered() {
    let server = start();
    let mut connection = connect(&server).await;
    connection.set_nodelay(true).unwrap();
    for byte in REQUEST {
        connection.write_all(&[*byte]).await.unwrap();
        tokio::task::yield_now().await;
    }
    let answer = read_to_end(&mut connection).await;
    assert!(answer.ends_with(b"answer"));
}

#[tokio::test]
async fn half_a_head_and_a_silent_connection_are_ended() {
    let server = start();
    let mut half = connect(&server).await;
    half.write_all(&REQUEST[..10]).await.unwrap();
    let mut silent = connect(&server).await;
    assert!(!read_to_end(&mut half).await.ends_with(b"answer"));
    assert!(read_to_end(&mut silent).await.is_empty());
}

/// Guards against a head that drips in and keeps its connection.
#[tokio::test]
async fn a_dripping_head_is_ended() {
    let server = start();
    let mut connection = connect(&server).await;
    let dripping = async {
        while connection.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(PATIENCE, dripping).await.expect("closed in time");
}

/// Guards against silent connections that take the place of callers.
#[tokio::test]
async fn silent_connections_make_room() {
    let server = start();
    let mut silent = Vec::new();
    for _ in 0..3 * LIMITS.connections {
        silent.push(connect(&server).await);
    }
    let mut caller = connect(&server).await;
    caller.write_all(REQUEST).await.unwrap();
    let mut byte = [0];
    let read = timeout(PATIENCE, caller.read_exact(&mut byte)).await;
    assert!(read.expect("answered in time").is_ok());
}

/// Guards against bytes behind a request which are taken as its body or as another one's.
#[tokio::test]
async fn malformed_framing_gets_one_clear_answer_or_a_closed_connection() {
    let server = start();
    for head in [
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST / HTTP/1.1\r\nHost : x\r\n\r\n",
        "\0\0\0\0\r\n\r\n",
    ] {
        let mut connection = connect(&server).await;
        connection.write_all(head.as_bytes()).await.unwrap();
        let answer = read_to_end(&mut connection).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
            "{head:?}: {answer}"
        );
    }
}
