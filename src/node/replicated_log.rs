//! Access of the request pipeline to the replicated log.

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::Instant;

use super::proposer::ProposeError;
use super::proposer::Proposer;
use super::state_machine::SharedControlState;
use super::state_machine::lock;
use crate::control::Command;
use crate::control::Job;
use crate::control::Outcome;
use crate::control::Owner;
use crate::control::Route;
use crate::pipeline::ProposalError;
use crate::pipeline::ReplicatedLog;

/// Proposes commands to the log and reads the state that this VM has applied.
pub struct NodeLog {
    /// Proposer of commands.
    pub proposer: Proposer,
    /// Control state that this VM has applied.
    pub state: SharedControlState,
    /// Identity of this process as the owner of orders and jobs.
    pub owner: Owner,
}

impl ReplicatedLog for NodeLog {
    fn propose(
        &self,
        command: Command,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Outcome, ProposalError>> {
        async move {
            match self.proposer.propose(&command, deadline).await {
                Ok(proposed) => Ok(proposed.outcome),
                Err(ProposeError::Unavailable) => Err(ProposalError::Unavailable),
                Err(ProposeError::Unknown) => Err(ProposalError::Unknown),
            }
        }
        .boxed()
    }

    fn owner(&self) -> Owner {
        self.owner.clone()
    }

    fn route(&self, service: &str, method: &str, path: &str) -> Option<Route> {
        let control = lock(&self.state);
        control.state().route(service, method, path).cloned()
    }

    fn job(&self, id: &str) -> Option<Job> {
        lock(&self.state).state().jobs().get(id).cloned()
    }
}
