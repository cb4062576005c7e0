//! Failover of the token bucket server.
//!
//! Normally the leader of the log serves the token buckets of the fleet. Without a leader, each
//! controller grants an equal share of every rate on its own, to the entry VMs that choose it. This
//! needs no agreement: the shares add up to the rate, however many controllers are left and whichever
//! VMs can reach them. Shares belong to controllers instead of entry VMs because a controller receives
//! the requests of many VMs and its share is used evenly. A single entry VM receives a request of a
//! small account only now and then, and a share of the rate for each VM would refuse many of them.

use std::collections::BTreeMap;

use crate::consensus::Status;
use crate::gateway::deployment::Account;
use crate::limits::LimitVersion;
use crate::limits::WHOLE_PPM;
use crate::scheduling::slots::weight;
use crate::types::DataCentre;
use crate::types::VmName;

/// Name of the share that a controller grants on its own.
const FAILOVER_SHARE: &str = "own-part";
/// Bit that is set in the terms of grants of failover servers, and in no term of a leader.
const FAILOVER_TERM_BIT: u64 = 1 << 63;

/// The share that a controller grants on its own.
pub fn failover_share() -> DataCentre {
    DataCentre::new(FAILOVER_SHARE)
}

/// Number of controllers that may grant a share each. A controller that does not vote any more, or not yet, may run and
/// grant all the same.
pub fn share_count(log: &Status) -> usize {
    log.voters.len() + log.learners.len()
}

/// The limits of the share of one of `controllers`. The burst is not divided, so that a large request
/// can be granted; a bucket fills at the rate of the share only.
pub fn failover_limits(account: &Account, revision: u64, controllers: usize) -> LimitVersion {
    LimitVersion {
        revision,
        rate_tokens_per_s: account.rate_per_s / controllers.max(1) as u64,
        burst_tokens: account.burst,
        shares_ppm: BTreeMap::from([(failover_share(), WHOLE_PPM)]),
    }
}

/// Term of the grants of a failover server that is active since the uptime `since_ms` of its process.
/// The term is different for each controller, so that tokens returned to another one are not credited
/// there.
pub fn failover_term(vm: &VmName, since_ms: u64) -> u64 {
    FAILOVER_TERM_BIT | weight(vm, &since_ms)
}

/// Index of the controller in `candidates` that an entry VM uses: one in its own data centre, or else
/// one chosen by a hash of the names, so that entry VMs spread over all controllers.
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
