//! The replicated log as the stages see it.

use futures::future::BoxFuture;
use snafu::Snafu;
use tokio::time::Instant;

use crate::control::Command;
use crate::control::Job;
use crate::control::Outcome;
use crate::control::Owner;
use crate::control::Route;

/// Why a command has no outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ProposalError {
    /// The log has no reachable leader. The command was not and will not be applied.
    #[snafu(display("the replicated log has no reachable leader"))]
    Unavailable,
    /// The command may or may not be applied.
    #[snafu(display("the outcome of the proposal is not known"))]
    Unknown,
}

/// Records of orders and jobs.
pub trait ReplicatedLog: Send + Sync {
    /// Proposes `command` until it is applied or `deadline` passes.
    fn propose(
        &self,
        command: Command,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Outcome, ProposalError>>;

    /// This process.
    fn owner(&self) -> Owner;

    /// The route for a call of a plain service, as applied on this VM.
    fn route(&self, service: &str, method: &str, path: &str) -> Option<Route>;

    /// The job with this id, as applied on this VM.
    fn job(&self, id: &str) -> Option<Job>;
}
