//! Whether the VM may accept work.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crate::consensus;
use crate::lease;
use crate::pipeline::Health;
use crate::types::Refusal;
use crate::types::RefusalCode;

/// Time without contact after which the VM counts itself as cut off. Readiness must fail within
/// 3,000 ms of the loss.
const CUT_OFF_MS: u64 = 2_500;
/// Time after which a caller may try another VM.
const RETRY_AFTER_MS: u64 = 1_000;

/// Phase of the VM's life.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum Phase {
    /// Accepts work.
    Open = 0,
    /// Accepts work and tells the load balancer to send no more.
    Unready = 1,
    /// Refuses new work and finishes what it has.
    Closed = 2,
}

/// Judges the VM's phase and its contact with others.
pub struct VmHealth {
    phase: AtomicU8,
    caught_up: AtomicBool,
    log: consensus::Handle,
    lease: lease::Handle,
}

impl VmHealth {
    /// An open VM.
    pub fn new(log: consensus::Handle, lease: lease::Handle) -> Self {
        Self {
            phase: AtomicU8::new(Phase::Open as u8),
            caught_up: AtomicBool::new(false),
            log,
            lease,
        }
    }

    /// Moves to a later phase; an earlier one is ignored.
    pub fn enter(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
    }

    /// Notes that the VM has applied the log up to what a quorum had committed after its start.
    pub fn set_caught_up(&self) {
        self.caught_up.store(true, Ordering::SeqCst);
    }

    /// Whether new work is refused.
    pub fn is_closed(&self) -> bool {
        self.phase.load(Ordering::SeqCst) >= Phase::Closed as u8
    }

    /// Whether the replicated log's quorum is out of reach.
    pub fn is_cut_off(&self) -> bool {
        self.log.status().quorum_contact_age_ms > CUT_OFF_MS
    }

    /// Whether the VM has lost both the log's quorum and the majority of its data centre.
    pub fn is_isolated(&self) -> bool {
        self.is_cut_off() && self.lease.majority_contact_age_ms() > CUT_OFF_MS
    }

    /// A VM that has not caught up would take live keys for unknown ones.
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
