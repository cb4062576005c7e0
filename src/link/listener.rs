//! Listener for incoming links.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::dialer::next_id;
use super::frame::Hello;
use super::session;
use super::session::Handler;
use super::session::Side;
use crate::accept::next_connection;
use crate::configs::connections::small_listener;
use crate::connections::activity::Closing;
use crate::connections::table::ConnectionTable;
use crate::connections::table::ListenerLimits;
use crate::connections::table::OpenConnection;

/// A running listener. Stops accepting when dropped.
#[derive(Debug)]
pub struct Listener {
    local_address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Listener {
    /// Listens at `address` and runs a session for each connection, at most `max_links` at once. At that
    /// number, the connection that has waited for longest for its handshake makes room.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        own: Hello,
        handler: Arc<dyn Handler>,
        max_links: usize,
    ) -> io::Result<Self> {
        let limits = ListenerLimits {
            connections: max_links,
            ..small_listener()
        };
        let table = Arc::new(ConnectionTable::default());
        let listener = TcpListener::bind(address).await?;
        let local_address = listener.local_addr()?;
        let accepting = tokio::spawn(async move {
            loop {
                let stream = next_connection(&listener).await;
                let Some(connection) = table.open(&limits) else {
                    continue;
                };
                tokio::spawn(serve(stream, own.clone(), Arc::clone(&handler), connection));
            }
        });
        Ok(Self {
            local_address,
            accepting,
        })
    }

    /// Address of the listening socket.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }
}

async fn serve(
    stream: TcpStream,
    own: Hello,
    handler: Arc<dyn Handler>,
    connection: OpenConnection,
) {
    let activity = connection.activity();
    let mut closing = activity.closing();
    let side = Side::Accepted(Arc::clone(activity));
    tokio::select! {
        _ = session::run(stream, &own, next_id(), side, &handler) => {}
        _ = closing.wait_for(|closing| *closing != Closing::Open) => {}
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}
