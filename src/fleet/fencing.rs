//! Decides when a controller may send orders to the engines of a data centre.
//!
//! The replicated log assigns the orders of a data centre to one controller, the holder, with a
//! fencing token (fence) that rises with each assignment. Engines that check fences reject the orders
//! of a former holder. Such orders are harmless, so a holder continues while there is no leader, and a
//! new holder starts at once: otherwise no adapters could be loaded while a network partition splits
//! the controllers into equal halves. With engines that do not check fences, time has to separate two
//! holders: a holder stops once its last contact with a quorum is too old, and its successor waits
//! until the last possible order is old enough.

use super::control_core::QUORUM_CONTACT_MAX_AGE_MS;

/// Silence of a holder after which the orders of its data centre are assigned to another VM.
pub const HOLDER_TIMEOUT_MS: u64 = 1_600;
/// Safety margin on the time that passes after the last possible order of a former holder.
const TAKEOVER_MARGIN_MS: u64 = 200;

/// How orders of a former holder are kept apart from those of its successor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// Engines reject orders with a lower fence than the highest one received.
    Checked,
    /// Engines do not check fences; the lease time has to pass between the orders of two holders.
    Timed {
        /// Least time between the last order of one holder and the first order of the next.
        lease_ms: u64,
    },
}

/// Whether a holder is lost, so that another controller takes over its orders: it is no member of the log any
/// more, shuts down, or has been silent for [`HOLDER_TIMEOUT_MS`]. A member without a vote may still be in contact and
/// send orders, so its successor could not rely on that silence.
pub fn is_holder_lost(is_member: bool, is_leaving: bool, silence_ms: u64) -> bool {
    !is_member || is_leaving || silence_ms >= HOLDER_TIMEOUT_MS
}

/// What a holder knows about its assignment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AssignmentStatus {
    /// Whether the log, as applied on this VM, still assigns the orders to it with the same fence.
    pub is_assigned: bool,
    /// Whether the last contact with a quorum is recent.
    pub has_recent_quorum: bool,
    /// Whether an engine has received a higher fence.
    pub is_fenced_off: bool,
    /// Whether the holder stops without a leader even if engines check fences.
    pub needs_leader: bool,
}

impl Fencing {
    /// Whether a holder may continue to send orders.
    pub fn may_continue(self, status: AssignmentStatus) -> bool {
        let is_safe = match self {
            Self::Checked if status.needs_leader => {
                status.has_recent_quorum && !status.is_fenced_off
            }
            Self::Checked => !status.is_fenced_off,
            Self::Timed { .. } => status.has_recent_quorum,
        };
        status.is_assigned && is_safe
    }

    /// Whether a holder may resume under an assignment read from its own disk, before its first
    /// contact with a quorum since the start. Engines that know a later holder reject its orders.
    pub fn may_resume(self, is_first_quorum_awaited: bool, was_fenced_off: bool) -> bool {
        self == Self::Checked && is_first_quorum_awaited && !was_fenced_off
    }

    /// Time from an assignment to the first order of a holder that takes over from another one. The
    /// former holder stops once its last contact with a quorum is too old, and had been silent for
    /// longer than that when it was replaced.
    pub fn takeover_delay_ms(self) -> u64 {
        match self {
            Self::Checked => 0,
            Self::Timed { lease_ms } => {
                let last_order_ms = QUORUM_CONTACT_MAX_AGE_MS + lease_ms + TAKEOVER_MARGIN_MS;
                last_order_ms.saturating_sub(HOLDER_TIMEOUT_MS)
            }
        }
    }

    /// Uptime up to which an order of this VM's previous process, under the same assignment, may be
    /// younger than the lease time.
    pub fn restart_window_ms(self) -> u64 {
        match self {
            Self::Checked => 0,
            Self::Timed { lease_ms } => lease_ms,
        }
    }
}
