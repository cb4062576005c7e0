//! Crashes of servers that break the connections of requests: whether the server has really crashed,
//! what may have caused it, and which requests must not be sent because of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use serde::Serialize;
use tokio::time::sleep;

use super::answer::Refusal;
use super::context::Gateway;
use super::record::RequestRecord;
use crate::events::Event;
use crate::events::Severity;
use crate::mechanisms::Mechanism;
use crate::registry::Announcement;
use crate::scheduling::crash_evidence::ClearedFeature;
use crate::scheduling::crash_evidence::CrashEvidence;
use crate::scheduling::crash_evidence::CrashReport;
use crate::scheduling::crash_evidence::Progress;
use crate::scheduling::crash_evidence::Quarantined;
use crate::types::Feature;
use crate::types::MonoMs;
use crate::types::RequestFeatures;
use crate::types::ServerName;

/// Time in which the connections that a crash breaks are collected.
const COLLECT_MS: u64 = 15;
/// Connection timeout of the check whether a server is up.
const CHECK_TIMEOUT_MS: u64 = 300;
/// Time for which a connection to a server that is up stays open without a request.
const STAYS_OPEN_MS: u64 = 40;

/// Log line: a server crashed while requests waited for their answers to begin.
#[derive(Clone, Debug, Serialize)]
struct CrashLine {
    server: ServerName,
    started_unix_ms: u64,
    progress: Progress,
    /// Features of these requests.
    features: Vec<Feature>,
    /// Whether this VM or a controller told of it.
    source: &'static str,
}

impl Event for CrashLine {
    const KIND: &'static str = "crash";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Log line: features are no longer possible causes of crashes.
#[derive(Clone, Debug, Serialize)]
struct ClearedLine {
    features: Vec<Feature>,
    source: &'static str,
}

impl Event for ClearedLine {
    const KIND: &'static str = "crash_cleared";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Requests whose connections to one server process broke.
#[derive(Debug)]
struct Broken {
    at: MonoMs,
    requests: Vec<(Progress, Arc<RequestFeatures>)>,
}

/// Crashes as far as this VM knows.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    evidence: Mutex<CrashEvidence>,
    /// Broken connections by server process, until it is known whether the server has crashed.
    unconfirmed: Mutex<HashMap<(ServerName, u64), Broken>>,
}

impl Crashes {
    fn evidence(&self) -> MutexGuard<'_, CrashEvidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unconfirmed(&self) -> MutexGuard<'_, HashMap<(ServerName, u64), Broken>> {
        let unconfirmed = self.unconfirmed.lock();
        unconfirmed.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that the connection of a request broke before its answer had begun, and reports a crash
/// if the server is down.
pub(super) fn on_broken(
    gateway: &Arc<Gateway>,
    target: &Announcement,
    features: &Arc<RequestFeatures>,
    progress: Progress,
) {
    let key = (target.server.clone(), target.started_unix_ms);
    let mut unconfirmed = gateway.crashes.unconfirmed();
    let is_first = !unconfirmed.contains_key(&key);
    let broken = unconfirmed.entry(key).or_insert_with(|| Broken {
        at: gateway.now(),
        requests: Vec::new(),
    });
    broken.requests.push((progress, Arc::clone(features)));
    drop(unconfirmed);
    if is_first {
        let gateway = Arc::clone(gateway);
        tokio::spawn(report_if_crashed(gateway, target.clone()));
    }
}

async fn report_if_crashed(gateway: Arc<Gateway>, target: Announcement) {
    sleep(Duration::from_millis(COLLECT_MS)).await;
    let is_up = is_up(&gateway, &target).await;
    let key = (target.server, target.started_unix_ms);
    let broken = gateway.crashes.unconfirmed().remove(&key);
    let Some(broken) = broken.filter(|_| !is_up) else {
        return;
    };
    let (server, started_unix_ms) = key;
    let age_ms = gateway.now().since(broken.at);
    let reports = [Progress::Answering, Progress::Waiting].map(|progress| CrashReport {
        server: server.clone(),
        started_unix_ms,
        age_ms,
        progress,
        features: features(&broken.requests, progress),
    });
    gateway.report_crashes(&reports);
}

/// Whether a server accepts connections and keeps them open. A connection alone is no proof: a proxy
/// may accept it.
async fn is_up(gateway: &Gateway, target: &Announcement) -> bool {
    let timeout = Duration::from_millis(CHECK_TIMEOUT_MS);
    let Ok(connection) = gateway.connect(target.address, timeout).await else {
        return false;
    };
    sleep(Duration::from_millis(STAYS_OPEN_MS)).await;
    !connection.sender.is_closed()
}

fn features(requests: &[(Progress, Arc<RequestFeatures>)], progress: Progress) -> Vec<Feature> {
    let requests = requests.iter().filter(|(known, _)| *known == progress);
    let features = requests.flat_map(|(_, features)| {
        let parts = features.parts.iter().copied();
        parts.chain([features.request])
    });
    let mut features: Vec<Feature> = features.collect();
    features.sort_unstable();
    features.dedup();
    features
}

impl Gateway {
    /// Applies crashes that other VMs reported.
    pub fn apply_crash_reports(&self, reports: &[CrashReport]) {
        self.record_crashes(reports, "controller");
    }

    /// Applies what other VMs know to be no cause of crashes.
    pub fn apply_cleared(&self, cleared: &[ClearedFeature]) {
        let now = self.now();
        let mut evidence = self.crashes.evidence();
        let changed = cleared
            .iter()
            .filter(|cleared| evidence.apply_cleared(cleared, now));
        let features = changed.map(|cleared| cleared.feature).collect();
        drop(evidence);
        self.log_cleared(features, "controller");
    }

    /// Crashes that are not explained, for the controllers.
    pub fn crash_reports(&self) -> Vec<CrashReport> {
        self.crashes.evidence().reports(self.now())
    }

    /// Records that the answer to a request has begun.
    pub(super) fn record_begun(&self, features: &RequestFeatures) {
        let cleared = self.crashes.evidence().record_begun(features, self.now());
        if cleared.is_empty() {
            return;
        }
        let features = cleared.iter().map(|cleared| cleared.feature).collect();
        self.log_cleared(features, "answer");
        self.controllers.report_cleared(cleared);
    }

    /// Refuses a request that crashes servers.
    pub(super) fn check_quarantine(
        &self,
        features: &RequestFeatures,
        record: &mut RequestRecord,
    ) -> Result<(), Refusal> {
        if !self.is_enabled(Mechanism::CrashQuarantine) {
            return Ok(());
        }
        let now = self.now();
        let Some(quarantined) = self.crashes.evidence().quarantine(features, now) else {
            return Ok(());
        };
        let Quarantined { feature, until, .. } = quarantined;
        record.quarantined = Some(feature);
        record.crashes = quarantined.crashes;
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Refusal::not_run(status, "quarantined", until.since(now)))
    }

    fn report_crashes(&self, reports: &[CrashReport]) {
        let new = self.record_crashes(reports, "connection");
        if !new.is_empty() {
            self.controllers.report_crashes(new);
        }
    }

    /// Adds reports, passes on what this VM knows to be no cause, and returns what was not known.
    fn record_crashes(&self, reports: &[CrashReport], source: &'static str) -> Vec<CrashReport> {
        let now = self.now();
        let mut new = Vec::new();
        let mut cleared = Vec::new();
        for report in reports {
            let recorded = self.crashes.evidence().record_crash(report, now);
            new.extend(recorded.new);
            cleared.extend(recorded.cleared);
        }
        for report in &new {
            self.events().emit(&CrashLine {
                server: report.server.clone(),
                started_unix_ms: report.started_unix_ms,
                progress: report.progress,
                features: report.features.clone(),
                source,
            });
        }
        if !cleared.is_empty() {
            self.controllers.report_cleared(cleared);
        }
        new
    }

    fn log_cleared(&self, features: Vec<Feature>, source: &'static str) {
        if !features.is_empty() {
            self.events().emit(&ClearedLine { features, source });
        }
    }
}
