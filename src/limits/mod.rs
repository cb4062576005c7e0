//! Fleet-wide rate and burst limits per client account: each data centre's coordinator has one
//! token bucket per account and issues short-lived grants to the VMs.
//!
//! `retry_budget` bounds the retries of all VMs together.
//!
//! The same buckets keep the limits that backend servers name on their requests (`server_limit`).
//! `server_rest` keeps the times for which they want no requests at all.
//!
//! Tokens count as used when they are reserved. For any window `[a, b]`, the tokens used from
//! reservations made in it never exceed `rate * (b - a) + burst`.

mod allowance;
mod bucket;
mod bucket_estimate;
mod client;
mod fleet_size;
mod issuer;
mod message;
mod retry_budget;
mod returns;
mod server;
mod server_limit;
mod server_rest;
mod settlement;
mod token_cache;
mod version;

pub use allowance::Allowance;
pub use allowance::HeldGrant;
pub use allowance::Reservation;
pub use bucket::TokenBucket;
pub use client::Client;
pub use client::ClientConfig;
pub use fleet_size::FleetSize;
pub use issuer::LeasedIssuer;
pub use issuer::TokenIssuer;
pub use message::Ask;
pub use message::BORROW_FORMAT;
pub use message::BorrowPeers;
pub use message::BorrowReply;
pub use message::BorrowRequest;
pub use message::GrantId;
pub use message::Granted;
pub use message::NoCoordinator;
pub use message::Return;
pub use retry_budget::RetryBudget;
pub use retry_budget::RetryLimit;
pub use retry_budget::retry_bucket;
pub use returns::Returns;
pub use server::LeaseView;
pub use server::Server;
pub use server_limit::ServerBucket;
pub use server_limit::ServerLimitState;
pub use server_limit::server_bucket;
pub use server_limit::server_limit_version;
pub use server_rest::AskedRest;
pub use server_rest::MAX_REST_MS;
pub use server_rest::ServerRest;
pub use settlement::Settlement;
pub use token_cache::BorrowCall;
pub use token_cache::Borrowing;
pub use token_cache::Shortage;
pub use token_cache::Step;
pub use token_cache::TokenCache;
pub use version::History;
pub use version::LimitVersion;
pub use version::MAX_LIFETIME_MS;
pub use version::NANO;
pub use version::Share;
pub use version::WHOLE_PPM;
