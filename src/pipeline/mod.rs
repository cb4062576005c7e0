//! The path of a request, one stage per file: authenticate, classify, admit, queue (`dispatcher`),
//! dispatch, relay. Settlement follows from dropping or completing what a stage holds.

mod admit;
mod assignment;
mod authenticate;
mod classify;
mod context;
mod dispatch;
mod dispatcher;
mod in_flight;
mod relay;
mod request_id;
mod retry_budget;
mod run;

pub use admit::Admitted;
pub use admit::ReservedTokens;
pub use admit::admit;
pub use assignment::Assignment;
pub use authenticate::Caller;
pub use authenticate::Keys;
pub use authenticate::authenticate;
pub use authenticate::check_still_live;
pub use classify::Classified;
pub use classify::Completion;
pub use classify::Format;
pub use classify::classify;
pub use classify::read_completion;
pub use context::Context;
pub use context::Health;
pub use context::Quarantine;
pub use context::Servers;
pub use dispatch::Running;
pub use dispatch::dispatch;
pub use dispatcher::Dispatcher;
pub use dispatcher::DispatcherConfig;
pub use dispatcher::Work;
pub use in_flight::InFlight;
pub use relay::Relay;
pub use request_id::RequestId;
pub use retry_budget::RetryBudget;
pub use run::StreamedAnswer;
pub use run::WholeAnswer;
pub use run::run_streamed;
pub use run::run_whole;
