//! Proposes commands to the replicated log, wherever its leader is.

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

/// Wait before a proposal is tried again while no leader is known.
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
    /// Position in the log.
    pub index: u64,
    /// What the command did.
    pub outcome: Outcome,
}

/// Proposes commands through this VM's log handle or the leader's.
#[derive(Clone)]
pub struct Proposer {
    vm: VmName,
    log: Handle,
    peers: PeerClients,
}

/// Outcome of one try.
enum Attempt {
    Done(Proposed),
    NotApplied,
    Unknown,
}

impl Proposer {
    /// Proposes through `log` if this VM leads it, else through `peers`.
    pub fn new(vm: VmName, log: Handle, peers: PeerClients) -> Self {
        Self { vm, log, peers }
    }

    /// Proposes `command` until it is applied or `deadline` passes. Commands carry ids that make
    /// them idempotent, so a try with an unknown outcome is repeated.
    ///
    /// # Errors
    /// `Unavailable` if no try reached a leader, `Unknown` if one may have.
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
