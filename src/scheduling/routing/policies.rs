//! Routing policies.

use std::cmp::Ordering;

use crate::scheduling::routing::Policy;
use crate::scheduling::routing::RouteDecision;
use crate::scheduling::routing::RouteRequest;
use crate::scheduling::routing::RouteTarget;
use crate::scheduling::routing::RouteView;
use crate::scheduling::routing::ServerKind;
use crate::scheduling::routing::estimate;
use crate::scheduling::routing::estimate::Candidate;
use crate::scheduling::routing::fleet::Server;
use crate::scheduling::routing::hash_ring::hash_adapter;
use crate::scheduling::routing::hash_ring::hash_text;
use crate::scheduling::routing::hash_ring::mix;
use crate::types::AdapterRef;
use crate::types::DataCentre;

/// Chooses a server for `request`.
pub fn choose(request: &RouteRequest<'_>, view: &RouteView<'_>, policy: Policy) -> RouteDecision {
    match request.target {
        RouteTarget::Service(service) => {
            let providers = view.fleet.providers(service);
            let servers = sample(providers, request, view, |name| view.fleet.server(name));
            choose_among(servers, request, view).unwrap_or(RouteDecision::NoServer)
        }
        RouteTarget::Adapter(adapter) => match policy {
            Policy::Estimate => by_estimate(adapter, request, view),
            Policy::LeastLoaded => least_loaded(adapter, request, view),
            Policy::HashAffinity => hash_affinity(adapter, request, view),
        },
    }
}

fn by_estimate(
    adapter: &AdapterRef,
    request: &RouteRequest<'_>,
    view: &RouteView<'_>,
) -> RouteDecision {
    let residents = view.residency.residents(adapter);
    let servers = sample(residents, request, view, |(name, data_centre)| {
        let current = view.residency.is_current(data_centre, view.now);
        view.fleet.server(name).filter(|_| current)
    });
    if let Some(decision) = choose_among(servers, request, view) {
        return decision;
    }
    match load_home(adapter, view) {
        Some(data_centre) => RouteDecision::WaitForLoad {
            data_centre,
            server: None,
        },
        None => RouteDecision::NoServer,
    }
}

/// Returns up to `max_candidates` usable servers of `entries`, starting at an offset that differs
/// between requests. The limit keeps the time independent of the number of copies.
fn sample<'a, T>(
    entries: &'a [T],
    request: &RouteRequest<'_>,
    view: &RouteView<'a>,
    usable: impl Fn(&'a T) -> Option<&'a Server>,
) -> Vec<&'a Server> {
    let offset = match entries.len() {
        0 => 0,
        total => mix(request.nonce ^ view.fleet.seed()) as usize % total,
    };
    let (last, first) = entries.split_at(offset);
    first
        .iter()
        .chain(last)
        .filter_map(usable)
        .filter(|server| !server.info.leaving)
        .take(view.config.max_candidates)
        .collect()
}

/// Selects one of `servers`. Returns `None` if `servers` is empty.
fn choose_among(
    servers: Vec<&Server>,
    request: &RouteRequest<'_>,
    view: &RouteView<'_>,
) -> Option<RouteDecision> {
    let candidates: Vec<_> = servers
        .into_iter()
        .map(|server| estimate::candidate(server, request, view))
        .collect();
    let best = candidates
        .iter()
        .min_by(by_cost)?
        .server
        .info
        .data_centre
        .clone();
    let available: Vec<_> = candidates
        .into_iter()
        .filter(|candidate| candidate.has_room)
        .filter(|candidate| !(request.suspect && candidate.server.has_suspect()))
        .collect();
    let decision = match estimate::pick_less_loaded_of_two(&available, request, view) {
        Some(server) => dispatch(server),
        None => RouteDecision::Busy { data_centre: best },
    };
    Some(decision)
}

fn by_cost(a: &&Candidate<'_>, b: &&Candidate<'_>) -> Ordering {
    a.cost_ms.total_cmp(&b.cost_ms)
}

fn dispatch(server: &Server) -> RouteDecision {
    RouteDecision::Dispatch {
        server: server.info.name.clone(),
        paid: server.paid,
    }
}

/// Returns the data centre that loads `adapter` when it is resident nowhere. All VMs select the same
/// one, so that one load serves all of them. Another data centre is used while its backlog is
/// shorter by at least [`spill_loads`](crate::scheduling::routing::RouteConfig::spill_loads).
pub fn load_home(adapter: &AdapterRef, view: &RouteView<'_>) -> Option<DataCentre> {
    let current = view
        .residency
        .data_centres()
        .filter(|data_centre| view.residency.is_current(data_centre, view.now))
        .filter(|data_centre| view.fleet.has_engines(data_centre, adapter.base()));
    let ranked = rank_homes(adapter, current);
    let home = *ranked.first()?;
    let backlog = |data_centre| view.residency.backlog_loads(data_centre);
    let shortest = *ranked.iter().min_by_key(|name| backlog(name))?;
    let spills = backlog(home) >= backlog(shortest) + view.config.spill_loads;
    Some(if spills { shortest } else { home }.clone())
}

/// Data centres ordered by preference for loading `adapter` (rendezvous hashing).
pub(in crate::scheduling) fn rank_homes<'a>(
    adapter: &AdapterRef,
    data_centres: impl Iterator<Item = &'a DataCentre>,
) -> Vec<&'a DataCentre> {
    let hash = hash_adapter(adapter);
    let mut ranked: Vec<_> = data_centres
        .map(|data_centre| (mix(hash ^ hash_text(data_centre.as_str())), data_centre))
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .map(|(_, data_centre)| data_centre)
        .collect()
}

/// Baseline: selects the least loaded engine and loads the adapter there if it is missing.
fn least_loaded(
    adapter: &AdapterRef,
    request: &RouteRequest<'_>,
    view: &RouteView<'_>,
) -> RouteDecision {
    let assigned = request.assigned.and_then(|name| view.fleet.server(name));
    let assigned = assigned.filter(|server| !server.info.leaving);
    let least = || {
        let engines = view.fleet.servers().filter(|server| {
            let has_base = matches!(&server.info.kind, ServerKind::Engine { base } if **base == *adapter.base());
            has_base && !server.info.leaving
        });
        let load = |server: &Server| server.occupancy(view.fleet.peers(), view.config);
        engines.min_by(|a, b| load(a).total_cmp(&load(b)))
    };
    match assigned.or_else(least) {
        Some(server) => dispatch_or_load(server, adapter, request, view),
        None => RouteDecision::NoServer,
    }
}

/// Baseline: selects the engine that owns the adapter on the hash ring and loads the adapter there if
/// it is missing.
fn hash_affinity(
    adapter: &AdapterRef,
    request: &RouteRequest<'_>,
    view: &RouteView<'_>,
) -> RouteDecision {
    let owner = view
        .fleet
        .ring(adapter.base())
        .and_then(|ring| ring.owner(adapter));
    match owner.and_then(|name| view.fleet.server(name)) {
        Some(server) => dispatch_or_load(server, adapter, request, view),
        None => RouteDecision::NoServer,
    }
}

fn dispatch_or_load(
    server: &Server,
    adapter: &AdapterRef,
    request: &RouteRequest<'_>,
    view: &RouteView<'_>,
) -> RouteDecision {
    let data_centre = server.info.data_centre.clone();
    if !view
        .residency
        .may_dispatch(&server.info.name, adapter, view.now)
    {
        return RouteDecision::WaitForLoad {
            data_centre,
            server: Some(server.info.name.clone()),
        };
    }
    let candidate = estimate::candidate(server, request, view);
    if !candidate.has_room || (request.suspect && server.has_suspect()) {
        return RouteDecision::Busy { data_centre };
    }
    dispatch(server)
}
