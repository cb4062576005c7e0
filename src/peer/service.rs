//! The service that each VM offers to the others. Messages carry their own format version.

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

/// Answer to a proposal that another VM forwarded to the log leader.
pub type ProposeReply = Result<AppliedCommand, ProposeFailure>;

/// Answer to a pull of the placement table; `None` if the VM does not coordinate.
pub type TableReply = Option<Table>;

/// A command was committed and applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppliedCommand {
    /// Position in the log.
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

/// Calls between VMs.
#[tarpc::service]
pub(super) trait Peer {
    /// Delivers a message of the replicated log.
    async fn raft(envelope: Envelope);
    /// Serves applied entries of the replicated log.
    async fn follow(request: FollowRequest) -> FollowReply;
    /// Proposes a command if this VM leads the log.
    async fn propose(command: Vec<u8>) -> ProposeReply;
    /// Exchanges membership news; `None` if the format is unknown.
    async fn gossip(digest: Digest) -> Option<Delta>;
    /// Asks for the coordinator lease.
    async fn lease(request: LeaseRequest) -> LeaseReply;
    /// Asks the coordinator for tokens.
    async fn borrow(request: BorrowRequest) -> BorrowReply;
    /// Reports use to the coordinator and gets its placement table.
    async fn placement(pull: TablePull) -> TableReply;
    /// Asks the coordinator for an engine for a suspect; `None` if the VM does not coordinate.
    async fn suspect(request: SuspectRequest) -> Option<bool>;
}

/// What a VM does with the calls of others.
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes a message of the replicated log.
    fn raft(&self, envelope: Envelope);
    /// Serves applied entries of the replicated log.
    fn follow(&self, request: FollowRequest) -> BoxFuture<'static, FollowReply>;
    /// Proposes a command if this VM leads the log.
    fn propose(&self, command: Vec<u8>) -> BoxFuture<'static, ProposeReply>;
    /// Exchanges membership news; `None` if the format is unknown.
    fn gossip(&self, digest: Digest) -> Option<Delta>;
    /// Decides on the coordinator lease.
    fn lease(&self, request: LeaseRequest) -> LeaseReply;
    /// Hands out tokens if this VM coordinates.
    fn borrow(&self, request: BorrowRequest) -> BorrowReply;
    /// Serves the placement table if this VM coordinates.
    fn placement(&self, pull: TablePull) -> TableReply;
    /// Decides on an engine for a suspect if this VM coordinates.
    fn suspect(&self, request: SuspectRequest) -> Option<bool>;
}
