//! State of the dispatcher: queue, servers, residency and routing. Guarded by the dispatcher's
//! lock.

use std::collections::HashMap;

use tokio::sync::oneshot;

use super::assignment::Assignment;
use super::dispatcher::DispatchRequest;
use super::dispatcher::RETRY_AFTER_MS;
use super::dispatcher::Result;
use crate::scheduling::fair_queue::DispatchDecision;
use crate::scheduling::fair_queue::FairQueue;
use crate::scheduling::popularity::Popularity;
use crate::scheduling::residency::ResidencyView;
use crate::scheduling::residency::WaitingAdapter;
use crate::scheduling::routing::Fleet;
use crate::scheduling::routing::LoadReport;
use crate::scheduling::routing::Policy;
use crate::scheduling::routing::PrefixIndex;
use crate::scheduling::routing::RouteConfig;
use crate::scheduling::routing::RouteDecision;
use crate::scheduling::routing::RouteRequest;
use crate::scheduling::routing::RouteTarget;
use crate::scheduling::routing::RouteView;
use crate::scheduling::routing::ServerInfo;
use crate::scheduling::routing::choose;
use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Patience;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::ServerName;

/// A request in the queue, with the channel for its assignment.
pub(super) struct QueuedRequest {
    pub(super) request: DispatchRequest,
    pub(super) nonce: u64,
    pub(super) queued_at: MonoMs,
    pub(super) load_wait: bool,
    pub(super) reply: oneshot::Sender<Result<Assignment>>,
}

/// Request for an adapter to the coordinator of a data centre.
pub(super) struct AdapterRequest {
    pub(super) data_centre: DataCentre,
    /// Engine preferred by the routing policy.
    pub(super) server: Option<ServerName>,
    /// Whether no engine may serve the adapter now, so that it must be loaded; otherwise another
    /// copy is wanted.
    pub(super) needs_load: bool,
}

/// A server whose connection failed.
pub(super) struct UnreachableServer {
    incarnation: u64,
    /// When the connection failed.
    at: MonoMs,
}

pub(super) struct DispatchState {
    pub(super) queue: FairQueue<QueuedRequest>,
    pub(super) fleet: Fleet,
    pub(super) residency: ResidencyView,
    pub(super) prefixes: PrefixIndex,
    pub(super) popularity: Popularity,
    pub(super) route: RouteConfig,
    pub(super) policy: Policy,
    pub(super) next_nonce: u64,
    /// End of the discovery period after a start, until which a request that finds no server stays
    /// queued.
    pub(super) discovery_until: MonoMs,
    /// Engines that the least-loaded baseline chose for adapters with queued requests. Without this
    /// map it would choose another engine for the same adapter at each pull.
    pub(super) assigned: HashMap<AdapterRef, ServerName>,
    /// Servers whose connection failed; they get no new requests until they report again.
    pub(super) failed: HashMap<ServerName, UnreachableServer>,
}

impl DispatchState {
    pub(super) fn take_nonce(&mut self) -> u64 {
        self.next_nonce = self.next_nonce.wrapping_add(1);
        self.next_nonce
    }

    /// Merges an announcement. A server whose connection failed counts as leaving until an
    /// announcement of a new incarnation arrives, or one whose load sample was taken after the
    /// failure.
    pub(super) fn observe(&mut self, mut info: ServerInfo, report: LoadReport, now: MonoMs) {
        if let Some(failed) = self.failed.get(&info.name) {
            if failed.incarnation == info.incarnation && report.sampled <= failed.at {
                info.leaving = true;
            } else {
                self.failed.remove(&info.name);
            }
        }
        self.fleet.observe(info, report, now);
    }

    /// Excludes `incarnation` of a server from new dispatches until it reports again.
    pub(super) fn mark_failed(&mut self, server: &ServerName, incarnation: u64, now: MonoMs) {
        let info = self.fleet.info(server);
        let Some(info) = info.filter(|info| info.incarnation == incarnation).cloned() else {
            return;
        };
        let at = now;
        let failed = UnreachableServer { incarnation, at };
        self.failed.insert(server.clone(), failed);
        // The default sample is older than any report and so replaces none.
        self.observe(info, LoadReport::default(), now);
    }

    pub(super) fn view(&self, now: MonoMs) -> RouteView<'_> {
        RouteView {
            fleet: &self.fleet,
            residency: &self.residency,
            prefixes: &self.prefixes,
            config: &self.route,
            now,
        }
    }

    /// Removes the next request that can be dispatched or must be refused, with its routing
    /// decision.
    pub(super) fn pop(&mut self, now: MonoMs) -> Option<(QueuedRequest, RouteDecision)> {
        let Self {
            queue,
            fleet,
            residency,
            prefixes,
            route,
            policy,
            assigned,
            failed,
            discovery_until,
            ..
        } = self;
        let view = RouteView {
            fleet,
            residency,
            prefixes,
            config: route,
            now,
        };
        let mut taken = None;
        let item = queue.pop(now, |item| {
            let chosen = assigned.get(&item.adapter);
            let choice = choose(&route_request(&item.payload, chosen), &view, *policy);
            match choice {
                // A failed server may be the only one; it reports again within a second or is dead.
                RouteDecision::NoServer if !failed.is_empty() || now < *discovery_until => {
                    DispatchDecision::SkipAdapter
                }
                RouteDecision::Dispatch { .. } | RouteDecision::NoServer => {
                    taken = Some(choice);
                    DispatchDecision::Take
                }
                RouteDecision::WaitForLoad { .. } | RouteDecision::Busy { .. } => {
                    DispatchDecision::SkipAdapter
                }
            }
        })?;
        assigned.remove(&item.adapter);
        Some((item.payload, taken?))
    }

    /// Adapters with queued requests that are requested from the coordinator of `data_centre`.
    pub(super) fn waiting_for(
        &mut self,
        data_centre: &DataCentre,
        now: MonoMs,
    ) -> Vec<WaitingAdapter> {
        let mut waiting = Vec::new();
        for mut entry in self.queue.waiting(now) {
            let Some(adapter_request) = self.adapter_request(&entry.adapter, &self.view(now))
            else {
                continue;
            };
            if self.policy == Policy::LeastLoaded
                && let Some(server) = &adapter_request.server
            {
                self.assigned.insert(entry.adapter.clone(), server.clone());
            }
            entry.preferred = adapter_request.server;
            if adapter_request.data_centre == *data_centre {
                waiting.push(entry);
            }
        }
        waiting
    }

    /// The request for a load or another copy of `adapter`; `None` if requests for it can be
    /// dispatched or no server is known.
    pub(super) fn adapter_request(
        &self,
        adapter: &AdapterRef,
        view: &RouteView<'_>,
    ) -> Option<AdapterRequest> {
        let request = RouteRequest {
            target: RouteTarget::Adapter(adapter),
            class: Patience::Urgent,
            prompt_tokens: 0,
            prefix: &[],
            suspect: false,
            assigned: self.assigned.get(adapter),
            nonce: 0,
        };
        match choose(&request, view, self.policy) {
            RouteDecision::WaitForLoad {
                data_centre,
                server,
            } => Some(AdapterRequest {
                data_centre,
                server,
                needs_load: true,
            }),
            RouteDecision::Busy { data_centre } => Some(AdapterRequest {
                data_centre,
                server: None,
                needs_load: false,
            }),
            RouteDecision::Dispatch { .. } | RouteDecision::NoServer => None,
        }
    }
}

fn route_request<'a>(
    queued: &'a QueuedRequest,
    assigned: Option<&'a ServerName>,
) -> RouteRequest<'a> {
    RouteRequest {
        target: RouteTarget::Adapter(&queued.request.adapter),
        class: queued.request.patience,
        prompt_tokens: queued.request.prompt_tokens,
        prefix: &queued.request.prefix,
        suspect: queued.request.suspect,
        assigned,
        nonce: queued.nonce,
    }
}

pub(super) fn deadline_unreachable() -> Refusal {
    Refusal::not_run(
        RefusalCode::DeadlineUnreachable,
        "the request can no longer meet its deadline",
    )
}

pub(super) fn no_backend(what: &str) -> Refusal {
    let message = format!("no backend server for {what} is known");
    Refusal::not_run(RefusalCode::NoBackend, message).with_retry_after_ms(RETRY_AFTER_MS)
}
