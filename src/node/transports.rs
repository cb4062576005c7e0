//! Transports of the modules that call other VMs, on top of the peer service.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::consensus::Envelope;
use crate::consensus::FollowError;
use crate::consensus::FollowReply;
use crate::consensus::FollowRequest;
use crate::consensus::FollowSource;
use crate::consensus::Transport;
use crate::lease::LeaseReply;
use crate::lease::LeaseRequest;
use crate::lease::LeaseSendError;
use crate::lease::LeaseTransport;
use crate::limits::BorrowPeers;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::limits::NoCoordinator;
use crate::membership::Delta;
use crate::membership::Digest;
use crate::membership::GossipError;
use crate::membership::GossipTransport;
use crate::peer::PeerAddresses;
use crate::peer::PeerClients;
use crate::types::DataCentre;
use crate::types::VmName;

/// Looks up the coordinator of a data centre.
pub type CoordinatorLookup = Arc<dyn Fn(&DataCentre) -> Option<VmName> + Send + Sync>;

/// Serves a borrow request on this VM.
pub type LocalBorrow = Arc<dyn Fn(BorrowRequest) -> BorrowReply + Send + Sync>;

/// Sends messages of the replicated log.
pub struct PeerLogTransport {
    peers: PeerClients,
    runtime: tokio::runtime::Handle,
}

impl PeerLogTransport {
    /// Creates a transport that sends through `peers` on the current runtime.
    pub fn new(peers: PeerClients) -> Self {
        Self {
            peers,
            runtime: tokio::runtime::Handle::current(),
        }
    }
}

impl Transport for PeerLogTransport {
    fn send(&self, to: &VmName, envelope: Envelope) {
        let peers = self.peers.clone();
        let to = to.clone();
        self.runtime.spawn(async move {
            let _ = peers.raft(&to, envelope).await;
        });
    }
}

/// Pulls applied entries of the replicated log.
pub struct PeerFollowSource {
    peers: PeerClients,
}

impl PeerFollowSource {
    /// Creates a source that pulls through `peers`.
    pub fn new(peers: PeerClients) -> Self {
        Self { peers }
    }
}

impl FollowSource for PeerFollowSource {
    fn follow(
        &self,
        from: &VmName,
        request: FollowRequest,
    ) -> BoxFuture<'_, Result<FollowReply, FollowError>> {
        let from = from.clone();
        async move {
            let reply = self.peers.follow(&from, request).await;
            reply.map_err(|error| FollowError {
                from,
                reason: error.to_string(),
            })
        }
        .boxed()
    }
}

/// Sends lease requests.
pub struct PeerLeaseTransport {
    peers: PeerClients,
}

impl PeerLeaseTransport {
    /// Creates a transport that sends through `peers`.
    pub fn new(peers: PeerClients) -> Self {
        Self { peers }
    }
}

impl LeaseTransport for PeerLeaseTransport {
    fn send(
        &self,
        to: VmName,
        request: LeaseRequest,
    ) -> BoxFuture<'static, Result<LeaseReply, LeaseSendError>> {
        let peers = self.peers.clone();
        async move {
            let reply = peers.lease(&to, request).await;
            reply.map_err(|error| LeaseSendError {
                vm: to,
                reason: error.to_string(),
            })
        }
        .boxed()
    }
}

/// Sends gossip and records announced addresses.
pub struct PeerGossipTransport {
    peers: PeerClients,
    peer_addresses: PeerAddresses,
}

impl PeerGossipTransport {
    /// Creates a transport that sends through `peers` and records addresses in `peer_addresses`.
    pub fn new(peers: PeerClients, peer_addresses: PeerAddresses) -> Self {
        Self {
            peers,
            peer_addresses,
        }
    }
}

impl GossipTransport for PeerGossipTransport {
    fn gossip(
        &self,
        to: VmName,
        address: String,
        digest: Digest,
    ) -> BoxFuture<'static, Result<Delta, GossipError>> {
        if let Ok(address) = address.parse() {
            self.peer_addresses.set(to.clone(), address);
        }
        let peers = self.peers.clone();
        async move {
            let failed = |reason: String| GossipError {
                vm: to.clone(),
                reason,
            };
            let reply = peers.gossip(&to, digest).await;
            let reply = reply.map_err(|error| failed(error.to_string()))?;
            reply.ok_or_else(|| failed("the peer does not support the gossip format".to_owned()))
        }
        .boxed()
    }
}

/// Sends borrow requests to coordinators; serves them locally if this VM is the coordinator.
pub struct PeerBorrowTransport {
    /// Name of this VM.
    pub vm: VmName,
    /// Connections to other VMs.
    pub peers: PeerClients,
    /// Lookup of coordinators.
    pub coordinator_of: CoordinatorLookup,
    /// Server of requests to this VM.
    pub local: LocalBorrow,
}

impl BorrowPeers for PeerBorrowTransport {
    fn borrow(
        &self,
        data_centre: DataCentre,
        request: BorrowRequest,
    ) -> BoxFuture<'static, Result<BorrowReply, NoCoordinator>> {
        let coordinator = (self.coordinator_of)(&data_centre);
        let Some(coordinator) = coordinator else {
            let reason = "no coordinator is known".to_owned();
            let failure = NoCoordinator {
                data_centre,
                reason,
            };
            return futures::future::ready(Err(failure)).boxed();
        };
        if coordinator == self.vm {
            return futures::future::ready(Ok((self.local)(request))).boxed();
        }
        let peers = self.peers.clone();
        async move {
            let reply = peers.borrow(&coordinator, request).await;
            reply.map_err(|error| NoCoordinator {
                data_centre,
                reason: error.to_string(),
            })
        }
        .boxed()
    }
}
