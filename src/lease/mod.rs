//! The coordinator lease: at most one coordinator per data centre, elected by a majority of its VMs.

mod message;

pub use message::Identity;
pub use message::LEASE_FORMAT;
pub use message::LeaseAnswer;
pub use message::LeasePeers;
pub use message::LeaseReply;
pub use message::LeaseRequest;
pub use message::LeaseRequestKind;
pub use message::NoReply;
