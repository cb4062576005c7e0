//! Who is there: VMs and backend servers, spread by gossip, with a failure detector; and facts that
//! spread the same way (crash reports, local key withdrawals).

mod entry;
mod message;
mod quarantine;

pub use entry::Announcement;
pub use entry::Liveness;
pub use entry::Member;
pub use entry::ServerKind;
pub use entry::ServerLoad;
pub use entry::ServerPayload;
pub use entry::View;
pub use entry::VmPayload;
pub use entry::VmStatus;
pub use message::Beat;
pub use message::Delta;
pub use message::Digest;
pub use message::Entry;
pub use message::Fact;
pub use message::GOSSIP_FORMAT;
pub use message::GossipPeers;
pub use message::Marks;
pub use message::News;
pub use message::NoGossip;
pub use message::Withdrawal;
pub use quarantine::CrashReport;
pub use quarantine::FIRST_QUARANTINE_MS;
pub use quarantine::Fingerprint;
pub use quarantine::Lift;
pub use quarantine::MAX_QUARANTINE_MS;
pub use quarantine::QUARANTINE_CRASHES;
pub use quarantine::REPORT_LIFETIME_MS;
pub use quarantine::Verdict;
