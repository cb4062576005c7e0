//! Decides who keeps the token buckets of the fleet.
//!
//! The leader of the log does. While there is none, each controller hands out an equal part of every
//! rate by itself, to the entry VMs that choose it. No agreement is needed: all parts together are the
//! rate, however many controllers are left and whoever can reach them. A controller sees the requests
//! of many VMs, so that its part is used evenly; a single VM of many gets a request of a small account
//! only now and then, and a part of the rate for each VM would refuse many of them.

use std::collections::BTreeMap;

use crate::gateway::deployment::Account;
use crate::limits::LimitVersion;
use crate::limits::WHOLE_PPM;
use crate::scheduling::slots::weight;
use crate::types::DataCentre;
use crate::types::VmName;

/// Name of the share that a controller hands out by itself.
const FAILOVER_SHARE: &str = "own-part";
/// Marks the terms of grants of controllers that do not lead.
const FAILOVER_TERM_BIT: u64 = 1 << 63;

/// The share that a controller hands out by itself.
pub fn failover_share() -> DataCentre {
    DataCentre::new(FAILOVER_SHARE)
}

/// The limits by which one of `controllers` hands out its part. The burst is not divided, so that a
/// large request finds enough; what a bucket holds has been earned at the part's rate.
pub fn failover_limits(account: &Account, revision: u64, controllers: usize) -> LimitVersion {
    LimitVersion {
        revision,
        rate_tokens_per_s: account.rate_per_s / controllers.max(1) as u64,
        burst_tokens: account.burst,
        shares_ppm: BTreeMap::from([(failover_share(), WHOLE_PPM)]),
    }
}

/// Term of the grants of a controller that stands in from its uptime `since_ms` on. Tokens that are
/// returned to another controller are not credited there.
pub fn failover_term(vm: &VmName, since_ms: u64) -> u64 {
    FAILOVER_TERM_BIT | weight(vm, &since_ms)
}

/// Which of the controllers `candidates` an entry VM asks for tokens: that of its own data centre, or
/// else one by chance, so that the VMs spread over them.
pub fn choose_server(
    own: &VmName,
    own_centre: &DataCentre,
    candidates: &[(VmName, DataCentre)],
) -> Option<usize> {
    let ranks = candidates
        .iter()
        .map(|(vm, centre)| (centre == own_centre, weight(own, vm)));
    let best = ranks.enumerate().max_by_key(|(_, rank)| *rank);
    best.map(|(index, _)| index)
}
