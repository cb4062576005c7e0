//! The request path of an entry VM on a platform whose protocol is given by a [`Dialect`]: requests
//! are opaque, and what decides about them stands in their heads and in the operator's
//! configuration.
//!
//! Decisions ([`admission`], [`attempt`], [`board`], [`carry`], [`deployment`], [`grace`]) are values in,
//! values out; input and output are in [`accept`], [`exchange`], [`forward`], [`pool`] and [`relay`].

pub mod admission;
pub mod attempt;
pub mod board;
pub mod carry;
pub mod deployment;
pub mod forecast;
pub mod grace;
pub mod pool;

mod accept;
mod answer;
mod begin;
mod context;
mod demand;
mod dialect;
mod exchange;
mod forward;
mod homes;
mod meter;
mod open_record;
mod pick;
mod quota;
mod record;
mod relay;
mod server_view;
mod service_pace;
mod uses;
mod waits;

pub use accept::Acceptor;
pub use accept::Readiness;
pub use answer::Body;
pub use answer::Refusal;
pub use context::Asker;
pub use context::Gateway;
pub use context::GatewayConfig;
pub use dialect::AnswerHead;
pub use dialect::CallerHead;
pub use dialect::Dialect;
pub use dialect::EngineDialect;
pub use dialect::SendFacts;
pub use dialect::ServerLoad;
pub use quota::Quota;
pub use quota::Reach;
pub use quota::fleet_share;
pub use quota::history_of;
pub use uses::Uses;
pub use waits::Waits;
