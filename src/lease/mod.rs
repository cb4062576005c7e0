//! Coordinator lease: at most one coordinator per data centre, elected by a majority of its VMs.
//!
//! Majorities of consecutive rosters intersect, but those of rosters two changes apart may not.
//! A roster is therefore changed only after a holder of the lease has reported the previous change
//! as settled ([`HeldLease::settled_index`]).

mod candidate;
mod driver;
mod elector;
mod grantor;
mod message;
mod roster;

pub use candidate::Candidate;
pub use candidate::Holder;
pub use candidate::Timing;
pub use driver::Config;
pub use driver::Handle;
pub use driver::spawn;
pub use elector::Elector;
pub use elector::ElectorConfig;
pub use elector::HeldLease;
pub use elector::Outgoing;
pub use grantor::Grantor;
pub use grantor::SUCCESSOR_RESERVATION_MS;
pub use grantor::Vote;
pub use message::Identity;
pub use message::LEASE_FORMAT;
pub use message::LeaseAnswer;
pub use message::LeaseReply;
pub use message::LeaseRequest;
pub use message::LeaseRequestKind;
pub use message::LeaseSendError;
pub use message::LeaseTransport;
pub use roster::Roster;
