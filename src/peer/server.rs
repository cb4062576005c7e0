//! Server for the calls of other VMs.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::task::JoinHandle;
use tokio_serde::formats::Bincode;

use super::service::Peer;
use super::service::PeerHandler;
use super::service::ProposeReply;
use super::service::TableReply;
use crate::consensus::Envelope;
use crate::consensus::FollowReply;
use crate::consensus::FollowRequest;
use crate::lease::LeaseReply;
use crate::lease::LeaseRequest;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::membership::Delta;
use crate::membership::Digest;
use crate::scheduling::residency::TablePull;
use crate::scheduling::suspects::SuspectRequest;

/// Maximum size of a message in bytes. Snapshots are sent in much smaller chunks.
pub(super) const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A running peer server. It stops accepting connections when dropped.
#[derive(Debug)]
pub struct PeerServer {
    local_address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl PeerServer {
    /// Listens on `address` and dispatches calls to `handler`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr, handler: Arc<dyn PeerHandler>) -> io::Result<Self> {
        let mut incoming = tcp::listen(address, Bincode::default).await?;
        incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let local_address = incoming.local_addr();
        let accepting = tokio::spawn(async move {
            while let Some(connection) = incoming.next().await {
                let Ok(transport) = connection else { continue };
                let _ = transport.get_ref().set_nodelay(true);
                let channel = BaseChannel::with_defaults(transport);
                let service = PeerService {
                    handler: handler.clone(),
                };
                tokio::spawn(channel.execute(service.serve()).for_each(spawn_call));
            }
        });
        Ok(Self {
            local_address,
            accepting,
        })
    }

    /// Address on which the server listens.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn spawn_call(call: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(call);
}

/// Adapts a `PeerHandler` to the generated service.
#[derive(Clone)]
struct PeerService {
    handler: Arc<dyn PeerHandler>,
}

impl Peer for PeerService {
    async fn raft(self, _: Context, envelope: Envelope) {
        self.handler.raft(envelope);
    }

    async fn follow(self, _: Context, request: FollowRequest) -> FollowReply {
        self.handler.follow(request).await
    }

    async fn propose(self, _: Context, command: Vec<u8>) -> ProposeReply {
        self.handler.propose(command).await
    }

    async fn gossip(self, _: Context, digest: Digest) -> Option<Delta> {
        self.handler.gossip(digest)
    }

    async fn lease(self, _: Context, request: LeaseRequest) -> LeaseReply {
        self.handler.lease(request)
    }

    async fn borrow(self, _: Context, request: BorrowRequest) -> BorrowReply {
        self.handler.borrow(request)
    }

    async fn placement(self, _: Context, pull: TablePull) -> TableReply {
        self.handler.placement(pull)
    }

    async fn suspect(self, _: Context, request: SuspectRequest) -> Option<bool> {
        self.handler.suspect(request)
    }
}
