//! What the driver needs from its surroundings.

use std::sync::Arc;
use std::sync::Mutex;

use futures::future::BoxFuture;
use snafu::Snafu;

use crate::consensus::message::Envelope;
use crate::consensus::message::FollowReply;
use crate::consensus::message::FollowRequest;
use crate::types::VmName;

/// A state machine that the driver and its readers share.
pub type SharedMachine<M> = Arc<Mutex<M>>;

/// The deterministic machine that commands are applied to.
pub trait StateMachine: Send + 'static {
    /// Applies the committed command at `index` and returns the answer for the proposer.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// The state machine cannot read a snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("snapshot of {bytes} bytes cannot be restored: {reason}"))]
pub struct RestoreError {
    /// Size of the snapshot.
    pub bytes: usize,
    /// What is wrong with it.
    pub reason: String,
}

/// Sends messages to other VMs.
pub trait Transport: Send + Sync + 'static {
    /// Sends `envelope` to `to` if it can. Must not block; may lose, delay or repeat messages. Should
    /// keep the order of messages to one VM, because each reordering may cost a round trip.
    fn send(&self, to: &VmName, envelope: Envelope);
}

/// Pulls applied entries from other VMs.
pub trait FollowSource: Send + Sync + 'static {
    /// Sends `request` to `from` and waits for the reply. Should fail a little after
    /// `request.wait_ms` if no reply comes.
    fn follow(
        &self,
        from: &VmName,
        request: FollowRequest,
    ) -> BoxFuture<'_, Result<FollowReply, FollowError>>;
}

/// A follow request got no usable reply.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("follow request to {from} failed: {reason}"))]
pub struct FollowError {
    /// The VM that was asked.
    pub from: VmName,
    /// What went wrong.
    pub reason: String,
}
