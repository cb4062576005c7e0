//! Client of the peer services of other VMs. Connections are opened on first use and after a
//! failure.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tokio::time::timeout;
use tokio_serde::formats::Bincode;

use super::PeerError;
use super::Result;
use super::addresses::PeerAddresses;
use super::server::MAX_FRAME_BYTES;
use super::service::PeerClient;
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
use crate::types::VmName;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Timeout of all calls but long polls and proposals.
const CALL_TIMEOUT_MS: u64 = 700;
/// Time that a follow request may take beyond its long poll.
const FOLLOW_TIMEOUT_MARGIN_MS: u64 = 1_000;
/// Timeout of a forwarded proposal.
const PROPOSE_TIMEOUT_MS: u64 = 4_000;

/// Calls other VMs. Clones share the connections.
#[derive(Clone)]
pub struct PeerClients {
    addresses: PeerAddresses,
    connections: Arc<Mutex<HashMap<VmName, Connection>>>,
}

#[derive(Clone)]
struct Connection {
    address: SocketAddr,
    client: PeerClient,
}

impl PeerClients {
    /// Creates a client for the VMs in `addresses`.
    pub fn new(addresses: PeerAddresses) -> Self {
        Self {
            addresses,
            connections: Arc::default(),
        }
    }

    /// Delivers a message of the replicated log.
    ///
    /// # Errors
    /// The VM is unknown, unreachable or silent.
    pub async fn raft(&self, to: &VmName, envelope: Envelope) -> Result<()> {
        let client = self.client(to).await?;
        let answer = client.raft(deadline(CALL_TIMEOUT_MS), envelope).await;
        self.drop_connection_on_error(to, answer)
    }

    /// Pulls applied entries of the replicated log.
    ///
    /// # Errors
    /// The VM is unknown, unreachable or silent.
    pub async fn follow(&self, to: &VmName, request: FollowRequest) -> Result<FollowReply> {
        let client = self.client(to).await?;
        let wait_ms = request.wait_ms + FOLLOW_TIMEOUT_MARGIN_MS;
        let answer = client.follow(deadline(wait_ms), request).await;
        self.drop_connection_on_error(to, answer)
    }

    /// Forwards a proposal to the log leader.
    ///
    /// # Errors
    /// The VM is unknown, unreachable or silent.
    pub async fn propose(&self, to: &VmName, command: Vec<u8>) -> Result<ProposeReply> {
        let client = self.client(to).await?;
        let answer = client.propose(deadline(PROPOSE_TIMEOUT_MS), command).await;
        self.drop_connection_on_error(to, answer)
    }

    /// Exchanges membership updates.
    ///
    /// # Errors
    /// The VM is unknown, unreachable or silent.
    pub async fn gossip(&self, to: &VmName, digest: Digest) -> Result<Option<Delta>> {
        let client = self.client(to).await?;
        let answer = client.gossip(deadline(CALL_TIMEOUT_MS), digest).await;
        self.drop_connection_on_error(to, answer)
    }

    /// Requests the coordinator lease.
    ///
    /// # Errors
    /// The VM is unknown, unreachable or silent.
    pub async fn lease(&self, to: &VmName, request: LeaseRequest) -> Result<LeaseReply> {
        let client = self.client(to).await?;
        let answer = client.lease(deadline(CALL_TIMEOUT_MS), request).await;
        self.drop_connection_on_error(to, answer)
    }

    /// Requests tokens from a coordinator.
    ///
    /// # Errors
    /// The VM is unknown, unreachable or silent.
    pub async fn borrow(&self, to: &VmName, request: BorrowRequest) -> Result<BorrowReply> {
        let client = self.client(to).await?;
        let answer = client.borrow(deadline(CALL_TIMEOUT_MS), request).await;
        self.drop_connection_on_error(to, answer)
    }

    /// Pulls the placement table of a coordinator.
    ///
    /// # Errors
    /// The VM is unknown, unreachable or silent.
    pub async fn placement(&self, to: &VmName, pull: TablePull) -> Result<TableReply> {
        let client = self.client(to).await?;
        let answer = client.placement(deadline(CALL_TIMEOUT_MS), pull).await;
        self.drop_connection_on_error(to, answer)
    }

    /// Requests or releases the reservation of an engine for a suspect.
    ///
    /// # Errors
    /// The VM is unknown, unreachable or silent.
    pub async fn suspect(&self, to: &VmName, request: SuspectRequest) -> Result<Option<bool>> {
        let client = self.client(to).await?;
        let answer = client.suspect(deadline(CALL_TIMEOUT_MS), request).await;
        self.drop_connection_on_error(to, answer)
    }

    async fn client(&self, to: &VmName) -> Result<PeerClient> {
        let address = self
            .addresses
            .get(to)
            .ok_or_else(|| PeerError::UnknownVm { vm: to.clone() })?;
        if let Some(client) = self.existing_client(to, address) {
            return Ok(client);
        }
        let client = connect(to, address).await?;
        let connection = Connection {
            address,
            client: client.clone(),
        };
        let mut connections = self.connections.lock().expect("no holder panics");
        connections.insert(to.clone(), connection);
        Ok(client)
    }

    fn existing_client(&self, to: &VmName, address: SocketAddr) -> Option<PeerClient> {
        let connections = self.connections.lock().expect("no holder panics");
        let connection = connections.get(to)?;
        (connection.address == address).then(|| connection.client.clone())
    }

    /// Drops the connection after a failure, so that the next call opens a new one. A timeout
    /// counts as a failure, because a connection across a partition reports no error.
    fn drop_connection_on_error<T>(&self, to: &VmName, answer: Result<T, RpcError>) -> Result<T> {
        answer.map_err(|error| {
            let mut connections = self.connections.lock().expect("no holder panics");
            connections.remove(to);
            PeerError::NoAnswer {
                vm: to.clone(),
                reason: error.to_string(),
            }
        })
    }
}

fn deadline(wait_ms: u64) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(wait_ms);
    context
}

async fn connect(to: &VmName, address: SocketAddr) -> Result<PeerClient> {
    let mut connecting = tcp::connect(address, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let failed = |reason: String| PeerError::Connect {
        vm: to.clone(),
        address,
        reason,
    };
    let transport = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting)
        .await
        .map_err(|_| failed("timed out".to_owned()))?
        .map_err(|error| failed(error.to_string()))?;
    let _ = transport.get_ref().set_nodelay(true);
    Ok(PeerClient::new(client::Config::default(), transport).spawn())
}
