//! Estimated time to the first token, and selection among servers of similar cost.

use crate::scheduling::routing::RouteRequest;
use crate::scheduling::routing::RouteView;
use crate::scheduling::routing::fleet::Server;
use crate::scheduling::routing::hash_ring::mix;
use crate::types::Patience;

/// Server with its estimated cost.
pub(super) struct Candidate<'a> {
    pub(super) server: &'a Server,
    pub(super) cost_ms: f32,
    /// Estimated requests per batch position.
    pub(super) occupancy: f32,
    pub(super) has_room: bool,
}

/// Estimates the cost of `request` on `server`.
pub(super) fn candidate<'a>(
    server: &'a Server,
    request: &RouteRequest<'_>,
    view: &RouteView<'_>,
) -> Candidate<'a> {
    let peers = view.fleet.peers();
    let config = view.config;
    let wait_ms = server.wait_ms(request.class, peers, config);
    let paid_ms = match (server.paid, request.class) {
        (false, _) => 0.0,
        (true, Patience::Urgent) => config.paid_urgent_ms,
        (true, Patience::Patient) => config.paid_patient_ms,
    };
    let cost_ms = server.round_trip_ms as f32
        + wait_ms
        + prefill_ms(server, request, view)
        + cold_start_ms(server, view)
        + paid_ms;
    Candidate {
        server,
        cost_ms,
        occupancy: server.occupancy(peers, config),
        has_room: server.has_room(request.class, peers, config) && !server.is_deferred(view.now),
    }
}

fn prefill_ms(server: &Server, request: &RouteRequest<'_>, view: &RouteView<'_>) -> f32 {
    let hits = view
        .prefixes
        .expected_hits(&server.info.name, request.prefix);
    let cached = hits * view.config.block_tokens as f32;
    let uncached = (request.prompt_tokens as f32 - cached).max(0.0);
    uncached * view.config.prefill_us_per_token as f32 / 1_000.0
}

fn cold_start_ms(server: &Server, view: &RouteView<'_>) -> f32 {
    let up_ms = view.now.since(server.started);
    let left_ms = view.config.warm_up_ms.saturating_sub(up_ms);
    view.config.cold_start_ms * left_ms as f32 / view.config.warm_up_ms.max(1) as f32
}

/// Selects two random candidates among those of similar cost to the cheapest one and returns the one
/// with the lower occupancy (power of two choices). The random numbers differ between VMs, so VMs
/// with the same load reports spread their requests.
pub(super) fn pick_less_loaded_of_two<'a>(
    candidates: &[Candidate<'a>],
    request: &RouteRequest<'_>,
    view: &RouteView<'_>,
) -> Option<&'a Server> {
    let lowest = candidates
        .iter()
        .map(|c| c.cost_ms)
        .min_by(f32::total_cmp)?;
    let limit = lowest + view.config.tie_margin_ms;
    let ties: Vec<_> = candidates.iter().filter(|c| c.cost_ms <= limit).collect();
    let random = mix(view.fleet.seed() ^ mix(request.nonce));
    let first = ties[random as usize % ties.len()];
    if ties.len() == 1 {
        return Some(first.server);
    }
    let others = ties.len() - 1;
    let step = 1 + (random >> 32) as usize % others;
    let second = ties[(random as usize % ties.len() + step) % ties.len()];
    let less_loaded = if second.occupancy < first.occupancy {
        second
    } else {
        first
    };
    Some(less_loaded.server)
}
