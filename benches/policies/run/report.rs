//! Printed results of a simulation.

use std::fmt;

/// Results of a simulation.
pub struct Report {
    pub(super) urgent: usize,
    pub(super) stalled: usize,
    pub(super) stall_p99_ms: u64,
    pub(super) late_urgent: usize,
    pub(super) late_patient: usize,
    pub(super) loads: usize,
    pub(super) fill: f64,
    pub(super) fill_resident: f64,
    pub(super) accounts: Vec<f64>,
    pub(super) absent: usize,
    pub(super) reasons: Vec<(&'static str, u64)>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let worst = self.accounts.iter().copied().fold(f64::INFINITY, f64::min);
        write!(
            f,
            "stalled {} of {} urgent ({:.1}%), wait p99 {} ms, late {} urgent {} patient, \
             loads {}, fill {:.2} while work waits, {:.2} while work for resident adapters waits, \
             worst account {worst:.3}, absent {}, loads by reason {:?}",
            self.stalled,
            self.urgent,
            100.0 * self.stalled as f64 / self.urgent as f64,
            self.stall_p99_ms,
            self.late_urgent,
            self.late_patient,
            self.loads,
            self.fill,
            self.fill_resident,
            self.absent,
            self.reasons,
        )
    }
}
