//! RPC interface that each VM offers to the others. Messages contain their own format version.

use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;

use crate::consensus::Envelope;
use crate::consensus::FollowReply;
use crate::consensus::FollowRequest;
use crate::lease::LeaseReply;
use crate::lease::LeaseRequest;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::membership::Delta;
use crate::membership::Digest;
use crate::scheduling::residency::Table;
use crate::scheduling::residency::TablePull;
use crate::scheduling::suspects::SuspectRequest;
use crate::types::VmName;

/// Reply to a proposal that another VM forwarded to the log leader.
pub type ProposeReply = Result<AppliedCommand, ProposeFailure>;

/// Reply to a pull of the placement table; `None` if the VM is not the coordinator.
pub type TableReply = Option<Table>;

/// A command was committed and applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppliedCommand {
    /// Log index of the command.
    pub index: u64,
    /// Encoded outcome of the state machine.
    pub answer: Vec<u8>,
}

/// Why a proposal was not acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProposeFailure {
    /// The VM does not lead the log. The command was not and will not be applied.
    NotLeader {
        /// Last known leader.
        leader: Option<VmName>,
    },
    /// The log accepts no proposals. The command was not and will not be applied.
    Unavailable,
    /// The command may or may not be applied.
    Unknown,
}

/// Calls between VMs. The order of the methods is part of the wire format.
#[tarpc::service]
pub(super) trait Peer {
    /// Delivers a message of the replicated log.
    async fn raft(envelope: Envelope);
    /// Serves applied entries of the replicated log.
    async fn follow(request: FollowRequest) -> FollowReply;
    /// Proposes a command if this VM leads the log.
    async fn propose(command: Vec<u8>) -> ProposeReply;
    /// Exchanges membership updates; `None` if the format is unknown.
    async fn gossip(digest: Digest) -> Option<Delta>;
    /// Requests the coordinator lease.
    async fn lease(request: LeaseRequest) -> LeaseReply;
    /// Requests tokens from the coordinator.
    async fn borrow(request: BorrowRequest) -> BorrowReply;
    /// Reports adapter usage to the coordinator and returns its placement table.
    async fn placement(pull: TablePull) -> TableReply;
    /// Requests or releases the reservation of an engine for a suspect; `None` if the VM is not the
    /// coordinator.
    async fn suspect(request: SuspectRequest) -> Option<bool>;
}

/// Handles the calls of other VMs.
pub trait PeerHandler: Send + Sync + 'static {
    /// Receives a message of the replicated log.
    fn raft(&self, envelope: Envelope);
    /// Serves applied entries of the replicated log.
    fn follow(&self, request: FollowRequest) -> BoxFuture<'static, FollowReply>;
    /// Proposes a command if this VM leads the log.
    fn propose(&self, command: Vec<u8>) -> BoxFuture<'static, ProposeReply>;
    /// Exchanges membership updates; `None` if the format is unknown.
    fn gossip(&self, digest: Digest) -> Option<Delta>;
    /// Answers a request for the coordinator lease.
    fn lease(&self, request: LeaseRequest) -> LeaseReply;
    /// Grants tokens if this VM is the coordinator.
    fn borrow(&self, request: BorrowRequest) -> BorrowReply;
    /// Serves the placement table if this VM is the coordinator.
    fn placement(&self, pull: TablePull) -> TableReply;
    /// Reserves or releases an engine for a suspect if this VM is the coordinator.
    fn suspect(&self, request: SuspectRequest) -> Option<bool>;
}
