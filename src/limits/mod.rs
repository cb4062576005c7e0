//! Fleet-wide rate and burst per client account: one token bucket per account and data centre at
//! the coordinator, short-lived grants to the VMs.
//!
//! Tokens count as used when they are reserved. For any window `[a, b]` the tokens that end up used
//! from reservations in it never exceed `rate * (b - a) + burst`.

mod allowance;
mod bank;
mod bucket;
mod client;
mod dispenser;
mod message;
mod purse;
mod returns;
mod server;
mod settlement;
mod version;

pub use allowance::Allowance;
pub use allowance::Lot;
pub use allowance::Reservation;
pub use bucket::TokenBucket;
pub use client::Client;
pub use client::ClientConfig;
pub use dispenser::Desk;
pub use dispenser::Dispenser;
pub use message::Ask;
pub use message::BORROW_FORMAT;
pub use message::BorrowPeers;
pub use message::BorrowReply;
pub use message::BorrowRequest;
pub use message::GrantId;
pub use message::Granted;
pub use message::NoCoordinator;
pub use message::Return;
pub use purse::Borrowing;
pub use purse::Errand;
pub use purse::Purse;
pub use purse::Shortage;
pub use purse::Step;
pub use returns::Returns;
pub use server::LeaseView;
pub use server::Server;
pub use settlement::Settlement;
pub use version::History;
pub use version::LimitVersion;
pub use version::MAX_LIFETIME_MS;
pub use version::NANO;
pub use version::Share;
pub use version::WHOLE_PPM;
