//! The request path of an entry VM on a platform whose protocol is given by a [`Dialect`]. The gateway
//! does not look into requests: it decides by their heads and by the operator's configuration.
//!
//! Decisions (`adapter_versions`, `admission`, `attempt`, `belief`, `configuration`, `deployment`,
//! `grace_period`, `limited_servers`, `outage_allowance`, `server_table`) do no input or output; that is in `accept`, `exchange`,
//! `forward`, `pool` and `relay`.

pub mod adapter_versions;
pub mod admission;
pub mod attempt;
pub mod belief;
pub mod configuration;
pub mod deployment;
pub mod forecast;
pub mod grace_period;
pub mod outage_allowance;
pub mod peers;
pub mod pool;
pub mod server_table;

mod accept;
mod adapter_usage;
mod adapter_waits;
mod answer;
mod begin;
mod context;
mod controller_question;
mod crashes;
mod demand;
mod dialect;
mod exchange;
mod forward;
mod framing;
mod leaving_servers;
mod limited_servers;
mod load_targets;
mod memory;
mod meter;
mod peer_path;
mod quota;
mod reach;
mod record;
mod record_guard;
mod relay;
mod retry_budgets;
mod select_server;
mod server_limits;
mod server_rests;
mod server_view;
mod service_latency;
mod state_questions;
mod stream_origins;
mod target;

pub use accept::Acceptor;
pub use accept::Readiness;
pub use adapter_usage::AdapterUsage;
pub use adapter_waits::AdapterWaits;
pub use answer::Body;
pub use answer::Refusal;
pub use context::ControllerRequests;
pub use context::Gateway;
pub use context::GatewayConfig;
pub use dialect::AnswerHead;
pub use dialect::CallerHead;
pub use dialect::Dialect;
pub use dialect::EngineDialect;
pub use dialect::ForwardMetadata;
pub use dialect::NamedLimit;
pub use dialect::ServerLoad;
pub use quota::BucketReachability;
pub use quota::Quota;
pub use quota::account_limit_history;
pub use quota::fleet_share;
pub use stream_origins::LookupFuture;
pub use stream_origins::StreamLookup;
