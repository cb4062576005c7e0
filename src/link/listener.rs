//! Listener for incoming links.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::dialer::next_id;
use super::frame::Hello;
use super::session;
use super::session::Handler;
use super::session::Side;
use crate::accept::next_connection;

/// A running listener. Stops accepting when dropped.
#[derive(Debug)]
pub struct Listener {
    local_address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Listener {
    /// Listens at `address` and runs a session for each connection.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        own: Hello,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let local_address = listener.local_addr()?;
        let accepting = tokio::spawn(async move {
            loop {
                let stream = next_connection(&listener).await;
                let own = own.clone();
                let handler = Arc::clone(&handler);
                tokio::spawn(async move {
                    session::run(stream, &own, next_id(), Side::Accepted, &handler).await;
                });
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

impl Drop for Listener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}
