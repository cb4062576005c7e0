//! Passes reports of crashes, and of what did not cause them, from each VM to all others.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use super::control_core::Core;
use crate::link::Frame;
use crate::link::Session;
use crate::scheduling::crash_evidence::ClearedFeature;
use crate::scheduling::crash_evidence::CrashEvidence;
use crate::scheduling::crash_evidence::CrashReport;

/// Crashes that VMs reported to a controller.
#[derive(Debug, Default)]
pub(super) struct CrashReports {
    evidence: Mutex<CrashEvidence>,
}

impl CrashReports {
    fn evidence(&self) -> MutexGuard<'_, CrashEvidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Core {
    /// Reports for a VM that has opened a link.
    pub(super) fn crash_reports(&self) -> Vec<CrashReport> {
        self.crashes.evidence().reports(self.now())
    }

    /// Applies reports and passes on those that are new.
    pub(super) fn on_crash_reports(&self, session: &Session, reports: Vec<CrashReport>) {
        let now = self.now();
        let mut evidence = self.crashes.evidence();
        let mut new = Vec::new();
        let mut cleared = Vec::new();
        for report in reports {
            let recorded = evidence.record_crash(&report, now);
            new.extend(recorded.new);
            cleared.extend(recorded.cleared);
        }
        drop(evidence);
        if !new.is_empty() {
            self.pass_on(session, &Frame::Crashes(new));
        }
        if !cleared.is_empty() {
            session.send(&Frame::CrashCleared(cleared));
        }
    }

    /// Applies what is known to be no cause and passes on what is new.
    pub(super) fn on_crash_cleared(&self, session: &Session, cleared: Vec<ClearedFeature>) {
        let now = self.now();
        let mut evidence = self.crashes.evidence();
        let mut is_new = |cleared: &ClearedFeature| evidence.apply_cleared(cleared, now);
        let new: Vec<ClearedFeature> = cleared.into_iter().filter(|one| is_new(one)).collect();
        drop(evidence);
        if !new.is_empty() {
            self.pass_on(session, &Frame::CrashCleared(new));
        }
    }

    /// Sends a frame to all linked VMs but its sender. Controllers are included, since an entry VM
    /// may be linked to only some of them.
    fn pass_on(&self, from: &Session, frame: &Frame) {
        let from = from.id();
        self.links
            .broadcast(&frame.encode(), |session| session.id() != from);
    }
}
