//! Decides whether a controller publishes the state that it has applied.
//!
//! After a start a controller has what its disk holds. The newest changes that were acknowledged may be
//! missing there, and which of its entries are committed is only known from a leader. A VM that took such a
//! state for the one in force would refuse requests that a newer one allows.

use super::control_core::QUORUM_CONTACT_MAX_AGE_MS;
use super::failover_server::is_without_leader;
use crate::consensus::Status;
use crate::gateway::grace_period;

/// Time without a leader after which a controller that has just started publishes what its disk holds, so that a
/// data centre that is cut off is served.
pub const UNCONFIRMED_DELAY_MS: u64 = grace_period::UNCONFIRMED_MS;

/// What other VMs may learn of a controller's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Publication {
    /// Nothing: the state may be about to be replaced by a newer one.
    Withheld,
    /// The state, as one that may be outdated.
    Unconfirmed,
    /// The state, which held everything that was committed a moment ago.
    Confirmed,
}

impl Publication {
    /// What a controller with this log publishes `uptime_ms` after its start.
    pub fn of(status: &Status, uptime_ms: u64) -> Self {
        if status.confirmed_age_ms <= QUORUM_CONTACT_MAX_AGE_MS {
            return Self::Confirmed;
        }
        let was_confirmed = status.confirmed_age_ms < u64::MAX;
        let alone_ms = status.quorum_contact_age_ms.min(uptime_ms);
        let may_publish = was_confirmed || alone_ms >= UNCONFIRMED_DELAY_MS;
        match is_without_leader(status) && may_publish {
            true => Self::Unconfirmed,
            false => Self::Withheld,
        }
    }
}
