//! Idle connections to backend servers that are kept for later requests.

use std::net::SocketAddr;
use std::time::Duration;

use medlarlift::gateway::pool;
use medlarlift::gateway::pool::Connection;
use medlarlift::gateway::pool::Pool;
use tokio::net::TcpListener;

const MAX_IDLE: usize = 4;
const SERVERS: usize = 6;
const CONNECT_WAIT: Duration = Duration::from_secs(5);
const KEEP: Option<Duration> = Some(Duration::from_secs(60));

/// A server that keeps its connections open.
async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    address
}

/// Opens a connection that can take a request.
async fn connection(address: SocketAddr) -> Connection {
    let mut connection = pool::connect(address, CONNECT_WAIT).await.unwrap();
    connection.sender.ready().await.unwrap();
    connection
}

/// Guards against callers whose requests go to one server after the other until the process has no descriptors left.
#[tokio::test]
async fn idle_connections_to_many_servers_stay_within_their_limit() {
    let mut pool = Pool::new(MAX_IDLE);
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        let address = server().await;
        pool.put(address, connection(address).await, KEEP);
        servers.push(address);
    }
    assert_eq!(pool.idle_count(), MAX_IDLE);
    let kept: Vec<bool> = servers
        .iter()
        .map(|address| pool.take(*address, true).is_some())
        .collect();
    assert_eq!(kept, [false, false, true, true, true, true]);
}

/// The same with several connections to one server.
#[tokio::test]
async fn the_connection_that_has_been_idle_for_longest_makes_room() {
    let mut pool = Pool::new(MAX_IDLE);
    let (busy, quiet) = (server().await, server().await);
    pool.put(quiet, connection(quiet).await, KEEP);
    for _ in 0..MAX_IDLE {
        pool.put(busy, connection(busy).await, KEEP);
    }
    assert!(pool.take(quiet, true).is_none());
    for _ in 0..MAX_IDLE {
        assert!(pool.take(busy, true).is_some());
    }
}
