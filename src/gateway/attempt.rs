//! Decides how to proceed after an attempt at a backend server that brought no successful answer.

use super::deployment::RepeatPolicy;
use super::deployment::Route;

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The server answered. The answer is passed on unless another attempt may do better.
    Answered {
        /// Whether the answer is a server error.
        failed: bool,
    },
    /// The server says that it did not run the request, or never received it.
    NotRun,
    /// The request was sent and its answer is lost.
    Lost,
}

/// Attempts of a request so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Whether the request may be repeated.
    pub repeat: RepeatPolicy,
    /// Servers that may have run it.
    pub runs: u32,
    /// Servers that stated that they did not run it.
    pub refusals: u32,
    /// Number of servers that may run it.
    pub max_runs: u32,
}

impl AttemptHistory {
    /// History of a request that has not been sent.
    pub fn of(route: &Route) -> Self {
        Self {
            repeat: route.repeat,
            runs: 0,
            refusals: 0,
            max_runs: route.max_attempts.max(1),
        }
    }
}

/// Step that follows an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send it to another server if the retry budget allows.
    Retry,
    /// Pass the server's answer on.
    PassOn,
    /// Refuse it, as it has not run.
    Refuse,
    /// Fail it without stating whether it ran.
    Fail,
}

/// Limit on the servers that may refuse one request.
const MAX_REFUSALS: u32 = 6;

/// Decides the next step. `history` includes the attempt that ended.
pub fn next(history: &AttemptHistory, ended: AttemptOutcome) -> NextStep {
    let may_run_again = history.repeat.may_run_again() && history.runs < history.max_runs;
    match ended {
        AttemptOutcome::Answered { failed: false } => NextStep::PassOn,
        AttemptOutcome::Answered { failed: true } if may_run_again => NextStep::Retry,
        AttemptOutcome::Answered { failed: true } => NextStep::PassOn,
        AttemptOutcome::NotRun if history.refusals >= MAX_REFUSALS => final_step(history),
        AttemptOutcome::NotRun => NextStep::Retry,
        AttemptOutcome::Lost if may_run_again => NextStep::Retry,
        AttemptOutcome::Lost => NextStep::Fail,
    }
}

/// Final step of a request that is not sent again and has no answer to pass on.
pub fn final_step(history: &AttemptHistory) -> NextStep {
    if history.runs == 0 {
        NextStep::Refuse
    } else {
        NextStep::Fail
    }
}
