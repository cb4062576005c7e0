//! Simulated engines, as seen by scheduling decisions.

use std::collections::BTreeMap;
use std::collections::HashSet;

use medlarlift::types::AdapterRef;
use medlarlift::types::Patience;
use medlarlift::types::ServerName;

/// Batch positions: requests that an engine runs concurrently.
pub const POSITIONS: usize = 8;

/// A request on an engine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Job {
    pub patient: bool,
    pub sent_ms: u64,
    pub request: usize,
    pub service_ms: u64,
}

/// An engine with batch positions and adapter slots.
pub struct Engine {
    pub name: ServerName,
    pub incarnation: u64,
    pub down_until_ms: u64,
    pub resident: HashSet<AdapterRef>,
    running: Vec<(u64, usize)>,
    waiting: BTreeMap<Job, ()>,
}

impl Engine {
    pub fn new(index: usize) -> Self {
        Self {
            name: ServerName::from(format!("engine-{index}")),
            incarnation: 1,
            down_until_ms: 0,
            resident: HashSet::new(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn waiting(&self, class: Patience) -> usize {
        let patient = class == Patience::Patient;
        self.waiting
            .keys()
            .filter(|job| job.patient == patient)
            .count()
    }

    pub fn accept(&mut self, job: Job, now_ms: u64) {
        self.waiting.insert(job, ());
        self.fill(now_ms);
    }

    /// Removes and returns the requests that have ended by `now_ms`.
    pub fn finish(&mut self, now_ms: u64) -> Vec<usize> {
        let ended = self.running.extract_if(.., |(end_ms, _)| *end_ms <= now_ms);
        let ended: Vec<usize> = ended.map(|(_, request)| request).collect();
        if !ended.is_empty() {
            self.fill(now_ms);
        }
        ended
    }

    /// Restarts without adapters and requests, and returns the lost requests.
    pub fn restart(&mut self, down_until_ms: u64) -> Vec<usize> {
        self.incarnation += 1;
        self.down_until_ms = down_until_ms;
        self.resident.clear();
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        let running = running.into_iter().map(|(_, request)| request);
        running
            .chain(waiting.into_keys().map(|job| job.request))
            .collect()
    }

    fn fill(&mut self, now_ms: u64) {
        while self.running.len() < POSITIONS {
            let Some((job, ())) = self.waiting.pop_first() else {
                return;
            };
            self.running.push((now_ms + job.service_ms, job.request));
        }
    }
}
