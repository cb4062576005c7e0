//! Quarantine of requests that crash backend servers, by the crash reports in the membership table.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::membership;
use crate::membership::ClearedCause;
use crate::membership::CrashCauses;
use crate::membership::CrashRecords;
use crate::membership::CrashReport;
use crate::membership::Fingerprint;
use crate::membership::Verdict;
use crate::pipeline::Quarantine;
use crate::scheduling::crash_evidence;
use crate::scheduling::crash_evidence::CLEARING_MS;
use crate::scheduling::crash_evidence::ClearedFeature;
use crate::scheduling::crash_evidence::CrashEvidence;
use crate::scheduling::crash_evidence::Progress;
use crate::types::Clock;
use crate::types::Feature;
use crate::types::MonoMs;
use crate::types::RequestFeatures;
use crate::types::ServerName;
use crate::types::UnixMs;

/// Evidence of all VMs. Its times are wall clock times, which VMs have in common.
#[derive(Debug, Default)]
struct Evidence {
    known: CrashEvidence,
    /// Records of the membership table that it contains.
    applied: Arc<CrashRecords>,
}

/// Quarantine of requests.
pub struct MembershipQuarantine {
    /// Cluster membership.
    members: membership::Handle,
    /// Clock of this VM.
    clock: Clock,
    evidence: Mutex<Evidence>,
}

impl MembershipQuarantine {
    /// Creates the quarantine of a VM.
    pub fn new(members: membership::Handle, clock: Clock) -> Self {
        Self {
            members,
            clock,
            evidence: Mutex::default(),
        }
    }

    fn now(&self) -> MonoMs {
        MonoMs(self.clock.unix().0)
    }

    /// The evidence with all records of the membership table. Passes on what this VM knows to be no
    /// cause and others may not know.
    fn evidence(&self) -> MutexGuard<'_, Evidence> {
        let records = Arc::clone(&self.members.snapshot().crashes);
        let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        if Arc::ptr_eq(&records, &evidence.applied) {
            return evidence;
        }
        let now = self.now();
        for cleared in &records.cleared {
            let cleared = ClearedFeature {
                feature: cleared.feature,
                age_ms: now.0.saturating_sub(cleared.at.0),
            };
            evidence.known.apply_cleared(&cleared, now);
        }
        let mut cleared = Vec::new();
        for causes in &records.causes {
            let recorded = evidence.known.record_crash(&report(causes, now), now);
            cleared.extend(recorded.cleared);
        }
        self.pass_on(&cleared, &records, now);
        evidence.applied = records;
        evidence
    }

    /// Passes on cleared features unless a recent record does so.
    fn pass_on(&self, cleared: &[ClearedFeature], records: &CrashRecords, now: MonoMs) {
        let recent = records.cleared.iter().filter(|known| {
            let age_ms = now.0.saturating_sub(known.at.0);
            age_ms < CLEARING_MS / 2
        });
        let mut passed_on: HashSet<Feature> = recent.map(|known| known.feature).collect();
        for cleared in cleared {
            if passed_on.insert(cleared.feature) {
                self.members.report_cleared(ClearedCause {
                    feature: cleared.feature,
                    at: UnixMs(now.0.saturating_sub(cleared.age_ms)),
                });
            }
        }
    }
}

impl Quarantine for MembershipQuarantine {
    fn verdict(&self, fingerprint: &Fingerprint) -> Verdict {
        let snapshot = self.members.snapshot();
        snapshot.quarantine.verdict(fingerprint, self.clock.unix())
    }

    fn report(&self, fingerprint: Fingerprint, server: &ServerName, incarnation: u64) {
        log::warn!(
            "quarantine: server {server} crashed while it ran a request; reporting the request"
        );
        self.members.report_crash(CrashReport {
            fingerprint,
            server: server.clone(),
            incarnation,
            at: self.clock.unix(),
        });
    }

    fn refused_until(&self, features: &RequestFeatures) -> Option<UnixMs> {
        let evidence = self.evidence();
        let quarantined = evidence.known.quarantine(features, self.now())?;
        log::warn!(
            "quarantine: refusing a request with feature {}, which {} crashed servers have in common",
            quarantined.feature,
            quarantined.crashes
        );
        Some(UnixMs(quarantined.until.0))
    }

    fn report_causes(
        &self,
        features: &RequestFeatures,
        progress: Progress,
        server: &ServerName,
        incarnation: u64,
    ) {
        let parts = features.parts.iter().copied();
        let mut causes = CrashCauses {
            server: server.clone(),
            incarnation,
            at: self.clock.unix(),
            progress,
            features: parts.chain([features.request]).collect(),
        };
        let now = self.now();
        let mut evidence = self.evidence();
        let recorded = evidence.known.record_crash(&report(&causes, now), now);
        drop(evidence);
        if let Some(new) = recorded.new {
            causes.features = new.features;
            self.members.report_causes(causes);
        }
    }

    fn record_begun(&self, features: &RequestFeatures) {
        let now = self.now();
        let mut evidence = self.evidence();
        let cleared = evidence.known.record_begun(features, now);
        let records = Arc::clone(&evidence.applied);
        drop(evidence);
        self.pass_on(&cleared, &records, now);
    }
}

fn report(causes: &CrashCauses, now: MonoMs) -> crash_evidence::CrashReport {
    crash_evidence::CrashReport {
        server: causes.server.clone(),
        started_unix_ms: causes.incarnation,
        age_ms: now.0.saturating_sub(causes.at.0),
        progress: causes.progress,
        features: causes.features.clone(),
    }
}
