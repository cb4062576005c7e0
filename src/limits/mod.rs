//! Fleet-wide rate and burst per client account: one token bucket per account and data centre at
//! the coordinator, short-lived grants to the VMs.
//!
//! Tokens count as used when they are reserved. For any window `[a, b]` the tokens that end up used
//! from reservations in it never exceed `rate * (b - a) + burst`.

mod message;
mod version;

pub use message::Ask;
pub use message::BORROW_FORMAT;
pub use message::BorrowPeers;
pub use message::BorrowReply;
pub use message::BorrowRequest;
pub use message::GrantId;
pub use message::Granted;
pub use message::NoCoordinator;
pub use message::Return;
pub use version::History;
pub use version::LimitVersion;
pub use version::MAX_LIFETIME_MS;
pub use version::NANO;
pub use version::Share;
pub use version::WHOLE_PPM;
