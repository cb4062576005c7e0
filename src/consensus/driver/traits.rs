//! Interfaces that the user of the log implements: state machine, transport and follow source.

use std::sync::Arc;
use std::sync::Mutex;

use futures::future::BoxFuture;
use snafu::Snafu;

use crate::consensus::message::Envelope;
use crate::consensus::message::FollowReply;
use crate::consensus::message::FollowRequest;
use crate::types::VmName;

/// A state machine shared between the driver and readers.
pub type SharedMachine<M> = Arc<Mutex<M>>;

/// Deterministic state machine to which committed commands are applied.
pub trait StateMachine: Send + 'static {
    /// Applies the committed command at `index` and returns the response for the proposer.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the complete state.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// The state machine cannot restore a snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("snapshot of {bytes} bytes cannot be restored: {reason}"))]
pub struct RestoreError {
    /// Size of the snapshot.
    pub bytes: usize,
    /// Cause of the failure.
    pub reason: String,
}

/// Sends messages to other VMs.
pub trait Transport: Send + Sync + 'static {
    /// Sends `envelope` to `to` on a best-effort basis. Must not block; may lose, delay or
    /// duplicate messages. Should preserve the order of messages to one VM, because each reordering
    /// may cost a round trip.
    fn send(&self, to: &VmName, envelope: Envelope);
}

/// Pulls applied entries from other VMs.
pub trait FollowSource: Send + Sync + 'static {
    /// Sends `request` to `from` and waits for the reply. Should fail shortly after
    /// `request.wait_ms` if there is no reply.
    fn follow(
        &self,
        from: &VmName,
        request: FollowRequest,
    ) -> BoxFuture<'_, Result<FollowReply, FollowError>>;
}

/// A follow request failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("follow request to {from} failed: {reason}"))]
pub struct FollowError {
    /// The VM the request was sent to.
    pub from: VmName,
    /// Cause of the failure.
    pub reason: String,
}
