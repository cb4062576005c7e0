//! Health of a VM: whether it may accept work.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crate::consensus;
use crate::lease;
use crate::pipeline::Health;
use crate::types::Refusal;
use crate::types::RefusalCode;

/// Time without contact after which the VM counts as cut off. Readiness must fail within 3,000 ms
/// after contact is lost.
const CUT_OFF_MS: u64 = 2_500;
/// Retry delay in refusals, after which a caller may try another VM.
const RETRY_AFTER_MS: u64 = 1_000;

/// Lifecycle phase of a VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum Phase {
    /// Accepts work.
    Open = 0,
    /// Accepts work but fails readiness, so that the load balancer sends no more.
    Unready = 1,
    /// Refuses new work and finishes the work in progress.
    Closed = 2,
}

/// Tracks the lifecycle phase of the VM and its contact with other VMs.
pub struct VmHealth {
    phase: AtomicU8,
    caught_up: AtomicBool,
    log: consensus::Handle,
    lease: lease::Handle,
}

impl VmHealth {
    /// Creates the health state of an open VM that has not caught up.
    pub fn new(log: consensus::Handle, lease: lease::Handle) -> Self {
        Self {
            phase: AtomicU8::new(Phase::Open as u8),
            caught_up: AtomicBool::new(false),
            log,
            lease,
        }
    }

    /// Advances to `phase`; a phase before the current one is ignored.
    pub fn enter(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
    }

    /// Records that the VM has applied the log up to an index committed by a quorum after its
    /// start.
    pub fn set_caught_up(&self) {
        self.caught_up.store(true, Ordering::SeqCst);
    }

    /// Whether new work is refused.
    pub fn is_closed(&self) -> bool {
        self.phase.load(Ordering::SeqCst) >= Phase::Closed as u8
    }

    /// Whether the quorum of the replicated log is unreachable.
    pub fn is_cut_off(&self) -> bool {
        self.log.status().quorum_contact_age_ms > CUT_OFF_MS
    }

    /// Whether both the quorum of the log and the majority of the data centre are unreachable.
    pub fn is_isolated(&self) -> bool {
        self.is_cut_off() && self.lease.majority_contact_age_ms() > CUT_OFF_MS
    }

    /// Checks that the VM has caught up and is not isolated. A VM that has not caught up would
    /// reject valid keys as unknown.
    fn check_contact(&self) -> Result<(), Refusal> {
        if !self.caught_up.load(Ordering::SeqCst) {
            let message = "the VM has not caught up with the replicated log since its start";
            return Err(refuse(RefusalCode::Isolated, message));
        }
        if self.is_isolated() {
            let message = "the VM has lost contact with the other VMs";
            return Err(refuse(RefusalCode::Isolated, message));
        }
        Ok(())
    }
}

impl Health for VmHealth {
    fn check_open(&self, serve_when_cut_off: bool) -> Result<(), Refusal> {
        if self.is_closed() {
            return Err(refuse(RefusalCode::Draining, "the VM is shutting down"));
        }
        self.check_contact()?;
        if !serve_when_cut_off && self.is_cut_off() {
            let message = "the data centre is cut off and the account refuses service then";
            return Err(refuse(RefusalCode::Isolated, message));
        }
        Ok(())
    }

    fn check_ready(&self) -> Result<(), Refusal> {
        if self.phase.load(Ordering::SeqCst) >= Phase::Unready as u8 {
            return Err(refuse(RefusalCode::Draining, "the VM is shutting down"));
        }
        self.check_contact()
    }
}

fn refuse(code: RefusalCode, message: &str) -> Refusal {
    Refusal::not_run(code, message).with_retry_after_ms(RETRY_AFTER_MS)
}
