//! Finds the control index below which no data centre acts any more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::types::DataCentre;

/// Tracks what the coordinators report as settled ([`crate::lease::HeldLease::settled_index`]).
///
/// A coordinator that reports index `i` had applied it while a majority of its grantors had, too.
/// Each later coordinator of that data centre has a grantor from that majority and is required to
/// apply `i` before it hands out tokens. A report therefore stays true, however old it is. Waiting
/// for a majority of VMs and one lease instead would be as safe but takes two seconds longer, in
/// which both the old and the new share bind.
#[derive(Debug, Default)]
pub struct Settlement {
    data_centres: BTreeSet<DataCentre>,
    reported: BTreeMap<DataCentre, u64>,
}

impl Settlement {
    /// Sets the data centres that may hand out tokens: all that have VMs in the roster.
    pub fn set_data_centres(&mut self, data_centres: impl IntoIterator<Item = DataCentre>) {
        self.data_centres = data_centres.into_iter().collect();
    }

    /// Records that a coordinator of `data_centre` reported `index` as settled.
    pub fn note(&mut self, data_centre: &DataCentre, index: u64) {
        let reported = self.reported.entry(data_centre.clone()).or_default();
        *reported = index.max(*reported);
    }

    /// Control index that every present and later coordinator of every data centre acts on.
    pub fn settled_index(&self) -> u64 {
        let reported = |dc| self.reported.get(dc).copied().unwrap_or(0);
        self.data_centres.iter().map(reported).min().unwrap_or(0)
    }
}
