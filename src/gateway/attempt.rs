//! Decides what follows a send to a backend server that did not bring the answer.

use super::deployment::RepeatPolicy;

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The server has answered; its answer is to be passed on unless a repeat may do better.
    Answered {
        /// Whether the answer is a failure of the server.
        failed: bool,
    },
    /// The server did not run the request and says so, or never got it.
    NotRun,
    /// The request was sent and its answer is lost.
    Lost,
}

/// What a request has behind it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptHistory {
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Servers that may have run it.
    pub runs: u32,
    /// Servers that said that they did not.
    pub refusals: u32,
    /// Servers that may run it.
    pub max_runs: u32,
}

/// What follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send it to another server, if the retry budget allows.
    Retry,
    /// Pass the server's answer on.
    PassOn,
    /// Refuse it: it has not run.
    Refuse,
    /// Fail it without a promise: it may have run.
    Fail,
}

/// Most servers that may say that they did not run one request.
const MAX_REFUSALS: u32 = 6;

/// Decides what follows. `history` includes the send that ended.
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

/// The final answer of a request that is not sent again and has no answer to pass on.
pub fn final_step(history: &AttemptHistory) -> NextStep {
    if history.runs == 0 {
        NextStep::Refuse
    } else {
        NextStep::Fail
    }
}
