//! Decides what follows a send to a backend server that did not bring the answer.

use super::deployment::Repeat;

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
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
pub struct Past {
    /// What may be repeated.
    pub repeat: Repeat,
    /// Servers that may have run it.
    pub runs: u32,
    /// Servers that said that they did not.
    pub refusals: u32,
    /// Servers that may run it.
    pub max_runs: u32,
}

/// What follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
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

/// Decides what follows. `past` includes the send that ended.
pub fn next(past: &Past, ended: Ended) -> Next {
    let may_run_again = past.repeat.may_run_again() && past.runs < past.max_runs;
    match ended {
        Ended::Answered { failed: false } => Next::PassOn,
        Ended::Answered { failed: true } if may_run_again => Next::Retry,
        Ended::Answered { failed: true } => Next::PassOn,
        Ended::NotRun if past.refusals >= MAX_REFUSALS => give_up(past),
        Ended::NotRun => Next::Retry,
        Ended::Lost if may_run_again => Next::Retry,
        Ended::Lost => Next::Fail,
    }
}

/// The final answer of a request that is not sent again and has no answer to pass on.
pub fn give_up(past: &Past) -> Next {
    if past.runs == 0 {
        Next::Refuse
    } else {
        Next::Fail
    }
}
