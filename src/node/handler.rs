//! Handles calls of other VMs.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;

use super::coordinator::Coordinator;
use crate::consensus;
use crate::consensus::Envelope;
use crate::consensus::FollowReply;
use crate::consensus::FollowRequest;
use crate::lease;
use crate::lease::LeaseReply;
use crate::lease::LeaseRequest;
use crate::limits;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::membership;
use crate::membership::Delta;
use crate::membership::Digest;
use crate::peer::AppliedCommand;
use crate::peer::PeerHandler;
use crate::peer::ProposeFailure;
use crate::peer::ProposeReply;
use crate::peer::TableReply;
use crate::scheduling::residency::TablePull;
use crate::scheduling::suspects::SuspectRequest;

/// Components of a VM that serve other VMs.
pub struct VmHandler {
    /// Replicated log.
    pub log: consensus::Handle,
    /// Cluster membership.
    pub members: membership::Handle,
    /// Coordinator lease.
    pub lease: lease::Handle,
    /// Server of the token buckets.
    pub token_server: limits::Server,
    /// Coordinator of adapter placement.
    pub coordinator: Arc<Coordinator>,
}

impl PeerHandler for VmHandler {
    fn raft(&self, envelope: Envelope) {
        self.log.receive(envelope);
    }

    fn follow(&self, request: FollowRequest) -> BoxFuture<'static, FollowReply> {
        let log = self.log.clone();
        async move { log.follow(request).await }.boxed()
    }

    fn propose(&self, command: Vec<u8>) -> BoxFuture<'static, ProposeReply> {
        let log = self.log.clone();
        async move { propose(&log, command).await }.boxed()
    }

    fn gossip(&self, digest: Digest) -> Option<Delta> {
        self.members.receive(&digest)
    }

    fn lease(&self, request: LeaseRequest) -> LeaseReply {
        self.lease.receive(request)
    }

    fn borrow(&self, request: BorrowRequest) -> BorrowReply {
        self.token_server.receive(&request)
    }

    fn placement(&self, pull: TablePull) -> TableReply {
        self.coordinator.pull(&pull)
    }

    fn suspect(&self, request: SuspectRequest) -> Option<bool> {
        self.coordinator.suspect(&request)
    }
}

async fn propose(log: &consensus::Handle, command: Vec<u8>) -> ProposeReply {
    match log.propose(command).await {
        Ok(applied) => Ok(AppliedCommand {
            index: applied.index,
            answer: applied.answer,
        }),
        Err(consensus::ProposeError::NotLeader { leader }) => {
            Err(ProposeFailure::NotLeader { leader })
        }
        Err(consensus::ProposeError::Unavailable) => Err(ProposeFailure::Unavailable),
        Err(consensus::ProposeError::Unknown) => Err(ProposeFailure::Unknown),
    }
}
