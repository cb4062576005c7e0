//! Determines the control index that every data centre has reached.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::types::DataCentre;

/// Tracks the settled indexes that the coordinators report ([`crate::lease::HeldLease::settled_index`]).
///
/// A coordinator that reports index `i` had applied it, and so had a majority of its grantors. Each
/// later coordinator of that data centre has a grantor from that majority and must apply `i` before
/// it issues tokens. A report therefore remains valid, however old it is. Waiting for a majority of
/// VMs and one lease instead would be as safe but would take two seconds longer, during which both
/// the old and the new share apply.
#[derive(Debug, Default)]
pub struct Settlement {
    data_centres: BTreeSet<DataCentre>,
    reported: BTreeMap<DataCentre, u64>,
}

impl Settlement {
    /// Sets the data centres that may issue tokens: all that have VMs in the roster.
    pub fn set_data_centres(&mut self, data_centres: impl IntoIterator<Item = DataCentre>) {
        self.data_centres = data_centres.into_iter().collect();
    }

    /// Records that a coordinator of `data_centre` reported `index` as settled.
    pub fn note(&mut self, data_centre: &DataCentre, index: u64) {
        let reported = self.reported.entry(data_centre.clone()).or_default();
        *reported = index.max(*reported);
    }

    /// Control index that every current and future coordinator of every data centre has applied
    /// before it issues tokens.
    pub fn settled_index(&self) -> u64 {
        let reported = |dc| self.reported.get(dc).copied().unwrap_or(0);
        self.data_centres.iter().map(reported).min().unwrap_or(0)
    }
}
