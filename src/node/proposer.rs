//! Proposes commands to the leader of the replicated log, on this or another VM.

use std::time::Duration;

use snafu::Snafu;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::consensus;
use crate::consensus::Handle;
use crate::control::Command;
use crate::control::Outcome;
use crate::peer::PeerClients;
use crate::peer::PeerError;
use crate::peer::ProposeFailure;
use crate::types::VmName;

/// Result of a proposal.
pub type Result<T, E = ProposeError> = std::result::Result<T, E>;

/// Wait between two attempts of a proposal.
const RETRY_MS: u64 = 50;

/// Why a proposal was not acknowledged in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ProposeError {
    /// The log has no reachable leader. The command was not and will not be applied.
    #[snafu(display("the replicated log has no reachable leader"))]
    Unavailable,
    /// The command may or may not be applied.
    #[snafu(display("the outcome of the proposal is not known"))]
    Unknown,
}

/// A command that was applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposed {
    /// Log index of the command.
    pub index: u64,
    /// Outcome of the command.
    pub outcome: Outcome,
}

/// Proposes commands through the log handle of this VM, or forwards them to the leader.
#[derive(Clone)]
pub struct Proposer {
    vm: VmName,
    log: Handle,
    peers: PeerClients,
}

/// Outcome of one attempt.
enum Attempt {
    Done(Proposed),
    NotApplied,
    Unknown,
}

impl Proposer {
    /// Creates a proposer that uses `log` if this VM leads it, and `peers` otherwise.
    pub fn new(vm: VmName, log: Handle, peers: PeerClients) -> Self {
        Self { vm, log, peers }
    }

    /// Proposes `command` until it is applied or `deadline` passes. An attempt with an unknown
    /// outcome is repeated, because commands carry ids that make them idempotent.
    ///
    /// # Errors
    /// `Unavailable` if no attempt reached a leader, `Unknown` if one may have.
    pub async fn propose(&self, command: &Command, deadline: Instant) -> Result<Proposed> {
        let bytes = command.to_bytes();
        let mut may_be_applied = false;
        loop {
            match self.attempt(bytes.clone()).await {
                Attempt::Done(proposed) => return Ok(proposed),
                Attempt::NotApplied => {}
                Attempt::Unknown => may_be_applied = true,
            }
            if Instant::now() + Duration::from_millis(RETRY_MS) >= deadline {
                break;
            }
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
        if may_be_applied {
            Err(ProposeError::Unknown)
        } else {
            Err(ProposeError::Unavailable)
        }
    }

    async fn attempt(&self, command: Vec<u8>) -> Attempt {
        let leader = match self.log.propose(command.clone()).await {
            Ok(applied) => return decoded(applied.index, &applied.answer),
            Err(consensus::ProposeError::Unavailable) => return Attempt::NotApplied,
            Err(consensus::ProposeError::Unknown) => return Attempt::Unknown,
            Err(consensus::ProposeError::NotLeader { leader }) => leader,
        };
        match leader {
            Some(leader) if leader != self.vm => self.forward(&leader, command).await,
            _ => Attempt::NotApplied,
        }
    }

    async fn forward(&self, leader: &VmName, command: Vec<u8>) -> Attempt {
        match self.peers.propose(leader, command).await {
            Ok(Ok(accepted)) => decoded(accepted.index, &accepted.answer),
            Ok(Err(ProposeFailure::Unknown)) => Attempt::Unknown,
            Ok(Err(_)) => Attempt::NotApplied,
            Err(PeerError::NoAnswer { .. }) => Attempt::Unknown,
            Err(_) => Attempt::NotApplied,
        }
    }
}

fn decoded(index: u64, answer: &[u8]) -> Attempt {
    match Outcome::from_bytes(answer) {
        Ok(outcome) => Attempt::Done(Proposed { index, outcome }),
        Err(_) => Attempt::Unknown,
    }
}
