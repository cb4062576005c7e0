//! Finds out what crashes servers from the requests that ran on them.
//!
//! Load pattern: a few requests have something in common that crashes each server that begins to
//! answer them, otherwise they are all different and arrive at any VM. Requests without it share
//! everything else with them and arrive far more often.
//!
//! A request whose answer had not begun when its server crashed may be the cause, and so may each
//! feature that it shares with others. A feature of a request whose answer begins is no cause. What
//! remains after several crashes is. A request is refused for the crashes that nothing which it lacks
//! explains as well; while it lacks something, its own outcome tells the causes apart. Requests are
//! refused for a short time only while no answer begins at all: the servers may crash for another
//! reason.

use std::collections::BTreeSet;
use std::collections::HashMap;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::types::Feature;
use crate::types::MonoMs;
use crate::types::RequestFeatures;
use crate::types::ServerName;

/// Time before a crash in which the begin of an answer clears the features of its request.
pub const CLEARING_MS: u64 = 30_000;
/// Time after a crash for which requests are refused because of it.
pub const QUARANTINE_MS: u64 = 10 * 60_000;
/// The same while no answer begins at all. Servers may then crash for another reason, but answers that
/// could begin need servers that stay up.
const OUTAGE_QUARANTINE_MS: u64 = 8_000;
/// Weight of the crashes of a feature from which on its requests are refused: two crashes while
/// requests were being answered, or four while all waited.
const QUARANTINE_WEIGHT: u64 = 12;
/// Weight of a crash for requests whose answer had a head but no complete event.
const ANSWERING_WEIGHT: u64 = 6;
/// Weight of a crash for requests that waited for their answer. Many do when a server crashes by
/// itself.
const WAITING_WEIGHT: u64 = 3;
/// Time in which crashes with waiting requests only count once: servers that share a power supply
/// or a network crash together.
const SEPARATE_CRASHES_MS: u64 = 1_000;
/// Crashes that are kept.
const MAX_CRASHES: usize = 128;
/// Features that are kept of one crash, for answering and for waiting requests each.
const MAX_FEATURES: usize = 128;
/// Features of begun answers that are kept.
const MAX_BEGUN: usize = 16_384;

/// How far a request was when its server crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Progress {
    /// Nothing of its answer had arrived.
    Waiting,
    /// The head of its answer had arrived, but no complete event.
    Answering,
}

/// A crash of a server and features of the requests that may have caused it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The server.
    pub server: ServerName,
    /// Start time of the process that crashed, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Time since the crash.
    pub age_ms: u64,
    /// Progress of the requests.
    pub progress: Progress,
    /// Features of the requests.
    pub features: Vec<Feature>,
}

/// A feature of a request whose answer has begun.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClearedFeature {
    /// The feature.
    pub feature: Feature,
    /// Time since then.
    pub age_ms: u64,
}

/// Result of a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordedCrash {
    /// The part of the report that was not known, to be passed on.
    pub new: Option<CrashReport>,
    /// Features in it that are known to be no cause, which the reporter may not know.
    pub cleared: Vec<ClearedFeature>,
}

#[derive(Clone, Debug)]
struct Crash {
    at: MonoMs,
    answering: BTreeSet<Feature>,
    waiting: BTreeSet<Feature>,
}

impl Crash {
    /// Features that may have caused the crash.
    fn causes(&self) -> &BTreeSet<Feature> {
        match self.answering.is_empty() {
            true => &self.waiting,
            false => &self.answering,
        }
    }

    fn features(&mut self, progress: Progress) -> &mut BTreeSet<Feature> {
        match progress {
            Progress::Waiting => &mut self.waiting,
            Progress::Answering => &mut self.answering,
        }
    }

    fn is_explained(&self) -> bool {
        self.answering.is_empty() && self.waiting.is_empty()
    }
}

/// Refusal of requests that have everything in common with requests that crashed servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quarantined {
    /// A feature that crashes servers.
    pub feature: Feature,
    /// Number of servers that crashed.
    pub crashes: usize,
    /// End of the refusals.
    pub until: MonoMs,
}

/// Crashes that are not explained yet, and what is known to be no cause.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: IndexMap<(ServerName, u64), Crash>,
    /// Last begin of an answer, by feature.
    begun: HashMap<Feature, MonoMs>,
    /// Last begin of an answer to any request with shared parts.
    last_begun_with_parts: Option<MonoMs>,
    /// Last begin of an answer to any other request. Servers that take these may not take the others.
    last_begun_without: Option<MonoMs>,
}

impl CrashEvidence {
    /// Adds a report.
    pub fn record_crash(&mut self, report: &CrashReport, now: MonoMs) -> RecordedCrash {
        self.expire(now);
        let at = MonoMs(now.0.saturating_sub(report.age_ms));
        let key = (report.server.clone(), report.started_unix_ms);
        let at = self.crashes.get(&key).map_or(at, |crash| crash.at.min(at));
        let mut cleared = Vec::new();
        let mut left = Vec::new();
        for feature in &report.features {
            match self.begun_for(*feature, at) {
                Some(begun) => cleared.push(ClearedFeature {
                    feature: *feature,
                    age_ms: now.since(begun),
                }),
                None => left.push(*feature),
            }
        }
        let new = self.add_causes(key, at, report.progress, left);
        RecordedCrash {
            new: (!new.is_empty()).then(|| CrashReport {
                age_ms: now.since(at),
                features: new,
                ..report.clone()
            }),
            cleared,
        }
    }

    /// Adds features that may have caused a crash and returns those that were not known.
    fn add_causes(
        &mut self,
        key: (ServerName, u64),
        at: MonoMs,
        progress: Progress,
        causes: Vec<Feature>,
    ) -> Vec<Feature> {
        if causes.is_empty() {
            return causes;
        }
        let crash = self.crashes.entry(key).or_insert_with(|| Crash {
            at,
            answering: BTreeSet::new(),
            waiting: BTreeSet::new(),
        });
        crash.at = at;
        let known = crash.features(progress);
        let mut new = causes;
        new.retain(|feature| known.len() < MAX_FEATURES && known.insert(*feature));
        self.limit_crashes();
        new
    }

    /// Records that the answer to a request has begun. Returns what the other VMs have to know: its
    /// features that counted as possible causes until now, and one if answers begin again after a
    /// crash.
    pub fn record_begun(&mut self, features: &RequestFeatures, now: MonoMs) -> Vec<ClearedFeature> {
        let mut cleared = Vec::new();
        match features.parts.first() {
            None => self.last_begun_without = Some(now),
            // The others learn from it that answers begin again.
            Some(first) if self.record_begin_after_crash(now) => cleared.push(*first),
            Some(_) => {}
        }
        for feature in &features.parts {
            if self.clear(*feature, now) && !cleared.contains(feature) {
                cleared.push(*feature);
            }
            self.begun.insert(*feature, now);
        }
        // Few requests are repeated, so the begin of each is not worth remembering.
        if self.clear(features.request, now) {
            cleared.push(features.request);
        }
        self.limit_begun(now);
        let cleared = cleared.into_iter();
        cleared
            .map(|feature| ClearedFeature { feature, age_ms: 0 })
            .collect()
    }

    /// Applies what another VM knows to be no cause. Returns whether it is worth passing on.
    pub fn apply_cleared(&mut self, cleared: &ClearedFeature, now: MonoMs) -> bool {
        let at = MonoMs(now.0.saturating_sub(cleared.age_ms));
        let begun = self.begun.entry(cleared.feature).or_insert(at);
        *begun = at.max(*begun);
        let is_first = self.record_begin_after_crash(at);
        self.clear(cleared.feature, at) || is_first
    }

    /// Records that the answer to a request with shared parts has begun. Returns whether it is the
    /// first one after a crash.
    fn record_begin_after_crash(&mut self, begun: MonoMs) -> bool {
        let newest = self.crashes.values().map(|crash| crash.at).max();
        let last = self.last_begun_with_parts;
        self.last_begun_with_parts = last.max(Some(begun));
        newest.is_some_and(|newest| begun >= newest && last.is_none_or(|last| last < newest))
    }

    /// Whether a request must not be sent.
    pub fn quarantine(&self, features: &RequestFeatures, now: MonoMs) -> Option<Quarantined> {
        if self.crashes.is_empty() {
            return None;
        }
        let own: Vec<Feature> = features
            .parts
            .iter()
            .copied()
            .chain([features.request])
            .collect();
        own.iter()
            .find_map(|feature| self.quarantined_for(*feature, &own, now))
    }

    /// All reports, for a VM that may not know them.
    pub fn reports(&self, now: MonoMs) -> Vec<CrashReport> {
        let reports = self.crashes.iter().flat_map(|((server, started), crash)| {
            let by_progress = [
                (Progress::Answering, &crash.answering),
                (Progress::Waiting, &crash.waiting),
            ];
            let known = by_progress
                .into_iter()
                .filter(|(_, known)| !known.is_empty());
            known.map(|(progress, known)| CrashReport {
                server: server.clone(),
                started_unix_ms: *started,
                age_ms: now.since(crash.at),
                progress,
                features: known.iter().copied().collect(),
            })
        });
        reports.collect()
    }

    /// Refuses a request with the features `own` because of `feature`, if it may have caused enough
    /// crashes that nothing which the request lacks explains as well.
    fn quarantined_for(
        &self,
        feature: Feature,
        own: &[Feature],
        now: MonoMs,
    ) -> Option<Quarantined> {
        let crashes = self.crashes_of(feature, now);
        let support = Support::of(&crashes);
        if support.weight() < QUARANTINE_WEIGHT {
            return None;
        }
        let explains_as_well = |cause: &Feature| {
            !own.contains(cause) && Support::of(&self.crashes_of(*cause, now)).is_at_least(support)
        };
        let is_unexplained = |crash: &&Crash| !crash.causes().iter().any(explains_as_well);
        let crashes: Vec<&Crash> = crashes.into_iter().filter(is_unexplained).collect();
        if Support::of(&crashes).weight() < QUARANTINE_WEIGHT {
            return None;
        }
        let earliest = crashes.iter().map(|crash| crash.at).min()?;
        let last = crashes.iter().map(|crash| crash.at).max()?;
        // A request alone, without parts, is its only feature.
        let last_begun = match own.len() {
            1 => self.last_begun_without,
            _ => self.last_begun_with_parts,
        };
        let has_begun_since = last_begun.is_some_and(|begun| begun >= earliest);
        let until = last.plus(match has_begun_since {
            true => QUARANTINE_MS,
            false => OUTAGE_QUARANTINE_MS,
        });
        (now < until).then_some(Quarantined {
            feature,
            crashes: crashes.len(),
            until,
        })
    }

    /// Crashes that `feature` may have caused.
    fn crashes_of(&self, feature: Feature, now: MonoMs) -> Vec<&Crash> {
        let counts = |crash: &&Crash| {
            now.since(crash.at) < QUARANTINE_MS && crash.causes().contains(&feature)
        };
        self.crashes.values().filter(counts).collect()
    }

    /// Last begin of an answer that shows that `feature` did not cause a crash at `crash_at`.
    fn begun_for(&self, feature: Feature, crash_at: MonoMs) -> Option<MonoMs> {
        let begun = self.begun.get(&feature).copied()?;
        (begun.plus(CLEARING_MS) > crash_at).then_some(begun)
    }

    fn clear(&mut self, feature: Feature, begun: MonoMs) -> bool {
        let mut is_changed = false;
        self.crashes.retain(|_, crash| {
            if begun.plus(CLEARING_MS) > crash.at {
                is_changed |= crash.answering.remove(&feature);
                is_changed |= crash.waiting.remove(&feature);
            }
            !crash.is_explained()
        });
        is_changed
    }

    fn expire(&mut self, now: MonoMs) {
        self.crashes
            .retain(|_, crash| now.since(crash.at) < QUARANTINE_MS);
    }

    /// Removes old features, and younger ones while there are too many.
    fn limit_begun(&mut self, now: MonoMs) {
        let mut max_age_ms = CLEARING_MS;
        while self.begun.len() > MAX_BEGUN {
            self.begun.retain(|_, at| now.since(*at) < max_age_ms);
            max_age_ms /= 2;
        }
    }

    /// Removes the oldest crash, those without a request that was being answered first.
    fn limit_crashes(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let age = |(_, crash): &(usize, &Crash)| (!crash.answering.is_empty(), crash.at);
        let oldest = self.crashes.values().enumerate().min_by_key(age);
        if let Some((index, _)) = oldest {
            self.crashes.shift_remove_index(index);
        }
    }
}

/// Crashes that speak for one cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Support {
    /// Crashes with requests that were being answered.
    answering: u64,
    /// Separate crashes with waiting requests only.
    waiting: u64,
}

impl Support {
    fn of(crashes: &[&Crash]) -> Self {
        let (answering, waiting): (Vec<&Crash>, Vec<&Crash>) = crashes
            .iter()
            .partition(|crash| !crash.answering.is_empty());
        let mut times: Vec<MonoMs> = waiting.iter().map(|crash| crash.at).collect();
        times.sort_unstable();
        let mut separate: Vec<MonoMs> = Vec::new();
        for at in times {
            let last = separate.last();
            if last.is_none_or(|last| at.since(*last) >= SEPARATE_CRASHES_MS) {
                separate.push(at);
            }
        }
        Self {
            answering: answering.len() as u64,
            waiting: separate.len() as u64,
        }
    }

    fn weight(self) -> u64 {
        self.answering * ANSWERING_WEIGHT + self.waiting * WAITING_WEIGHT
    }

    /// Whether as many crashes speak for this cause as for `other`. Crashes with waiting requests only
    /// decide if there are no others: they may be chance.
    fn is_at_least(self, other: Self) -> bool {
        match (self.answering, other.answering) {
            (0, 0) => self.waiting >= other.waiting,
            (own, others) => own >= others,
        }
    }
}
