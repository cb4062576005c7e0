//! Interface of the pipeline to the replicated log.

use futures::future::BoxFuture;
use snafu::Snafu;
use tokio::time::Instant;

use crate::control::Command;
use crate::control::Job;
use crate::control::Outcome;
use crate::control::Owner;
use crate::control::Route;

/// Why a proposal has no outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ProposalError {
    /// The log has no reachable leader. The command was not and will not be applied.
    #[snafu(display("the replicated log has no reachable leader"))]
    Unavailable,
    /// The command may or may not be applied.
    #[snafu(display("the outcome of the proposal is not known"))]
    Unknown,
}

/// Proposes commands and reads the applied state.
pub trait ReplicatedLog: Send + Sync {
    /// Proposes `command` and waits until it is applied or `deadline` passes.
    fn propose(
        &self,
        command: Command,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Outcome, ProposalError>>;

    /// Identity of this process in the records.
    fn owner(&self) -> Owner;

    /// The route for a call of a plain service, as applied on this VM.
    fn route(&self, service: &str, method: &str, path: &str) -> Option<Route>;

    /// The job with this id, as applied on this VM.
    fn job(&self, id: &str) -> Option<Job>;
}
