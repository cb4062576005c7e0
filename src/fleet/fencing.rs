//! Decides how long a controller goes on giving orders to the engines of a data centre.
//!
//! The replicated log assigns the orders with a fence that rises with each assignment. Engines that
//! check fences turn away a former holder themselves. Its orders then do no harm, so a holder goes on
//! while it hears of no leader, and a new one begins at once: a core that is cut in two would
//! otherwise load no adapters. Engines that check nothing depend on time: the holder stops once it has
//! not heard a quorum for a while, and the next one waits until the last order is old enough.

use super::control_core::QUORUM_CONTACT_MAX_AGE_MS;
use super::leader_tasks::HOLDER_TIMEOUT_MS;

/// Time added to the wait for a former holder's last order.
const TAKEOVER_MARGIN_MS: u64 = 200;

/// How engines tell the orders of two holders apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// They refuse a lower fence than one they have seen.
    Checked,
    /// They check nothing; this much time has to pass between the orders of two holders.
    Timed {
        /// The time.
        lease_ms: u64,
    },
}

/// What a holder knows of its assignment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AssignmentStatus {
    /// Whether the log, as far as it is applied here, still names this VM with the same fence.
    pub is_assigned: bool,
    /// Whether a quorum has confirmed the log's state just now.
    pub has_recent_quorum: bool,
    /// Whether an engine has seen a higher fence.
    pub is_fenced_off: bool,
    /// Whether it stops without a leader although engines check fences.
    pub needs_leader: bool,
}

impl Fencing {
    /// Whether a holder goes on.
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

    /// Whether a holder begins under an assignment that its own disk shows, before it has heard a
    /// quorum since its start. An engine that knows a later holder turns it away.
    pub fn may_resume(self, is_first_quorum_awaited: bool, was_fenced_off: bool) -> bool {
        self == Self::Checked && is_first_quorum_awaited && !was_fenced_off
    }

    /// Time from an assignment to the first order of a holder that took over from another one. The
    /// former holder stops once it has not heard a quorum for a while, and was silent for longer when
    /// it was replaced.
    pub fn takeover_delay_ms(self) -> u64 {
        match self {
            Self::Checked => 0,
            Self::Timed { lease_ms } => {
                let last_order_ms = QUORUM_CONTACT_MAX_AGE_MS + lease_ms + TAKEOVER_MARGIN_MS;
                last_order_ms.saturating_sub(HOLDER_TIMEOUT_MS)
            }
        }
    }

    /// Uptime up to which a process may follow one that gave orders under the same assignment.
    pub fn restart_window_ms(self) -> u64 {
        match self {
            Self::Checked => 0,
            Self::Timed { lease_ms } => lease_ms,
        }
    }
}
