//! Queue, servers and residency behind the dispatcher's lock.

use std::collections::HashMap;

use tokio::sync::oneshot;

use super::assignment::Assignment;
use super::dispatcher::RETRY_AFTER_MS;
use super::dispatcher::Result;
use super::dispatcher::Work;
use crate::scheduling::fair_queue::DispatchDecision;
use crate::scheduling::fair_queue::FairQueue;
use crate::scheduling::popularity::Popularity;
use crate::scheduling::residency::ResidencyView;
use crate::scheduling::residency::WaitingAdapter;
use crate::scheduling::routing::Choice;
use crate::scheduling::routing::Fleet;
use crate::scheduling::routing::LoadReport;
use crate::scheduling::routing::Policy;
use crate::scheduling::routing::PrefixIndex;
use crate::scheduling::routing::RouteConfig;
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

/// What the queue holds for one piece of waiting work.
pub(super) struct Ticket {
    pub(super) work: Work,
    pub(super) nonce: u64,
    pub(super) queued: MonoMs,
    pub(super) load_wait: bool,
    pub(super) reply: oneshot::Sender<Result<Assignment>>,
}

/// Coordinator that is asked for an adapter.
pub(super) struct Asked {
    pub(super) data_centre: DataCentre,
    /// Engine that the policy prefers.
    pub(super) server: Option<ServerName>,
    /// No engine may serve the adapter now.
    pub(super) load: bool,
}

/// A server whose connection failed.
pub(super) struct FailedServer {
    incarnation: u64,
    /// When the connection failed.
    at: MonoMs,
}

pub(super) struct Inner {
    pub(super) queue: FairQueue<Ticket>,
    pub(super) fleet: Fleet,
    pub(super) residency: ResidencyView,
    pub(super) prefixes: PrefixIndex,
    pub(super) popularity: Popularity,
    pub(super) route: RouteConfig,
    pub(super) policy: Policy,
    pub(super) next_nonce: u64,
    /// Time until which servers that are not known yet may still be learnt after a start.
    pub(super) learning_until: MonoMs,
    /// Engines that the least-loaded baseline chose for adapters that are waited for. Without them
    /// it would ask another engine for the same adapter at each look.
    pub(super) assigned: HashMap<AdapterRef, ServerName>,
    /// Servers that get no new work until they report again.
    pub(super) failed: HashMap<ServerName, FailedServer>,
}

impl Inner {
    pub(super) fn take_nonce(&mut self) -> u64 {
        self.next_nonce = self.next_nonce.wrapping_add(1);
        self.next_nonce
    }

    /// Merges an announcement. A server whose connection failed counts as leaving until a sample
    /// taken after the failure arrives, or a new incarnation.
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

    /// Gives `incarnation` of a server no new work until it reports again.
    pub(super) fn note_failed(&mut self, server: &ServerName, incarnation: u64, now: MonoMs) {
        let info = self.fleet.info(server);
        let Some(info) = info.filter(|info| info.incarnation == incarnation).cloned() else {
            return;
        };
        let at = now;
        let failed = FailedServer { incarnation, at };
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

    /// Takes the next work that can be dispatched or must be refused, with the routing decision.
    pub(super) fn pop(&mut self, now: MonoMs) -> Option<(Ticket, Choice)> {
        let Self {
            queue,
            fleet,
            residency,
            prefixes,
            route,
            policy,
            assigned,
            failed,
            learning_until,
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
                // A failed server may be the only one, and reports again within a second or is dead.
                Choice::Nowhere if !failed.is_empty() || now < *learning_until => {
                    DispatchDecision::SkipAdapter
                }
                Choice::Dispatch { .. } | Choice::Nowhere => {
                    taken = Some(choice);
                    DispatchDecision::Take
                }
                Choice::WaitForLoad { .. } | Choice::Busy { .. } => DispatchDecision::SkipAdapter,
            }
        })?;
        assigned.remove(&item.adapter);
        Some((item.payload, taken?))
    }

    /// Waiting adapters that the coordinator of `data_centre` is asked for.
    pub(super) fn waiting_for(
        &mut self,
        data_centre: &DataCentre,
        now: MonoMs,
    ) -> Vec<WaitingAdapter> {
        let mut waiting = Vec::new();
        for mut entry in self.queue.waiting(now) {
            let Some(asked) = self.asked(&entry.adapter, &self.view(now)) else {
                continue;
            };
            if self.policy == Policy::LeastLoaded
                && let Some(server) = &asked.server
            {
                self.assigned.insert(entry.adapter.clone(), server.clone());
            }
            entry.preferred = asked.server;
            if asked.data_centre == *data_centre {
                waiting.push(entry);
            }
        }
        waiting
    }

    /// Whom work for `adapter` asks for a load or another copy; `None` if it can be dispatched.
    pub(super) fn asked(&self, adapter: &AdapterRef, view: &RouteView<'_>) -> Option<Asked> {
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
            Choice::WaitForLoad {
                data_centre,
                server,
            } => Some(Asked {
                data_centre,
                server,
                load: true,
            }),
            Choice::Busy { data_centre } => Some(Asked {
                data_centre,
                server: None,
                load: false,
            }),
            Choice::Dispatch { .. } | Choice::Nowhere => None,
        }
    }
}

fn route_request<'a>(ticket: &'a Ticket, assigned: Option<&'a ServerName>) -> RouteRequest<'a> {
    RouteRequest {
        target: RouteTarget::Adapter(&ticket.work.adapter),
        class: ticket.work.patience,
        prompt_tokens: ticket.work.prompt_tokens,
        prefix: &ticket.work.prefix,
        suspect: ticket.work.suspect,
        assigned,
        nonce: ticket.nonce,
    }
}

pub(super) fn expired() -> Refusal {
    Refusal::not_run(
        RefusalCode::DeadlineUnreachable,
        "the request can no longer meet its deadline",
    )
}

pub(super) fn no_backend(what: &str) -> Refusal {
    let message = format!("no backend server for {what} is known");
    Refusal::not_run(RefusalCode::NoBackend, message).with_retry_after_ms(RETRY_AFTER_MS)
}
